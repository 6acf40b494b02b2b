// Front owns the flow. Callbacks given to other components hold weak references
// and check that the flow still exists.
//
// An order's answer is not streamed: it is first recorded in the log as the
// outcome that repeats receive. If the caller of a sent order disconnects or
// its deadline passes, the flow is detached: it continues without a caller so
// that the outcome is recorded. An order of which nothing was sent is withdrawn
// instead. Each attempt asks whether the caller is there, when it has its
// permit and again when it has its connection.

#include "daemon/request_flow.h"

#include <array>
#include <charconv>
#include <utility>
#include <variant>

#include "walnutwing/config/fleet_config.h"

namespace walnutwing {
namespace {

// Reading from the upstream pauses while more than this waits for the caller.
constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kMaxOrderAnswerBytes = std::size_t{ 1024 } * 1024;
// A detached order that runs longer than this is ended as outcome unknown.
constexpr Duration kMaxDetachedTime = std::chrono::minutes(5);
// How long the flow waits for OrderBook or PermitClient to end an order that
// was not sent by its deadline, in case that component has failed.
constexpr Duration kOverdueDelay = std::chrono::seconds(5);
constexpr std::array<std::string_view, 6> kDroppedResponseHeaders = {
  "connection", "transfer-encoding", "content-length",
  "keep-alive", "x-request-id",      "server"
};

bool
IsDroppedResponseHeader(std::string_view aName)
{
  return std::find(kDroppedResponseHeaders.begin(),
                   kDroppedResponseHeaders.end(),
                   aName) != kDroppedResponseHeaders.end();
}

AnswerOptions
OptionsOf(const FlowRequest& aRequest)
{
  AnswerOptions options;
  options.m_idempotent = aRequest.m_idempotent;
  options.m_maxPlainBytes = kMaxOrderAnswerBytes;
  return options;
}

AnswerHead
HeadOf(int aStatus, const net::Headers& aHeaders)
{
  AnswerHead head;
  head.m_status = aStatus;
  head.m_requestId = aHeaders.Get("x-request-id");
  head.m_eventStream =
    aHeaders.Get("content-type").starts_with("text/event-stream");
  head.m_chunked = aHeaders.Get("transfer-encoding") == "chunked";
  head.m_completionId = aHeaders.Get("x-completion-id");
  if (const auto length = aHeaders.Find("content-length")) {
    std::uint64_t value = 0;
    const auto [end, error] =
      std::from_chars(length->data(), length->data() + length->size(), value);
    if (error == std::errc() && end == length->data() + length->size()) {
      head.m_contentLength = value;
    }
  }
  return head;
}

} // namespace

void
RespondWithError(net::Exchange& aExchange,
                 ResultCode aCode,
                 Duration aRetryAfter)
{
  const ResultCodeRow& row = RowOf(aCode);
  net::Headers headers = { { "content-type", "application/json" },
                           { "walnutwing-code",
                             std::to_string(static_cast<int>(aCode)) } };
  if (row.m_repeat == Repeat::AfterDelay || row.m_repeat == Repeat::SameKey) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
    headers.Add("retry-after",
                std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  aExchange.Respond(row.m_httpStatus, std::move(headers), ErrorBody(aCode));
}

RequestFlow::RequestFlow(Context& aContext,
                         FlowRequest aRequest,
                         std::shared_ptr<net::Exchange> aExchange,
                         std::function<void(ResultCode)> aOnEnd)
  : m_context(aContext)
  , m_request(std::move(aRequest))
  , m_exchange(std::move(aExchange))
  , m_onEnd(std::move(aOnEnd))
  , m_answer(OptionsOf(m_request))
  , m_deadlineTimer(aContext.m_loop)
  , m_startedAt(aContext.m_loop.Now())
{
  m_requestSpan = m_context.m_tracer.Begin(IsOrder() ? "order" : "request",
                                           m_request.m_trace,
                                           m_context.m_loop.WallNow());
  m_requestSpan->m_attributes.emplace_back("service",
                                           m_request.m_chat.m_service.Value());
  m_requestSpan->m_attributes.emplace_back("customer",
                                           m_request.m_chat.m_customer.Value());
}

RequestFlow::~RequestFlow()
{
  if (m_ended || m_detached) {
    return;
  }
  if (m_answer.HeadForwarded() && !IsOrder()) {
    m_exchange->Abort();
  } else {
    RespondWithError(
      *m_exchange, ResultCode::UpstreamFailed, std::chrono::seconds(1));
  }
}

void
RequestFlow::Start()
{
  const std::weak_ptr<RequestFlow> weak = weak_from_this();
  m_exchange->OnCallerGone([weak] {
    if (const Self self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  m_exchange->OnDrained([weak] {
    const Self self = weak.lock();
    if (self != nullptr && self->m_call != nullptr) {
      self->m_call->Resume();
    }
  });
  m_deadlineTimer.After(m_request.m_deadline - m_context.m_loop.Now(),
                        [this] { OnDeadline(); });
  if (IsOrder()) {
    SubmitOrder();
  } else {
    SearchUpstream();
  }
}

void
RequestFlow::SubmitOrder()
{
  const std::weak_ptr<RequestFlow> weak = weak_from_this();
  OrderRequest order;
  order.m_customer = m_request.m_chat.m_customer;
  order.m_key = m_request.m_orderKey;
  order.m_service = m_request.m_chat.m_service;
  order.m_bodySha256 = Sha256(m_exchange->Request().m_body);
  order.m_deadline = m_request.m_deadline;
  const bool submitted =
    m_context.m_orders->Call([&](OrderCoordinator& aOrders) {
      m_order = aOrders.Submit(order,
                               { [weak] {
                                  if (const Self self = weak.lock()) {
                                    self->m_mayBeSent = true;
                                    self->SearchUpstream();
                                  }
                                },
                                 [weak](const AnswerOrder& aAnswer) {
                                   if (const Self self = weak.lock()) {
                                     self->OnOrderAnswer(aAnswer);
                                   }
                                 } });
    });
  if (!submitted) {
    FinishWithCode(ResultCode::ClaimsUnavailable, false);
  }
}

void
RequestFlow::SearchUpstream()
{
  const std::weak_ptr<RequestFlow> weak = weak_from_this();
  m_permitSpan = m_context.m_tracer.Begin(
    "permit", m_requestSpan->m_context, m_context.m_loop.WallNow());
  const PermitSearch search = { m_request.m_chat,     m_request.m_hint,
                                m_request.m_newChat,  m_request.m_priority,
                                m_request.m_deadline, m_triedUpstreams };
  const bool searching =
    m_context.m_permits->Call([&](PermitCoordinator& aPermits) {
      m_search = aPermits.Search(search, [weak](const PermitResult& aResult) {
        if (const Self self = weak.lock()) {
          self->OnPermit(aResult);
        }
      });
    });
  if (!searching) {
    OnNoPermit({ ResultCode::NoUpstream, std::chrono::seconds(1), {}, {} });
  }
}

void
RequestFlow::OnPermit(const PermitResult& aResult)
{
  if (m_ended) {
    return;
  }
  EndSpan(m_permitSpan, aResult.m_upstream.Value());
  if (aResult.m_code != ResultCode::Ok) {
    m_search.reset();
    OnNoPermit(aResult);
    return;
  }
  m_permit = aResult;
  m_permitHeld = true;
  CheckCaller();
  if (!m_ended) {
    StartAttempt();
  }
}

void
RequestFlow::OnNoPermit(const PermitResult& aResult)
{
  m_permit = aResult;
  if (IsOrder()) {
    m_mayBeSent = false;
    m_context.m_orders->Call([&](OrderCoordinator& aOrders) {
      aOrders.OnUpstreamNotSent(*m_order, aResult.m_code, aResult.m_retryAfter);
    });
    if (m_detached) {
      End(aResult.m_code);
    }
    return;
  }
  if (m_attempts == 0) {
    FinishWithCode(aResult.m_code, false);
    return;
  }
  AnswerActions actions;
  m_answer.OnAttemptRefused(aResult.m_code, actions);
  CarryOut(actions);
}

void
RequestFlow::StartAttempt()
{
  ++m_attempts;
  m_attempt = AttemptId(m_context.m_settings.m_id.Value() + "-" +
                        std::to_string(m_context.m_incarnation) + "-" +
                        m_requestSpan->m_context.m_spanId + "-" +
                        std::to_string(m_attempts));
  m_upstreamCold = false;
  if (IsOrder()) {
    m_answer =
      AnswerStream(OptionsOf(m_request)); // the previous attempt was not sent
    m_orderBody.clear();
  }
  AnswerActions actions;
  m_answer.OnAttemptStarted(m_attempt, actions);
  CarryOut(actions);
  m_attemptSpan = m_context.m_tracer.Begin(
    "upstream", m_requestSpan->m_context, m_context.m_loop.WallNow());
  m_attemptSpan->m_attributes.emplace_back("upstream",
                                           m_permit.m_upstream.Value());

  const std::weak_ptr<RequestFlow> weak = weak_from_this();
  const AttemptId attempt = m_attempt;
  m_call = m_context.m_http.Start(
    MakeUpstreamRequest(),
    { [weak, attempt](int aStatus, const net::Headers& aHeaders) {
       if (const Self self = weak.lock()) {
         self->OnHead(attempt, aStatus, aHeaders);
       }
     },
      [weak, attempt](std::string_view aPiece) {
        if (const Self self = weak.lock()) {
          self->OnPiece(attempt, aPiece);
        }
      },
      [weak, attempt](const net::CallEnd& aEnd) {
        if (const Self self = weak.lock()) {
          self->OnCallEnd(attempt, aEnd);
        }
      },
      [weak] {
        if (const Self self = weak.lock()) {
          self->CheckCaller();
        }
      } });
}

net::CallRequest
RequestFlow::MakeUpstreamRequest() const
{
  const net::HttpRequest& original = m_exchange->Request();
  net::CallRequest request;
  request.m_endpoint = m_permit.m_endpoint;
  request.m_method = "POST";
  request.m_target = m_request.m_upstreamTarget;
  request.m_body = original.m_body;
  request.m_freshConnection = IsOrder();
  request.m_headers.Add("x-request-id", m_attempt.Value());
  request.m_headers.Add("x-completion-id", m_requestSpan->m_context.m_spanId);
  request.m_headers.Add("traceparent", m_attemptSpan->m_context.ToHeader());
  // Chat ids are unique only within a customer.
  request.m_headers.Add("walnutwing-chat",
                        m_request.m_chat.m_customer.Value() + "/" +
                          m_request.m_chat.m_chat.Value());
  request.m_headers.Add("walnutwing-priority",
                        std::to_string(m_request.m_priority));
  const auto content = original.m_headers.Find("content-type");
  request.m_headers.Add("content-type",
                        std::string(content.value_or("application/json")));
  if (IsOrder()) {
    request.m_headers.Add("idempotency-key", m_request.m_orderKey.Value());
  }
  if (m_resumeAfter) {
    request.m_headers.Add("last-event-id", std::to_string(*m_resumeAfter));
  }
  return request;
}

void
RequestFlow::OnHead(const AttemptId& aAttempt,
                    int aStatus,
                    const net::Headers& aHeaders)
{
  m_upstreamStatus = aStatus;
  m_upstreamHeaders = aHeaders;
  m_upstreamCold = aHeaders.Get("walnutwing-engine-state") == "cold";
  AnswerActions actions;
  m_answer.OnHead(aAttempt, HeadOf(aStatus, aHeaders), actions);
  CarryOut(actions);
}

void
RequestFlow::OnPiece(const AttemptId& aAttempt, std::string_view aPiece)
{
  AnswerActions actions;
  m_answer.OnPiece(aAttempt, aPiece, actions);
  CarryOut(actions);
  if (!m_detached && m_call != nullptr &&
      m_exchange->PendingBytes() > kMaxPendingBytes) {
    m_call->Pause();
  }
}

void
RequestFlow::OnCallEnd(const AttemptId& aAttempt, const net::CallEnd& aEnd)
{
  m_call.reset();
  EndSpan(m_attemptSpan, std::string(net::NameOf(aEnd.m_stage)));
  if (aEnd.m_stage == net::CallStage::NotSent) {
    ++m_context.m_metrics.Counter("upstream_connections_refused_total");
    if (IsOrder()) {
      // No byte was sent, so the order may be sent to the next upstream.
      m_permitHeld = false;
      m_context.m_permits->Call([&](PermitCoordinator& aPermits) {
        aPermits.OnUpstreamUnreachable(*m_search);
      });
      return;
    }
  }
  const AttemptEnd end =
    aEnd.m_stage == net::CallStage::Complete  ? AttemptEnd::Complete
    : aEnd.m_stage == net::CallStage::NotSent ? AttemptEnd::NotSent
                                              : AttemptEnd::Broken;
  AnswerActions actions;
  m_answer.OnEnd(aAttempt, end, actions);
  CarryOut(actions);
}

void
RequestFlow::OnDeadline()
{
  const Self keepAlive = shared_from_this();
  if (IsOrder()) {
    OnOrderDeadline();
    return;
  }
  if (m_attempts == 0) {
    FinishWithCode(ResultCode::DeadlineTooShort, false);
    return;
  }
  AnswerActions actions;
  m_answer.OnDeadline(actions);
  CarryOut(actions);
}

void
RequestFlow::OnOrderDeadline()
{
  if (m_detached) {
    FinishOrder(ResultCode::DeadlinePassed); // after kMaxDetachedTime
    return;
  }
  if (m_attempts == 0) {
    // OrderBook or PermitClient ends the order by its deadline, unless its
    // component has failed meanwhile.
    m_deadlineTimer.After(kOverdueDelay, [this] { OnOrderOverdue(); });
    return;
  }
  const bool sent = m_call != nullptr && m_call->HasSent();
  RespondWithError(*m_exchange,
                   sent ? ResultCode::DeadlinePassed
                        : ResultCode::DeadlineTooShort,
                   std::chrono::seconds(1));
  OnCallerGone();
}

void
RequestFlow::OnOrderOverdue()
{
  const Self keepAlive = shared_from_this();
  if (m_mayBeSent && m_attempts == 0) {
    OnNoPermit({ ResultCode::PermitTimeout, std::chrono::seconds(1), {}, {} });
    m_deadlineTimer.After(kOverdueDelay, [this] { OnOrderOverdue(); });
    return;
  }
  RespondWithError(
    *m_exchange, ResultCode::OrderOutcomeUnknown, std::chrono::seconds(1));
  OnCallerGone();
}

void
RequestFlow::OnCallerGone()
{
  const Self keepAlive = shared_from_this();
  if (m_ended || m_detached) {
    return;
  }
  m_detached = true;
  if (!IsOrder()) {
    AnswerActions actions;
    m_answer.OnCallerGone(actions);
    CarryOut(actions);
    End(ResultCode::CallerGone);
    return;
  }
  if (m_order) {
    m_context.m_orders->Call(
      [&](OrderCoordinator& aOrders) { aOrders.Abandon(*m_order); });
  }
  if (m_call != nullptr && m_call->HasSent()) {
    m_deadlineTimer.After(kMaxDetachedTime, [this] { OnDeadline(); });
    return;
  }
  WithdrawOrder();
}

// Ends an order without a caller. If its outcome is not known to the OrderBook
// yet, nothing of it was sent, and its key can be used for a repeat.
void
RequestFlow::WithdrawOrder()
{
  if (std::exchange(m_mayBeSent, false)) {
    m_context.m_orders->Call([&](OrderCoordinator& aOrders) {
      aOrders.OnUpstreamNotSent(
        *m_order, ResultCode::OrderVoided, Duration::zero());
    });
  }
  End(ResultCode::CallerGone);
}

void
RequestFlow::CheckCaller()
{
  if (!m_detached && !m_ended && m_exchange->CallerClosed()) {
    OnCallerGone();
  }
}

void
RequestFlow::Terminate()
{
  const Self keepAlive = shared_from_this();
  if (m_ended) {
    return;
  }
  if (m_answer.HeadForwarded() && !IsOrder()) {
    m_exchange->Abort();
  } else if (!m_detached) {
    RespondWithError(*m_exchange,
                     m_attempts == 0 && !IsOrder() ? ResultCode::Stopping
                                                   : ResultCode::UpstreamFailed,
                     std::chrono::seconds(1));
  }
  End(ResultCode::StopCutRequests);
}

void
RequestFlow::CarryOut(const AnswerActions& aActions)
{
  const Self keepAlive = shared_from_this();
  for (const AnswerAction& action : aActions) {
    if (const auto* head = std::get_if<ForwardHead>(&action)) {
      ForwardHeadToCaller(*head);
    } else if (const auto* forward = std::get_if<Forward>(&action)) {
      ForwardToCaller(forward->m_bytes);
    } else if (const auto* resume = std::get_if<ResumeAttempt>(&action)) {
      Resume(*resume);
    } else if (std::holds_alternative<RetryAttempt>(action)) {
      Retry();
    } else if (std::holds_alternative<FinishComplete>(action)) {
      if (IsOrder()) {
        FinishOrder(ResultCode::Ok);
      } else {
        m_exchange->End();
        End(ResultCode::Ok);
      }
    } else if (const auto* error = std::get_if<FinishWithError>(&action)) {
      FinishWithCode(error->m_code, error->m_inStream);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      if (cancel->m_attempt == m_attempt) {
        m_call.reset();
        EndSpan(m_attemptSpan, "cancelled");
      }
    }
  }
}

net::Headers
RequestFlow::MakeAnswerHeaders() const
{
  net::Headers headers;
  for (const net::Header& header : m_upstreamHeaders.All()) {
    if (!IsDroppedResponseHeader(header.m_name)) {
      headers.Add(header.m_name, header.m_value);
    }
  }
  headers.Add("walnutwing-code", "0");
  headers.Add("walnutwing-upstream", m_permit.m_upstream.Value());
  headers.Add("traceparent", m_requestSpan->m_context.ToHeader());
  if (m_context.m_hintSigner) {
    headers.Add(std::string(kHintHeader),
                m_context.m_hintSigner->Encode(m_request.m_chat,
                                               m_permit.m_upstream,
                                               m_context.m_loop.WallNow()));
  }
  return headers;
}

void
RequestFlow::ForwardHeadToCaller(const ForwardHead& aHead)
{
  m_context.m_metrics.Latency("first_byte_seconds")
    .Record(m_context.m_loop.Now() - m_startedAt);
  if (!IsOrder()) {
    m_exchange->Start(aHead.m_status, MakeAnswerHeaders());
  }
}

void
RequestFlow::ForwardToCaller(const std::string& aBytes)
{
  if (IsOrder()) {
    m_orderBody += aBytes;
    return;
  }
  m_exchange->Write(aBytes);
}

void
RequestFlow::Resume(const ResumeAttempt& aResume)
{
  ++m_context.m_metrics.Counter("attempts_resumed_total");
  m_resumeAfter = aResume.m_afterOffset;
  bool allowed = false;
  m_context.m_permits->Call(
    [&](PermitCoordinator& aPermits) { allowed = aPermits.TryRetry(); });
  if (!allowed) {
    AnswerActions actions;
    m_answer.OnAttemptRefused(ResultCode::RetryBudgetSpent, actions);
    CarryOut(actions);
    return;
  }
  if (aResume.m_target == AttemptTarget::SameUpstream) {
    StartAttempt();
    return;
  }
  m_triedUpstreams.insert(m_permit.m_upstream);
  EndPermit(true);
  SearchUpstream();
}

void
RequestFlow::Retry()
{
  ++m_context.m_metrics.Counter("attempts_repeated_total");
  bool allowed = false;
  m_context.m_permits->Call(
    [&](PermitCoordinator& aPermits) { allowed = aPermits.TryRetry(); });
  m_triedUpstreams.insert(m_permit.m_upstream);
  EndPermit(true);
  if (!allowed) {
    AnswerActions actions;
    m_answer.OnAttemptRefused(ResultCode::RetryBudgetSpent, actions);
    CarryOut(actions);
    return;
  }
  SearchUpstream();
}

void
RequestFlow::FinishWithCode(ResultCode aCode, bool aInStream)
{
  const Self keepAlive = shared_from_this();
  if (IsOrder() && m_attempts != 0) {
    FinishOrder(aCode);
    return;
  }
  if (aInStream) {
    m_exchange->Write(ErrorEvent(aCode));
    m_exchange->End();
  } else if (!m_detached) {
    RespondWithError(*m_exchange, aCode, m_permit.m_retryAfter);
  }
  End(aCode);
}

// Reports the outcome of a sent order to OrderBook, whose AnswerOrder then ends
// the flow; a detached flow ends here.
void
RequestFlow::FinishOrder(ResultCode aCode)
{
  EndPermit(aCode != ResultCode::Ok);
  m_call.reset();
  m_mayBeSent = false;
  m_context.m_orders->Call([&](OrderCoordinator& aOrders) {
    if (aCode != ResultCode::Ok) {
      aOrders.OnUpstreamUnknown(*m_order,
                                RowOf(aCode).m_ran == Ran::Unknown
                                  ? aCode
                                  : ResultCode::UpstreamFailed);
      return;
    }
    OrderResult result;
    result.m_httpStatus = m_upstreamStatus;
    result.m_contentType = m_upstreamHeaders.Get("content-type");
    result.m_body = std::exchange(m_orderBody, {});
    aOrders.OnUpstreamAnswer(*m_order, result);
  });
  if (m_detached) {
    End(aCode);
  }
}

void
RequestFlow::OnOrderAnswer(const AnswerOrder& aAnswer)
{
  const Self keepAlive = shared_from_this();
  if (m_ended || m_detached) {
    return;
  }
  if (aAnswer.m_code != ResultCode::Ok || aAnswer.m_result == nullptr) {
    RespondWithError(*m_exchange, aAnswer.m_code, aAnswer.m_retryAfter);
    End(aAnswer.m_code);
    return;
  }
  const OrderResult& result = *aAnswer.m_result;
  net::Headers headers = {
    { "content-type", result.m_contentType },
    { "walnutwing-code", "0" },
    { "walnutwing-repeated", aAnswer.m_repeated ? "1" : "0" },
    { "traceparent", m_requestSpan->m_context.ToHeader() }
  };
  if (result.m_bodyTooLarge) {
    headers.Add("walnutwing-body", "not kept");
  }
  m_exchange->Respond(result.m_httpStatus, std::move(headers), result.m_body);
  End(ResultCode::Ok);
}

void
RequestFlow::EndPermit(bool aFailed)
{
  if (!m_search) {
    return;
  }
  m_context.m_permits->Call([&](PermitCoordinator& aPermits) {
    if (m_permitHeld) {
      aPermits.ReleasePermit(*m_search, aFailed, m_upstreamCold);
    } else {
      aPermits.CancelSearch(*m_search);
    }
  });
  m_permitHeld = false;
  m_search.reset();
}

void
RequestFlow::EndSpan(std::optional<Span>& aSpan, const std::string& aResult)
{
  if (!aSpan) {
    return;
  }
  aSpan->m_attributes.emplace_back("result", aResult);
  m_context.m_tracer.End(*aSpan, m_context.m_loop.WallNow());
  aSpan.reset();
}

void
RequestFlow::End(ResultCode aCode)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  m_deadlineTimer.Cancel();
  m_call.reset();
  EndPermit(aCode != ResultCode::Ok && aCode != ResultCode::CallerGone);
  EndSpan(m_permitSpan, "given up");
  EndSpan(m_attemptSpan, std::string(RowOf(aCode).m_name));
  EndSpan(m_requestSpan, std::string(RowOf(aCode).m_name));
  m_context.m_metrics.Latency("request_seconds")
    .Record(m_context.m_loop.Now() - m_startedAt);
  ++m_context.m_metrics.Counter(
    "requests_total",
    "code=\"" + std::to_string(static_cast<int>(aCode)) + "\"");
  m_context.m_loop.After(Duration::zero(),
                         [onEnd = std::move(m_onEnd), aCode] { onEnd(aCode); });
}

} // namespace walnutwing
