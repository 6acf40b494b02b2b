#ifndef WALNUTWING_ADMISSION_CUSTOMER_SHARES_H_
#define WALNUTWING_ADMISSION_CUSTOMER_SHARES_H_

// Admission control by customer at one daemon, by work-conserving weighted
// shares. Below the surge threshold shares are not enforced; from it on, a
// customer is admitted only below its weighted share of the capacity. Less
// urgent priorities may use less of the capacity, so they are refused before
// more urgent ones. Every request is checked against the present capacity, so
// refusals begin at once when zones leave and the capacity drops.

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

struct CustomerLimit
{
  CustomerId m_id;
  std::uint32_t m_share = 1;         // weight relative to other customers, >= 1
  std::uint32_t m_priority = 0;      // 0 is the most urgent
  std::uint32_t m_maxInProgress = 0; // requests; 0: no limit of its own
};

struct CustomerSharesOptions
{
  // Surge threshold: requests in progress, in percent of the capacity, from
  // which shares are enforced.
  std::uint32_t m_surgePercent = 80;
  // Percent of the capacity that each priority step may not use, so that room
  // is reserved for more urgent requests. At most kMaxPrioritySteps count.
  std::uint32_t m_priorityStepPercent = 5;
  // Requests per second that all customers together may start during a surge;
  // each customer gets its share of the rate. 0: no rate limit.
  double m_surgeRate = 0;
  // Seconds of its rate that a customer may accumulate for a burst.
  double m_burstSeconds = 2;
  Duration m_retryAfter = std::chrono::seconds(1);
};

inline constexpr std::uint32_t kMaxPrioritySteps = 8;

struct AdmissionResult
{
  ResultCode m_code = ResultCode::Ok; // Ok: admitted, counts as in progress
  Duration m_retryAfter{ 0 };
};

class CustomerShares
{
public:
  // Throws std::invalid_argument for options out of range.
  explicit CustomerShares(CustomerSharesOptions aOptions = {});

  // Replaces the customers. Requests in progress still count; a customer that
  // is no longer listed gets the default limits while it has any.
  void SetCustomers(const std::vector<CustomerLimit>& aCustomers);

  // Requests that this daemon may have in progress: its share of the slots of
  // the available upstreams.
  void SetCapacity(std::uint32_t aCapacity) { m_capacity = aCapacity; }

  // Admits a request, which then counts as in progress until OnFinished, or
  // refuses it with OverCustomerShare (the customer has used its own limit, its
  // share or its rate) or QueueFull (it is below its share, but its priority
  // may use no more of the capacity). Customers that are not listed have share
  // 1 and priority 0.
  AdmissionResult Admit(const CustomerId& aCustomer, Time aNow);

  // An admitted request has ended. Throws std::logic_error if the customer has
  // none in progress.
  void OnFinished(const CustomerId& aCustomer);

  std::uint32_t InProgress() const { return m_inProgress; }
  std::uint32_t InProgress(const CustomerId& aCustomer) const;

  // The requests that a customer may have in progress during a surge: its
  // weighted part of the capacity among the customers with requests in
  // progress, at least 1.
  std::uint32_t ShareOf(const CustomerId& aCustomer) const;

private:
  struct Entry
  {
    CustomerLimit m_limit;
    std::uint32_t m_inProgress = 0;
    double m_tokens = 0;
    Time m_refilledAt;
  };

  bool TakeRateToken(Entry& aEntry, double aShare, Time aNow) const;
  double ShareFraction(const Entry& aEntry) const;
  std::uint32_t CapacityFor(std::uint32_t aPriority) const;

  CustomerSharesOptions m_options;
  std::unordered_map<CustomerId, Entry> m_customers;
  std::uint32_t m_capacity = 0;
  std::uint32_t m_inProgress = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ADMISSION_CUSTOMER_SHARES_H_
