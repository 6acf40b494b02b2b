#include "router/request_admission.h"

#include <algorithm>
#include <utility>

namespace walnutwing::router {
namespace {

// Limits of the Retry-After of refused requests. Within them it is twice the
// time in which the requests ahead are expected to be started.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(400);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(2000);
// Part of the time left that a caller may spend until it returns. A random part
// of up to the same time is added.
constexpr int kMaxRetryPart = 6;

Duration
RetryAfterOf(Duration aWait, Duration aTimeLeft)
{
  const Duration most = std::clamp(
    Duration(aTimeLeft / kMaxRetryPart), kMinRetryAfter, kMaxRetryAfter);
  return std::clamp(Duration(2 * aWait), kMinRetryAfter, most);
}

} // namespace

WaitingVerdict
RequestAdmission::Offer(const Choice& aChoice,
                        Time aDeadline,
                        WaitingRequests::OnWaitEnd aOnWaitEnd)
{
  if (m_admitted) {
    return WaitingVerdict::Send;
  }
  const Time now = Now();
  const ServiceId& service = m_request.Service();
  AdmissionControl& admission = m_context.AdmissionOf(service);
  ServiceRoom room = aChoice.m_room;
  room.m_slotTime = admission.SlotTime();
  AdmissionRequest request;
  request.m_priority = m_request.Priority();
  request.m_target = m_request.GetRoute().m_targetLatency;
  request.m_customer = m_request.Customer();
  request.m_slots = static_cast<std::uint32_t>(room.m_leastSlots);
  request.m_load = room.m_leastLoad;
  if (room.m_known) {
    request.m_load +=
      m_context.m_waiting->Ahead(service, request.m_priority, room) *
      room.m_leastSlots / room.m_slots;
  }
  const AdmissionDecision decision = admission.Decide(request);

  WaitingRequest waiting;
  waiting.m_id = m_context.m_waiting->NewId();
  waiting.m_priority = request.m_priority;
  waiting.m_startBy = now + decision.m_maxWait;
  waiting.m_deadline = aDeadline;
  waiting.m_customer = request.m_customer;
  waiting.m_bytes = m_request.Bytes();
  waiting.m_cost = m_request.Facts().m_promptTokens;
  const WaitingVerdict verdict = m_context.m_waiting->Offer(
    service,
    waiting,
    room,
    decision.m_wait,
    decision.m_admitted,
    [this, onWaitEnd = std::move(aOnWaitEnd)](WaitEnd aEnd) {
      const WaitingRequests::OnWaitEnd handler = onWaitEnd;
      OnWaitEnd(aEnd);
      handler(aEnd);
    });
  m_refusal = { aChoice,
                decision,
                RetryAfterOf(decision.m_wait, aDeadline - now) };
  switch (verdict) {
    case WaitingVerdict::Send:
      m_admitted = true;
      break;
    case WaitingVerdict::Wait:
      m_waitingId = waiting.m_id;
      m_record.LogWaits(aChoice, decision);
      break;
    case WaitingVerdict::Refuse:
      break;
  }
  return verdict;
}

void
RequestAdmission::OnWaitEnd(WaitEnd aEnd)
{
  m_waitingId.reset();
  m_admitted = aEnd == WaitEnd::Turn;
  m_record.OnWaited(m_admitted ? "sent" : "refused");
}

void
RequestAdmission::Leave()
{
  if (!m_waitingId) {
    return;
  }
  m_context.m_waiting->Remove(m_request.Service(),
                              *std::exchange(m_waitingId, std::nullopt));
  m_record.OnWaited("left");
}

} // namespace walnutwing::router
