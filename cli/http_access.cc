// The client makes one call at a time, so each call runs the loop until its
// response has arrived or the call has failed or timed out.

#include "cli/http_access.h"

#include <utility>

namespace walnutwing {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpClientError = 400;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
constexpr Duration kMaxIterationWait{ 50 };
constexpr const char* kLogTarget = "/log/config";
constexpr int kMaxRecordsPerRead = 500;

bool
IsComplete(const net::HttpResponse& aResponse)
{
  return aResponse.m_end.m_stage == net::CallStage::Complete;
}

} // namespace

HttpAccess::HttpAccess(const std::string& aPlatform, Duration aCallTimeout)
  : m_client(m_loop)
  , m_platform(aPlatform)
  , m_callTimeout(aCallTimeout)
{
}

std::optional<proto::ReadResponse>
HttpAccess::ReadLog(std::uint64_t aFrom)
{
  std::string target = kLogTarget;
  target.append("?from=").append(std::to_string(aFrom));
  target.append("&limit=").append(std::to_string(kMaxRecordsPerRead));
  const net::HttpResponse httpResponse = Fetch(m_platform, "GET", target, "");
  proto::ReadResponse response;
  if (!IsComplete(httpResponse) || httpResponse.m_status != kHttpOk ||
      !response.ParseFromString(httpResponse.m_body)) {
    return std::nullopt;
  }
  return response;
}

AppendOutcome
HttpAccess::Append(const std::string& aBody)
{
  proto::AppendRequest request;
  request.add_bodies(aBody);
  const net::HttpResponse httpResponse =
    Fetch(m_platform, "POST", kLogTarget, request.SerializeAsString());
  if (httpResponse.m_end.m_stage == net::CallStage::NotSent) {
    return AppendOutcome::NotAppended;
  }
  if (!IsComplete(httpResponse)) {
    return AppendOutcome::Unknown;
  }
  if (httpResponse.m_status == kHttpOk) {
    return AppendOutcome::Appended;
  }
  const bool refused = (httpResponse.m_status >= kHttpClientError &&
                        httpResponse.m_status < kHttpServerError) ||
                       httpResponse.m_status == kHttpUnavailable;
  return refused ? AppendOutcome::NotAppended : AppendOutcome::Unknown;
}

std::optional<proto::VmList>
HttpAccess::ListVms()
{
  const net::HttpResponse httpResponse = Fetch(m_platform, "GET", "/vms", "");
  proto::VmList list;
  if (!IsComplete(httpResponse) || httpResponse.m_status != kHttpOk ||
      !list.ParseFromString(httpResponse.m_body)) {
    return std::nullopt;
  }
  return list;
}

std::optional<PageResponse>
HttpAccess::GetPage(const std::string& aAddress, const std::string& aPath)
{
  const net::HttpResponse httpResponse = Fetch(aAddress, "GET", aPath, "");
  if (!IsComplete(httpResponse)) {
    return std::nullopt;
  }
  return PageResponse{ httpResponse.m_status, httpResponse.m_body };
}

void
HttpAccess::Sleep(Duration aDelay)
{
  bool done = false;
  m_loop.After(aDelay, [&done] { done = true; });
  while (!done) {
    m_loop.RunOnce(kMaxIterationWait);
  }
}

net::HttpResponse
HttpAccess::Fetch(const std::string& aAddress,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  std::string aBody)
{
  net::HttpResponse result;
  const auto endpoint = net::Endpoint::Parse(aAddress);
  if (!endpoint) {
    return result;
  }
  net::CallRequest request;
  request.m_endpoint = *endpoint;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_headers.Add("content-type", "application/x-protobuf");
  request.m_body = std::move(aBody);
  // With a pooled connection, which may be dead, NotAppended would not be
  // certain.
  request.m_freshConnection = true;
  bool done = false;
  const auto call = net::FetchResponse(m_client,
                                       m_loop,
                                       std::move(request),
                                       m_callTimeout,
                                       kMaxResponseBytes,
                                       [&](net::HttpResponse aResponse) {
                                         result = std::move(aResponse);
                                         done = true;
                                       });
  while (!done) {
    m_loop.RunOnce(kMaxIterationWait);
  }
  return result;
}

} // namespace walnutwing
