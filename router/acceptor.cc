#include "router/acceptor.h"

#include <utility>

namespace walnutwing::router {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

} // namespace

Acceptor::Acceptor(Loop& aLoop,
                   const Tcp::endpoint& aEndpoint,
                   std::function<void(Socket)> aOnAccepted,
                   std::function<void(const error_code&)> aOnFailed)
  : m_acceptor(aLoop.get_executor())
  , m_retryTimer(aLoop.get_executor())
  , m_onAccepted(std::move(aOnAccepted))
  , m_onFailed(std::move(aOnFailed))
{
  m_acceptor.open(aEndpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(aEndpoint);
  m_acceptor.listen(kBacklog);
}

void
Acceptor::Start()
{
  m_acceptor.async_accept([this](const error_code& aError, Socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      m_onAccepted(std::move(aSocket));
      Start();
      return;
    }
    m_onFailed(aError);
    m_retryTimer.expires_after(kRetryDelay);
    m_retryTimer.async_wait([this](const error_code& aCancelled) {
      if (!aCancelled) {
        Start();
      }
    });
  });
}

void
Acceptor::Stop()
{
  error_code ignored; // the acceptor is not used again
  m_retryTimer.cancel();
  m_acceptor.close(ignored);
}

} // namespace walnutwing::router
