#ifndef WALNUTWING_ROUTER_ROLLOUT_KEEPER_H_
#define WALNUTWING_ROUTER_ROLLOUT_KEEPER_H_

// Connects the version roll-outs of this daemon (walnutwing/rollout/rollouts.h)
// with the platform: passes on the operators' orders, reads and writes the
// statuses in the store, and tells the roll-outs several times a second what is
// known of the fleet.
//
// The statuses are read once when an order is there, and again after a write
// that failed and after a restore of the store. A status is written only if
// nothing was written to its topic since it was read, so that of two daemons
// that write at once one is refused. What others write is heard of in their
// datagrams.
//
// Without an order nothing is called, sent or logged.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/rollout_codec.h"
#include "router/context.h"
#include "router/store_channel.h"
#include "router/topic_follower.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/upstream_directory.h"

namespace walnutwing::router {

class RolloutKeeper
{
public:
  // aOnNews: called when the other daemons should hear of a roll-out soon. All
  // references must outlive this object.
  RolloutKeeper(Context& aContext,
                const LoadExchange& aExchange,
                const UpstreamDirectory& aDirectory,
                std::function<void()> aOnNews);
  RolloutKeeper(const RolloutKeeper&) = delete;
  RolloutKeeper& operator=(const RolloutKeeper&) = delete;

  // The operators' topic was read. aEra: of the store. aIsComplete: an order
  // that the update lacks was withdrawn.
  void OnOperatorUpdate(const TopicUpdate& aUpdate,
                        std::uint64_t aEra,
                        bool aIsComplete);

  // The store was restored from an older copy, which may lack statuses.
  void OnStoreRestored() { m_readIsDue = true; }

  // Must be called several times a second.
  void Tick(const std::set<ZoneId>& aZonesOut, Time aNow);

  const StoreChannel& Channel() const { return *m_channel; }

private:
  struct Held
  {
    RolloutHold m_heldBy = RolloutHold::None;
    Time m_since;
    RolloutHold m_logged = RolloutHold::None;
  };

  void OnOrderRecord(const platform::StoreRecord& aRecord, std::uint64_t aEra);
  void Withdraw(const ServiceId& aService);
  // Passes on the orders whose services are known by now.
  void ReleaseOrders();
  bool IsKnown(const ServiceId& aService) const;
  // Logs a refused record once.
  void Refuse(const platform::StoreRecord& aRecord,
              const platform::RolloutInputError& aError);

  RolloutFleetView MakeView(const RolloutOrder& aOrder,
                            const UpstreamLoads& aOwnLoads,
                            const std::set<ZoneId>& aZonesOut,
                            Time aNow) const;
  Duration MaxTimeout(const ServiceId& aService) const;

  void ReadStatuses(Time aNow);
  void ReadPage();
  void OnPage(const StoreResponse& aResponse);
  void OnStatusesRead();
  void WriteNext(Time aNow);
  void Write(const RolloutStatus& aStatus);
  void OnWritten(const RolloutStatus& aStatus, const StoreResponse& aResponse);

  void LogChanges(Time aNow);
  void LogHolds(Time aNow);
  void UpdateMetrics(Time aNow);

  Context& m_context;
  const LoadExchange& m_exchange;
  const UpstreamDirectory& m_directory;
  std::function<void()> m_onNews;
  std::shared_ptr<StoreChannel> m_channel;

  std::set<ServiceId> m_ordered; // with an order that was passed on
  std::map<ServiceId, RolloutOrder> m_waiting; // for their services
  // By key: offset and text of the last record that was refused.
  std::map<std::string, std::pair<std::uint64_t, std::string>> m_refused;

  bool m_calling = false;  // the store
  bool m_readIsDue = true; // of the statuses
  Time m_nextCallAt;
  std::string m_pageCursor;
  std::optional<std::uint64_t> m_firstPageEnd;
  std::vector<platform::StoreRecord> m_statuses; // of the pages read so far
  // Where the topic of statuses ended when it was read or written; nullopt: the
  // statuses have to be read first.
  std::optional<std::uint64_t> m_end;

  std::map<ServiceId, Held> m_held;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROLLOUT_KEEPER_H_
