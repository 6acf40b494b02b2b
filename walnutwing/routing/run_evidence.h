#ifndef WALNUTWING_ROUTING_RUN_EVIDENCE_H_
#define WALNUTWING_ROUTING_RUN_EVIDENCE_H_

// What is known of whether a request has run, from its attempts.
//
// A refusal promises the caller that its request has not run and never will, so
// the caller sends it again. The function that writes one requires a NotRun,
// and a request that has attempts gets it from its RunEvidence only, which is
// told of each attempt's start and end. So whoever does not know whether an
// attempt is in progress, or may have run, cannot write a refusal.

#include <cstdint>
#include <optional>

#include "walnutwing/routing/upstream_tracker.h"

namespace walnutwing {

// The certainty that a request has not run and never will.
class NotRun
{
public:
  // Of a request that was not read to its end: it was sent to no upstream.
  static NotRun OfIncompleteRequest() { return {}; }

private:
  friend class RunEvidence;
  NotRun() = default;
};

class RunEvidence
{
public:
  // An attempt starts, perhaps beside another one. From now on it may run.
  void OnAttempt() { ++m_inFlight; }

  // An attempt has ended. Without a connection nothing was sent, and an
  // upstream that refuses reports that it did not run it; after any other
  // outcome it may have run.
  void OnEnded(SendOutcome aOutcome)
  {
    m_inFlight -= m_inFlight == 0 ? 0 : 1;
    const bool notRun = aOutcome == SendOutcome::Unreachable ||
                        aOutcome == SendOutcome::Unsent ||
                        aOutcome == SendOutcome::Refused;
    m_endedRuns += notRun ? 0 : 1;
  }

  // Whether an attempt has no end yet.
  bool InFlight() const { return m_inFlight != 0; }

  // Attempts that may have run, with those that have no end yet.
  std::uint32_t Runs() const { return m_endedRuns + m_inFlight; }

  // Nothing if the request may have run or may still run.
  std::optional<NotRun> Prove() const
  {
    return Runs() == 0 ? std::optional(NotRun()) : std::nullopt;
  }

private:
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_endedRuns = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_RUN_EVIDENCE_H_
