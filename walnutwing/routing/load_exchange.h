#ifndef WALNUTWING_ROUTING_LOAD_EXCHANGE_H_
#define WALNUTWING_ROUTING_LOAD_EXCHANGE_H_

// Distributes the number of requests in progress at each upstream among the
// daemons of the fleet.
//
// Each zone has a hub: the first of its daemons in the order of RankHubs from
// which messages arrive. In every period, each daemon reports its own requests
// to its hub. The hub adds them up, sends the sum to the hubs of the other
// zones, and sends each daemon of its zone a digest of the requests of all
// other daemons. A daemon therefore sends and receives one message per period,
// regardless of the size of the fleet; a hub sends one per daemon of its zone
// and two per other zone. When a hub is silent, the next in order takes over;
// in the meantime daemons use the upstreams' own load reports.
//
// Every message replaces the previous one, so a lost message is made up for in
// the next period.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/fleet_roster.h"

namespace walnutwing {

// Requests in progress by upstream; the key is the upstream's LoadKey. Also
// counts that belong to a service (service_demand.h).
using UpstreamLoads = std::unordered_map<std::uint32_t, std::uint32_t>;

// A 32-bit hash of the upstream's id, the same at every daemon.
std::uint32_t
LoadKey(const UpstreamId& aUpstream);

enum class LoadMessageKind
{
  Report,  // a daemon's own requests, sent to its hub
  ZoneSum, // the requests of all daemons of a zone, to hubs of other zones
  Digest,  // the requests of all daemons but the receiver, sent by its hub
};

struct LoadMessage
{
  LoadMessageKind m_kind = LoadMessageKind::Report;
  std::string m_to; // the receiver's address
  UpstreamLoads m_loads;
};

struct LoadExchangeOptions
{
  // The period is m_periodPerMember times the members of the zone, within these
  // limits, so that hubs of large zones can keep up.
  Duration m_minPeriod = std::chrono::milliseconds(100);
  Duration m_periodPerMember = std::chrono::milliseconds(3);
  Duration m_maxPeriod = std::chrono::milliseconds(300);
  // Older messages are not used, and a daemon from which no message came for
  // this long counts as silent.
  Duration m_lifetime = std::chrono::milliseconds(1000);
};

class LoadExchange
{
public:
  LoadExchange(DaemonId aSelf, ZoneId aZone, LoadExchangeOptions aOptions);

  // Replaces the known members; the hub stays if it is still a member.
  void SetMembers(std::vector<RosterMember> aMembers, Time aNow);

  // A message from another daemon was received.
  void OnReport(const DaemonId& aFrom, UpstreamLoads aLoads, Time aNow);
  void OnZoneSum(const DaemonId& aFrom,
                 const ZoneId& aZone,
                 UpstreamLoads aLoads,
                 Time aNow);
  // Returns false if the sender is not this daemon's hub; the digest is then
  // ignored. aOwn: this daemon's own requests now.
  bool OnDigest(const DaemonId& aFrom,
                UpstreamLoads aLoads,
                UpstreamLoads aOwn,
                Time aNow);

  Duration Period() const;

  // A hash of the names of the known members, independent of their order, so
  // that two daemons can check whether they know the same members.
  std::uint32_t RosterHash() const;

  // Returns the messages to send; to be called once every Period. aOwn: this
  // daemon's own requests now.
  std::vector<LoadMessage> OnPeriod(const UpstreamLoads& aOwn, Time aNow);

  // Estimated requests of all other daemons at the upstream with the LoadKey
  // aUpstream; nullopt if they are not known or older than m_lifetime. aOwn:
  // this daemon's own requests there now. If they have grown by more than one
  // since the last update, the upstream is probably in high demand, and the
  // same growth beyond one is assumed for each other daemon.
  std::optional<double> OtherDaemonsLoad(std::uint32_t aUpstream,
                                         std::uint32_t aOwn,
                                         Time aNow) const;

  // The sum of what all other daemons reported under a key; nullopt if it is
  // not known or older than m_lifetime.
  std::optional<double> ReportedByOthers(std::uint32_t aKey, Time aNow) const;

  // The age of the data on the other daemons' requests; nullopt if they are not
  // known or older than m_lifetime.
  std::optional<Duration> OtherLoadsAge(Time aNow) const;

  // The hub of this daemon's zone, which may be this daemon. Empty if no member
  // of the zone is known.
  DaemonId Hub() const;
  bool IsHub() const { return Hub() == m_self; }

  // This daemon's rank among those that act for the fleet if the ones before
  // them don't: the hubs in the order of their zones, then the daemons that
  // would follow them as hubs, aPerZone daemons of each zone in total. nullopt
  // for any other daemon.
  std::optional<std::uint32_t> RankAmongHubs(std::size_t aPerZone) const;

  // Whether a known member has that name.
  bool HasMember(const DaemonId& aName) const;

private:
  struct ReceivedLoads
  {
    UpstreamLoads m_loads;
    Time m_receivedAt;
  };

  void AdvanceHub(Time aNow);
  bool IsFresh(Time aAt, Time aNow) const;
  template<typename Id>
  UpstreamLoads SumFreshLoads(const std::map<Id, ReceivedLoads>& aReceived,
                              Time aNow) const;
  std::vector<std::string> OtherZoneHubs() const;

  DaemonId m_self;
  ZoneId m_zone;
  LoadExchangeOptions m_options;
  std::vector<RosterMember> m_members;
  // The daemons of this zone, as ranked by RankHubs.
  std::vector<RosterMember> m_hubCandidates;
  // Addresses of the daemons of other zones that receive this zone's sum.
  std::vector<std::string> m_otherZoneHubs;
  std::size_t m_hubIndex = 0; // of the current hub in m_hubCandidates
  Time m_hubSince;            // when it became the hub
  std::map<DaemonId, Time> m_lastReceivedAt;
  // Reports of the other daemons of this zone, if this daemon is the hub.
  std::map<DaemonId, ReceivedLoads> m_reports;
  std::map<ZoneId, ReceivedLoads> m_zoneSums; // of the other zones
  // Requests of all other daemons, from the last digest or, at the hub, from
  // its own sums.
  UpstreamLoads m_otherLoads;
  UpstreamLoads m_ownLoadsAtUpdate; // own requests when m_otherLoads was set
  std::optional<Time> m_otherLoadsAt;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_LOAD_EXCHANGE_H_
