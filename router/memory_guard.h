#ifndef WALNUTWING_ROUTER_MEMORY_GUARD_H_
#define WALNUTWING_ROUTER_MEMORY_GUARD_H_

// Keeps what this process holds for callers under the limit of its ledger
// (walnutwing/memory/memory_ledger.h, docs/design/memory.md). Near the limit
// the callers' connections are read no further, so that TCP holds their senders
// back. What waits goes on in turn as soon as bytes are given back. If too
// little is given back for a while, the ledger's victims are given up.
//
// It must outlive the loop: handlers that the loop drops in its destructor may
// hold the last reference to what is charged here.

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "router/asio.h"
#include "router/event_log.h"
#include "walnutwing/base/metrics.h"
#include "walnutwing/memory/memory_ledger.h"

namespace walnutwing::router {

// Who holds bytes for a caller: a connection.
class MemoryOwner
{
public:
  virtual ~MemoryOwner() = default;

  // What counts when it asks to hold more.
  virtual std::uint64_t OwnBytes() const = 0;

  // It may go on. It asks again before it holds more.
  virtual void OnMayGrow() = 0;

  // It must give its bytes back: refuse the request that has not arrived whole,
  // or close the connection.
  virtual void GiveUp() = 0;
};

class MemoryGuard
{
public:
  // aMachineBytes: see SetMachineBytes. The references are not used before the
  // first call of MayGrow or OnChanged.
  MemoryGuard(Loop& aLoop,
              EventLog& aLog,
              Metrics& aMetrics,
              std::uint64_t aMachineBytes);
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  // Memory of the machine; 0 for what the system reports.
  void SetMachineBytes(std::uint64_t aBytes);

  MemoryLedger& Ledger() { return m_ledger; }

  // aOwner must call Remove before it is destroyed.
  MemoryLedger::OwnerId Add(MemoryOwner& aOwner);
  void Remove(MemoryLedger::OwnerId aId);

  // Returns whether the owner may hold more. If not, OnMayGrow or GiveUp
  // follows.
  bool MayGrow(MemoryLedger::OwnerId aId);

  // An owner's bytes have changed.
  void OnChanged();

  // Bytes of an answer that may be kept for one caller; fewer than aUsual when
  // memory is short.
  std::size_t MaxAnswerBytes(std::size_t aUsual) const;

  // Gives up one owner, if any need not be kept. Returns whether it did.
  bool GiveUpOne();

  // Writes gauges of the present state.
  void UpdateMetrics();

private:
  struct Waiter
  {
    MemoryLedger::OwnerId m_id;
    Time m_since;
  };

  void WatchSoon();
  void Watch();
  void Resume();
  void GiveUp(MemoryLedger::OwnerId aId);
  // Whether somebody has to be given up.
  bool IsStuck(Time aNow) const;

  Loop& m_loop;
  EventLog& m_log;
  Metrics& m_metrics;
  MemoryLedger m_ledger;
  bool m_watching = false;
  std::unordered_map<MemoryLedger::OwnerId, MemoryOwner*> m_owners;
  MemoryLedger::OwnerId m_lastId = 0;
  std::deque<Waiter> m_waiters; // the longest waiting first
  bool m_isShort = false;       // as logged
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_MEMORY_GUARD_H_
