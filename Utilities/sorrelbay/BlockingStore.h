#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibObjectApi/ResourceStore.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace sorrelbay {

/// The platform's store, one blocking call at a time.
class BlockingStore {
public:
  /// The address is "IP:PORT".
  explicit BlockingStore(const std::string &address);

  /// Reads the object; empty if there is none. Throws ObjectApiUnavailable.
  std::optional<Resource> read(ResourceKind kind, const std::string &name);

  /// Returns the new body of an object, or nothing if it needs no change. The
  /// argument is the present body, empty if there is no object.
  using Edit = std::function<std::optional<std::string>(const std::string &)>;
  /// Changes the object on the condition that nobody else has changed it since
  /// it was read. It is read and edited anew after a conflict, and also after a
  /// write of unknown outcome, so that a change that took effect is not made
  /// twice. Returns whether the object was changed. Throws ObjectApiUnavailable
  /// if it was not, and WriteOutcomeUnknown if it may have been.
  bool update(ResourceKind kind, const std::string &name, const Edit &edit);

private:
  StoreResult<Resource>
  await(const std::function<void(const StoreCallback<Resource> &)> &begin);
  StoreResult<Resource> write(ResourceKind kind, const Resource &object);

  boost::asio::io_context Loop;
  ResourceStore Store;
};

} // namespace sorrelbay
