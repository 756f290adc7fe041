#include "LibObjectApi/InstrumentedStore.h"

namespace sorrelbay {

/// Wraps the callback so that the hook is invoked first.
template <typename Value>
static StoreCallback<Value> withHook(const StoreCallHook &onCall,
                                     const char *call, ResourceKind kind,
                                     StoreCallback<Value> done) {
  return [onCall, call, kind,
          done = std::move(done)](const StoreResult<Value> &result) {
    onCall(call, kind,
           result.Got ? std::nullopt : std::optional(result.Failure));
    done(result);
  };
}

/// Wraps the callback so that the hook is invoked first if there are entries
/// without a name.
template <typename Value>
static StoreCallback<Value> withUnnamed(const UnnamedEntriesHook &onUnnamed,
                                        ResourceKind kind,
                                        StoreCallback<Value> done) {
  return [onUnnamed, kind,
          done = std::move(done)](const StoreResult<Value> &result) {
    if (result.Got && !result.Got->Unnamed.empty())
      onUnnamed(kind, result.Got->Unnamed);
    done(result);
  };
}

bool isUnreached(std::optional<StoreFailure> failure) {
  return failure == StoreFailure::Unavailable ||
         failure == StoreFailure::Unknown;
}

ResourceStore instrumentedStore(const ResourceStore &store,
                                const StoreCallHook &onCall,
                                const UnnamedEntriesHook &onUnnamed) {
  ResourceStore out;
  out.List = [store, onCall, onUnnamed](ResourceKind kind,
                                        ListFreshness freshness,
                                        StoreCallback<ResourceListing> done) {
    store.List(kind, freshness,
               withHook(onCall, "list", kind,
                        withUnnamed(onUnnamed, kind, std::move(done))));
  };
  out.Watch = [store, onCall, onUnnamed](ResourceKind kind, std::uint64_t after,
                                         Duration waitLimit,
                                         StoreCallback<ResourceChanges> done) {
    store.Watch(kind, after, waitLimit,
                withHook(onCall, "watch", kind,
                         withUnnamed(onUnnamed, kind, std::move(done))));
  };
  out.Read = [store, onCall](ResourceKind kind, const std::string &name,
                             StoreCallback<Resource> done) {
    store.Read(kind, name, withHook(onCall, "read", kind, std::move(done)));
  };
  out.Create = [store, onCall](ResourceKind kind, const Resource &object,
                               StoreCallback<Resource> done) {
    store.Create(kind, object,
                 withHook(onCall, "create", kind, std::move(done)));
  };
  out.Replace = [store, onCall](ResourceKind kind, const Resource &object,
                                StoreCallback<Resource> done) {
    store.Replace(kind, object,
                  withHook(onCall, "replace", kind, std::move(done)));
  };
  out.ReplaceStatus = [store, onCall](ResourceKind kind, const Resource &object,
                                      StoreCallback<Resource> done) {
    store.ReplaceStatus(
        kind, object,
        withHook(onCall, "replace_status", kind, std::move(done)));
  };
  out.Remove = [store, onCall](ResourceKind kind, const std::string &name,
                               StoreCallback<Resource> done) {
    store.Remove(kind, name, withHook(onCall, "remove", kind, std::move(done)));
  };
  return out;
}

} // namespace sorrelbay
