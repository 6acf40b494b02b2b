#include "walnutwing/routing/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace walnutwing {
namespace {

// The remaining cold time in registrations counts down. A smaller increase than
// this is not a change, but the time that a registration was in transit.
constexpr Duration kColdJitter = std::chrono::milliseconds(400);

} // namespace

bool
UpstreamDirectory::StoreRecentlyUnavailable(Time aNow) const
{
  return m_storeUnavailable ||
         (m_storeEverUnavailable &&
          aNow - m_storeAvailableSince < m_reregistrationTime);
}

void
UpstreamDirectory::OnStoreUnavailable(Time /*aNow*/)
{
  m_storeUnavailable = true;
  m_storeEverUnavailable = true;
}

void
UpstreamDirectory::OnStoreAvailable(Time aNow)
{
  if (!std::exchange(m_storeUnavailable, false)) {
    return;
  }
  m_storeAvailableSince = aNow;
  for (auto& [id, known] : m_known) {
    if (known.m_suspect) {
      known.m_suspectUntil = aNow + m_reregistrationTime;
    }
  }
}

UpstreamChange
UpstreamDirectory::OnEntry(const UpstreamEntry& aEntry, Time aNow)
{
  const auto [entry, added] = m_known.try_emplace(aEntry.m_id);
  KnownUpstream& known = entry->second;
  const bool restarted = added ||
                         known.m_entry.m_startWallMs != aEntry.m_startWallMs ||
                         known.m_entry.m_address != aEntry.m_address;
  const bool changed = known.m_suspect ||
                       known.m_entry.m_draining != aEntry.m_draining ||
                       known.m_entry.m_slots != aEntry.m_slots ||
                       known.m_entry.m_zone != aEntry.m_zone ||
                       known.m_entry.m_service != aEntry.m_service ||
                       aNow + aEntry.m_coldRemaining >
                         std::max(known.m_coldUntil, aNow) + kColdJitter;
  known.m_entry = aEntry;
  known.m_suspect = false;
  known.m_coldUntil = aNow + aEntry.m_coldRemaining;
  if (restarted) {
    return UpstreamChange::Added;
  }
  return changed ? UpstreamChange::Updated : UpstreamChange::None;
}

UpstreamChange
UpstreamDirectory::OnRemoved(const UpstreamId& aId, Time aNow)
{
  const auto found = m_known.find(aId);
  if (found == m_known.end()) {
    return UpstreamChange::None;
  }
  if (!StoreRecentlyUnavailable(aNow)) {
    m_known.erase(found);
    return UpstreamChange::Removed;
  }
  if (found->second.m_suspect) {
    return UpstreamChange::None;
  }
  found->second.m_suspect = true;
  found->second.m_suspectUntil =
    (m_storeUnavailable ? aNow : m_storeAvailableSince) + m_reregistrationTime;
  return UpstreamChange::Suspected;
}

std::vector<std::pair<UpstreamId, UpstreamChange>>
UpstreamDirectory::OnList(const std::vector<UpstreamEntry>& aEntries, Time aNow)
{
  std::vector<std::pair<UpstreamId, UpstreamChange>> changes;
  std::set<UpstreamId> listed;
  for (const UpstreamEntry& entry : aEntries) {
    listed.insert(entry.m_id);
    const UpstreamChange change = OnEntry(entry, aNow);
    if (change != UpstreamChange::None) {
      changes.emplace_back(entry.m_id, change);
    }
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, known] : m_known) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    const UpstreamChange change = OnRemoved(id, aNow);
    if (change != UpstreamChange::None) {
      changes.emplace_back(id, change);
    }
  }
  return changes;
}

std::vector<UpstreamId>
UpstreamDirectory::OnTick(Time aNow)
{
  std::vector<UpstreamId> expired;
  if (m_storeUnavailable) {
    return expired;
  }
  for (const auto& [id, known] : m_known) {
    if (known.m_suspect && aNow >= known.m_suspectUntil) {
      expired.push_back(id);
    }
  }
  for (const UpstreamId& id : expired) {
    m_known.erase(id);
  }
  return expired;
}

const KnownUpstream*
UpstreamDirectory::Find(const UpstreamId& aId) const
{
  const auto found = m_known.find(aId);
  return found == m_known.end() ? nullptr : &found->second;
}

} // namespace walnutwing
