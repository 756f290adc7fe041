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

/// Where the platform is and how long one call may take.
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
  throw ObjectApiUnavailable("the object API answered " +
                             std::to_string(reply.Status));
}

HttpReply sendRead(Connection &line, const HttpCall &call) {
  try {
    return line.Pool.send(line.Address, call);
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

std::uint64_t write(Connection &line, const std::string &name,
                    const std::string &body, std::uint64_t expectedVersion) {
  HttpCall call = line.call("PUT", objectPath(name));
  call.Body = body;
  call.ContentType = "application/octet-stream";
  if (expectedVersion == AbsentVersion)
    call.Headers.push_back({"If-None-Match", "*"});
  else
    call.Headers.push_back(
        {"If-Match", "\"" + std::to_string(expectedVersion) + "\""});
  HttpReply reply;
  try {
    // Not over the pool: a pool sends again by itself, and a write whose first
    // try took effect would then look like a conflict with somebody else.
    reply = sendOnce(line.Address, call);
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
    throw VersionConflict("object " + name + " has another version");
  case StatusTooLarge:
    throw ObjectTooLarge("object " + name + " is too large");
  default:
    throwUnavailable(reply);
  }
}

std::vector<std::string> list(Connection &line, const std::string &prefix) {
  const HttpReply reply =
      sendRead(line, line.call("GET", "/v1/objects?prefix=" + prefix));
  if (reply.Status != StatusOk)
    throwUnavailable(reply);
  const auto names = nlohmann::json::parse(reply.Body, nullptr, false);
  if (!names.is_array())
    throw ObjectApiUnavailable("the object API answered no list");
  return names.get<std::vector<std::string>>();
}

} // namespace

ObjectApi connectObjectApi(const std::string &address, Duration timeout) {
  auto line = std::make_shared<Connection>();
  line->Address = address;
  line->Timeout = timeout;
  ObjectApi api;
  api.Read = [line](const std::string &name) {
    return toObject(sendRead(*line, line->call("GET", objectPath(name))));
  };
  api.Write = [line](const std::string &name, const std::string &body,
                     std::uint64_t expectedVersion) {
    return write(*line, name, body, expectedVersion);
  };
  api.Watch = [line](const std::string &name, std::uint64_t knownVersion,
                     Duration waitLimit) {
    HttpCall call = line->call(
        "GET", objectPath(name) + "?watch=" + std::to_string(knownVersion) +
                   "&timeout_ms=" + std::to_string(toMilliseconds(waitLimit)));
    call.ReadTimeout += waitLimit;
    return toObject(sendRead(*line, call));
  };
  api.List = [line](const std::string &prefix) { return list(*line, prefix); };
  return api;
}

} // namespace sorrelbay
