// Each daemon finds the keepers of a stream on its own, from the same members
// and the stream's key. Members that differ for some seconds after a start or a
// failure cost a record or a question at most, as there are two keepers and one
// of each zone is asked.

#include "walnutwing/routing/stream_versions.h"

#include <algorithm>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// Other daemons that are told of a stream.
constexpr std::size_t kKeepersTold = 2;
// A stream has a keeper in each zone, but no fewer than these: the daemon that
// began it and those that it tells.
constexpr std::size_t kMinKeepers = 1 + kKeepersTold;
// Limits on what is remembered and queued.
constexpr std::size_t kMaxRemembered = 16'384;
constexpr std::size_t kMaxTold = 65'536;
constexpr std::size_t kMaxUntold = 4096;

struct RankedMember
{
  double m_distance = 0;
  const RosterMember* m_member = nullptr;
};

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
    return; // all streams were written down when they began
  }
  for (const auto& [stream, remembered] : m_own) {
    if (remembered.m_service == aService) {
      Tell({ stream, remembered.m_version });
      WriteDown({ stream, remembered.m_version });
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
  Tell({ aStream, aVersion });
  const auto known = m_services.find(aService);
  const bool onlyVersion =
    known != m_services.end() && IsOnlyVersion(known->second, aNow);
  if (!onlyVersion) {
    WriteDown({ aStream, aVersion });
  }
}

void
StreamVersions::OnCompleted(StreamKey aStream)
{
  const auto isOf = [&](const StreamRecord& aRecord) {
    return aRecord.m_stream == aStream;
  };
  m_own.erase(aStream);
  std::erase_if(m_untold, isOf);
  std::erase_if(m_unwritten, isOf);
}

void
StreamVersions::Tell(const StreamRecord& aRecord)
{
  if (m_untold.size() < kMaxUntold) {
    m_untold.push_back(aRecord);
  }
}

void
StreamVersions::WriteDown(const StreamRecord& aRecord)
{
  if (m_unwritten.size() < kMaxUntold) {
    m_unwritten.push_back(aRecord);
  }
}

// The member of each zone that is nearest to the stream, this daemon's zone
// first, then the others by the zones' distance; behind them, in a fleet of few
// zones, the nearest of the other members.
std::vector<const RosterMember*>
StreamVersions::RankKeepers(StreamKey aStream) const
{
  std::vector<RankedMember> ranked;
  ranked.reserve(m_members.size());
  for (const RosterMember& member : m_members) {
    ranked.push_back({ DistanceOf(aStream, member.m_name.Value()), &member });
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_distance < aRight.m_distance;
    });
  std::vector<const RosterMember*> keepers;
  std::vector<const RosterMember*> others;
  std::set<ZoneId> zones;
  for (const RankedMember& member : ranked) {
    const bool isNearestOfZone = zones.insert(member.m_member->m_zone).second;
    (isNearestOfZone ? keepers : others).push_back(member.m_member);
  }
  const auto rank = [&](const RosterMember* aMember) {
    return std::pair(aMember->m_zone != m_zone,
                     DistanceOf(aStream, aMember->m_zone.Value()));
  };
  std::sort(
    keepers.begin(), keepers.end(), [&](const auto* aLeft, const auto* aRight) {
      return rank(aLeft) < rank(aRight);
    });
  for (const RosterMember* other : others) {
    if (keepers.size() >= kMinKeepers) {
      break;
    }
    keepers.push_back(other);
  }
  return keepers;
}

std::map<std::string, std::vector<StreamRecord>>
StreamVersions::TakeRecords()
{
  std::map<std::string, std::vector<StreamRecord>> records;
  for (const StreamRecord& record : m_untold) {
    std::vector<std::string> keepers = Keepers(record.m_stream);
    keepers.resize(std::min(keepers.size(), kKeepersTold));
    for (const std::string& keeper : keepers) {
      records[keeper].push_back(record);
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
