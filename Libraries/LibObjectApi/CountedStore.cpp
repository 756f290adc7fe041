#include "LibObjectApi/CountedStore.h"

namespace sorrelbay {

/// The callback, told of first.
template <typename Value>
static StoreCallback<Value> told(const StoreCallHook &onCall, const char *call,
                                 StoreKind kind, StoreCallback<Value> done) {
  return [onCall, call, kind,
          done = std::move(done)](const StoreResult<Value> &result) {
    onCall(call, kind,
           result.Got ? std::nullopt : std::optional(result.Failure));
    done(result);
  };
}

bool isUnreached(std::optional<StoreFailure> failure) {
  return failure == StoreFailure::Unavailable ||
         failure == StoreFailure::Unknown;
}

KindStore countedStore(const KindStore &store, const StoreCallHook &onCall) {
  KindStore out;
  out.List = [store, onCall](StoreKind kind, StoreCallback<KindListing> done) {
    store.List(kind, told(onCall, "list", kind, std::move(done)));
  };
  out.Watch = [store, onCall](StoreKind kind, std::uint64_t after,
                              Duration patience,
                              StoreCallback<KindChanges> done) {
    store.Watch(kind, after, patience,
                told(onCall, "watch", kind, std::move(done)));
  };
  out.Read = [store, onCall](StoreKind kind, const std::string &name,
                             StoreCallback<KeptObject> done) {
    store.Read(kind, name, told(onCall, "read", kind, std::move(done)));
  };
  out.Create = [store, onCall](StoreKind kind, const KeptObject &object,
                               StoreCallback<KeptObject> done) {
    store.Create(kind, object, told(onCall, "create", kind, std::move(done)));
  };
  out.Replace = [store, onCall](StoreKind kind, const KeptObject &object,
                                StoreCallback<KeptObject> done) {
    store.Replace(kind, object, told(onCall, "replace", kind, std::move(done)));
  };
  out.ReplaceStatus = [store, onCall](StoreKind kind, const KeptObject &object,
                                      StoreCallback<KeptObject> done) {
    store.ReplaceStatus(kind, object,
                        told(onCall, "replace_status", kind, std::move(done)));
  };
  out.Remove = [store, onCall](StoreKind kind, const std::string &name,
                               StoreCallback<KeptObject> done) {
    store.Remove(kind, name, told(onCall, "remove", kind, std::move(done)));
  };
  return out;
}

} // namespace sorrelbay
