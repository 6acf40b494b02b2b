#ifndef WALNUTWING_ADMISSION_CUSTOMER_SHARES_H_
#define WALNUTWING_ADMISSION_CUSTOMER_SHARES_H_

// AdmissionResult by customer at one daemon. While there is room, anybody may
// use it. From the surge mark on, a customer gets in only below its weighted
// share of the capacity, and less urgent priorities are shed before urgent
// ones. When zones leave and the capacity drops, the same rule sheds at once.

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
  std::uint32_t m_share = 1;         // weight against the others, >= 1
  std::uint32_t m_priority = 0;      // 0 is the most urgent
  std::uint32_t m_maxInProgress = 0; // 0: no limit of its own
};

struct CustomerSharesOptions
{
  // Requests in progress, in percent of the capacity, from which shares bind.
  std::uint32_t m_surgePercent = 80;
  // Each step of priority loses this much of the capacity, in percent, so that
  // room is kept for more urgent requests. At most kMaxPrioritySteps count.
  std::uint32_t m_priorityStepPercent = 5;
  // Requests a second that customers may start during a surge, over all; each
  // gets its share of it. 0: no limit by rate.
  double m_surgeRate = 0;
  double m_burstSeconds = 2; // of its rate that a customer may save up
  Duration m_retryAfter = std::chrono::seconds(1);
};

inline constexpr std::uint32_t kMaxPrioritySteps = 8;

struct AdmissionResult
{
  ResultCode m_code = ResultCode::Ok; // Ok: counted as in progress
  Duration m_retryAfter{ 0 };
};

class CustomerShares
{
public:
  explicit CustomerShares(CustomerSharesOptions aOptions = {});

  // Replaces the customers; requests in progress stay counted.
  void SetCustomers(const std::vector<CustomerLimit>& aCustomers);

  // Requests that this daemon may have in progress: its share of the slots of
  // the upstreams that take work.
  void SetCapacity(std::uint32_t aCapacity) { m_capacity = aCapacity; }

  // Admits a request, which then counts until OnFinished, or refuses it at once
  // with OverCustomerShare or QueueFull. An unknown customer has share 1.
  AdmissionResult Admit(const CustomerId& aCustomer, Time aNow);

  // An admitted request has ended. Throws std::logic_error without one.
  void OnFinished(const CustomerId& aCustomer);

  std::uint32_t InProgress() const { return m_inProgress; }
  std::uint32_t InProgress(const CustomerId& aCustomer) const;

  // The requests in progress that a customer may have during a surge: its
  // weight's part of the capacity among the customers with work, at least 1.
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
