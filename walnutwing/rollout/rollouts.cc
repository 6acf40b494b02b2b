#include "walnutwing/rollout/rollouts.h"

namespace walnutwing {

Rollouts::Rollouts(RolloutOptions aOptions, const LoadExchange& aExchange)
  : m_options(aOptions)
  , m_exchange(aExchange)
{
}

void
Rollouts::OnOrder(const RolloutOrder&, Time)
{
}
void
Rollouts::OnOrderWithdrawn(const ServiceId&, Time)
{
}
void
Rollouts::OnStatus(const RolloutStatus&, Time, StatusSource)
{
}
void
Rollouts::OnStatusesRead(Time)
{
}
void
Rollouts::OnBadVerdict(const ServiceId&,
                       const SoftwareVersion&,
                       const RolloutOrderId&,
                       Time)
{
}
bool
Rollouts::IsActive(const ServiceId&) const
{
  return false;
}
VersionRule
Rollouts::RuleFor(const RolloutRequest&, std::uint32_t, Time)
{
  return {};
}
VersionRule
Rollouts::RuleForRepeat(const RolloutRequest&, Time) const
{
  return {};
}
void
Rollouts::OnSent(const ServiceId&,
                 const SoftwareVersion&,
                 const UpstreamId&,
                 std::uint64_t,
                 Time)
{
}
void
Rollouts::OnAnswer(const RolloutAnswer&, Time)
{
}
void
Rollouts::AddTo(UpstreamLoads&) const
{
}
std::vector<ServiceId>
Rollouts::Active() const
{
  return {};
}
void
Rollouts::Tick(const ServiceId&,
               const RolloutFleetView&,
               std::optional<std::uint32_t>,
               Time)
{
}
std::optional<RolloutStatus>
Rollouts::StatusToWrite(const ServiceId&, Time)
{
  return std::nullopt;
}
void
Rollouts::OnWritten(const RolloutStatus&, Time)
{
}
void
Rollouts::OnWriteFailed(const RolloutStatus&, Time)
{
}
std::vector<RolloutStatus>
Rollouts::News() const
{
  return {};
}
std::vector<RolloutVerdict>
Rollouts::BadVerdicts() const
{
  return {};
}
std::vector<Rollouts::View>
Rollouts::Views(Time) const
{
  return {};
}
std::vector<RolloutChange>
Rollouts::TakeChanges()
{
  return {};
}

} // namespace walnutwing
