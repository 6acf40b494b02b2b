#include "router/memory_guard.h"

#include <memory>
#include <utility>

#include <sys/sysinfo.h>

namespace walnutwing::router {
namespace {

// While somebody waits.
constexpr Duration kWatchInterval = std::chrono::milliseconds(50);
// Until somebody is given up for those who wait.
constexpr Duration kMaxPause = std::chrono::milliseconds(200);
// Until one who waits is given up itself.
constexpr Duration kMaxWait = std::chrono::milliseconds(2000);
constexpr std::size_t kMaxAnswerBytesIfShort = 16U << 10U;

std::uint64_t
SystemMemoryBytes()
{
  struct sysinfo info = {};
  return sysinfo(&info) == 0 ? std::uint64_t{ info.totalram } * info.mem_unit
                             : 0;
}

} // namespace

MemoryGuard::MemoryGuard(Loop& aLoop,
                         EventLog& aLog,
                         Metrics& aMetrics,
                         std::uint64_t aMachineBytes)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_ledger({})
{
  SetMachineBytes(aMachineBytes);
}

void
MemoryGuard::SetMachineBytes(std::uint64_t aBytes)
{
  m_ledger.SetLimits(
    MemoryLimitsFor(aBytes == 0 ? SystemMemoryBytes() : aBytes));
}

MemoryLedger::OwnerId
MemoryGuard::Add(MemoryOwner& aOwner)
{
  m_owners.emplace(++m_lastId, &aOwner);
  return m_lastId;
}

void
MemoryGuard::Remove(MemoryLedger::OwnerId aId)
{
  m_owners.erase(aId);
}

bool
MemoryGuard::MayGrow(MemoryLedger::OwnerId aId)
{
  if (m_ledger.MayGrow(m_owners.at(aId)->OwnBytes())) {
    return true;
  }
  ++m_metrics.Counter("memory_paused_reads_total");
  m_waiters.push_back({ aId, Now() });
  WatchSoon();
  return false;
}

void
MemoryGuard::OnChanged()
{
  if (m_ledger.IsShort()) {
    WatchSoon();
  }
}

std::size_t
MemoryGuard::MaxAnswerBytes(std::size_t aUsual) const
{
  if (m_ledger.IsFull()) {
    return 0;
  }
  return m_ledger.IsShort() ? kMaxAnswerBytesIfShort : aUsual;
}

void
MemoryGuard::WatchSoon()
{
  if (std::exchange(m_watching, true)) {
    return;
  }
  // Owned by its handler, as a member would outlive the loop.
  const auto timer = std::make_shared<Timer>(m_loop.get_executor());
  timer->expires_after(kWatchInterval);
  timer->async_wait([this, timer](const error_code& aError) {
    m_watching = false;
    if (!aError) {
      Watch();
    }
  });
}

bool
MemoryGuard::IsStuck(Time aNow) const
{
  if (m_ledger.IsFull()) {
    return true;
  }
  if (m_waiters.empty() || aNow - m_waiters.front().m_since < kMaxPause) {
    return false;
  }
  const auto found = m_owners.find(m_waiters.front().m_id);
  return found != m_owners.end() &&
         !m_ledger.MayGrow(found->second->OwnBytes());
}

void
MemoryGuard::Watch()
{
  const Time now = Now();
  if (std::exchange(m_isShort, m_ledger.IsShort()) != m_isShort) {
    EventLog::Line(m_log, Event::MemoryShort, now)
      .Add("short", static_cast<std::int64_t>(m_isShort))
      .Add("held_bytes", static_cast<std::int64_t>(m_ledger.HeldBytes()))
      .Add("waiting", static_cast<std::int64_t>(m_waiters.size()));
  }
  Resume();
  while (IsStuck(now) && GiveUpOne()) {
  }
  while (!m_waiters.empty() && now - m_waiters.front().m_since > kMaxWait) {
    const MemoryLedger::OwnerId id = m_waiters.front().m_id;
    m_waiters.pop_front();
    GiveUp(id);
  }
  Resume();
  if (!m_waiters.empty() || m_isShort) {
    WatchSoon();
  }
}

// Once for each that waits now: who asks again goes to the end.
void
MemoryGuard::Resume()
{
  std::deque<Waiter> waiters = std::exchange(m_waiters, {});
  std::deque<Waiter> stillWaiting;
  for (const Waiter& waiter : waiters) {
    const auto found = m_owners.find(waiter.m_id);
    if (found == m_owners.end()) {
      continue;
    }
    if (!m_ledger.MayGrow(found->second->OwnBytes())) {
      stillWaiting.push_back(waiter);
      continue;
    }
    found->second->OnMayGrow();
  }
  stillWaiting.insert(stillWaiting.end(), m_waiters.begin(), m_waiters.end());
  m_waiters = std::move(stillWaiting);
}

bool
MemoryGuard::GiveUpOne()
{
  const auto victim = m_ledger.Victim(Now());
  if (!victim || !m_owners.contains(*victim)) {
    return false;
  }
  const std::uint64_t before = m_ledger.HeldBytes();
  GiveUp(*victim);
  return m_ledger.HeldBytes() < before;
}

void
MemoryGuard::GiveUp(MemoryLedger::OwnerId aId)
{
  const auto found = m_owners.find(aId);
  if (found == m_owners.end()) {
    return;
  }
  ++m_metrics.Counter("memory_given_up_total");
  found->second->GiveUp();
}

void
MemoryGuard::UpdateMetrics()
{
  m_metrics.Gauge("memory_held_bytes") =
    static_cast<double>(m_ledger.HeldBytes());
  m_metrics.Gauge("memory_waiting_callers") =
    static_cast<double>(m_waiters.size());
}

} // namespace walnutwing::router
