#include "soak/soak_fleet.h"

#include <fstream>

#include <unistd.h>

namespace walnutwing::soak {
namespace {

using standin::ChildProcess;

constexpr std::uint32_t kSharedHost = 250;
constexpr std::uint16_t kListenPort = 8080;
constexpr std::uint16_t kReadyPort = 8081;
constexpr std::uint16_t kPeerPort = 8082;
constexpr std::uint16_t kUpstreamPort = 9000;
constexpr std::uint16_t kStorePort = 7000;
// The index of the router or upstream is added to these.
constexpr std::uint16_t kCallerProxyBasePort = 10'000;
constexpr std::uint16_t kStoreProxyBasePort = 11'000;
constexpr std::uint16_t kUpstreamProxyBasePort = 12'000;

std::string
ProcessAddressPrefix()
{
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 8U & 63U)) + "." +
         std::to_string(pid & 255U) + ".";
}

} // namespace

std::string
ZoneOf(std::uint32_t aIndex)
{
  return aIndex % 2 == 0 ? "z0" : "z1";
}

SoakFleet::SoakFleet(boost::asio::io_context& aLoop,
                     const SoakOptions& aOptions)
  : m_options(aOptions)
  , m_addressPrefix(ProcessAddressPrefix())
  , m_routers(aOptions.m_plan.m_routers)
  , m_upstreams(aOptions.m_plan.m_upstreams)
{
  for (std::uint32_t i = 0; i < m_routers.size(); ++i) {
    m_callerProxies.push_back(std::make_unique<Proxy>(
      aLoop,
      MakeAddress(kSharedHost, kCallerProxyBasePort + i),
      MakeAddress(1 + i, kListenPort)));
    m_storeProxies.push_back(
      std::make_unique<Proxy>(aLoop,
                              MakeAddress(kSharedHost, kStoreProxyBasePort + i),
                              StoreAddress()));
  }
  for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
    m_upstreamProxies.push_back(std::make_unique<Proxy>(
      aLoop,
      MakeAddress(kSharedHost, kUpstreamProxyBasePort + i),
      MakeAddress(UpstreamHost(i), kUpstreamPort)));
  }
}

void
SoakFleet::StartStore()
{
  const std::vector<std::string> arguments{
    m_options.m_self,
    "--role=store",
    "--ip=" + m_addressPrefix + std::to_string(kSharedHost),
    "--port=" + std::to_string(kStorePort),
  };
  m_store = std::make_unique<ChildProcess>(arguments, Path("store.log"));
}

std::string
SoakFleet::MakeAddress(std::uint32_t aHost, std::uint32_t aPort) const
{
  return m_addressPrefix + std::to_string(aHost) + ":" + std::to_string(aPort);
}

std::uint32_t
SoakFleet::UpstreamHost(std::uint32_t aIndex) const
{
  return 1 + m_options.m_plan.m_routers + aIndex;
}

std::string
SoakFleet::Path(const std::string& aName) const
{
  return m_options.m_directory + "/" + aName;
}

// No more than the guarantee allows. Every other seed has hardly any repeats,
// as when other trouble has spent them.
std::string
SoakFleet::RepeatBounds() const
{
  return HasTightRepeatBudget(m_options.m_plan.m_seed)
           ? "repeat_allowance = 1\nrepeat_ratio = 0.01\n"
           : "repeat_allowance = 30\n";
}

std::string
SoakFleet::StoreAddress() const
{
  return MakeAddress(kSharedHost, kStorePort);
}

std::vector<std::string>
SoakFleet::CallerAddresses() const
{
  std::vector<std::string> addresses;
  addresses.reserve(m_routers.size());
  for (std::uint32_t i = 0; i < m_routers.size(); ++i) {
    addresses.push_back(MakeAddress(kSharedHost, kCallerProxyBasePort + i));
  }
  return addresses;
}

std::uint32_t
SoakFleet::ProcessCount() const
{
  return static_cast<std::uint32_t>(m_routers.size() + m_upstreams.size() + 2);
}

Proxy&
SoakFleet::ProxyOf(Link aLink, std::uint32_t aIndex)
{
  switch (aLink) {
    case Link::Callers:
      return *m_callerProxies.at(aIndex);
    case Link::Store:
      return *m_storeProxies.at(aIndex);
    case Link::Upstream:
      break;
  }
  return *m_upstreamProxies.at(aIndex);
}

void
SoakFleet::WriteSettings(std::uint32_t aIndex)
{
  constexpr std::uint32_t kLogBytesPerSecond = 65'536;
  std::ofstream(Path("router-" + std::to_string(aIndex) + ".ini"))
    << "[router]\nname = d" << aIndex << "\nzone = " << ZoneOf(aIndex)
    << "\nlisten = " << MakeAddress(1 + aIndex, kListenPort)
    << "\nready_listen = " << MakeAddress(1 + aIndex, kReadyPort)
    << "\npeer_listen = " << MakeAddress(1 + aIndex, kPeerPort)
    << "\nmetrics_port = 0\nlog_bytes_per_s = "
    << kLogBytesPerSecond + ++m_settingsWritten << "\n[platform]\naddress = "
    << MakeAddress(kSharedHost, kStoreProxyBasePort + aIndex)
    << "\n[bounds]\nstop_limit_s = 8\n"
    << RepeatBounds();
}

void
SoakFleet::StartRouter(std::uint32_t aIndex)
{
  WriteSettings(aIndex);
  const std::string name = "router-" + std::to_string(aIndex);
  const std::vector<std::string> arguments{
    m_options.m_router, "router", "--config", Path(name + ".ini")
  };
  m_routers[aIndex] =
    std::make_unique<ChildProcess>(arguments, Path(name + ".log"));
}

void
SoakFleet::StartUpstream(std::uint32_t aIndex, Duration aCold)
{
  UpstreamProcess& upstream = m_upstreams[aIndex];
  upstream.m_incarnation = upstream.m_startCount;
  m_records.push_back(
    { Path(UpstreamName(aIndex) + ".record"), ZoneOf(aIndex), 0 });
  RunUpstream(aIndex, aCold);
}

void
SoakFleet::RestartUpstream(std::uint32_t aIndex, Duration aCold)
{
  RunUpstream(aIndex, aCold);
}

std::string
SoakFleet::UpstreamName(std::uint32_t aIndex) const
{
  return "u" + std::to_string(aIndex) + "-" +
         std::to_string(m_upstreams[aIndex].m_incarnation);
}

void
SoakFleet::RunUpstream(std::uint32_t aIndex, Duration aCold)
{
  UpstreamProcess& upstream = m_upstreams[aIndex];
  ++upstream.m_startCount;
  const std::string name = UpstreamName(aIndex);
  const std::vector<std::string> arguments{
    m_options.m_self,
    "--role=upstream",
    "--name=" + name,
    "--zone=" + ZoneOf(aIndex),
    // One that replaces another has the other version.
    "--software=v" + std::to_string(upstream.m_incarnation % 2),
    "--ip=" + m_addressPrefix + std::to_string(UpstreamHost(aIndex)),
    "--port=" + std::to_string(kUpstreamPort),
    "--address=" + MakeAddress(kSharedHost, kUpstreamProxyBasePort + aIndex),
    "--store=" + StoreAddress(),
    "--record=" + Path(name + ".record"),
    "--cold_ms=" + std::to_string(aCold.count()),
    "--seed=" + std::to_string(m_options.m_plan.m_seed),
    "--break=" + std::string(NameOf(m_options.m_defect)),
  };
  upstream.m_process.reset(); // kills the old one, which frees its port
  upstream.m_process =
    std::make_unique<ChildProcess>(arguments, Path(name + ".log"));
}

} // namespace walnutwing::soak
