#ifndef WALNUTWING_ROUTING_ADMISSION_H_
#define WALNUTWING_ROUTING_ADMISSION_H_

// Who waits and who is refused when a service has more work than places.
//
// Upstreams queue what they cannot run. A queue that is longer than what its
// requests can wait makes all of them late, and work that is late is worth
// little: so a request is refused at once when, even at the least loaded
// upstream, its answer would come later than its target. The less urgent may
// wait less, so that they are refused first and the others never behind them; a
// customer that has more than its share of the places may not wait.
//
// Between the allowed wait and twice of it, a growing share is refused: loads
// are known late, and daemons that all refused or all took work by the same
// word would overshoot in turn.
//
// The wait is estimated by Little's law: requests ahead, over the places, times
// the time for which a request holds its place. Both that time and the one from
// the start of a request to its answer are measured: from requests that were
// answered, less the part in which they waited, as the load that they met
// tells.

#include <cstdint>
#include <map>
#include <optional>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

struct AdmissionOptions
{
  // Part of its target within which a request must be answered by estimate: of
  // the most urgent, and how much less for each step of priority.
  double m_targetFraction = 0.9;
  double m_targetFractionStep = 0.1;
  // A request that would wait less than this is never refused: estimates are
  // not that good.
  Duration m_minWait = std::chrono::milliseconds(50);
  // Times its equal share of a service's requests from which a customer waits
  // only the least, and the fewest customers among which that means anything.
  double m_maxCustomerShares = 2.0;
  std::size_t m_minCustomers = 3;
};

// What decides about one request.
struct AdmissionRequest
{
  std::uint32_t m_priority = 0; // 0 is the most urgent
  Duration m_target{};          // to its answer, a stream's first event
  CustomerId m_customer;        // empty: none
  double m_load = 0;            // requests at the least loaded upstream
  std::uint32_t m_slots = 1;    // that it runs at once
};

struct AdmissionDecision
{
  bool m_admitted = true;
  Duration m_wait{};    // as estimated
  Duration m_maxWait{}; // the longest that it may be
};

// Of one service at one daemon.
class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionOptions aOptions)
    : m_options(aOptions)
  {
  }

  AdmissionDecision Decide(const AdmissionRequest& aRequest);

  // A request of this customer is on its way to an upstream; OnEnded follows.
  void OnSent(const CustomerId& aCustomer);
  void OnEnded(const CustomerId& aCustomer);
  // A request was answered whole: its answer began aTimeToFirstByte after it
  // was sent and ended after aTotalTime. aLoad: requests that the upstream had,
  // with aSlots.
  void OnServed(Duration aTimeToFirstByte,
                Duration aTotalTime,
                double aLoad,
                std::uint32_t aSlots);

  // Routes have other targets: only those of requests from now on count.
  void ClearTargets() { m_maxTargets.clear(); }

private:
  // The longest target of requests that are as urgent or less.
  Duration MaxTarget(const AdmissionRequest& aRequest);
  bool ExceedsShare(const CustomerId& aCustomer) const;

  AdmissionOptions m_options;
  std::optional<double>
    m_meanSlotTimeMs; // mean time that a request holds its place
  std::optional<double> m_meanFirstByteMs; // mean time until it is answered
  std::map<std::uint32_t, Duration> m_maxTargets;   // the longest, by priority
  std::map<CustomerId, std::uint32_t> m_inProgress; // none with zero
  std::uint32_t m_total = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_ADMISSION_H_
