#include "router/front.h"

#include <utility>
#include <vector>

namespace walnutwing::router {
namespace {

constexpr int kBacklog = 1024;
// After the start, accepting is delayed until requests can be served, which is
// polled at kReadyPollInterval, but for kMaxAcceptDelay at most.
// kAcceptRetryDelay follows a failed accept, as when descriptors run out.
constexpr Duration kMaxAcceptDelay = std::chrono::milliseconds(500);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(2);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Front::Front(Context& aContext, std::function<bool()> aCanServe)
  : m_context(aContext)
  , m_canServe(std::move(aCanServe))
  , m_startedAt(Now())
  , m_acceptor(aContext.m_loop.get_executor())
  , m_retryTimer(aContext.m_loop.get_executor())
{
  const Tcp::endpoint endpoint =
    ParseEndpoint(aContext.m_settings.m_listen).value();
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen(kBacklog);
  AcceptWhenReady();
}

// A process that has just started has not read the store yet and could only
// refuse requests, so connections wait in the listen backlog for that time.
void
Front::AcceptWhenReady()
{
  if (m_canServe() || Now() - m_startedAt >= kMaxAcceptDelay) {
    Accept();
    return;
  }
  m_retryTimer.expires_after(kReadyPollInterval);
  m_retryTimer.async_wait([this](const error_code& aError) {
    if (!aError) {
      AcceptWhenReady();
    }
  });
}

void
Front::Accept()
{
  m_acceptor.async_accept([this](const error_code& aError, Socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      ++m_context.m_metrics.Counter("accept_failures_total");
      m_retryTimer.expires_after(kAcceptRetryDelay);
      m_retryTimer.async_wait([this](const error_code& aCancelled) {
        if (!aCancelled) {
          Accept();
        }
      });
      return;
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
    Accept();
  });
}

void
Front::StopAccepting()
{
  error_code ignored; // the acceptor is not used again
  m_retryTimer.cancel();
  m_acceptor.close(ignored);
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

} // namespace walnutwing::router
