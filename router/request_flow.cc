// An attempt is one request sent to one upstream. It ends in OnEnd, or is
// canceled because of the deadline, a disconnect of the caller, the progress
// timeout or a stop of the process. Then either the next attempt starts or the
// caller gets its final response at once.

#include "router/request_flow.h"

#include <algorithm>
#include <utility>

#include "router/response_check.h"
#include "router/upstream_statements.h"
#include "walnutwing/relay/event_splitter.h"
#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing::router {
namespace {

// A response that is ready slightly after the deadline is still forwarded.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(100);
// No attempt is started with less time left, as no upstream could finish it.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(10);
// Attempts per request, including those that reach no upstream.
constexpr std::uint32_t kMaxTries = 5;
// Permits that a request asks for until it is sent only to upstreams that state
// no request limit.
constexpr std::uint32_t kMaxPermitsAsked = 3;
// The connection of a response that is not forwarded is closed after that much,
// as reading on would cost more than a new connection.
constexpr std::uint64_t kMaxDiscardedBytes = 256U << 10U;
// Retry-After of refused requests; a random part of up to the same time is
// added so that callers do not all return at the same time.
constexpr Duration kRetryAfter = std::chrono::milliseconds(400);
// The same for requests refused by admission control, as overload lasts for
// seconds.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(1000);

// The same for a request that is suspected to crash upstreams and has to wait
// for the outcome of another attempt.
constexpr Duration kSuspectRetryAfter = std::chrono::milliseconds(1000);

// The same for a request that comes too late in a planned stop: its caller
// finds other daemons at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

// The same for a stream whose version is gone: upstreams of it may be back when
// a change of versions is undone.
constexpr Duration kVersionGoneRetryAfter = std::chrono::milliseconds(5000);

// Why an attempt ends whose upstream was silent, in the log.
constexpr const char* kSilentCause = "silent";

constexpr int kFirstServerErrorStatus = 500;

} // namespace

RequestFlow::RequestFlow(Context& aContext,
                         CallerRequest aRequest,
                         std::shared_ptr<const std::string> aBody,
                         std::uint32_t aNumber,
                         ResponseWriter& aWriter)
  : m_context(aContext)
  , m_request(aContext.m_routes, std::move(aRequest), std::move(aBody))
  , m_record(aContext, m_request.Facts().m_attemptId, aNumber)
  , m_traitProbe(aContext)
  , m_resumption(aContext, m_request.Facts())
  , m_deadlineTimer(aContext.m_loop)
  , m_progressTimer(aContext.m_loop)
  , m_relay(aWriter)
{
  ++m_context.m_requestsInProgress;
  m_record.SetSharedParts(m_request.Facts().m_sharedParts);
}

RequestFlow::~RequestFlow()
{
  --m_context.m_requestsInProgress;
}

void
RequestFlow::Start()
{
  if (!FindRoute()) {
    return;
  }
  const RequestTraits traits = m_request.Traits();
  m_record.SetFingerprint(traits.m_traits.front());
  m_traitProbe.SetRequest(traits);
  if (!CheckTraits()) {
    return;
  }
  m_resumption.SetRoute(m_request.GetRoute(), m_request.Service());
  SetDeadline();
  if (!m_context.m_stop.MaySend(m_deadline, Now())) {
    Refuse(ResultCode::Stopping, kStoppingRetryAfter);
    return;
  }
  m_context.RepeatBudgetOf(m_request.Service()).OnRequest(m_record.ArrivedAt());
  m_context.m_selector.OnRequest(m_request.Service(),
                                 m_request.Facts().m_promptTokens,
                                 m_record.ArrivedAt());
  if (m_resumption.IsTakenUp(m_request.GetRoute())) {
    FindStreamVersion();
    return;
  }
  SendNext();
}

void
RequestFlow::FindStreamVersion()
{
  m_resumption.Find([weak = weak_from_this()](const VersionFinding& aFinding) {
    const auto self = weak.lock();
    if (self != nullptr && !self->m_ended) {
      self->OnStreamVersion(aFinding);
    }
  });
}

void
RequestFlow::OnStreamVersion(const VersionFinding& aFinding)
{
  const auto self = shared_from_this();
  m_record.LogTakenUp(m_resumption.FirstAttemptId(m_request.GetRoute()),
                      aFinding);
  if (!aFinding.m_version) {
    Refuse(ResultCode::StreamVersionUnknown, kRetryAfter);
    return;
  }
  m_resumption.SetVersion(*aFinding.m_version);
  SendNext();
}

// Returns false if the request is suspected to crash upstreams. It then waits
// for a permit, or was sent or refused.
bool
RequestFlow::MayRun()
{
  if (!m_traitProbe.NeedsPermit()) {
    return true;
  }
  const std::optional<bool> answer =
    m_traitProbe.AskPermit([weak = weak_from_this()](bool aGranted) {
      const auto self = weak.lock();
      if (self != nullptr && !self->m_ended) {
        self->OnSuspectPermit(aGranted);
      }
    });
  if (answer) {
    OnSuspectPermit(*answer);
  }
  return false;
}

void
RequestFlow::OnSuspectPermit(bool aGranted)
{
  const auto self = shared_from_this();
  if (!aGranted) {
    Refuse(ResultCode::RequestSuspected, kSuspectRetryAfter);
    return;
  }
  if (!CheckTraits()) {
    return; // it was blocked meanwhile
  }
  m_traitProbe.UsePermit();
  SendNext();
}

bool
RequestFlow::FindRoute()
{
  std::optional<ResultCode> refusal = m_request.FindRoute(m_resumption);
  if (!refusal) {
    m_record.SetRoute(
      m_request.GetRoute(), m_request.Service(), m_request.ConfigVersion());
    refusal = m_request.FindCustomer();
  }
  if (!refusal) {
    return true;
  }
  Refuse(*refusal,
         *refusal == ResultCode::NoConfiguration ? std::optional(kRetryAfter)
                                                 : std::nullopt);
  return false;
}

bool
RequestFlow::CheckTraits()
{
  const TraitVerdict verdict = m_traitProbe.Check();
  if (verdict.m_allowed) {
    return true;
  }
  m_record.SetBlockedTrait(verdict.m_trait);
  Refuse(IsFingerprint(verdict.m_trait) ? ResultCode::RequestBlocked
                                        : ResultCode::PromptPartBlocked,
         verdict.m_retryAfter);
  return false;
}

void
RequestFlow::SetDeadline()
{
  const Duration timeLimit =
    std::min(m_request.GetRoute().m_timeout,
             m_request.Facts().m_deadline.value_or(Duration::max()));
  m_deadline = m_record.ArrivedAt() + timeLimit;
  m_deadlineTimer.Start(timeLimit + kDeadlineGrace, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->m_ended) {
      self->OnDeadline();
    }
  });
}

Duration
RequestFlow::TimeLeft() const
{
  return m_deadline - Now();
}

std::optional<Duration>
RequestFlow::TimeLeftIfKnown() const
{
  return m_deadline == Time() ? std::nullopt : std::optional(TimeLeft());
}

// An order that crosses the close of an idle connection may have run.
ConnectionUse
RequestFlow::UseOfConnections(const Choice& aChoice) const
{
  if (aChoice.m_silent) {
    return ConnectionUse::New;
  }
  return m_request.IsRepeatable() ? ConnectionUse::Any
                                  : ConnectionUse::RecentlyUsed;
}

RolloutRequest
RequestFlow::MakeRolloutRequest() const
{
  return { m_request.Service(),
           m_request.Facts().m_sharedPrefixHash,
           m_resumption.Version() };
}

SelectionRequest
RequestFlow::MakeSelection() const
{
  SelectionRequest selection =
    m_request.MakeSelection(m_context.m_settings.m_coldFactor);
  selection.m_daemons = m_context.m_daemons;
  selection.m_avoid = m_avoid;
  selection.m_avoid.insert(m_silent.begin(), m_silent.end());
  selection.m_version = m_resumption.Version();
  if (m_context.m_rollouts.IsActive(m_request.Service())) {
    selection.m_versionRule =
      m_context.m_rollouts.RuleForRepeat(MakeRolloutRequest(), Now());
  }
  const bool mayChooseVersion =
    !selection.m_version && selection.m_versionRule.m_only.empty();
  if (m_request.GetRoute().m_kind == RouteKind::Stream && mayChooseVersion &&
      !m_context.m_rollouts.IsInProgress(m_request.Service())) {
    selection.m_newVersions =
      m_context.m_streamVersions.NewVersions(m_request.Service(), Now());
  }
  selection.m_excludeRefusing = m_refusedByUpstream;
  selection.m_excludeLimited = m_permitsAsked >= kMaxPermitsAsked;
  return selection;
}

// For a stream that would be broken off otherwise: allows also upstreams that
// have refused other requests, and those that this request left as silent.
SelectionRequest
RequestFlow::MakeFallbackSelection() const
{
  SelectionRequest selection = MakeSelection();
  selection.m_avoid = m_avoid;
  selection.m_excludeRefusing = false;
  selection.m_allowSilent = true;
  return selection;
}

void
RequestFlow::SendNext()
{
  if (TimeLeft() < kMinAttemptTime) {
    OnDeadline();
    return;
  }
  SelectionRequest selection = MakeSelection();
  if (!std::exchange(m_counted, true) &&
      m_context.m_rollouts.IsActive(m_request.Service())) {
    selection.m_versionRule = m_context.m_rollouts.RuleFor(
      MakeRolloutRequest(), m_context.m_daemons, Now());
  }
  // Once: what can't be connected to is refused soon.
  selection.m_allowSilent = m_tries == 0;
  SendNext(m_context.m_selector.Choose(selection, Now()));
}

void
RequestFlow::SendNext(Choice aChoice)
{
  std::set<UpstreamId> unsent; // the pool provides no connection to them
  while (m_tries < kMaxTries) {
    if (aChoice.m_failure != SelectionFailure::None) {
      OnNoUpstream(aChoice);
      return;
    }
    if (m_tries == 0 && (!Admit(aChoice) || !MayRun())) {
      return;
    }
    const std::optional<bool> maySend = MaySend(aChoice);
    if (!maySend) {
      return; // it waits for a permit
    }
    if (*maySend) {
      ++m_tries;
      SendTo(aChoice);
      if (m_evidence.InFlight()) {
        return;
      }
      unsent.insert(aChoice.m_upstream);
    }
    SelectionRequest selection = MakeSelection();
    selection.m_avoid.insert(unsent.begin(), unsent.end());
    aChoice = m_context.m_selector.Choose(selection, Now());
  }
  aChoice.m_failure = SelectionFailure::Unreachable;
  OnNoUpstream(aChoice);
}

bool
RequestFlow::Admit(const Choice& aChoice)
{
  if (m_admitted || aChoice.m_loadAge < Duration::zero()) {
    return true; // or the load from other daemons is unknown
  }
  AdmissionRequest request;
  request.m_priority = m_request.Priority();
  request.m_target = m_request.GetRoute().m_targetLatency;
  request.m_customer = m_request.Customer();
  request.m_load = aChoice.m_minLoad;
  request.m_slots = aChoice.m_slots;
  const AdmissionDecision decision =
    m_context.AdmissionOf(m_request.Service()).Decide(request);
  if (decision.m_admitted) {
    m_admitted = true;
    return true;
  }
  m_admissionRefusal = decision;
  Refuse(ResultCode::QueueFull, kOverloadRetryAfter, aChoice);
  return false;
}

std::optional<bool>
RequestFlow::MaySend(const Choice& aChoice)
{
  if (!aChoice.m_requestLimit || std::exchange(m_permitGranted, false) ||
      !m_context.m_askPermit) {
    return true;
  }
  ++m_permitsAsked;
  m_permitChoice = aChoice;
  const std::optional<bool> answer =
    m_context.m_askPermit(aChoice, [weak = weak_from_this()](bool aGranted) {
      const auto self = weak.lock();
      if (self != nullptr && !self->m_ended) {
        self->OnPermitAnswer(aGranted);
      }
    });
  if (answer) {
    m_permitChoice.reset();
  }
  return answer;
}

void
RequestFlow::OnPermitAnswer(bool aGranted)
{
  const auto self = shared_from_this();
  const Choice choice = *std::exchange(m_permitChoice, std::nullopt);
  if (!aGranted || TimeLeft() < kMinAttemptTime) {
    SendNext();
    return;
  }
  m_permitGranted = true;
  SendNext(choice);
}

// Leaves no attempt in flight if the pool provides no connection.
void
RequestFlow::SendTo(const Choice& aChoice)
{
  m_relay.OnAttempt();
  const Duration timeLeft = TimeLeft();
  auto connection = m_context.m_pool.Send(
    aChoice.m_address,
    m_request.MakeUpstreamRequest(
      aChoice.m_upstream, timeLeft, m_relay.LastEventId()),
    UseOfConnections(aChoice),
    m_request.MaxConnections(m_context.m_daemons),
    *this);
  if (connection == nullptr) {
    return;
  }
  const Time now = Now();
  m_context.m_selector.OnSent(aChoice, now);
  m_context.AdmissionOf(m_request.Service()).OnSent(m_request.Customer());
  m_context.m_rollouts.OnSent(m_request.Service(),
                              aChoice.m_version,
                              aChoice.m_upstream,
                              m_request.Facts().m_sharedPrefixHash,
                              now);
  m_attempt = {};
  m_attempt.m_choice = aChoice;
  m_attempt.m_sentAt = now;
  m_attempt.m_reusedConnection = connection->IsReused();
  m_attempt.m_resumedAfter = m_relay.ForwardsEvents()
                               ? std::optional(m_relay.LastEventId())
                               : std::nullopt;
  m_evidence.OnAttempt();
  m_attempt.m_connection = std::move(connection);
  m_traitProbe.OnAttemptStarted();
  m_self = shared_from_this();
  if (m_request.IsRepeatable() &&
      m_evidence.Runs() < m_request.GetRoute().m_maxAttempts) {
    m_progressTimer.Start(m_request.GetRoute(), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && !self->m_ended && self->m_evidence.InFlight()) {
        self->OnProgressTimeout();
      }
    });
  }
  m_record.LogSent(aChoice, timeLeft);
}

void
RequestFlow::OnNoUpstream(const Choice& aChoice)
{
  switch (aChoice.m_failure) {
    case SelectionFailure::Unreachable:
      Refuse(ResultCode::UpstreamUnreachable, kRetryAfter, aChoice);
      return;
    case SelectionFailure::BackingOff:
      Refuse(ResultCode::QueueFull,
             std::max(kRetryAfter, aChoice.m_backoffUntil - Now()),
             aChoice);
      return;
    case SelectionFailure::Limited:
      Refuse(ResultCode::RequestLimitsReached,
             std::max(kRetryAfter, aChoice.m_backoffUntil - Now()),
             aChoice);
      return;
    case SelectionFailure::VersionGone:
      Refuse(ResultCode::StreamVersionGone, kVersionGoneRetryAfter, aChoice);
      return;
    default:
      Refuse(ResultCode::NoUpstream, kRetryAfter, aChoice);
  }
}

// A silent upstream may still answer, so the attempt is canceled only once it
// is certain that the request can be sent elsewhere.
void
RequestFlow::OnProgressTimeout()
{
  const auto self = shared_from_this();
  if (!MayRunAgain()) {
    return;
  }
  SelectionRequest selection = MakeSelection();
  selection.m_avoid.insert(m_attempt.m_choice.m_upstream);
  // A permit may be refused.
  selection.m_excludeLimited = selection.m_excludeLimited || m_relay.HasBegun();
  Choice choice;
  const RepeatResult result = PrepareRepeat(selection, choice);
  m_record.SetRepeatResult(result);
  if (result != RepeatResult::Allowed) {
    return; // the timer calls again
  }
  m_cause = kSilentCause;
  CancelAttempt(SendOutcome::Failed);
  m_silent.insert(m_attempt.m_choice.m_upstream);
  m_relay.DropPartialEvent();
  SendRepeat(kSilentCause, choice);
}

void
RequestFlow::OnDeadline()
{
  const auto self = shared_from_this();
  const bool mayHaveRun = m_evidence.Runs() != 0;
  if (m_evidence.InFlight()) {
    CancelAttempt(SendOutcome::Abandoned);
  }
  if (mayHaveRun) {
    Fail(ResultCode::DeadlinePassed);
  } else {
    Refuse(ResultCode::DeadlineTooShort, std::nullopt);
  }
}

void
RequestFlow::OnHead(const platform::HttpResponseHead& aHead,
                    const platform::ResponseFacts& aFacts)
{
  const Time now = Now();
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
    CancelAttempt(SendOutcome::Failed);
    OnAttemptFailed(std::string(m_attempt.m_discardReason));
    return;
  }
  if (m_attempt.Discards()) {
    return;
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
RequestFlow::OnBody(std::string_view aPiece)
{
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
    CancelAttempt(SendOutcome::Failed);
    OnAttemptFailed("event too large");
    return;
  }
  if (!complete->empty()) {
    m_progressTimer.OnProgress();
    m_attempt.m_events +=
      m_attempt.m_isEventStream ? CountEvents(*complete) : 0;
    m_attempt.m_firstByteAt = m_attempt.m_firstByteAt.value_or(now);
    m_traitProbe.OnEvent(now);
    m_resumption.OnEvent();
  }
  m_relay.Forward(*complete);
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
  CancelAttempt(SendOutcome::Failed);
  OnAttemptFailed("response too large to discard");
}

void
RequestFlow::OnDrained()
{
  if (m_evidence.InFlight()) {
    m_attempt.m_connection->Resume();
  }
}

void
RequestFlow::OnEnd(const UpstreamResult& aResult)
{
  const auto self = shared_from_this();
  m_attempt.m_bodyEnd = { aResult.m_framing,
                          aResult.m_bodyBytes,
                          m_relay.PartialEventBytes(),
                          m_attempt.m_resumedAfter == m_relay.LastEventId(),
                          aResult.m_requestTaken };
  if (aResult.m_stage == SendStage::NotConnected) {
    EndAttempt(SendOutcome::Unreachable);
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
  EndAttempt(SendOutcome::Failed);
  OnAttemptFailed(error);
}

void
RequestFlow::OnResponseComplete()
{
  if (m_attempt.m_notExecuted) {
    EndAttempt(SendOutcome::Refused);
    OnNotExecuted();
    return;
  }
  const bool failure =
    m_attempt.Discards() ||
    static_cast<int>(m_relay.Status()) >= kFirstServerErrorStatus;
  EndAttempt(failure ? SendOutcome::Failed : SendOutcome::Answered);
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
  if (!m_relay.HasCaller()) {
    Finish();
    return;
  }
  if (!CheckTraits()) {
    return; // a part was blocked meanwhile
  }
  const RepeatResult result = TryRepeat("not executed");
  if (result != RepeatResult::Allowed) {
    Refuse(result == RepeatResult::NoBudget ? ResultCode::RetryBudgetSpent
                                            : ResultCode::QueueFull,
           kRetryAfter);
  }
}

void
RequestFlow::OnAttemptFailed(const std::string& aWhy)
{
  m_cause = aWhy;
  m_avoid.insert(m_attempt.m_choice.m_upstream);
  m_relay.DropPartialEvent();
  if (!m_relay.HasCaller()) {
    Finish();
    return;
  }
  if (MayRunAgain() && TryRepeat(aWhy.c_str()) == RepeatResult::Allowed) {
    return;
  }
  Fail(m_relay.HasBegun() ? ResultCode::StreamBroken
                          : ResultCode::UpstreamFailed);
}

// Whether the request may run once more, at another upstream.
bool
RequestFlow::MayRunAgain() const
{
  const bool intact =
    !m_relay.HasBegun() ||
    (m_request.GetRoute().m_resumable && m_relay.ForwardsEvents());
  return m_request.IsRepeatable() && intact &&
         m_evidence.Runs() < m_request.GetRoute().m_maxAttempts;
}

RepeatResult
RequestFlow::TryRepeat(const char* aWhy)
{
  Choice choice;
  RepeatResult result = PrepareRepeat(MakeSelection(), choice);
  if (result == RepeatResult::NoUpstream && m_relay.HasBegun()) {
    result = PrepareRepeat(MakeFallbackSelection(), choice);
  }
  m_record.SetRepeatResult(result);
  if (result == RepeatResult::NoBudget) {
    m_record.CountDeniedRepeat();
  }
  if (result == RepeatResult::Allowed) {
    SendRepeat(aWhy, choice);
  }
  return result;
}

// Chooses where the request may be sent again. If that is allowed, the repeat
// is taken from the budget.
RepeatResult
RequestFlow::PrepareRepeat(const SelectionRequest& aSelection, Choice& aChoice)
{
  if (m_tries >= kMaxTries || TimeLeft() < kMinAttemptTime) {
    return RepeatResult::NoTime;
  }
  if (!m_traitProbe.MayRepeat()) {
    return RepeatResult::Blocked;
  }
  // Choose first, so that no repeat is taken from the budget without an
  // upstream to send it to.
  aChoice = m_context.m_selector.Choose(aSelection, Now());
  if (aChoice.m_failure != SelectionFailure::None) {
    return RepeatResult::NoUpstream;
  }
  return m_context.RepeatBudgetOf(m_request.Service())
             .TryRepeat(m_context.m_daemons, Now())
           ? RepeatResult::Allowed
           : RepeatResult::NoBudget;
}

void
RequestFlow::SendRepeat(const char* aWhy, const Choice& aChoice)
{
  m_record.LogRepeated(m_attempt.m_choice,
                       { m_relay.HasBegun(),
                         aWhy,
                         m_relay.LastEventId(),
                         m_traitProbe.HasBegun() });
  SendNext(aChoice);
}

void
RequestFlow::EndAttempt(SendOutcome aOutcome)
{
  m_evidence.OnEnded(aOutcome);
  m_attempt.m_connection.reset();
  m_progressTimer.Stop();
  m_record.AddAttemptEnd(
    m_attempt.m_choice.m_upstream, aOutcome, m_attempt.m_reusedConnection);
  const Time now = Now();
  m_attempt.m_choice.m_tracker->OnEnded(aOutcome, now);
  AdmissionControl& admission = m_context.AdmissionOf(m_request.Service());
  admission.OnEnded(m_request.Customer());
  if (aOutcome == SendOutcome::Answered) {
    admission.OnServed(m_relay.FirstByteAt().value_or(now) - m_attempt.m_sentAt,
                       now - m_attempt.m_sentAt,
                       m_attempt.m_choice.m_load,
                       m_attempt.m_choice.m_slots);
  }
  ReportToRollout(aOutcome, now);
  m_self.reset();
}

// An attempt whose caller has left, or whose deadline has passed, counts as a
// failure: callers leave slow versions. What did not run says nothing of one.
void
RequestFlow::ReportToRollout(SendOutcome aOutcome, Time aNow)
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
  answer.m_upstream = m_attempt.m_choice.m_upstream;
  answer.m_version = m_attempt.m_choice.m_version;
  answer.m_affinity = m_request.Facts().m_sharedPrefixHash;
  answer.m_failed = aOutcome != SendOutcome::Answered;
  answer.m_cold = m_attempt.m_choice.m_cold;
  if (m_attempt.m_firstByteAt) {
    answer.m_firstByte = *m_attempt.m_firstByteAt - m_attempt.m_sentAt;
  }
  answer.m_total = aNow - m_attempt.m_sentAt;
  answer.m_events = m_attempt.m_events;
  m_context.m_rollouts.OnAnswer(answer, aNow);
}

// Closes the connection, so that the upstream stops working on the request. The
// attempt counts as one that may have run.
void
RequestFlow::CancelAttempt(SendOutcome aOutcome)
{
  m_attempt.m_connection->Cancel();
  if (m_attempt.m_choice.m_tracker->Silent(Now())) {
    // Its idle connections may be dead too. A new one shows at once whether the
    // upstream can be reached.
    m_context.m_pool.CloseIdleConnections(m_attempt.m_choice.m_address);
  }
  EndAttempt(aOutcome);
}

void
RequestFlow::OnCallerGone()
{
  const auto self = shared_from_this();
  m_relay.OnCallerGone();
  if (m_ended) {
    return;
  }
  m_record.LogCallerGone(m_evidence.InFlight());
  if (m_evidence.InFlight() &&
      m_request.GetRoute().m_kind == RouteKind::Order) {
    return; // an order runs to its end; its response is discarded
  }
  if (m_evidence.InFlight()) {
    CancelAttempt(SendOutcome::Abandoned);
  }
  Finish();
}

void
RequestFlow::Terminate()
{
  const auto self = shared_from_this();
  if (m_ended) {
    return;
  }
  if (m_evidence.Prove()) {
    Refuse(ResultCode::Stopping, kStoppingRetryAfter);
    return;
  }
  if (m_evidence.InFlight()) {
    CancelAttempt(SendOutcome::Abandoned);
  }
  Fail(ResultCode::StopCutRequests);
}

// A request that may have run fails instead.
void
RequestFlow::Refuse(ResultCode aCode,
                    std::optional<Duration> aRetryAfter,
                    std::optional<Choice> aChoice)
{
  const std::optional<NotRun> notRun = m_evidence.Prove();
  if (!notRun) {
    if (m_evidence.InFlight()) {
      CancelAttempt(SendOutcome::Failed);
    }
    Fail(m_relay.HasBegun() ? ResultCode::StreamBroken
                            : ResultCode::UpstreamFailed);
    return;
  }
  if (aRetryAfter) {
    std::uniform_int_distribution<Duration::rep> jitter(0,
                                                        aRetryAfter->count());
    *aRetryAfter += Duration(jitter(m_context.m_random));
  }
  m_record.LogRefused({ aCode,
                        std::move(aChoice),
                        m_admissionRefusal,
                        m_tries,
                        m_evidence.Runs(),
                        aRetryAfter,
                        TimeLeftIfKnown() });
  ResponseWriter* caller = m_relay.TakeCaller();
  Finish();
  if (caller != nullptr) {
    WriteRefusal(*caller, *notRun, aCode, aRetryAfter);
  }
}

void
RequestFlow::Fail(ResultCode aCode)
{
  m_record.LogFailed(m_attempt.m_choice,
                     { aCode,
                       m_cause,
                       m_attempt.m_reusedConnection,
                       m_tries,
                       m_evidence.Runs(),
                       m_relay.HasBegun(),
                       m_traitProbe.HasBegun(),
                       m_attempt.m_bodyEnd,
                       TimeLeftIfKnown() });
  ResponseWriter* caller = m_relay.TakeCaller();
  Finish();
  if (caller == nullptr) {
    return;
  }
  if (m_relay.HasBegun() || RowOf(aCode).m_httpStatus == 0) {
    caller->Abort();
    return;
  }
  WriteFailure(*caller, aCode);
}

void
RequestFlow::Finish()
{
  m_ended = true;
  m_traitProbe.End();
  m_deadlineTimer.Cancel();
  m_progressTimer.Stop();
}

} // namespace walnutwing::router
