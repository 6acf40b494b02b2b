#ifndef WALNUTWING_ROUTER_WAITING_REQUESTS_H_
#define WALNUTWING_ROUTER_WAITING_REQUESTS_H_

// The requests that wait at this router for room at their upstreams, by
// service. walnutwing/admission/waiting_room.h decides whose turn it is; this
// class gives it the loads and the time, and calls the requests.

#include <functional>
#include <map>

#include "router/asio.h"
#include "walnutwing/admission/waiting_room.h"
#include "walnutwing/base/id.h"

namespace walnutwing::router {

struct Context;

enum class WaitEnd
{
  Turn,   // the request may be sent
  Refuse, // it has waited too long, or a more urgent one took its place
};

class WaitingRequests
{
public:
  using OnWaitEnd = std::function<void(WaitEnd aEnd)>;

  // aContext must outlive this object.
  explicit WaitingRequests(Context& aContext);

  // An id for a request; unique in this process.
  WaitingId NewId() { return ++m_lastId; }

  // Requests of the fleet that would be sent before a new one.
  double Ahead(const ServiceId& aService,
               std::uint32_t aPriority,
               const ServiceRoom& aRoom);

  // See WaitingRoom::Offer. If the request waits, aOnWaitEnd is called once
  // from the loop, unless Remove is called before.
  WaitingVerdict Offer(const ServiceId& aService,
                       const WaitingRequest& aRequest,
                       const ServiceRoom& aRoom,
                       Duration aWait,
                       bool aOnTime,
                       OnWaitEnd aOnWaitEnd);

  // The request no longer waits. Does nothing if it does not.
  void Remove(const ServiceId& aService, WaitingId aId);

  // An attempt at an upstream of the service has ended.
  void OnEnded(const ServiceId& aService);

private:
  void ScheduleTick();
  void Tick();
  void Advance(const ServiceId& aService, WaitingRoom& aRoom);
  void Call(WaitingId aId, WaitEnd aEnd);
  void Report(const ServiceId& aService, const WaitingRoom& aRoom);

  Context& m_context;
  Timer m_timer;
  bool m_ticks = false;
  bool m_advancesSoon = false;
  WaitingId m_lastId = 0;
  std::map<ServiceId, WaitingRoom> m_rooms;
  std::map<WaitingId, OnWaitEnd> m_onWaitEnd;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_WAITING_REQUESTS_H_
