// Work-conserving weighted shares: below the surge threshold no share is
// enforced. From it on, the capacity is divided by weight among the customers
// with requests in progress. Idle customers have no reserved capacity except
// what is above the surge threshold.

#include "walnutwing/admission/customer_shares.h"

#include <algorithm>
#include <stdexcept>

namespace walnutwing {
namespace {

constexpr std::uint32_t kPercent = 100;

} // namespace

CustomerShares::CustomerShares(CustomerSharesOptions aOptions)
  : m_options(aOptions)
{
  if (aOptions.m_surgePercent > kPercent || aOptions.m_surgeRate < 0 ||
      aOptions.m_priorityStepPercent * kMaxPrioritySteps > kPercent) {
    throw std::invalid_argument("customer share options are out of range");
  }
}

void
CustomerShares::SetCustomers(const std::vector<CustomerLimit>& aCustomers)
{
  std::unordered_map<CustomerId, Entry> customers;
  for (const auto& [id, entry] : m_customers) {
    if (entry.m_inProgress == 0) {
      continue;
    }
    Entry& kept = customers[id];
    kept = entry;
    kept.m_limit = CustomerLimit{ id, 1, 0, 0 };
  }
  for (const CustomerLimit& limit : aCustomers) {
    customers[limit.m_id].m_limit = limit;
  }
  m_customers = std::move(customers);
}

std::uint32_t
CustomerShares::CapacityFor(std::uint32_t aPriority) const
{
  const std::uint32_t steps = std::min(aPriority, kMaxPrioritySteps);
  const std::uint64_t percent =
    kPercent - steps * m_options.m_priorityStepPercent;
  return static_cast<std::uint32_t>(m_capacity * percent / kPercent);
}

// The customer's weight divided by the weights of all customers with requests
// in progress, including its own.
double
CustomerShares::ShareFraction(const Entry& aEntry) const
{
  double weights = 0;
  for (const auto& [id, entry] : m_customers) {
    if (entry.m_inProgress == 0 && &entry != &aEntry) {
      continue;
    }
    weights += std::max(1U, entry.m_limit.m_share);
  }
  return std::max(1U, aEntry.m_limit.m_share) / weights;
}

std::uint32_t
CustomerShares::ShareOf(const CustomerId& aCustomer) const
{
  const auto found = m_customers.find(aCustomer);
  if (found == m_customers.end()) {
    return 1;
  }
  const double share = m_capacity * ShareFraction(found->second);
  return std::max(1U, static_cast<std::uint32_t>(share));
}

bool
CustomerShares::TakeRateToken(Entry& aEntry, double aShare, Time aNow) const
{
  if (m_options.m_surgeRate <= 0) {
    return true;
  }
  const double rate = m_options.m_surgeRate * aShare;
  const double limit = std::max(1.0, rate * m_options.m_burstSeconds);
  const std::chrono::duration<double> elapsed =
    std::max(aNow - aEntry.m_refilledAt, Duration(0));
  aEntry.m_tokens = std::min(limit, aEntry.m_tokens + elapsed.count() * rate);
  aEntry.m_refilledAt = aNow;
  if (aEntry.m_tokens < 1.0) {
    return false;
  }
  aEntry.m_tokens -= 1.0;
  return true;
}

AdmissionResult
CustomerShares::Admit(const CustomerId& aCustomer, Time aNow)
{
  const auto [found, added] = m_customers.try_emplace(aCustomer);
  Entry& entry = found->second;
  if (added) {
    entry.m_limit.m_id = aCustomer;
  }
  const AdmissionResult overShare{ ResultCode::OverCustomerShare,
                                   m_options.m_retryAfter };
  const std::uint32_t ownLimit = entry.m_limit.m_maxInProgress;
  if (ownLimit != 0 && entry.m_inProgress >= ownLimit) {
    return overShare;
  }
  if (m_inProgress >= CapacityFor(entry.m_limit.m_priority)) {
    const bool exceedsShare = entry.m_inProgress >= ShareOf(aCustomer);
    return exceedsShare
             ? overShare
             : AdmissionResult{ ResultCode::QueueFull, m_options.m_retryAfter };
  }
  const std::uint64_t surgeThreshold =
    std::uint64_t{ m_capacity } * m_options.m_surgePercent / kPercent;
  if (m_inProgress >= surgeThreshold &&
      (entry.m_inProgress >= ShareOf(aCustomer) ||
       !TakeRateToken(entry, ShareFraction(entry), aNow))) {
    return overShare;
  }
  ++entry.m_inProgress;
  ++m_inProgress;
  return {};
}

void
CustomerShares::OnFinished(const CustomerId& aCustomer)
{
  const auto found = m_customers.find(aCustomer);
  if (found == m_customers.end() || found->second.m_inProgress == 0) {
    throw std::logic_error("no request in progress for this customer");
  }
  --found->second.m_inProgress;
  --m_inProgress;
}

std::uint32_t
CustomerShares::InProgress(const CustomerId& aCustomer) const
{
  const auto found = m_customers.find(aCustomer);
  return found == m_customers.end() ? 0 : found->second.m_inProgress;
}

} // namespace walnutwing
