#include "router/response_writer.h"

#include <cstdio>
#include <utility>

namespace walnutwing::router {
namespace {

std::string
FormatSeconds(Duration aTime)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.2f", std::chrono::duration<double>(aTime).count());
  return text;
}

void
WriteErrorResponse(ResponseWriter& aWriter,
                   ResultCode aCode,
                   std::optional<Duration> aRetryAfter)
{
  const ResultCodeRow& row = RowOf(aCode);
  const std::string number = std::to_string(static_cast<int>(aCode));
  std::string head = "HTTP/1.1 " + std::to_string(row.m_httpStatus) + " " +
                     std::string(row.m_name) + "\r\n";
  head += "Content-Type: application/json\r\n";
  head += "walnutwing-code: " + number + "\r\n";
  if (aRetryAfter) {
    head += "Retry-After: " + FormatSeconds(*aRetryAfter) + "\r\n";
  }
  const std::string body = R"({"error":{"code":)" + number + R"(,"name":")" +
                           std::string(row.m_name) + R"(","ran":")" +
                           std::string(NameOf(row.m_ran)) + R"(","text":")" +
                           std::string(row.m_text) + "\"}}\n";
  aWriter.Begin(std::move(head), body.size());
  aWriter.Write(body);
  aWriter.End();
}

} // namespace

void
WriteRefusal(ResponseWriter& aWriter,
             const NotRun& /*aNotRun*/,
             ResultCode aCode,
             std::optional<Duration> aRetryAfter)
{
  WriteErrorResponse(aWriter, aCode, aRetryAfter);
}

void
WriteFailure(ResponseWriter& aWriter, ResultCode aCode)
{
  const bool saysNotRun = RowOf(aCode).m_ran == Ran::NotRun;
  WriteErrorResponse(
    aWriter, saysNotRun ? ResultCode::UpstreamFailed : aCode, std::nullopt);
}

} // namespace walnutwing::router
