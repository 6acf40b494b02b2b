// An attempt is one request sent to one upstream. It ends in OnEnd, or is
// canceled because of the deadline, a disconnect of the caller, another attempt
// that has come first or a stop of the process. Then either the next attempt
// starts, a silent one goes on, or the caller gets its final response at once.

#include "router/request_flow.h"

#include <algorithm>
#include <utility>

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
  const auto self = shared_from_this(); // EndIfCallerGone may drop the last one
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
  // A new connection shows whether it is lost or only at work on slow requests.
  selection.m_allowSilent = true;
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
  SendNext(m_context.m_selector.Choose(selection, Now()));
}

bool
RequestFlow::EndIfCallerGone()
{
  const auto self = shared_from_this();
  m_relay.CheckCaller();
  if (!m_ended && !m_relay.HasCaller()) {
    Finish();
  }
  return m_ended;
}

void
RequestFlow::SendNext(Choice aChoice)
{
  if (EndIfCallerGone()) {
    return;
  }
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
      if (m_attempt.InFlight()) {
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
  if (!m_permitChoice) {
    return; // the silent attempt has gone on meanwhile
  }
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
  Attempt attempt;
  attempt.m_receiver = std::make_unique<Receiver>(*this);
  attempt.m_connection = m_context.m_pool.Send(
    aChoice.m_address,
    m_request.MakeUpstreamRequest(
      aChoice.m_upstream, timeLeft, m_relay.LastEventId()),
    UseOfConnections(aChoice),
    m_request.MaxConnections(m_context.m_daemons),
    *attempt.m_receiver);
  if (!attempt.InFlight()) {
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
  attempt.m_choice = aChoice;
  attempt.m_sentAt = now;
  attempt.m_reusedConnection = attempt.m_connection->IsReused();
  attempt.m_resumedAfter = m_relay.ForwardsEvents()
                             ? std::optional(m_relay.LastEventId())
                             : std::nullopt;
  m_attempt = std::move(attempt);
  m_evidence.OnAttempt();
  m_traitProbe.OnAttemptStarted();
  m_self = shared_from_this();
  StartProgressTimer();
  m_record.LogSent(aChoice, timeLeft, m_attempt.m_reusedConnection);
}

void
RequestFlow::OnNoUpstream(const Choice& aChoice)
{
  if (GoBack("no upstream")) {
    return;
  }
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

// A silent upstream may still answer, so its attempt goes on beside the new
// one. Of two that are silent the older one is kept, as it has come further.
void
RequestFlow::OnProgressTimeout()
{
  const auto self = shared_from_this();
  if (!MayRunAgain()) {
    return;
  }
  SelectionRequest selection = MakeSelection();
  selection.m_avoid.insert(m_attempt.m_choice.m_upstream);
  // Another silent one is no better, and where all are silent the service is
  // slow rather than lost.
  selection.m_allowSilent = false;
  // A permit may be refused.
  selection.m_excludeLimited = selection.m_excludeLimited || m_relay.HasBegun();
  Choice choice;
  const RepeatResult result = PrepareRepeat(selection, choice);
  m_record.SetRepeatResult(result);
  if (result != RepeatResult::Allowed) {
    return; // the timer calls again
  }
  m_cause = kSilentCause;
  m_silent.insert(m_attempt.m_choice.m_upstream);
  const bool mayGoOn =
    !m_silentAttempt && !m_attempt.Discards() && m_traitProbe.MayRunTwice();
  if (mayGoOn) {
    SetAttemptAside();
  } else {
    CancelAttempt(m_attempt, SendOutcome::Failed);
    m_relay.DropPartialEvent();
  }
  SendRepeat(kSilentCause, choice);
}

void
RequestFlow::OnDeadline()
{
  const auto self = shared_from_this();
  if (m_attempt.InFlight()) {
    CancelAttempt(m_attempt, SendOutcome::Abandoned);
  }
  if (m_evidence.Prove()) {
    Refuse(ResultCode::DeadlineTooShort, std::nullopt);
  } else {
    Fail(ResultCode::DeadlinePassed);
  }
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
RequestFlow::OnCallerGone()
{
  const auto self = shared_from_this();
  m_relay.OnCallerGone();
  if (m_ended) {
    return;
  }
  const bool sent = m_attempt.InFlight() && m_attempt.m_connection->HasSent();
  m_record.LogCallerGone(m_evidence.InFlight(), sent);
  if (sent && m_request.GetRoute().m_kind == RouteKind::Order) {
    return; // it runs to its end; its response is discarded
  }
  if (m_attempt.InFlight()) {
    CancelAttempt(m_attempt, SendOutcome::Abandoned);
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
  if (m_attempt.InFlight()) {
    CancelAttempt(m_attempt, SendOutcome::Abandoned);
  }
  if (m_evidence.Prove()) {
    Refuse(ResultCode::Stopping, kStoppingRetryAfter);
  } else {
    Fail(ResultCode::StopCutRequests);
  }
}

// A request that may have run fails instead.
void
RequestFlow::Refuse(ResultCode aCode,
                    std::optional<Duration> aRetryAfter,
                    std::optional<Choice> aChoice)
{
  const std::optional<NotRun> notRun = m_evidence.Prove();
  if (!notRun) {
    if (m_attempt.InFlight()) {
      CancelAttempt(m_attempt, SendOutcome::Failed);
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
  const auto self = shared_from_this();
  m_ended = true;
  DropSilentAttempt(SendOutcome::Abandoned);
  m_traitProbe.End();
  m_deadlineTimer.Cancel();
  m_progressTimer.Stop();
}

} // namespace walnutwing::router
