#pragma once

#include "LibObjectApi/ResourceStore.h"
#include "Metrics.h"
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sorrelbay {

/// Counts the entries of the store that can't be read or that make no sense.
/// Each affects nothing but itself.
class RefusedEntries {
public:
  explicit RefusedEntries(Metrics &counts) : Counts(counts) {}

  /// Counts a refused entry, which whoever refuses it logs.
  void note(ResourceKind kind);
  /// Counts the entries of an object that were refused, and logs the first few
  /// of them.
  void noteParts(ResourceKind kind, const Resource &object,
                 const std::vector<std::string> &reasons);
  /// Counts and logs entries without a readable name by their first bytes, each
  /// of them once although every listing shows it.
  void noteUnnamed(ResourceKind kind, const std::vector<std::string> &begins);

private:
  Metrics &Counts;
  std::set<std::pair<ResourceKind, std::string>> Unnamed;
};

} // namespace sorrelbay
