#ifndef WALNUTWING_ROUTER_REQUEST_FLOW_H_
#define WALNUTWING_ROUTER_REQUEST_FLOW_H_

// Handles one caller's request from the moment that it is complete until its
// final response: finds the route, checks the API key, chooses an upstream,
// sends the request and forwards the response.
//
// A lookup, and a request whose route is resumable, may be sent again after an
// attempt that may have run. Any other request is sent again only if it is
// certain that no attempt has run. A refusal is given only in that case too
// (see run_evidence.h).

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

class RequestFlow
  : public ResponseReceiver
  , public std::enable_shared_from_this<RequestFlow>
{
public:
  // aRequest: without its body, which is aBody and is shared with the attempts.
  // aNumber: of the request on its connection; 1 for the first.
  RequestFlow(Context& aContext,
              CallerRequest aRequest,
              std::shared_ptr<const std::string> aBody,
              std::uint32_t aNumber,
              ResponseWriter& aWriter);
  ~RequestFlow() override;
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

  void OnHead(const platform::HttpResponseHead& aHead,
              const platform::ResponseFacts& aFacts) override;
  void OnBody(std::string_view aPiece) override;
  void OnEnd(const UpstreamResult& aResult) override;

private:
  // One attempt: a request at one upstream, and what has been received of its
  // response.
  struct Attempt
  {
    std::shared_ptr<UpstreamConnection> m_connection;
    Choice m_choice;
    Time m_sentAt;
    bool m_reusedConnection = false;
    bool m_notExecuted = false; // the upstream reported that it did not run it
    // Why its response is not forwarded; "" if it is.
    std::string_view m_discardReason{};
    std::uint64_t m_discardedBytes = 0;
    bool m_isEventStream = false; // its response is a stream of events
    // If it goes on with a stream: the id of the last event before it.
    std::optional<std::string> m_resumedAfter{};
    BodyEnd m_bodyEnd;
    // When its response began; that of a stream, with its first event.
    std::optional<Time> m_firstByteAt{};
    std::uint32_t m_events = 0; // of a stream

    bool Discards() const { return !m_discardReason.empty(); }
  };

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

  void DiscardBody(std::size_t aBytes);
  void OnResponseComplete();
  void OnNotExecuted();
  void OnAttemptFailed(const std::string& aWhy);
  bool MayRunAgain() const;
  RepeatResult TryRepeat(const char* aWhy);
  RepeatResult PrepareRepeat(const SelectionRequest& aSelection,
                             Choice& aChoice);
  void SendRepeat(const char* aWhy, const Choice& aChoice);
  void EndAttempt(SendOutcome aOutcome);
  void ReportToRollout(SendOutcome aOutcome, Time aNow);
  void CancelAttempt(SendOutcome aOutcome);

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

  Attempt m_attempt; // in progress, or the last one
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
  std::shared_ptr<RequestFlow> m_self; // keeps this alive during an attempt
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_FLOW_H_
