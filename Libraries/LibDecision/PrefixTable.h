#pragma once

#include "LibBase/Identifier.h"
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace sorrelbay {

/// A conversation of one caller, whose turns share a growing prompt prefix.
using ConversationKey = Identifier<struct ConversationTag>;

/// Tracks which upstream is assumed to cache the prompt prefix of which
/// conversation. Bounded, with least-recently-used eviction. Entries may be
/// wrong, since engines publish cache events late and with gaps. A wrong entry
/// costs recomputed tokens, but never a wrong answer.
class PrefixTable {
public:
  explicit PrefixTable(std::size_t maxEntries) : MaxEntries(maxEntries) {}

  /// The upstream that last worked on the conversation, or null. Does not count
  /// as a use.
  const UpstreamId *holderOf(const ConversationKey &conversation) const;
  /// Tokens of the conversation's prefix that the upstream is assumed to hold;
  /// 0 if it is not the conversation's holder.
  std::int64_t cachedTokensAt(const UpstreamId &upstream,
                              const ConversationKey &conversation) const;
  /// Records that the upstream holds `tokens` tokens of the conversation and
  /// makes it the holder.
  void note(const UpstreamId &upstream, const ConversationKey &conversation,
            std::int64_t tokens);
  /// The upstream no longer holds the conversation's prefix.
  void noteEvicted(const UpstreamId &upstream,
                   const ConversationKey &conversation);
  /// Removes all entries of an upstream that no longer exists. Linear in the
  /// size of the table.
  void forget(const UpstreamId &upstream);
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    ConversationKey Conversation;
    UpstreamId HolderId;
    std::int64_t Tokens = 0;
  };

  std::size_t MaxEntries;
  /// Most recently used first.
  std::list<Entry> Entries;
  std::unordered_map<ConversationKey, std::list<Entry>::iterator> ByKey;
};

} // namespace sorrelbay
