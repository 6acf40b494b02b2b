// An attempt is one request at one upstream. It ends in OnEnd, or is given up
// (deadline, caller gone, silence); then either the next attempt starts or the
// caller gets its final answer at once.

#include "router/request_flow.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "platform/field_text.h"
#include "walnutwing/placement/rendezvous.h"

namespace walnutwing::router {
namespace {

// An answer that is ready a little after the deadline is still passed on.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(100);
// With less time than this an upstream can do nothing.
constexpr Duration kLeastTime = std::chrono::milliseconds(10);
// Upstreams that one request tries to reach.
constexpr std::uint32_t kMostTries = 5;
// Answers up to this size are kept until they are whole, so that a broken one
// can be repeated.
constexpr std::size_t kLargestWhole = 256U << 10U;
// Bytes that a slow caller may leave untaken before its upstream is held back.
constexpr std::size_t kLargestPending = 256U << 10U;
// How long an upstream that may be replaced may be silent, in targets, and the
// least and most of it.
constexpr int kPatienceTargets = 4;
constexpr Duration kLeastPatience = std::chrono::milliseconds(600);
constexpr Duration kMostPatience = std::chrono::milliseconds(1500);
// Callers that are refused come back after this time, spread over twice of it.
constexpr Duration kRetryAfter = std::chrono::milliseconds(400);
// The same where there is more work than places: bursts last for seconds.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(1000);

constexpr int kFirstFailure = 500;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus / 100 == 2;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
SecondsText(Duration aTime)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.2f", std::chrono::duration<double>(aTime).count());
  return text;
}

} // namespace

void
AnswerError(CallerAnswer& aCaller,
            ResultCode aCode,
            std::optional<Duration> aRetryAfter)
{
  const ResultCodeRow& row = RowOf(aCode);
  const std::string number = std::to_string(static_cast<int>(aCode));
  std::string head = "HTTP/1.1 " + std::to_string(row.m_httpStatus) + " " +
                     std::string(row.m_name) + "\r\n";
  head += "Content-Type: application/json\r\n";
  head += "walnutwing-code: " + number + "\r\n";
  if (aRetryAfter) {
    head += "Retry-After: " + SecondsText(*aRetryAfter) + "\r\n";
  }
  const std::string body = R"({"error":{"code":)" + number + R"(,"name":")" +
                           std::string(row.m_name) + R"(","ran":")" +
                           std::string(NameOf(row.m_ran)) + R"(","text":")" +
                           std::string(row.m_text) + "\"}}\n";
  aCaller.Begin(std::move(head), body.size());
  aCaller.Write(body);
  aCaller.End();
}

RequestFlow::RequestFlow(Context& aContext,
                         CallerRequest aRequest,
                         CallerAnswer& aCaller)
  : m_context(aContext)
  , m_routes(aContext.m_routes)
  , m_request(std::move(aRequest))
  , m_caller(&aCaller)
  , m_facts(platform::DecodeCaller(m_request))
  , m_record(aContext, m_facts.m_attemptId)
  , m_deadlineTimer(aContext.m_loop.get_executor())
  , m_progressTimer(aContext.m_loop.get_executor())
{
  ++m_context.m_requests;
}

RequestFlow::~RequestFlow()
{
  --m_context.m_requests;
}

void
RequestFlow::Start()
{
  if (m_routes == nullptr) {
    Refuse(ResultCode::NoConfiguration, kRetryAfter);
    return;
  }
  if (!FindRoute() || !CheckKey()) {
    return;
  }
  SetDeadline();
  m_context.RepeatsOf(m_serviceId).OnRequest(m_record.ArrivedAt());
  SendNext();
}

bool
RequestFlow::FindRoute()
{
  const std::string_view host =
    platform::View(m_request[boost::beast::http::field::host]);
  m_route = m_routes->Find(host, PathOf(platform::View(m_request.target())));
  if (m_route == nullptr) {
    Refuse(ResultCode::NotFound, std::nullopt);
    return false;
  }
  if (m_facts.m_attemptId.empty()) {
    Refuse(ResultCode::BadRequest, std::nullopt);
    return false;
  }
  const ServiceId* service =
    RouteTable::ServiceOf(*m_route, StableHash(m_facts.m_attemptId));
  m_serviceId = service == nullptr ? ServiceId() : *service;
  m_service = m_routes->Service(m_serviceId);
  m_record.SetRoute(*m_route, m_serviceId, m_routes->Version());
  return true;
}

bool
RequestFlow::CheckKey()
{
  if (!m_routes->Config().m_keysRequired) {
    return true;
  }
  m_customer = m_routes->CustomerOf(m_facts.m_key);
  if (m_customer == nullptr && !m_route->m_public) {
    Refuse(ResultCode::Unauthorized, std::nullopt);
    return false;
  }
  return true;
}

void
RequestFlow::SetDeadline()
{
  const Duration longest =
    std::min(m_route->m_timeout, m_facts.m_deadline.value_or(Duration::max()));
  m_deadline = m_record.ArrivedAt() + longest;
  m_deadlineTimer.expires_after(longest + kDeadlineGrace);
  m_deadlineTimer.async_wait(
    [weak = weak_from_this()](const error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self != nullptr && !self->m_ended) {
        self->OnDeadline();
      }
    });
}

Duration
RequestFlow::Left() const
{
  return m_deadline - Now();
}

std::uint32_t
RequestFlow::Priority() const
{
  return m_customer == nullptr
           ? m_route->m_priority
           : m_customer->m_priority.value_or(m_route->m_priority);
}

CustomerId
RequestFlow::Customer() const
{
  return m_customer == nullptr ? CustomerId() : m_customer->m_id;
}

std::optional<Duration>
RequestFlow::LeftIfKnown() const
{
  return m_deadline == Time() ? std::nullopt : std::optional(Left());
}

bool
RequestFlow::Repeatable() const
{
  return m_route->m_kind == RouteKind::Lookup || m_route->m_resumable;
}

SelectionRequest
RequestFlow::MakeSelection() const
{
  SelectionRequest selection;
  selection.m_service = m_serviceId;
  selection.m_affinity = m_facts.m_sharedPart;
  selection.m_daemons = m_context.m_daemons;
  selection.m_avoid = m_avoid;
  selection.m_excludeRefusing = m_refused;
  if (m_service != nullptr) {
    selection.m_coldPerSecond =
      m_service->m_coldPerSecond * m_context.m_settings.m_coldFactor;
  }
  return selection;
}

void
RequestFlow::SendNext()
{
  if (Left() < kLeastTime) {
    OnDeadline();
    return;
  }
  SendNext(m_context.m_selector.Choose(MakeSelection(), Now()));
}

void
RequestFlow::SendNext(Choice aChoice)
{
  SelectionRequest selection = MakeSelection();
  for (; m_tries < kMostTries; ++m_tries) {
    if (aChoice.m_failure != SelectionFailure::None) {
      OnNoUpstream(aChoice);
      return;
    }
    if (m_tries == 0 && !Admit(aChoice)) {
      return;
    }
    SendTo(aChoice);
    if (m_sending) {
      ++m_tries;
      return;
    }
    selection.m_avoid.insert(aChoice.m_upstream);
    aChoice = m_context.m_selector.Choose(selection, Now());
  }
  aChoice.m_failure = SelectionFailure::Unreachable;
  OnNoUpstream(aChoice);
}

bool
RequestFlow::Admit(const Choice& aChoice)
{
  if (aChoice.m_loadAge < Duration::zero()) {
    return true; // what other daemons have in progress is not known
  }
  AdmissionRequest ask;
  ask.m_priority = Priority();
  ask.m_target = m_route->m_targetLatency;
  ask.m_customer = Customer();
  ask.m_load = aChoice.m_minLoad;
  ask.m_slots = aChoice.m_slots;
  const AdmissionDecision answer =
    m_context.AdmissionOf(m_serviceId).Decide(ask);
  if (answer.m_admitted) {
    return true;
  }
  m_wait = answer;
  Refuse(ResultCode::QueueFull, kOverloadRetryAfter, aChoice);
  return false;
}

// Leaves m_sending false when there is no connection to be had.
void
RequestFlow::SendTo(const Choice& aChoice)
{
  platform::UpstreamFacts facts;
  facts.m_upstream = aChoice.m_upstream;
  facts.m_dropKey = m_routes->Config().m_keysRequired;
  facts.m_priority = Priority();
  facts.m_customer = Customer();
  facts.m_deadline = Left();
  facts.m_resumeAfter = m_events.LastId();
  UpstreamRequest request;
  request.m_head =
    platform::EncodeUpstreamHead(m_request, facts, m_request.body().size());
  request.m_body = m_request.body();
  request.m_attemptId = m_facts.m_attemptId;
  request.m_headOnly = m_request.method() == boost::beast::http::verb::head;
  std::uint32_t mostConnections = 0;
  if (m_service != nullptr && m_service->m_maxConnections != 0) {
    mostConnections = std::max<std::uint32_t>(
      1, m_service->m_maxConnections / m_context.m_daemons);
  }
  m_connection = m_context.m_pool.Send(aChoice.m_address,
                                       std::move(request),
                                       !Repeatable(),
                                       mostConnections,
                                       *this);
  if (m_connection == nullptr) {
    return;
  }
  m_sentAt = Now();
  m_context.m_selector.OnSent(aChoice, m_sentAt);
  m_context.AdmissionOf(m_serviceId).OnSent(Customer());
  m_choice = aChoice;
  m_sending = true;
  m_attemptHead = false;
  m_notExecuted = false;
  m_falsePromise = false;
  m_ignoring = false;
  m_body.clear();
  m_self = shared_from_this();
  m_lastByteAt = Now();
  if (Repeatable() && m_runs + 1 < m_route->m_maxAttempts) {
    WatchProgress(Patience());
  }
  m_record.Sent(aChoice, facts.m_deadline);
}

void
RequestFlow::OnNoUpstream(const Choice& aChoice)
{
  const ResultCode code = aChoice.m_failure == SelectionFailure::Unreachable
                            ? ResultCode::UpstreamUnreachable
                            : ResultCode::NoUpstream;
  Refuse(code, kRetryAfter, aChoice);
}

Duration
RequestFlow::Patience() const
{
  const Duration target =
    m_attemptHead && m_route->m_targetGap > Duration::zero()
      ? m_route->m_targetGap
      : m_route->m_targetLatency;
  return std::clamp(target * kPatienceTargets, kLeastPatience, kMostPatience);
}

void
RequestFlow::WatchProgress(Duration aLongest)
{
  m_progressTimer.expires_after(aLongest);
  m_progressTimer.async_wait(
    [weak = weak_from_this()](const error_code& aError) {
      const auto self = weak.lock();
      if (aError || self == nullptr || self->m_ended || !self->m_sending) {
        return;
      }
      const Duration silent = Now() - self->m_lastByteAt;
      const Duration patience = self->Patience();
      if (silent < patience) {
        self->WatchProgress(patience - silent);
        return;
      }
      self->OnNoProgress();
    });
}

void
RequestFlow::OnNoProgress()
{
  const auto keep = shared_from_this();
  if (!MayRunAgain()) {
    return; // nobody else could do it; it may come yet
  }
  GiveUpAttempt(SendOutcome::Failed);
  OnBroken("silent");
}

void
RequestFlow::OnDeadline()
{
  const auto keep = shared_from_this();
  const bool sent = m_sending || m_runs != 0;
  if (m_sending) {
    GiveUpAttempt(SendOutcome::Abandoned);
  }
  if (sent || m_passing) {
    Fail(ResultCode::DeadlinePassed);
  } else {
    Refuse(ResultCode::DeadlineTooShort, std::nullopt);
  }
}

void
RequestFlow::OnHead(const platform::HttpAnswerHead& aHead,
                    const platform::AnswerFacts& aFacts)
{
  const Time now = Now();
  m_attemptHead = true;
  m_lastByteAt = now;
  m_notExecuted = aFacts.m_notExecuted;
  m_falsePromise = aFacts.m_falsePromise;
  m_choice.m_tracker->OnBytesReceived(now);
  if (aFacts.m_load) {
    m_choice.m_tracker->OnLoadReport(*aFacts.m_load, now);
  }
  const bool success = IsSuccess(aHead.result_int());
  m_ignoring = m_notExecuted || m_falsePromise || (m_passing && !success);
  if (m_ignoring || m_passing) {
    return;
  }
  m_firstByteAt = now;
  m_head = aHead;
  if (m_route->m_kind == RouteKind::Stream && success && m_caller != nullptr) {
    m_passing = true;
    m_caller->Begin(platform::EncodeCallerHead(aHead), std::nullopt);
  }
}

void
RequestFlow::OnBody(std::string_view aPiece)
{
  m_lastByteAt = Now();
  m_choice.m_tracker->OnBytesReceived(m_lastByteAt);
  if (m_ignoring || m_caller == nullptr) {
    return;
  }
  if (m_passing) {
    PassBody(aPiece);
    return;
  }
  m_body += aPiece;
  if (m_body.size() > kLargestWhole) {
    m_passing = true;
    m_caller->Begin(platform::EncodeCallerHead(*m_head), std::nullopt);
    m_caller->Write(std::exchange(m_body, {}));
  }
}

void
RequestFlow::PassBody(std::string_view aPiece)
{
  m_caller->Write(m_route->m_resumable ? m_events.Feed(aPiece) : aPiece);
  if (m_caller->PendingBytes() > kLargestPending && m_connection != nullptr) {
    m_connection->Pause();
  }
}

void
RequestFlow::OnDrained()
{
  if (m_sending) {
    m_connection->Resume();
  }
}

void
RequestFlow::OnEnd(const UpstreamEnd& aEnd)
{
  const auto keep = shared_from_this();
  if (aEnd.m_stage == SendStage::NotConnected) {
    EndAttempt(SendOutcome::Unreachable);
    m_avoid.insert(m_choice.m_upstream);
    SendNext();
    return;
  }
  if (aEnd.m_stage == SendStage::Complete) {
    OnWholeAnswer();
    return;
  }
  ++m_runs;
  EndAttempt(SendOutcome::Failed);
  OnBroken(aEnd.m_error);
}

void
RequestFlow::OnWholeAnswer()
{
  if (m_notExecuted) {
    EndAttempt(SendOutcome::Refused);
    OnNotExecuted();
    return;
  }
  ++m_runs;
  const bool failure =
    m_ignoring || static_cast<int>(m_head->result_int()) >= kFirstFailure;
  EndAttempt(failure ? SendOutcome::Failed : SendOutcome::Answered);
  if (m_ignoring) {
    OnBroken("answered with a failure");
    return;
  }
  if (m_caller == nullptr) {
    Finish();
    return;
  }
  if (m_passing) {
    m_caller->Write(m_events.Rest());
  } else if (failure && MayRunAgain() &&
             TryRepeat("failure") == RepeatResult::Sent) {
    return;
  } else {
    m_caller->Begin(platform::EncodeCallerHead(*m_head), m_body.size());
    m_caller->Write(m_body);
  }
  m_record.Answered(m_choice, m_head->result_int(), m_tries, *m_firstByteAt);
  CallerAnswer* caller = m_caller;
  Finish();
  caller->End();
}

// The upstream says that it did not run the request, so any other may, whatever
// the kind of request; but each send counts as a repeat.
void
RequestFlow::OnNotExecuted()
{
  m_avoid.insert(m_choice.m_upstream);
  m_refused = true;
  if (m_caller == nullptr) {
    Finish();
    return;
  }
  const RepeatResult result = TryRepeat("not executed");
  if (result != RepeatResult::Sent) {
    Refuse(result == RepeatResult::NoBudget ? ResultCode::RetryBudgetSpent
                                            : ResultCode::QueueFull,
           kRetryAfter);
  }
}

void
RequestFlow::OnBroken(const std::string& aWhy)
{
  m_cause = aWhy;
  m_avoid.insert(m_choice.m_upstream);
  m_events.DropRest();
  if (m_caller == nullptr) {
    Finish();
    return;
  }
  if (MayRunAgain() && TryRepeat(aWhy.c_str()) == RepeatResult::Sent) {
    return;
  }
  Fail(m_passing ? ResultCode::StreamBroken : ResultCode::UpstreamFailed);
}

// Whether one more upstream may run the request.
bool
RequestFlow::MayRunAgain() const
{
  const std::uint32_t runs = m_runs + (m_sending ? 1 : 0);
  const bool intact = !m_passing || m_route->m_resumable;
  return Repeatable() && intact && runs < m_route->m_maxAttempts;
}

RepeatResult
RequestFlow::TryRepeat(const char* aWhy)
{
  if (m_tries >= kMostTries || Left() < kLeastTime) {
    return RepeatResult::NoTime;
  }
  // Before a repeat is taken from the budget there must be somewhere to go.
  const Choice choice = m_context.m_selector.Choose(MakeSelection(), Now());
  if (choice.m_failure != SelectionFailure::None) {
    return RepeatResult::NoUpstream;
  }
  if (!m_context.RepeatsOf(m_serviceId).TryRepeat(m_context.m_daemons, Now())) {
    m_record.RepeatDenied();
    return RepeatResult::NoBudget;
  }
  m_record.Repeated(m_passing, m_choice, aWhy, m_events.LastId());
  SendNext(choice);
  return RepeatResult::Sent;
}

void
RequestFlow::EndAttempt(SendOutcome aOutcome)
{
  m_sending = false;
  m_connection.reset();
  m_progressTimer.cancel();
  const Time now = Now();
  m_choice.m_tracker->OnEnded(aOutcome, now);
  AdmissionControl& admission = m_context.AdmissionOf(m_serviceId);
  admission.OnEnded(Customer());
  if (aOutcome == SendOutcome::Answered) {
    admission.OnServed(m_firstByteAt.value_or(now) - m_sentAt,
                       now - m_sentAt,
                       m_choice.m_load,
                       m_choice.m_slots);
  }
  m_self.reset();
}

// Closes the connection, so that the upstream stops working on the request. The
// attempt counts as one that may have run.
void
RequestFlow::GiveUpAttempt(SendOutcome aOutcome)
{
  ++m_runs;
  m_connection->Cancel();
  if (m_choice.m_tracker->Silent(Now())) {
    // Kept connections to it may be as silent; a new one shows at once whether
    // it can be reached.
    m_context.m_pool.Forget(m_choice.m_address);
  }
  EndAttempt(aOutcome);
}

void
RequestFlow::OnCallerGone()
{
  const auto keep = shared_from_this();
  m_caller = nullptr;
  if (m_ended) {
    return;
  }
  m_record.CallerGone(m_sending);
  if (m_sending && m_route->m_kind == RouteKind::Order) {
    return; // it runs on; its answer is dropped
  }
  if (m_sending) {
    GiveUpAttempt(SendOutcome::Abandoned);
  }
  Finish();
}

void
RequestFlow::Cut()
{
  const auto keep = shared_from_this();
  if (m_ended) {
    return;
  }
  if (m_sending) {
    GiveUpAttempt(SendOutcome::Abandoned);
  }
  Fail(ResultCode::StopCutRequests);
}

// "Not run" must be true: a request that may have run fails instead.
void
RequestFlow::Refuse(ResultCode aCode,
                    std::optional<Duration> aRetryAfter,
                    std::optional<Choice> aChoice)
{
  if (m_runs != 0 || m_passing) {
    Fail(m_passing ? ResultCode::StreamBroken : ResultCode::UpstreamFailed);
    return;
  }
  if (aRetryAfter) {
    std::uniform_int_distribution<Duration::rep> spread(0,
                                                        aRetryAfter->count());
    *aRetryAfter += Duration(spread(m_context.m_random));
  }
  m_record.Refused(
    { aCode, std::move(aChoice), m_wait, m_tries, aRetryAfter, LeftIfKnown() });
  CallerAnswer* caller = m_caller;
  Finish();
  if (caller != nullptr) {
    AnswerError(*caller, aCode, aRetryAfter);
  }
}

void
RequestFlow::Fail(ResultCode aCode)
{
  m_record.Failed(
    m_choice, { aCode, m_cause, m_tries, m_runs, m_passing, LeftIfKnown() });
  CallerAnswer* caller = m_caller;
  const bool passing = m_passing;
  Finish();
  if (caller == nullptr) {
    return;
  }
  if (passing || RowOf(aCode).m_httpStatus == 0) {
    caller->Abort();
    return;
  }
  AnswerError(*caller, aCode, std::nullopt);
}

void
RequestFlow::Finish()
{
  m_ended = true;
  m_deadlineTimer.cancel();
  m_progressTimer.cancel();
}

} // namespace walnutwing::router
