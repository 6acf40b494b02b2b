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
    throw std::invalid_argument("the number of owners to ask must be positive");
  }
}

void
PermitClient::OnRequest(PlacementRequest aAsk,
                        Time aNow,
                        PermitClientActions& aOut)
{
  const RequestId id = aAsk.m_request;
  const auto [entry, added] = m_requests.try_emplace(id);
  if (!added) {
    throw std::invalid_argument("request id " + std::to_string(id.Value()) +
                                " is in use");
  }
  entry->second.m_ask = std::move(aAsk);
  AskNext(entry->second, aNow, aOut);
}

bool
PermitClient::IsSilent(const DaemonId& aOwner, Time aNow) const
{
  const auto found = m_silentUntil.find(aOwner);
  return found != m_silentUntil.end() && found->second > aNow;
}

void
PermitClient::AskNext(Request& aRequest, Time aNow, PermitClientActions& aOut)
{
  const auto& targets = aRequest.m_ask.m_targets;
  for (; aRequest.m_next < targets.size(); ++aRequest.m_next) {
    if (aRequest.m_tries >= m_options.m_maxTries ||
        aNow >= aRequest.m_ask.m_deadline) {
      break;
    }
    const DaemonId& owner = targets[aRequest.m_next].m_owner;
    if (owner.Empty() || IsSilent(owner, aNow)) {
      continue;
    }
    ++aRequest.m_tries;
    AskTarget(aRequest, aRequest.m_next++, false, aNow, aOut);
    return;
  }
  FinishAsking(aRequest, aNow, aOut);
}

void
PermitClient::AskTarget(Request& aRequest,
                        std::size_t aTarget,
                        bool aMayWait,
                        Time aNow,
                        PermitClientActions& aOut)
{
  const Time deadline = aRequest.m_ask.m_deadline;
  aRequest.m_phase = aMayWait ? Phase::Waiting : Phase::Asking;
  aRequest.m_current = aTarget;
  if (aMayWait) {
    aRequest.m_waitUntil = std::min(aNow + m_options.m_waitTimeout, deadline);
  }
  SendAsk(aRequest, aNow, aOut);
}

// Sends the permit request for the current target, first or again, and sets its
// timeout.
void
PermitClient::SendAsk(Request& aRequest, Time aNow, PermitClientActions& aOut)
{
  const PlacementRequest& ask = aRequest.m_ask;
  const PermitTarget& target = ask.m_targets[aRequest.m_current];
  const bool mayWait = aRequest.m_phase == Phase::Waiting;
  const Time until = mayWait ? aRequest.m_waitUntil : ask.m_deadline;
  aRequest.m_timeout = std::min(
    aNow + (mayWait ? m_options.m_repeatInterval : m_options.m_askTimeout),
    until);
  m_timeouts.emplace(aRequest.m_timeout, ask.m_request);

  SendToOwner send;
  send.m_owner = target.m_owner;
  proto::PermitRequest& message = *send.m_message.mutable_permit_request();
  message.set_request_id(ask.m_request.Value());
  message.set_upstream(target.m_upstream.Value());
  message.set_customer(ask.m_customer.Value());
  message.set_service(ask.m_service.Value());
  message.set_priority(ask.m_priority);
  message.set_may_wait(mayWait);
  const Duration left = std::max(until - aNow, Duration(0));
  message.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
  aOut.emplace_back(std::move(send));
}

void
PermitClient::FinishAsking(Request& aRequest,
                           Time aNow,
                           PermitClientActions& aOut)
{
  const bool inTime = aNow < aRequest.m_ask.m_deadline;
  if (inTime && aRequest.m_full && !aRequest.m_waited) {
    aRequest.m_waited = true;
    AskTarget(aRequest, *aRequest.m_full, true, aNow, aOut);
    return;
  }
  if (inTime && !aRequest.m_full && SelfPermit(aRequest, aNow, aOut)) {
    return;
  }
  PermitRefused refused;
  refused.m_request = aRequest.m_ask.m_request;
  refused.m_code = RefusalCode(aRequest, inTime);
  refused.m_retryAfter = aRequest.m_retryAfter.value_or(m_options.m_retryAfter);
  m_requests.erase(refused.m_request);
  aOut.emplace_back(refused);
}

ResultCode
PermitClient::RefusalCode(const Request& aRequest, bool aInTime)
{
  if (!aInTime) {
    return ResultCode::DeadlineTooShort;
  }
  if (aRequest.m_code) {
    return *aRequest.m_code;
  }
  return aRequest.m_ask.m_targets.empty() ? ResultCode::NoUpstream
                                          : ResultCode::PermitTimeout;
}

// Takes a self-permit for a target that has no owner or whose owner does not
// answer. Each target is considered once per request, so that an unreachable
// upstream is not tried again.
bool
PermitClient::SelfPermit(Request& aRequest,
                         Time aNow,
                         PermitClientActions& aOut)
{
  const auto& targets = aRequest.m_ask.m_targets;
  while (aRequest.m_selfNext < targets.size()) {
    const std::size_t i = aRequest.m_selfNext++;
    const PermitTarget& target = targets[i];
    const auto held = m_held.find(target.m_upstream);
    const std::uint32_t used =
      held == m_held.end() ? 0 : held->second.m_selfPermitted;
    const bool answers =
      !target.m_owner.Empty() && !IsSilent(target.m_owner, aNow);
    if (answers || used >= target.m_selfPermitLimit) {
      continue;
    }
    Hold(aRequest, i, true, aOut);
    return true;
  }
  return false;
}

void
PermitClient::Hold(Request& aRequest,
                   std::size_t aTarget,
                   bool aSelfPermitted,
                   PermitClientActions& aOut)
{
  const PermitTarget& target = aRequest.m_ask.m_targets[aTarget];
  aRequest.m_phase = Phase::Held;
  aRequest.m_current = aTarget;
  aRequest.m_selfPermitted = aSelfPermitted;
  HeldPermits& held = m_held[target.m_upstream];
  held.m_owner = target.m_owner;
  held.m_requests.insert(aRequest.m_ask.m_request);
  held.m_selfPermitted += aSelfPermitted ? 1 : 0;
  aOut.emplace_back(
    PermitReady{ aRequest.m_ask.m_request, target.m_upstream, aSelfPermitted });
}

PermitClient::Request*
PermitClient::AskingOf(const DaemonId& aFrom,
                       std::uint64_t aRequest,
                       const std::string& aUpstream)
{
  const auto found = m_requests.find(RequestId(aRequest));
  if (found == m_requests.end() || found->second.m_phase == Phase::Held) {
    return nullptr;
  }
  Request& request = found->second;
  const PermitTarget& target = request.m_ask.m_targets[request.m_current];
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
  m_silentUntil.erase(aFrom);
  Request* request = AskingOf(aFrom, aGrant.request_id(), aGrant.upstream());
  if (request != nullptr) {
    StopTimeout(*request);
    Hold(*request, request->m_current, false, aOut);
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
  m_silentUntil.erase(aFrom);
  Request* request = AskingOf(aFrom, aDeny.request_id(), aDeny.upstream());
  if (request == nullptr) {
    return;
  }
  const auto code = static_cast<ResultCode>(aDeny.code());
  if (request->m_phase == Phase::Waiting && code == ResultCode::PermitTimeout) {
    return; // not the owner by its own view; the request is sent again later
  }
  StopTimeout(*request);
  const Duration retryAfter(aDeny.retry_after_ms());
  if (request->m_phase == Phase::Waiting || !request->m_code) {
    request->m_code = code;
  }
  request->m_retryAfter =
    std::min(retryAfter, request->m_retryAfter.value_or(retryAfter));
  if (code == ResultCode::NoUpstream) {
    DropTarget(*request);
  } else if (code == ResultCode::QueueFull && !request->m_full) {
    request->m_full = request->m_current;
  }
  AskNext(*request, aNow, aOut);
}

// Excludes the current target, which accepts no more requests. A request that
// waited for it starts over with the other targets. Each call excludes one
// target, so the search terminates.
void
PermitClient::DropTarget(Request& aRequest)
{
  PermitTarget& target = aRequest.m_ask.m_targets[aRequest.m_current];
  target.m_owner = DaemonId();
  target.m_selfPermitLimit = 0;
  if (aRequest.m_phase != Phase::Waiting) {
    return;
  }
  aRequest.m_full.reset();
  aRequest.m_waited = false;
  aRequest.m_next = 0;
  aRequest.m_tries = 0;
}

void
PermitClient::OnTick(Time aNow, PermitClientActions& aOut)
{
  while (!m_timeouts.empty() && m_timeouts.begin()->first <= aNow) {
    Request& request = m_requests.at(m_timeouts.begin()->second);
    StopTimeout(request);
    if (request.m_phase == Phase::Waiting && aNow < request.m_waitUntil) {
      SendAsk(request, aNow, aOut);
      continue;
    }
    Release(request, false, false, aOut);
    const PlacementRequest& ask = request.m_ask;
    if (request.m_phase == Phase::Waiting) {
      request.m_code = ResultCode::PermitTimeout;
    } else if (aNow < ask.m_deadline) {
      m_silentUntil[ask.m_targets[request.m_current].m_owner] =
        aNow + m_options.m_ownerBackoff;
    }
    AskNext(request, aNow, aOut);
  }
  std::erase_if(m_silentUntil,
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
  StopTimeout(found->second);
  Release(found->second, false, false, aOut);
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
  ForgetHeld(found->second);
  Release(found->second, aFailed, aCold, aOut);
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
  ForgetHeld(request);
  Release(request, true, false, aOut);
  request.m_code = ResultCode::UpstreamUnreachable;
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
    for (PermitTarget& target : request.m_ask.m_targets) {
      if (target.m_upstream != aUpstream || target.m_owner == aOwner) {
        continue;
      }
      const bool current =
        &target == &request.m_ask.m_targets[request.m_current];
      if (current && request.m_phase != Phase::Held) {
        StopTimeout(request);
        Release(request, false, false, aOut);
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
    AskTarget(*request, request->m_current, mayWait, aNow, aOut);
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
PermitClient::Release(const Request& aRequest,
                      bool aFailed,
                      bool aCold,
                      PermitClientActions& aOut)
{
  const PermitTarget& target = aRequest.m_ask.m_targets[aRequest.m_current];
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
  release.set_request_id(aRequest.m_ask.m_request.Value());
  release.set_upstream(target.m_upstream.Value());
  release.set_failed(aFailed);
  release.set_cold(aCold);
  aOut.emplace_back(std::move(send));
}

void
PermitClient::ForgetHeld(const Request& aRequest)
{
  const UpstreamId& upstream =
    aRequest.m_ask.m_targets[aRequest.m_current].m_upstream;
  HeldPermits& held = m_held.at(upstream);
  held.m_requests.erase(aRequest.m_ask.m_request);
  held.m_selfPermitted -= aRequest.m_selfPermitted ? 1 : 0;
}

void
PermitClient::StopTimeout(const Request& aRequest)
{
  m_timeouts.erase({ aRequest.m_timeout, aRequest.m_ask.m_request });
}

} // namespace walnutwing
