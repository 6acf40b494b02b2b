#ifndef WALNUTWING_DAEMON_TRACE_H_
#define WALNUTWING_DAEMON_TRACE_H_

// Tracing with one span for each hop: the caller's request or order, each
// search for a permit, each attempt at an upstream. The context is propagated
// in W3C traceparent headers (https://www.w3.org/TR/trace-context/). Finished
// spans are appended to a file, one OTLP/JSON object per line (the format of
// the OTLP file exporter), which OpenTelemetry collectors can read.

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
  std::string m_spanId;  // 16 lower-case hexadecimal digits
  bool m_sampled = true;

  // Parses a traceparent header; std::nullopt if it is not valid.
  static std::optional<TraceContext> Parse(std::string_view aHeader);
  std::string ToHeader() const;
};

struct Span
{
  TraceContext m_context;
  std::string m_parentSpanId; // empty for a root span
  std::string m_name;
  WallTime m_start;
  std::vector<std::pair<std::string, std::string>> m_attributes;
};

class Tracer
{
public:
  // aInstanceId: value of service.instance.id in the written spans. With an
  // empty aFile, spans get ids and are propagated, but not written.
  Tracer(std::string aInstanceId,
         const std::string& aFile,
         std::uint64_t aSeed);

  // Starts a child span of aParent, or the root span of a new trace.
  Span Begin(std::string aName,
             const std::optional<TraceContext>& aParent,
             WallTime aNow);

  // Ends the span at aNow and writes it if it is sampled.
  void End(const Span& aSpan, WallTime aNow);

private:
  std::string GenerateHexDigits(std::size_t aCount);

  std::string m_instanceId;
  std::ofstream m_file;
  std::mt19937_64 m_random;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_TRACE_H_
