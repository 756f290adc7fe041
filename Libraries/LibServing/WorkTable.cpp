#include "LibServing/WorkTable.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

/// The most tokens that one call is taken to need, so that sums don't overflow
/// whatever callers state.
static constexpr std::int64_t MaxCallTokens = 1'000'000'000;

static std::int64_t plausibleTokens(std::int64_t tokens) {
  return std::clamp<std::int64_t>(tokens, 0, MaxCallTokens);
}

static void subtract(std::int64_t &from, std::int64_t tokens) {
  from = std::max<std::int64_t>(0, from - plausibleTokens(tokens));
}

const std::shared_ptr<UpstreamWork> &WorkTable::at(const UpstreamId &id) {
  std::shared_ptr<UpstreamWork> &work = ByUpstream[id];
  if (!work)
    work = std::make_shared<UpstreamWork>();
  return work;
}

std::shared_ptr<const UpstreamWork> WorkTable::of(const UpstreamId &id) {
  return at(id);
}

void WorkTable::noteSent(const UpstreamId &id, const CallCost &cost) {
  OutstandingWork &own = at(id)->Own;
  ++own.Calls;
  own.PromptTokens += plausibleTokens(cost.PromptTokens);
  own.Tokens += plausibleTokens(cost.Tokens);
}

void WorkTable::noteFirstByte(const UpstreamId &id, const CallCost &cost) {
  const auto it = ByUpstream.find(id);
  if (it != ByUpstream.end())
    subtract(it->second->Own.PromptTokens, cost.PromptTokens);
}

bool WorkTable::noteEnded(const UpstreamId &id, const CallCost &cost,
                          bool hadFirstByte) {
  const auto it = ByUpstream.find(id);
  if (it == ByUpstream.end())
    return true;
  OutstandingWork &own = it->second->Own;
  if (own.Calls <= 1) {
    own = {};
    return true;
  }
  --own.Calls;
  subtract(own.Tokens, cost.Tokens);
  if (!hadFirstByte)
    subtract(own.PromptTokens, cost.PromptTokens);
  return false;
}

void WorkTable::notePeer(const SourceId &peer,
                         std::map<UpstreamId, OutstandingWork> open) {
  const auto known = Reported.try_emplace(peer).first;
  for (const WorkChange &it : changesOfWork(known->second, open)) {
    OutstandingWork &peers = at(it.Upstream)->Peers;
    peers = peers + it.Now - it.Before;
  }
  known->second = std::move(open);
  if (known->second.empty())
    Reported.erase(known);
}

std::map<UpstreamId, OutstandingWork> WorkTable::own() const {
  std::map<UpstreamId, OutstandingWork> out;
  for (const auto &[id, work] : ByUpstream)
    if (work->Own.Calls != 0)
      out.emplace_hint(out.end(), id, work->Own);
  return out;
}

OutstandingWork WorkTable::totalAt(const UpstreamId &id) const {
  const auto it = ByUpstream.find(id);
  return it == ByUpstream.end() ? OutstandingWork{} : it->second->total();
}

void WorkTable::forgetIdle() {
  for (auto it = ByUpstream.begin(); it != ByUpstream.end();) {
    const bool isIdle =
        it->second.use_count() == 1 && it->second->total() == OutstandingWork{};
    it = isIdle ? ByUpstream.erase(it) : std::next(it);
  }
}

} // namespace sorrelbay
