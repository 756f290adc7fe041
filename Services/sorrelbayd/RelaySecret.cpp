#include "RelaySecret.h"
#include "LibBase/LogLine.h"
#include "LibPeer/RelayEnvelope.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

static constexpr const char *SecretName = "secret";
static constexpr const char *SecretField = "secret";
static constexpr Duration RetryInterval = seconds(1);

/// The secret in the object's body; empty if it has none.
static std::string secretIn(const Resource &object) {
  const auto body = nlohmann::json::parse(object.Body, nullptr, false);
  if (!body.is_object())
    return "";
  const auto it = body.find(SecretField);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

RelaySecret::RelaySecret(GatewayState &state)
    : State(state), RetryTimer(state.Loop) {}

void RelaySecret::read() {
  State.Hooks.Store.Read(
      ResourceKind::Relays, SecretName,
      [this](const StoreResult<Resource> &result) { onRead(result); });
}

void RelaySecret::onRead(const StoreResult<Resource> &result) {
  if (result.Got)
    State.RelaySecret = secretIn(*result.Got);
  if (result.Got && State.RelaySecret.empty())
    LogLine(Severity::Error, "relay secret can't be read")
        .field("revision", static_cast<std::int64_t>(result.Got->Revision));
  if (result.Got)
    return;
  if (result.Failure == StoreFailure::Missing)
    return create();
  retryLater();
}

void RelaySecret::create() {
  Resource object;
  object.Name = SecretName;
  object.Body = nlohmann::json{{SecretField, makeRelaySecret()}}.dump();
  State.Hooks.Store.Create(ResourceKind::Relays, object,
                           [this](const StoreResult<Resource> &result) {
                             // Another host may have been first, or the write
                             // may have taken effect without a response.
                             if (result.Got)
                               onRead(result);
                             else if (result.Failure == StoreFailure::Conflict)
                               read();
                             else
                               retryLater();
                           });
}

void RelaySecret::retryLater() {
  RetryTimer.expires_after(RetryInterval);
  RetryTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      read();
  });
}

} // namespace sorrelbay
