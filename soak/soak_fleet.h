#ifndef WALNUTWING_SOAK_SOAK_FLEET_H_
#define WALNUTWING_SOAK_SOAK_FLEET_H_

// The processes of one run, and the proxies between them: routers, upstreams
// and the store, each started anew as often as it takes.
//
// Addresses: every run has numbers of its own within 127.0.0.0/8, made of this
// process's id. Routers are at .1 and on, upstreams behind them, and the store
// and all proxies at .250.

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

// Even numbers are in "z0", odd ones in "z1".
std::string
ZoneOf(std::uint32_t aIndex);

// A file in which an upstream writes down what it sees, and how far it has been
// read.
struct RecordFile
{
  std::string m_path;
  std::string m_zone;
  std::streamoff m_readOffset = 0;
};

class SoakFleet
{
public:
  // StartCount the store and the proxies.
  SoakFleet(boost::asio::io_context& aLoop, const SoakOptions& aOptions);

  void StartRouter(std::uint32_t aIndex);
  // aCold: for how long it is cold.
  void StartUpstream(std::uint32_t aIndex, Duration aCold);
  // Writes the router's settings anew, with another value in them.
  void WriteSettings(std::uint32_t aIndex);

  standin::ChildProcess& Router(std::uint32_t aIndex)
  {
    return *m_routers.at(aIndex);
  }
  standin::ChildProcess& Upstream(std::uint32_t aIndex)
  {
    return *m_upstreams.at(aIndex).m_process;
  }
  // How often it was started.
  std::uint32_t StartCount(std::uint32_t aUpstream) const
  {
    return m_upstreams.at(aUpstream).m_startCount;
  }
  standin::ChildProcess& Store() { return *m_store; }
  Proxy& ProxyOf(Link aLink, std::uint32_t aIndex);
  std::vector<RecordFile>& Records() { return m_records; }

  std::string StoreAddress() const;
  // Where callers connect: the routers' proxies.
  std::vector<std::string> CallerAddresses() const;
  // Running at once, with this one.
  std::uint32_t ProcessCount() const;

private:
  struct UpstreamProcess
  {
    std::unique_ptr<standin::ChildProcess> m_process;
    std::uint32_t m_startCount = 0;
  };

  std::string MakeAddress(std::uint32_t aHost, std::uint32_t aPort) const;
  std::uint32_t UpstreamHost(std::uint32_t aIndex) const;
  std::string Path(const std::string& aName) const;

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
