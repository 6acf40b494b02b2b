#ifndef WALNUTWING_ROUTING_LOAD_EXCHANGE_H_
#define WALNUTWING_ROUTING_LOAD_EXCHANGE_H_

// How daemons learn what the others have in progress at each upstream.
//
// Each zone has a hub, the first of its daemons in RankHubs' order that is
// heard of. Daemons report their requests to it in every period; it adds them
// up, tells the sum to the hubs of the other zones, and tells each of its
// daemons what all others carry. A daemon thus sends and receives one message a
// period, whatever the fleet's size; a hub as many as its zone has daemons, and
// two for each other zone. When a hub falls silent the next in order takes
// over; meanwhile daemons go by what upstreams say of their load.
//
// Every message replaces the one before, so a lost one costs a period.

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

// Requests in progress by upstream (a hash of its id).
using UpstreamLoads = std::unordered_map<std::uint32_t, std::uint32_t>;

std::uint32_t
LoadKey(const UpstreamId& aUpstream);

enum class LoadMessageKind
{
  Report,  // a daemon's own requests, to its hub
  ZoneSum, // those of a zone's daemons, to the hubs of other zones
  Digest,  // those of all daemons but the receiver, from its hub
};

struct LoadMessage
{
  LoadMessageKind m_kind = LoadMessageKind::Report;
  std::string m_to; // address
  UpstreamLoads m_loads;
};

struct LoadExchangeOptions
{
  // Between two messages; longer in large zones, so that their hubs keep up.
  Duration m_minPeriod = std::chrono::milliseconds(100);
  Duration m_periodPerMember = std::chrono::milliseconds(3);
  Duration m_maxPeriod = std::chrono::milliseconds(300);
  // What was heard longer ago is not used, and who was not heard for so long is
  // taken for silent.
  Duration m_lifetime = std::chrono::milliseconds(1000);
};

class LoadExchange
{
public:
  LoadExchange(DaemonId aSelf, ZoneId aZone, LoadExchangeOptions aOptions);

  void SetMembers(std::vector<RosterMember> aMembers, Time aNow);

  void OnReport(const DaemonId& aFrom, UpstreamLoads aLoads, Time aNow);
  void OnZoneSum(const DaemonId& aFrom,
                 const ZoneId& aZone,
                 UpstreamLoads aLoads,
                 Time aNow);
  // False when it is not from the hub, and to be passed over.
  // aOwn: this daemon's own requests now.
  bool OnDigest(const DaemonId& aFrom,
                UpstreamLoads aLoads,
                UpstreamLoads aOwn,
                Time aNow);

  Duration Period() const;

  // Stands for the daemons that are known; the same at daemons that know the
  // same ones.
  std::uint32_t RosterHash() const;

  // To be called every period: what to send.
  std::vector<LoadMessage> OnPeriod(const UpstreamLoads& aOwn, Time aNow);

  // Requests of all other daemons at an upstream; nothing while that is not
  // known. aOwn: this daemon's own requests there now. When they have grown by
  // more than one since the others' were heard, the upstream is one that many
  // requests want, and the other daemons are taken to send there as well.
  std::optional<double> OtherDaemonsLoad(std::uint32_t aUpstream,
                                         std::uint32_t aOwn,
                                         Time aNow) const;

  // How long ago the other daemons' requests were heard; nothing while they are
  // not known.
  std::optional<Duration> OtherLoadsAge(Time aNow) const;

  // The hub of the own zone; may be this daemon. Empty before any member is
  // known.
  DaemonId Hub() const;
  bool IsHub() const { return Hub() == m_self; }

  // Whether a daemon of the roster has that name.
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
  std::vector<RosterMember> m_hubCandidates; // of the own zone, in order
  // Addresses of the other zones' daemons that are told this zone's sum.
  std::vector<std::string> m_otherZoneHubs;
  std::size_t m_hubIndex = 0; // index of the one in use
  Time m_hubSince;            // when it came into use
  std::map<DaemonId, Time> m_lastReceivedAt;
  std::map<DaemonId, ReceivedLoads>
    m_reports;                                // of the own zone's other daemons
  std::map<ZoneId, ReceivedLoads> m_zoneSums; // of the other zones
  UpstreamLoads m_otherLoads;                 // by the last digest, or as hub
  UpstreamLoads m_ownLoadsAtUpdate;           // own requests at that time
  std::optional<Time> m_otherLoadsAt;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_LOAD_EXCHANGE_H_
