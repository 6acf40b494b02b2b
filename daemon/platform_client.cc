// A 4xx or 503 response means that the log did not append the records. After
// any other failure once a byte was sent, the outcome is unknown.

#include "daemon/platform_client.h"

#include <utility>

namespace walnutwing {
namespace {

constexpr std::size_t kMaxAnswerBytes = 64U << 20U;
constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

template<typename Message>
std::optional<Message>
ParseAnswer(const net::HttpResponse& aAnswer)
{
  Message message;
  if (aAnswer.m_end.m_stage != net::CallStage::Complete ||
      aAnswer.m_status != kHttpOk || !message.ParseFromString(aAnswer.m_body)) {
    return std::nullopt;
  }
  return message;
}

AppendAnswer
ParseAppendAnswer(const net::HttpResponse& aAnswer)
{
  if (const auto response = ParseAnswer<proto::AppendResponse>(aAnswer)) {
    return { AppendVerdict::Appended, LogOffset(response->first_offset()) };
  }
  const bool refusedByLog =
    aAnswer.m_end.m_stage == net::CallStage::Complete &&
    ((aAnswer.m_status >= 400 && aAnswer.m_status < 500) ||
     aAnswer.m_status == kHttpUnavailable);
  if (refusedByLog || aAnswer.m_end.m_stage == net::CallStage::NotSent) {
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
                       std::function<void(AppendAnswer)> aDone)
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
    kMaxAnswerBytes,
    [done = std::move(aDone)](const net::HttpResponse& aAnswer) {
      done(ParseAppendAnswer(aAnswer));
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
    kMaxAnswerBytes,
    [done = std::move(aDone)](const net::HttpResponse& aAnswer) {
      done(ParseAnswer<proto::ReadResponse>(aAnswer));
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
    kMaxAnswerBytes,
    [done = std::move(aDone)](const net::HttpResponse& aAnswer) {
      done(ParseAnswer<proto::VmList>(aAnswer));
    });
}

} // namespace walnutwing
