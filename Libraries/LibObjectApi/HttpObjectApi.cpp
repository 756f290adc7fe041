#include "LibObjectApi/HttpObjectApi.h"
#include "LibHttp/HttpClient.h"
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusNotModified = 304;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 412;
constexpr int StatusTooLarge = 413;

/// The address of the object API and the timeout of one call.
struct Connection {
  std::string Address;
  Duration Timeout;
  HttpPool Pool;

  HttpCall call(const char *method, const std::string &path) const {
    HttpCall out;
    out.Method = method;
    out.Path = path;
    out.ConnectTimeout = Timeout;
    out.ReadTimeout = Timeout;
    return out;
  }
};

std::uint64_t versionOf(const HttpReply &reply) {
  std::string tag = headerValue(reply.Headers, "ETag");
  if (tag.size() >= 2 && tag.front() == '"')
    tag = tag.substr(1, tag.size() - 2);
  return std::strtoull(tag.c_str(), nullptr, 10);
}

std::string objectPath(const std::string &name) {
  return "/v1/objects/" + name;
}

[[noreturn]] void throwUnavailable(const HttpReply &reply) {
  throw ObjectApiUnavailable("the object API responded with status " +
                             std::to_string(reply.Status));
}

HttpReply sendRead(Connection &connection, const HttpCall &call) {
  try {
    return connection.Pool.send(connection.Address, call);
  } catch (const HttpNotSent &error) {
    throw ObjectApiUnavailable(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw ObjectApiUnavailable(error.what());
  }
}

std::optional<StoredObject> toObject(const HttpReply &reply) {
  if (reply.Status == StatusNotFound || reply.Status == StatusNotModified)
    return std::nullopt;
  if (reply.Status != StatusOk)
    throwUnavailable(reply);
  return StoredObject{reply.Body, versionOf(reply)};
}

std::uint64_t write(Connection &connection, const std::string &name,
                    const std::string &body, std::uint64_t expectedVersion) {
  HttpCall call = connection.call("PUT", objectPath(name));
  call.Body = body;
  call.ContentType = "application/octet-stream";
  if (expectedVersion == AbsentVersion)
    call.Headers.push_back({"If-None-Match", "*"});
  else
    call.Headers.push_back(
        {"If-Match", "\"" + std::to_string(expectedVersion) + "\""});
  HttpReply reply;
  try {
    // Not through the pool: it resends calls automatically, and a write whose
    // first attempt took effect would then look like a conflict with another
    // writer.
    reply = sendOnce(connection.Address, call);
  } catch (const HttpNotSent &error) {
    throw ObjectApiUnavailable(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw WriteOutcomeUnknown(error.what());
  }
  switch (reply.Status) {
  case StatusOk:
  case StatusCreated:
    return versionOf(reply);
  case StatusConflict:
    throw VersionConflict("object " + name +
                          " has a version other than expected");
  case StatusTooLarge:
    throw ObjectTooLarge("object " + name +
                         " is larger than the object API allows");
  default:
    throwUnavailable(reply);
  }
}

std::vector<std::string> list(Connection &connection,
                              const std::string &prefix) {
  const HttpReply reply = sendRead(
      connection, connection.call("GET", "/v1/objects?prefix=" + prefix));
  if (reply.Status != StatusOk)
    throwUnavailable(reply);
  const auto names = nlohmann::json::parse(reply.Body, nullptr, false);
  if (!names.is_array())
    throw ObjectApiUnavailable(
        "the object API responded with a body that is not a JSON array");
  std::vector<std::string> out;
  for (const auto &it : names)
    if (it.is_string())
      out.push_back(it.get<std::string>());
  return out;
}

} // namespace

ObjectApi connectObjectApi(const std::string &address, Duration timeout) {
  auto connection = std::make_shared<Connection>();
  connection->Address = address;
  connection->Timeout = timeout;
  ObjectApi api;
  api.Read = [connection](const std::string &name) {
    return toObject(
        sendRead(*connection, connection->call("GET", objectPath(name))));
  };
  api.Write = [connection](const std::string &name, const std::string &body,
                           std::uint64_t expectedVersion) {
    return write(*connection, name, body, expectedVersion);
  };
  api.Watch = [connection](const std::string &name, std::uint64_t knownVersion,
                           Duration waitLimit) {
    HttpCall call = connection->call(
        "GET", objectPath(name) + "?watch=" + std::to_string(knownVersion) +
                   "&timeout_ms=" + std::to_string(toMilliseconds(waitLimit)));
    call.ReadTimeout += waitLimit;
    return toObject(sendRead(*connection, call));
  };
  api.List = [connection](const std::string &prefix) {
    return list(*connection, prefix);
  };
  return api;
}

} // namespace sorrelbay
