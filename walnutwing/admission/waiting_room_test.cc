#include "walnutwing/admission/waiting_room.h"

#include <algorithm>
#include <deque>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{ milliseconds(1'000'000) };
constexpr double kSlots = 24;
constexpr std::size_t kAllSlots = 24; // the same, as a count
constexpr Duration kTarget{ 200 };    // for the start
constexpr Duration kTimeLimit{ 3000 };

// Upstreams of 6 slots each, all with the same load.
ServiceRoom
MakeRoom(double aLoad, Time aCountedAt = kStart, double aSlots = kSlots)
{
  ServiceRoom room;
  room.m_known = true;
  room.m_countedAt = aCountedAt;
  room.m_slots = aSlots;
  room.m_slotTime = Duration(60);
  room.m_load = aLoad;
  room.m_leastSlots = 6;
  room.m_leastLoad = aLoad * room.m_leastSlots / aSlots;
  return room;
}

WaitingRequest
MakeRequest(WaitingId aId,
            std::uint32_t aPriority = 0,
            const std::string& aCustomer = "c")
{
  WaitingRequest request;
  request.m_id = aId;
  request.m_priority = aPriority;
  request.m_startBy = kStart + kTarget;
  request.m_deadline = kStart + kTimeLimit;
  request.m_customer = CustomerId(aCustomer);
  request.m_bytes = 100;
  return request;
}

// All upstreams have twice their slots.
const ServiceRoom kFull = MakeRoom(2 * kSlots);

void
AddWaiting(WaitingRoom& aRoom,
           const WaitingRequest& aRequest,
           Time aNow = kStart)
{
  ASSERT_EQ(WaitingVerdict::Wait,
            aRoom.Offer(aRequest, kFull, Duration(60), true, aNow));
}

// The order in which the requests are sent, one for each that ends.
std::vector<WaitingId>
SendAll(WaitingRoom& aRoom)
{
  std::mt19937_64 random(1);
  std::vector<WaitingId> order;
  aRoom.Advance(kFull, kStart, random);
  while (!aRoom.Empty()) {
    aRoom.OnEnded();
    const ServiceRoom room = MakeRoom(2 * kSlots - 1);
    for (const WaitingId id : aRoom.Advance(room, kStart, random).m_send) {
      order.push_back(id);
    }
  }
  return order;
}

// Guards against refusals, and waits, at upstreams with free slots.
TEST(WaitingRoom, SendsAtOnceWhileASlotIsFree)
{
  WaitingRoom room;
  for (double load = 0; load <= kSlots - 4; ++load) {
    EXPECT_EQ(
      WaitingVerdict::Send,
      room.Offer(MakeRequest(1, 9), MakeRoom(load), Duration(0), true, kStart));
  }
}

// Failure: the digests stop, or the last upstream is lost, while requests wait.
TEST(WaitingRoom, SendsAllWhenLoadsAreNoLongerKnown)
{
  WaitingRoom room;
  AddWaiting(room, MakeRequest(1));
  AddWaiting(room, MakeRequest(2, 3));
  std::mt19937_64 random(1);
  const auto turns = room.Advance(ServiceRoom(), kStart, random);
  EXPECT_EQ((std::vector<WaitingId>{ 1, 2 }), turns.m_send);
  EXPECT_EQ(WaitingVerdict::Send,
            room.Offer(MakeRequest(3), ServiceRoom(), {}, true, kStart));
}

// Load: a burst of long, less urgent drafts under a steady chat.
TEST(WaitingRoom, ChatDoesNotWaitBehindABurstOfDrafts)
{
  WaitingRoom room;
  for (WaitingId id = 1; id <= 40; ++id) {
    WaitingRequest draft = MakeRequest(id, 1);
    draft.m_cost = 12'000;
    AddWaiting(room, draft);
  }
  EXPECT_EQ(40, room.Ahead(1, kFull));
  EXPECT_EQ(0, room.Ahead(0, kFull));
  AddWaiting(room, MakeRequest(100, 0));
  EXPECT_EQ(100, SendAll(room).front());
}

// Load: the same, with the room used up by the drafts.
TEST(WaitingRoom, UrgentRequestTakesThePlaceOfThePatient)
{
  WaitingRoomOptions options;
  options.m_maxRequests = 2;
  WaitingRoom room(options);
  AddWaiting(room, MakeRequest(1, 1));
  AddWaiting(room, MakeRequest(2, 1));
  EXPECT_EQ(WaitingVerdict::Refuse,
            room.Offer(MakeRequest(3, 1), kFull, Duration(60), true, kStart));
  AddWaiting(room, MakeRequest(4, 0));
  std::mt19937_64 random(1);
  EXPECT_EQ((std::vector<WaitingId>{ 2 }),
            room.Advance(kFull, kStart, random).m_refuse);
}

// Load: two hot customers. They wait behind the others, and by turns.
TEST(WaitingRoom, HotCustomersWaitBehindTheOthersButGetTheirTurn)
{
  WaitingRoom room;
  for (WaitingId id = 1; id <= 10; ++id) {
    AddWaiting(room, MakeRequest(id, 0, "hot1"));
    AddWaiting(room, MakeRequest(10 + id, 0, "hot2"));
  }
  AddWaiting(room, MakeRequest(21, 0, "a"));
  AddWaiting(room, MakeRequest(22, 0, "b"));
  const std::vector<WaitingId> order = SendAll(room);
  const std::vector<WaitingId> first(order.begin(), order.begin() + 6);
  EXPECT_EQ((std::vector<WaitingId>{ 1, 11, 21, 22, 2, 12 }), first);
  EXPECT_EQ(22U, order.size());
}

// Load: callers that repeat at once. Their requests do not overtake others, and
// no more wait than the bounds allow.
TEST(WaitingRoom, RepeatsOvertakeNobodyAndAreBounded)
{
  WaitingRoomOptions options;
  options.m_maxRequests = 20;
  WaitingRoom room(options);
  AddWaiting(room, MakeRequest(1, 0, "calm"));
  std::size_t refused = 0;
  for (WaitingId id = 2; id <= 101; ++id) {
    WaitingRequest repeat = MakeRequest(id, 0, "repeats");
    repeat.m_startBy = kStart + kTarget + Duration(1);
    refused += room.Offer(repeat, kFull, Duration(60), true, kStart) ==
                   WaitingVerdict::Refuse
                 ? 1
                 : 0;
  }
  EXPECT_EQ(81U, refused);
  EXPECT_EQ(1U, SendAll(room).front());
}

// Load: a zone falls out at its peak. Nothing is sent to the other upstreams
// before they have room, and what cannot wait for it is refused in time for its
// caller to come back.
TEST(WaitingRoom, LossOfAZoneHoldsRequestsUntilThereIsRoom)
{
  WaitingRoom room;
  AddWaiting(room, MakeRequest(1));
  AddWaiting(room, MakeRequest(2));
  std::mt19937_64 random(1);
  const Time later = kStart + Duration(100);
  auto turns = room.Advance(MakeRoom(34, later, 16), later, random);
  EXPECT_TRUE(turns.m_send.empty());
  room.OnEnded();
  turns = room.Advance(MakeRoom(31, later, 16), later, random);
  EXPECT_EQ((std::vector<WaitingId>{ 1 }), turns.m_send);
  turns = room.Advance(MakeRoom(34, later, 16), kStart + Duration(700), random);
  EXPECT_EQ((std::vector<WaitingId>{ 2 }), turns.m_refuse);
}

// Load: less urgent requests while urgent ones come now and then. Room is kept
// for these, but no longer than they come.
TEST(WaitingRoom, KeepsRoomForUrgentRequestsOnlyWhileTheyCome)
{
  WaitingRoom room;
  const ServiceRoom almostFull = MakeRoom(1.9 * kSlots);
  const auto offer = [&](std::uint32_t aPriority, Time aNow) {
    WaitingRequest request = MakeRequest(1, aPriority);
    request.m_deadline = aNow + kTimeLimit;
    const auto verdict =
      room.Offer(request, almostFull, Duration(60), true, aNow);
    room.Remove(1);
    return verdict;
  };
  EXPECT_EQ(WaitingVerdict::Send, offer(1, kStart));
  EXPECT_EQ(WaitingVerdict::Send, offer(0, kStart));
  EXPECT_EQ(WaitingVerdict::Wait, offer(1, kStart + Duration(10)));
  EXPECT_EQ(WaitingVerdict::Send, offer(0, kStart + Duration(20)));
  EXPECT_EQ(WaitingVerdict::Send, offer(1, kStart + Duration(1100)));
}

// Load: urgent requests wait at other daemons. The room is theirs.
TEST(WaitingRoom, UrgentRequestsElsewhereGetTheRoomFirst)
{
  WaitingRoomOptions options;
  options.m_usedRoom = 1;
  WaitingRoom room(options);
  AddWaiting(room, MakeRequest(1, 1));
  AddWaiting(room, MakeRequest(2, 0));
  ServiceRoom view = MakeRoom(2 * kSlots - 4);
  view.m_waiting[WaitingClassOf(0, false)] = 3;
  std::mt19937_64 random(1);
  EXPECT_EQ((std::vector<WaitingId>{ 2 }),
            room.Advance(view, kStart, random).m_send);
}

// Load: large requests among many small ones with the same target.
TEST(WaitingRoom, CostDecidesOnlyBetweenEqualTargets)
{
  WaitingRoom room;
  WaitingRequest large = MakeRequest(1);
  large.m_cost = 50'000;
  AddWaiting(room, large);
  for (WaitingId id = 2; id <= 5; ++id) {
    WaitingRequest small = MakeRequest(id);
    small.m_startBy += Duration(id);
    AddWaiting(room, small);
  }
  EXPECT_EQ(1U, SendAll(room).front());
}

// Guards against places held for callers that have left.
TEST(WaitingRoom, CallerThatLeavesGivesUpItsPlace)
{
  WaitingRoom room;
  AddWaiting(room, MakeRequest(1));
  AddWaiting(room, MakeRequest(2));
  room.Remove(1);
  EXPECT_EQ(1U, room.Size());
  EXPECT_EQ(100U, room.Bytes());
  EXPECT_EQ(1U, room.Counts()[0]);
  EXPECT_EQ((std::vector<WaitingId>{ 2 }), SendAll(room));
}

// Guards against requests that are held though they are known to be hopeless.
TEST(WaitingRoom, RefusesAtOnceWhatWouldWaitTooLong)
{
  WaitingRoom room;
  const auto offer = [&](Duration aWait) {
    return room.Offer(MakeRequest(1), kFull, aWait, false, kStart);
  };
  EXPECT_EQ(WaitingVerdict::Wait, offer(Duration(500)));
  room.Remove(1);
  EXPECT_EQ(WaitingVerdict::Refuse, offer(Duration(700)));
  WaitingRequest big = MakeRequest(2);
  big.m_bytes = 5U << 20U;
  EXPECT_EQ(WaitingVerdict::Refuse,
            room.Offer(big, kFull, Duration(60), true, kStart));
}

// A fleet whose upstreams are one queue, and whose counts are 50 to 150 ms old.
// All requests take a slot for 60 ms.
class Fleet
{
public:
  explicit Fleet(std::size_t aDaemons)
    : m_rooms(aDaemons)
    , m_inFlight(aDaemons, 0)
  {
  }

  void Play(Duration aTime, double aPerMs)
  {
    const Time end = m_now + aTime;
    for (double due = 0; m_now < end; m_now += Duration(1)) {
      const auto phase = m_now.time_since_epoch().count() % 100;
      if (phase == 0) {
        Report();
      } else if (phase == 50) {
        m_known = m_sent;
      }
      EndRequests();
      for (due += aPerMs; due >= 1; --due) {
        Arrive(m_random() % m_rooms.size());
      }
      for (std::size_t i = 0; i < m_rooms.size(); ++i) {
        for (const WaitingId id :
             m_rooms[i].Advance(ViewOf(i), m_now, m_random).m_send) {
          Send(i, id);
        }
      }
    }
  }

  std::size_t m_served = 0;
  std::size_t m_onTime = 0;
  std::size_t m_mostQueued = 0; // at the upstreams
  std::size_t m_idleMs = 0;     // free slots, while requests waited

private:
  static constexpr Duration kSlotTime{ 60 };
  static constexpr Duration kAim{ 300 };
  struct Request
  {
    std::size_t m_daemon;
    WaitingId m_id;
    Time m_endsAt;
  };

  void Arrive(std::size_t aDaemon)
  {
    const ServiceRoom view = ViewOf(aDaemon);
    const double before =
      view.m_load + m_rooms[aDaemon].Ahead(0, view) + 1 - kSlots;
    const auto wait = std::chrono::duration_cast<Duration>(
      std::max(0.0, before) / kSlots * kSlotTime);
    WaitingRequest request = MakeRequest(m_arrivedAt.size());
    request.m_startBy = m_now + kTarget;
    request.m_deadline = m_now + kTimeLimit;
    m_arrivedAt.push_back(m_now);
    if (m_rooms[aDaemon].Offer(request, view, wait, wait <= kTarget, m_now) ==
        WaitingVerdict::Send) {
      Send(aDaemon, request.m_id);
    }
  }

  void Send(std::size_t aDaemon, WaitingId aId)
  {
    ++m_inFlight[aDaemon];
    m_queue.push_back({ aDaemon, aId, Time() });
    m_mostQueued = std::max(m_mostQueued, m_queue.size());
  }

  void EndRequests()
  {
    while (!m_running.empty() && m_running.front().m_endsAt <= m_now) {
      const Request request = m_running.front();
      m_running.pop_front();
      --m_inFlight[request.m_daemon];
      m_rooms[request.m_daemon].OnEnded();
      ++m_served;
      m_onTime += m_now - m_arrivedAt[request.m_id] <= kAim ? 1 : 0;
    }
    while (!m_queue.empty() && m_running.size() < kAllSlots) {
      m_queue.front().m_endsAt = m_now + kSlotTime;
      m_running.push_back(m_queue.front());
      m_queue.pop_front();
    }
    std::size_t waiting = 0;
    for (const WaitingRoom& room : m_rooms) {
      waiting += room.Size();
    }
    m_idleMs += waiting > 0 && m_running.size() < kAllSlots ? 1 : 0;
  }

  void Report()
  {
    m_sent = { m_inFlight, {}, m_now };
    for (const WaitingRoom& room : m_rooms) {
      m_sent.m_waiting.push_back(room.Counts());
    }
  }

  ServiceRoom ViewOf(std::size_t aDaemon) const
  {
    double load = m_inFlight[aDaemon];
    ServiceRoom view;
    for (std::size_t i = 0; i < m_known.m_inFlight.size(); ++i) {
      load += i == aDaemon ? 0 : m_known.m_inFlight[i];
      for (std::size_t j = 0; j < kWaitingClasses; ++j) {
        view.m_waiting[j] += i == aDaemon ? 0 : m_known.m_waiting[i][j];
      }
    }
    const WaitingCounts waiting = view.m_waiting;
    view = MakeRoom(load, m_known.m_at);
    view.m_waiting = waiting;
    return view;
  }

  struct Counts
  {
    std::vector<std::uint32_t> m_inFlight;
    std::vector<WaitingCounts> m_waiting;
    Time m_at;
  };
  std::mt19937_64 m_random{ 7 };
  Time m_now = kStart;
  std::vector<WaitingRoom> m_rooms;
  std::vector<std::uint32_t> m_inFlight;
  std::vector<Time> m_arrivedAt; // by id
  std::deque<Request> m_queue;
  std::deque<Request> m_running;
  Counts m_sent;  // with the last reports
  Counts m_known; // to all daemons
};

class FleetLoad : public testing::TestWithParam<std::size_t>
{};

// Load: room is short at all upstreams, with old counts, for seconds. The
// upstreams' queues stay short, their slots stay in use, and most of what is
// served is on time.
TEST_P(FleetLoad, LastingOverloadIsServedOnTime)
{
  Fleet fleet(GetParam());
  const double capacityPerMs = kSlots / 60;
  fleet.Play(Duration(4000), 1.3 * capacityPerMs);
  EXPECT_GE(fleet.m_served, 0.95 * 4000 * capacityPerMs);
  EXPECT_GE(fleet.m_onTime, 0.8 * fleet.m_served);
  EXPECT_LE(fleet.m_mostQueued, 4 * kSlots);
  EXPECT_LE(fleet.m_idleMs, 200U);
}

// Load: a short burst for which there is room within the target.
TEST_P(FleetLoad, ShortBurstIsServedOnTime)
{
  Fleet fleet(GetParam());
  const double capacityPerMs = kSlots / 60;
  fleet.Play(Duration(500), 0.7 * capacityPerMs);
  fleet.Play(Duration(200), 1.5 * capacityPerMs);
  fleet.Play(Duration(1000), 0.7 * capacityPerMs);
  EXPECT_GE(fleet.m_onTime, 0.97 * fleet.m_served);
}

INSTANTIATE_TEST_SUITE_P(Daemons, FleetLoad, testing::Values(2, 32, 62));

} // namespace
} // namespace walnutwing
