#include "router/front.h"

#include <utility>
#include <vector>

namespace walnutwing::router {
namespace {

constexpr int kBacklog = 1024;
// After a failed accept, as when descriptors run out.
constexpr Duration kAcceptRetry = std::chrono::milliseconds(50);

} // namespace

Front::Front(Context& aContext)
  : m_context(aContext)
  , m_acceptor(aContext.m_loop.get_executor())
  , m_retry(aContext.m_loop.get_executor())
{
  const Tcp::endpoint endpoint =
    ParseEndpoint(aContext.m_settings.m_listen).value();
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen(kBacklog);
  Accept();
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
      m_retry.expires_after(kAcceptRetry);
      m_retry.async_wait([this](const error_code& aCancelled) {
        if (!aCancelled) {
          Accept();
        }
      });
      return;
    }
    // The set holds the connection; the callback must not hold it too.
    auto place = std::make_shared<std::weak_ptr<CallerConnection>>();
    auto connection = std::make_shared<CallerConnection>(
      m_context, std::move(aSocket), [this, place] {
        m_connections.erase(place->lock());
      });
    *place = connection;
    m_connections.insert(connection);
    connection->Start();
    Accept();
  });
}

void
Front::StopAccepting()
{
  error_code ignored; // it is not used again
  m_acceptor.close(ignored);
}

void
Front::CloseIdle()
{
  const std::vector<std::shared_ptr<CallerConnection>> all(
    m_connections.begin(), m_connections.end());
  for (const auto& connection : all) {
    connection->CloseIfIdle();
  }
}

void
Front::CutAll()
{
  const std::vector<std::shared_ptr<CallerConnection>> all(
    m_connections.begin(), m_connections.end());
  for (const auto& connection : all) {
    connection->Cut();
  }
}

} // namespace walnutwing::router
