#ifndef WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_
#define WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_

// Which daemons there are, as one daemon sees it.
//
// Failure detection in the manner of SWIM within an availability zone: each
// daemon pings one member of its zone each period, asks others to ping when no
// answer comes, suspects, and declares dead unless the member refutes. What
// changes is spread as deltas on the pings and their answers. Between zones a
// few relays of each zone, picked by rendezvous hashing, ping each other's zone
// and pass the deltas on. A zone that none of the own zone's relays reaches is
// unreachable, and its members are down, until one does.
//
// Views of different daemons differ for seconds, and for as long as a partition
// lasts; they agree again some seconds after it heals. Nothing here is a
// promise that only one daemon believes something.
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
  Duration m_probePeriod{ 1000 };   // each member pings one other each period
  Duration m_ackTimeout{ 300 };     // then others are asked to ping
  Duration m_suspicionTime{ 4000 }; // a suspect that does not refute is dead
  std::uint32_t m_indirectProbes = 3;

  // Between zones.
  std::uint32_t m_relaysPerZone = 2;
  Duration m_zoneProbePeriod{ 500 }; // a relay pings one other zone each time
  Duration m_zoneAckTimeout{ 1000 };
  std::uint32_t m_zoneFailureThreshold = 3; // in a row make a zone unreachable
  Duration m_linkRefresh{ 10000 };   // how often "unreachable" is repeated
  Duration m_linkLifetime{ 30000 };  // and how long it holds
  Duration m_summaryPeriod{ 10000 }; // at most one summary of the zone each

  // Spreading.
  Duration m_gossipInterval{ 250 };    // extra messages while deltas wait
  std::uint32_t m_retransmits = 8;     // of each delta by each member
  std::uint32_t m_loadRetransmits = 3; // of load figures
  std::uint32_t m_zoneRetransmits = 2; // to each other zone by each relay
  std::size_t m_maxGossipBytes = 1000; // of deltas in one message
  std::size_t m_maxSyncBytes = 4000;   // of one repair of differing views
  Duration m_syncInterval{ 2000 };     // between repairs
  Duration m_upstreamInterval{ 2000 }; // between words on one upstream's load
  Duration m_upstreamRefresh{ 15000 }; // unchanged upstreams are repeated

  // Joining and forgetting.
  Duration m_contactPeriod{ 10000 }; // between pings to lost members and seeds
  Duration m_listGracePeriod{
    60000
  };                                // after the start, listed VMs count as up
  Duration m_forgetAfter{ 600000 }; // dead members that the list has not

  // Flap damping: each death or restart adds a point, points halve with the
  // half-life; a member is held down above the limit until below the release.
  Duration m_flapHalfLife{ 60000 };
  double m_flapSuppressThreshold = 2.5;
  double m_flapReuseThreshold = 1.0;
};

// Who this daemon is.
struct MembershipSelf
{
  DaemonId m_daemon;
  ZoneId m_zone;
  RegionId m_region;
  std::string m_peerAddress;       // IP:port
  std::uint64_t m_incarnation = 0; // larger after each start; Unix ms will do
};

enum class MemberStatus
{
  Alive,
  Suspect, // did not answer; still used
  Dead,
  Leaving, // finishes what it has and takes nothing new
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
  bool m_reachable = true; // its zone is
  bool m_damped = false;   // held down because it flaps
  // As last heard. Exact within the own zone; for other zones see
  // ZoneSummary.lowest_config_version.
  std::uint64_t m_configVersion = 0;
  // Between MemberUp and the MemberLeaving or MemberDown that follows: may own
  // upstreams and take new work.
  bool m_up = false;
};

// Actions.

// Send one envelope with these messages. Its bytes have been charged to the
// budget already. m_to is empty when only the address is known.
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

// Dead, unreachable, damped, or restarted (a MemberUp with a larger incarnation
// follows at once): what it owned or had in progress is gone for this daemon.
struct MemberDown
{
  DaemonId m_daemon;
};

struct MemberLeaving
{
  DaemonId m_daemon;
};

// An owner's word on its upstream that is newer than what was known.
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
  std::uint64_t m_refutations = 0;    // of words on this daemon
  std::uint64_t m_syncs = 0;          // repairs of differing views
  std::uint64_t m_budgetRefusals = 0; // messages not sent for want of budget
  std::uint64_t m_pauses = 0;         // times this process was found frozen
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

  // Call every 50 to 200 ms. A longer gap is taken as a pause of this process,
  // and nobody is accused for it.
  void OnTick(Time aNow, MembershipActions& aActions);

  // A message of an envelope from a peer. False, and nothing done, when it is
  // none of Ping, Ack, PingRequest and Gossip.
  bool OnMessage(const DaemonId& aFrom,
                 const proto::PeerMessage& aMessage,
                 Time aNow,
                 MembershipActions& aActions);

  // The platform's list. It lags: it names dead VMs and misses new ones. Call
  // with each list that was read; while the platform is away, with none.
  void OnVmList(const proto::VmList& aList,
                Time aNow,
                MembershipActions& aActions);

  // A graceful shutdown begins: tells the others. Go on calling OnTick and
  // OnMessage until the process ends.
  void OnStop(Time aNow, MembershipActions& aActions);

  // The configuration version that this daemon has in force.
  void SetConfigVersion(std::uint64_t aVersion);

  // This daemon owns the upstream and knows this of it. Call as often as it
  // changes: small changes of load are held back, and sequence and incarnation
  // are filled in here.
  void SetUpstreamState(proto::UpstreamState aState, Time aNow);

  // All known members by id, this daemon included.
  std::vector<MemberView> View() const;

  // The relays of a zone in this view.
  std::vector<DaemonId> RelaysOf(const ZoneId& aZone) const;

  // Whether a relay of this zone reaches the zone, as far as is known.
  bool ZoneReachable(const ZoneId& aZone) const;

  // The newest known states of the own zone's upstreams, and the newest sums of
  // all zones.
  const std::map<UpstreamId, proto::UpstreamState>& Upstreams() const;
  const std::map<ZoneId, proto::ZoneSummary>& ZoneSummaries() const;

  // Of this process: for PeerEnvelope.incarnation. Grows when another process
  // has used this daemon's id with a larger one.
  std::uint64_t Incarnation() const;

  MembershipCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_MEMBERSHIP_H_
