#ifndef WALNUTWING_STANDIN_ROUTER_HARNESS_H_
#define WALNUTWING_STANDIN_ROUTER_HARNESS_H_

// A router process with small stand-ins in the test's process: the platform's
// store, upstreams and callers. Upstreams and callers send raw bytes, so that
// tests control each of them. All share one event loop; each wait ends after
// kHarnessWaitTimeout.

#include <cstdint>
#include <functional>
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
  bool m_startWithConfig = true; // published before the router starts
  int m_stopLimitSeconds = 8; // setting stop_limit_s: from SIGTERM to the exit
  // Pause in the middle of each response of the store.
  Duration m_storeResponsePause{ 0 };
  bool m_waitUntilReady = true; // see the constructor
  std::string m_extraBounds{};  // more lines of [bounds] in the settings
};

class RouterHarness
{
public:
  // Starts the stand-ins and the router. If m_waitUntilReady, waits until its
  // readiness page has status 200, or 503 if there is no configuration; throws
  // std::runtime_error if it does not in time.
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

  // Publishes a configuration with fixed routes; aOrderPrefix is the path
  // prefix of the route for orders.
  void PutConfig(int aVersion, const std::string& aOrderPrefix = "/order/");
  // aStartWallMs identifies the upstream's incarnation; 0: not stated.
  void RegisterUpstream(std::size_t aIndex,
                        const std::string& aState = "ready",
                        std::int64_t aStartWallMs = 0);

  std::unique_ptr<CallerStandin> Connect();
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
  int ReadyStatus();
  // The router's peak memory so far, in bytes.
  std::size_t RouterPeakMemory() const;
  // The router's metrics page.
  std::string MetricsText();

  StoreStandin& Store() { return *m_store; }
  UpstreamStandin& Upstream(std::size_t aIndex)
  {
    return *m_upstreams.at(aIndex);
  }
  std::size_t Upstreams() const { return m_upstreams.size(); }
  ChildProcess& Router() { return *m_router; }
  // Number of requests recorded at all upstreams.
  std::size_t CountExchanges() const;
  std::string LogText() const;
  // Rewrites the settings file, with aExtra as further lines of [bounds].
  void WriteSettings(const std::string& aExtra = "");
  void RemoveSettings();

private:
  http::response<http::string_body> FetchPage(std::uint16_t aPort,
                                              const std::string& aPath);
  std::unique_ptr<CallerStandin> ConnectTo(std::uint16_t aPort);

  std::string m_ip;
  HarnessOptions m_options;
  std::string m_directory;
  asio::io_context m_loop;
  std::unique_ptr<StoreStandin> m_store;
  std::vector<std::unique_ptr<UpstreamStandin>> m_upstreams;
  std::unique_ptr<ChildProcess> m_router;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ROUTER_HARNESS_H_
