#pragma once

#include "LibBase/Time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The kinds of resource that the daemon reads from or writes to the platform's
/// store. The adapter maps them to the platform's names.
enum class ResourceKind {
  /// The operators' plan; a single object.
  Plan,
  /// The entries that upstreams register for themselves.
  Replicas,
  /// The operators' orders to roll out a version of a service.
  Moves,
  /// The address of each entry host; written by the daemons.
  Hosts,
  /// The holder of each duty; written by the daemons.
  Duties,
  /// Usage that is about to be reported, so that a later holder of the duty
  /// reports the same; written by the daemons.
  Usage,
  /// The operators' orders to send no calls to a zone's upstreams. An order is
  /// named after its zone and is in force until it is removed.
  Evacuations,
  /// The secret with which daemons prove to each other that they relay a call;
  /// written by the first of them.
  Relays,
  /// The quarantined prompts; written by the daemons, and by operators who
  /// release them.
  Quarantines,
};

/// The number of enumerators of ResourceKind, for tables indexed by kind.
constexpr std::size_t ResourceKindCount = 9;

/// The kind's name in logs and metrics.
const char *toText(ResourceKind kind);

/// An object as stored in the platform's store.
struct Resource {
  std::string Name;
  /// JSON text; empty if the stored bytes can't be parsed.
  std::string Body;
  std::string Status;
  /// The store's revision at the last change of the object. Revisions increase
  /// across all objects of the store.
  std::uint64_t Revision = 0;
};

/// Which state of the store a listing has to show.
enum class ListFreshness {
  /// The state at the time of the call.
  Latest,
  /// The same for the first page; further pages may be seconds old. They cost
  /// less, and a listing that has only one page is the latest in any case.
  FirstPageLatest,
};

/// All objects of a kind as of a revision of the store.
struct ResourceListing {
  std::vector<Resource> Objects;
  std::uint64_t AtRevision = 0;
  /// Whether it shows the state at the time of the call. Otherwise it may be
  /// older, and a watch from `AtRevision` returns what has changed since.
  bool IsLatest = true;
  /// The first bytes of entries without a name that can be parsed. They belong
  /// to no object.
  std::vector<std::string> Unnamed = {};
};

struct ResourceChange {
  Resource Object;
  bool IsRemoved = false;
};

/// The changes of a kind since the revision named by a watch.
struct ResourceChanges {
  std::vector<ResourceChange> Changes;
  std::uint64_t AtRevision = 0;
  /// The first bytes of entries without a name that can be parsed. They belong
  /// to no object.
  std::vector<std::string> Unnamed = {};
};

/// Changes of a kind that a host relays to other hosts, so that not every host
/// has to query the store.
struct RelayedChanges {
  ResourceKind Kind = ResourceKind::Plan;
  /// The revision after which the changes begin.
  std::uint64_t From = 0;
  ResourceChanges Changes;
  /// Whether the changes were too large to be relayed; the receiver has to
  /// query the store for them.
  bool IsTruncated = false;
  /// The time since the start of the call to the store that returned them.
  Duration Age{};
  /// The receiver's clock as last received by the sender, in microseconds.
  /// The changes were sent later than that, however long they were in transit.
  /// 0 if unknown or if the changes don't confirm the receiver's view.
  std::int64_t Echo = 0;
};

/// Why a call to the store failed.
enum class StoreFailure {
  /// The call had no effect: the store is overloaded, down or unreachable.
  Unavailable,
  /// A write was sent but no reply arrived. It may have taken effect or may
  /// still do so.
  Unknown,
  /// The object has another revision or already exists.
  Conflict,
  /// There is no such object.
  Missing,
  /// The store no longer keeps the changes since that revision; the kind has to
  /// be listed again.
  HistoryGone,
};

/// The failure's name in logs and metrics.
const char *toText(StoreFailure failure);

/// Either a value or the failure of the call.
template <typename Value> struct StoreResult {
  std::optional<Value> Got;
  StoreFailure Failure = StoreFailure::Unavailable;
};

template <typename Value>
using StoreCallback = std::function<void(const StoreResult<Value> &)>;

/// The platform's store as function objects on the event loop. Each call is
/// counted and billed. A callback runs exactly once, on the loop's thread and
/// never from inside the call, at the latest a margin after the wait limit.
struct ResourceStore {
  std::function<void(ResourceKind, ListFreshness,
                     StoreCallback<ResourceListing>)>
      List;
  /// Waits for changes after the revision, at most for the wait limit.
  std::function<void(ResourceKind, std::uint64_t after, Duration waitLimit,
                     StoreCallback<ResourceChanges>)>
      Watch;
  std::function<void(ResourceKind, const std::string &name,
                     StoreCallback<Resource>)>
      Read;
  /// Creates the object; fails with Conflict if one of that name exists.
  std::function<void(ResourceKind, const Resource &, StoreCallback<Resource>)>
      Create;
  /// Replaces the body if the object still has that revision.
  std::function<void(ResourceKind, const Resource &, StoreCallback<Resource>)>
      Replace;
  /// Replaces the status if the object still has that revision.
  std::function<void(ResourceKind, const Resource &, StoreCallback<Resource>)>
      ReplaceStatus;
  std::function<void(ResourceKind, const std::string &name,
                     StoreCallback<Resource>)>
      Remove;
};

} // namespace sorrelbay
