#include "soak/proxy.h"

#include <array>
#include <deque>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace walnutwing::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// One direction of a connection.
struct Flow
{
  explicit Flow(asio::io_context& aLoop)
    : m_timer(aLoop)
  {
  }

  std::array<char, 16384> m_buffer{};
  std::size_t m_size = 0;
  bool m_held = false; // m_buffer holds data until the fault ends
  asio::steady_timer m_timer;
};

} // namespace

tcp::endpoint
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  return { asio::ip::make_address_v4(aText.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

class Proxy::Connection : public std::enable_shared_from_this<Proxy::Connection>
{
public:
  Connection(Proxy& aProxy, tcp::socket aClientSocket)
    : m_mode(aProxy.m_mode)
    , m_clientSocket(std::move(aClientSocket))
    , m_serverSocket(aProxy.m_loop)
    , m_toServer(aProxy.m_loop)
    , m_toClient(aProxy.m_loop)
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    m_serverSocket.async_connect(
      aTarget, [self = shared_from_this()](const error_code& aError) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Read(
          self->m_clientSocket, self->m_serverSocket, self->m_toServer);
        self->Read(
          self->m_serverSocket, self->m_clientSocket, self->m_toClient);
      });
  }

  void SetMode(ProxyMode aMode)
  {
    m_mode = aMode;
    if (aMode == ProxyMode::Reset) {
      Reset();
      return;
    }
    ReleaseHeld(m_clientSocket, m_serverSocket, m_toServer);
    ReleaseHeld(m_serverSocket, m_clientSocket, m_toClient);
  }

  void Reset()
  {
    for (tcp::socket* socket : { &m_clientSocket, &m_serverSocket }) {
      error_code ignored; // it may be closed already
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

private:
  bool IsSilenced(const Flow& aFlow) const
  {
    return m_mode == ProxyMode::Silence ||
           (m_mode == ProxyMode::OneWay && &aFlow == &m_toClient);
  }

  void Read(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    aFrom.async_read_some(asio::buffer(aFlow.m_buffer),
                          [self = shared_from_this(), &aFrom, &aTo, &aFlow](
                            const error_code& aError, std::size_t aSize) {
                            if (aError == asio::error::eof) {
                              aFlow.m_size = 0; // end of stream
                            } else if (aError) {
                              self->Reset();
                              return;
                            } else {
                              aFlow.m_size = aSize;
                            }
                            self->Forward(aFrom, aTo, aFlow);
                          });
  }

  void Forward(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    if (m_mode == ProxyMode::Refuse && &aFlow == &m_toServer &&
        aFlow.m_size != 0) {
      Refuse();
      return;
    }
    aFlow.m_held = IsSilenced(aFlow);
    if (aFlow.m_held) {
      return;
    }
    if (m_mode != ProxyMode::Delay) {
      Write(aFrom, aTo, aFlow);
      return;
    }
    aFlow.m_timer.expires_after(kProxyDelay);
    aFlow.m_timer.async_wait(
      [self = shared_from_this(), &aFrom, &aTo, &aFlow](const error_code&) {
        self->Write(aFrom, aTo, aFlow);
      });
  }

  // Requests of the store's clients have no body that matters here.
  void Refuse()
  {
    static const std::string kRefusal =
      "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}";
    asio::async_write(
      m_clientSocket,
      asio::buffer(kRefusal),
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Read(
          self->m_clientSocket, self->m_serverSocket, self->m_toServer);
      });
  }

  void ReleaseHeld(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    if (aFlow.m_held) {
      Forward(aFrom, aTo, aFlow);
    }
  }

  void Write(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    if (aFlow.m_size == 0) {
      error_code ignored; // it may be closed already
      aTo.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    asio::async_write(aTo,
                      asio::buffer(aFlow.m_buffer.data(), aFlow.m_size),
                      [self = shared_from_this(), &aFrom, &aTo, &aFlow](
                        const error_code& aError, std::size_t) {
                        if (aError) {
                          self->Reset();
                          return;
                        }
                        self->Read(aFrom, aTo, aFlow);
                      });
  }

  ProxyMode m_mode;
  tcp::socket m_clientSocket;
  tcp::socket m_serverSocket;
  Flow m_toServer;
  Flow m_toClient;
};

Proxy::Proxy(asio::io_context& aLoop,
             const std::string& aListen,
             const std::string& aTarget)
  : m_loop(aLoop)
  , m_acceptor(aLoop, ParseEndpoint(aListen))
  , m_target(ParseEndpoint(aTarget))
{
  Accept();
}

Proxy::~Proxy()
{
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Reset();
    }
  }
}

void
Proxy::Accept()
{
  m_acceptor.async_accept([this](const error_code& aError,
                                 tcp::socket aClientSocket) {
    if (aError) {
      return;
    }
    m_connections.remove_if([](const auto& aWeak) { return aWeak.expired(); });
    const auto connection =
      std::make_shared<Connection>(*this, std::move(aClientSocket));
    m_connections.push_back(connection);
    if (m_mode == ProxyMode::Reset) {
      connection->Reset();
    } else {
      connection->Start(m_target);
    }
    Accept();
  });
}

void
Proxy::SetMode(ProxyMode aMode)
{
  m_mode = aMode;
  const auto connections = m_connections; // copied, since a reset can end some
  for (const auto& weak : connections) {
    if (const auto connection = weak.lock()) {
      connection->SetMode(aMode);
    }
  }
}

void
Proxy::SetTarget(const std::string& aTarget)
{
  m_target = ParseEndpoint(aTarget);
}

} // namespace walnutwing::soak
