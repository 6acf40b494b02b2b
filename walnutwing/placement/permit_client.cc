// Asks owners one after the other in the chat's ranking order, so that a chat
// that spills over reaches the same second choice each time. Every permit
// request ends in exactly one of grant, denial, timeout or cancellation (by the
// caller or a change of the owner). After a timeout or a cancellation, a
// release follows the permit request on the same connection, so that the owner
// ends a permit that it may have granted in the meantime.

#include "walnutwing/placement/permit_client.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace walnutwing {

PermitClient::PermitClient(PermitClientOptions aOptions)
  : m_options(aOptions)
{
  if (m_options.m_maxTries == 0) {
    throw std::invalid_argument("at least one owner must be asked");
  }
}

void
PermitClient::OnRequest(PlacementRequest aPlacementRequest,
                        Time aNow,
                        PermitClientActions& aOut)
{
  const RequestId id = aPlacementRequest.m_request;
  const auto [entry, added] = m_requests.try_emplace(id);
  if (!added) {
    throw std::invalid_argument("request id " + std::to_string(id.Value()) +
                                " is in use");
  }
  entry->second.m_placementRequest = std::move(aPlacementRequest);
  AskNext(entry->second, aNow, aOut);
}

bool
PermitClient::IsInBackoff(const DaemonId& aOwner, Time aNow) const
{
  const auto found = m_backoffUntil.find(aOwner);
  return found != m_backoffUntil.end() && found->second > aNow;
}

void
PermitClient::AskNext(Request& aRequest, Time aNow, PermitClientActions& aOut)
{
  const auto& targets = aRequest.m_placementRequest.m_targets;
  for (; aRequest.m_nextTarget < targets.size(); ++aRequest.m_nextTarget) {
    if (aRequest.m_tries >= m_options.m_maxTries ||
        aNow >= aRequest.m_placementRequest.m_deadline) {
      break;
    }
    const DaemonId& owner = targets[aRequest.m_nextTarget].m_owner;
    if (owner.Empty() || IsInBackoff(owner, aNow)) {
      continue;
    }
    ++aRequest.m_tries;
    AskTarget(aRequest, aRequest.m_nextTarget++, false, aNow, aOut);
    return;
  }
  HandleNoGrant(aRequest, aNow, aOut);
}

void
PermitClient::AskTarget(Request& aRequest,
                        std::size_t aTarget,
                        bool aMayWait,
                        Time aNow,
                        PermitClientActions& aOut)
{
  const Time deadline = aRequest.m_placementRequest.m_deadline;
  aRequest.m_phase = aMayWait ? Phase::Waiting : Phase::Asking;
  aRequest.m_currentTarget = aTarget;
  if (aMayWait) {
    aRequest.m_waitUntil = std::min(aNow + m_options.m_waitTimeout, deadline);
  }
  SendPermitRequest(aRequest, aNow, aOut);
}

// Sends the permit request for the current target, first or again, and sets its
// timeout.
void
PermitClient::SendPermitRequest(Request& aRequest,
                                Time aNow,
                                PermitClientActions& aOut)
{
  const PlacementRequest& placementRequest = aRequest.m_placementRequest;
  const PermitTarget& target =
    placementRequest.m_targets[aRequest.m_currentTarget];
  const bool mayWait = aRequest.m_phase == Phase::Waiting;
  const Time until =
    mayWait ? aRequest.m_waitUntil : placementRequest.m_deadline;
  aRequest.m_timeoutAt = std::min(
    aNow + (mayWait ? m_options.m_resendInterval : m_options.m_answerTimeout),
    until);
  m_timeouts.emplace(aRequest.m_timeoutAt, placementRequest.m_request);

  SendToOwner send;
  send.m_owner = target.m_owner;
  proto::PermitRequest& message = *send.m_message.mutable_permit_request();
  message.set_request_id(placementRequest.m_request.Value());
  message.set_upstream(target.m_upstream.Value());
  message.set_customer(placementRequest.m_customer.Value());
  message.set_service(placementRequest.m_service.Value());
  message.set_priority(placementRequest.m_priority);
  message.set_may_wait(mayWait);
  const Duration left = std::max(until - aNow, Duration(0));
  message.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
  aOut.emplace_back(std::move(send));
}

void
PermitClient::HandleNoGrant(Request& aRequest,
                            Time aNow,
                            PermitClientActions& aOut)
{
  const bool beforeDeadline = aNow < aRequest.m_placementRequest.m_deadline;
  if (beforeDeadline && aRequest.m_firstFullTarget && !aRequest.m_hasWaited) {
    aRequest.m_hasWaited = true;
    AskTarget(aRequest, *aRequest.m_firstFullTarget, true, aNow, aOut);
    return;
  }
  if (beforeDeadline && !aRequest.m_firstFullTarget &&
      TakeSelfPermit(aRequest, aNow, aOut)) {
    return;
  }
  PermitRefused refused;
  refused.m_request = aRequest.m_placementRequest.m_request;
  refused.m_code = RefusalCode(aRequest, beforeDeadline);
  refused.m_retryAfter = aRequest.m_retryAfter.value_or(m_options.m_retryAfter);
  m_requests.erase(refused.m_request);
  aOut.emplace_back(refused);
}

ResultCode
PermitClient::RefusalCode(const Request& aRequest, bool aBeforeDeadline)
{
  if (!aBeforeDeadline) {
    return ResultCode::DeadlineTooShort;
  }
  if (aRequest.m_refusalCode) {
    return *aRequest.m_refusalCode;
  }
  return aRequest.m_placementRequest.m_targets.empty()
           ? ResultCode::NoUpstream
           : ResultCode::PermitTimeout;
}

// Takes a self-permit for a target that has no owner or whose owner does not
// answer. Each target is considered once per request, so that an unreachable
// upstream is not tried again.
bool
PermitClient::TakeSelfPermit(Request& aRequest,
                             Time aNow,
                             PermitClientActions& aOut)
{
  const auto& targets = aRequest.m_placementRequest.m_targets;
  while (aRequest.m_nextSelfPermitTarget < targets.size()) {
    const std::size_t i = aRequest.m_nextSelfPermitTarget++;
    const PermitTarget& target = targets[i];
    const auto held = m_held.find(target.m_upstream);
    const std::uint32_t used =
      held == m_held.end() ? 0 : held->second.m_selfPermitCount;
    const bool ownerAnswers =
      !target.m_owner.Empty() && !IsInBackoff(target.m_owner, aNow);
    if (ownerAnswers || used >= target.m_selfPermitLimit) {
      continue;
    }
    HoldPermit(aRequest, i, true, aOut);
    return true;
  }
  return false;
}

void
PermitClient::HoldPermit(Request& aRequest,
                         std::size_t aTarget,
                         bool aSelfPermitted,
                         PermitClientActions& aOut)
{
  const PermitTarget& target = aRequest.m_placementRequest.m_targets[aTarget];
  aRequest.m_phase = Phase::Held;
  aRequest.m_currentTarget = aTarget;
  aRequest.m_selfPermitted = aSelfPermitted;
  HeldPermits& held = m_held[target.m_upstream];
  held.m_owner = target.m_owner;
  held.m_requests.insert(aRequest.m_placementRequest.m_request);
  held.m_selfPermitCount += aSelfPermitted ? 1 : 0;
  aOut.emplace_back(PermitReady{
    aRequest.m_placementRequest.m_request, target.m_upstream, aSelfPermitted });
}

PermitClient::Request*
PermitClient::FindPendingRequest(const DaemonId& aFrom,
                                 std::uint64_t aRequest,
                                 const std::string& aUpstream)
{
  const auto found = m_requests.find(RequestId(aRequest));
  if (found == m_requests.end() || found->second.m_phase == Phase::Held) {
    return nullptr;
  }
  Request& request = found->second;
  const PermitTarget& target =
    request.m_placementRequest.m_targets[request.m_currentTarget];
  const bool matches =
    target.m_owner == aFrom && target.m_upstream.Value() == aUpstream;
  return matches ? &request : nullptr;
}

void
PermitClient::OnGrant(const DaemonId& aFrom,
                      const proto::PermitGrant& aGrant,
                      Time /*aNow*/,
                      PermitClientActions& aOut)
{
  m_backoffUntil.erase(aFrom);
  Request* request =
    FindPendingRequest(aFrom, aGrant.request_id(), aGrant.upstream());
  if (request != nullptr) {
    CancelTimeout(*request);
    HoldPermit(*request, request->m_currentTarget, false, aOut);
    return;
  }
  const auto held = m_held.find(UpstreamId(aGrant.upstream()));
  if (held != m_held.end() && held->second.m_owner == aFrom &&
      held->second.m_requests.contains(RequestId(aGrant.request_id()))) {
    return; // a duplicate grant of a held permit
  }
  SendToOwner back;
  back.m_owner = aFrom;
  proto::PermitRelease& release = *back.m_message.mutable_permit_release();
  release.set_request_id(aGrant.request_id());
  release.set_upstream(aGrant.upstream());
  aOut.emplace_back(std::move(back));
}

void
PermitClient::OnDeny(const DaemonId& aFrom,
                     const proto::PermitDeny& aDeny,
                     Time aNow,
                     PermitClientActions& aOut)
{
  m_backoffUntil.erase(aFrom);
  Request* request =
    FindPendingRequest(aFrom, aDeny.request_id(), aDeny.upstream());
  if (request == nullptr) {
    return;
  }
  const auto code = static_cast<ResultCode>(aDeny.code());
  if (request->m_phase == Phase::Waiting && code == ResultCode::PermitTimeout) {
    return; // not the owner by its own view; the request is sent again later
  }
  CancelTimeout(*request);
  const Duration retryAfter(aDeny.retry_after_ms());
  if (request->m_phase == Phase::Waiting || !request->m_refusalCode) {
    request->m_refusalCode = code;
  }
  request->m_retryAfter =
    std::min(retryAfter, request->m_retryAfter.value_or(retryAfter));
  if (code == ResultCode::NoUpstream) {
    ExcludeTarget(*request);
  } else if (code == ResultCode::QueueFull && !request->m_firstFullTarget) {
    request->m_firstFullTarget = request->m_currentTarget;
  }
  AskNext(*request, aNow, aOut);
}

// Excludes the current target, which accepts no more requests. A request that
// waited for it starts over with the other targets. Each call excludes one
// target, so the search terminates.
void
PermitClient::ExcludeTarget(Request& aRequest)
{
  PermitTarget& target =
    aRequest.m_placementRequest.m_targets[aRequest.m_currentTarget];
  target.m_owner = DaemonId();
  target.m_selfPermitLimit = 0;
  if (aRequest.m_phase != Phase::Waiting) {
    return;
  }
  aRequest.m_firstFullTarget.reset();
  aRequest.m_hasWaited = false;
  aRequest.m_nextTarget = 0;
  aRequest.m_tries = 0;
}

void
PermitClient::OnTick(Time aNow, PermitClientActions& aOut)
{
  while (!m_timeouts.empty() && m_timeouts.begin()->first <= aNow) {
    Request& request = m_requests.at(m_timeouts.begin()->second);
    CancelTimeout(request);
    if (request.m_phase == Phase::Waiting && aNow < request.m_waitUntil) {
      SendPermitRequest(request, aNow, aOut);
      continue;
    }
    SendRelease(request, false, false, aOut);
    const PlacementRequest& placementRequest = request.m_placementRequest;
    if (request.m_phase == Phase::Waiting) {
      request.m_refusalCode = ResultCode::PermitTimeout;
    } else if (aNow < placementRequest.m_deadline) {
      m_backoffUntil[placementRequest.m_targets[request.m_currentTarget]
                       .m_owner] = aNow + m_options.m_ownerBackoff;
    }
    AskNext(request, aNow, aOut);
  }
  std::erase_if(m_backoffUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

void
PermitClient::OnCancel(RequestId aRequest,
                       Time /*aNow*/,
                       PermitClientActions& aOut)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end() || found->second.m_phase == Phase::Held) {
    return;
  }
  CancelTimeout(found->second);
  SendRelease(found->second, false, false, aOut);
  m_requests.erase(found);
}

void
PermitClient::OnFinished(RequestId aRequest,
                         bool aFailed,
                         bool aCold,
                         PermitClientActions& aOut)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end() || found->second.m_phase != Phase::Held) {
    return;
  }
  RemoveHeldPermit(found->second);
  SendRelease(found->second, aFailed, aCold, aOut);
  m_requests.erase(found);
}

void
PermitClient::OnUnreachable(RequestId aRequest,
                            Time aNow,
                            PermitClientActions& aOut)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end() || found->second.m_phase != Phase::Held) {
    return;
  }
  Request& request = found->second;
  RemoveHeldPermit(request);
  SendRelease(request, true, false, aOut);
  request.m_refusalCode = ResultCode::UpstreamUnreachable;
  AskNext(request, aNow, aOut);
}

void
PermitClient::OnOwnerChanged(const UpstreamId& aUpstream,
                             const DaemonId& aOwner,
                             Time aNow,
                             PermitClientActions& aOut)
{
  std::vector<Request*> asking;
  for (auto& [id, request] : m_requests) {
    for (PermitTarget& target : request.m_placementRequest.m_targets) {
      if (target.m_upstream != aUpstream || target.m_owner == aOwner) {
        continue;
      }
      const bool current =
        &target ==
        &request.m_placementRequest.m_targets[request.m_currentTarget];
      if (current && request.m_phase != Phase::Held) {
        CancelTimeout(request);
        SendRelease(request, false, false, aOut);
        asking.push_back(&request);
      }
      target.m_owner = aOwner;
    }
  }
  const auto held = m_held.find(aUpstream);
  if (held != m_held.end() && held->second.m_owner != aOwner) {
    held->second.m_owner = aOwner;
    SendReport(aUpstream, aOwner, aOut);
  }
  for (Request* request : asking) {
    if (aOwner.Empty()) {
      AskNext(*request, aNow, aOut);
      continue;
    }
    const bool mayWait = request->m_phase == Phase::Waiting;
    AskTarget(*request, request->m_currentTarget, mayWait, aNow, aOut);
  }
}

void
PermitClient::ReportHeldPermits(PermitClientActions& aOut)
{
  for (const auto& [upstream, held] : m_held) {
    SendReport(upstream, held.m_owner, aOut);
  }
  // An upstream without permits is reported once more, which ends any permit
  // whose release was lost, and is then removed.
  std::erase_if(m_held, [](const auto& aEntry) {
    return aEntry.second.m_requests.empty();
  });
}

std::optional<Time>
PermitClient::NextTimeout() const
{
  if (m_timeouts.empty()) {
    return std::nullopt;
  }
  return m_timeouts.begin()->first;
}

std::size_t
PermitClient::HeldCount() const
{
  return m_requests.size() - m_timeouts.size();
}

void
PermitClient::SendReport(const UpstreamId& aUpstream,
                         const DaemonId& aOwner,
                         PermitClientActions& aOut) const
{
  if (aOwner.Empty()) {
    return;
  }
  SendToOwner send;
  send.m_owner = aOwner;
  proto::PermitReport& report = *send.m_message.mutable_permit_report();
  report.set_upstream(aUpstream.Value());
  for (const RequestId& request : m_held.at(aUpstream).m_requests) {
    report.add_request_ids(request.Value());
  }
  aOut.emplace_back(std::move(send));
}

void
PermitClient::SendRelease(const Request& aRequest,
                          bool aFailed,
                          bool aCold,
                          PermitClientActions& aOut)
{
  const PermitTarget& target =
    aRequest.m_placementRequest.m_targets[aRequest.m_currentTarget];
  if (target.m_owner.Empty()) {
    return;
  }
  SendToOwner send;
  send.m_owner = target.m_owner;
  // The release of a request that ended normally may be batched with later
  // messages. A release that withdraws a permit request, or that reports a
  // failure or a cold upstream, is urgent.
  send.m_urgent = aFailed || aCold || aRequest.m_phase != Phase::Held;
  proto::PermitRelease& release = *send.m_message.mutable_permit_release();
  release.set_request_id(aRequest.m_placementRequest.m_request.Value());
  release.set_upstream(target.m_upstream.Value());
  release.set_failed(aFailed);
  release.set_cold(aCold);
  aOut.emplace_back(std::move(send));
}

void
PermitClient::RemoveHeldPermit(const Request& aRequest)
{
  const UpstreamId& upstream =
    aRequest.m_placementRequest.m_targets[aRequest.m_currentTarget].m_upstream;
  HeldPermits& held = m_held.at(upstream);
  held.m_requests.erase(aRequest.m_placementRequest.m_request);
  held.m_selfPermitCount -= aRequest.m_selfPermitted ? 1 : 0;
}

void
PermitClient::CancelTimeout(const Request& aRequest)
{
  m_timeouts.erase(
    { aRequest.m_timeoutAt, aRequest.m_placementRequest.m_request });
}

} // namespace walnutwing
