#include "router/front.h"

#include <utility>
#include <vector>

namespace walnutwing::router {
namespace {

// After the start, accepting is delayed until requests can be served, which is
// polled at kReadyPollInterval, but for kMaxAcceptDelay at most.
constexpr Duration kMaxAcceptDelay = std::chrono::milliseconds(500);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(2);

} // namespace

Front::Front(Context& aContext, std::function<bool()> aCanServe)
  : m_context(aContext)
  , m_canServe(std::move(aCanServe))
  , m_startedAt(Now())
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

void
Front::OnAccepted(Socket aSocket)
{
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
