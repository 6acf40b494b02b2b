#ifndef WALNUTWING_ROUTING_ADMISSION_H_
#define WALNUTWING_ROUTING_ADMISSION_H_

// Admission control for a service that has more requests than slots.
//
// Upstreams queue the requests that they cannot run at once. If the queue is
// too long, all of its requests miss their targets, and late answers are of
// little use. So a request is refused at once if, even at the least loaded
// upstream, its answer is expected after its target. Less urgent requests may
// wait for a smaller part of the target, so they are refused before more urgent
// ones. A customer with far more requests in progress than the others may wait
// only for the minimum.
//
// The wait is estimated with Little's law: queued requests, divided by the
// slots, times the mean time for which a request uses a slot. That time and the
// time from the start of a request to its first byte are moving averages over
// answered requests. The part in which a request waited in the queue is
// estimated from the load of its upstream, and subtracted.

#include <cstdint>
#include <map>
#include <optional>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

struct AdmissionOptions
{
  // Fraction of its target within which a request must be expected to be
  // answered: for the most urgent, and how much less for each priority step.
  double m_targetFraction = 0.9;
  double m_targetFractionStep = 0.1;
  // A request that is expected to wait no longer than this is never refused,
  // because the estimates are not more precise.
  Duration m_minWait = std::chrono::milliseconds(50);
  // A customer with more requests in progress than this multiple of the mean of
  // all customers may wait only for m_minWait. Applies from m_minCustomers on,
  // because a share says little among fewer customers.
  double m_maxCustomerShares = 2.0;
  std::size_t m_minCustomers = 3;
};

// The facts about one request on which the decision depends.
struct AdmissionRequest
{
  std::uint32_t m_priority = 0; // 0 is the most urgent
  Duration m_target{};          // time to its answer or first stream event
  CustomerId m_customer;        // empty: none
  double m_load = 0;            // requests at the least loaded upstream
  std::uint32_t m_slots = 1;    // requests that this upstream runs at once
};

struct AdmissionDecision
{
  bool m_admitted = true;
  Duration m_wait{};    // estimated
  Duration m_maxWait{}; // allowed
};

// Admission control for one service at one daemon.
class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionOptions aOptions)
    : m_options(aOptions)
  {
  }

  // Decides about one request and records its target.
  AdmissionDecision Decide(const AdmissionRequest& aRequest);

  // Mean time for which a request uses a slot.
  Duration SlotTime() const;

  // A request of this customer was sent to an upstream; OnEnded must follow.
  void OnSent(const CustomerId& aCustomer);
  void OnEnded(const CustomerId& aCustomer);
  // A request was answered completely: its answer began aTimeToFirstByte and
  // ended aTotalTime after it was sent, to an upstream with aSlots that had
  // aLoad other requests. Where the upstream reports its load with its
  // responses, that is meant: requests that other daemons have sent meanwhile
  // are missing in older counts, and the wait behind them would count as slot
  // time and again as time to the first byte.
  void OnServed(Duration aTimeToFirstByte,
                Duration aTotalTime,
                double aLoad,
                std::uint32_t aSlots);

  // Forgets the targets of earlier requests; to be called when the routes, and
  // so the targets, have changed.
  void ClearTargets() { m_maxTargets.clear(); }

private:
  // The longest target of requests with the same or less urgent priority, so
  // that a less urgent request with a longer target is not preferred.
  Duration MaxTarget(const AdmissionRequest& aRequest);
  bool ExceedsShare(const CustomerId& aCustomer) const;

  AdmissionOptions m_options;
  std::optional<double> m_meanSlotTimeMs;  // for which a request uses a slot
  std::optional<double> m_meanFirstByteMs; // from its start to its first byte
  std::map<std::uint32_t, Duration> m_maxTargets;   // longest, by priority
  std::map<CustomerId, std::uint32_t> m_inProgress; // without zero entries
  std::uint32_t m_total = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ADMISSION_H_
