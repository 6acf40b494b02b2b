#ifndef WALNUTWING_ROUTER_FLEET_MEMBERS_H_
#define WALNUTWING_ROUTER_FLEET_MEMBERS_H_

// Which daemons the fleet has. This daemon announces itself periodically in the
// members' topic of the platform's store and reads the others' announcements
// there. What follows from the members is passed on: the size of the fleet to
// the Context, the members to those that share work by them.

#include <cstdint>
#include <functional>
#include <memory>

#include "router/context.h"
#include "router/store_channel.h"
#include "router/topic_feed.h"
#include "walnutwing/routing/fleet_roster.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class FleetMembers
{
public:
  // Handles a record of the topic that is no announcement; returns false if it
  // is one.
  using OnOtherRecord = std::function<bool(const platform::StoreRecord&)>;

  // aOnSnapshot: called when the complete topic was read.
  FleetMembers(Context& aContext,
               LoadExchange& aExchange,
               OnOtherRecord aOnOtherRecord,
               std::function<void()> aOnSnapshot);
  FleetMembers(const FleetMembers&) = delete;
  FleetMembers& operator=(const FleetMembers&) = delete;

  void Start() { Announce(); }

  // The store may have lost this daemon's announcement.
  void AnnounceAgain();

  TopicFeed& Feed() { return m_feed; }

  // Calls to the store and bytes of its responses, since the start.
  std::uint64_t StoreCalls() const
  {
    return m_feed.Channel().Calls() + m_channel->Calls();
  }
  std::uint64_t StoreBytesRead() const
  {
    return m_feed.Channel().BytesRead() + m_channel->BytesRead();
  }

private:
  RosterMember MakeOwnRecord() const;
  void Announce();
  void OnAnnounced(const StoreResponse& aResponse);
  void ScheduleMemberReads();
  void OnMemberUpdate(const TopicUpdate& aUpdate);

  Context& m_context;
  LoadExchange& m_exchange;
  OnOtherRecord m_onOtherRecord;
  std::function<void()> m_onSnapshot;
  FleetRoster m_roster;
  TopicFeed m_feed;
  std::shared_ptr<StoreChannel> m_channel; // for announcements
  Timer m_announceTimer;
  Timer m_memberReadTimer;
  Time m_startedAt = Now();
  bool m_announced = false; // once at least
  bool m_memberReadsScheduled = false;
  bool m_announcing = false;    // a call is in flight
  bool m_announceAgain = false; // once that call has ended
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_FLEET_MEMBERS_H_
