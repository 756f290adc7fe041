#include "LibDecision/PrefixTable.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

const UpstreamId *
PrefixTable::holderOf(const ConversationKey &conversation) const {
  const auto found = ByKey.find(conversation);
  return found == ByKey.end() ? nullptr : &found->second->HolderId;
}

std::int64_t
PrefixTable::cachedTokensAt(const UpstreamId &upstream,
                            const ConversationKey &conversation) const {
  const auto found = ByKey.find(conversation);
  if (found == ByKey.end() || found->second->HolderId != upstream)
    return 0;
  return found->second->Tokens;
}

void PrefixTable::note(const UpstreamId &upstream,
                       const ConversationKey &conversation,
                       std::int64_t tokens) {
  if (conversation.empty() || MaxEntries == 0)
    return;
  const auto found = ByKey.find(conversation);
  if (found != ByKey.end()) {
    found->second->HolderId = upstream;
    found->second->Tokens = tokens;
    Entries.splice(Entries.begin(), Entries, found->second);
    return;
  }
  if (Entries.size() == MaxEntries) {
    ByKey.erase(Entries.back().Conversation);
    Entries.pop_back();
  }
  Entries.push_front({conversation, upstream, tokens});
  ByKey[conversation] = Entries.begin();
  verifyInvariant(Entries.size() <= MaxEntries, "prefix table is bounded",
                  "the prefix table exceeds its maximum size");
}

void PrefixTable::noteEvicted(const UpstreamId &upstream,
                              const ConversationKey &conversation) {
  const auto found = ByKey.find(conversation);
  if (found == ByKey.end() || found->second->HolderId != upstream)
    return;
  Entries.erase(found->second);
  ByKey.erase(found);
}

void PrefixTable::forget(const UpstreamId &upstream) {
  for (auto it = Entries.begin(); it != Entries.end();) {
    if (it->HolderId != upstream) {
      ++it;
      continue;
    }
    ByKey.erase(it->Conversation);
    it = Entries.erase(it);
  }
}

} // namespace sorrelbay
