#ifndef WALNUTWING_ROUTER_REQUEST_FLOW_H_
#define WALNUTWING_ROUTER_REQUEST_FLOW_H_

// Handles one caller's request from the moment that it is complete until its
// final response: finds the route, checks the API key, chooses an upstream,
// sends the request and forwards the response.
//
// Nothing is sent for a caller who has left: each attempt asks its connection
// before it begins, and again once it has waited for one. What was sent of a
// lookup or a stream is canceled; an order of which bytes have left runs to its
// end, and is not sent again.
//
// A lookup, and a request whose route is resumable, may be sent again after an
// attempt that may have run. Any other request is sent again only if it is
// certain that no attempt has run. A refusal is given only in that case too
// (see run_evidence.h).
//
// An attempt whose upstream is silent is not given up for a new one: it is set
// aside and goes on, until one of the two has brought the beginning of a
// response that may be forwarded, or the next event of a stream. The other one
// is canceled then. If the new one is refused or fails first, the silent one
// goes on as if nothing had happened. There are never more than two.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "router/attempt.h"
#include "router/context.h"
#include "router/limit_timer.h"
#include "router/progress_timer.h"
#include "router/request_record.h"
#include "router/response_relay.h"
#include "router/response_writer.h"
#include "router/routed_request.h"
#include "router/stream_resumption.h"
#include "router/trait_probe.h"
#include "router/upstream_connection.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/routing/run_evidence.h"

namespace walnutwing::router {

class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  // aRequest: without its body, which is aBody and is shared with the attempts.
  // aNumber: of the request on its connection; 1 for the first.
  RequestFlow(Context& aContext,
              CallerRequest aRequest,
              std::shared_ptr<const std::string> aBody,
              std::uint32_t aNumber,
              ResponseWriter& aWriter);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  // Finds the route and sends the first attempt. May end the request at once.
  void Start();

  // The caller has disconnected. Its ResponseWriter is not used again.
  void OnCallerGone();

  // All pending bytes were written to the caller's socket.
  void OnDrained();

  // Fails the request, because the process stops.
  void Terminate();

  const std::string& AttemptId() const { return m_request.Facts().m_attemptId; }

private:
  // Receives for one attempt.
  class Receiver : public ResponseReceiver
  {
  public:
    explicit Receiver(RequestFlow& aFlow)
      : m_flow(aFlow)
    {
    }
    void OnConnected() override { m_flow.EndIfCallerGone(); }
    void OnHead(const platform::HttpResponseHead& aHead,
                const platform::ResponseFacts& aFacts) override
    {
      m_flow.OnHead(*this, aHead, aFacts);
    }
    void OnBody(std::string_view aPiece) override
    {
      m_flow.OnBody(*this, aPiece);
    }
    void OnEnd(const UpstreamResult& aResult) override
    {
      m_flow.OnEnd(*this, aResult);
    }

  private:
    RequestFlow& m_flow;
  };

  void OnHead(const ResponseReceiver& aOf,
              const platform::HttpResponseHead& aHead,
              const platform::ResponseFacts& aFacts);
  void OnBody(const ResponseReceiver& aOf, std::string_view aPiece);
  void OnEnd(const ResponseReceiver& aOf, const UpstreamResult& aResult);

  // The silent attempt, set aside while a new one is tried.
  bool IsSilentAttempt(const ResponseReceiver& aOf) const;
  void SetAttemptAside();
  void OnSilentHead(const platform::HttpResponseHead& aHead,
                    const platform::ResponseFacts& aFacts);
  void OnSilentBody(std::string_view aPiece);
  void OnSilentEnd(const UpstreamResult& aResult);
  void DropSilentAttempt(SendOutcome aOutcome);
  // Goes on with the silent attempt in place of the new one. Returns false if
  // there is none.
  bool GoBack(std::string_view aWhy);

  // These return false if they have ended the request with a refusal.
  bool FindRoute();
  bool CheckTraits();
  void FindStreamVersion();
  void OnStreamVersion(const VersionFinding& aFinding);
  bool MayRun();
  void OnSuspectPermit(bool aGranted);
  void SetDeadline();
  RolloutRequest MakeRolloutRequest() const;
  SelectionRequest MakeSelection() const;
  SelectionRequest MakeFallbackSelection() const;
  ConnectionUse UseOfConnections(const Choice& aChoice) const;
  // Returns whether the request has ended, because its caller has left.
  bool EndIfCallerGone();
  void SendNext();
  void SendNext(Choice aChoice); // tries aChoice first
  // Returns false if the request would wait too long and was therefore refused.
  bool Admit(const Choice& aChoice);
  // Whether the request may be sent to the chosen upstream; nullopt if that is
  // not known yet and OnPermitAnswer follows.
  std::optional<bool> MaySend(const Choice& aChoice);
  void OnPermitAnswer(bool aGranted);
  void SendTo(const Choice& aChoice);
  void OnNoUpstream(const Choice& aChoice);
  void OnProgressTimeout();
  void OnDeadline();

  void StartProgressTimer();
  void OnCompletePart(std::string_view aPart, Time aNow);
  void DiscardBody(std::size_t aBytes);
  void OnResponseComplete();
  void OnNotExecuted();
  void OnAttemptFailed(const std::string& aWhy);
  bool MayRunAgain() const;
  RepeatResult TryRepeat(const char* aWhy);
  RepeatResult PrepareRepeat(const SelectionRequest& aSelection,
                             Choice& aChoice);
  void SendRepeat(const char* aWhy, const Choice& aChoice);
  void EndAttempt(Attempt& aAttempt, SendOutcome aOutcome);
  void ReportToRollout(const Attempt& aAttempt,
                       SendOutcome aOutcome,
                       Time aNow);
  void CancelAttempt(Attempt& aAttempt, SendOutcome aOutcome);

  // aChoice: the selector's result, if it is the reason for the refusal.
  void Refuse(ResultCode aCode,
              std::optional<Duration> aRetryAfter,
              std::optional<Choice> aChoice = std::nullopt);
  void Fail(ResultCode aCode);
  void Finish();
  Duration TimeLeft() const;
  std::optional<Duration> TimeLeftIfKnown() const; // nullopt before SetDeadline

  Context& m_context;
  RoutedRequest m_request;
  RequestRecord m_record;
  TraitProbe m_traitProbe;
  StreamResumption m_resumption;
  Time m_deadline;
  LimitTimer m_deadlineTimer;
  ProgressTimer m_progressTimer;

  Attempt m_attempt;                      // in progress, or the last one
  std::optional<Attempt> m_silentAttempt; // goes on beside m_attempt
  RunEvidence m_evidence;

  std::set<UpstreamId> m_avoid;     // upstreams whose attempt failed
  std::set<UpstreamId> m_silent;    // upstreams that were given up as silent
  bool m_refusedByUpstream = false; // an upstream reported "not executed"
  std::uint32_t m_tries = 0; // including attempts that reached no upstream
  bool m_admitted = false;
  bool m_counted = false; // by the service's roll-out, if there is one
  std::uint32_t m_permitsAsked = 0;
  std::optional<Choice> m_permitChoice; // waits for a permit
  bool m_permitGranted = false;         // for the choice that is sent next

  std::string m_cause; // why the last attempt failed
  std::optional<AdmissionDecision> m_admissionRefusal; // if not admitted

  ResponseRelay m_relay;
  bool m_ended = false;
  std::shared_ptr<RequestFlow> m_self; // keeps this alive during attempts
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_FLOW_H_
