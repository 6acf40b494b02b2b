// Each daemon finds the keepers of a stream on its own, from the same members
// and the stream's key. Members that differ for some seconds after a start or a
// failure cost a record or a question at most, as there are two keepers and one
// of each zone is asked.

#include "walnutwing/routing/stream_versions.h"

#include <algorithm>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// Keepers that are told of a stream.
constexpr std::size_t kKeepersTold = 2;
// Limits on what is remembered and queued.
constexpr std::size_t kMaxRemembered = 16'384;
constexpr std::size_t kMaxTold = 65'536;
constexpr std::size_t kMaxUntold = 4096;

double
DistanceOf(StreamKey aStream, const std::string& aName)
{
  return RendezvousDistance(aStream, { StableHash(aName) });
}

} // namespace

StreamKey
StreamKeyOf(std::string_view aAttemptId)
{
  return StableHash(aAttemptId);
}

VersionPoll::VersionPoll(const VersionOpinion& aOwn, std::size_t aAsked)
  : m_missing(aAsked)
  , m_othersAsked(aAsked != 0)
{
  Merge(aOwn);
}

void
VersionPoll::Add(const VersionOpinion& aOpinion)
{
  m_othersBefore.push_back(aOpinion.m_before);
  m_missing -= m_missing == 0 ? 0 : 1;
  Merge(aOpinion);
}

void
VersionPoll::Merge(const VersionOpinion& aOpinion)
{
  if (aOpinion.m_recorded && !m_recorded) {
    m_recorded = aOpinion.m_recorded;
  }
  if (!aOpinion.m_only) {
    m_unanimous = false;
    return;
  }
  m_conflict = m_conflict || (m_only && *m_only != *aOpinion.m_only);
  m_only = aOpinion.m_only;
  m_freshOnly = m_freshOnly || aOpinion.m_fresh;
}

bool
VersionPoll::IsDecided() const
{
  return m_missing == 0 || m_recorded;
}

std::optional<SoftwareVersion>
VersionPoll::Result() const
{
  if (m_recorded) {
    return m_recorded;
  }
  const bool proved =
    m_missing == 0 && (m_freshOnly || (m_unanimous && m_othersAsked));
  return proved && !m_conflict ? m_only : std::nullopt;
}

bool
VersionPoll::AllStateBefore(const SoftwareVersion& aVersion) const
{
  return m_missing == 0 &&
         std::all_of(m_othersBefore.begin(),
                     m_othersBefore.end(),
                     [&](const auto& aBefore) { return aBefore == aVersion; });
}

void
StreamVersions::SetListed(const ServiceId& aService,
                          const std::set<SoftwareVersion>& aVersions,
                          Time aNow)
{
  if (aVersions.empty()) {
    return;
  }
  ServiceVersions& known = m_services[aService];
  if (known.m_listed == aVersions) {
    return;
  }
  const bool wasOnly = IsOnlyVersion(known, aNow);
  known.m_listed = aVersions;
  known.m_changedAt = aNow;
  std::erase_if(known.m_listedSince, [&](const auto& aListed) {
    return !aVersions.contains(aListed.first);
  });
  for (const SoftwareVersion& version : aVersions) {
    known.m_listedSince.try_emplace(version, aNow);
  }
  if (!wasOnly) {
    return; // all streams were told of when they began
  }
  for (const auto& [stream, remembered] : m_own) {
    if (remembered.m_service == aService) {
      AddRecord({ stream, remembered.m_version });
    }
  }
}

std::set<SoftwareVersion>
StreamVersions::NewVersions(const ServiceId& aService, Time aNow) const
{
  std::set<SoftwareVersion> versions;
  const auto known = m_services.find(aService);
  if (known == m_services.end() || known->second.m_listed.size() < 2) {
    return versions;
  }
  for (const auto& [version, since] : known->second.m_listedSince) {
    if (aNow - since < kVersionDelay) {
      versions.insert(version);
    }
  }
  return versions;
}

void
StreamVersions::OnVersionSeen(const ServiceId& aService,
                              const SoftwareVersion& aVersion,
                              Time aNow)
{
  const auto known = m_services.find(aService);
  if (known != m_services.end() && !known->second.m_listed.contains(aVersion)) {
    known->second.m_changedAt = aNow;
  }
}

void
StreamVersions::OnSeveralVersions(const ServiceId& aService, Time aNow)
{
  const auto known = m_services.find(aService);
  if (known != m_services.end()) {
    known->second.m_changedAt = aNow;
  }
}

void
StreamVersions::OnOnlyVersion(const ServiceId& aService,
                              const OnlyVersion& aOnly)
{
  const auto known = m_services.find(aService);
  if (known != m_services.end() &&
      known->second.m_listed == std::set{ aOnly.m_version }) {
    known->second.m_changedAt =
      std::min(known->second.m_changedAt, aOnly.m_since);
  }
}

void
StreamVersions::OnOnlyVersionAtStart(const ServiceId& aService,
                                     const OnlyVersion& aOnly,
                                     Time aNow)
{
  OnOnlyVersion(aService, aOnly);
  const auto known = m_services.find(aService);
  if (known != m_services.end() &&
      known->second.m_listed != std::set{ aOnly.m_version } &&
      aNow - aOnly.m_since >= kStreamLifetime) {
    known->second.m_before = { aOnly.m_version, aNow };
  }
}

std::optional<OnlyVersion>
StreamVersions::OnlyListed(const ServiceId& aService) const
{
  const auto known = m_services.find(aService);
  if (known == m_services.end() || known->second.m_listed.size() != 1) {
    return std::nullopt;
  }
  return OnlyVersion{ *known->second.m_listed.begin(),
                      known->second.m_changedAt };
}

std::vector<ServiceId>
StreamVersions::Services() const
{
  std::vector<ServiceId> services;
  for (const auto& [service, versions] : m_services) {
    services.push_back(service);
  }
  return services;
}

bool
StreamVersions::IsOnlyVersion(const ServiceVersions& aVersions, Time aNow) const
{
  return aVersions.m_listed.size() == 1 &&
         aNow - aVersions.m_changedAt >= kStreamLifetime;
}

void
StreamVersions::OnBegun(StreamKey aStream,
                        const ServiceId& aService,
                        const SoftwareVersion& aVersion,
                        Time aNow)
{
  if (m_own.size() < kMaxRemembered) {
    m_own[aStream] = { aVersion, aService, aNow };
  }
  const auto known = m_services.find(aService);
  const bool needless =
    known != m_services.end() && IsOnlyVersion(known->second, aNow);
  if (!needless) {
    AddRecord({ aStream, aVersion });
  }
}

void
StreamVersions::AddRecord(const StreamRecord& aRecord)
{
  if (m_untold.size() < kMaxUntold) {
    m_untold.push_back(aRecord);
  }
  if (m_unwritten.size() < kMaxUntold) {
    m_unwritten.push_back(aRecord);
  }
}

// The member of each zone that is nearest to the stream, this daemon's zone
// first, then the others by the zones' distance. A fleet of one zone has two.
std::vector<const RosterMember*>
StreamVersions::RankKeepers(StreamKey aStream) const
{
  std::map<ZoneId, const RosterMember*> nearest;
  std::map<ZoneId, double> distances;
  const RosterMember* second = nullptr;
  for (const RosterMember& member : m_members) {
    const double distance = DistanceOf(aStream, member.m_name.Value());
    const RosterMember*& best = nearest[member.m_zone];
    if (best == nullptr || distance < distances[member.m_zone]) {
      second = best;
      best = &member;
      distances[member.m_zone] = distance;
    } else if (second == nullptr ||
               distance < DistanceOf(aStream, second->m_name.Value())) {
      second = &member;
    }
  }
  std::vector<const RosterMember*> keepers;
  keepers.reserve(nearest.size() + 1);
  for (const auto& [zone, member] : nearest) {
    keepers.push_back(member);
  }
  const auto rank = [&](const RosterMember* aMember) {
    return std::pair(aMember->m_zone != m_zone,
                     DistanceOf(aStream, aMember->m_zone.Value()));
  };
  std::sort(
    keepers.begin(), keepers.end(), [&](const auto* aLeft, const auto* aRight) {
      return rank(aLeft) < rank(aRight);
    });
  if (keepers.size() == 1 && second != nullptr) {
    keepers.push_back(second);
  }
  return keepers;
}

std::map<std::string, std::vector<StreamRecord>>
StreamVersions::TakeRecords()
{
  std::map<std::string, std::vector<StreamRecord>> records;
  for (const StreamRecord& record : m_untold) {
    std::vector<const RosterMember*> keepers = RankKeepers(record.m_stream);
    keepers.resize(std::min(keepers.size(), kKeepersTold));
    for (const RosterMember* keeper : keepers) {
      if (keeper->m_name != m_self) {
        records[keeper->m_address].push_back(record);
      }
    }
  }
  m_untold.clear();
  return records;
}

void
StreamVersions::OnRecord(const StreamRecord& aRecord, Time aNow)
{
  if (m_told.size() < kMaxTold || m_told.contains(aRecord.m_stream)) {
    m_told[aRecord.m_stream] = { aRecord.m_version, ServiceId(), aNow };
  }
}

std::vector<std::string>
StreamVersions::Keepers(StreamKey aStream) const
{
  std::vector<std::string> addresses;
  for (const RosterMember* keeper : RankKeepers(aStream)) {
    if (keeper->m_name != m_self) {
      addresses.push_back(keeper->m_address);
    }
  }
  return addresses;
}

VersionOpinion
StreamVersions::Opinion(StreamKey aStream,
                        const ServiceId& aService,
                        bool aFresh,
                        Time aNow) const
{
  VersionOpinion opinion;
  opinion.m_fresh = aFresh;
  for (const Memory* memory : { &m_own, &m_told }) {
    const auto found = memory->find(aStream);
    if (found != memory->end()) {
      opinion.m_recorded = found->second.m_version;
      break;
    }
  }
  const auto known = m_services.find(aService);
  if (known != m_services.end() && IsOnlyVersion(known->second, aNow)) {
    opinion.m_only = *known->second.m_listed.begin();
  }
  if (known != m_services.end() && known->second.m_before &&
      aNow - known->second.m_before->m_since < kStreamLifetime) {
    opinion.m_before = known->second.m_before->m_version;
  }
  return opinion;
}

void
StreamVersions::DropExpired(Time aNow)
{
  for (Memory* memory : { &m_own, &m_told }) {
    std::erase_if(*memory, [&](const auto& aEntry) {
      return aNow - aEntry.second.m_at > kStreamLifetime;
    });
  }
}

} // namespace walnutwing
