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

/// What this daemon believes about which upstream holds the prompt prefix of
/// which conversation. Bounded: the least recently used belief is forgotten.
/// The belief may be wrong, since engines publish cache events late and with
/// gaps; a wrong one costs recomputed tokens, never a wrong answer.
class PrefixTable {
public:
  explicit PrefixTable(std::size_t maxEntries) : MaxEntries(maxEntries) {}

  /// The upstream that last worked on the conversation, or null. Counts as no
  /// use.
  const UpstreamId *holderOf(const ConversationKey &conversation) const;
  /// Tokens of the conversation's prefix that the upstream is believed to
  /// hold; 0 if it is not the conversation's base.
  std::int64_t cachedTokensAt(const UpstreamId &upstream,
                              const ConversationKey &conversation) const;
  /// The upstream has computed that many tokens of the conversation; it
  /// becomes its base.
  void note(const UpstreamId &upstream, const ConversationKey &conversation,
            std::int64_t tokens);
  /// The upstream no longer holds the conversation's prefix.
  void noteEvicted(const UpstreamId &upstream,
                   const ConversationKey &conversation);
  /// Forgets all that was believed of an upstream that is gone. Takes time
  /// in the size of the table.
  void forget(const UpstreamId &upstream);
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    ConversationKey Conversation;
    UpstreamId Base;
    std::int64_t Tokens = 0;
  };

  std::size_t MaxEntries;
  /// Most recently used first.
  std::list<Entry> Entries;
  std::unordered_map<ConversationKey, std::list<Entry>::iterator> ByKey;
};

} // namespace sorrelbay
