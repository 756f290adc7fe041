#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include <optional>
#include <string>

namespace sorrelbay {

/// How a call ended.
struct CallEnd {
  bool IsWhole = false;
  std::optional<HttpFailure> Failure;
  bool HasHead = false;
  std::string Body;
};

/// Sends the call with an AsyncHttpClient and waits for its end.
CallEnd endOf(const std::string &address, const HttpCall &call = {});

} // namespace sorrelbay
