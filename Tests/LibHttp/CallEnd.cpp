#include "CallEnd.h"
#include <boost/asio.hpp>

namespace sorrelbay {

CallEnd endOf(const std::string &address, const HttpCall &call) {
  boost::asio::io_context loop;
  AsyncHttpClient client(loop);
  CallEnd out;
  HttpCallHooks hooks;
  hooks.IsForThisCall = [](const HttpReplyHead &) { return true; };
  hooks.OnHead = [&](const HttpReplyHead &) { out.HasHead = true; };
  hooks.OnBody = [&](std::string_view bytes) { out.Body.append(bytes); };
  hooks.OnEnd = [&] { out.IsWhole = true; };
  hooks.OnFailure = [&](HttpFailure why) { out.Failure = why; };
  client.send(address, call, hooks);
  while (!out.IsWhole && !out.Failure)
    loop.run_one();
  return out;
}

} // namespace sorrelbay
