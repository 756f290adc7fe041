#include "LibBase/BootClock.h"
#include <ctime>

namespace sorrelbay {

Instant bootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000));
}

} // namespace sorrelbay
