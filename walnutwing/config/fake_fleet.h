#ifndef WALNUTWING_CONFIG_FAKE_FLEET_H_
#define WALNUTWING_CONFIG_FAKE_FLEET_H_

// Simulates a fleet of ConfigFollowers in virtual time, with simulated links
// and a simulated log, for tests and benchmarks of how configuration spreads.
// Messages are delayed, paced by the sender's budget of control traffic and
// lost at random from a seed. Their sizes are those of the real encoding.

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
  Duration m_logDelay{ 10 };               // one way
  Duration m_tickInterval{ 100 };          // between two calls of OnTick
  Duration m_deathDetectionDelay{ 5'000 }; // until another reader takes over
  unsigned m_lossPercent = 0;              // of messages between peers
  std::uint64_t m_bytesPerSecond = 4096;   // budget of each daemon
  std::size_t m_maxRecordsPerRead = 100;
  ConfigFollowerOptions m_follower;
  std::uint64_t m_seed = 1;
};

struct FakeFleetCounters
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_peerBytes = 0;
  std::uint64_t m_reverts = 0; // changes of a daemon to an older version
};

class FakeFleet
{
public:
  explicit FakeFleet(FakeFleetOptions aOptions);

  // Appends aChange, signed with the newest version as its base. Returns the
  // record's offset.
  std::uint64_t AppendChange(proto::ConfigRecord aChange);
  // Appends aRecord unchanged. Returns its offset.
  std::uint64_t Append(const proto::ConfigRecord& aRecord);

  void Run(Duration aDuration);
  // Runs until aDone returns true, for at most aMaxDuration. Returns the
  // virtual time that passed.
  Duration RunUntil(const std::function<bool()>& aDone, Duration aMaxDuration);

  // Fault injection.
  void KillDaemon(std::size_t aDaemon);
  void ReplaceDaemon(std::size_t aDaemon); // by a new one without state
  void SetFrozen(std::size_t aDaemon, bool aFrozen);
  // A partitioned zone reaches neither the log nor other zones.
  void SetZonePartitioned(std::size_t aZone, bool aPartitioned);
  void SetLogDown(bool aDown) { m_logDown = aDown; }
  void SetLogLag(std::size_t aRecords) { m_logLagRecords = aRecords; }
  void SetLogDelay(Duration aDelay) { m_options.m_logDelay = aDelay; }
  // Makes each append of a snapshot take effect twice.
  void SetDuplicateAppends(bool aDuplicate) { m_duplicateAppends = aDuplicate; }
  // Sets the age at which the log drops records.
  void SetRetention(Duration aRetention) { m_retention = aRetention; }
  void AdvanceWithoutEvents(Duration aDuration) { m_clock.Advance(aDuration); }

  std::size_t ZoneOf(std::size_t aDaemon) const
  {
    return aDaemon % m_options.m_zones;
  }
  ConfigVersion VersionOf(std::size_t aDaemon) const;
  // Whether all daemons that are alive, not frozen and in no partitioned zone
  // have aVersion in force.
  bool IsInForceEverywhere(ConfigVersion aVersion) const;
  const ConfigFollower& Follower(std::size_t aDaemon) const;
  // The state of a reader that has seen every record of the log.
  const ConfigState& ReferenceState() const { return m_referenceState; }
  const FakeFleetCounters& Counters() const { return m_counters; }
  std::uint64_t FirstOffset() const { return m_firstOffset; }

private:
  struct Daemon
  {
    std::unique_ptr<ConfigFollower> m_follower;
    unsigned m_incarnation = 0; // increases with each replacement
    bool m_alive = true;
    bool m_frozen = false;
    Time m_deadSince{};
    Time m_linkFreeAt{}; // when the paced link can send again
    ConfigVersion m_versionInForce = 0;
    // Received while frozen.
    std::vector<std::function<void()>> m_deferredEvents;
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
  bool CanReachLog(std::size_t aDaemon) const;
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
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
