// A client does one thing at a time, so each call runs the loop until its
// answer is there or its time is over.

#include "cli/http_access.h"

#include <utility>

namespace walnutwing {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpClientError = 400;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;
constexpr Duration kTurn{ 50 };
constexpr const char* kLogTarget = "/log/config";
constexpr int kReadLimit = 500;

bool
IsWhole(const net::HttpResponse& aAnswer)
{
  return aAnswer.m_end.m_stage == net::CallStage::Complete;
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
  target.append("&limit=").append(std::to_string(kReadLimit));
  const net::HttpResponse answer = Fetch(m_platform, "GET", target, "");
  proto::ReadResponse response;
  if (!IsWhole(answer) || answer.m_status != kHttpOk ||
      !response.ParseFromString(answer.m_body)) {
    return std::nullopt;
  }
  return response;
}

AppendOutcome
HttpAccess::Append(const std::string& aBody)
{
  proto::AppendRequest request;
  request.add_bodies(aBody);
  const net::HttpResponse answer =
    Fetch(m_platform, "POST", kLogTarget, request.SerializeAsString());
  if (answer.m_end.m_stage == net::CallStage::NotSent) {
    return AppendOutcome::NotTaken;
  }
  if (!IsWhole(answer)) {
    return AppendOutcome::Unknown;
  }
  if (answer.m_status == kHttpOk) {
    return AppendOutcome::Taken;
  }
  const bool refused = (answer.m_status >= kHttpClientError &&
                        answer.m_status < kHttpServerError) ||
                       answer.m_status == kHttpUnavailable;
  return refused ? AppendOutcome::NotTaken : AppendOutcome::Unknown;
}

std::optional<proto::VmList>
HttpAccess::ListVms()
{
  const net::HttpResponse answer = Fetch(m_platform, "GET", "/vms", "");
  proto::VmList list;
  if (!IsWhole(answer) || answer.m_status != kHttpOk ||
      !list.ParseFromString(answer.m_body)) {
    return std::nullopt;
  }
  return list;
}

std::optional<PageAnswer>
HttpAccess::GetPage(const std::string& aAddress, const std::string& aPath)
{
  const net::HttpResponse answer = Fetch(aAddress, "GET", aPath, "");
  if (!IsWhole(answer)) {
    return std::nullopt;
  }
  return PageAnswer{ answer.m_status, answer.m_body };
}

void
HttpAccess::Sleep(Duration aDelay)
{
  bool over = false;
  m_loop.After(aDelay, [&over] { over = true; });
  while (!over) {
    m_loop.RunOnce(kTurn);
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
  // A pooled connection may be dead, and then "not taken" would not be certain.
  request.m_freshConnection = true;
  bool over = false;
  const auto call = net::FetchResponse(m_client,
                                       m_loop,
                                       std::move(request),
                                       m_callTimeout,
                                       kMaxAnswerBytes,
                                       [&](net::HttpResponse aAnswer) {
                                         result = std::move(aAnswer);
                                         over = true;
                                       });
  while (!over) {
    m_loop.RunOnce(kTurn);
  }
  return result;
}

} // namespace walnutwing
