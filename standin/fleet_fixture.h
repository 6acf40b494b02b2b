#ifndef WALNUTWING_STANDIN_FLEET_FIXTURE_H_
#define WALNUTWING_STANDIN_FLEET_FIXTURE_H_

// A small fleet of real processes on loopback: a stand-in platform, two zones
// with two daemons and two engines each, and one plain service. Daemon i and
// engine i (0 to 3) are in zone "z1" (0, 1) or "z2" (2, 3).
//
// Fleets that run at the same time don't conflict: each process has its own IP
// address within 127.0.0.0/8, derived from its process id, and fleets of one
// process use different ports. Waits run this process's event loop and end
// after kFleetWaitTimeout.

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "config.pb.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/answer_check.h"
#include "standin/child_process.h"

namespace walnutwing::standin {

inline constexpr std::size_t kFleetDaemons = 4;
inline constexpr std::size_t kFleetEngines = 4;
inline constexpr Duration kFleetWaitTimeout{ 60'000 };

// Names and keys in the fleet's configuration.
inline constexpr const char* kCustomerKey = "customer-key";
inline constexpr const char* kOtherCustomerKey = "other-customer-key";
inline constexpr const char* kChatService = "assistant"; // on the engines
inline constexpr const char* kOrderService = "shutoff";  // on the plain service

// A call, in flight or ended, and what has arrived of its answer.
struct OpenCall
{
  std::unique_ptr<net::Call> m_call; // reset it to close the connection
  int m_status = 0;
  net::Headers m_headers;
  std::string m_body;
  std::unique_ptr<StreamCheck> m_check; // fed with the body of a 200 answer
  bool m_ended = false;
  net::CallEnd m_end;

  // Whether the complete, correct answer to a chat has arrived.
  bool IsComplete() const
  {
    return m_ended && m_end.m_stage == net::CallStage::Complete &&
           m_status == 200 && m_check->Result() == Verdict::Complete;
  }
  // The result code of the error body or error event, 0 without one.
  int Code() const;
  // The field "ran" of the error body, such as "not run"; empty without one.
  std::string RunState() const;
};

class Fleet
{
public:
  struct Options
  {
    std::string m_binDirectory; // the build directory
    std::uint64_t m_serviceRunMs = 0;
    std::uint64_t m_engineStepMs = 2;
    std::uint32_t m_engineSlots = 8; // of each engine, and in the preset
    std::uint32_t m_coldSlots = 2;   // in the preset
    int m_stopLimitSeconds = 60;     // of the daemons
  };

  // Starts all processes, publishes a configuration and waits until all daemons
  // are ready and know all upstreams. Throws std::runtime_error on failure.
  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // --- processes ---
  ChildProcess& Daemon(std::size_t aIndex) { return *m_daemons.at(aIndex); }
  ChildProcess& Engine(std::size_t aIndex) { return *m_engines.at(aIndex); }
  // Kills the daemon or engine if it runs, starts it again and waits until it
  // is ready. Throws std::runtime_error if it does not become ready.
  void RestartDaemon(std::size_t aIndex);
  void RestartEngine(std::size_t aIndex);
  // Kills the plain service, or starts it again.
  void KillService() { m_service.reset(); }
  void StartService();

  net::Endpoint Platform() const { return EndpointAt(0); }
  net::Endpoint DaemonAddress(std::size_t aIndex) const;
  net::Endpoint AdminAddress(std::size_t aIndex) const;
  net::Endpoint EngineAddress(std::size_t aIndex) const;
  net::Endpoint ServiceAddress() const { return EndpointAt(90); }

  // --- operators ---
  // Appends a signed change to the platform's log and waits until it is in
  // force at every running daemon. Throws std::runtime_error on failure.
  void PublishChange(proto::ConfigRecord aChange);
  void TakeZoneOut(const std::string& aZone);
  void TakeZoneBack(const std::string& aZone);

  // --- callers ---
  std::unique_ptr<OpenCall> StartChat(std::size_t aDaemon,
                                      const std::string& aText,
                                      std::uint64_t aTokens);
  std::unique_ptr<OpenCall> StartOrder(std::size_t aDaemon,
                                       const std::string& aKey);
  // Returns a unique order key, issued now.
  std::string NewOrderKey();

  net::HttpResponse Fetch(const net::Endpoint& aEndpoint,
                          const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aBody = "");
  // Sends a GET; returns its JSON, or null without status 200 or valid JSON.
  nlohmann::json FetchJson(const net::Endpoint& aEndpoint,
                           const std::string& aTarget);
  // Sends POST /fault?QUERY to a stand-in. Throws std::runtime_error if its
  // status is not 200.
  void SetFault(const net::Endpoint& aEndpoint, const std::string& aQuery);
  // Returns how often the plain service has run an order. Throws
  // std::runtime_error if it does not answer.
  std::uint64_t CountRuns(const std::string& aKey);

  // Runs the event loop until aCondition holds; false after kFleetWaitTimeout.
  bool WaitUntil(const std::function<bool()>& aCondition);
  bool WaitFor(const OpenCall& aCall)
  {
    return WaitUntil([&aCall] { return aCall.m_ended; });
  }
  // Runs the event loop for aTime.
  void RunLoopFor(Duration aTime);

  // Holds the processes' output and settings; removed with the fleet.
  const std::string& Directory() const { return m_directory; }

private:
  net::Endpoint EndpointAt(std::size_t aPortIndex) const;
  std::string WriteSettings(std::size_t aIndex) const;
  void StartDaemon(std::size_t aIndex);
  void StartEngine(std::size_t aIndex);
  bool IsDaemonReady(std::size_t aIndex);
  std::unique_ptr<OpenCall> StartCall(net::CallRequest aRequest);
  std::unique_ptr<ChildProcess> StartStandin(
    const std::string& aName,
    const std::vector<std::string>& aArguments) const;
  // Waits until aCondition holds; throws std::runtime_error with aWhat if it
  // does not in time.
  void RequireEventually(const std::string& aWhat,
                         const std::function<bool()>& aCondition);

  Options m_options;
  std::string m_ip;
  std::uint16_t m_firstPort;
  std::string m_directory;
  net::EventLoop m_loop;
  net::HttpClient m_client{ m_loop };
  std::unique_ptr<ChildProcess> m_platform;
  std::unique_ptr<ChildProcess> m_service;
  std::array<std::unique_ptr<ChildProcess>, kFleetDaemons> m_daemons;
  std::array<std::unique_ptr<ChildProcess>, kFleetEngines> m_engines;
  proto::FleetConfig m_config; // the one in force
  std::uint64_t m_changes = 0;
  std::uint64_t m_orders = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_FLEET_FIXTURE_H_
