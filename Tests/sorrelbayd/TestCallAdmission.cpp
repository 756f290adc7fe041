#include "CallAdmission.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

using namespace sorrelbay;

namespace {

const ServiceId Model("model");

QueuedCall call(int priority, Duration deadline) {
  QueuedCall call;
  call.OfTeam = TeamId("crew");
  call.Priority = priority;
  call.Deadline = now() + deadline;
  return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallAdmissionTests)

// The only call slot is taken and chat calls wait for it when an alarm call
// arrives. In order of arrival, the alarm would reach the technician too late.
BOOST_AUTO_TEST_CASE(an_urgent_call_that_arrives_last_starts_first) {
  CallAdmission admission([](const ServiceId &) { return 1; });
  auto first = admission.acquireSlot(Model, call(0, hours(1)));
  std::mutex mutex;
  std::string order;
  std::vector<std::thread> callers;
  for (const int priority : {0, 0, 0, 9}) {
    callers.emplace_back([&, priority] {
      const auto callSlot =
          admission.acquireSlot(Model, call(priority, hours(1)));
      const std::lock_guard<std::mutex> lock(mutex);
      order += std::to_string(priority);
    });
    while (admission.waiting() < callers.size())
      std::this_thread::yield();
  }
  first.reset();
  for (std::thread &it : callers)
    it.join();
  BOOST_TEST(order == "9000");
}

// A call can't start before its deadline because the only call slot is taken.
// The caller must get the refusal at once and not only after the deadline.
BOOST_AUTO_TEST_CASE(a_call_that_would_miss_its_deadline_is_refused_at_once) {
  CallAdmission admission([](const ServiceId &) { return 1; });
  const auto first = admission.acquireSlot(Model, call(0, hours(1)));
  BOOST_CHECK_EXCEPTION(admission.acquireSlot(Model, call(0, milliseconds(50))),
                        AdmissionRefused, [](const AdmissionRefused &error) {
                          return error.retryAfter() > Duration{};
                        });
}

BOOST_AUTO_TEST_SUITE_END()
