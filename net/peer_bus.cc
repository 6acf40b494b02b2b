// One PULL socket receives from all peers, and one PUSH socket per peer sends.
// ZeroMQ's descriptor only signals that a socket's state may have changed, so
// each wake-up reads until no message is left. With keys, a handler for
// ZeroMQ's authentication protocol (ZAP, RFC 27) accepts only peers that hold
// the fleet's key pair. libzmq does its I/O on a thread of its own, which runs
// none of this code.

#include "net/peer_bus.h"

#include <array>
#include <map>
#include <stdexcept>
#include <system_error>
#include <utility>
#include <vector>

#include <zmq.hpp>

namespace walnutwing::net {
namespace {

constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 1000;
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr std::size_t kZ85KeyChars = 40;
constexpr std::size_t kBinaryKeyBytes = 32;
constexpr int kMaxMessagesPerBatch = 1000;

std::string
DecodeZ85(const std::string& aText)
{
  std::array<std::uint8_t, kBinaryKeyBytes> key{};
  if (aText.size() != kZ85KeyChars ||
      zmq_z85_decode(key.data(), aText.c_str()) == nullptr) {
    throw std::invalid_argument("not a Z85 key of 40 characters");
  }
  return { reinterpret_cast<const char*>(key.data()), key.size() };
}

} // namespace

class PeerBus::Impl
{
public:
  Impl(EventLoop& aLoop, const PeerBusOptions& aOptions, Receiver aReceiver)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_receiver(std::move(aReceiver))
    , m_context(1)
    , m_receiveSocket(m_context, zmq::socket_type::pull)
  {
    if (m_options.m_keys) {
      StartAuthentication();
    }
    m_receiveSocket.set(zmq::sockopt::linger, 0);
    m_receiveSocket.set(zmq::sockopt::rcvhwm, m_options.m_queueLimit);
    m_receiveSocket.set(zmq::sockopt::maxmsgsize,
                        static_cast<std::int64_t>(m_options.m_maxMessageBytes));
    try {
      m_receiveSocket.bind("tcp://" + m_options.m_listen.ToString());
    } catch (const zmq::error_t& error) {
      throw std::system_error(
        error.num(), std::generic_category(), m_options.m_listen.ToString());
    }
    m_receiveWatch = m_loop.WatchReadable(m_receiveSocket.get(zmq::sockopt::fd),
                                          [this] { ReceiveAll(); });
  }

  ~Impl() { m_loop.Cancel(m_continueTimer); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Connect(const Endpoint& aPeer) { GetOrConnect(aPeer); }
  void Disconnect(const Endpoint& aPeer) { m_peerSockets.erase(aPeer); }

  bool Send(const Endpoint& aPeer, std::string_view aMessage)
  {
    const auto sent = GetOrConnect(aPeer).send(zmq::buffer(aMessage),
                                               zmq::send_flags::dontwait);
    if (!sent) {
      ++m_counters.m_dropped;
      return false;
    }
    ++m_counters.m_sent;
    m_counters.m_sentBytes += aMessage.size();
    return true;
  }

  const PeerBusCounters& Counters() const { return m_counters; }

private:
  zmq::socket_t& GetOrConnect(const Endpoint& aPeer)
  {
    const auto found = m_peerSockets.find(aPeer);
    if (found != m_peerSockets.end()) {
      return found->second;
    }
    zmq::socket_t socket(m_context, zmq::socket_type::push);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, m_options.m_queueLimit);
    // Queues only for established connections: a stale message is worse than a
    // lost one.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
    socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    if (m_options.m_keys) {
      socket.set(zmq::sockopt::curve_serverkey, m_options.m_keys->m_publicKey);
      socket.set(zmq::sockopt::curve_publickey, m_options.m_keys->m_publicKey);
      socket.set(zmq::sockopt::curve_secretkey, m_options.m_keys->m_secretKey);
    }
    socket.connect("tcp://" + aPeer.ToString());
    return m_peerSockets.emplace(aPeer, std::move(socket)).first->second;
  }

  // Receives up to kMaxMessagesPerBatch messages and leaves the rest of a
  // burst to a timer.
  void ReceiveAll()
  {
    for (int i = 0; i < kMaxMessagesPerBatch; ++i) {
      zmq::message_t message;
      if (!m_receiveSocket.recv(message, zmq::recv_flags::dontwait)) {
        return;
      }
      ++m_counters.m_received;
      m_counters.m_receivedBytes += message.size();
      m_receiver({ static_cast<const char*>(message.data()), message.size() });
    }
    m_continueTimer = m_loop.After(Duration::zero(), [this] { ReceiveAll(); });
  }

  void StartAuthentication()
  {
    m_allowedKey = DecodeZ85(m_options.m_keys->m_publicKey);
    DecodeZ85(m_options.m_keys->m_secretKey);
    m_authenticationSocket = zmq::socket_t(m_context, zmq::socket_type::rep);
    m_authenticationSocket.set(zmq::sockopt::linger, 0);
    m_authenticationSocket.bind("inproc://zeromq.zap.01");
    m_authenticationWatch = m_loop.WatchReadable(
      m_authenticationSocket.get(zmq::sockopt::fd), [this] { Authenticate(); });
    m_receiveSocket.set(zmq::sockopt::curve_server, true);
    m_receiveSocket.set(zmq::sockopt::curve_secretkey,
                        m_options.m_keys->m_secretKey);
    m_receiveSocket.set(zmq::sockopt::zap_domain, "walnutwing");
  }

  // Replies to ZAP requests. The frames of a request are version, request id,
  // domain, address, identity, mechanism, and for CURVE the client's public
  // key.
  void Authenticate()
  {
    constexpr std::size_t kRequestIdFrame = 1;
    constexpr std::size_t kMechanismFrame = 5;
    constexpr std::size_t kKeyFrame = 6;
    for (;;) {
      std::vector<std::string> frames;
      do {
        zmq::message_t frame;
        if (!m_authenticationSocket.recv(frame, zmq::recv_flags::dontwait)) {
          return;
        }
        frames.push_back(frame.to_string());
      } while (m_authenticationSocket.get(zmq::sockopt::rcvmore));
      const bool allowed = frames.size() > kKeyFrame &&
                           frames[kMechanismFrame] == "CURVE" &&
                           frames[kKeyFrame] == m_allowedKey;
      const std::array<std::string, 6> reply = { "1.0",
                                                 frames.size() > kRequestIdFrame
                                                   ? frames[kRequestIdFrame]
                                                   : "",
                                                 allowed ? "200" : "400",
                                                 allowed ? "OK" : "unknown key",
                                                 "",
                                                 "" };
      for (std::size_t i = 0; i < reply.size(); ++i) {
        m_authenticationSocket.send(zmq::buffer(reply[i]),
                                    i + 1 < reply.size()
                                      ? zmq::send_flags::sndmore
                                      : zmq::send_flags::none);
      }
    }
  }

  EventLoop& m_loop;
  PeerBusOptions m_options;
  Receiver m_receiver;
  zmq::context_t m_context;
  zmq::socket_t m_authenticationSocket;
  zmq::socket_t m_receiveSocket;
  std::map<Endpoint, zmq::socket_t> m_peerSockets;
  std::string m_allowedKey;
  TimerId m_continueTimer = 0;
  std::unique_ptr<ReadableWatch> m_authenticationWatch;
  std::unique_ptr<ReadableWatch> m_receiveWatch;
  PeerBusCounters m_counters;
};

PeerBus::PeerBus(EventLoop& aLoop,
                 const PeerBusOptions& aOptions,
                 Receiver aReceiver)
  : m_impl(std::make_unique<Impl>(aLoop, aOptions, std::move(aReceiver)))
{
}

PeerBus::~PeerBus() = default;

void
PeerBus::Connect(const Endpoint& aPeer)
{
  m_impl->Connect(aPeer);
}

void
PeerBus::Disconnect(const Endpoint& aPeer)
{
  m_impl->Disconnect(aPeer);
}

bool
PeerBus::Send(const Endpoint& aPeer, std::string_view aMessage)
{
  return m_impl->Send(aPeer, aMessage);
}

const PeerBusCounters&
PeerBus::Counters() const
{
  return m_impl->Counters();
}

} // namespace walnutwing::net
