#include "router/upstream_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

namespace walnutwing::router {
namespace {

// An idle connection is kept for this fraction of the keep-alive timeout that
// the upstream stated, up to kMaxIdle, or for kDefaultIdle if it stated none.
constexpr double kKeepAliveFraction = 0.5;
constexpr Duration kDefaultIdle = std::chrono::milliseconds(900);
constexpr Duration kMaxIdle = std::chrono::seconds(10);
// A connection that was idle for longer is not reused for a non-idempotent
// request: the upstream may have just closed it.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::milliseconds(1000);

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
                   ConnectionUse aUse,
                   std::uint32_t aMaxConnections,
                   ResponseReceiver& aReceiver)
{
  AddressEntry& entry = m_addresses[aAddress];
  std::shared_ptr<UpstreamConnection> connection =
    TakeIdle(entry, aUse, aRequest.m_attemptId);
  if (connection == nullptr) {
    const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(aAddress);
    const bool full = aMaxConnections != 0 && entry.m_open >= aMaxConnections;
    if (!endpoint || full) {
      return nullptr;
    }
    connection = OpenConnection(aAddress, *endpoint);
  }
  connection->Send(std::move(aRequest), aReceiver);
  return connection;
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::TakeIdle(AddressEntry& aEntry,
                       ConnectionUse aUse,
                       const std::string& aAttemptId)
{
  while (aUse != ConnectionUse::New && !aEntry.m_idle.empty()) {
    IdleConnection& last = aEntry.m_idle.back();
    if (aUse == ConnectionUse::RecentlyUsed &&
        Now() - last.m_since > kMaxIdleNonIdempotent) {
      return nullptr; // the other connections have been idle even longer
    }
    std::shared_ptr<UpstreamConnection> connection =
      std::move(last.m_connection);
    aEntry.m_idle.pop_back();
    // A copy of a refusal would be taken for the response to a request with the
    // same id.
    const bool ambiguous = connection->HasRefused(aAttemptId);
    if (!ambiguous && connection->IsOpen() && connection->IsIdleAndOpen()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<UpstreamConnection>
UpstreamPool::OpenConnection(const std::string& aAddress,
                             const Tcp::endpoint& aEndpoint)
{
  ++m_openedTotal;
  ++m_addresses[aAddress].m_open;
  return std::make_shared<UpstreamConnection>(
    m_loop,
    aEndpoint,
    [this, aAddress](std::shared_ptr<UpstreamConnection> aConnection,
                     std::optional<Duration> aKeepAlive) {
      OnReusable(aAddress, std::move(aConnection), aKeepAlive);
    },
    [this, aAddress] { --m_addresses[aAddress].m_open; });
}

void
UpstreamPool::OnReusable(const std::string& aAddress,
                         std::shared_ptr<UpstreamConnection> aConnection,
                         std::optional<Duration> aKeepAlive)
{
  const Duration maxIdle =
    aKeepAlive
      ? std::min(
          Duration(static_cast<Duration::rep>(
            static_cast<double>(aKeepAlive->count()) * kKeepAliveFraction)),
          kMaxIdle)
      : kDefaultIdle;
  if (maxIdle <= Duration::zero()) {
    aConnection->Close();
    return;
  }
  AddressEntry& entry = m_addresses[aAddress];
  std::erase_if(entry.m_idle, [](const IdleConnection& aIdle) {
    return !aIdle.m_connection->IsOpen();
  });
  aConnection->WatchIdle(maxIdle);
  entry.m_idle.push_back({ std::move(aConnection), Now() });
}

void
UpstreamPool::CloseIdleConnections(const std::string& aAddress)
{
  const auto found = m_addresses.find(aAddress);
  if (found == m_addresses.end()) {
    return;
  }
  const std::vector<IdleConnection> idle =
    std::exchange(found->second.m_idle, {});
  for (const IdleConnection& entry : idle) {
    entry.m_connection->Close();
  }
}

} // namespace walnutwing::router
