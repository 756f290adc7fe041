#include "BlockingStore.h"
#include "Commands.h"
#include "LibObjectApi/ObjectApi.h"
#include "platform/StoreClient.h"

namespace sorrelbay {

/// Attempts to change an object while others write to it.
static constexpr int MaxAttempts = 5;

BlockingStore::BlockingStore(const std::string &address)
    : Store(platform::makeStoreClient(Loop,
                                      std::make_shared<AsyncHttpClient>(Loop),
                                      address, PlatformTimeout, Duration())) {}

StoreResult<Resource> BlockingStore::await(
    const std::function<void(const StoreCallback<Resource> &)> &begin) {
  std::optional<StoreResult<Resource>> out;
  begin([&out](const StoreResult<Resource> &result) { out = result; });
  Loop.restart();
  while (!out && Loop.run_one() != 0) {
  }
  return out.value_or(StoreResult<Resource>{});
}

std::optional<Resource> BlockingStore::read(ResourceKind kind,
                                            const std::string &name) {
  const StoreResult<Resource> result =
      await([&](const StoreCallback<Resource> &done) {
        Store.Read(kind, name, done);
      });
  if (!result.Got && result.Failure != StoreFailure::Missing)
    throw ObjectApiUnavailable("the store does not answer");
  return result.Got;
}

StoreResult<Resource> BlockingStore::write(ResourceKind kind,
                                           const Resource &object) {
  return await([&](const StoreCallback<Resource> &done) {
    if (object.Revision == 0)
      Store.Create(kind, object, done);
    else
      Store.Replace(kind, object, done);
  });
}

bool BlockingStore::update(ResourceKind kind, const std::string &name,
                           const Edit &edit) {
  bool isUnknown = false;
  const auto fail = [&isUnknown](const char *why) {
    if (isUnknown)
      throw WriteOutcomeUnknown(why);
    throw ObjectApiUnavailable(why);
  };
  for (int n = 0; n < MaxAttempts; ++n) {
    Resource object;
    object.Name = name;
    try {
      object = read(kind, name).value_or(object);
    } catch (const ObjectApiUnavailable &error) {
      fail(error.what());
    }
    const std::optional<std::string> body = edit(object.Body);
    // After a write of unknown outcome: it took effect.
    if (!body)
      return isUnknown;
    object.Body = *body;
    const StoreResult<Resource> result = write(kind, object);
    if (result.Got)
      return true;
    if (result.Failure == StoreFailure::Unavailable)
      fail("the store does not answer");
    isUnknown = isUnknown || result.Failure == StoreFailure::Unknown;
  }
  fail("the object changes all the time");
  return false;
}

} // namespace sorrelbay
