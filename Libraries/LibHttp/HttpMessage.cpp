#include "LibHttp/HttpMessage.h"
#include <algorithm>
#include <array>
#include <cctype>

namespace sorrelbay {

static constexpr std::array<std::string_view, 10> ConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authorization",
    "Expect"};

static constexpr std::array<int, 4> NotRunStatuses = {408, 421, 429, 503};

static bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

static bool isConnectionHeader(std::string_view name) {
  return std::any_of(
      ConnectionHeaders.begin(), ConnectionHeaders.end(),
      [&](std::string_view it) { return equalsIgnoringCase(it, name); });
}

static const HttpHeader *find(const HttpHeaders &headers,
                              std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &h) {
        return equalsIgnoringCase(h.Name, name);
      });
  return it == headers.end() ? nullptr : &*it;
}

std::string headerValue(const HttpHeaders &headers, std::string_view name) {
  const HttpHeader *found = find(headers, name);
  return found == nullptr ? "" : found->Value;
}

bool hasHeader(const HttpHeaders &headers, std::string_view name) {
  return find(headers, name) != nullptr;
}

HttpHeaders withoutHeader(const HttpHeaders &headers, std::string_view name) {
  HttpHeaders out;
  for (const HttpHeader &it : headers)
    if (!equalsIgnoringCase(it.Name, name))
      out.push_back(it);
  return out;
}

bool isNotRunStatus(int status) {
  return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status) !=
         NotRunStatuses.end();
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers) {
  HttpHeaders out;
  for (const HttpHeader &it : headers)
    if (!isConnectionHeader(it.Name))
      out.push_back(it);
  return out;
}

std::string requestText(const HttpCall &call, const std::string &address) {
  std::string out = call.Method;
  out += ' ';
  out += call.Path;
  out += " HTTP/1.1\r\n";
  if (!hasHeader(call.Headers, "Host"))
    out += "Host: " + address + "\r\n";
  for (const HttpHeader &it : call.Headers) {
    out += it.Name;
    out += ": ";
    out += it.Value;
    out += "\r\n";
  }
  if (!call.Body.empty() || (call.Method != "GET" && call.Method != "HEAD"))
    out += "Content-Length: " + std::to_string(call.Body.size()) + "\r\n";
  out += "\r\n";
  out += call.Body;
  return out;
}

} // namespace sorrelbay
