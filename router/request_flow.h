#ifndef WALNUTWING_ROUTER_REQUEST_FLOW_H_
#define WALNUTWING_ROUTER_REQUEST_FLOW_H_

// One caller's request, from the moment that it is whole until its final
// answer: route and key, choice of an upstream, sending, and passing on of the
// answer.
//
// What may be sent twice: a lookup, and a stream whose route lets it be
// resumed; anything else only while it is certain that it has not run. A
// refusal that promises "not run" is given only in that case.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "platform/request_codec.h"
#include "router/context.h"
#include "router/request_record.h"
#include "router/upstream_connection.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/relay/event_splitter.h"

namespace walnutwing::router {

using CallerRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

// Takes the answer to the caller, in one piece or in several.
class CallerAnswer
{
public:
  virtual ~CallerAnswer() = default;
  // Begins an answer. aHead ends before the fields that frame the body. With
  // aLength the body has so many bytes, without it comes in chunks.
  virtual void Begin(std::string aHead,
                     std::optional<std::uint64_t> aLength) = 0;
  virtual void Write(std::string_view aPiece) = 0;
  // The answer is whole.
  virtual void End() = 0;
  // The answer will not become whole: the caller must see that.
  virtual void Abort() = 0;
  // Bytes that the caller has not taken yet.
  virtual std::size_t PendingBytes() const = 0;
};

// Gives the caller a whole answer of our own, a numbered error. aRetryAfter:
// when the caller may come back; nothing: it need not.
void
AnswerError(CallerAnswer& aCaller,
            ResultCode aCode,
            std::optional<Duration> aRetryAfter);

// What became of an attempt to send a request again.
enum class RepeatResult
{
  Sent,       // or refused, or answered otherwise: nothing is left to do
  NoTime,     // too late, or too many attempts
  NoUpstream, // nobody could take it
  NoBudget,
};

class RequestFlow
  : public AnswerReceiver
  , public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(Context& aContext, CallerRequest aRequest, CallerAnswer& aCaller);
  ~RequestFlow() override;
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();

  // The caller has closed its connection; its CallerAnswer is not used again.
  void OnCallerGone();

  // The caller has taken all that was written.
  void OnDrained();

  // The process ends: the request is broken off.
  void Cut();

  void OnHead(const platform::HttpAnswerHead& aHead,
              const platform::AnswerFacts& aFacts) override;
  void OnBody(std::string_view aPiece) override;
  void OnEnd(const UpstreamEnd& aEnd) override;

private:
  // False when the request has been answered already.
  bool FindRoute();
  bool CheckKey();
  void SetDeadline();
  SelectionRequest MakeSelection() const;
  void SendNext();
  void SendNext(Choice aChoice); // the first upstream to try
  // False when the request would wait too long, and has been refused.
  bool Admit(const Choice& aChoice);
  void SendTo(const Choice& aChoice);
  void OnNoUpstream(const Choice& aChoice);
  void WatchProgress(Duration aLongest);
  Duration Patience() const;
  void OnNoProgress();
  void OnDeadline();

  void PassBody(std::string_view aPiece);
  void OnWholeAnswer();
  void OnNotExecuted();
  void OnBroken(const std::string& aWhy);
  bool MayRunAgain() const;
  RepeatResult TryRepeat(const char* aWhy);
  void EndAttempt(SendOutcome aOutcome);
  void GiveUpAttempt(SendOutcome aOutcome);

  // aChoice: the selector's, where it had none.
  void Refuse(ResultCode aCode,
              std::optional<Duration> aRetryAfter,
              std::optional<Choice> aChoice = std::nullopt);
  void Fail(ResultCode aCode);
  void Finish();
  Duration Left() const;
  std::uint32_t Priority() const;
  CustomerId Customer() const;                 // empty: none
  std::optional<Duration> LeftIfKnown() const; // a deadline is set
  bool Repeatable() const;

  Context& m_context;
  std::shared_ptr<const RouteTable> m_routes; // the version at arrival
  CallerRequest m_request;
  CallerAnswer* m_caller; // null once the caller is gone
  platform::CallerFacts m_facts;
  RequestRecord m_record;
  const Route* m_route = nullptr;
  const RoutingCustomer* m_customer = nullptr;
  const ServiceConfig* m_service = nullptr;
  ServiceId m_serviceId;
  Time m_deadline;
  Timer m_deadlineTimer;
  Timer m_progressTimer;

  // The attempt in progress.
  std::shared_ptr<UpstreamConnection> m_connection;
  Choice m_choice;
  Time m_sentAt;
  bool m_sending = false;
  bool m_attemptHead = false; // its head has come
  bool m_notExecuted = false;
  bool m_falsePromise = false;
  bool m_ignoring = false; // its answer is not to be passed on

  std::set<UpstreamId> m_avoid;
  bool m_refused = false;   // an upstream did not execute it
  std::uint32_t m_runs = 0; // attempts that may have run, the present one apart
  std::uint32_t m_tries = 0; // attempts, also those that reached no upstream

  std::string m_cause;                     // of the last attempt's failure
  std::optional<AdmissionDecision> m_wait; // where it was too long

  // The answer.
  std::optional<platform::HttpAnswerHead> m_head;
  std::string m_body;     // kept until whole
  bool m_passing = false; // the caller's answer has begun
  bool m_ended = false;
  EventSplitter m_events; // of a stream that may be resumed
  std::optional<Time> m_firstByteAt;
  Time m_lastByteAt;
  std::shared_ptr<RequestFlow> m_self; // while an upstream works on the request
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_FLOW_H_
