// A 4xx or 503 response means that the log did not append the records. After
// any other failure once a byte was sent, the outcome is unknown.

#include "daemon/platform_client.h"

#include <utility>

namespace walnutwing {
namespace {

constexpr std::size_t kMaxResponseBytes = 64U << 20U;
constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

template<typename Message>
std::optional<Message>
ParseResponse(const net::HttpResponse& aResponse)
{
  Message message;
  if (aResponse.m_end.m_stage != net::CallStage::Complete ||
      aResponse.m_status != kHttpOk ||
      !message.ParseFromString(aResponse.m_body)) {
    return std::nullopt;
  }
  return message;
}

AppendResult
AppendResultOf(const net::HttpResponse& aResponse)
{
  if (const auto response = ParseResponse<proto::AppendResponse>(aResponse)) {
    return { AppendVerdict::Appended, LogOffset(response->first_offset()) };
  }
  const bool refusedByLog =
    aResponse.m_end.m_stage == net::CallStage::Complete &&
    ((aResponse.m_status >= 400 && aResponse.m_status < 500) ||
     aResponse.m_status == kHttpUnavailable);
  if (refusedByLog || aResponse.m_end.m_stage == net::CallStage::NotSent) {
    return { AppendVerdict::Refused, {} };
  }
  return { AppendVerdict::Unknown, {} };
}

} // namespace

PlatformClient::PlatformClient(net::EventLoop& aLoop,
                               net::HttpClient& aClient,
                               net::Endpoint aPlatform,
                               ZoneId aZone,
                               Duration aTimeout)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_platform(std::move(aPlatform))
  , m_zone(std::move(aZone))
  , m_timeout(aTimeout)
{
}

net::CallRequest
PlatformClient::MakeRequest(std::string aMethod,
                            std::string aTarget,
                            std::string aBody) const
{
  net::CallRequest request;
  request.m_endpoint = m_platform;
  request.m_method = std::move(aMethod);
  request.m_target = std::move(aTarget);
  request.m_body = std::move(aBody);
  request.m_headers.Add("walnutwing-zone", m_zone.Value());
  return request;
}

PlatformClient::CallHandle
PlatformClient::Append(const std::string& aStream,
                       std::vector<std::string> aBodies,
                       std::function<void(AppendResult)> aDone)
{
  proto::AppendRequest body;
  for (std::string& record : aBodies) {
    body.add_bodies(std::move(record));
  }
  net::CallRequest request =
    MakeRequest("POST", "/log/" + aStream, body.SerializeAsString());
  request.m_headers.Add("content-type", "application/x-protobuf");
  // On a pooled connection that had been closed unnoticed, an append that was
  // certainly not taken would have to count as Unknown.
  request.m_freshConnection = true;
  return net::FetchResponse(
    m_client,
    m_loop,
    std::move(request),
    m_timeout,
    kMaxResponseBytes,
    [done = std::move(aDone)](const net::HttpResponse& aResponse) {
      done(AppendResultOf(aResponse));
    });
}

PlatformClient::CallHandle
PlatformClient::Read(
  const std::string& aStream,
  LogOffset aFrom,
  std::uint32_t aLimit,
  std::function<void(std::optional<proto::ReadResponse>)> aDone)
{
  const std::string target = "/log/" + aStream +
                             "?from=" + std::to_string(aFrom.Value()) +
                             "&limit=" + std::to_string(aLimit);
  return net::FetchResponse(
    m_client,
    m_loop,
    MakeRequest("GET", target, ""),
    m_timeout,
    kMaxResponseBytes,
    [done = std::move(aDone)](const net::HttpResponse& aResponse) {
      done(ParseResponse<proto::ReadResponse>(aResponse));
    });
}

PlatformClient::CallHandle
PlatformClient::ListVms(std::function<void(std::optional<proto::VmList>)> aDone)
{
  return net::FetchResponse(
    m_client,
    m_loop,
    MakeRequest("GET", "/vms", ""),
    m_timeout,
    kMaxResponseBytes,
    [done = std::move(aDone)](const net::HttpResponse& aResponse) {
      done(ParseResponse<proto::VmList>(aResponse));
    });
}

} // namespace walnutwing
