// Timers are kept here and not in h2o, because h2o's timers use wall time,
// which an operator may step. An iteration waits in h2o until the next
// timer is due at the latest.

#include "net/event_loop.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

#include <unistd.h>

#include "net/h2o.h"

namespace walnutwing::net {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(1000);

// Wraps a duplicate of the descriptor in an h2o socket, since h2o closes the
// descriptor that it is given.
class SocketWatch : public ReadableWatch
{
public:
  SocketWatch(h2o_loop_t* aLoop,
              int aDescriptor,
              std::function<void()> aOnReadable)
    : m_onReadable(std::move(aOnReadable))
  {
    const int copy = dup(aDescriptor);
    if (copy < 0) {
      throw std::system_error(errno, std::generic_category(), "dup");
    }
    m_socket = h2o_evloop_socket_create(aLoop, copy, H2O_SOCKET_FLAG_DONT_READ);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, [](h2o_socket_t* aSocket, const char*) {
      static_cast<SocketWatch*>(aSocket->data)->m_onReadable();
    });
  }
  ~SocketWatch() override { h2o_socket_close(m_socket); }
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;

private:
  std::function<void()> m_onReadable;
  h2o_socket_t* m_socket = nullptr;
};

} // namespace

EventLoop::EventLoop()
  : m_loop(h2o_evloop_create())
{
  std::signal(SIGPIPE, SIG_IGN);
}

TimerId
EventLoop::After(Duration aDelay, std::function<void()> aCallback)
{
  return AddTimer(Now() + aDelay, Duration::zero(), std::move(aCallback));
}

TimerId
EventLoop::Every(Duration aPeriod, std::function<void()> aCallback)
{
  return AddTimer(Now() + aPeriod, aPeriod, std::move(aCallback));
}

TimerId
EventLoop::AddTimer(Time aDue,
                    Duration aPeriod,
                    std::function<void()> aCallback)
{
  const TimerId timer = ++m_lastTimer;
  m_timers[timer] = { aDue, aPeriod, std::move(aCallback) };
  m_schedule.emplace(aDue, timer);
  return timer;
}

void
EventLoop::Cancel(TimerId aTimer)
{
  const auto found = m_timers.find(aTimer);
  if (found == m_timers.end()) {
    return;
  }
  const auto [first, last] = m_schedule.equal_range(found->second.m_due);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == aTimer) {
      m_schedule.erase(entry);
      break;
    }
  }
  m_timers.erase(found);
}

std::unique_ptr<ReadableWatch>
EventLoop::WatchReadable(int aDescriptor, std::function<void()> aOnReadable)
{
  return std::make_unique<SocketWatch>(
    m_loop, aDescriptor, std::move(aOnReadable));
}

void
EventLoop::Run()
{
  m_stopping = false;
  while (!m_stopping) {
    RunOnce(kMaxWait);
  }
}

// Writes and connects of a timer's callback are put on h2o's list of pending
// callbacks, which h2o runs only after polling. So after a timer has fired, the
// poll does not wait; otherwise these operations would be delayed by up to
// aMaxWait.
void
EventLoop::RunOnce(Duration aMaxWait)
{
  Duration wait = aMaxWait;
  if (FireDueTimers()) {
    wait = Duration::zero();
  } else if (!m_schedule.empty()) {
    wait =
      std::clamp(m_schedule.begin()->first - Now(), Duration::zero(), aMaxWait);
  }
  h2o_evloop_run(m_loop, static_cast<std::int32_t>(wait.count()));
  for (const std::function<void()>& callback : m_afterIteration) {
    callback();
  }
}

bool
EventLoop::FireDueTimers()
{
  const Time now = Now();
  bool fired = false;
  while (!m_schedule.empty() && m_schedule.begin()->first <= now) {
    fired = true;
    const TimerId timer = m_schedule.begin()->second;
    m_schedule.erase(m_schedule.begin());
    Timer& entry = m_timers.at(timer);
    if (entry.m_period == Duration::zero()) {
      const std::function<void()> callback = std::move(entry.m_callback);
      m_timers.erase(timer);
      callback();
      continue;
    }
    entry.m_due = now + entry.m_period;
    m_schedule.emplace(entry.m_due, timer);
    // Calls a copy, since the callback may cancel its own timer and so destroy
    // the original.
    const std::function<void()> callback = entry.m_callback;
    callback();
  }
  return fired;
}

} // namespace walnutwing::net
