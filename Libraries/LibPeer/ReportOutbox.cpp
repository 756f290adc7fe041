#include "LibPeer/ReportOutbox.h"
#include "LibPeer/PeerFailures.h"

namespace sorrelbay {

static std::size_t indexOf(ReportStream stream) {
  return static_cast<std::size_t>(stream);
}

ReportOutbox::ReportOutbox() {
  for (std::size_t n = 0; n < ReportStreamCount; ++n)
    Streams.emplace_back(static_cast<ReportStream>(n));
}

void ReportOutbox::add(ReportStream stream, const FleetReport &report) {
  Streams[indexOf(stream)].add(report);
}

std::vector<std::string> ReportOutbox::messagesFor(const HostId &peer,
                                                   ReportStream stream) {
  ReportStreamWriter &writer = Streams[indexOf(stream)];
  std::uint64_t &sent = SentVersions[peer][indexOf(stream)];
  const auto steps = writer.messagesSince(sent);
  std::vector<std::string> out;
  for (std::size_t n = 0; n < steps.size(); ++n) {
    const bool isLast = n + 1 == steps.size();
    out.push_back(closeMessage(*steps[n],
                               isLast ? writer.includedOf(peer) : MoreFollows));
  }
  sent = writer.version();
  return out;
}

void ReportOutbox::noteRequest(const HostId &peer, ReportStream stream) {
  const auto it = SentVersions.find(peer);
  if (it != SentVersions.end())
    it->second[indexOf(stream)] = 0;
}

std::size_t ReportOutbox::stepBytes(ReportStream stream) const {
  return Streams[indexOf(stream)].stepBytes();
}

std::string encodeStateRequest(ReportStream stream) {
  ColumnWriter out;
  out.addInteger(static_cast<std::int64_t>(stream));
  return closeMessage(
      out.encode(FleetFormatNumber,
                 static_cast<int>(FleetMessageKind::StateRequest)),
      0);
}

ReportStream streamOf(ColumnReader &message) {
  const std::size_t stream = static_cast<std::size_t>(message.nextInteger());
  if (stream >= ReportStreamCount)
    throw PeerMessageRefused("peer message has an unknown stream");
  return static_cast<ReportStream>(stream);
}

} // namespace sorrelbay
