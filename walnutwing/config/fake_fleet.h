#ifndef WALNUTWING_CONFIG_FAKE_FLEET_H_
#define WALNUTWING_CONFIG_FAKE_FLEET_H_

// Followers on a paused clock, joined by fake links and a fake log. For tests
// and benchmarks of the configuration's way through the fleet; no part of the
// product. Messages are delayed, paced by the sender's control budget and lost
// by seeded chance; their bytes are those of the real encoder.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/config/config_follower.h"
#include "walnutwing/config/test_configs.h"

namespace walnutwing {

struct FakeFleetOptions
{
  std::size_t m_daemons = 8;
  std::size_t m_zones = 3;
  Duration m_peerDelay{ 2 };
  Duration m_logDelay{ 10 };      // one way
  Duration m_tickInterval{ 100 }; // between two OnTick
  Duration m_deathDetectionDelay{
    5'000
  };                          // until a dead reader's zone has another
  unsigned m_lossPercent = 0; // of messages between peers
  std::uint64_t m_bytesPerSecond = 4096; // that a daemon sends
  std::size_t m_maxRecordsPerRead = 100; // records in one answer
  ConfigFollowerOptions m_follower;
  std::uint64_t m_seed = 1;
};

struct FakeFleetCounters
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_peerBytes = 0;
  std::uint64_t m_reverts = 0; // a daemon went back to an older version
};

class FakeFleet
{
public:
  explicit FakeFleet(FakeFleetOptions aOptions);

  // Appends aChange, signed against what the whole log says. Returns its
  // offset.
  std::uint64_t AppendChange(proto::ConfigRecord aChange);
  // Appends aRecord as it is.
  std::uint64_t Append(const proto::ConfigRecord& aRecord);

  void Run(Duration aDuration);
  // Runs until aDone or for aMaxDuration; returns how long it ran.
  Duration RunUntil(const std::function<bool()>& aDone, Duration aMaxDuration);

  // Faults.
  void KillDaemon(std::size_t aDaemon);
  void ReplaceDaemon(std::size_t aDaemon); // a fresh daemon in its place
  void SetFrozen(std::size_t aDaemon, bool aFrozen);
  void SetZonePartitioned(std::size_t aZone,
                          bool aPartitioned); // from the log and other zones
  void SetLogDown(bool aDown) { m_logDown = aDown; }
  void SetLogLag(std::size_t aRecords) { m_logLagRecords = aRecords; }
  void SetLogDelay(Duration aDelay) { m_options.m_logDelay = aDelay; }
  // Appends take effect, but twice.
  void SetDuplicateAppends(bool aDuplicate) { m_duplicateAppends = aDuplicate; }
  // The log forgets records older than this.
  void SetRetention(Duration aRetention) { m_retention = aRetention; }
  void AdvanceWithoutEvents(Duration aDuration) { m_clock.Advance(aDuration); }

  std::size_t ZoneOf(std::size_t aDaemon) const
  {
    return aDaemon % m_options.m_zones;
  }
  ConfigVersion VersionOf(std::size_t aDaemon) const;
  // Whether all daemons that are alive, running and not cut off have aVersion.
  bool IsInForceEverywhere(ConfigVersion aVersion) const;
  const ConfigFollower& Follower(std::size_t aDaemon) const;
  // What a reader of the whole log has in force.
  const ConfigState& ReferenceState() const { return m_referenceState; }
  const FakeFleetCounters& Counters() const { return m_counters; }
  std::uint64_t FirstOffset() const { return m_firstOffset; }

private:
  struct Daemon
  {
    std::unique_ptr<ConfigFollower> m_follower;
    unsigned m_incarnation = 0; // grows with each replacement
    bool m_alive = true;
    bool m_frozen = false;
    Time m_deadSince{};
    Time m_linkFreeAt{}; // when its paced link can take the next message
    ConfigVersion m_inForce = 0;
    std::vector<std::function<void()>> m_deferredEvents; // events while frozen
  };

  void StartDaemon(std::size_t aDaemon);
  void Schedule(Duration aDelay, std::function<void()> aEvent);
  void Tick(std::size_t aDaemon, unsigned aIncarnation);
  void Deliver(
    std::size_t aDaemon,
    unsigned aIncarnation,
    const std::function<void(ConfigFollower&, ConfigActions&)>& aEvent);
  void ExecuteActions(std::size_t aDaemon, const ConfigActions& aActions);
  void ExecuteRead(std::size_t aDaemon, std::uint64_t aFrom);
  void Send(std::size_t aFrom,
            const DaemonId& aTo,
            const proto::PeerMessage& aMessage);
  bool ReachesLog(std::size_t aDaemon) const;
  bool Reaches(std::size_t aFrom, std::size_t aTo) const;
  void AssignReaders();
  void ExpireOldRecords();
  proto::ReadResponse MakeReadResponse(std::uint64_t aFrom);

  FakeFleetOptions m_options;
  PausedClock m_clock;
  std::mt19937_64 m_random;
  std::multimap<Time, std::function<void()>> m_events;
  std::vector<Daemon> m_daemons;
  std::map<std::string, std::size_t> m_names;
  std::set<std::size_t> m_partitionedZones;
  bool m_logDown = false;
  bool m_duplicateAppends = false;
  std::size_t m_logLagRecords = 0;
  Duration m_retention = std::chrono::hours(24 * 365);
  std::vector<proto::LogRecord> m_log;
  std::uint64_t m_firstOffset = 1;
  std::uint64_t m_changes = 0;
  ConfigState m_referenceState;
  FakeFleetCounters m_counters;
};

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_FAKE_FLEET_H_
