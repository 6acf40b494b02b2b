#ifndef WALNUTWING_ROUTER_REQUEST_RECORD_H_
#define WALNUTWING_ROUTER_REQUEST_RECORD_H_

// Logs and metrics of one request: a log line for each decision, with the
// inputs of the decision, and the counters and histograms that it updates.
// docs/LOGS.md lists the fields of the lines, docs/ROUTER.md the metrics.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "router/context.h"
#include "router/event_log.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/relay/body_end.h"
#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing::router {

// Outcome of the attempt to send a request again.
enum class RepeatResult
{
  Allowed,    // it may be sent
  NoTime,     // deadline too close, or too many attempts
  NoUpstream, // no upstream can take it
  NoBudget,   // the repeat budget is exhausted
  Blocked,    // a part of its prompt is likely to crash the next upstream too
};

std::string_view
NameOf(RepeatResult aResult);

class RequestRecord
{
public:
  // aAttemptId is the caller's attempt id. It must outlive this object.
  // aNumber: of the request on its connection; 1 for the first.
  RequestRecord(Context& aContext,
                const std::string& aAttemptId,
                std::uint32_t aNumber);

  // Adds the route, service and configuration version to all later lines.
  // aRoute must outlive this object.
  void SetRoute(const Route& aRoute,
                const ServiceId& aService,
                std::uint64_t aVersion);

  // Adds the shared parts of the prompt to the lines of failed attempts.
  // aParts must outlive this object.
  void SetSharedParts(const std::vector<TraitId>& aParts)
  {
    m_sharedParts = &aParts;
  }

  // Adds the request's fingerprint to the lines of failed attempts.
  void SetFingerprint(TraitId aFingerprint)
  {
    m_fingerprint = std::move(aFingerprint);
  }

  // Adds the part of the prompt that is blocked, or the fingerprint, to the
  // line of the refusal.
  void SetBlockedTrait(TraitId aPart) { m_blockedTrait = std::move(aPart); }

  // aTimeLeft: time left for the upstream. aReusedConnection: it is sent on a
  // kept connection, and otherwise as soon as there is one.
  void LogSent(const Choice& aChoice,
               Duration aTimeLeft,
               bool aReusedConnection);
  struct Repetition
  {
    bool m_resumed = false;        // the caller's response had already begun
    std::string_view m_why;        // how the last attempt failed
    std::string_view m_afterEvent; // id of the last event that was forwarded
    bool m_begun = false; // the last attempt had delivered a part of a response
  };
  void LogRepeated(const Choice& aFailed, const Repetition& aRepetition);
  // aRetryAfter: as the upstream sent it. aBackoff: how long it gets no
  // requests.
  void LogUpstreamBackoff(const Choice& aChoice,
                          std::string_view aRetryAfter,
                          Duration aBackoff);
  // aText: as the upstream sent it. aPerSecond: nothing if it takes any number.
  void LogUpstreamLimited(const Choice& aChoice,
                          std::string_view aText,
                          std::optional<double> aPerSecond);
  void LogTakenUp(const std::string& aFirstAttemptId,
                  const VersionFinding& aFinding);
  // The silent attempt goes on. aWhy: what it has brought first, or why the new
  // one did not go on.
  void LogKept(const Choice& aKept, std::string_view aWhy);
  // The outcome of the last attempt to send the request again.
  void SetRepeatResult(RepeatResult aResult) { m_repeatResult = aResult; }
  // Counts a repeat that the budget did not allow.
  void CountDeniedRepeat();
  // An attempt has ended. Adds it to the lines of requests that are refused or
  // fail.
  void AddAttemptEnd(const UpstreamId& aUpstream,
                     SendOutcome aOutcome,
                     bool aReusedConnection);
  // aFirstByteAt: when the head of the response was received.
  void LogAnswered(const Choice& aChoice,
                   unsigned aStatus,
                   std::uint32_t aTries,
                   Time aFirstByteAt,
                   const BodyEnd& aBodyEnd);

  struct Refusal
  {
    ResultCode m_code = ResultCode::NoUpstream;
    // The selector's result that led to the refusal, if any.
    std::optional<Choice> m_choice;
    std::optional<AdmissionDecision>
      m_admissionRefusal; // set if the wait was too long
    std::uint32_t m_tries = 0;
    std::uint32_t m_runs = 0; // attempts that may have run
    std::optional<Duration> m_retryAfter;
    std::optional<Duration> m_timeLeft; // time left until the deadline
  };
  void LogRefused(const Refusal& aRefusal);

  struct Failure
  {
    ResultCode m_code = ResultCode::UpstreamFailed;
    std::string_view m_cause; // how the last attempt failed
    bool m_reusedConnection = false;
    std::uint32_t m_tries = 0;
    std::uint32_t m_runs = 0;     // attempts that may have run
    bool m_responseBegun = false; // part of the response was sent
    bool m_begun = false; // the last attempt had delivered a part of a response
    BodyEnd m_bodyEnd;    // of the last response
    std::optional<Duration> m_timeLeft;
  };
  void LogFailed(const Choice& aLast, const Failure& aFailure);

  // aAttemptInFlight: an attempt had no end yet. aSent: bytes of it have left.
  void LogCallerGone(bool aAttemptInFlight, bool aSent);

  Time ArrivedAt() const { return m_arrivedAt; }

private:
  EventLog::Line StartLine(Event aEvent) const;
  std::string SharedPartsText() const;
  void AddConnectionState(EventLog::Line& aLine) const;
  void CountOutcome(ResultCode aCode, std::string_view aZone);
  std::int64_t ElapsedMs() const; // since the request arrived

  Context& m_context;
  const std::string& m_attemptId;
  std::uint32_t m_number;
  Time m_arrivedAt;
  const Route* m_route = nullptr;
  const std::vector<TraitId>* m_sharedParts = nullptr;
  TraitId m_fingerprint;
  TraitId m_blockedTrait;
  ServiceId m_service;
  std::uint64_t m_version = 0;
  std::optional<RepeatResult> m_repeatResult;
  std::string m_attemptEnds;
};

// Updates the gauge of each service's remaining repeats.
void
UpdateRepeatBudgetGauges(Context& aContext, Time aNow);

// Sets the gauges of the upstreams' mean pace, by service.
void
UpdatePaceGauges(Context& aContext, Time aNow);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_RECORD_H_
