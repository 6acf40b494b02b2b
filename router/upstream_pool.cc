#include "router/upstream_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

namespace walnutwing::router {
namespace {

// How long an idle connection is kept: this part of what the upstream names, or
// the default where it names nothing.
constexpr double kKeepAlivePart = 0.5;
constexpr Duration kDefaultIdle = std::chrono::milliseconds(900);
constexpr Duration kLongestIdle = std::chrono::seconds(10);
// A connection that was idle for longer is not trusted with an order.
constexpr Duration kOnceIdle = std::chrono::milliseconds(1000);

} // namespace

std::optional<Tcp::endpoint>
ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto [stop, failed] =
    std::from_chars(aAddress.data() + colon + 1, end, port);
  error_code error;
  const auto ip = asio::ip::make_address_v4(aAddress.substr(0, colon), error);
  if (error || failed != std::errc() || stop != end) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, port);
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::Send(const std::string& aAddress,
                   UpstreamRequest aRequest,
                   bool aOnce,
                   std::uint32_t aMostConnections,
                   AnswerReceiver& aReceiver)
{
  Place& place = m_places[aAddress];
  std::shared_ptr<UpstreamConnection> connection = TakeIdle(place, aOnce);
  if (connection == nullptr) {
    const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(aAddress);
    const bool full = aMostConnections != 0 && place.m_open >= aMostConnections;
    if (!endpoint || full) {
      return nullptr;
    }
    connection = Open(aAddress, *endpoint);
  }
  connection->Send(std::move(aRequest), aReceiver);
  return connection;
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::TakeIdle(Place& aPlace, bool aOnce)
{
  while (!aPlace.m_idle.empty()) {
    Idle& last = aPlace.m_idle.back();
    if (aOnce && Now() - last.m_since > kOnceIdle) {
      return nullptr; // the others have been idle for even longer
    }
    std::shared_ptr<UpstreamConnection> connection =
      std::move(last.m_connection);
    aPlace.m_idle.pop_back();
    if (connection->Open() && connection->StillClean()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::Open(const std::string& aAddress, const Tcp::endpoint& aEndpoint)
{
  ++m_opened;
  ++m_places[aAddress].m_open;
  return std::make_shared<UpstreamConnection>(
    m_loop,
    aEndpoint,
    [this, aAddress](std::shared_ptr<UpstreamConnection> aConnection,
                     std::optional<Duration> aKeepAlive) {
      OnFree(aAddress, std::move(aConnection), aKeepAlive);
    },
    [this, aAddress] { --m_places[aAddress].m_open; });
}

void
UpstreamPool::OnFree(const std::string& aAddress,
                     std::shared_ptr<UpstreamConnection> aConnection,
                     std::optional<Duration> aKeepAlive)
{
  const Duration longest =
    aKeepAlive
      ? std::min(Duration(static_cast<Duration::rep>(
                   static_cast<double>(aKeepAlive->count()) * kKeepAlivePart)),
                 kLongestIdle)
      : kDefaultIdle;
  if (longest <= Duration::zero()) {
    aConnection->Close();
    return;
  }
  Place& place = m_places[aAddress];
  std::erase_if(place.m_idle,
                [](const Idle& aIdle) { return !aIdle.m_connection->Open(); });
  aConnection->WatchIdle(longest);
  place.m_idle.push_back({ std::move(aConnection), Now() });
}

void
UpstreamPool::Forget(const std::string& aAddress)
{
  const auto found = m_places.find(aAddress);
  if (found == m_places.end()) {
    return;
  }
  const std::vector<Idle> idle = std::exchange(found->second.m_idle, {});
  for (const Idle& entry : idle) {
    entry.m_connection->Close();
  }
}

} // namespace walnutwing::router
