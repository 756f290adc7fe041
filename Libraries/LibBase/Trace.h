#pragma once

#include "LibBase/Time.h"
#include <string>

namespace sorrelbay {

/// The position of a call in a trace, as in the `traceparent` header of W3C
/// Trace Context.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits; the parent of spans created from this
  /// context.
  std::string SpanId;
};

/// Parses a `traceparent` header. A malformed header starts a new trace, as the
/// W3C recommendation requires.
TraceContext parseTraceParent(const std::string &header);

/// The `traceparent` header for a call made in this context.
std::string renderTraceParent(const TraceContext &context);

/// A random identifier with the given number of hexadecimal digits, unique in
/// practice over all hosts if it is long enough.
std::string randomHex(std::size_t digits);

/// A span of a trace. On destruction it is written as a JSON line with the
/// field names of OTLP, because Debian has no OpenTelemetry package for C++.
class Span {
public:
  Span(std::string name, const TraceContext &parent);
  ~Span();
  Span(const Span &) = delete;
  Span &operator=(const Span &) = delete;

  /// The context for calls made within this span.
  const TraceContext &context() const { return OwnContext; }
  void setAttribute(const std::string &key, const std::string &value);
  void setFailed(const std::string &reason);

private:
  std::string Name;
  std::string ParentSpanId;
  TraceContext OwnContext;
  Instant Start;
  std::string Attributes;
  std::string Failure;
};

/// Enables or disables the output of spans; disabled by default, which keeps
/// the output of tests short.
void setSpanOutputEnabled(bool isEnabled);

} // namespace sorrelbay
