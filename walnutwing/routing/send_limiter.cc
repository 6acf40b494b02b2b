#include "walnutwing/routing/send_limiter.h"

#include <algorithm>
#include <cmath>

namespace walnutwing {
namespace {

// Hub candidates of a zone that are asked for permits.
constexpr std::size_t kHubsAskedPerZone = 2;
// After this time the first candidate is asked again.
constexpr Duration kNextHubDuration = std::chrono::seconds(1);
// The part of the limit that daemons share equally while no hub answers.
constexpr double kShareWithoutHub = 0.4;
// Tokens that a bucket holds: those of this time, and a few more, as requests
// come unevenly.
constexpr double kBucketSeconds = 1;
constexpr double kMinBucketTokens = 2;
// A bucket with more than this fraction of its tokens has permits to spare.
constexpr double kSpareFraction = 0.75;
// An upstream that states a lower limit, or takes nothing at all, gets a
// request now and then, as only its responses tell when the limit has ended.
constexpr double kMinPerSecond = 0.2;
// A daemon asks again after this time at the latest, as the limit may change.
constexpr Duration kMaxWait = std::chrono::seconds(2);
// Buckets that are not used for this long are forgotten; those of a share fill
// slowly.
constexpr Duration kBucketLifetime = std::chrono::seconds(10);
constexpr Duration kShareBucketLifetime = std::chrono::minutes(10);

constexpr double kMsPerSecond = 1000;

} // namespace

void
SendLimiter::SetMembers(const std::vector<RosterMember>& aMembers)
{
  m_members = std::max<std::size_t>(1, aMembers.size());
  std::map<ZoneId, ZoneHubs> hubs;
  for (const RosterMember& member : aMembers) {
    ZoneHubs& zone = hubs[member.m_zone];
    if (!zone.m_candidates.empty()) {
      continue;
    }
    zone.m_candidates = RankHubs(aMembers, member.m_zone);
    if (const auto known = m_hubs.find(member.m_zone); known != m_hubs.end()) {
      zone.m_index = known->second.m_index;
      zone.m_indexSince = known->second.m_indexSince;
    }
  }
  m_hubs = std::move(hubs);
}

// The hubs of the zone, or of the first zone if there are no daemons in it.
// Null if no daemon is known.
SendLimiter::ZoneHubs*
SendLimiter::HubsFor(const ZoneId& aZone, Time aNow)
{
  auto found = m_hubs.find(aZone);
  if (found == m_hubs.end()) {
    found = m_hubs.begin();
  }
  if (found == m_hubs.end()) {
    return nullptr;
  }
  ZoneHubs& hubs = found->second;
  if (hubs.m_index != 0 && aNow - hubs.m_indexSince >= kNextHubDuration) {
    hubs.m_index = 0;
  }
  return &hubs;
}

void
SendLimiter::UseNextHub(const ZoneId& aZone, Time aNow)
{
  if (ZoneHubs* hubs = HubsFor(aZone, aNow)) {
    if (hubs->m_index++ == 0) {
      hubs->m_indexSince = aNow;
    }
  }
}

Duration
SendLimiter::TakeToken(Buckets& aBuckets,
                       std::uint32_t aUpstream,
                       double aPerSecond,
                       double aInitialTokens,
                       bool aSpareOnly,
                       Time aNow)
{
  const double perMs = aPerSecond / kMsPerSecond;
  const double capacity = kMinBucketTokens + kBucketSeconds * aPerSecond;
  const double needed =
    aSpareOnly ? std::max(1.0, kSpareFraction * capacity) : 1.0;
  const auto [found, added] = aBuckets.try_emplace(aUpstream);
  Bucket& bucket = found->second;
  if (added) {
    bucket.m_tokens = aInitialTokens;
  } else {
    const auto elapsed =
      static_cast<double>((aNow - bucket.m_updatedAt).count());
    bucket.m_tokens = std::min(capacity, bucket.m_tokens + perMs * elapsed);
  }
  bucket.m_updatedAt = aNow;
  if (bucket.m_tokens >= needed) {
    bucket.m_tokens -= 1;
    return Duration::zero();
  }
  return Duration(
    static_cast<Duration::rep>(std::ceil((needed - bucket.m_tokens) / perMs)));
}

SendPermitAnswer
SendLimiter::AnswerAfter(Duration aWait,
                         std::uint32_t aUpstream,
                         bool aSpareOnly,
                         Time aNow)
{
  if (aWait == Duration::zero()) {
    return { SendPermitOutcome::Granted, std::nullopt, "" };
  }
  SetExhausted(aUpstream, aSpareOnly, aWait, aNow);
  return { SendPermitOutcome::Denied, std::nullopt, "" };
}

void
SendLimiter::SetExhausted(std::uint32_t aUpstream,
                          bool aSpareOnly,
                          Duration aWait,
                          Time aNow)
{
  auto& exhaustedUntil = aSpareOnly ? m_spareExhaustedUntil : m_exhaustedUntil;
  exhaustedUntil[aUpstream] = aNow + std::min(aWait, kMaxWait);
}

SendPermitAnswer
SendLimiter::Ask(std::uint32_t aUpstream,
                 const ZoneId& aZone,
                 double aPerSecond,
                 bool aSpareOnly,
                 bool aIsHub,
                 Time aNow)
{
  const double perSecond = std::max(aPerSecond, kMinPerSecond);
  const ZoneHubs* hubs = HubsFor(aZone, aNow);
  if (hubs == nullptr ||
      hubs->m_index >= std::min(kHubsAskedPerZone, hubs->m_candidates.size())) {
    const double share =
      kShareWithoutHub * perSecond / static_cast<double>(m_members);
    // Without a first token, as each daemon of the fleet would have one.
    const Duration wait =
      TakeToken(m_shareBuckets, aUpstream, share, 0, aSpareOnly, aNow);
    return AnswerAfter(wait, aUpstream, aSpareOnly, aNow);
  }
  const RosterMember& hub = hubs->m_candidates[hubs->m_index];
  if (aIsHub && std::any_of(hubs->m_candidates.begin(),
                            hubs->m_candidates.end(),
                            [&](const RosterMember& aMember) {
                              return aMember.m_name == m_self;
                            })) {
    const Duration wait =
      TakeToken(m_buckets, aUpstream, perSecond, 1, aSpareOnly, aNow);
    return AnswerAfter(wait, aUpstream, aSpareOnly, aNow);
  }
  const std::uint32_t number = ++m_lastNumber;
  m_pending[number] = { aUpstream, aSpareOnly, hub.m_zone, aNow };
  return { SendPermitOutcome::Denied,
           SendPermitRequest{ aUpstream, number, aPerSecond, aSpareOnly },
           hub.m_address };
}

std::optional<bool>
SendLimiter::OnReply(const SendPermitReply& aReply, Time aNow)
{
  const auto found = m_pending.find(aReply.m_number);
  if (found == m_pending.end()) {
    return std::nullopt;
  }
  const PendingRequest pending = found->second;
  m_pending.erase(found);
  switch (aReply.m_outcome) {
    case SendPermitOutcome::Granted:
      return true;
    case SendPermitOutcome::Denied:
      SetExhausted(
        pending.m_upstream, pending.m_spareOnly, aReply.m_wait, aNow);
      return false;
    case SendPermitOutcome::NotOwner:
      UseNextHub(pending.m_zone, aNow);
      return false;
  }
  return false;
}

void
SendLimiter::OnNoReply(std::uint32_t aNumber, Time aNow)
{
  const auto found = m_pending.find(aNumber);
  if (found == m_pending.end()) {
    return;
  }
  const ZoneId zone = found->second.m_zone;
  const Time sentAt = found->second.m_sentAt;
  m_pending.erase(found);
  // Requests that were sent together say only once that the hub is silent.
  const ZoneHubs* hubs = HubsFor(zone, aNow);
  if (hubs != nullptr && (hubs->m_index == 0 || sentAt >= hubs->m_indexSince)) {
    UseNextHub(zone, aNow);
  }
}

SendPermitReply
SendLimiter::Reply(const SendPermitRequest& aRequest, bool aIsHub, Time aNow)
{
  CheckRequestLimit(aRequest.m_perSecond);
  if (!aIsHub) {
    return { aRequest.m_number, SendPermitOutcome::NotOwner, {} };
  }
  const double limit =
    m_limits.LimitOf(aRequest.m_upstream, aNow).value_or(aRequest.m_perSecond);
  const Duration wait = TakeToken(m_buckets,
                                  aRequest.m_upstream,
                                  std::max(limit, kMinPerSecond),
                                  1,
                                  aRequest.m_spareOnly,
                                  aNow);
  return { aRequest.m_number,
           wait == Duration::zero() ? SendPermitOutcome::Granted
                                    : SendPermitOutcome::Denied,
           wait };
}

Time
SendLimiter::ExhaustedUntil(std::uint32_t aUpstream, bool aSpareOnly) const
{
  const auto until = [aUpstream](const std::map<std::uint32_t, Time>& aTimes) {
    const auto found = aTimes.find(aUpstream);
    return found == aTimes.end() ? Time() : found->second;
  };
  const Time exhausted = until(m_exhaustedUntil);
  return aSpareOnly ? std::max(exhausted, until(m_spareExhaustedUntil))
                    : exhausted;
}

void
SendLimiter::DropExpired(Time aNow)
{
  m_limits.DropExpired(aNow);
  for (auto* times : { &m_exhaustedUntil, &m_spareExhaustedUntil }) {
    std::erase_if(*times,
                  [&](const auto& aEntry) { return aNow >= aEntry.second; });
  }
  std::erase_if(m_buckets, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_updatedAt > kBucketLifetime;
  });
  std::erase_if(m_shareBuckets, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_updatedAt > kShareBucketLifetime;
  });
}

} // namespace walnutwing
