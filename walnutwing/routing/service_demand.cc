#include "walnutwing/routing/service_demand.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// The estimate is replaced if the measured rate differs from it by more, and by
// more than a few requests a second.
constexpr double kMaxDifference = 0.25;
constexpr double kMinDifferencePerSecond = 1;

} // namespace

PromptClass
PromptClassOf(std::uint32_t aPromptTokens)
{
  const auto width = static_cast<PromptClass>(std::bit_width(aPromptTokens));
  return std::min(width, kPromptClasses - 1);
}

ServiceDemand::Classes&
ServiceDemand::ClassesOf(const ServiceId& aService)
{
  const auto [found, added] = m_services.try_emplace(aService);
  for (PromptClass i = 0; added && i < kPromptClasses; ++i) {
    // No upstream's id contains a slash.
    found->second[i].m_key = static_cast<std::uint32_t>(
      StableHash("service/" + aService.Value() + "/" + std::to_string(i)));
  }
  return found->second;
}

void
ServiceDemand::OnRequest(const ServiceId& aService,
                         std::uint32_t aPromptTokens,
                         Time aNow)
{
  Class& one = ClassesOf(aService)[PromptClassOf(aPromptTokens)];
  one.m_requests.Add(aNow);
  one.m_count = static_cast<std::uint32_t>(one.m_requests.Count(aNow));
}

std::array<double, kPromptClasses>
ServiceDemand::PerSecond(const ServiceId& aService,
                         std::uint32_t aDaemons,
                         Time aNow)
{
  std::array<double, kPromptClasses> perSecond{};
  Classes& classes = ClassesOf(aService);
  for (PromptClass i = 0; i < kPromptClasses; ++i) {
    Class& one = classes[i];
    const auto own = static_cast<double>(one.m_requests.Count(aNow));
    const double count = own + m_exchange.ReportedByOthers(one.m_key, aNow)
                                 .value_or(own * (std::max(1U, aDaemons) - 1));
    const double measured =
      count / std::chrono::duration<double>(kWindow).count();
    if (std::abs(measured - one.m_estimate) >
        std::max(kMinDifferencePerSecond, kMaxDifference * one.m_estimate)) {
      one.m_estimate = measured;
    }
    perSecond[i] = one.m_estimate;
  }
  return perSecond;
}

void
ServiceDemand::AddTo(UpstreamLoads& aLoads) const
{
  for (const auto& [id, classes] : m_services) {
    for (const Class& one : classes) {
      if (one.m_count != 0) {
        aLoads[one.m_key] = one.m_count;
      }
    }
  }
}

} // namespace walnutwing
