#ifndef WALNUTWING_SOAK_SOAK_FLEET_H_
#define WALNUTWING_SOAK_SOAK_FLEET_H_

// The processes of one run (routers, upstreams and the store) and the proxies
// between them. Routers and upstreams can be started again.
//
// Addresses: each run uses a network of its own within 127.0.0.0/8, derived
// from the id of this process. Routers are at .1 and up, followed by the
// upstreams; the store and all proxies are at .250.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "soak/fault_plan.h"
#include "soak/proxy.h"
#include "soak/roles.h"
#include "soak/soak_run.h"
#include "standin/child_process.h"

namespace walnutwing::soak {

// The zone of a router or upstream: "z0" for even indexes, "z1" for odd ones.
std::string
ZoneOf(std::uint32_t aIndex);

// The record file of an upstream (see RunUpstreamRole) and the offset up to
// which it has been read.
struct RecordFile
{
  std::string m_path;
  std::string m_zone;
  std::streamoff m_readOffset = 0;
};

class SoakFleet
{
public:
  // Starts the store and the proxies.
  SoakFleet(boost::asio::io_context& aLoop, const SoakOptions& aOptions);

  void StartRouter(std::uint32_t aIndex);
  // Starts a new incarnation, after killing the old one if it still runs.
  // aCold: how long the new one stays cold.
  void StartUpstream(std::uint32_t aIndex, Duration aCold);
  // The same under the name and with the version of the one before it.
  void RestartUpstream(std::uint32_t aIndex, Duration aCold);
  // Rewrites the router's settings with another value of log_bytes_per_s, so
  // that a reload finds a change.
  void WriteSettings(std::uint32_t aIndex);

  standin::ChildProcess& Router(std::uint32_t aIndex)
  {
    return *m_routers.at(aIndex);
  }
  standin::ChildProcess& Upstream(std::uint32_t aIndex)
  {
    return *m_upstreams.at(aIndex).m_process;
  }
  // How often the upstream was started.
  std::uint32_t StartCount(std::uint32_t aUpstream) const
  {
    return m_upstreams.at(aUpstream).m_startCount;
  }
  // Must be called once.
  void StartStore();
  standin::ChildProcess& Store() { return *m_store; }
  Proxy& ProxyOf(Link aLink, std::uint32_t aIndex);
  std::vector<RecordFile>& Records() { return m_records; }

  std::string StoreAddress() const;
  // The addresses that callers connect to: those of the routers' proxies.
  std::vector<std::string> CallerAddresses() const;
  // How many processes run at once, including this one.
  std::uint32_t ProcessCount() const;

private:
  struct UpstreamProcess
  {
    std::unique_ptr<standin::ChildProcess> m_process;
    std::uint32_t m_startCount = 0;
    std::uint32_t m_incarnation = 0; // the number in its name
  };

  void RunUpstream(std::uint32_t aIndex, Duration aCold);
  std::string UpstreamName(std::uint32_t aIndex) const;

  std::string MakeAddress(std::uint32_t aHost, std::uint32_t aPort) const;
  std::uint32_t UpstreamHost(std::uint32_t aIndex) const;
  std::string Path(const std::string& aName) const;
  std::string RepeatBounds() const; // of the settings

  const SoakOptions& m_options;
  std::string m_addressPrefix; // "127.B.C."
  std::uint32_t m_settingsWritten = 0;
  std::unique_ptr<standin::ChildProcess> m_store;
  std::vector<std::unique_ptr<standin::ChildProcess>> m_routers;
  std::vector<UpstreamProcess> m_upstreams;
  std::vector<RecordFile> m_records;
  std::vector<std::unique_ptr<Proxy>> m_callerProxies;
  std::vector<std::unique_ptr<Proxy>> m_storeProxies;
  std::vector<std::unique_ptr<Proxy>> m_upstreamProxies;
};

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_SOAK_FLEET_H_
