#ifndef WALNUTWING_ROUTER_REQUEST_RECORD_H_
#define WALNUTWING_ROUTER_REQUEST_RECORD_H_

// What is written down of one request: a log line for each decision, with the
// inputs that decided it, and the counters and histograms that the decision
// moves. docs/LOGS.md lists the lines' fields, docs/ROUTER.md the metrics.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "router/context.h"
#include "router/event_log.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing::router {

class RequestRecord
{
public:
  // aAttemptId: the caller's; it must outlive this.
  RequestRecord(Context& aContext, const std::string& aAttemptId);

  // The request has a route, by the configuration's version aVersion; without a
  // call the lines carry neither.
  void SetRoute(const Route& aRoute,
                const ServiceId& aService,
                std::uint64_t aVersion);

  // aLeft: time that the upstream is given.
  void Sent(const Choice& aChoice, Duration aLeft);
  // aResumed: an answer had begun. aAfterEvent: the last one passed on.
  void Repeated(bool aResumed,
                const Choice& aFailed,
                std::string_view aWhy,
                std::string_view aAfterEvent);
  // A repeat was wanted and the budget did not allow it.
  void RepeatDenied();
  // aFirstByteAt: when the answer's head came.
  void Answered(const Choice& aChoice,
                unsigned aStatus,
                std::uint32_t aTries,
                Time aFirstByteAt);

  struct Refusal
  {
    ResultCode m_code = ResultCode::NoUpstream;
    // Why the selector found no upstream, and out of how many; nothing when it
    // was not asked.
    std::optional<Choice> m_choice;
    std::optional<AdmissionDecision> m_wait; // where it was too long
    std::uint32_t m_tries = 0;
    std::optional<Duration> m_retryAfter;
    std::optional<Duration> m_left; // until the deadline
  };
  void Refused(const Refusal& aRefusal);

  struct Failure
  {
    ResultCode m_code = ResultCode::UpstreamFailed;
    std::string_view m_cause; // how the last attempt failed
    std::uint32_t m_tries = 0;
    std::uint32_t m_runs = 0; // attempts that may have run
    bool m_inAnswer = false;  // the caller had part of an answer
    std::optional<Duration> m_left;
  };
  void Failed(const Choice& aLast, const Failure& aFailure);

  // aSending: an upstream was at work.
  void CallerGone(bool aSending);

  Time ArrivedAt() const { return m_arrivedAt; }

private:
  EventLog::Line Start(Event aEvent) const;
  void CountEnd(ResultCode aCode, std::string_view aZone);
  std::int64_t Age() const; // ms since the request came

  Context& m_context;
  const std::string& m_attemptId;
  Time m_arrivedAt;
  const Route* m_route = nullptr;
  ServiceId m_service;
  std::uint64_t m_version = 0;
};

// How many repeats of each service its budget still allows, as gauges.
void
ShowRepeatBudgets(Context& aContext, Time aNow);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_RECORD_H_
