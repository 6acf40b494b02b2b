#ifndef WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_
#define WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_

// One daemon's view of the daemons in the fleet.
//
// Within an availability zone, failures are detected as in SWIM: each daemon
// pings one member of its zone per period. If no ack arrives, it asks others to
// ping the member, then suspects it, and declares it dead unless the member
// refutes the suspicion. Changes are spread as deltas that are piggybacked on
// pings and acks. Between zones, a few relays of each zone, chosen by
// rendezvous hashing, ping the other zones and forward the deltas. A zone that
// no relay of the own zone reaches is unreachable, and its members are down,
// until a relay reaches it again.
//
// Views of different daemons differ for seconds, and for as long as a partition
// lasts; they converge within seconds after it heals. Nothing here guarantees
// mutual exclusion: two daemons can consider themselves the owner of the same
// upstream.
//
// A Membership has no clock and does no I/O: the driver reports events with the
// time and carries out the actions appended to aActions. Times must not
// decrease.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peer.pb.h"
#include "platform.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/membership/byte_budget.h"

namespace walnutwing {

struct MembershipOptions
{
  // Failure detection within the zone.
  Duration m_probePeriod{ 1000 };     // each member pings one other each period
  Duration m_ackTimeout{ 300 };       // after it, others are asked to ping
  Duration m_suspicionTime{ 4000 };   // until a suspect is declared dead
  std::uint32_t m_indirectProbes = 3; // members asked to ping after a timeout

  // Between zones.
  std::uint32_t m_relaysPerZone = 2;
  // Each relay pings one other zone per period.
  Duration m_zoneProbePeriod{ 500 };
  Duration m_zoneAckTimeout{ 1000 };
  std::uint32_t m_zoneFailureThreshold = 3; // in a row make a zone unreachable
  Duration m_linkRefresh{ 10000 };   // between repeats of "unreachable" reports
  Duration m_linkLifetime{ 30000 };  // of an "unreachable" report
  Duration m_summaryPeriod{ 10000 }; // between zone summaries of a relay

  // Spreading.
  Duration m_gossipInterval{ 250 };    // between extra messages for deltas
  std::uint32_t m_retransmits = 8;     // sends of a change by each member
  std::uint32_t m_loadRetransmits = 3; // the same for load and versions
  std::uint32_t m_zoneRetransmits = 2; // to each other zone by each relay
  std::size_t m_maxGossipBytes = 1000; // of deltas in one message
  std::size_t m_maxSyncBytes = 4000;   // of one synchronization of views
  Duration m_syncInterval{ 2000 };     // between synchronizations
  Duration m_upstreamInterval{ 2000 }; // between updates of an upstream's load
  Duration m_upstreamRefresh{ 15000 }; // until an unchanged state is repeated

  // Joining and removal. During the grace period after the start, VMs known
  // only from the platform's list count as up. Dead members that are not
  // listed, and upstreams without updates, are removed after m_forgetAfter.
  Duration m_contactPeriod{ 10000 }; // between pings to lost members and seeds
  Duration m_listGracePeriod{ 60000 };
  Duration m_forgetAfter{ 600000 };

  // Flap damping, see FlapDamper.
  Duration m_flapHalfLife{ 60000 };
  double m_flapSuppressThreshold = 2.5;
  double m_flapReuseThreshold = 1.0;
};

// The identity of this daemon.
struct MembershipSelf
{
  DaemonId m_daemon;
  ZoneId m_zone;
  RegionId m_region;
  std::string m_peerAddress;       // IP:port
  std::uint64_t m_incarnation = 0; // larger after each start, such as Unix ms
};

enum class MemberStatus
{
  Alive,
  Suspect, // did not answer pings; still used
  Dead,
  Leaving, // finishes its requests and accepts no new ones
};

// "alive", "suspect", "dead", "leaving".
std::string_view
NameOf(MemberStatus aStatus);

struct MemberView
{
  DaemonId m_daemon;
  ZoneId m_zone;
  RegionId m_region;
  std::string m_peerAddress;
  std::uint64_t m_incarnation = 0; // 0: known from the platform's list only
  MemberStatus m_status = MemberStatus::Alive;
  bool m_reachable = true; // whether its zone is reachable
  bool m_damped = false;   // treated as down because it flaps
  // As last received. Maintained within the own zone only; for other zones see
  // ZoneSummary.lowest_config_version.
  std::uint64_t m_configVersion = 0;
  // Whether the last action about it was MemberUp: it can own upstreams and
  // accept new requests. For this daemon, true until OnStop.
  bool m_up = false;
};

// The actions that the driver carries out.

// Send one envelope with these messages. Its bytes are already charged to the
// budget. m_to is empty if only the address is known.
struct SendToPeer
{
  DaemonId m_to;
  std::string m_address;
  std::vector<proto::PeerMessage> m_messages;
  std::size_t m_bytes = 0; // envelope and packet overhead
};

struct MemberUp
{
  MemberView m_member;
};

// The member is dead, unreachable, damped or restarted (if it is up again, a
// MemberUp with the new incarnation follows at once). The driver must treat
// what the member owned or had in progress as lost.
struct MemberDown
{
  DaemonId m_daemon;
};

struct MemberLeaving
{
  DaemonId m_daemon;
};

// An upstream's owner has published a newer state than the one known.
struct UpstreamChanged
{
  proto::UpstreamState m_state;
};

using MembershipAction = std::
  variant<SendToPeer, MemberUp, MemberDown, MemberLeaving, UpstreamChanged>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipCounters
{
  std::uint64_t m_probes = 0;
  std::uint64_t m_probeFailures = 0;
  std::uint64_t m_suspicions = 0;     // raised by this daemon
  std::uint64_t m_deaths = 0;         // declared by this daemon
  std::uint64_t m_refutations = 0;    // of updates about this daemon
  std::uint64_t m_syncs = 0;          // synchronizations of differing views
  std::uint64_t m_budgetRefusals = 0; // messages not sent: no budget or address
  std::uint64_t m_pauses = 0;         // detected pauses of this process
};

class Membership
{
public:
  // aSeeds are addresses of daemons to join through. aBudget is shared with
  // other senders and must outlive this object. aRandom must be seeded
  // differently in each daemon.
  Membership(MembershipOptions aOptions,
             MembershipSelf aSelf,
             std::vector<std::string> aSeeds,
             ByteBudget& aBudget,
             std::mt19937_64 aRandom,
             Time aNow);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Call every 50 to 200 ms. A gap of more than two probe periods is taken as a
  // pause of this process, after which no member is suspected for replies that
  // seem late because of it.
  void OnTick(Time aNow, MembershipActions& aActions);

  // Handles a message of an envelope from a peer. Returns false and ignores the
  // message if it is none of Ping, Ack, PingRequest and Gossip.
  bool OnMessage(const DaemonId& aFrom,
                 const proto::PeerMessage& aMessage,
                 Time aNow,
                 MembershipActions& aActions);

  // Call with each list read from the platform, and not while the platform is
  // unavailable. The list is allowed to be out of date: to contain dead VMs and
  // to lack new ones.
  void OnVmList(const proto::VmList& aList,
                Time aNow,
                MembershipActions& aActions);

  // Begins a graceful shutdown and tells the other daemons. Continue to call
  // OnTick and OnMessage until the process ends.
  void OnStop(Time aNow, MembershipActions& aActions);

  // Sets the configuration version that is in force on this daemon. Ignored
  // unless it is larger than the last one.
  void SetConfigVersion(std::uint64_t aVersion);

  // Sets the state of an upstream that this daemon owns. Call it on every
  // change: changes of load are rate-limited, and small ones are not sent until
  // the next refresh. Sequence and incarnation are filled in.
  void SetUpstreamState(proto::UpstreamState aState, Time aNow);

  // All known members by id, this daemon included.
  std::vector<MemberView> View() const;

  // The relays of a zone according to this view.
  std::vector<DaemonId> RelaysOf(const ZoneId& aZone) const;

  // Whether a relay of the own zone reaches aZone. True for the own zone, and
  // if no report says otherwise.
  bool ZoneReachable(const ZoneId& aZone) const;

  // The newest known states of the own zone's upstreams, and the newest known
  // summaries of all zones.
  const std::map<UpstreamId, proto::UpstreamState>& Upstreams() const;
  const std::map<ZoneId, proto::ZoneSummary>& ZoneSummaries() const;

  // The incarnation of this process, for PeerEnvelope.incarnation. Increases
  // when another process has used this daemon's id with a larger one.
  std::uint64_t Incarnation() const;

  MembershipCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_
