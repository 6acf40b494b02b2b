#include "walnutwing/rollout/rollouts.h"

#include <iterator>
#include <tuple>
#include <utility>

namespace walnutwing {
namespace {

// Whether aOrder was written before the known one. Offsets of different eras
// cannot be compared.
bool
IsOlder(const RolloutOrder& aOrder, const RolloutOrder& aKnown)
{
  return aOrder.m_id.m_era < aKnown.m_id.m_era ||
         (aOrder.m_id.m_era == aKnown.m_id.m_era &&
          aOrder.m_id.m_offset < aKnown.m_id.m_offset);
}

// Whether the records are one order. After the store was restored, operators
// write their records again, at other offsets.
bool
IsSameOrder(const RolloutOrder& aOrder, const RolloutOrder& aKnown)
{
  if (aOrder.m_to != aKnown.m_to) {
    return false;
  }
  return aOrder.m_id.m_era == aKnown.m_id.m_era
           ? aOrder.m_id.m_offset == aKnown.m_id.m_offset
           : aOrder.m_duration == aKnown.m_duration;
}

} // namespace

Rollouts::Rollouts(RolloutOptions aOptions, const LoadExchange& aExchange)
  : m_options(aOptions)
  , m_exchange(aExchange)
{
}

ServiceRollout*
Rollouts::Find(const ServiceId& aService)
{
  const auto found = m_rollouts.find(aService);
  return found == m_rollouts.end() ? nullptr : &found->second;
}

const ServiceRollout*
Rollouts::Find(const ServiceId& aService) const
{
  const auto found = m_rollouts.find(aService);
  return found == m_rollouts.end() ? nullptr : &found->second;
}

// Changes of a rollout that is about to be replaced must not be lost.
void
Rollouts::CollectChanges(ServiceRollout& aRollout)
{
  std::vector<RolloutChange> changes = aRollout.TakeChanges();
  m_changes.insert(m_changes.end(),
                   std::make_move_iterator(changes.begin()),
                   std::make_move_iterator(changes.end()));
}

void
Rollouts::Start(const RolloutOrder& aOrder, Time aNow)
{
  const auto early = m_early.find(aOrder.m_service);
  ServiceRollout rollout(aOrder,
                         m_options,
                         m_exchange,
                         m_statusesRead,
                         early != m_early.end(),
                         aNow);
  if (ServiceRollout* former = Find(aOrder.m_service)) {
    former->OnReplaced(aNow);
    CollectChanges(*former);
    rollout.TakeOverFrom(*former, aNow);
  }
  if (early != m_early.end()) {
    rollout.OnStatus(early->second.first, early->second.second, aNow);
    m_early.erase(early);
  }
  m_rollouts.erase(aOrder.m_service);
  m_rollouts.emplace(aOrder.m_service, std::move(rollout));
}

void
Rollouts::OnOrder(const RolloutOrder& aOrder, Time aNow)
{
  ServiceRollout* known = Find(aOrder.m_service);
  if (known == nullptr) {
    Start(aOrder, aNow);
    return;
  }
  const RolloutOrder& order = known->Order();
  if (IsOlder(aOrder, order)) {
    return;
  }
  if (IsSameOrder(aOrder, order) ||
      (aOrder.m_to == order.m_to && !IsFinal(known->Stage()))) {
    known->OnRepeated(aOrder, aNow);
    return;
  }
  Start(aOrder, aNow);
}

void
Rollouts::OnOrderWithdrawn(const ServiceId& aService, Time aNow)
{
  if (ServiceRollout* rollout = Find(aService)) {
    rollout->OnWithdrawn(aNow);
  }
}

void
Rollouts::OnStatus(const RolloutStatus& aStatus,
                   Time aNow,
                   StatusSource aSource)
{
  ServiceRollout* rollout = Find(aStatus.m_service);
  if (rollout != nullptr) {
    rollout->OnStatus(aStatus, aSource, aNow);
  }
  if (rollout == nullptr || rollout->Order().m_id < aStatus.m_order) {
    const auto [early, isNew] =
      m_early.try_emplace(aStatus.m_service, aStatus, aSource);
    const RolloutStatus& known = early->second.first;
    if (!isNew && std::tie(known.m_order, known.m_stage) <
                    std::tie(aStatus.m_order, aStatus.m_stage)) {
      early->second = { aStatus, aSource };
    }
  }
}

void
Rollouts::OnStatusesRead(Time aNow)
{
  m_statusesRead = true;
  for (auto& [service, rollout] : m_rollouts) {
    rollout.OnStatusesRead(aNow);
  }
}

void
Rollouts::OnBadVerdict(const ServiceId& aService,
                       const SoftwareVersion& aTo,
                       const RolloutOrderId& aOrder,
                       Time aNow)
{
  ServiceRollout* rollout = Find(aService);
  if (rollout != nullptr && rollout->Order().m_to == aTo) {
    rollout->OnBadVerdict(aOrder, aNow);
  }
}

bool
Rollouts::IsActive(const ServiceId& aService) const
{
  const ServiceRollout* rollout = Find(aService);
  return rollout != nullptr && rollout->IsActive();
}

bool
Rollouts::IsInProgress(const ServiceId& aService) const
{
  const ServiceRollout* rollout = Find(aService);
  return rollout != nullptr && !IsFinal(rollout->Stage());
}

VersionRule
Rollouts::RuleFor(const RolloutRequest& aRequest,
                  std::uint32_t aDaemons,
                  Time aNow)
{
  ServiceRollout* rollout = Find(aRequest.m_service);
  if (rollout == nullptr || !rollout->IsActive()) {
    return {};
  }
  return rollout->RuleFor(aRequest, aDaemons, aNow);
}

VersionRule
Rollouts::RuleForRepeat(const RolloutRequest& aRequest, Time aNow) const
{
  const ServiceRollout* rollout = Find(aRequest.m_service);
  if (rollout == nullptr || !rollout->IsActive()) {
    return {};
  }
  return rollout->RuleForRepeat(aRequest, aNow);
}

void
Rollouts::OnSent(const ServiceId& aService,
                 const SoftwareVersion& aVersion,
                 const UpstreamId& aUpstream,
                 std::uint64_t aAffinity,
                 Time aNow)
{
  ServiceRollout* rollout = Find(aService);
  if (rollout == nullptr || IsFinal(rollout->Stage())) {
    return;
  }
  rollout->OnSent(aVersion, aUpstream);
  m_sends.OnSent(aUpstream, aAffinity, aNow);
}

void
Rollouts::OnAnswer(const RolloutAnswer& aAnswer, Time aNow)
{
  ServiceRollout* rollout = Find(aAnswer.m_service);
  if (rollout == nullptr || IsFinal(rollout->Stage())) {
    if (rollout == nullptr || rollout->IsOld(aAnswer.m_version)) {
      m_pace.Learn(aAnswer, true);
    }
    return;
  }
  const Time sentAt = aNow - aAnswer.m_total.value_or(Duration(0));
  const bool cached =
    m_sends.HadRead(aAnswer.m_upstream, aAnswer.m_affinity, sentAt);
  rollout->OnAnswer(aAnswer, m_pace.IsSlow(aAnswer, cached));
  if (rollout->IsOld(aAnswer.m_version)) {
    m_pace.Learn(aAnswer, cached);
  }
}

void
Rollouts::AddTo(UpstreamLoads& aLoads) const
{
  for (const auto& [service, rollout] : m_rollouts) {
    rollout.AddTo(aLoads);
  }
}

std::vector<ServiceId>
Rollouts::Active() const
{
  std::vector<ServiceId> active;
  for (const auto& [service, rollout] : m_rollouts) {
    if (rollout.NeedsTicks()) {
      active.push_back(service);
    }
  }
  return active;
}

void
Rollouts::Tick(const ServiceId& aService,
               const RolloutFleetView& aView,
               std::optional<std::uint32_t> aWriterRank,
               Time aNow)
{
  if (ServiceRollout* rollout = Find(aService)) {
    rollout->Tick(aView, aWriterRank, aNow);
  }
}

std::optional<RolloutStatus>
Rollouts::StatusToWrite(const ServiceId& aService, Time aNow)
{
  ServiceRollout* rollout = Find(aService);
  return rollout == nullptr ? std::nullopt : rollout->StatusToWrite(aNow);
}

void
Rollouts::OnWritten(const RolloutStatus& aStatus, Time aNow)
{
  if (ServiceRollout* rollout = Find(aStatus.m_service)) {
    rollout->OnWritten(aStatus, aNow);
  }
}

void
Rollouts::OnWriteFailed(const RolloutStatus& aStatus, Time aNow)
{
  if (ServiceRollout* rollout = Find(aStatus.m_service)) {
    rollout->OnWriteFailed(aNow);
  }
}

std::vector<RolloutStatus>
Rollouts::News() const
{
  std::vector<RolloutStatus> news;
  for (const auto& [service, rollout] : m_rollouts) {
    if (const auto status = rollout.News()) {
      news.push_back(*status);
    }
  }
  return news;
}

std::vector<RolloutVerdict>
Rollouts::BadVerdicts() const
{
  std::vector<RolloutVerdict> verdicts;
  for (const auto& [service, rollout] : m_rollouts) {
    if (const auto verdict = rollout.Verdict()) {
      verdicts.push_back(*verdict);
    }
  }
  return verdicts;
}

std::vector<RolloutView>
Rollouts::Views(Time aNow) const
{
  std::vector<RolloutView> views;
  for (const auto& [service, rollout] : m_rollouts) {
    views.push_back(rollout.View(aNow));
  }
  return views;
}

std::vector<RolloutChange>
Rollouts::TakeChanges()
{
  for (auto& [service, rollout] : m_rollouts) {
    CollectChanges(rollout);
  }
  return std::exchange(m_changes, {});
}

} // namespace walnutwing
