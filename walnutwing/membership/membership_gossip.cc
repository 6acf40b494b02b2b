// Gossip and anti-entropy. A change is queued as a delta and piggybacked on the
// next messages, a limited number of times to each zone; while changes are
// pending, extra messages are sent. Daemons that the limited sends miss are
// synchronized: pings carry a digest of the sender's view, and if the
// receiver's differs, the two exchange the members of the buckets that differ.
//
// Load and configuration versions are sent after all changes and fewer times.
// Load and zone summaries are repeated regularly, so that a lost update is made
// up for.

#include <algorithm>
#include <utility>

#include "walnutwing/membership/membership_impl.h"
#include "walnutwing/membership/stable_hash.h"

namespace walnutwing {
namespace {

// Size of the tag and the length of an embedded message.
constexpr std::size_t kFieldHeaderBytes = 3;
constexpr char kSubjectSeparator = '\n';
// A change by at most one part in this many is not published before the
// refresh.
constexpr std::uint32_t kMinorChangeDivisor = 8;
// With more deltas queued, each is sent fewer times.
constexpr std::size_t kLongQueueDeltas = 40;
// Number of members named to a new member.
constexpr std::size_t kMaxIntroductions = 4;
// An unchanged summary is repeated after this many summary periods.
constexpr int kSummaryRefreshPeriods = 3;

std::size_t
EnvelopeBytes(const MembershipSelf& aSelf,
              const std::vector<proto::PeerMessage>& aMessages)
{
  proto::PeerEnvelope envelope;
  envelope.set_from(aSelf.m_daemon.Value());
  envelope.set_incarnation(aSelf.m_incarnation);
  std::size_t bytes = envelope.ByteSizeLong() + kPacketOverheadBytes;
  for (const proto::PeerMessage& message : aMessages) {
    bytes += message.ByteSizeLong() + kFieldHeaderBytes;
  }
  return bytes;
}

bool
IsEmpty(const proto::Gossip& aGossip)
{
  return aGossip.ByteSizeLong() == 0;
}

void
ClearLocation(proto::MemberState& aUpdate)
{
  aUpdate.clear_zone();
  aUpdate.clear_region();
  aUpdate.clear_peer_address();
}

// Whether a value changed by more than 1 and by more than one part in
// kMinorChangeDivisor.
bool
ChangedSignificantly(std::uint32_t aBefore, std::uint32_t aAfter)
{
  const std::uint32_t difference =
    aBefore > aAfter ? aBefore - aAfter : aAfter - aBefore;
  return difference >
         std::max(std::uint32_t{ 1 }, aBefore / kMinorChangeDivisor);
}

bool
IsUrgent(const proto::UpstreamState& aBefore,
         const proto::UpstreamState& aAfter)
{
  return aBefore.temperature() != aAfter.temperature() ||
         aBefore.leaving() != aAfter.leaving() ||
         (aBefore.window() == 0) != (aAfter.window() == 0);
}

} // namespace

bool
Membership::Impl::Send(const DaemonId& aTo,
                       const std::string& aAddress,
                       const ZoneId& aZone,
                       Traffic aClass,
                       std::vector<proto::PeerMessage> aMessages,
                       proto::Gossip aGossip,
                       MembershipActions& aActions)
{
  std::size_t bytes = EnvelopeBytes(m_self, aMessages) +
                      aGossip.ByteSizeLong() + kFieldHeaderBytes;
  if (aAddress.empty() || m_budget.Available(aClass, m_now) < bytes) {
    ++m_counters.m_budgetRefusals;
    return false;
  }
  const std::size_t spare = m_budget.Available(Traffic::Gossip, m_now);
  if (spare > bytes) {
    FillGossip(
      aZone, std::min(m_options.m_maxGossipBytes, spare - bytes), aGossip);
  }
  if (!IsEmpty(aGossip)) {
    proto::PeerMessage message;
    *message.mutable_gossip() = std::move(aGossip);
    // Gossip goes first, so that the receiver knows a new sender when it
    // handles the other messages.
    aMessages.insert(aMessages.begin(), std::move(message));
  }
  bytes = EnvelopeBytes(m_self, aMessages);
  m_budget.TrySpend(Traffic::Probe, bytes, m_now);
  aActions.emplace_back(
    SendToPeer{ aTo, aAddress, std::move(aMessages), bytes });
  return true;
}

Membership::Impl::State
Membership::Impl::MakeFullUpdate(const Member& aMember) const
{
  State update = aMember.m_state;
  if (!InOwnZone(aMember)) {
    update.clear_config_version();
  }
  return update;
}

// An update without the member's location, unless the member is alive. A
// receiver that knows the member has its location already, and one that does
// not know it needs no update about a member that is suspected, leaving or
// dead.
Membership::Impl::State
Membership::Impl::MakeCompactUpdate(const Member& aMember) const
{
  State update = MakeFullUpdate(aMember);
  if (update.status() != State::ALIVE) {
    ClearLocation(update);
  }
  return update;
}

bool
Membership::Impl::AddDelta(const DeltaKey& aKey, proto::Gossip& aGossip) const
{
  const std::string& subject = aKey.m_subject;
  switch (aKey.m_kind) {
    case DeltaKind::Member:
    case DeltaKind::MemberVersion: {
      const Member* member = m_table.Find(DaemonId(subject));
      if (member == nullptr) {
        return false;
      }
      State update = MakeCompactUpdate(*member);
      if (aKey.m_kind == DeltaKind::MemberVersion) {
        ClearLocation(update);
      }
      *aGossip.add_members() = std::move(update);
      return true;
    }
    case DeltaKind::ZoneLink: {
      const std::size_t separator = subject.find(kSubjectSeparator);
      const proto::ZoneLink* link =
        m_links.Find(ZoneId(subject.substr(0, separator)),
                     DaemonId(subject.substr(separator + 1)));
      *aGossip.add_links() = *link;
      return true;
    }
    case DeltaKind::Upstream:
      *aGossip.add_upstreams() = m_upstreams.at(UpstreamId(subject));
      return true;
    case DeltaKind::ZoneSummary:
      *aGossip.add_zones() = m_summaries.at(ZoneId(subject));
      return true;
  }
  return false;
}

void
Membership::Impl::FillGossip(const ZoneId& aZone,
                             std::size_t aLimit,
                             proto::Gossip& aOut)
{
  std::size_t bytesLeft = aLimit;
  m_queue.Send(aZone, [&](const DeltaKey& aKey) {
    proto::Gossip delta;
    if (!AddDelta(aKey, delta)) {
      return true; // the subject was removed after it was queued
    }
    const std::size_t bytes = delta.ByteSizeLong();
    if (bytes > bytesLeft) {
      return false;
    }
    bytesLeft -= bytes;
    aOut.MergeFrom(delta);
    return true;
  });
}

std::vector<ZoneId>
Membership::Impl::OtherZones() const
{
  std::vector<ZoneId> zones = m_table.Zones();
  std::erase(zones, m_self.m_zone);
  return zones;
}

// The number of sends of a delta within the own zone, aLimit at most. In a
// small zone a few sends reach all members. While many deltas are queued, as
// when a fleet starts, each is sent fewer times to save budget, and
// synchronization reaches the members that were missed.
std::uint32_t
Membership::Impl::LocalSends(std::uint32_t aLimit) const
{
  const auto others = static_cast<std::uint32_t>(ZoneMembers(false).size());
  const std::uint32_t limit = m_queue.Size() > kLongQueueDeltas
                                ? std::min(aLimit, m_options.m_loadRetransmits)
                                : aLimit;
  return std::clamp<std::uint32_t>(others * 2, 1, limit);
}

// Queues a member's state. Relays also send the states of their own zone's
// members to all other zones directly; if two zones cannot reach each other,
// synchronization through a third zone replaces this. Suspicions are not queued
// for other zones, which need only the outcome.
void
Membership::Impl::QueueMember(const State& aUpdate)
{
  const bool toOtherZones = aUpdate.status() != State::SUSPECT && IsRelay() &&
                            aUpdate.zone() == m_self.m_zone.Value();
  m_queue.Put({ DeltaKind::Member, aUpdate.daemon() },
              DeltaUrgency::Change,
              LocalSends(m_options.m_retransmits),
              toOtherZones ? OtherZones() : std::vector<ZoneId>(),
              m_options.m_zoneRetransmits);
}

void
Membership::Impl::QueueForOwnZone(DeltaKind aKind,
                                  std::string aSubject,
                                  DeltaUrgency aUrgency,
                                  std::uint32_t aSends)
{
  m_queue.Put(
    { aKind, std::move(aSubject) }, aUrgency, LocalSends(aSends), {}, 0);
}

void
Membership::Impl::TickGossip(MembershipActions& aActions)
{
  if (m_now >= m_nextSummary) {
    m_nextSummary = m_now + m_options.m_summaryPeriod;
    ForgetUpstreams();
    if (IsRelay()) {
      SummarizeZone();
    }
  }
  if (m_now < m_nextGossip) {
    return;
  }
  m_nextGossip = m_now + m_options.m_gossipInterval;
  RefreshUpstreams();
  if (m_queue.HasPendingChange(ZoneId())) {
    SendChanges(ZoneId(), aActions);
  }
  if (!IsRelay()) {
    return;
  }
  for (const ZoneId& zone : OtherZones()) {
    if (ZoneReachable(zone) && m_queue.HasPendingChange(zone)) {
      SendChanges(zone, aActions);
    }
  }
}

// Sends pending deltas in a separate message to a random member of the own zone
// (aZone is empty) or to a relay of another zone.
void
Membership::Impl::SendChanges(const ZoneId& aZone, MembershipActions& aActions)
{
  const Member* target = nullptr;
  if (aZone.Empty()) {
    const std::vector<const Member*> members = ZoneMembers(true);
    target = members.empty() ? nullptr : members[m_random() % members.size()];
  } else {
    target = PickInZone(aZone, true);
  }
  const std::size_t spare = m_budget.Available(Traffic::Gossip, m_now);
  const std::size_t fixed = EnvelopeBytes(m_self, {}) + kFieldHeaderBytes;
  if (target == nullptr || spare <= fixed) {
    return;
  }
  proto::Gossip gossip;
  FillGossip(
    aZone, std::min(m_options.m_maxGossipBytes, spare - fixed), gossip);
  if (IsEmpty(gossip)) {
    return;
  }
  proto::PeerMessage message;
  *message.mutable_gossip() = std::move(gossip);
  std::vector<proto::PeerMessage> messages = { std::move(message) };
  const std::size_t bytes = EnvelopeBytes(m_self, messages);
  m_budget.TrySpend(Traffic::Probe, bytes, m_now);
  aActions.emplace_back(SendToPeer{ DaemonId(target->m_state.daemon()),
                                    target->m_state.peer_address(),
                                    std::move(messages),
                                    bytes });
}

void
Membership::Impl::OnGossip(const DaemonId& aFrom,
                           const proto::Gossip& aGossip,
                           MembershipActions& aActions)
{
  for (const State& update : aGossip.members()) {
    ApplyMemberUpdate(update);
  }
  for (const proto::UpstreamState& state : aGossip.upstreams()) {
    ApplyUpstreamState(state, aActions);
  }
  for (const proto::ZoneSummary& summary : aGossip.zones()) {
    ApplyZoneSummary(summary);
  }
  for (const proto::ZoneLink& link : aGossip.links()) {
    ApplyZoneLink(link);
  }
  const Member* sender = m_table.Find(aFrom);
  if (!aGossip.buckets().empty() && sender != nullptr) {
    SendSync(aFrom,
             sender->m_state.peer_address(),
             { aGossip.buckets().begin(), aGossip.buckets().end() },
             false,
             aActions);
  }
}

void
Membership::Impl::ApplyMemberUpdate(const State& aUpdate)
{
  const DaemonId daemon(aUpdate.daemon());
  if (IsSelf(daemon)) {
    Refute(aUpdate);
    return;
  }
  const MergeResult result = m_table.Merge(aUpdate, m_now);
  if (result == MergeResult::Nothing) {
    return;
  }
  Member& member = *m_table.Find(daemon);
  if (result == MergeResult::VersionOnly) {
    if (InOwnZone(member)) {
      QueueForOwnZone(DeltaKind::MemberVersion,
                      aUpdate.daemon(),
                      DeltaUrgency::Load,
                      m_options.m_loadRetransmits);
    }
    return;
  }
  if (aUpdate.status() == State::SUSPECT && InOwnZone(member) &&
      !member.m_suspectUntil.has_value()) {
    member.m_suspectUntil = m_now + m_options.m_suspicionTime;
  }
  QueueMember(member.m_state);
}

void
Membership::Impl::ApplyUpstreamState(const proto::UpstreamState& aState,
                                     MembershipActions& aActions)
{
  const UpstreamId upstream(aState.upstream());
  proto::UpstreamState& known = m_upstreams[upstream];
  const bool newer = aState.sequence() > known.sequence() ||
                     (aState.sequence() == known.sequence() &&
                      aState.incarnation() > known.incarnation());
  if (!newer) {
    return;
  }
  const bool urgent = known.sequence() == 0 || IsUrgent(known, aState);
  known = aState;
  m_upstreamUpdatedAt[upstream] = m_now;
  m_ownUpstreams.erase(upstream); // another daemon publishes its state now
  QueueForOwnZone(DeltaKind::Upstream,
                  aState.upstream(),
                  urgent ? DeltaUrgency::Change : DeltaUrgency::Load,
                  urgent ? m_options.m_retransmits
                         : m_options.m_loadRetransmits);
  aActions.emplace_back(UpstreamChanged{ aState });
}

void
Membership::Impl::SetUpstreamState(proto::UpstreamState aState, Time aNow)
{
  AdvanceTime(aNow);
  const UpstreamId upstream(aState.upstream());
  const auto known = m_upstreams.find(upstream);
  m_ownUpstreams[upstream] = aState;
  if (known == m_upstreams.end() || IsUrgent(known->second, aState)) {
    PublishUpstream(std::move(aState), DeltaUrgency::Change);
  }
}

void
Membership::Impl::PublishUpstream(proto::UpstreamState aState,
                                  DeltaUrgency aUrgency)
{
  const UpstreamId upstream(aState.upstream());
  proto::UpstreamState& known = m_upstreams[upstream];
  aState.set_sequence(known.sequence() + 1);
  aState.set_incarnation(m_self.m_incarnation);
  known = std::move(aState);
  m_upstreamUpdatedAt[upstream] = m_now;
  QueueForOwnZone(DeltaKind::Upstream,
                  upstream.Value(),
                  aUrgency,
                  aUrgency == DeltaUrgency::Change
                    ? m_options.m_retransmits
                    : m_options.m_loadRetransmits);
}

// Publishes the own upstreams whose load changed significantly, and after
// m_upstreamRefresh the unchanged ones.
void
Membership::Impl::RefreshUpstreams()
{
  for (const auto& [upstream, latest] : m_ownUpstreams) {
    const proto::UpstreamState& known = m_upstreams[upstream];
    const Duration age = m_now - m_upstreamUpdatedAt[upstream];
    const bool loadChanged =
      ChangedSignificantly(known.in_progress(), latest.in_progress()) ||
      ChangedSignificantly(known.window(), latest.window());
    if (age >= m_options.m_upstreamRefresh ||
        (loadChanged && age >= m_options.m_upstreamInterval)) {
      PublishUpstream(latest, DeltaUrgency::Load);
    }
  }
}

// Removes upstreams whose state no owner has published for m_forgetAfter.
void
Membership::Impl::ForgetUpstreams()
{
  std::erase_if(m_upstreamUpdatedAt, [this](const auto& aEntry) {
    const auto& [upstream, time] = aEntry;
    if (m_now - time <= m_options.m_forgetAfter) {
      return false;
    }
    m_queue.Remove({ DeltaKind::Upstream, upstream.Value() });
    m_upstreams.erase(upstream);
    return true;
  });
}

// Queues a summary of the own zone if it changed significantly or is due to be
// repeated.
void
Membership::Impl::SummarizeZone()
{
  proto::ZoneSummary sum;
  sum.set_zone(m_self.m_zone.Value());
  sum.set_reporter(m_self.m_daemon.Value());
  for (const auto& [upstream, state] : m_upstreams) {
    sum.set_upstreams(sum.upstreams() + 1);
    sum.set_cold_upstreams(sum.cold_upstreams() +
                           (state.temperature() == proto::COLD ? 1 : 0));
    sum.set_in_progress(sum.in_progress() + state.in_progress());
    sum.set_window(sum.window() + state.window());
  }
  std::uint64_t lowest = Self().m_state.config_version();
  const std::vector<const Member*> members = ZoneMembers(true);
  for (const Member* member : members) {
    lowest = std::min(lowest, member->m_state.config_version());
  }
  sum.set_lowest_config_version(lowest);
  sum.set_members(static_cast<std::uint32_t>(members.size() + 1));
  const proto::ZoneSummary& previous = m_summaries[m_self.m_zone];
  const bool repeat = (m_now - m_startedAt) / m_options.m_summaryPeriod %
                        kSummaryRefreshPeriods ==
                      0;
  const bool changed =
    previous.upstreams() != sum.upstreams() ||
    previous.cold_upstreams() != sum.cold_upstreams() ||
    previous.members() != sum.members() ||
    previous.lowest_config_version() != lowest ||
    ChangedSignificantly(previous.in_progress(), sum.in_progress()) ||
    ChangedSignificantly(previous.window(), sum.window());
  if (!changed && !repeat) {
    return;
  }
  sum.set_sequence(previous.sequence() + 1);
  m_summaries[m_self.m_zone] = sum;
  m_queue.Put({ DeltaKind::ZoneSummary, m_self.m_zone.Value() },
              DeltaUrgency::Load,
              LocalSends(m_options.m_retransmits),
              OtherZones(),
              m_options.m_zoneRetransmits);
}

void
Membership::Impl::ApplyZoneSummary(const proto::ZoneSummary& aSummary)
{
  proto::ZoneSummary& known = m_summaries[ZoneId(aSummary.zone())];
  const bool newer = aSummary.sequence() > known.sequence() ||
                     (aSummary.sequence() == known.sequence() &&
                      aSummary.reporter() > known.reporter());
  if (!newer) {
    return;
  }
  known = aSummary;
  QueueForOwnZone(DeltaKind::ZoneSummary,
                  aSummary.zone(),
                  DeltaUrgency::Load,
                  m_options.m_retransmits);
}

void
Membership::Impl::ApplyZoneLink(const proto::ZoneLink& aLink)
{
  if (!m_links.Merge(aLink, m_now)) {
    return;
  }
  m_announcedVersion = 0;
  QueueForOwnZone(DeltaKind::ZoneLink,
                  aLink.zone() + kSubjectSeparator + aLink.reporter(),
                  DeltaUrgency::Change,
                  m_options.m_retransmits);
}

// Names a few members of its zone to a new member, which then synchronizes its
// view with them. So the seeds of a starting fleet send little to each daemon.
void
Membership::Impl::Introduce(const Member& aNewcomer,
                            proto::Gossip& aGossip) const
{
  const State& newcomer = aNewcomer.m_state;
  std::vector<const Member*> members;
  for (const auto& [daemon, member] : m_table.All()) {
    const State& state = member.m_state;
    if (state.zone() == newcomer.zone() &&
        state.daemon() != newcomer.daemon() && state.incarnation() > 0 &&
        state.status() == State::ALIVE) {
      members.push_back(&member);
    }
  }
  // Ordered by a hash seeded with the newcomer's id, so that newcomers are
  // distributed over the members.
  std::sort(
    members.begin(), members.end(), [&](const Member* aA, const Member* aB) {
      const std::uint64_t seed = StableHash(newcomer.daemon());
      return StableHash(aA->m_state.daemon(), seed) <
             StableHash(aB->m_state.daemon(), seed);
    });
  if (members.size() > kMaxIntroductions) {
    members.resize(kMaxIntroductions);
  }
  for (const Member* member : members) {
    *aGossip.add_members() = MakeCompactUpdate(*member);
  }
}

void
Membership::Impl::AddBuckets(
  google::protobuf::RepeatedField<std::uint32_t>& aOut) const
{
  for (const std::uint32_t bucket : m_table.Digest().Buckets()) {
    aOut.Add(bucket);
  }
}

// Sends the members of the buckets that differ from aPeerBuckets, starting at a
// random bucket, up to the byte limits. The rest follows in a later
// synchronization. With aRequestReply, the receiver sends its members of the
// buckets that differ in return.
void
Membership::Impl::SendSync(const DaemonId& aTo,
                           const std::string& aAddress,
                           const std::vector<std::uint32_t>& aPeerBuckets,
                           bool aRequestReply,
                           MembershipActions& aActions)
{
  const auto& ownBuckets = m_table.Digest().Buckets();
  if (aPeerBuckets.size() != ownBuckets.size()) {
    return;
  }
  ++m_counters.m_syncs;
  std::vector<std::vector<const Member*>> buckets(ownBuckets.size());
  for (const auto& [daemon, member] : m_table.All()) {
    const std::size_t bucket = ViewDigest::BucketOf(daemon.Value());
    if (ownBuckets[bucket] != aPeerBuckets[bucket] &&
        member.m_state.incarnation() > 0 && !IsSelf(daemon)) {
      buckets[bucket].push_back(&member);
    }
  }
  proto::Gossip gossip;
  *gossip.add_members() = MakeCompactUpdate(Self());
  if (aRequestReply) {
    AddBuckets(*gossip.mutable_buckets());
  }
  const std::size_t spare = m_budget.Available(Traffic::Gossip, m_now);
  const std::size_t limit = std::min(spare, m_options.m_maxSyncBytes);
  std::size_t bytes = EnvelopeBytes(m_self, {}) + gossip.ByteSizeLong();
  const std::size_t first = m_random() % buckets.size();
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    for (const Member* member : buckets[(first + i) % buckets.size()]) {
      State update = MakeFullUpdate(*member);
      bytes += update.ByteSizeLong() + kFieldHeaderBytes;
      if (bytes < limit) {
        *gossip.add_members() = std::move(update);
      }
    }
  }
  const Member* to = m_table.Find(aTo);
  const bool inOwnZone = to == nullptr || InOwnZone(*to);
  Send(aTo,
       aAddress,
       inOwnZone ? ZoneId() : ZoneId(to->m_state.zone()),
       Traffic::Gossip,
       {},
       std::move(gossip),
       aActions);
}

} // namespace walnutwing
