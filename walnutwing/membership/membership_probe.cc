// Failure detection. Within the zone, one member per period is pinged, in a
// shuffled round over all members. If no ack arrives in time, a few other
// members are asked to ping it, and at the end of the period it is suspected.
// The round bounds the time until a member is pinged and distributes the load
// evenly. Each member that learns of a suspicion declares the death by its own
// timer.
//
// Failures of single members of other zones are not detected from here. Relays
// only detect whether another zone as a whole is reachable, by pings to one of
// its members at a time.

#include <algorithm>
#include <utility>

#include "walnutwing/membership/membership_impl.h"

namespace walnutwing {
namespace {

// Limit on the pings in flight on request of other members.
constexpr std::size_t kMaxIndirectPings = 32;
// Limit on the pings to suspects, in addition to the ping of the round.
constexpr std::size_t kMaxSuspectPingsPerPeriod = 3;
// Factor by which unreachable zones are pinged less often than others.
constexpr int kUnreachableSlowdown = 4;

bool
IsSuspectOrDead(const proto::MemberState& aState)
{
  return aState.incarnation() > 0 &&
         (aState.status() == proto::MemberState::SUSPECT ||
          aState.status() == proto::MemberState::DEAD);
}

} // namespace

// The members of the own zone that are not dead, without this daemon. With
// aRunningOnly, also without those that are leaving.
std::vector<const Member*>
Membership::Impl::ZoneMembers(bool aRunningOnly) const
{
  std::vector<const Member*> members;
  for (const auto& [daemon, member] : m_table.All()) {
    const auto status = member.m_state.status();
    const bool running = status == State::ALIVE || status == State::SUSPECT;
    if (IsSelf(daemon) || !InOwnZone(member) || status == State::DEAD ||
        (aRunningOnly && !running)) {
      continue;
    }
    members.push_back(&member);
  }
  return members;
}

// Whether no running member of the own zone is known from peer messages.
// Members known only from the platform's list do not count.
bool
Membership::Impl::IsAloneInZone() const
{
  const std::vector<const Member*> members = ZoneMembers(true);
  return std::none_of(
    members.begin(), members.end(), [](const Member* aMember) {
      return aMember->m_state.incarnation() > 0;
    });
}

void
Membership::Impl::TickProbes(MembershipActions& aActions)
{
  std::vector<std::uint64_t> expired;
  for (auto& [sequence, probe] : m_probes) {
    ExpireProbe(probe, sequence, aActions, expired);
  }
  for (const std::uint64_t sequence : expired) {
    m_probes.erase(sequence);
  }
  if (m_now >= m_nextSuspicionCheck) {
    m_nextSuspicionCheck = m_now + m_options.m_gossipInterval;
    ExpireSuspicions();
  }
  if (m_now >= m_nextProbe) {
    m_nextProbe = std::max(m_nextProbe + m_options.m_probePeriod, m_now);
    ProbeNextMember(aActions);
    ProbeSuspects(aActions);
  }
  const bool relay = IsRelay() && !IsStopping();
  if (relay && !m_wasRelay) {
    // A new relay starts with the reachability known in the zone, so that a
    // change of relays does not make an unreachable zone count as reachable.
    m_zoneContacts.clear();
    for (const ZoneId& zone : OtherZones()) {
      if (!ZoneReachable(zone)) {
        m_zoneContacts[zone].m_failures = m_options.m_zoneFailureThreshold;
        ReportLink(zone, false);
      }
    }
  }
  m_wasRelay = relay;
  if (relay && m_now >= m_nextZoneProbe) {
    m_nextZoneProbe =
      std::max(m_nextZoneProbe + m_options.m_zoneProbePeriod, m_now);
    ProbeNextZone(aActions);
    RepeatUnreachableLinks();
  }
  if (m_now >= m_nextContact) {
    m_contactDelay = IsAloneInZone()
                       ? std::min(m_contactDelay * 2, m_options.m_contactPeriod)
                       : m_options.m_contactPeriod;
    m_nextContact = m_now + m_contactDelay;
    ContactLostDaemon(aActions);
  }
}

void
Membership::Impl::ExpireProbe(Probe& aProbe,
                              std::uint64_t aSequence,
                              MembershipActions& aActions,
                              std::vector<std::uint64_t>& aExpired)
{
  const Duration age = m_now - aProbe.m_sentAt;
  if (aProbe.m_kind == ProbeKind::Zone) {
    if (age >= m_options.m_zoneAckTimeout) {
      aExpired.push_back(aSequence);
      OnZoneProbeResult(aProbe.m_zone, false);
    }
    return;
  }
  const bool member = aProbe.m_kind == ProbeKind::Member;
  if (member && !aProbe.m_pingRequestsSent && age >= m_options.m_ackTimeout) {
    aProbe.m_pingRequestsSent = true;
    SendPingRequests(aProbe, aSequence, aActions);
  }
  if (age < m_options.m_probePeriod) {
    return;
  }
  aExpired.push_back(aSequence);
  if (member) {
    ++m_counters.m_probeFailures;
    SuspectMember(aProbe.m_target);
  }
}

void
Membership::Impl::SendPingRequests(const Probe& aProbe,
                                   std::uint64_t aSequence,
                                   MembershipActions& aActions)
{
  std::vector<const Member*> members = ZoneMembers(true);
  std::erase_if(members, [&](const Member* aMember) {
    return aMember->m_state.daemon() == aProbe.m_target.Value();
  });
  std::shuffle(members.begin(), members.end(), m_random);
  if (members.size() > m_options.m_indirectProbes) {
    members.resize(m_options.m_indirectProbes);
  }
  for (const Member* member : members) {
    proto::PeerMessage message;
    message.mutable_ping_request()->set_sequence(aSequence);
    message.mutable_ping_request()->set_target(aProbe.m_target.Value());
    Send(DaemonId(member->m_state.daemon()),
         member->m_state.peer_address(),
         ZoneId(),
         Traffic::Probe,
         { std::move(message) },
         {},
         aActions);
  }
}

void
Membership::Impl::SuspectMember(const DaemonId& aTarget)
{
  Member* member = m_table.Find(aTarget);
  if (member == nullptr || member->m_suspectUntil.has_value() ||
      member->m_state.status() == State::DEAD) {
    return;
  }
  ++m_counters.m_suspicions;
  member->m_suspectUntil = m_now + m_options.m_suspicionTime;
  member->m_suspectedLocally = true;
  if (member->m_state.status() != State::ALIVE ||
      member->m_state.incarnation() == 0) {
    // A member that is leaving or known only from the list: the timer runs, but
    // the suspicion is not spread.
    return;
  }
  m_table.SetStatus(*member, State::SUSPECT, m_now);
  QueueMember(member->m_state);
}

void
Membership::Impl::ExpireSuspicions()
{
  for (auto& [daemon, member] : m_table.All()) {
    if (!member.m_suspectUntil.has_value() || m_now < *member.m_suspectUntil) {
      continue;
    }
    ++m_counters.m_deaths;
    m_table.SetStatus(member, State::DEAD, m_now);
    if (member.m_state.incarnation() > 0) {
      QueueMember(member.m_state);
    }
  }
}

// The next member of the shuffled round. Starts a new round at its end.
std::optional<DaemonId>
Membership::Impl::NextProbeTarget()
{
  for (int round = 0; round < 2; ++round) {
    while (!m_probeOrder.empty()) {
      const DaemonId target = m_probeOrder.front();
      m_probeOrder.pop_front();
      const Member* member = m_table.Find(target);
      if (member != nullptr && member->m_state.status() != State::DEAD) {
        return target;
      }
    }
    for (const Member* member : ZoneMembers(false)) {
      m_probeOrder.emplace_back(member->m_state.daemon());
    }
    std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
  }
  return std::nullopt;
}

void
Membership::Impl::ProbeNextMember(MembershipActions& aActions)
{
  const std::optional<DaemonId> target = NextProbeTarget();
  if (!target.has_value()) {
    return;
  }
  ++m_counters.m_probes;
  Probe probe;
  probe.m_target = *target;
  SendPing(std::move(probe), aActions);
}

// Pings the members suspected by this daemon in each period. The ping carries
// the suspicion, so that the member can refute it.
void
Membership::Impl::ProbeSuspects(MembershipActions& aActions)
{
  std::vector<DaemonId> suspects;
  for (const auto& [daemon, member] : m_table.All()) {
    if (member.m_suspectedLocally && member.m_suspectUntil.has_value() &&
        suspects.size() < kMaxSuspectPingsPerPeriod) {
      suspects.push_back(daemon);
    }
  }
  for (const DaemonId& suspect : suspects) {
    Probe probe;
    probe.m_kind = ProbeKind::Contact;
    probe.m_target = suspect;
    SendPing(std::move(probe), aActions);
  }
}

const Member*
Membership::Impl::PickInZone(const ZoneId& aZone, bool aRelayOnly)
{
  std::vector<const Member*> members;
  if (aRelayOnly) {
    for (const DaemonId& relay : m_table.RelaysOf(aZone)) {
      members.push_back(m_table.Find(relay));
    }
  }
  for (const auto& [daemon, member] : m_table.All()) {
    if (!aRelayOnly && member.m_state.zone() == aZone.Value() &&
        member.m_state.status() != State::DEAD) {
      members.push_back(&member);
    }
  }
  return members.empty() ? nullptr : members[m_random() % members.size()];
}

// The next zone to ping. A zone that failed to answer, but not often enough to
// be unreachable, goes first. The others follow in shuffled rounds, unreachable
// ones with probability 1 / kUnreachableSlowdown.
std::optional<ZoneId>
Membership::Impl::NextZone()
{
  for (const auto& [zone, contact] : m_zoneContacts) {
    if (!contact.m_pending && contact.m_failures > 0 &&
        contact.m_failures < m_options.m_zoneFailureThreshold) {
      return zone;
    }
  }
  if (m_zoneOrder.empty()) {
    const std::vector<ZoneId> zones = OtherZones();
    m_zoneOrder.assign(zones.begin(), zones.end());
    std::shuffle(m_zoneOrder.begin(), m_zoneOrder.end(), m_random);
  }
  while (!m_zoneOrder.empty()) {
    const ZoneId zone = m_zoneOrder.front();
    m_zoneOrder.pop_front();
    const ZoneContact& contact = m_zoneContacts[zone];
    const bool unreachable =
      contact.m_failures >= m_options.m_zoneFailureThreshold;
    if (!contact.m_pending &&
        (!unreachable || m_random() % kUnreachableSlowdown == 0)) {
      return zone;
    }
  }
  return std::nullopt;
}

void
Membership::Impl::ProbeNextZone(MembershipActions& aActions)
{
  const std::optional<ZoneId> zone = NextZone();
  if (!zone.has_value()) {
    return;
  }
  ZoneContact& contact = m_zoneContacts[*zone];
  // After a failure, any member is pinged: the relays may all have died at
  // once.
  const Member* target = PickInZone(*zone, contact.m_failures == 0);
  if (target == nullptr) {
    m_zoneContacts.erase(*zone);
    return;
  }
  Probe probe;
  probe.m_kind = ProbeKind::Zone;
  probe.m_target = DaemonId(target->m_state.daemon());
  probe.m_zone = *zone;
  contact.m_pending = SendPing(std::move(probe), aActions) != 0;
}

void
Membership::Impl::OnZoneProbeResult(const ZoneId& aZone, bool aAnswered)
{
  ZoneContact& contact = m_zoneContacts[aZone];
  contact.m_pending = false;
  contact.m_failures = aAnswered ? 0 : contact.m_failures + 1;
  const proto::ZoneLink* reported = m_links.Find(aZone, m_self.m_daemon);
  const bool reportedReachable = reported == nullptr || reported->reachable();
  if (aAnswered && !reportedReachable) {
    ReportLink(aZone, true);
  }
  if (contact.m_failures >= m_options.m_zoneFailureThreshold &&
      reportedReachable) {
    ReportLink(aZone, false);
  }
}

void
Membership::Impl::ReportLink(const ZoneId& aZone, bool aReachable)
{
  proto::ZoneLink link;
  link.set_reporter(m_self.m_daemon.Value());
  link.set_zone(aZone.Value());
  link.set_reachable(aReachable);
  link.set_sequence(++m_linkSequence);
  ApplyZoneLink(link);
  if (!aReachable) {
    m_zoneContacts[aZone].m_unreachableReportedAt = m_now;
  }
}

void
Membership::Impl::RepeatUnreachableLinks()
{
  for (auto& [zone, contact] : m_zoneContacts) {
    const bool due =
      contact.m_failures >= m_options.m_zoneFailureThreshold &&
      contact.m_unreachableReportedAt.has_value() &&
      m_now - *contact.m_unreachableReportedAt >= m_options.m_linkRefresh;
    if (due) {
      ReportLink(zone, false);
    }
  }
}

// Pings one daemon that is dead or known only from the list, or a seed. This
// reunites the halves of a zone that have declared each other dead, and lets a
// new daemon join.
void
Membership::Impl::ContactLostDaemon(MembershipActions& aActions)
{
  std::vector<Probe> candidates;
  std::vector<std::string> known;
  const bool aloneInZone = IsAloneInZone();
  for (const auto& [daemon, member] : m_table.All()) {
    const State& state = member.m_state;
    const bool running =
      state.status() != State::DEAD && state.incarnation() > 0;
    const bool eligible = InOwnZone(member) || IsRelay() || aloneInZone;
    if (running) {
      known.push_back(state.peer_address());
    }
    if (IsSelf(daemon) || running || !eligible ||
        state.peer_address().empty()) {
      continue;
    }
    Probe probe;
    probe.m_kind = ProbeKind::Contact;
    probe.m_target = daemon;
    candidates.push_back(std::move(probe));
  }
  for (const std::string& seed : m_seeds) {
    if (std::find(known.begin(), known.end(), seed) != known.end()) {
      continue;
    }
    Probe probe;
    probe.m_kind = ProbeKind::Contact;
    probe.m_address = seed;
    candidates.push_back(std::move(probe));
  }
  if (!candidates.empty()) {
    SendPing(candidates[m_random() % candidates.size()], aActions);
  }
}

// Returns the ping's sequence, or 0 if the ping was not sent.
std::uint64_t
Membership::Impl::SendPing(Probe aProbe, MembershipActions& aActions)
{
  const std::uint64_t sequence = m_nextSequence++;
  proto::PeerMessage message;
  proto::Ping& ping = *message.mutable_ping();
  ping.set_sequence(sequence);
  ping.set_sender_address(m_self.m_peerAddress);
  ping.set_view_digest(m_table.Digest().Combined());
  proto::Gossip gossip;
  ZoneId zone;
  const Member* target = m_table.Find(aProbe.m_target);
  if (target == nullptr) {
    *gossip.add_members() = MakeCompactUpdate(Self());
  } else {
    const State& state = target->m_state;
    ping.set_target(state.daemon());
    ping.set_target_incarnation(state.incarnation());
    aProbe.m_address = state.peer_address();
    zone = InOwnZone(*target) ? ZoneId() : ZoneId(state.zone());
    if (IsSuspectOrDead(state)) {
      // Lets the target refute the suspicion or death.
      *gossip.add_members() = MakeCompactUpdate(*target);
    }
  }
  aProbe.m_sentAt = m_now;
  if (!Send(aProbe.m_target,
            aProbe.m_address,
            zone,
            Traffic::Probe,
            { std::move(message) },
            std::move(gossip),
            aActions)) {
    return 0;
  }
  m_probes[sequence] = std::move(aProbe);
  return sequence;
}

void
Membership::Impl::OnPing(const DaemonId& aFrom,
                         const proto::Ping& aPing,
                         MembershipActions& aActions)
{
  if (!aPing.target().empty() && aPing.target() != m_self.m_daemon.Value()) {
    return; // meant for a daemon that had this address before
  }
  proto::PeerMessage message;
  proto::Ack& ack = *message.mutable_ack();
  ack.set_sequence(aPing.sequence());
  proto::Gossip gossip;
  if (aPing.target_incarnation() != m_self.m_incarnation) {
    *gossip.add_members() = MakeCompactUpdate(Self());
  }
  const Member* sender = m_table.Find(aFrom);
  if (sender != nullptr && IsSuspectOrDead(sender->m_state)) {
    // Lets the sender refute the suspicion or death.
    *gossip.add_members() = MakeCompactUpdate(*sender);
  }
  const bool newcomer = aPing.target().empty() && sender != nullptr;
  if (newcomer) {
    Introduce(*sender, gossip);
  }
  const bool startSync = aPing.view_digest() != m_table.Digest().Combined() &&
                         !m_queue.HasPendingChange(ZoneId()) &&
                         m_now >= m_nextSync;
  if (startSync && !(newcomer && gossip.members_size() > 1)) {
    m_nextSync = m_now + m_options.m_syncInterval;
    AddBuckets(*ack.mutable_buckets());
  }
  const bool inOwnZone = sender == nullptr || InOwnZone(*sender);
  Send(aFrom,
       aPing.sender_address(),
       inOwnZone ? ZoneId() : ZoneId(sender->m_state.zone()),
       newcomer ? Traffic::Gossip : Traffic::Probe,
       { std::move(message) },
       std::move(gossip),
       aActions);
}

void
Membership::Impl::OnAck(const DaemonId& aFrom,
                        const proto::Ack& aAck,
                        MembershipActions& aActions)
{
  const auto found = m_probes.find(aAck.sequence());
  if (found == m_probes.end()) {
    return;
  }
  const Probe probe = found->second;
  m_probes.erase(found);
  if (probe.m_kind == ProbeKind::Zone) {
    OnZoneProbeResult(probe.m_zone, true);
  }
  const Member* requester = m_table.Find(probe.m_requester);
  if (probe.m_kind == ProbeKind::Indirect && requester != nullptr) {
    proto::PeerMessage message;
    message.mutable_ack()->set_sequence(probe.m_requesterSequence);
    Send(probe.m_requester,
         requester->m_state.peer_address(),
         ZoneId(),
         Traffic::Probe,
         { std::move(message) },
         {},
         aActions);
  }
  if (!aAck.buckets().empty()) {
    SendSync(aFrom,
             probe.m_address,
             { aAck.buckets().begin(), aAck.buckets().end() },
             true,
             aActions);
  }
}

void
Membership::Impl::OnPingRequest(const DaemonId& aFrom,
                                const proto::PingRequest& aRequest,
                                MembershipActions& aActions)
{
  const Member* target = m_table.Find(DaemonId(aRequest.target()));
  const auto indirectPings =
    std::count_if(m_probes.begin(), m_probes.end(), [](const auto& aEntry) {
      return aEntry.second.m_kind == ProbeKind::Indirect;
    });
  if (target == nullptr || m_table.Find(aFrom) == nullptr ||
      static_cast<std::size_t>(indirectPings) >= kMaxIndirectPings) {
    return;
  }
  Probe probe;
  probe.m_kind = ProbeKind::Indirect;
  probe.m_target = DaemonId(aRequest.target());
  probe.m_requester = aFrom;
  probe.m_requesterSequence = aRequest.sequence();
  SendPing(std::move(probe), aActions);
}

} // namespace walnutwing
