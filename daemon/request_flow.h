#ifndef WALNUTWING_DAEMON_REQUEST_FLOW_H_
#define WALNUTWING_DAEMON_REQUEST_FLOW_H_

// Processes one caller's request from admission to the last byte of its answer:
// claim (orders only), permit, attempts at upstreams, relay of the answer.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/context.h"
#include "daemon/order_coordinator.h"
#include "daemon/permit_coordinator.h"
#include "net/http_server.h"
#include "net/owned_timer.h"
#include "walnutwing/relay/answer_stream.h"

namespace walnutwing {

// A request as validated by Front.
struct FlowRequest
{
  ChatKey m_chat;
  std::optional<UpstreamId> m_hint;
  bool m_newChat = false; // the caller supports hints but has none yet
  std::uint32_t m_priority = 0;
  Time m_deadline;
  bool m_idempotent = true;
  OrderKey m_orderKey;          // empty unless the request is an order
  std::string m_upstreamTarget; // path of the request to the upstream
  std::optional<TraceContext> m_trace;
};

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  // aOnEnd is called once, in a later iteration of the event loop, after the
  // flow has ended.
  RequestFlow(Context& aContext,
              FlowRequest aRequest,
              std::shared_ptr<net::Exchange> aExchange,
              std::function<void(ResultCode)> aOnEnd);

  // If the flow is destroyed before it ends, because Front failed, this still
  // ends the answer to the caller.
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();

  // Ends the request early, with an error or a broken answer: the daemon is
  // stopping and no longer waits for it.
  void Terminate();

  // Ends or detaches the flow if the caller has closed its connection. To be
  // polled, since a closed connection is otherwise noticed only by a write.
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
  void WithdrawOrder();

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
  // OrderBook has allowed the order to be sent, and waits for its outcome.
  bool m_mayBeSent = false;
  std::optional<RequestId>
    m_search; // id of the search for a permit, and of the permit found
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
  std::string m_orderBody; // an order's answer, buffered until it is recorded
  bool m_detached = false; // the caller was answered or has disconnected
  bool m_ended = false;

  std::optional<Span> m_requestSpan;
  std::optional<Span> m_permitSpan;
  std::optional<Span> m_attemptSpan;
  Time m_startedAt;
};

// Answers with an error: the HTTP status of aCode, the walnutwing-code header,
// Retry-After for codes that allow a repeat, and a JSON body.
void
RespondWithError(net::Exchange& aExchange,
                 ResultCode aCode,
                 Duration aRetryAfter);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_REQUEST_FLOW_H_
