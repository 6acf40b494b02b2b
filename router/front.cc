#include "router/front.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include <sys/resource.h>

namespace walnutwing::router {
namespace {

// After the start, accepting is delayed until requests can be served, which is
// polled at kReadyPollInterval, but for kMaxAcceptDelay at most.
constexpr Duration kMaxAcceptDelay = std::chrono::milliseconds(500);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(2);

// One for the connection and one for its request's upstream.
constexpr std::uint64_t kDescriptorsPerCaller = 2;
// Of all connections, those that are closed at once when there is no room.
constexpr std::size_t kClosedFraction = 32;

// As many as the system allows this process.
std::uint64_t
SystemDescriptors()
{
  rlimit limit = {};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? limit.rlim_cur
           : std::numeric_limits<std::uint64_t>::max();
}

} // namespace

Front::Front(Context& aContext, std::function<bool()> aCanServe)
  : m_context(aContext)
  , m_canServe(std::move(aCanServe))
  , m_startedAt(Now())
  , m_systemDescriptors(SystemDescriptors())
  , m_acceptor(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_listen).value(),
      [this](Socket aSocket) { OnAccepted(std::move(aSocket)); },
      [this](const error_code&) {
        ++m_context.m_metrics.Counter("accept_failures_total");
      })
  , m_readyTimer(aContext.m_loop.get_executor())
{
  AcceptWhenReady();
}

// A process that has just started has not read the store yet and could only
// refuse requests, so connections wait in the listen backlog for that time.
void
Front::AcceptWhenReady()
{
  if (m_canServe() || Now() - m_startedAt >= kMaxAcceptDelay) {
    m_acceptor.Start();
    return;
  }
  m_readyTimer.expires_after(kReadyPollInterval);
  m_readyTimer.async_wait([this](const error_code& aError) {
    if (!aError) {
      AcceptWhenReady();
    }
  });
}

std::size_t
Front::MaxConnections() const
{
  const auto set =
    static_cast<std::uint64_t>(m_context.m_settings.m_maxDescriptors);
  const std::uint64_t descriptors =
    set == 0 ? m_systemDescriptors : std::min(set, m_systemDescriptors);
  return descriptors / kDescriptorsPerCaller;
}

bool
Front::MakeRoom()
{
  const std::size_t most = MaxConnections();
  if (m_connections.size() < most) {
    return true;
  }
  CloseLongestIdle();
  if (m_connections.size() >= most) {
    m_context.m_memory.GiveUpOne();
  }
  return m_connections.size() < most;
}

// Several at a time, as each search looks at all connections.
void
Front::CloseLongestIdle()
{
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (const auto& connection : m_connections) {
    if (connection->IsIdle()) {
      idle.push_back(connection);
    }
  }
  const std::size_t count =
    std::min(idle.size(), m_connections.size() / kClosedFraction + 1);
  const auto end = idle.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    idle.begin(), end, idle.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->IdleSince() < aRight->IdleSince();
    });
  for (auto connection = idle.begin(); connection != end; ++connection) {
    (*connection)->CloseUnlessReadable();
  }
  m_context.m_metrics.Counter("idle_callers_closed_total") += count;
}

void
Front::OnAccepted(Socket aSocket)
{
  if (!MakeRoom()) {
    ++m_context.m_metrics.Counter("callers_turned_away_total");
    return; // closes it
  }
  // m_connections owns the connection. The callback holds only a weak
  // reference, as a strong one would be a cycle.
  auto self = std::make_shared<std::weak_ptr<CallerConnection>>();
  auto connection = std::make_shared<CallerConnection>(
    m_context, std::move(aSocket), [this, self] {
      m_connections.erase(self->lock());
    });
  *self = connection;
  m_connections.insert(connection);
  connection->Start();
}

void
Front::StopAccepting()
{
  m_readyTimer.cancel();
  m_acceptor.Stop();
}

// Returns a copy, as closing a connection removes it from the set.
std::vector<std::shared_ptr<CallerConnection>>
Front::Connections() const
{
  return { m_connections.begin(), m_connections.end() };
}

void
Front::CloseIdleConnections()
{
  for (const auto& connection : Connections()) {
    connection->CloseIfIdle();
  }
}

void
Front::TerminateAll()
{
  for (const auto& connection : Connections()) {
    connection->Terminate();
  }
}

void
Front::LogUnsent() const
{
  for (const auto& connection : m_connections) {
    connection->LogUnsent();
  }
}

} // namespace walnutwing::router
