// Counts permits exactly instead of estimating the load. The upstream's delayed
// report is compared with the permits that were held when it was measured: a
// permit is held from before its request reaches the upstream until after it
// has left, so requests in the report beyond these permits were admitted
// elsewhere.
//
// Slow start: a cold upstream gets a window of cold_slots. Each completed
// answer raises it by one, which doubles it with every round of answers; the
// minimum doubling time limits this when answers are short. A report or an
// answer that says "cold" restarts it. A report measured before the upstream
// turned cold is no evidence that it is warm again.

#include "walnutwing/placement/upstream_owner.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace walnutwing {
namespace {

constexpr std::uint32_t kPercent = 100;
// A new sample of a permit's duration has weight 1 / kDurationSmoothing.
constexpr int kDurationSmoothing = 8;
constexpr Duration kWaitRounding{ 1 };

void
CheckOptions(const OwnerOptions& aOptions)
{
  if (aOptions.m_coldSlots == 0 || aOptions.m_minWindow == 0 ||
      aOptions.m_loadBoundPercent < kPercent ||
      aOptions.m_takeoverPercent > kPercent) {
    throw std::invalid_argument("owner options are out of range");
  }
}

} // namespace

UpstreamOwner::UpstreamOwner(
  UpstreamId aUpstream,
  OwnerOptions aOptions,
  std::uint64_t aIncarnation,
  bool aCold,
  const std::optional<proto::UpstreamState>& aLastState,
  Time aNow)
  : m_upstream(std::move(aUpstream))
  , m_options(aOptions)
  , m_incarnation(aIncarnation)
  , m_requestsWithoutPermit(aLastState ? aLastState->in_progress() : 0)
  , m_requestsWithoutPermitUntil(aNow + aOptions.m_maxLoadAge)
  , m_cold(aCold)
  , m_coldWindow(aOptions.m_coldSlots)
  , m_coldWindowAtDoublingStart(aOptions.m_coldSlots)
  , m_coldSince(aNow)
  , m_coldDoublingStart(aNow)
  , m_lastEvent(aNow)
{
  CheckOptions(aOptions);
  StartTakeover(aNow);
}

void
UpstreamOwner::SetOptions(const OwnerOptions& aOptions,
                          Time aNow,
                          OwnerActions& aOut)
{
  CheckOptions(aOptions);
  DetectPause(aNow);
  m_options = aOptions;
  m_coldWindow = std::max(m_coldWindow, m_options.m_coldSlots);
  while (m_queue.size() > m_options.m_queueLimit) {
    Deny(m_queue.back().m_key, ResultCode::QueueFull, aOut);
    m_queue.pop_back();
  }
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::SetShares(std::unordered_map<CustomerId, std::uint32_t> aShares)
{
  m_shares = std::move(aShares);
}

void
UpstreamOwner::StartTakeover(Time aNow)
{
  m_takeoverSince = aNow;
  m_takeoverUntil = aNow + m_options.m_leaseDuration;
  m_takeoverGrants = 0;
}

// Must be called first on every event. A long gap between events shows that
// this process was paused; another daemon may have become the owner meanwhile,
// so a takeover starts.
void
UpstreamOwner::DetectPause(Time aNow)
{
  if (aNow - m_lastEvent > m_options.m_pauseThreshold) {
    StartTakeover(aNow);
  }
  m_lastEvent = std::max(m_lastEvent, aNow);
}

std::uint32_t
UpstreamOwner::WarmWindow() const
{
  const double bound =
    std::ceil(m_meanLoad * m_options.m_loadBoundPercent / kPercent);
  const auto wanted = std::max<double>(bound, m_options.m_minWindow);
  return static_cast<std::uint32_t>(
    std::min<double>(wanted, m_options.m_slots));
}

std::uint32_t
UpstreamOwner::Window(Time /*aNow*/) const
{
  if (m_leaving) {
    return 0;
  }
  return m_cold ? std::min(WarmWindow(), m_coldWindow) : WarmWindow();
}

std::uint32_t
UpstreamOwner::InProgress() const
{
  return static_cast<std::uint32_t>(m_permits.size()) + m_requestsWithoutPermit;
}

bool
UpstreamOwner::MayGrant(Time aNow) const
{
  const std::uint32_t window = Window(aNow);
  if (InProgress() >= window) {
    return false;
  }
  if (!InTakeover(aNow)) {
    return true;
  }
  const std::uint32_t budget =
    std::max<std::uint32_t>(1, window * m_options.m_takeoverPercent / kPercent);
  return m_takeoverGrants < budget;
}

void
UpstreamOwner::Grant(const PermitKey& aKey,
                     const CustomerId& aCustomer,
                     Time aNow,
                     OwnerActions& aOut)
{
  const auto [permit, added] =
    m_permits.try_emplace(aKey, Permit{ aCustomer, aNow, false });
  if (added) {
    ++m_permitsByCustomer[aCustomer];
    m_takeoverGrants += InTakeover(aNow) ? 1 : 0;
  }
  SendGrant send;
  send.m_to = aKey.m_holder;
  send.m_grant.set_request_id(aKey.m_request);
  send.m_grant.set_upstream(m_upstream.Value());
  aOut.emplace_back(std::move(send));
}

void
UpstreamOwner::Deny(const PermitKey& aKey,
                    ResultCode aCode,
                    OwnerActions& aOut) const
{
  SendDeny send;
  send.m_to = aKey.m_holder;
  send.m_deny.set_request_id(aKey.m_request);
  send.m_deny.set_upstream(m_upstream.Value());
  send.m_deny.set_code(static_cast<std::uint32_t>(aCode));
  send.m_deny.set_retry_after_ms(
    static_cast<std::uint32_t>(RetryAfter().count()));
  aOut.emplace_back(std::move(send));
}

void
UpstreamOwner::OnPermitRequest(const DaemonId& aFrom,
                               const proto::PermitRequest& aRequest,
                               Time aNow,
                               OwnerActions& aOut)
{
  DetectPause(aNow);
  const PermitKey key{ aFrom, aRequest.request_id() };
  const CustomerId customer(aRequest.customer());
  if (m_permits.contains(key)) {
    Grant(key, customer, aNow, aOut);
    return;
  }
  if (std::any_of(m_queue.begin(), m_queue.end(), [&](const auto& aWaiting) {
        return aWaiting.m_key == key;
      })) {
    return;
  }
  if (m_leaving) {
    Deny(key, ResultCode::NoUpstream, aOut);
    return;
  }
  if (m_queue.empty() && MayGrant(aNow)) {
    Grant(key, customer, aNow, aOut);
    return;
  }
  if (!aRequest.may_wait()) {
    Deny(key, ResultCode::QueueFull, aOut);
    return;
  }
  const Duration left(aRequest.deadline_ms());
  if (left < ExpectedWait(aNow)) {
    Deny(key, ResultCode::DeadlineTooShort, aOut);
    return;
  }
  Enqueue(
    { key, customer, aRequest.priority(), aNow, aNow + left }, aNow, aOut);
}

// The number of permits that a customer holds here, divided by its weight.
double
UpstreamOwner::WeightedPermitCount(const CustomerId& aCustomer) const
{
  const auto held = m_permitsByCustomer.find(aCustomer);
  if (held == m_permitsByCustomer.end()) {
    return 0;
  }
  const auto share = m_shares.find(aCustomer);
  const double weight =
    share == m_shares.end() ? 1 : std::max(1U, share->second);
  return held->second / weight;
}

bool
UpstreamOwner::GoesBefore(const WaitingRequest& aLeft,
                          const WaitingRequest& aRight) const
{
  if (aLeft.m_priority != aRight.m_priority) {
    return aLeft.m_priority < aRight.m_priority;
  }
  const double left = WeightedPermitCount(aLeft.m_customer);
  const double right = WeightedPermitCount(aRight.m_customer);
  if (left != right) {
    return left < right;
  }
  return std::pair(aLeft.m_deadline, aLeft.m_arrivedAt) <
         std::pair(aRight.m_deadline, aRight.m_arrivedAt);
}

void
UpstreamOwner::Enqueue(WaitingRequest aRequest, Time aNow, OwnerActions& aOut)
{
  m_queue.push_back(std::move(aRequest));
  if (m_queue.size() > m_options.m_queueLimit) {
    const auto before = [this](const auto& aLeft, const auto& aRight) {
      return GoesBefore(aLeft, aRight);
    };
    const auto last = std::max_element(m_queue.begin(), m_queue.end(), before);
    const auto first = std::min_element(m_queue.begin(), m_queue.end(), before);
    const bool overShare = WeightedPermitCount(last->m_customer) >
                           WeightedPermitCount(first->m_customer);
    Deny(last->m_key,
         overShare ? ResultCode::OverCustomerShare : ResultCode::QueueFull,
         aOut);
    m_queue.erase(last);
  }
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::GrantWaiting(Time aNow, OwnerActions& aOut)
{
  DenyExpired(aNow, aOut);
  while (!m_queue.empty() && MayGrant(aNow)) {
    const auto next =
      std::min_element(m_queue.begin(),
                       m_queue.end(),
                       [this](const auto& aLeft, const auto& aRight) {
                         return GoesBefore(aLeft, aRight);
                       });
    Grant(next->m_key, next->m_customer, aNow, aOut);
    m_queue.erase(next);
  }
}

void
UpstreamOwner::DenyExpired(Time aNow, OwnerActions& aOut)
{
  std::erase_if(m_queue, [&](const WaitingRequest& aWaiting) {
    if (aWaiting.m_deadline > aNow) {
      return false;
    }
    Deny(aWaiting.m_key, ResultCode::DeadlineTooShort, aOut);
    return true;
  });
}

void
UpstreamOwner::DenyAllWaiting(ResultCode aCode, OwnerActions& aOut)
{
  for (const WaitingRequest& waiting : m_queue) {
    Deny(waiting.m_key, aCode, aOut);
  }
  m_queue.clear();
}

UpstreamOwner::Permits::iterator
UpstreamOwner::EndPermit(Permits::iterator aPermit, Time aNow)
{
  const Permit& permit = aPermit->second;
  const auto held = m_permitsByCustomer.find(permit.m_customer);
  if (--held->second == 0) {
    m_permitsByCustomer.erase(held);
  }
  if (!permit.m_reported && permit.m_grantedAt >= m_takeoverSince &&
      m_takeoverGrants > 0) {
    --m_takeoverGrants;
  }
  m_endedPermits.push_back(
    { permit.m_reported ? Time::min() : permit.m_grantedAt, aNow });
  return m_permits.erase(aPermit);
}

void
UpstreamOwner::OnRelease(const DaemonId& aFrom,
                         const proto::PermitRelease& aRelease,
                         Time aNow,
                         OwnerActions& aOut)
{
  DetectPause(aNow);
  const PermitKey key{ aFrom, aRelease.request_id() };
  const auto permit = m_permits.find(key);
  if (permit == m_permits.end()) {
    std::erase_if(m_queue, [&](const WaitingRequest& aWaiting) {
      return aWaiting.m_key == key;
    });
  } else {
    const bool reported = permit->second.m_reported;
    const Time grantedAt = permit->second.m_grantedAt;
    EndPermit(permit, aNow);
    if (!reported && !aRelease.failed() && !aRelease.cold()) {
      const Duration held = aNow - grantedAt;
      m_meanPermitDuration =
        m_meanPermitDuration == Duration(0)
          ? held
          : m_meanPermitDuration +
              (held - m_meanPermitDuration) / kDurationSmoothing;
      if (grantedAt >= m_coldSince) {
        GrowColdWindow(aNow);
      }
    }
  }
  if (aRelease.cold()) {
    TurnCold(aNow);
  }
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::TurnCold(Time aNow)
{
  m_cold = true;
  m_coldSince = aNow;
  m_coldDoublingStart = aNow;
  m_coldWindow = m_options.m_coldSlots;
  m_coldWindowAtDoublingStart = m_coldWindow;
}

// Whether the last load report, if it is recent, was measured after the
// upstream turned cold and says that it is no longer cold. True without a
// recent report.
bool
UpstreamOwner::ReportAllowsWarming(Time aNow) const
{
  if (!m_load || aNow - m_load->m_measuredAt > m_options.m_maxLoadAge) {
    return true;
  }
  return !m_load->m_cold && m_load->m_measuredAt >= m_coldSince;
}

void
UpstreamOwner::GrowColdWindow(Time aNow)
{
  if (!m_cold || !ReportAllowsWarming(aNow)) {
    return;
  }
  if (aNow - m_coldDoublingStart >= m_options.m_minColdDoublingTime) {
    m_coldDoublingStart = aNow;
    m_coldWindowAtDoublingStart = m_coldWindow;
  }
  m_coldWindow = std::min(m_coldWindow + 1, 2 * m_coldWindowAtDoublingStart);
  if (m_coldWindow >= m_options.m_slots || m_coldWindow > WarmWindow()) {
    m_cold = false;
  }
}

void
UpstreamOwner::OnReport(const DaemonId& aFrom,
                        const proto::PermitReport& aReport,
                        Time aNow,
                        OwnerActions& aOut)
{
  DetectPause(aNow);
  std::vector<std::uint64_t> ids(aReport.request_ids().begin(),
                                 aReport.request_ids().end());
  std::sort(ids.begin(), ids.end());
  auto permit = m_permits.lower_bound({ aFrom, 0 });
  while (permit != m_permits.end() && permit->first.m_holder == aFrom) {
    const bool held =
      std::binary_search(ids.begin(), ids.end(), permit->first.m_request);
    const bool young =
      aNow - permit->second.m_grantedAt <= m_options.m_reportGrace;
    permit = held || young ? std::next(permit) : EndPermit(permit, aNow);
  }
  for (const std::uint64_t id : ids) {
    const auto [entry, added] = m_permits.try_emplace(
      { aFrom, id }, Permit{ CustomerId(), m_lastEvent, true });
    if (!added) {
      continue;
    }
    ++m_permitsByCustomer[CustomerId()];
    if (m_requestsWithoutPermit > 0) {
      --m_requestsWithoutPermit;
    }
  }
  GrantWaiting(aNow, aOut);
}

// The number of permits that were held at a past time. Permits known from a
// report began at an unknown earlier time, so they count at any time before
// their end.
std::uint32_t
UpstreamOwner::CountPermitsHeldAt(Time aWhen) const
{
  std::uint32_t count = 0;
  for (const auto& [key, permit] : m_permits) {
    count += permit.m_reported || permit.m_grantedAt <= aWhen ? 1 : 0;
  }
  for (const EndedPermit& ended : m_endedPermits) {
    count += ended.m_grantedAt <= aWhen && ended.m_endedAt > aWhen ? 1 : 0;
  }
  return count;
}

void
UpstreamOwner::OnLoad(const EngineLoad& aLoad, Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  if (aNow - aLoad.m_measuredAt > m_options.m_maxLoadAge ||
      (m_load && aLoad.m_measuredAt <= m_load->m_measuredAt)) {
    return;
  }
  m_load = aLoad;
  const std::uint32_t reportedRequests = aLoad.m_running + aLoad.m_waiting;
  const std::uint32_t held = CountPermitsHeldAt(aLoad.m_measuredAt);
  m_requestsWithoutPermit =
    reportedRequests > held ? reportedRequests - held : 0;
  m_requestsWithoutPermitUntil = aLoad.m_measuredAt + m_options.m_maxLoadAge;
  if (aLoad.m_cold && (!m_cold || m_coldWindow > m_options.m_coldSlots)) {
    TurnCold(aNow);
  }
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::OnHolderGone(const DaemonId& aHolder,
                            Time aNow,
                            OwnerActions& aOut)
{
  DetectPause(aNow);
  auto permit = m_permits.lower_bound({ aHolder, 0 });
  while (permit != m_permits.end() && permit->first.m_holder == aHolder) {
    permit = EndPermit(permit, aNow);
  }
  std::erase_if(m_queue, [&](const WaitingRequest& aWaiting) {
    return aWaiting.m_key.m_holder == aHolder;
  });
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::OnLeaving(Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  m_leaving = true;
  DenyAllWaiting(ResultCode::NoUpstream, aOut);
}

void
UpstreamOwner::OnReturned(bool aCold, Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  m_leaving = false;
  if (aCold) {
    TurnCold(aNow);
  }
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::OnHandover(Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  m_takeoverUntil = aNow;
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::OnMeanLoad(double aMeanLoad, Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  if (!(aMeanLoad >= 0)) {
    throw std::invalid_argument("the mean load must not be negative");
  }
  m_meanLoad = aMeanLoad;
  GrantWaiting(aNow, aOut);
}

void
UpstreamOwner::OnTick(Time aNow, OwnerActions& aOut)
{
  DetectPause(aNow);
  if (m_requestsWithoutPermit > 0 && aNow >= m_requestsWithoutPermitUntil) {
    m_requestsWithoutPermit = 0;
  }
  while (!m_endedPermits.empty() &&
         aNow - m_endedPermits.front().m_endedAt > m_options.m_maxLoadAge) {
    m_endedPermits.pop_front();
  }
  for (auto permit = m_permits.begin(); permit != m_permits.end();) {
    const bool old =
      aNow - permit->second.m_grantedAt > m_options.m_maxPermitAge;
    permit = old ? EndPermit(permit, aNow) : std::next(permit);
  }
  GrantWaiting(aNow, aOut);
}

Duration
UpstreamOwner::ExpectedWait(Time aNow) const
{
  const std::uint32_t window = std::max<std::uint32_t>(1, Window(aNow));
  return m_meanPermitDuration * static_cast<int>(m_queue.size() + 1) /
         static_cast<int>(window);
}

Duration
UpstreamOwner::RetryAfter() const
{
  const std::uint32_t window =
    std::max<std::uint32_t>(1, m_cold ? m_coldWindow : WarmWindow());
  const Duration wait = m_meanPermitDuration *
                        static_cast<int>(m_queue.size() + 1) /
                        static_cast<int>(window);
  return std::clamp(
    wait + kWaitRounding, m_options.m_minRetryAfter, m_options.m_maxRetryAfter);
}

proto::UpstreamState
UpstreamOwner::State(Time aNow) const
{
  proto::UpstreamState state;
  state.set_upstream(m_upstream.Value());
  state.set_in_progress(InProgress());
  state.set_window(Window(aNow));
  state.set_temperature(m_cold ? proto::COLD : proto::WARM);
  state.set_leaving(m_leaving);
  state.set_incarnation(m_incarnation);
  return state;
}

} // namespace walnutwing
