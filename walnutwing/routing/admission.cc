#include "walnutwing/routing/admission.h"

#include <algorithm>

namespace walnutwing {
namespace {

// Weight of the newest request in the mean hold time.
constexpr double kNewestWeight = 0.05;
// Until any request has ended.
constexpr double kFirstHoldMs = 200;
constexpr double kFirstStartMs = 50;

void
Mean(std::optional<double>& aMean, double aNewest)
{
  aMean = aMean ? *aMean + kNewestWeight * (aNewest - *aMean) : aNewest;
}

Duration
Milliseconds(double aMs)
{
  return Duration(static_cast<Duration::rep>(aMs));
}

} // namespace

AdmissionDecision
AdmissionControl::Decide(const AdmissionRequest& aAsk)
{
  AdmissionDecision answer;
  const double ahead = std::max(0.0, aAsk.m_load + 1 - aAsk.m_slots);
  const double holdMs = m_holdMs.value_or(kFirstHoldMs);
  answer.m_wait = Milliseconds(ahead / std::max(1U, aAsk.m_slots) * holdMs);
  answer.m_maxWait = m_options.m_minWait;
  const Duration target = LongestTarget(aAsk);
  if (!OverShare(aAsk.m_customer)) {
    const double use =
      m_options.m_targetUse - m_options.m_priorityStep * aAsk.m_priority;
    const double allowedMs = use * static_cast<double>(target.count()) -
                             m_startMs.value_or(kFirstStartMs);
    answer.m_maxWait = std::max(answer.m_maxWait, Milliseconds(allowedMs));
  }
  answer.m_admitted = answer.m_wait <= answer.m_maxWait;
  return answer;
}

Duration
AdmissionControl::LongestTarget(const AdmissionRequest& aAsk)
{
  Duration& own = m_targets[aAsk.m_priority];
  own = std::max(own, aAsk.m_target);
  Duration longest = own;
  for (auto i = m_targets.find(aAsk.m_priority); i != m_targets.end(); ++i) {
    longest = std::max(longest, i->second);
  }
  return longest;
}

void
AdmissionControl::OnSent(const CustomerId& aCustomer)
{
  ++m_inProgress[aCustomer];
  ++m_total;
}

void
AdmissionControl::OnEnded(const CustomerId& aCustomer)
{
  const auto found = m_inProgress.find(aCustomer);
  --m_total;
  if (--found->second == 0) {
    m_inProgress.erase(found);
  }
}

void
AdmissionControl::OnServed(Duration aFirst,
                           Duration aWhole,
                           double aLoad,
                           std::uint32_t aPlaces)
{
  const double running = std::min(1.0, aPlaces / (aLoad + 1));
  Mean(m_holdMs, running * static_cast<double>(aWhole.count()));
  const double waitedMs = (1 - running) * static_cast<double>(aWhole.count());
  Mean(m_startMs,
       std::max(0.0, static_cast<double>(aFirst.count()) - waitedMs));
}

bool
AdmissionControl::OverShare(const CustomerId& aCustomer) const
{
  const auto found = m_inProgress.find(aCustomer);
  if (aCustomer.Value().empty() || found == m_inProgress.end() ||
      m_inProgress.size() < m_options.m_fewestCustomers) {
    return false;
  }
  const double equal =
    static_cast<double>(m_total) / static_cast<double>(m_inProgress.size());
  return found->second > m_options.m_customerShares * equal + 1;
}

} // namespace walnutwing
