#include "walnutwing/routing/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace walnutwing {
namespace {

// The remaining cold time in registrations counts down. A smaller increase than
// this is not a change, but the time that a registration was in transit.
constexpr Duration kColdJitter = std::chrono::milliseconds(400);
// Upstreams that are remembered as leaving; a fleet has some hundred.
constexpr std::size_t kMaxRememberedLeaving = 4096;

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

void
UpstreamDirectory::OnStoreRestored(Time aNow)
{
  m_storeEverUnavailable = true;
  m_storeAvailableSince = aNow;
  m_restoredListUntil = aNow + m_reregistrationTime;
}

// Returns false without a start time: a restarted upstream would look the same.
bool
UpstreamDirectory::HasLeft(const UpstreamEntry& aEntry) const
{
  const auto found = m_left.find(aEntry.m_id);
  return aEntry.m_startWallMs != 0 && found != m_left.end() &&
         found->second == aEntry.m_startWallMs;
}

void
UpstreamDirectory::RememberLeaving(const UpstreamId& aId,
                                   std::int64_t aStartWallMs)
{
  if (aStartWallMs == 0) {
    return;
  }
  if (m_left.insert_or_assign(aId, aStartWallMs).second) {
    m_leftOrder.push_back(aId);
  }
  if (m_leftOrder.size() > kMaxRememberedLeaving) {
    m_left.erase(m_leftOrder.front());
    m_leftOrder.pop_front();
  }
}

UpstreamChange
UpstreamDirectory::OnLeaving(const UpstreamId& aId, std::int64_t aStartWallMs)
{
  const auto found = m_known.find(aId);
  if (found == m_known.end()) {
    RememberLeaving(aId, aStartWallMs);
    return UpstreamChange::None;
  }
  UpstreamEntry& entry = found->second.m_entry;
  if (entry.m_startWallMs != aStartWallMs || entry.m_draining) {
    return UpstreamChange::None;
  }
  entry.m_draining = true;
  RememberLeaving(aId, aStartWallMs);
  return UpstreamChange::Updated;
}

UpstreamChange
UpstreamDirectory::OnEntry(const UpstreamEntry& aEntry, Time aNow)
{
  UpstreamEntry current = aEntry;
  current.m_draining = aEntry.m_draining || HasLeft(aEntry);
  if (current.m_draining) {
    RememberLeaving(current.m_id, current.m_startWallMs);
  }
  const auto [entry, added] = m_known.try_emplace(current.m_id);
  KnownUpstream& known = entry->second;
  if (!added && current.m_startWallMs != 0 &&
      current.m_startWallMs < known.m_entry.m_startWallMs) {
    return UpstreamChange::None; // an incarnation before the known one
  }
  const bool restarted = added ||
                         known.m_entry.m_startWallMs != current.m_startWallMs ||
                         known.m_entry.m_address != current.m_address;
  const bool changed = known.m_suspect ||
                       known.m_entry.m_draining != current.m_draining ||
                       known.m_entry.m_slots != current.m_slots ||
                       known.m_entry.m_zone != current.m_zone ||
                       known.m_entry.m_version != current.m_version ||
                       known.m_entry.m_service != current.m_service ||
                       aNow + current.m_coldRemaining >
                         std::max(known.m_coldUntil, aNow) + kColdJitter;
  known.m_entry = current;
  known.m_suspect = false;
  known.m_coldUntil = aNow + current.m_coldRemaining;
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
    if (change == UpstreamChange::Added && aNow < m_restoredListUntil) {
      KnownUpstream& known = m_known.at(entry.m_id);
      known.m_suspect = true;
      known.m_suspectUntil = m_restoredListUntil;
    }
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
