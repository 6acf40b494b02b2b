// Lines are written through the buffer of the output stream, so a daemon that
// is killed loses only its last few spans.

#include "daemon/trace.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace walnutwing {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kHeaderChars = 55;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool
IsValidId(std::string_view aText)
{
  return aText.find_first_not_of(kHexDigits) == std::string_view::npos &&
         aText.find_first_not_of('0') != std::string_view::npos;
}

std::string
ToUnixNanoseconds(WallTime aTime)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          aTime.time_since_epoch())
                          .count());
}

} // namespace

// Format: version "-" trace id "-" parent id "-" flags. Only versions after 00
// may append fields.
std::optional<TraceContext>
TraceContext::Parse(std::string_view aHeader)
{
  if (aHeader.size() < kHeaderChars || aHeader.substr(0, 2) == "ff" ||
      aHeader[2] != '-' || aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  if (aHeader.substr(0, 2) == "00" && aHeader.size() != kHeaderChars) {
    return std::nullopt;
  }
  const std::string_view flags = aHeader.substr(53, 2);
  if (aHeader.substr(0, 2).find_first_not_of(kHexDigits) !=
        std::string_view::npos ||
      flags.find_first_not_of(kHexDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view traceId = aHeader.substr(3, kTraceIdDigits);
  const std::string_view spanId = aHeader.substr(36, kSpanIdDigits);
  if (!IsValidId(traceId) || !IsValidId(spanId)) {
    return std::nullopt;
  }
  const bool sampled = (kHexDigits.find(flags[1]) & 1U) != 0;
  return TraceContext{ std::string(traceId), std::string(spanId), sampled };
}

std::string
TraceContext::ToHeader() const
{
  return "00-" + m_traceId + "-" + m_spanId + (m_sampled ? "-01" : "-00");
}

Tracer::Tracer(std::string aInstanceId,
               const std::string& aFile,
               std::uint64_t aSeed)
  : m_instanceId(std::move(aInstanceId))
  , m_random(aSeed)
{
  if (!aFile.empty()) {
    m_file.open(aFile, std::ios::app);
  }
}

Span
Tracer::Begin(std::string aName,
              const std::optional<TraceContext>& aParent,
              WallTime aNow)
{
  Span span;
  span.m_name = std::move(aName);
  span.m_start = aNow;
  if (aParent) {
    span.m_context = *aParent;
    span.m_parentSpanId = aParent->m_spanId;
  } else {
    span.m_context.m_traceId = GenerateHexDigits(kTraceIdDigits);
  }
  span.m_context.m_spanId = GenerateHexDigits(kSpanIdDigits);
  return span;
}

void
Tracer::End(const Span& aSpan, WallTime aNow)
{
  if (!m_file.is_open() || !aSpan.m_context.m_sampled) {
    return;
  }
  using nlohmann::json;
  const auto attribute = [](const std::string& aKey,
                            const std::string& aValue) {
    return json{ { "key", aKey }, { "value", { { "stringValue", aValue } } } };
  };
  json attributes = json::array();
  for (const auto& [key, value] : aSpan.m_attributes) {
    attributes.push_back(attribute(key, value));
  }
  const json span = { { "traceId", aSpan.m_context.m_traceId },
                      { "spanId", aSpan.m_context.m_spanId },
                      { "parentSpanId", aSpan.m_parentSpanId },
                      { "name", aSpan.m_name },
                      { "startTimeUnixNano", ToUnixNanoseconds(aSpan.m_start) },
                      { "endTimeUnixNano", ToUnixNanoseconds(aNow) },
                      { "attributes", attributes } };
  const json resource = {
    { "attributes",
      json::array({ attribute("service.name", "walnutwing"),
                    attribute("service.instance.id", m_instanceId) }) }
  };
  const json line = {
    { "resourceSpans",
      json::array(
        { { { "resource", resource },
            { "scopeSpans",
              json::array({ { { "spans", json::array({ span }) } } }) } } }) }
  };
  m_file << line.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

std::string
Tracer::GenerateHexDigits(std::size_t aCount)
{
  std::string digits(aCount, '0');
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    if (i % 16 == 0) {
      bits = m_random();
    }
    digits[i] = kHexDigits[bits & 0xFU];
    bits >>= 4U;
  }
  return digits;
}

} // namespace walnutwing
