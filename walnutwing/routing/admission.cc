#include "walnutwing/routing/admission.h"

#include <algorithm>

namespace walnutwing {
namespace {

// Weight of the newest request in the exponential moving averages.
constexpr double kNewestSampleWeight = 0.05;
// Estimates until the first request has been answered.
constexpr double kInitialSlotTimeMs = 200;
constexpr double kInitialFirstByteMs = 50;

// Updates a moving average; the first value initializes it.
void
UpdateMean(std::optional<double>& aMean, double aNewest)
{
  aMean = aMean ? *aMean + kNewestSampleWeight * (aNewest - *aMean) : aNewest;
}

Duration
ToDuration(double aMs)
{
  return Duration(static_cast<Duration::rep>(aMs));
}

} // namespace

AdmissionDecision
AdmissionControl::Decide(const AdmissionRequest& aRequest)
{
  AdmissionDecision decision;
  const double queued = std::max(0.0, aRequest.m_load + 1 - aRequest.m_slots);
  const double slotTimeMs = m_meanSlotTimeMs.value_or(kInitialSlotTimeMs);
  decision.m_wait =
    ToDuration(queued / std::max(1U, aRequest.m_slots) * slotTimeMs);
  decision.m_maxWait = m_options.m_minWait;
  const Duration target = MaxTarget(aRequest);
  if (!ExceedsShare(aRequest.m_customer)) {
    const double fraction =
      m_options.m_targetFraction -
      m_options.m_targetFractionStep * aRequest.m_priority;
    const double allowedMs = fraction * static_cast<double>(target.count()) -
                             m_meanFirstByteMs.value_or(kInitialFirstByteMs);
    decision.m_maxWait = std::max(decision.m_maxWait, ToDuration(allowedMs));
  }
  decision.m_admitted = decision.m_wait <= decision.m_maxWait;
  return decision;
}

Duration
AdmissionControl::SlotTime() const
{
  return ToDuration(m_meanSlotTimeMs.value_or(kInitialSlotTimeMs));
}

Duration
AdmissionControl::MaxTarget(const AdmissionRequest& aRequest)
{
  Duration& classTarget = m_maxTargets[aRequest.m_priority];
  classTarget = std::max(classTarget, aRequest.m_target);
  Duration maxTarget = classTarget;
  for (auto i = m_maxTargets.find(aRequest.m_priority); i != m_maxTargets.end();
       ++i) {
    maxTarget = std::max(maxTarget, i->second);
  }
  return maxTarget;
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
AdmissionControl::OnServed(Duration aTimeToFirstByte,
                           Duration aTotalTime,
                           double aLoad,
                           std::uint32_t aSlots)
{
  const double runningFraction = std::min(1.0, aSlots / (aLoad + 1));
  UpdateMean(m_meanSlotTimeMs,
             runningFraction * static_cast<double>(aTotalTime.count()));
  const double waitMs =
    (1 - runningFraction) * static_cast<double>(aTotalTime.count());
  UpdateMean(
    m_meanFirstByteMs,
    std::max(0.0, static_cast<double>(aTimeToFirstByte.count()) - waitMs));
}

bool
AdmissionControl::ExceedsShare(const CustomerId& aCustomer) const
{
  const auto found = m_inProgress.find(aCustomer);
  if (aCustomer.Value().empty() || found == m_inProgress.end() ||
      m_inProgress.size() < m_options.m_minCustomers) {
    return false;
  }
  const double equalShare =
    static_cast<double>(m_total) / static_cast<double>(m_inProgress.size());
  return found->second > m_options.m_maxCustomerShares * equalShare + 1;
}

} // namespace walnutwing
