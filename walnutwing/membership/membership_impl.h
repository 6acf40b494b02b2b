#ifndef WALNUTWING_MEMBERSHIP_MEMBERSHIP_IMPL_H_
#define WALNUTWING_MEMBERSHIP_MEMBERSHIP_IMPL_H_

// The implementation of Membership. Internal to membership/. Its functions are
// in membership.cc (events, actions for the driver), membership_probe.cc
// (failure detection) and membership_gossip.cc (gossip and synchronization of
// views).

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "walnutwing/membership/delta_queue.h"
#include "walnutwing/membership/member_table.h"
#include "walnutwing/membership/membership.h"
#include "walnutwing/membership/zone_links.h"

namespace walnutwing {

class Membership::Impl
{
public:
  Impl(MembershipOptions aOptions,
       MembershipSelf aSelf,
       std::vector<std::string> aSeeds,
       ByteBudget& aBudget,
       std::mt19937_64 aRandom,
       Time aNow);

  void OnTick(Time aNow, MembershipActions& aActions);
  bool OnMessage(const DaemonId& aFrom,
                 const proto::PeerMessage& aMessage,
                 Time aNow,
                 MembershipActions& aActions);
  void OnVmList(const proto::VmList& aList,
                Time aNow,
                MembershipActions& aActions);
  void OnStop(Time aNow, MembershipActions& aActions);
  void SetConfigVersion(std::uint64_t aVersion);
  void SetUpstreamState(proto::UpstreamState aState, Time aNow);
  std::vector<MemberView> View() const;
  bool ZoneReachable(const ZoneId& aZone) const;

  const std::vector<DaemonId>& RelaysOf(const ZoneId& aZone) const
  {
    return m_table.RelaysOf(aZone);
  }
  const std::map<UpstreamId, proto::UpstreamState>& Upstreams() const
  {
    return m_upstreams;
  }
  const std::map<ZoneId, proto::ZoneSummary>& ZoneSummaries() const
  {
    return m_summaries;
  }
  std::uint64_t Incarnation() const { return m_self.m_incarnation; }
  const MembershipCounters& Counters() const { return m_counters; }

private:
  using State = proto::MemberState;

  // The purpose of a ping.
  enum class ProbeKind
  {
    Member,   // failure detection in the own zone
    Zone,     // whether another zone is reachable
    Indirect, // on request of a member that got no ack
    Contact,  // to a seed, a lost member or a suspect; a timeout is ignored
  };
  struct Probe
  {
    ProbeKind m_kind = ProbeKind::Member;
    DaemonId m_target; // empty for a seed
    std::string m_address;
    ZoneId m_zone;
    Time m_sentAt;
    bool m_pingRequestsSent = false;
    DaemonId m_requester; // of an indirect ping
    std::uint64_t m_requesterSequence = 0;
  };
  // The results of this relay's pings to another zone.
  struct ZoneContact
  {
    std::uint32_t m_failures = 0; // in a row
    bool m_pending = false;       // a ping is in flight
    // When this relay last reported the zone as unreachable.
    std::optional<Time> m_unreachableReportedAt;
  };

  // membership.cc
  void AdvanceTime(Time aNow);
  Member& Self() { return *m_table.Find(m_self.m_daemon); }
  const Member& Self() const { return *m_table.Find(m_self.m_daemon); }
  bool IsSelf(const DaemonId& aDaemon) const
  {
    return aDaemon == m_self.m_daemon;
  }
  bool InOwnZone(const Member& aMember) const
  {
    return aMember.m_state.zone() == m_self.m_zone.Value();
  }
  bool IsRelay() const;
  bool IsStopping() const;
  void AddListedVm(const proto::VmEntry& aVm, Time aNow);
  void ClearUnlistedVms(const proto::VmList& aList);
  void ForgetMembers(Time aNow);
  bool ShouldBeUp(Member& aMember, bool aZoneReachable);
  void Announce(MembershipActions& aActions);
  void AnnounceMember(Member& aMember,
                      bool aZoneReachable,
                      MembershipActions& aActions);
  MemberView ViewOf(const Member& aMember, bool aZoneReachable) const;
  void Refute(const State& aUpdate);

  // membership_probe.cc
  void TickProbes(MembershipActions& aActions);
  void ExpireProbe(Probe& aProbe,
                   std::uint64_t aSequence,
                   MembershipActions& aActions,
                   std::vector<std::uint64_t>& aExpired);
  void SendPingRequests(const Probe& aProbe,
                        std::uint64_t aSequence,
                        MembershipActions& aActions);
  void SuspectMember(const DaemonId& aTarget);
  void ExpireSuspicions();
  void ProbeNextMember(MembershipActions& aActions);
  void ProbeSuspects(MembershipActions& aActions);
  std::optional<DaemonId> NextProbeTarget();
  void ProbeNextZone(MembershipActions& aActions);
  std::optional<ZoneId> NextZone();
  const Member* PickInZone(const ZoneId& aZone, bool aRelayOnly);
  void OnZoneProbeResult(const ZoneId& aZone, bool aAnswered);
  void RepeatUnreachableLinks();
  void ReportLink(const ZoneId& aZone, bool aReachable);
  void ContactLostDaemon(MembershipActions& aActions);
  std::uint64_t SendPing(Probe aProbe, MembershipActions& aActions);
  void OnPing(const DaemonId& aFrom,
              const proto::Ping& aPing,
              MembershipActions& aActions);
  void OnAck(const DaemonId& aFrom,
             const proto::Ack& aAck,
             MembershipActions& aActions);
  void OnPingRequest(const DaemonId& aFrom,
                     const proto::PingRequest& aRequest,
                     MembershipActions& aActions);
  std::vector<const Member*> ZoneMembers(bool aRunningOnly) const;
  bool IsAloneInZone() const;

  // membership_gossip.cc
  void TickGossip(MembershipActions& aActions);
  void SendChanges(const ZoneId& aZone, MembershipActions& aActions);
  void OnGossip(const DaemonId& aFrom,
                const proto::Gossip& aGossip,
                MembershipActions& aActions);
  void ApplyMemberUpdate(const State& aUpdate);
  void ApplyUpstreamState(const proto::UpstreamState& aState,
                          MembershipActions& aActions);
  void ApplyZoneSummary(const proto::ZoneSummary& aSummary);
  void ApplyZoneLink(const proto::ZoneLink& aLink);
  void QueueMember(const State& aUpdate);
  void QueueForOwnZone(DeltaKind aKind,
                       std::string aSubject,
                       DeltaUrgency aUrgency,
                       std::uint32_t aSends);
  std::vector<ZoneId> OtherZones() const;
  std::uint32_t LocalSends(std::uint32_t aLimit) const;
  void RefreshUpstreams();
  void ForgetUpstreams();
  void PublishUpstream(proto::UpstreamState aState, DeltaUrgency aUrgency);
  void SummarizeZone();
  void SendSync(const DaemonId& aTo,
                const std::string& aAddress,
                const std::vector<std::uint32_t>& aPeerBuckets,
                bool aRequestReply,
                MembershipActions& aActions);
  bool AddDelta(const DeltaKey& aKey, proto::Gossip& aGossip) const;
  void FillGossip(const ZoneId& aZone, std::size_t aLimit, proto::Gossip& aOut);
  State MakeCompactUpdate(const Member& aMember) const;
  State MakeFullUpdate(const Member& aMember) const;
  bool Send(const DaemonId& aTo,
            const std::string& aAddress,
            const ZoneId& aZone,
            Traffic aClass,
            std::vector<proto::PeerMessage> aMessages,
            proto::Gossip aGossip,
            MembershipActions& aActions);
  void Introduce(const Member& aNewcomer, proto::Gossip& aGossip) const;
  void AddBuckets(google::protobuf::RepeatedField<std::uint32_t>& aOut) const;

  MembershipOptions m_options;
  MembershipSelf m_self;
  std::vector<std::string> m_seeds;
  ByteBudget& m_budget;
  std::mt19937_64 m_random;
  MembershipCounters m_counters;

  Time m_now;
  Time m_startedAt;
  Time m_lastTick;
  MemberTable m_table;
  DeltaQueue m_queue;
  ZoneLinks m_links;
  std::map<UpstreamId, proto::UpstreamState> m_upstreams; // latest known
  std::map<UpstreamId, Time> m_upstreamUpdatedAt;
  std::map<UpstreamId, proto::UpstreamState> m_ownUpstreams; // as last set
  std::map<ZoneId, proto::ZoneSummary> m_summaries;

  std::map<std::uint64_t, Probe> m_probes; // by sequence
  std::uint64_t m_nextSequence = 1;
  std::deque<DaemonId> m_probeOrder; // not yet pinged in this round
  std::map<ZoneId, ZoneContact> m_zoneContacts;
  std::deque<ZoneId> m_zoneOrder;
  bool m_wasRelay = false;
  std::uint64_t m_linkSequence;

  Time m_nextProbe;
  Time m_nextSuspicionCheck;
  Time m_nextZoneProbe;
  Time m_nextContact;
  Duration m_contactDelay;
  Time m_nextGossip;
  Time m_nextSummary;
  Time m_nextSync;
  std::uint64_t m_announcedVersion = 0; // of the table, when last announced
  Time m_nextAnnounce;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_MEMBERSHIP_IMPL_H_
