#ifndef WALNUTWING_STANDIN_ROUTER_HARNESS_H_
#define WALNUTWING_STANDIN_ROUTER_HARNESS_H_

// Router processes, usually one, with small stand-ins in the test's process:
// the platform's store, upstreams and callers. Upstreams and callers send raw
// bytes, so that tests control each of them. All share one event loop; each
// wait ends after kHarnessWaitTimeout. The environment variable
// WALNUTWING_ROUTER names another build of the router, to see whether it has a
// fault that a test guards against.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/caller_standin.h"
#include "standin/child_process.h"
#include "standin/store_standin.h"
#include "standin/upstream_standin.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

inline constexpr Duration kHarnessWaitTimeout{ 20'000 };

struct HarnessOptions
{
  std::size_t m_upstreams = 2;
  std::size_t m_routers = 1;     // in zone z1, z2, z1, ...
  bool m_startWithConfig = true; // published before the router starts
  int m_stopLimitSeconds = 8; // setting stop_limit_s: from SIGTERM to the exit
  // Pause in the middle of each response of the store.
  Duration m_storeResponsePause{ 0 };
  bool m_waitUntilReady = true; // see the constructor
  std::string m_extraBounds{};  // more lines of [bounds] in the settings
  std::string m_version{};      // of the upstreams at first; "": not stated
  // Each router uses an address of the store of its own: the one with the
  // number of the router + 1.
  bool m_ownStoreAddresses = false;
  std::string m_limits{};              // lines of [limits] in the settings
  std::size_t m_maxBodyBytes = 10'000; // of a caller, in the configuration
};

class RouterHarness
{
public:
  // Starts the stand-ins and the routers. If m_waitUntilReady, waits until
  // their readiness pages have status 200, or 503 if there is no configuration;
  // throws std::runtime_error if they do not in time.
  explicit RouterHarness(const HarnessOptions& aOptions);
  explicit RouterHarness(std::size_t aUpstreams = 2)
    : RouterHarness(HarnessOptions{ .m_upstreams = aUpstreams })
  {
  }
  ~RouterHarness();
  RouterHarness(const RouterHarness&) = delete;
  RouterHarness& operator=(const RouterHarness&) = delete;

  // Runs the event loop until aCondition holds; false after
  // kHarnessWaitTimeout.
  bool WaitUntil(const std::function<bool()>& aCondition);
  void RunLoopFor(Duration aTime);

  // Publishes a configuration with fixed routes and the customers c1 and c2,
  // with the keys k1 and k2; aOrderPrefix is the path prefix of the route for
  // orders.
  void PutConfig(int aVersion, const std::string& aOrderPrefix = "/order/");
  // aStartWallMs identifies the upstream's incarnation; 0: not stated.
  void RegisterUpstream(std::size_t aIndex,
                        const std::string& aState = "ready",
                        std::int64_t aStartWallMs = 0);

  // Registers it under another id, as an upstream does that starts again.
  void RegisterUpstreamAs(const std::string& aId, std::size_t aIndex);

  // Sets the software version that an upstream states when it is registered
  // next; "": none.
  void SetUpstreamVersion(std::size_t aIndex, const std::string& aVersion);

  // Starts another upstream of a version, without registering it.
  void AddUpstream(const std::string& aVersion);

  asio::io_context& Loop() { return m_loop; }
  // Where the first router's callers connect.
  Tcp::endpoint CallersEndpoint() const;
  std::unique_ptr<CallerStandin> Connect(std::size_t aRouter = 0);
  // Connects to the router's readiness page.
  std::unique_ptr<CallerStandin> ConnectToReadyPage();
  // Retries while the router does not listen; null after kHarnessWaitTimeout.
  std::unique_ptr<CallerStandin> ConnectOnceItListens();

  // Sends one request on a new connection and returns all bytes received until
  // the router closes it, as the request's Connection: close asks.
  std::string Fetch(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aExtraFields = "",
                    const std::string& aBody = "");

  // Status of the router's readiness page; 0 without a response.
  int ReadyStatus(std::size_t aRouter = 0);
  // The first router's peak memory so far, in bytes.
  std::size_t RouterPeakMemory() const;
  // The first router's memory now, and its open descriptors.
  std::size_t RouterMemory() const;
  std::size_t RouterDescriptors() const;
  // Processor time that the first router has used.
  Duration RouterProcessorTime() const;
  // A router's metrics page.
  std::string MetricsText(std::size_t aRouter = 0);

  StoreStandin& Store() { return *m_store; }
  const StoreStandin& Store() const { return *m_store; }
  UpstreamStandin& Upstream(std::size_t aIndex)
  {
    return *m_upstreams.at(aIndex);
  }
  std::size_t Upstreams() const { return m_upstreams.size(); }
  std::size_t Routers() const { return m_routers.size(); }
  ChildProcess& Router(std::size_t aRouter = 0)
  {
    return *m_routers.at(aRouter).m_process;
  }
  // Kills a router, if it still runs, and starts it again.
  void StartRouter(std::size_t aRouter);
  // Number of requests recorded at all upstreams.
  std::size_t CountExchanges() const;
  std::string LogText(std::size_t aRouter = 0) const;
  // Rewrites the settings files, with aExtra as further lines of [bounds].
  void WriteSettings(const std::string& aExtra = "");
  void RemoveSettings();

private:
  struct RouterProcess
  {
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_store; // address of the store
    std::unique_ptr<ChildProcess> m_process;
  };

  void PutRegistration(const std::string& aId,
                       std::size_t aIndex,
                       const std::string& aState,
                       std::int64_t aStartWallMs);
  std::string SettingsFileOf(const RouterProcess& aRouter) const;
  std::string LogFileOf(const RouterProcess& aRouter) const;
  // A field of the first router's process status, in bytes.
  std::size_t RouterStatusField(const std::string& aField) const;
  http::response<http::string_body> FetchPage(std::size_t aRouter,
                                              std::uint16_t aPort,
                                              const std::string& aPath);
  std::unique_ptr<CallerStandin> ConnectTo(std::size_t aRouter,
                                           std::uint16_t aPort);

  std::string m_ip; // of the store and the upstreams
  HarnessOptions m_options;
  std::string m_directory;
  asio::io_context m_loop;
  std::unique_ptr<StoreStandin> m_store;
  std::vector<std::unique_ptr<UpstreamStandin>> m_upstreams;
  std::map<std::size_t, std::string> m_versions; // of upstreams
  std::vector<RouterProcess> m_routers;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ROUTER_HARNESS_H_
