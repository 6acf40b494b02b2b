#ifndef WALNUTWING_ROUTER_FLEET_STATE_H_
#define WALNUTWING_ROUTER_FLEET_STATE_H_

// This process's view of the fleet: the configuration in force, the zones that
// are out, the upstreams and the other daemons. It is updated from three topics
// of the platform's store and from messages of other daemons, and publishes to
// the Context what requests need.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "router/context.h"
#include "router/fleet_members.h"
#include "router/peers.h"
#include "router/rollout_keeper.h"
#include "router/send_permits.h"
#include "router/standstill.h"
#include "router/store_channel.h"
#include "router/stream_journal.h"
#include "router/stream_version_exchange.h"
#include "router/stream_version_store.h"
#include "router/topic_feed.h"
#include "router/topic_tail.h"
#include "router/trait_block_store.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/upstream_directory.h"

namespace walnutwing::router {

class FleetState
{
public:
  // aExchange must be the one that the context's selector uses. Throws
  // boost::system::system_error if the peer address cannot be bound.
  FleetState(Context& aContext, LoadExchange& aExchange);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;

  void Start();

  // Must be called several times a second.
  void Tick(Time aNow);

  // Applies changed time limits of the context's settings.
  void OnSettingsChanged();

  // Whether requests can be served: a configuration is in force, the list of
  // upstreams was read, and it is not empty.
  bool CanServe() const;

  // Calls to the store and bytes of its responses, since the start.
  std::uint64_t StoreCalls() const;
  std::uint64_t StoreBytesRead() const;

private:
  void OnStoreHealth(bool aAvailable);
  void OnStoreEra(const std::string& aTopic, const EraChange& aChange);

  void OnOperatorUpdate(const TopicUpdate& aUpdate);
  void ApplyNewestConfig(const std::vector<platform::StoreRecord>& aRecords);
  void ApplyConfig(RoutingConfig aConfig);
  void SetZonesOut(const std::set<ZoneId>& aZones);
  Duration MaxColdTime() const;

  void OnUpstreamUpdate(const TopicUpdate& aUpdate);
  // Whether the list of upstreams is as the store had it a moment ago.
  bool HasFreshUpstreams() const;
  void NoteStandstill();
  // Reads from the store which version began streams, which services have one
  // version only, and what has changed in the list of upstreams. Calls aOnRead
  // with whether the list is up to date after that.
  void AskStoreForVersions(std::function<void(bool aFresh)> aOnRead);
  void NoteVersions(const std::vector<platform::StoreRecord>& aRecords);
  void UpdateVersions();
  std::optional<UpstreamEntry> ReadUpstream(
    const platform::StoreRecord& aRecord);
  void OnUpstreamChange(const UpstreamId& aId, UpstreamChange aChange);
  // aFrom: "answer", or the daemon that heard it.
  void OnUpstreamLeaving(const UpstreamId& aId,
                         std::int64_t aStartWallMs,
                         std::string_view aFrom);

  EventLog::Line LogLine(Event aEvent)
  {
    return { m_context.m_log, aEvent, Now() };
  }

  Context& m_context;
  LoadExchange& m_exchange;
  UpstreamDirectory m_directory;
  TopicFeed m_operatorFeed;
  TopicFeed m_upstreamFeed;
  FleetMembers m_members;
  Peers m_peers;
  SendPermits m_permits;
  TraitBlockStore m_traitBlocks;
  StreamVersionExchange m_streamExchange;
  StreamVersionStore m_streamVersionStore;
  StreamJournal m_streamJournal;
  RolloutKeeper m_rollouts;
  TopicTail m_upstreamTail; // for questions about versions
  Standstill m_standstill;
  Time m_trustedFrom; // confirmations before it may have waited in a socket
  std::set<ZoneId> m_zonesOut;
  bool m_upstreamsChanged = false; // since UpdateVersions
  std::uint64_t m_storeEra = 0;    // the newest that the store has stated
  Time m_restoredZonesUntil;       // see OnOperatorUpdate
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_FLEET_STATE_H_
