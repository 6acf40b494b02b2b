#ifndef WALNUTWING_DAEMON_REQUEST_FLOW_H_
#define WALNUTWING_DAEMON_REQUEST_FLOW_H_

// One caller's request from admission to its last byte: claim (orders only),
// permit, attempts at upstreams, relay of the answer.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/context.h"
#include "daemon/order_desk.h"
#include "daemon/permit_desk.h"
#include "net/http_server.h"
#include "net/owned_timer.h"
#include "walnutwing/relay/answer_stream.h"

namespace walnutwing {

// What the front found out about a request.
struct FlowRequest
{
  ChatKey m_chat;
  std::optional<UpstreamId> m_hint;
  bool m_newChat = false; // the caller carries hints and has none yet
  std::uint32_t m_priority = 0;
  Time m_deadline;
  bool m_idempotent = true;
  OrderKey m_orderKey;          // only of orders
  std::string m_upstreamTarget; // path at the upstream
  std::optional<TraceContext> m_trace;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  // aOnEnd is called once, from a later turn of the loop than the constructor,
  // when the flow has nothing left to do.
  RequestFlow(Context& aContext,
              FlowRequest aRequest,
              std::shared_ptr<net::Exchange> aExchange,
              std::function<void(ResultCode)> aOnEnd);

  // A flow that is dropped midway, because the front failed, still ends its
  // answer to the caller.
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();

  // The stop limit has passed: ends the request as broken.
  void Terminate();

  // Whether the caller has closed its side; checked now and then, since it is
  // not seen before something is written.
  void CheckCaller();

private:
  using Self = std::shared_ptr<RequestFlow>;

  void SubmitOrder();
  void SearchUpstream();
  void OnPermit(const PermitResult& aResult);
  void OnNoPermit(const PermitResult& aResult);
  void StartAttempt();
  net::CallRequest MakeUpstreamRequest() const;
  void OnHead(const AttemptId& aAttempt,
              int aStatus,
              const net::Headers& aHeaders);
  void OnPiece(const AttemptId& aAttempt, std::string_view aPiece);
  void OnCallEnd(const AttemptId& aAttempt, const net::CallEnd& aEnd);
  void OnDeadline();
  void OnOrderDeadline();
  void OnOrderOverdue();
  void OnCallerGone();

  void CarryOut(const AnswerActions& aActions);
  void ForwardHeadToCaller(const ForwardHead& aHead);
  void ForwardToCaller(const std::string& aBytes);
  void Resume(const ResumeAttempt& aResume);
  void Retry();
  void FinishWithCode(ResultCode aCode, bool aInStream);
  void FinishOrder(ResultCode aCode);
  void OnOrderAnswer(const AnswerOrder& aAnswer);
  void EndPermit(bool aFailed);
  void EndSpan(std::optional<Span>& aSpan, const std::string& aResult);
  void End(ResultCode aCode);
  bool IsOrder() const { return !m_request.m_orderKey.Empty(); }
  net::Headers MakeAnswerHeaders() const;

  Context& m_context;
  FlowRequest m_request;
  std::shared_ptr<net::Exchange> m_exchange;
  std::function<void(ResultCode)> m_onEnd;
  AnswerStream m_answer;
  net::OwnedTimer m_deadlineTimer;

  std::optional<RequestId> m_order;
  bool m_mayBeSent = false; // the book has said that the order is to be sent
  std::optional<RequestId>
    m_search; // the search for a permit, or the permit held
  bool m_permitHeld = false;
  PermitResult m_permit;
  std::set<UpstreamId> m_triedUpstreams;
  std::optional<std::uint64_t> m_resumeAfter;

  AttemptId m_attempt;
  std::uint32_t m_attempts = 0;
  std::unique_ptr<net::Call> m_call;
  net::Headers m_upstreamHeaders;
  int m_upstreamStatus = 0;
  bool m_upstreamCold = false;
  std::string m_orderBody; // an order's answer is kept whole until recorded
  bool m_detached = false; // the caller has its answer or is gone
  bool m_ended = false;

  std::optional<Span> m_requestSpan;
  std::optional<Span> m_permitSpan;
  std::optional<Span> m_attemptSpan;
  Time m_startedAt;
};

// Answers with a numbered error: its status, `walnutwing-code`, Retry-After and
// the error as JSON.
void
RespondWithError(net::Exchange& aExchange,
                 ResultCode aCode,
                 Duration aRetryAfter);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_REQUEST_FLOW_H_
