// Ranks a service's upstreams for a chat by weighted rendezvous hashing:
// daemons with the same view agree without exchanging messages, a change of the
// fleet moves only chats of the upstream that joined or left, and a chat that
// spills over goes to the same second choice and finds its prompt cache there.
// A hint takes precedence over the hash, because it names the upstream that
// actually served the chat.

#include "walnutwing/placement/chat_placement.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace walnutwing {

ChatPlacement::ChatPlacement(ZoneId aZone,
                             RegionId aRegion,
                             PlacementOptions aOptions)
  : m_zone(std::move(aZone))
  , m_region(std::move(aRegion))
  , m_options(aOptions)
{
  if (m_options.m_maxRanked == 0 || m_options.m_otherZoneWeightDivisor < 1.0) {
    throw std::invalid_argument("placement limits are out of range");
  }
}

void
ChatPlacement::SetUpstreams(std::vector<PlacementUpstream> aUpstreams)
{
  std::vector<Entry> entries;
  entries.reserve(aUpstreams.size());
  std::unordered_map<UpstreamId, std::size_t> index;
  for (PlacementUpstream& upstream : aUpstreams) {
    Entry entry;
    const bool otherZone =
      upstream.m_region == m_region && upstream.m_zone != m_zone;
    entry.m_node = { StableHash(upstream.m_id.Value()),
                     otherZone
                       ? upstream.m_weight / m_options.m_otherZoneWeightDivisor
                       : upstream.m_weight };
    if (const auto* state = StateOf(upstream.m_id); state != nullptr) {
      entry.m_state = *state;
    }
    index.emplace(upstream.m_id, entries.size());
    entry.m_upstream = std::move(upstream);
    entries.push_back(std::move(entry));
  }
  m_upstreams = std::move(entries);
  m_index = std::move(index);
}

void
ChatPlacement::OnUpstreamState(const proto::UpstreamState& aState)
{
  const auto found = m_index.find(UpstreamId(aState.upstream()));
  if (found == m_index.end()) {
    return;
  }
  auto& known = m_upstreams[found->second].m_state;
  if (known && known->incarnation() > aState.incarnation()) {
    return;
  }
  known = aState;
}

bool
ChatPlacement::AcceptsRequests(const Entry& aEntry) const
{
  const PlacementUpstream& upstream = aEntry.m_upstream;
  if (upstream.m_leaving || upstream.m_zoneOut || upstream.m_deadOrNotInView) {
    return false;
  }
  return !aEntry.m_state || !aEntry.m_state->leaving();
}

bool
ChatPlacement::IsKnownFull(const Entry& aEntry) const
{
  return aEntry.m_state &&
         aEntry.m_state->in_progress() >= aEntry.m_state->window();
}

void
ChatPlacement::RankRegion(std::uint64_t aKey,
                          bool aOwnRegion,
                          std::vector<const Entry*>& aRanked) const
{
  if (aRanked.size() >= m_options.m_maxRanked) {
    return;
  }
  std::vector<RendezvousNode> nodes;
  std::vector<const Entry*> entries;
  nodes.reserve(m_upstreams.size());
  entries.reserve(m_upstreams.size());
  for (const Entry& entry : m_upstreams) {
    if ((entry.m_upstream.m_region == m_region) != aOwnRegion ||
        !AcceptsRequests(entry)) {
      continue;
    }
    nodes.push_back(entry.m_node);
    entries.push_back(&entry);
  }
  for (const std::size_t i :
       RankNodes(aKey, nodes, m_options.m_maxRanked + 1)) {
    if (std::find(aRanked.begin(), aRanked.end(), entries[i]) !=
        aRanked.end()) {
      continue;
    }
    aRanked.push_back(entries[i]);
  }
}

const ChatPlacement::Entry*
ChatPlacement::FindHintedEntry(const std::optional<UpstreamId>& aHint) const
{
  if (!aHint) {
    return nullptr;
  }
  const auto found = m_index.find(*aHint);
  if (found == m_index.end()) {
    return nullptr;
  }
  const Entry& entry = m_upstreams[found->second];
  const bool regionAllowed = entry.m_upstream.m_region == m_region ||
                             m_options.m_followHintAcrossRegions;
  return regionAllowed && AcceptsRequests(entry) ? &entry : nullptr;
}

// Moves the least loaded of the first aChoices upstreams to the front. An
// upstream that is cold or has no state yet is not considered.
void
ChatPlacement::PreferLeastLoaded(std::vector<const Entry*>& aRanked,
                                 std::size_t aChoices) const
{
  const auto end = aRanked.begin() + static_cast<std::ptrdiff_t>(aChoices);
  auto best = end;
  for (auto entry = aRanked.begin(); entry != end; ++entry) {
    const auto& state = (*entry)->m_state;
    if (!state || state->temperature() == proto::COLD) {
      continue;
    }
    if (best == end || state->in_progress() < (*best)->m_state->in_progress()) {
      best = entry;
    }
  }
  if (best != end) {
    std::rotate(aRanked.begin(), best, best + 1);
  }
}

std::vector<UpstreamId>
ChatPlacement::Rank(const ChatKey& aChat,
                    const std::optional<UpstreamId>& aHint,
                    bool aNewChat) const
{
  const std::uint64_t key =
    ChatHash(aChat.m_customer, aChat.m_service, aChat.m_chat);
  std::vector<const Entry*> ranked;
  if (const Entry* hinted = FindHintedEntry(aHint); hinted != nullptr) {
    ranked.push_back(hinted);
  }
  RankRegion(key, true, ranked);
  const std::size_t ownRegion = ranked.size();
  if (aNewChat && !aHint) {
    PreferLeastLoaded(ranked, std::min(ownRegion, m_options.m_newChatChoices));
  }
  RankRegion(key, false, ranked);
  if (ownRegion > 1) {
    std::stable_partition(
      ranked.begin() + 1,
      ranked.begin() + static_cast<std::ptrdiff_t>(ownRegion),
      [this](const Entry* aEntry) { return !IsKnownFull(*aEntry); });
  }
  std::vector<UpstreamId> upstreams;
  for (const Entry* entry : ranked) {
    if (upstreams.size() >= m_options.m_maxRanked) {
      break;
    }
    upstreams.push_back(entry->m_upstream.m_id);
  }
  return upstreams;
}

std::optional<double>
ChatPlacement::MeanLoad() const
{
  double sum = 0;
  std::size_t count = 0;
  for (const Entry& entry : m_upstreams) {
    if (!entry.m_state || !AcceptsRequests(entry) ||
        entry.m_state->temperature() == proto::COLD) {
      continue;
    }
    sum += entry.m_state->in_progress();
    ++count;
  }
  if (count == 0) {
    return std::nullopt;
  }
  return sum / static_cast<double>(count);
}

const proto::UpstreamState*
ChatPlacement::StateOf(const UpstreamId& aUpstream) const
{
  const auto found = m_index.find(aUpstream);
  if (found == m_index.end() || !m_upstreams[found->second].m_state) {
    return nullptr;
  }
  return &*m_upstreams[found->second].m_state;
}

} // namespace walnutwing
