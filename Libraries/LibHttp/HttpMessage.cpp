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

HttpHeaders endToEndHeaders(const HttpHeaders &headers) {
  HttpHeaders out;
  for (const HttpHeader &it : headers)
    if (!isConnectionHeader(it.Name))
      out.push_back(it);
  return out;
}

} // namespace sorrelbay
