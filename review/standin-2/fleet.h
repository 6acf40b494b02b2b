#ifndef WALNUTWING_REVIEW_STANDIN_2_FLEET_H_
#define WALNUTWING_REVIEW_STANDIN_2_FLEET_H_

// A small deployment for the cases of the second review: router processes,
// started with the command of deploy/system.toml and with settings as
// deploy/router.ini makes them, between stand-ins of the store, the engines
// and the clients. The stand-ins are the project's own (standin/) and run in
// the case's process. Each router has a loopback address of its own.
//
// Engines write their entry every kHeartbeat while they run and the store
// takes it, and work on a request as long as its channel is open.

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standin/caller_standin.h"
#include "standin/child_process.h"
#include "standin/store_standin.h"
#include "standin/upstream_standin.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::review {

using standin::CallerStandin;
using standin::UpstreamExchange;

inline constexpr Duration kHeartbeat{ 1200 };
inline constexpr Duration kEventPause{ 100 };

// Whether the case runs with its disruption; TROUBLE=0 leaves it out.
bool
WithTrouble();

// What was sent, answered and run, with the time since the case began.
class Record
{
public:
  explicit Record(const std::string& aFile);
  void Add(const std::string& aText);

private:
  std::ofstream m_file;
  Time m_begunAt;
};

struct FleetOptions
{
  std::size_t m_routers = 1;    // each in a zone of its own: z1, z2, ...
  std::size_t m_engines = 4;    // of the service pool, beside three of app
  std::string m_version = "v1"; // of the engines' software
  std::size_t m_maxHeaderBytes = 16384; // of clients, in the configuration
};

class Fleet
{
public:
  // Starts the stand-ins and the routers. Throws std::runtime_error if the
  // routers do not become ready.
  Fleet(const FleetOptions& aOptions, const std::string& aRecordFile);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Lets time pass: engines send events and heartbeats.
  void RunFor(Duration aTime);
  // The same until the condition holds; false after aLimit.
  bool RunUntil(const std::function<bool()>& aCondition, Duration aLimit);

  // Sends bytes on a new channel to a router.
  std::unique_ptr<CallerStandin> Connect(std::size_t aRouter);

  standin::ChildProcess& Router(std::size_t aRouter);
  std::string LogText(std::size_t aRouter) const;

  // The store turns a router away, without an answer, and serves the others.
  void CutFromStore(std::size_t aRouter, bool aCut);

  // Starts another engine and registers it.
  void AddEngine(const std::string& aVersion,
                 const std::string& aService = "pool");
  // Another writer than the engine puts an entry under the engine's id.
  void PutForeignEntry(std::size_t aEngine, const std::string& aService);
  const std::string& ServiceOf(std::size_t aEngine) const
  {
    return m_engines.at(aEngine).m_service;
  }
  // The engine's process ends, with its channels.
  void CrashEngine(std::size_t aEngine);
  // It starts again under its id and address.
  void RestartEngine(std::size_t aEngine, const std::string& aVersion);

  // Its streams send nothing for that time, as those of an engine that has
  // preempted them; later they go on.
  void PauseStreams(std::size_t aEngine, Duration aTime);
  // Whether engines of the service pool are full: new requests get 503 with
  // X-Not-Executed, those at work go on.
  void SetPoolFull(bool aFull);

  // Handles requests other than streams; without it they are answered at once.
  using Handler =
    std::function<void(std::size_t, const std::shared_ptr<UpstreamExchange>&)>;
  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }

  Record& GetRecord() { return m_record; }

private:
  struct Engine
  {
    std::string m_id;
    std::string m_service;
    std::string m_version;
    std::int64_t m_born = 0;
    std::uint64_t m_beats = 0;
    bool m_runs = true;
    Time m_nextBeat;
    std::unique_ptr<standin::UpstreamStandin> m_server;
  };
  struct Stream
  {
    std::shared_ptr<UpstreamExchange> m_exchange;
    std::size_t m_engine = 0;
    std::string m_version;
    int m_nextEvent = 1;
    Time m_nextAt;
    bool m_ended = false;
  };
  struct RouterProcess
  {
    std::string m_name;
    std::string m_ip;
    std::size_t m_storeDoor = 0;
    std::unique_ptr<standin::ChildProcess> m_process;
  };

  void PutConfig(std::size_t aMaxHeaderBytes);
  void StartRouter(RouterProcess& aRouter, std::size_t aZone);
  bool IsReady(const RouterProcess& aRouter);
  void OnRequest(std::size_t aEngine,
                 const std::shared_ptr<UpstreamExchange>& aExchange);
  void Beat(Engine& aEngine);
  void SendEvents();

  Record m_record;
  std::string m_directory;
  std::string m_ip;
  standin::asio::io_context m_loop;
  std::unique_ptr<standin::StoreStandin> m_store;
  std::vector<Engine> m_engines;
  std::vector<Stream> m_streams;
  std::vector<RouterProcess> m_routers;
  Handler m_handler;
  bool m_poolIsFull = false;
};

// The head of a request of the client c1. aFields: more lines.
std::string
MakeHead(const std::string& aMethod,
         const std::string& aPath,
         const std::string& aAttemptId,
         const std::string& aFields);

// The same of a stream, with a prompt of its own.
std::string
MakeStreamRequest(const std::string& aAttemptId,
                  int aPrompt,
                  const std::string& aFields);

// The id of the last event that a client has; 0 if it has none.
int
LastEventOf(const std::string& aReceived);

} // namespace walnutwing::review

#endif // WALNUTWING_REVIEW_STANDIN_2_FLEET_H_
