#ifndef WALNUTWING_BENCH_FLEET_DRIVER_H_
#define WALNUTWING_BENCH_FLEET_DRIVER_H_

// Drives the placement core of many daemons in virtual time through its public
// events. An engine is modelled by a count of running requests and an LRU cache
// of chats. The baseline policies run with the same options and know every
// engine's current load.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/placement/chat_placement.h"
#include "walnutwing/placement/permit_client.h"
#include "walnutwing/placement/upstream_owner.h"

namespace walnutwing::bench {

enum class Policy
{
  HashModN,
  BoundedRing,
  LeastLoaded,
  TwoChoices,
  PlacementWithoutHint,
  PlacementWithHint,
  Oracle, // upper bound: knows every cache and every load
};

struct FleetOptions
{
  std::uint64_t m_seed = 1;
  std::size_t m_engines = 20;
  std::size_t m_daemons = 8;
  std::size_t m_zones = 3;
  std::size_t m_regions = 1;
  double m_streamsPerEngine = 5;
  Duration m_meanStream = std::chrono::seconds(22);
  Duration m_meanReturnDelay = std::chrono::seconds(60);
  double m_returnChance = 0.9;    // that a chat continues after an answer
  std::size_t m_cacheChats = 400; // chats whose prompts an engine caches
  Duration m_coldTime = std::chrono::seconds(10); // after an engine starts
  Duration m_engineReplacementInterval{ 0 };      // 0: engines are not replaced
  Duration m_daemonReplacementInterval{ 0 };      // 0: daemons are not replaced
  bool m_loadReports = true;
  bool m_spreadNewChats = true; // callers say that a chat is new
  Policy m_policy = Policy::PlacementWithHint;
  OwnerOptions m_owner;
};

// Counts of one simulated second.
struct FleetSecondStats
{
  std::uint64_t m_completed = 0;
  std::uint64_t m_refused = 0;          // answered "not run"
  std::uint64_t m_startedLate = 0;      // started over 2 s after its arrival
  std::uint64_t m_startedInZoneOut = 0; // started in the zone that is out
  std::uint64_t m_started = 0;
  std::uint64_t m_cacheHits = 0; // started on an engine that caches the chat
  std::uint64_t m_returningChats = 0; // started, and the chat had run before
  std::uint64_t m_lost = 0;           // its daemon was killed
  std::uint64_t m_coldExcess = 0; // started above the slots of a cold engine
  std::uint64_t m_permitMessages = 0;
  std::uint64_t m_permitBytes = 0; // encoded, without headers
  std::uint64_t m_overBound = 0;   // started above the load bound at that time
  std::uint32_t m_maxRunning = 0;  // over warm engines whose zone is not out
  double m_meanRunning = 0;
};

class FleetDriver
{
public:
  explicit FleetDriver(const FleetOptions& aOptions);

  // Runs until this time since the start. A further call continues from there.
  void RunTo(Duration aTime);

  // Take effect at once in the engines and 0.5 s to 2 s later, depending on the
  // view, in the daemons.
  void TakeZoneOut(std::size_t aZone);
  void BringZoneBack(std::size_t aZone);

  // While split, the daemons of group 1 consider those of group 0 dead; the
  // daemons of group 0 consider all alive.
  void SetViewsSplit(bool aSplit);

  // With true, the daemon that owns the most engines stops handling events and
  // is considered dead after 5 s. With false, it handles the queued events
  // while it still believes that it owns its engines, and gets the current view
  // one second later.
  void SetOneDaemonFrozen(bool aFrozen);

  // Makes each engine cold at once with this probability, without telling the
  // daemons.
  void TurnCold(double aChance);

  void SetArrivalFactor(double aFactor) { m_arrivalFactor = aFactor; }

  const std::vector<FleetSecondStats>& Seconds() const { return m_seconds; }

private:
  struct Engine
  {
    UpstreamId m_id;
    std::size_t m_zone = 0;
    std::size_t m_region = 0;
    bool m_alive = true;
    bool m_zoneOut = false;
    Time m_coldUntil;
    std::uint32_t m_running = 0;
    std::uint64_t m_hash = 0;
    std::list<std::uint64_t> m_recent; // chats, most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_cached;
  };
  struct Chat
  {
    ChatKey m_key;
    std::uint64_t m_hash = 0;
    std::size_t m_region = 0;
    std::optional<std::size_t> m_lastEngine; // engine that served it last
  };
  struct Daemon
  {
    DaemonId m_id;
    std::size_t m_zone = 0;
    std::size_t m_view = 0;
    bool m_alive = true;
    bool m_frozen = false;
    bool m_consideredDead = false;
    std::vector<std::function<void()>> m_backlog; // while frozen
    std::unique_ptr<PermitClient> m_client;
    std::map<std::size_t, std::unique_ptr<UpstreamOwner>> m_owned;
  };
  // The state of the fleet as the daemons of one region and group see it.
  struct View
  {
    std::size_t m_region = 0;
    bool m_split = false;
    std::vector<bool> m_zoneOut;
    std::unique_ptr<ChatPlacement> m_placement;
    std::vector<std::size_t> m_ownerOf; // by engine; kNoDaemon if none
  };
  struct Request
  {
    std::uint64_t m_chat = 0;
    std::size_t m_daemon = 0;
    Time m_arrivedAt;
    std::optional<std::size_t> m_engine;
  };
  struct Event
  {
    Time m_at;
    std::uint64_t m_sequence;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_sequence) >
             std::pair(aOther.m_at, aOther.m_sequence);
    }
  };

  void Schedule(Duration aDelay, std::function<void()> aRun);
  Duration DrawExponential(Duration aMean);
  double ChatsPerMs() const;
  void SeedChats();
  std::uint64_t AddChat();
  void SubmitNewChat();
  void Submit(std::uint64_t aChat);
  void SubmitToBaseline(std::uint64_t aRequest);
  std::optional<std::size_t> ChooseBaselineEngine(const Chat& aChat);
  std::vector<std::size_t> AvailableEngines() const;
  std::uint32_t LoadBound(const std::vector<std::size_t>& aEngines) const;
  void Start(std::uint64_t aRequest, std::size_t aEngine);
  void Finish(std::uint64_t aRequest);
  void EndRequest(std::uint64_t aRequest, bool aReturns);
  void RunOnDaemon(std::size_t aDaemon, std::function<void()> aRun);
  void Perform(std::size_t aDaemon, PermitClientActions aActions);
  void Perform(std::size_t aDaemon, OwnerActions aActions);
  void DeliverToOwner(std::size_t aFrom, const SendToOwner& aSend);
  void RunGossipRound();
  void UpdateView(std::size_t aView);
  void UpdateAllViews();
  bool IsInView(const View& aView, const Daemon& aDaemon) const;
  void AddOwner(std::size_t aDaemon, std::size_t aEngine);
  void NotifyOwnerChange(std::size_t aDaemon, std::size_t aEngine);
  std::vector<PlacementUpstream> MakeUpstreams(const View& aView) const;
  void AddEngine(std::size_t aZone, bool aCold);
  void AddDaemon(std::size_t aZone, std::size_t aGroup);
  void ReplaceEngine();
  void ReplaceDaemon();
  bool IsWarmAndAvailable(const Engine& aEngine) const;
  double MeanRunning() const;
  void SampleLoad();
  FleetSecondStats& CurrentSecond() { return m_seconds.back(); }

  FleetOptions m_options;
  std::mt19937_64 m_random;
  Time m_now{ std::chrono::hours(1) };
  Time m_start = m_now;
  std::uint64_t m_nextId = 0;
  std::priority_queue<Event> m_events;
  std::vector<Engine> m_engines;
  std::unordered_map<UpstreamId, std::size_t> m_engineIndex;
  std::vector<Daemon> m_daemons;
  std::unordered_map<DaemonId, std::size_t> m_daemonIndex;
  std::vector<View> m_views;
  std::vector<Chat> m_chats;
  std::unordered_map<std::uint64_t, Request> m_requests;
  std::vector<proto::UpstreamState> m_gossip; // of the last round
  std::vector<EngineLoad> m_reports;          // of the last round, by engine
  std::vector<FleetSecondStats> m_seconds;
  double m_arrivalFactor = 1;
};

} // namespace walnutwing::bench

#endif // WALNUTWING_BENCH_FLEET_DRIVER_H_
