#include "walnutwing/routing/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// A zone's sum goes to so many of another zone's daemons, in the order in which
// they serve as its hub, so that the next one has it when it takes over.
constexpr std::size_t kHubsTold = 2;

void
AddLoads(const UpstreamLoads& aLoads, UpstreamLoads& aSum)
{
  for (const auto& [upstream, requests] : aLoads) {
    aSum[upstream] += requests;
  }
}

void
TakeLoads(const UpstreamLoads& aLoads, UpstreamLoads& aSum)
{
  for (const auto& [upstream, requests] : aLoads) {
    std::uint32_t& left = aSum[upstream];
    left -= std::min(left, requests);
  }
}

std::uint32_t
LoadIn(const UpstreamLoads& aLoads, std::uint32_t aUpstream)
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
  m_hubs = RankHubs(m_members, m_zone);
  m_hubsAbroad = HubsAbroad();
  const auto same =
    std::find_if(m_hubs.begin(), m_hubs.end(), [&](const auto& aMember) {
      return aMember.m_name == before;
    });
  if (same != m_hubs.end()) {
    m_hub = static_cast<std::size_t>(same - m_hubs.begin());
    return;
  }
  m_hub = 0;
  m_hubSince = aNow;
}

std::vector<std::string>
LoadExchange::HubsAbroad() const
{
  std::set<ZoneId> zones;
  for (const RosterMember& member : m_members) {
    zones.insert(member.m_zone);
  }
  zones.erase(m_zone);
  std::vector<std::string> addresses;
  for (const ZoneId& zone : zones) {
    const std::vector<RosterMember> hubs = RankHubs(m_members, zone);
    for (std::size_t i = 0; i < std::min(kHubsTold, hubs.size()); ++i) {
      addresses.push_back(hubs[i].m_address);
    }
  }
  return addresses;
}

DaemonId
LoadExchange::Hub() const
{
  return m_hub < m_hubs.size() ? m_hubs[m_hub].m_name : DaemonId();
}

bool
LoadExchange::HasMember(const DaemonId& aName) const
{
  return std::any_of(m_members.begin(), m_members.end(), [&](const auto& aOne) {
    return aOne.m_name == aName;
  });
}

Duration
LoadExchange::Period() const
{
  const Duration wanted =
    m_options.m_perMember * static_cast<Duration::rep>(m_hubs.size());
  return std::clamp(wanted, m_options.m_period, m_options.m_longestPeriod);
}

std::uint32_t
LoadExchange::RosterHash() const
{
  std::uint64_t hash = 0;
  for (const RosterMember& member : m_members) {
    hash += StableHash(member.m_name.Value()); // in any order
  }
  return static_cast<std::uint32_t>(hash ^ hash >> 32U);
}

bool
LoadExchange::Fresh(Time aAt, Time aNow) const
{
  return aNow - aAt <= m_options.m_lifetime;
}

// Goes on to the next hub when the present one is silent, and back to the first
// that is heard again.
void
LoadExchange::AdvanceHub(Time aNow)
{
  for (std::size_t i = 0; i < std::min(m_hub, m_hubs.size()); ++i) {
    const auto heard = m_lastHeard.find(m_hubs[i].m_name);
    const bool back =
      m_hubs[i].m_name == m_self ||
      (heard != m_lastHeard.end() && Fresh(heard->second, aNow));
    if (back) {
      m_hub = i;
      m_hubSince = aNow;
      return;
    }
  }
  if (m_hub >= m_hubs.size() || IsHub()) {
    return;
  }
  const auto heard = m_lastHeard.find(Hub());
  const Time last = heard == m_lastHeard.end()
                      ? m_hubSince
                      : std::max(heard->second, m_hubSince);
  if (!Fresh(last, aNow)) {
    m_hub = (m_hub + 1) % m_hubs.size();
    m_hubSince = aNow;
  }
}

void
LoadExchange::OnReport(const DaemonId& aFrom, UpstreamLoads aLoads, Time aNow)
{
  m_lastHeard[aFrom] = aNow;
  m_reports[aFrom] = { std::move(aLoads), aNow };
}

void
LoadExchange::OnZoneSum(const DaemonId& aFrom,
                        const ZoneId& aZone,
                        UpstreamLoads aLoads,
                        Time aNow)
{
  m_lastHeard[aFrom] = aNow;
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
  m_lastHeard[aFrom] = aNow;
  AdvanceHub(aNow);
  if (aFrom != Hub()) {
    return false;
  }
  m_others = std::move(aLoads);
  m_ownThen = std::move(aOwn);
  m_othersAt = aNow;
  return true;
}

template<typename Id>
UpstreamLoads
LoadExchange::SumOfFresh(const std::map<Id, Heard>& aHeard, Time aNow) const
{
  UpstreamLoads sum;
  for (const auto& [from, heard] : aHeard) {
    if (Fresh(heard.m_at, aNow)) {
      AddLoads(heard.m_loads, sum);
    }
  }
  return sum;
}

std::vector<LoadMessage>
LoadExchange::OnPeriod(const UpstreamLoads& aOwn, Time aNow)
{
  AdvanceHub(aNow);
  std::vector<LoadMessage> messages;
  if (m_hubs.empty()) {
    return messages;
  }
  if (!IsHub()) {
    messages.push_back(
      { LoadMessageKind::Report, m_hubs[m_hub].m_address, aOwn });
    return messages;
  }
  UpstreamLoads zone = SumOfFresh(m_reports, aNow);
  m_others = SumOfFresh(m_zoneSums, aNow);
  AddLoads(zone, m_others);
  m_ownThen = aOwn;
  m_othersAt = aNow;
  AddLoads(aOwn, zone);
  UpstreamLoads all = m_others;
  AddLoads(aOwn, all);
  for (const RosterMember& member : m_hubs) {
    if (member.m_name == m_self) {
      continue;
    }
    UpstreamLoads others = all;
    const auto report = m_reports.find(member.m_name);
    if (report != m_reports.end() && Fresh(report->second.m_at, aNow)) {
      TakeLoads(report->second.m_loads, others);
    }
    messages.push_back(
      { LoadMessageKind::Digest, member.m_address, std::move(others) });
  }
  for (const std::string& address : m_hubsAbroad) {
    messages.push_back({ LoadMessageKind::ZoneSum, address, zone });
  }
  return messages;
}

std::optional<Duration>
LoadExchange::Age(Time aNow) const
{
  if (!m_othersAt || !Fresh(*m_othersAt, aNow)) {
    return std::nullopt;
  }
  return aNow - *m_othersAt;
}

std::optional<double>
LoadExchange::OthersAt(std::uint32_t aUpstream,
                       std::uint32_t aOwn,
                       Time aNow) const
{
  if (!m_othersAt || !Fresh(*m_othersAt, aNow)) {
    return std::nullopt;
  }
  const std::uint32_t ownThen = LoadIn(m_ownThen, aUpstream);
  const std::uint32_t grown = aOwn > ownThen + 1 ? aOwn - ownThen - 1 : 0;
  const auto othersGrown =
    static_cast<double>(grown) * static_cast<double>(m_members.size() - 1);
  return LoadIn(m_others, aUpstream) + othersGrown;
}

} // namespace walnutwing
