#ifndef WALNUTWING_REVIEW_STANDIN_3_FLEET_H_
#define WALNUTWING_REVIEW_STANDIN_3_FLEET_H_

// A small deployment for the scripts of review/11 to review/15: routers as
// separate processes, started as deploy/system.toml says, and in this process
// stand-ins for the platform's store, the engines and the consumers. Each
// router and the stand-ins have an address of their own in 127.0.0.0/8.

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "standin/caller_standin.h"
#include "standin/child_process.h"
#include "standin/store_standin.h"
#include "standin/upstream_standin.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::review {

using standin::Tcp;
namespace asio = boost::asio;

// Exit statuses of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Whether the disruption is to happen: not with TROUBLE=0 in the environment.
bool
HasTrouble();

// One engine process: its registration, and the server behind its address.
struct Engine
{
  std::string m_service;
  std::string m_zone;
  std::string m_version;
  std::string m_id;
  std::int64_t m_born = 0;
  int m_sequence = 0;
  bool m_runs = true; // and writes to the store
  bool m_listed = false;
  Time m_nextBeat;
  Time m_lastBeat;
  std::string m_address;
  std::unique_ptr<standin::UpstreamStandin> m_server; // null: elsewhere
};

class Fleet
{
public:
  // aZones: of the routers, one for each. aRecordFile gets what Note is told.
  Fleet(const std::string& aRecordFile, std::vector<std::string> aZones);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Writes a line with the time since the start.
  void Note(const std::string& aLine);

  void PutConfig(const std::string& aJson);

  // Starts an engine and registers it. Its handler is set at Server.
  std::size_t AddEngine(const std::string& aService,
                        const std::string& aZone,
                        const std::string& aVersion);
  // The same for one whose server is elsewhere, at aAddress.
  std::size_t AddEngineAt(const std::string& aService,
                          const std::string& aZone,
                          const std::string& aVersion,
                          const std::string& aAddress);
  const std::string& Ip() const { return m_ip; } // of the stand-ins
  std::size_t Engines() const { return m_engines.size(); }
  Engine& EngineAt(std::size_t aIndex) { return m_engines.at(aIndex); }
  standin::UpstreamStandin& Server(std::size_t aIndex)
  {
    return *m_engines.at(aIndex).m_server;
  }

  // The engine's process ends: its connections close, its registrations stop,
  // and its entry lapses after three intervals.
  void CrashEngine(std::size_t aIndex);
  // It starts again at its address, under aId and with a new start time. The
  // store has accepted its registration before it listens.
  void RestartEngine(std::size_t aIndex,
                     const std::string& aId,
                     const std::string& aVersion);

  // Starts the routers and waits until all of them are ready and know each
  // other. Returns false if they do not in time.
  bool Start();

  std::size_t Routers() const { return m_routers.size(); }
  std::unique_ptr<standin::CallerStandin> Connect(std::size_t aRouter);
  Tcp::endpoint Frontend(std::size_t aRouter) const;
  // Changes the settings files of all routers and sends them SIGHUP.
  void ChangeSettings();
  // Whether no router has ended.
  bool RoutersRun();

  asio::io_context& Loop() { return m_loop; }
  void RunFor(Duration aTime);
  bool WaitUntil(const std::function<bool()>& aCondition, Duration aLimit);
  Duration Elapsed() const;

private:
  struct Router
  {
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::unique_ptr<standin::ChildProcess> m_process;
  };

  void Register(Engine& aEngine);
  void Beat();
  void ScheduleBeats();
  std::string WriteSettings(const Router& aRouter) const; // returns its path
  int ReadyStatus(const Router& aRouter);
  std::string LogText(const Router& aRouter) const;

  Time m_startedAt;
  std::ofstream m_record;
  std::string m_directory;
  asio::io_context m_loop;
  std::string m_ip; // of the store and the engines
  standin::StoreStandin m_store;
  asio::steady_timer m_beatTimer;
  std::vector<Engine> m_engines;
  std::vector<Router> m_routers;
  int m_repeatAllowance = 54; // in the settings
};

// A request of a consumer with the fields that all have.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aAttemptId,
            const std::string& aExtraFields,
            const std::string& aBody);

// A route, service list and tenant as JSON; aExtra: further members.
std::string
MakeRoute(const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService,
          const std::string& aExtra);
std::string
MakeConfig(const std::string& aRoutes,
           const std::vector<std::string>& aServices);

} // namespace walnutwing::review

#endif // WALNUTWING_REVIEW_STANDIN_3_FLEET_H_
