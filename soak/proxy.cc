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

  std::array<char, 16384> m_piece{};
  std::size_t m_size = 0;
  bool m_held = false; // a piece waits for the fault to end
  asio::steady_timer m_timer;
};

} // namespace

tcp::endpoint
EndpointOf(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  return { asio::ip::make_address_v4(aText.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

class Proxy::Pair : public std::enable_shared_from_this<Proxy::Pair>
{
public:
  Pair(Proxy& aProxy, tcp::socket aNear)
    : m_mode(aProxy.m_mode)
    , m_near(std::move(aNear))
    , m_far(aProxy.m_loop)
    , m_out(aProxy.m_loop)
    , m_back(aProxy.m_loop)
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    m_far.async_connect(aTarget,
                        [self = shared_from_this()](const error_code& aError) {
                          if (aError) {
                            self->Reset();
                            return;
                          }
                          self->Read(self->m_near, self->m_far, self->m_out);
                          self->Read(self->m_far, self->m_near, self->m_back);
                        });
  }

  void SetMode(ProxyMode aMode)
  {
    m_mode = aMode;
    if (aMode == ProxyMode::Reset) {
      Reset();
      return;
    }
    Release(m_near, m_far, m_out);
    Release(m_far, m_near, m_back);
  }

  void Reset()
  {
    for (tcp::socket* socket : { &m_near, &m_far }) {
      error_code ignored; // it may be closed already
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

private:
  bool Silent(const Flow& aFlow) const
  {
    return m_mode == ProxyMode::Silence ||
           (m_mode == ProxyMode::OneWay && &aFlow == &m_back);
  }

  void Read(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    aFrom.async_read_some(asio::buffer(aFlow.m_piece),
                          [self = shared_from_this(), &aFrom, &aTo, &aFlow](
                            const error_code& aError, std::size_t aSize) {
                            if (aError == asio::error::eof) {
                              aFlow.m_size = 0; // an orderly end
                            } else if (aError) {
                              self->Reset();
                              return;
                            } else {
                              aFlow.m_size = aSize;
                            }
                            self->Pass(aFrom, aTo, aFlow);
                          });
  }

  void Pass(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    aFlow.m_held = Silent(aFlow);
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

  void Release(tcp::socket& aFrom, tcp::socket& aTo, Flow& aFlow)
  {
    if (aFlow.m_held) {
      Pass(aFrom, aTo, aFlow);
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
                      asio::buffer(aFlow.m_piece.data(), aFlow.m_size),
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
  tcp::socket m_near;
  tcp::socket m_far;
  Flow m_out;
  Flow m_back;
};

Proxy::Proxy(asio::io_context& aLoop,
             const std::string& aListen,
             const std::string& aTarget)
  : m_loop(aLoop)
  , m_acceptor(aLoop, EndpointOf(aListen))
  , m_target(EndpointOf(aTarget))
{
  Accept();
}

Proxy::~Proxy()
{
  for (const auto& weak : m_pairs) {
    if (const auto pair = weak.lock()) {
      pair->Reset();
    }
  }
}

void
Proxy::Accept()
{
  m_acceptor.async_accept([this](const error_code& aError, tcp::socket aNear) {
    if (aError) {
      return;
    }
    m_pairs.remove_if([](const auto& aWeak) { return aWeak.expired(); });
    const auto pair = std::make_shared<Pair>(*this, std::move(aNear));
    m_pairs.push_back(pair);
    if (m_mode == ProxyMode::Reset) {
      pair->Reset();
    } else {
      pair->Start(m_target);
    }
    Accept();
  });
}

void
Proxy::SetMode(ProxyMode aMode)
{
  m_mode = aMode;
  const auto pairs = m_pairs; // a reset may end some
  for (const auto& weak : pairs) {
    if (const auto pair = weak.lock()) {
      pair->SetMode(aMode);
    }
  }
}

void
Proxy::SetTarget(const std::string& aTarget)
{
  m_target = EndpointOf(aTarget);
}

} // namespace walnutwing::soak
