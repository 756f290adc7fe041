#pragma once

#include "LibBase/Time.h"
#include <string>

namespace sorrelbay {

/// Where a call stands in a trace, as W3C Trace Context carries it in the
/// header `traceparent`.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits; the parent of spans made from this.
  std::string SpanId;
};

/// Reads a `traceparent` header; anything malformed starts a new trace, as the
/// recommendation asks.
TraceContext parseTraceParent(const std::string &header);

/// The header for a call made on behalf of this context.
std::string renderTraceParent(const TraceContext &context);

/// A random identifier of that many hexadecimal digits, unique in practice
/// over all hosts.
std::string randomHex(std::size_t digits);

/// One hop of a request. It is written as a JSON line with the field names of
/// OTLP when it is destroyed. There is no OpenTelemetry package for C++ in
/// Debian, so this is its nearest kin.
class Span {
public:
  Span(std::string name, const TraceContext &parent);
  ~Span();
  Span(const Span &) = delete;
  Span &operator=(const Span &) = delete;

  /// The context to pass on to what this hop calls.
  const TraceContext &context() const { return Own; }
  void setAttribute(const std::string &key, const std::string &value);
  void setFailed(const std::string &reason);

private:
  std::string Name;
  std::string ParentSpanId;
  TraceContext Own;
  Instant Start;
  std::string Attributes;
  std::string Failure;
};

/// Whether spans are written; off by default, so that tests stay quiet.
void setSpanOutputEnabled(bool areWritten);

} // namespace sorrelbay
