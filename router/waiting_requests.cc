#include "router/waiting_requests.h"

#include <utility>
#include <vector>

#include "router/context.h"

namespace walnutwing::router {
namespace {

// How often it is checked whose turn it is, while requests wait.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);

} // namespace

WaitingRequests::WaitingRequests(Context& aContext)
  : m_context(aContext)
  , m_timer(aContext.m_loop.get_executor())
{
}

double
WaitingRequests::Ahead(const ServiceId& aService,
                       std::uint32_t aPriority,
                       const ServiceRoom& aRoom)
{
  return m_rooms[aService].Ahead(aPriority, aRoom);
}

WaitingVerdict
WaitingRequests::Offer(const ServiceId& aService,
                       const WaitingRequest& aRequest,
                       const ServiceRoom& aRoom,
                       Duration aWait,
                       bool aOnTime,
                       OnWaitEnd aOnWaitEnd)
{
  WaitingRoom& room = m_rooms[aService];
  const WaitingVerdict verdict =
    room.Offer(aRequest, aRoom, aWait, aOnTime, Now());
  if (verdict == WaitingVerdict::Wait) {
    m_onWaitEnd[aRequest.m_id] = std::move(aOnWaitEnd);
    Report(aService, room);
    ScheduleTick();
  }
  return verdict;
}

void
WaitingRequests::Remove(const ServiceId& aService, WaitingId aId)
{
  if (m_onWaitEnd.erase(aId) == 0) {
    return;
  }
  WaitingRoom& room = m_rooms[aService];
  room.Remove(aId);
  Report(aService, room);
}

// The requests whose turn it is are called from the loop, as this one is not
// done yet with the attempt that has ended.
void
WaitingRequests::OnEnded(const ServiceId& aService)
{
  const auto found = m_rooms.find(aService);
  if (found == m_rooms.end() || found->second.Empty()) {
    return;
  }
  found->second.OnEnded();
  if (!std::exchange(m_advancesSoon, true)) {
    asio::post(m_context.m_loop, [this] {
      m_advancesSoon = false;
      Tick();
    });
  }
}

void
WaitingRequests::ScheduleTick()
{
  if (std::exchange(m_ticks, true)) {
    return;
  }
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const error_code& aError) {
    if (aError) {
      return;
    }
    m_ticks = false;
    Tick();
  });
}

void
WaitingRequests::Tick()
{
  bool anyWaits = false;
  for (auto& [service, room] : m_rooms) {
    if (!room.Empty()) {
      Advance(service, room);
    }
    anyWaits = anyWaits || !room.Empty();
  }
  if (anyWaits) {
    ScheduleTick();
  }
}

void
WaitingRequests::Advance(const ServiceId& aService, WaitingRoom& aRoom)
{
  SelectionRequest selection;
  selection.m_service = aService;
  selection.m_daemons = m_context.m_daemons;
  const Time now = Now();
  ServiceRoom view = m_context.m_selector.Choose(selection, now).m_room;
  view.m_slotTime = m_context.AdmissionOf(aService).SlotTime();
  const WaitingRoom::Turns turns = aRoom.Advance(view, now, m_context.m_random);
  Report(aService, aRoom);
  for (const WaitingId id : turns.m_send) {
    Call(id, WaitEnd::Turn);
  }
  for (const WaitingId id : turns.m_refuse) {
    Call(id, WaitEnd::Refuse);
  }
}

void
WaitingRequests::Call(WaitingId aId, WaitEnd aEnd)
{
  // One that is called may remove others.
  auto node = m_onWaitEnd.extract(aId);
  if (!node.empty()) {
    node.mapped()(aEnd);
  }
}

void
WaitingRequests::Report(const ServiceId& aService, const WaitingRoom& aRoom)
{
  m_context.m_selector.SetWaiting(aService, aRoom.Counts());
  m_context.m_metrics.Gauge("requests_waiting",
                            "service=\"" + aService.Value() + "\"") =
    static_cast<double>(aRoom.Size());
}

} // namespace walnutwing::router
