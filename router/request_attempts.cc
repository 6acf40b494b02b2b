// What the attempts of a request bring, and how they end. While a silent
// attempt is set aside there are two; m_attempt is the newer one.

#include "router/request_flow.h"

#include <utility>

#include "router/response_check.h"
#include "router/upstream_statements.h"
#include "walnutwing/relay/event_splitter.h"

namespace walnutwing::router {
namespace {

// The connection of a response that is not forwarded is closed after that much,
// as reading on would cost more than a new connection.
constexpr std::uint64_t kMaxDiscardedBytes = 256U << 10U;
// Retry-After of a request that its upstream has refused; a random part of up
// to the same time is added.
constexpr Duration kRefusedRetryAfter = std::chrono::milliseconds(400);
constexpr int kFirstServerErrorStatus = 500;

} // namespace

void
RequestFlow::StartProgressTimer()
{
  if (!m_request.IsRepeatable() ||
      m_evidence.Runs() >= m_request.GetRoute().m_maxAttempts) {
    return;
  }
  m_progressTimer.Start(m_request.GetRoute(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->m_ended && self->m_attempt.InFlight()) {
      self->OnProgressTimeout();
    }
  });
  if (m_attempt.m_headReceived) {
    m_progressTimer.OnHead(m_request.GetRoute());
  }
}

bool
RequestFlow::IsSilentAttempt(const ResponseReceiver& aOf) const
{
  return m_silentAttempt && m_silentAttempt->m_receiver.get() == &aOf;
}

// Leaves m_attempt as one that has ended, with its choice for log lines.
void
RequestFlow::SetAttemptAside()
{
  m_progressTimer.Stop();
  m_relay.SetAside();
  m_attempt.m_traitProgress = m_traitProbe.GetProgress();
  const Choice choice = m_attempt.m_choice;
  m_silentAttempt = std::exchange(m_attempt, {});
  m_attempt.m_choice = choice;
}

// The first one whose response may be forwarded goes on.
void
RequestFlow::OnSilentHead(const platform::HttpResponseHead& aHead,
                          const platform::ResponseFacts& aFacts)
{
  const auto self = shared_from_this();
  const ResponseCheck check = CheckResponse(
    aHead.result_int(), aFacts, m_request.GetRoute().m_kind, m_relay.State());
  if (check.m_discardReason.empty() &&
      aHead.result_int() < kFirstServerErrorStatus) {
    GoBack("response");
    OnHead(*m_attempt.m_receiver, aHead, aFacts);
    return;
  }
  NoteUpstreamStatements(m_context,
                         m_record,
                         m_silentAttempt->m_choice,
                         m_silentAttempt->m_sentAt,
                         aFacts);
  DropSilentAttempt(SendOutcome::Failed);
}

void
RequestFlow::OnSilentBody(std::string_view aPiece)
{
  const auto self = shared_from_this();
  if (!m_silentAttempt->m_isEventStream) {
    GoBack("response");
    OnBody(*m_attempt.m_receiver, aPiece);
    return;
  }
  const Time now = Now();
  m_silentAttempt->m_choice.m_tracker->OnBytesReceived(now);
  const std::optional<std::string_view> complete = m_relay.SplitAside(aPiece);
  if (!complete) {
    DropSilentAttempt(SendOutcome::Failed);
    return;
  }
  if (!complete->empty()) {
    const std::string events(*complete);
    GoBack("event");
    OnCompletePart(events, now);
  }
}

void
RequestFlow::OnSilentEnd(const UpstreamResult& aResult)
{
  const auto self = shared_from_this();
  if (aResult.m_stage == SendStage::Complete) {
    GoBack("response");
    OnEnd(*m_attempt.m_receiver, aResult);
    return;
  }
  m_traitProbe.OnBroken(m_silentAttempt->m_choice);
  m_avoid.insert(m_silentAttempt->m_choice.m_upstream);
  EndAttempt(*m_silentAttempt,
             aResult.m_stage == SendStage::NotConnected
               ? SendOutcome::Unreachable
               : SendOutcome::Failed);
  m_relay.DropAside();
  m_silentAttempt.reset();
}

void
RequestFlow::DropSilentAttempt(SendOutcome aOutcome)
{
  if (!m_silentAttempt) {
    return;
  }
  CancelAttempt(*m_silentAttempt, aOutcome);
  m_relay.DropAside();
  m_silentAttempt.reset();
}

bool
RequestFlow::GoBack(std::string_view aWhy)
{
  if (!m_silentAttempt) {
    return false;
  }
  if (m_attempt.InFlight()) {
    CancelAttempt(m_attempt, SendOutcome::Abandoned);
  }
  m_permitChoice.reset();
  m_attempt = *std::exchange(m_silentAttempt, std::nullopt);
  m_traitProbe.SetProgress(m_attempt.m_traitProgress);
  m_relay.TakeBack();
  m_record.LogKept(m_attempt.m_choice, aWhy);
  StartProgressTimer();
  return true;
}

void
RequestFlow::OnHead(const ResponseReceiver& aOf,
                    const platform::HttpResponseHead& aHead,
                    const platform::ResponseFacts& aFacts)
{
  if (IsSilentAttempt(aOf)) {
    OnSilentHead(aHead, aFacts);
    return;
  }
  const Time now = Now();
  m_attempt.m_headReceived = true;
  m_progressTimer.OnHead(m_request.GetRoute());
  m_attempt.m_notExecuted = aFacts.m_notExecuted;
  m_attempt.m_choice.m_tracker->OnBytesReceived(now);
  NoteUpstreamStatements(
    m_context, m_record, m_attempt.m_choice, m_attempt.m_sentAt, aFacts);
  const ResponseCheck check = CheckResponse(
    aHead.result_int(), aFacts, m_request.GetRoute().m_kind, m_relay.State());
  m_attempt.m_isEventStream = check.m_isEventStream;
  m_attempt.m_discardReason = check.m_discardReason;
  if (m_attempt.Discards() && m_attempt.m_isEventStream &&
      !m_attempt.m_notExecuted) {
    // It may go on for long, and nothing of it is of use.
    const auto self = shared_from_this();
    CancelAttempt(m_attempt, SendOutcome::Failed);
    OnAttemptFailed(std::string(m_attempt.m_discardReason));
    return;
  }
  if (m_attempt.Discards()) {
    return;
  }
  if (aHead.result_int() < kFirstServerErrorStatus) {
    DropSilentAttempt(SendOutcome::Failed);
  }
  m_relay.OnHead(aHead,
                 m_request.GetRoute().m_kind == RouteKind::Stream,
                 m_attempt.m_isEventStream,
                 now);
  if (m_relay.ForwardsEvents()) {
    m_resumption.SetVersion(m_attempt.m_choice.m_version);
  }
}

// Any byte of a body is progress, but of a stream only a complete event is: an
// upstream that has stalled may still send a byte now and then.
void
RequestFlow::OnBody(const ResponseReceiver& aOf, std::string_view aPiece)
{
  if (IsSilentAttempt(aOf)) {
    OnSilentBody(aPiece);
    return;
  }
  const Time now = Now();
  m_attempt.m_choice.m_tracker->OnBytesReceived(now);
  if (m_attempt.Discards()) {
    DiscardBody(aPiece.size());
    return;
  }
  if (!m_relay.HasCaller()) {
    return; // an order that runs to its end
  }
  const std::optional<std::string_view> complete = m_relay.Split(aPiece);
  if (!complete) {
    const auto self = shared_from_this();
    CancelAttempt(m_attempt, SendOutcome::Failed);
    OnAttemptFailed("event too large");
    return;
  }
  OnCompletePart(*complete, now);
}

// aPart: what may be forwarded; empty if no event of a stream is complete yet.
void
RequestFlow::OnCompletePart(std::string_view aPart, Time aNow)
{
  if (!aPart.empty()) {
    m_progressTimer.OnProgress();
    m_attempt.m_events += m_attempt.m_isEventStream ? CountEvents(aPart) : 0;
    m_attempt.m_firstByteAt = m_attempt.m_firstByteAt.value_or(aNow);
    m_traitProbe.OnEvent(aNow);
    m_resumption.OnEvent();
  }
  m_relay.Forward(aPart);
  if (m_relay.IsBehind() && m_attempt.m_connection != nullptr) {
    m_attempt.m_connection->Pause();
  }
}

// A response that says "not executed" without an end does not count as such:
// its upstream is out of order, and the caller must not be told so wrongly.
void
RequestFlow::DiscardBody(std::size_t aBytes)
{
  m_attempt.m_discardedBytes += aBytes;
  if (m_attempt.m_discardedBytes <= kMaxDiscardedBytes) {
    return;
  }
  const auto self = shared_from_this();
  CancelAttempt(m_attempt, SendOutcome::Failed);
  OnAttemptFailed("response too large to discard");
}

void
RequestFlow::OnDrained()
{
  if (m_attempt.InFlight()) {
    m_attempt.m_connection->Resume();
  }
}

void
RequestFlow::OnEnd(const ResponseReceiver& aOf, const UpstreamResult& aResult)
{
  const auto self = shared_from_this();
  if (IsSilentAttempt(aOf)) {
    OnSilentEnd(aResult);
    return;
  }
  m_attempt.m_bodyEnd = { aResult.m_framing,
                          aResult.m_bodyBytes,
                          m_relay.PartialEventBytes(),
                          m_attempt.m_resumedAfter == m_relay.LastEventId(),
                          aResult.m_requestTaken };
  if (aResult.m_stage == SendStage::NotConnected) {
    EndAttempt(m_attempt, SendOutcome::Unreachable);
    m_avoid.insert(m_attempt.m_choice.m_upstream);
    SendNext();
    return;
  }
  std::string error = aResult.m_error;
  if (aResult.m_stage == SendStage::Complete) {
    const BodyVerdict verdict =
      m_attempt.Discards()
        ? BodyVerdict::Complete
        : JudgeBody(m_attempt.m_bodyEnd, m_attempt.m_isEventStream);
    if (verdict == BodyVerdict::Complete) {
      OnResponseComplete();
      return;
    }
    error = NameOf(verdict);
  }
  m_traitProbe.OnBroken(m_attempt.m_choice);
  EndAttempt(m_attempt, SendOutcome::Failed);
  OnAttemptFailed(error);
}

void
RequestFlow::OnResponseComplete()
{
  if (m_attempt.m_notExecuted) {
    EndAttempt(m_attempt, SendOutcome::Refused);
    OnNotExecuted();
    return;
  }
  const bool failure =
    m_attempt.Discards() ||
    static_cast<int>(m_relay.Status()) >= kFirstServerErrorStatus;
  EndAttempt(m_attempt, failure ? SendOutcome::Failed : SendOutcome::Answered);
  if (!failure && IsSuccess(m_relay.Status())) {
    m_traitProbe.OnComplete(m_attempt.m_bodyEnd.m_framing);
  }
  if (m_attempt.Discards()) {
    OnAttemptFailed(std::string(m_attempt.m_discardReason));
    return;
  }
  if (!m_relay.HasCaller()) {
    Finish();
    return;
  }
  if (failure && GoBack("failure")) {
    return;
  }
  if (!m_relay.HasBegun() && failure && MayRunAgain() &&
      TryRepeat("failure") == RepeatResult::Allowed) {
    return;
  }
  m_relay.ForwardRest();
  m_record.LogAnswered(m_attempt.m_choice,
                       m_relay.Status(),
                       m_tries,
                       *m_relay.FirstByteAt(),
                       m_attempt.m_bodyEnd);
  m_resumption.OnComplete(m_attempt.m_bodyEnd.m_framing);
  Finish();
  m_relay.TakeCaller()->End();
}

// The upstream reports that it did not run the request, so another one may run
// it whatever the kind of route. The new attempt still counts as a repeat.
void
RequestFlow::OnNotExecuted()
{
  m_avoid.insert(m_attempt.m_choice.m_upstream);
  m_refusedByUpstream = true;
  if (EndIfCallerGone()) {
    return;
  }
  if (GoBack("not executed")) {
    return;
  }
  if (!CheckTraits()) {
    return; // a part was blocked meanwhile
  }
  const RepeatResult result = TryRepeat("not executed");
  if (result != RepeatResult::Allowed) {
    Refuse(result == RepeatResult::NoBudget ? ResultCode::RetryBudgetSpent
                                            : ResultCode::QueueFull,
           kRefusedRetryAfter);
  }
}

void
RequestFlow::OnAttemptFailed(const std::string& aWhy)
{
  m_cause = aWhy;
  m_avoid.insert(m_attempt.m_choice.m_upstream);
  m_relay.DropPartialEvent();
  if (EndIfCallerGone()) {
    return;
  }
  if (GoBack(aWhy)) {
    return;
  }
  if (MayRunAgain() && TryRepeat(aWhy.c_str()) == RepeatResult::Allowed) {
    return;
  }
  Fail(m_relay.HasBegun() ? ResultCode::StreamBroken
                          : ResultCode::UpstreamFailed);
}

void
RequestFlow::EndAttempt(Attempt& aAttempt, SendOutcome aOutcome)
{
  m_evidence.OnEnded(aOutcome);
  aAttempt.m_connection.reset();
  if (&aAttempt == &m_attempt) {
    m_progressTimer.Stop();
  }
  m_record.AddAttemptEnd(
    aAttempt.m_choice.m_upstream, aOutcome, aAttempt.m_reusedConnection);
  const Time now = Now();
  aAttempt.m_choice.m_tracker->OnEnded(aOutcome, now);
  AdmissionControl& admission = m_context.AdmissionOf(m_request.Service());
  admission.OnEnded(m_request.Customer());
  if (aOutcome == SendOutcome::Answered) {
    admission.OnServed(m_relay.FirstByteAt().value_or(now) - aAttempt.m_sentAt,
                       now - aAttempt.m_sentAt,
                       aAttempt.m_choice.m_load,
                       aAttempt.m_choice.m_slots);
  }
  ReportToRollout(aAttempt, aOutcome, now);
  if (!m_evidence.InFlight()) {
    m_self.reset();
  }
}

// An attempt whose caller has left, or whose deadline has passed, counts as a
// failure: callers leave slow versions. What did not run says nothing of one.
void
RequestFlow::ReportToRollout(const Attempt& aAttempt,
                             SendOutcome aOutcome,
                             Time aNow)
{
  const bool ran = aOutcome == SendOutcome::Answered ||
                   aOutcome == SendOutcome::Failed ||
                   aOutcome == SendOutcome::Abandoned;
  if (!ran || m_context.m_stop.IsStopping()) {
    return;
  }
  RolloutAnswer answer;
  answer.m_service = m_request.Service();
  answer.m_route = m_request.GetRoute().m_name;
  answer.m_promptClass = PromptClassOf(m_request.Facts().m_promptTokens);
  answer.m_upstream = aAttempt.m_choice.m_upstream;
  answer.m_version = aAttempt.m_choice.m_version;
  answer.m_affinity = m_request.Facts().m_sharedPrefixHash;
  answer.m_failed = aOutcome != SendOutcome::Answered;
  answer.m_cold = aAttempt.m_choice.m_cold;
  if (aAttempt.m_firstByteAt) {
    answer.m_firstByte = *aAttempt.m_firstByteAt - aAttempt.m_sentAt;
  }
  answer.m_total = aNow - aAttempt.m_sentAt;
  answer.m_events = aAttempt.m_events;
  m_context.m_rollouts.OnAnswer(answer, aNow);
}

// Closes the connection, so that the upstream stops working on the request. The
// attempt counts as one that may have run, unless nothing of it was sent.
void
RequestFlow::CancelAttempt(Attempt& aAttempt, SendOutcome aOutcome)
{
  const SendOutcome outcome =
    aAttempt.m_connection->HasSent() ? aOutcome : SendOutcome::Unsent;
  aAttempt.m_connection->Cancel();
  if (aAttempt.m_choice.m_tracker->Silent(Now())) {
    // Its idle connections may be dead too. A new one shows at once whether the
    // upstream can be reached.
    m_context.m_pool.CloseIdleConnections(aAttempt.m_choice.m_address);
  }
  EndAttempt(aAttempt, outcome);
}

} // namespace walnutwing::router
