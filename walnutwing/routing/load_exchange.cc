#include "walnutwing/routing/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// A zone's sum is sent to this many hub candidates of each other zone, so that
// the next one already has it when it takes over as the hub.
constexpr std::size_t kHubsNotifiedPerZone = 2;

void
AddLoads(const UpstreamLoads& aLoads, UpstreamLoads& aSum)
{
  for (const auto& [upstream, requests] : aLoads) {
    aSum[upstream] += requests;
  }
}

void
SubtractLoads(const UpstreamLoads& aLoads, UpstreamLoads& aSum)
{
  for (const auto& [upstream, requests] : aLoads) {
    std::uint32_t& remaining = aSum[upstream];
    remaining -= std::min(remaining, requests);
  }
}

std::uint32_t
FindLoad(const UpstreamLoads& aLoads, std::uint32_t aUpstream)
{
  const auto found = aLoads.find(aUpstream);
  return found == aLoads.end() ? 0 : found->second;
}

} // namespace

std::uint32_t
LoadKey(const UpstreamId& aUpstream)
{
  return static_cast<std::uint32_t>(StableHash(aUpstream.Value()));
}

LoadExchange::LoadExchange(DaemonId aSelf,
                           ZoneId aZone,
                           LoadExchangeOptions aOptions)
  : m_self(std::move(aSelf))
  , m_zone(std::move(aZone))
  , m_options(aOptions)
{
}

void
LoadExchange::SetMembers(std::vector<RosterMember> aMembers, Time aNow)
{
  const DaemonId before = Hub();
  m_members = std::move(aMembers);
  m_hubCandidates = RankHubs(m_members, m_zone);
  m_otherZoneHubs = OtherZoneHubs();
  const auto same =
    std::find_if(m_hubCandidates.begin(),
                 m_hubCandidates.end(),
                 [&](const auto& aMember) { return aMember.m_name == before; });
  if (same != m_hubCandidates.end()) {
    m_hubIndex = static_cast<std::size_t>(same - m_hubCandidates.begin());
    return;
  }
  m_hubIndex = 0;
  m_hubSince = aNow;
}

std::vector<std::string>
LoadExchange::OtherZoneHubs() const
{
  std::set<ZoneId> zones;
  for (const RosterMember& member : m_members) {
    zones.insert(member.m_zone);
  }
  zones.erase(m_zone);
  std::vector<std::string> addresses;
  for (const ZoneId& zone : zones) {
    const std::vector<RosterMember> hubs = RankHubs(m_members, zone);
    for (std::size_t i = 0; i < std::min(kHubsNotifiedPerZone, hubs.size());
         ++i) {
      addresses.push_back(hubs[i].m_address);
    }
  }
  return addresses;
}

DaemonId
LoadExchange::Hub() const
{
  return m_hubIndex < m_hubCandidates.size()
           ? m_hubCandidates[m_hubIndex].m_name
           : DaemonId();
}

bool
LoadExchange::HasMember(const DaemonId& aName) const
{
  return std::any_of(
    m_members.begin(), m_members.end(), [&](const auto& aMember) {
      return aMember.m_name == aName;
    });
}

std::optional<std::uint32_t>
LoadExchange::RankAmongHubs(std::size_t aPerZone) const
{
  std::set<ZoneId> zones;
  for (const RosterMember& member : m_members) {
    zones.insert(member.m_zone);
  }
  const auto zone = static_cast<std::size_t>(
    std::distance(zones.begin(), zones.lower_bound(m_zone)));
  const std::size_t candidates = m_hubCandidates.size();
  for (std::size_t i = 0; i < std::min(aPerZone, candidates); ++i) {
    if (m_hubCandidates[(m_hubIndex + i) % candidates].m_name == m_self) {
      return static_cast<std::uint32_t>(i * zones.size() + zone);
    }
  }
  return std::nullopt;
}

Duration
LoadExchange::Period() const
{
  const Duration wanted = m_options.m_periodPerMember *
                          static_cast<Duration::rep>(m_hubCandidates.size());
  return std::clamp(wanted, m_options.m_minPeriod, m_options.m_maxPeriod);
}

std::uint32_t
LoadExchange::RosterHash() const
{
  std::uint64_t hash = 0;
  for (const RosterMember& member : m_members) {
    hash += StableHash(member.m_name.Value()); // independent of the order
  }
  return static_cast<std::uint32_t>(hash ^ hash >> 32U);
}

bool
LoadExchange::IsFresh(Time aAt, Time aNow) const
{
  return aNow - aAt <= m_options.m_lifetime;
}

// Returns to the first candidate from which messages arrive again, if it ranks
// before the current hub; otherwise moves on to the next candidate if the
// current hub is silent.
void
LoadExchange::AdvanceHub(Time aNow)
{
  for (std::size_t i = 0; i < std::min(m_hubIndex, m_hubCandidates.size());
       ++i) {
    const auto received = m_lastReceivedAt.find(m_hubCandidates[i].m_name);
    const bool back =
      m_hubCandidates[i].m_name == m_self ||
      (received != m_lastReceivedAt.end() && IsFresh(received->second, aNow));
    if (back) {
      m_hubIndex = i;
      m_hubSince = aNow;
      return;
    }
  }
  if (m_hubIndex >= m_hubCandidates.size() || IsHub()) {
    return;
  }
  const auto received = m_lastReceivedAt.find(Hub());
  const Time last = received == m_lastReceivedAt.end()
                      ? m_hubSince
                      : std::max(received->second, m_hubSince);
  if (!IsFresh(last, aNow)) {
    m_hubIndex = (m_hubIndex + 1) % m_hubCandidates.size();
    m_hubSince = aNow;
  }
}

void
LoadExchange::OnReport(const DaemonId& aFrom, UpstreamLoads aLoads, Time aNow)
{
  m_lastReceivedAt[aFrom] = aNow;
  m_reports[aFrom] = { std::move(aLoads), aNow };
}

void
LoadExchange::OnZoneSum(const DaemonId& aFrom,
                        const ZoneId& aZone,
                        UpstreamLoads aLoads,
                        Time aNow)
{
  m_lastReceivedAt[aFrom] = aNow;
  if (aZone != m_zone) {
    m_zoneSums[aZone] = { std::move(aLoads), aNow };
  }
}

bool
LoadExchange::OnDigest(const DaemonId& aFrom,
                       UpstreamLoads aLoads,
                       UpstreamLoads aOwn,
                       Time aNow)
{
  m_lastReceivedAt[aFrom] = aNow;
  AdvanceHub(aNow);
  if (aFrom != Hub()) {
    return false;
  }
  m_otherLoads = std::move(aLoads);
  m_ownLoadsAtUpdate = std::move(aOwn);
  m_otherLoadsAt = aNow;
  return true;
}

template<typename Id>
UpstreamLoads
LoadExchange::SumFreshLoads(const std::map<Id, ReceivedLoads>& aReceived,
                            Time aNow) const
{
  UpstreamLoads sum;
  for (const auto& [from, received] : aReceived) {
    if (IsFresh(received.m_receivedAt, aNow)) {
      AddLoads(received.m_loads, sum);
    }
  }
  return sum;
}

std::vector<LoadMessage>
LoadExchange::OnPeriod(const UpstreamLoads& aOwn, Time aNow)
{
  AdvanceHub(aNow);
  std::vector<LoadMessage> messages;
  if (m_hubCandidates.empty()) {
    return messages;
  }
  if (!IsHub()) {
    messages.push_back(
      { LoadMessageKind::Report, m_hubCandidates[m_hubIndex].m_address, aOwn });
    return messages;
  }
  UpstreamLoads zone = SumFreshLoads(m_reports, aNow);
  m_otherLoads = SumFreshLoads(m_zoneSums, aNow);
  AddLoads(zone, m_otherLoads);
  m_ownLoadsAtUpdate = aOwn;
  m_otherLoadsAt = aNow;
  AddLoads(aOwn, zone);
  UpstreamLoads all = m_otherLoads;
  AddLoads(aOwn, all);
  for (const RosterMember& member : m_hubCandidates) {
    if (member.m_name == m_self) {
      continue;
    }
    UpstreamLoads others = all;
    const auto report = m_reports.find(member.m_name);
    if (report != m_reports.end() &&
        IsFresh(report->second.m_receivedAt, aNow)) {
      SubtractLoads(report->second.m_loads, others);
    }
    messages.push_back(
      { LoadMessageKind::Digest, member.m_address, std::move(others) });
  }
  for (const std::string& address : m_otherZoneHubs) {
    messages.push_back({ LoadMessageKind::ZoneSum, address, zone });
  }
  return messages;
}

std::optional<Duration>
LoadExchange::OtherLoadsAge(Time aNow) const
{
  if (!m_otherLoadsAt || !IsFresh(*m_otherLoadsAt, aNow)) {
    return std::nullopt;
  }
  return aNow - *m_otherLoadsAt;
}

std::optional<double>
LoadExchange::ReportedByOthers(std::uint32_t aKey, Time aNow) const
{
  if (!m_otherLoadsAt || !IsFresh(*m_otherLoadsAt, aNow)) {
    return std::nullopt;
  }
  return FindLoad(m_otherLoads, aKey);
}

std::optional<double>
LoadExchange::OtherDaemonsLoad(std::uint32_t aUpstream,
                               std::uint32_t aOwn,
                               Time aNow) const
{
  if (!m_otherLoadsAt || !IsFresh(*m_otherLoadsAt, aNow)) {
    return std::nullopt;
  }
  const std::uint32_t ownAtUpdate = FindLoad(m_ownLoadsAtUpdate, aUpstream);
  const std::uint32_t growth =
    aOwn > ownAtUpdate + 1 ? aOwn - ownAtUpdate - 1 : 0;
  const auto otherGrowth =
    static_cast<double>(growth) * static_cast<double>(m_members.size() - 1);
  return FindLoad(m_otherLoads, aUpstream) + otherGrowth;
}

} // namespace walnutwing
