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
    }
    if (m_stopped) {
      return;
    }
    if (!aError) {
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
  m_stopped = true;
  m_retryTimer.cancel();
  AcceptWaiting();
  error_code ignored; // the acceptor is not used again
  m_acceptor.close(ignored);
}

void
Acceptor::AcceptWaiting()
{
  error_code error;
  m_acceptor.non_blocking(true, error);
  // Not without end, as callers may go on connecting.
  for (int i = 0; i < kBacklog && !error; ++i) {
    Socket socket(m_acceptor.get_executor());
    m_acceptor.accept(socket, error);
    if (!error) {
      m_onAccepted(std::move(socket));
    }
  }
  if (error && error != asio::error::would_block) {
    m_onFailed(error);
  }
}

} // namespace walnutwing::router
