#ifndef WALNUTWING_DAEMON_TRACE_H_
#define WALNUTWING_DAEMON_TRACE_H_

// Traces with a span for each hop: the caller's request, each ask for a permit,
// each attempt at an upstream, each append to the platform's log. Context comes
// and goes as W3C traceparent headers (https://www.w3.org/TR/trace-context/).
// Finished spans are appended to a file, one OTLP/JSON object a line (the OTLP
// file exporter's format), which OpenTelemetry collectors read.

#include <cstdint>
#include <fstream>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing {

struct TraceContext
{
  std::string m_traceId; // 32 lower-case hexadecimal digits
  std::string m_spanId;  // 16 of them
  bool m_sampled = true;

  // Reads a traceparent header; nothing when it does not follow the standard.
  static std::optional<TraceContext> Parse(std::string_view aHeader);
  std::string ToHeader() const;
};

struct Span
{
  TraceContext m_context;
  std::string m_parentSpanId; // empty for a root
  std::string m_name;
  WallTime m_start;
  std::vector<std::pair<std::string, std::string>> m_attributes;
};

class Tracer
{
public:
  // aFile empty: spans get ids and are passed on, but nothing is written.
  Tracer(std::string aInstanceId,
         const std::string& aFile,
         std::uint64_t aSeed);

  // A span below aParent, or of a new trace without one.
  Span Begin(std::string aName,
             const std::optional<TraceContext>& aParent,
             WallTime aNow);

  // Writes the span, if it is sampled.
  void End(const Span& aSpan, WallTime aNow);

private:
  std::string GenerateHexDigits(std::size_t aCount);

  std::string m_instanceId;
  std::ofstream m_file;
  std::mt19937_64 m_random;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_TRACE_H_
