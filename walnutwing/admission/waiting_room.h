#ifndef WALNUTWING_ADMISSION_WAITING_ROOM_H_
#define WALNUTWING_ADMISSION_WAITING_ROOM_H_

// Requests for one service that wait at one daemon because its upstreams have
// no room for them.
//
// An upstream serves its queue in order of arrival, whoever is urgent. So an
// upstream gets only about as many requests as it needs to stay busy, and the
// others wait here, in an order that serves callers: the more urgent first;
// then those that can still meet their target before those that cannot; then
// by turns between customers, so that one with many requests waits behind the
// others but gets its turn; then by the target; then the cheaper one.
//
// Daemons see each other's requests with a delay, and must not all send to the
// same free slot. With each new count a daemon may send its part of the room:
// all daemons report how many requests wait at them, by class, and the classes
// are served in order, each divided by what waits where. A part of a request is
// rounded at random, so that the daemons together send what fits. In between, a
// daemon may send one request for each of its own that has ended.
//
// A request that is expected to miss its target waits only for a part of the
// time that is left to its deadline: its caller is better served late than sent
// away, but needs time to come back. Less urgent requests leave some room free
// as long as more urgent ones arrive. If there is no space for another request,
// a more urgent one takes the place of the last.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <tuple>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// Waiting requests by class. The classes are in the order of service: two for
// each priority, of requests that may meet their target and of those that
// cannot. The last two are shared by all less urgent priorities.
inline constexpr std::size_t kWaitingClasses = 8;
using WaitingCounts = std::array<std::uint32_t, kWaitingClasses>;

std::size_t
WaitingClassOf(std::uint32_t aPriority, bool aLate);

struct WaitingRoomOptions
{
  std::size_t m_maxRequests = 128;
  std::size_t m_maxBytes = 4U << 20U; // of the requests
  // What is queued at the upstreams keeps them busy until the next counts
  // arrive: work for this time, and at most this multiple of their slots.
  Duration m_queueTime = std::chrono::milliseconds(100);
  double m_maxQueue = 1.0;
  // Part of the room that is used with each new count: what others have sent
  // since the requests were counted is not known yet.
  double m_usedRoom = 0.5;
  // Part of the slots that less urgent requests leave free for more urgent
  // ones, and how long after one of these has arrived.
  double m_reservedPart = 0.25;
  Duration m_reservationTime = std::chrono::milliseconds(1000);
  // Part of the time left to its deadline for which a request waits that is
  // expected to miss its target.
  double m_lateFraction = 0.2;
};

// A service as this daemon sees it.
struct ServiceRoom
{
  // Whether the other daemons' requests are known. If not, nothing waits.
  bool m_known = false;
  Time m_countedAt;          // when they became known
  double m_slots = 0;        // of all usable upstreams
  Duration m_slotTime{};     // for which a request uses a slot
  double m_load = 0;         // requests at them
  double m_leastLoad = 0;    // at the least loaded upstream
  double m_leastSlots = 0;   // of that upstream
  WaitingCounts m_waiting{}; // at the other daemons
};

using WaitingId = std::uint64_t; // chosen by the caller, unique

struct WaitingRequest
{
  WaitingId m_id = 0;
  std::uint32_t m_priority = 0; // 0 is the most urgent
  Time m_startBy;               // later, its answer misses its target
  Time m_deadline;
  CustomerId m_customer;
  std::size_t m_bytes = 0;
  std::uint64_t m_cost = 0; // tokens; compares requests of one service
};

enum class WaitingVerdict
{
  Send,   // it may be sent now
  Wait,   // it was added
  Refuse, // it would wait too long, or there is no space for it
};

class WaitingRoom
{
public:
  explicit WaitingRoom(WaitingRoomOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  // Requests of all daemons that wait and would be sent before a new one of
  // this priority.
  double Ahead(std::uint32_t aPriority, const ServiceRoom& aRoom) const;

  // Decides about a new request. aWait: until it is expected to be started, by
  // the requests at the upstreams and those ahead. aOnTime: whether it is then
  // expected to meet its target.
  WaitingVerdict Offer(const WaitingRequest& aRequest,
                       const ServiceRoom& aRoom,
                       Duration aWait,
                       bool aOnTime,
                       Time aNow);

  // The request no longer waits: its caller has left, or its deadline passed.
  // Does nothing if it does not wait.
  void Remove(WaitingId aId);

  // A request of this daemon to the service has ended.
  void OnEnded() { ++m_ended; }

  struct Turns
  {
    std::vector<WaitingId> m_send;   // in this order
    std::vector<WaitingId> m_refuse; // have waited too long or lost their place
  };
  // Removes the requests whose turn it is, and those that have waited too long.
  // To be called after OnEnded, after new counts and every few milliseconds.
  Turns Advance(const ServiceRoom& aRoom, Time aNow, std::mt19937_64& aRandom);

  bool Empty() const { return m_requests.empty(); }
  std::size_t Size() const { return m_requests.size(); }
  std::size_t Bytes() const { return m_bytes; }
  const WaitingCounts& Counts() const { return m_counts; }

private:
  struct Entry
  {
    WaitingRequest m_request;
    Time m_refuseAt;
    std::size_t m_class = 0;
    std::uint64_t m_turn = 0; // of its customer

    auto TargetRank() const
    {
      return std::tuple(
        m_class, m_request.m_startBy, m_request.m_cost, m_request.m_id);
    }
  };

  bool MayBegin(std::uint32_t aPriority,
                const ServiceRoom& aRoom,
                Time aNow) const;
  // Requests that upstreams may have per slot.
  double Fill(std::uint32_t aPriority,
              const ServiceRoom& aRoom,
              Time aNow) const;
  bool MakeSpace(const WaitingRequest& aRequest, std::size_t aClass);
  double Share(const ServiceRoom& aRoom, Time aNow) const;
  std::uint64_t NextTurn(const CustomerId& aCustomer);
  void UpdateClasses(Time aNow);
  std::vector<const Entry*> InOrder() const;

  WaitingRoomOptions m_options;
  std::map<WaitingId, Entry> m_requests;
  WaitingCounts m_counts{}; // of m_requests
  std::size_t m_bytes = 0;
  std::vector<WaitingId> m_displaced; // by more urgent ones, not yet refused
  // Turns of the customers, by start-time fair queueing: the last turn that was
  // served, and the next of each customer.
  std::uint64_t m_turn = 0;
  std::map<CustomerId, std::uint64_t> m_nextTurns;
  // When the last request of each class arrived.
  std::array<Time, kWaitingClasses> m_arrivedAt{};
  Time m_countedAt;          // of the counts that gave m_turns
  std::uint32_t m_turns = 0; // requests that may be sent now
  std::uint32_t m_ended = 0; // since the last Advance
};

} // namespace walnutwing

#endif // WALNUTWING_ADMISSION_WAITING_ROOM_H_
