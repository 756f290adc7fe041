#include "LibBase/Trace.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <atomic>
#include <random>

namespace sorrelbay {

static constexpr std::size_t TraceIdDigits = 32;
static constexpr std::size_t SpanIdDigits = 16;
// "00-", the trace id, "-", the span id, "-" and two digits of flags.
static constexpr std::size_t TraceParentLength = 55;
static constexpr std::size_t TraceIdStart = 3;
static constexpr std::size_t SpanIdStart = 36;

static std::atomic<bool> IsSpanOutputEnabled{false};

void setSpanOutputEnabled(bool isEnabled) { IsSpanOutputEnabled = isEnabled; }

std::string randomHex(std::size_t n) {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  static const char alphabet[] = "0123456789abcdef";
  std::string out;
  while (out.size() < n) {
    std::uint64_t bits = generator();
    for (int it = 0; it < 16 && out.size() < n; ++it, bits >>= 4)
      out.push_back(alphabet[bits & 0xf]);
  }
  return out;
}

static bool isHex(const std::string &text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

static bool isAllZero(const std::string &text) {
  return text.find_first_not_of('0') == std::string::npos;
}

TraceContext parseTraceParent(const std::string &header) {
  if (header.size() == TraceParentLength && header[2] == '-' &&
      header[SpanIdStart - 1] == '-') {
    const std::string trace = header.substr(TraceIdStart, TraceIdDigits);
    const std::string span = header.substr(SpanIdStart, SpanIdDigits);
    if (isHex(trace) && isHex(span) && !isAllZero(trace) && !isAllZero(span))
      return {trace, span};
  }
  return {randomHex(TraceIdDigits), ""};
}

std::string renderTraceParent(const TraceContext &context) {
  const std::string span =
      context.SpanId.empty() ? randomHex(SpanIdDigits) : context.SpanId;
  return "00-" + context.TraceId + "-" + span + "-01";
}

Span::Span(std::string name, const TraceContext &parent)
    : Name(std::move(name)),
      ParentSpanId(parent.SpanId), OwnContext{parent.TraceId,
                                              randomHex(SpanIdDigits)},
      Start(now()) {}

Span::~Span() {
  if (!IsSpanOutputEnabled)
    return;
  LogLine line(Severity::Info, "span");
  line.field("traceId", OwnContext.TraceId)
      .field("spanId", OwnContext.SpanId)
      .field("parentSpanId", ParentSpanId)
      .field("name", Name)
      .field("startTimeUnixMicro",
             static_cast<std::int64_t>(Start.time_since_epoch().count()))
      .field("durationMicro",
             static_cast<std::int64_t>((now() - Start).count()))
      .field("attributes", Attributes)
      .field("status", Failure.empty() ? "ok" : "error: " + Failure);
}

void Span::setAttribute(const std::string &key, const std::string &value) {
  if (!Attributes.empty())
    Attributes += ' ';
  Attributes += key + "=" + value;
}

void Span::setFailed(const std::string &reason) { Failure = reason; }

} // namespace sorrelbay
