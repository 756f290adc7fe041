#include "LibPeer/ReportInbox.h"

namespace sorrelbay {

ReportInbox::Arrival ReportInbox::receive(ColumnReader &message) {
  const ReportStream stream = streamOf(message);
  ReportStreamReader &reader = Streams[stream];
  Arrival out;
  const UpdateResult result = reader.apply(message, Self);
  if (result == UpdateResult::Applied && message.last() != MoreFollows)
    out.Report = &reader.report();
  if (result == UpdateResult::Gap)
    out.Request = stream;
  return out;
}

} // namespace sorrelbay
