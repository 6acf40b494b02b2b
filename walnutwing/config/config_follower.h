#ifndef WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_
#define WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_

// Keeps a daemon's configuration at the newest accepted version.
//
// One daemon of each zone, the reader, polls the log often. The others poll it
// rarely, or more often while they receive no messages from peers. A daemon
// whose version advances offers it to a few random peers. A daemon that is
// offered a newer version pulls it, and is sent the accepted changes since its
// own version. If these are no longer cached or too large for one push, it is
// sent the complete configuration. If that is also too large for the budget of
// control traffic, it is told to read the log instead, unless it reports that
// its log reads fail.
//
// Every second each daemon also offers its version to one random peer, or pulls
// from it while it has no configuration. This makes up for lost messages and
// lets daemons catch up after a partition. Versions only increase, so
// duplicate, late and reordered messages are harmless.
//
// The class performs no I/O and reads no clock: events and the time are passed
// in, and actions are appended to a vector that the caller passes.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "peer.pb.h"
#include "platform.pb.h"

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/config/config_log.h"

namespace walnutwing {

struct ConfigFollowerOptions
{
  Duration m_readerPollInterval = std::chrono::milliseconds(500);
  // Of a daemon that is not the reader.
  Duration m_slowPollInterval = std::chrono::seconds(30);
  // Of such a daemon after m_isolationTimeout without a message from a peer.
  Duration m_isolatedPollInterval = std::chrono::seconds(3);
  Duration m_isolationTimeout = std::chrono::seconds(10);
  // Longest delay before a failed read is retried, unless the regular interval
  // is longer.
  Duration m_maxPollBackoff = std::chrono::seconds(5);
  Duration m_readTimeout = std::chrono::seconds(5);
  Duration m_offerInterval = std::chrono::seconds(1);
  Duration m_pullTimeout = std::chrono::milliseconds(500);
  // Retries of a pull from the peer that offered a newer version.
  unsigned m_pullRetries = 3;
  std::size_t m_fanout = 3;            // peers that a new version is offered to
  std::size_t m_maxCachedEntries = 64; // accepted changes to send to peers
  // Largest push to a daemon that can read the log itself.
  std::size_t m_maxPushBytes = 2048;
  // How long the log keeps a record. A snapshot is renewed after half of this
  // time plus a random delay of at most 12% of it, so that the readers of all
  // zones do not append at once.
  Duration m_retention = std::chrono::hours(24 * 7);
  // Shortest time between two snapshots appended by this daemon.
  Duration m_snapshotRetryInterval = std::chrono::minutes(1);
};

// Read the log stream "config" from this offset.
struct ReadLog
{
  std::uint64_t m_fromOffset = 1;
};

// Append to the log stream "config". Idempotent; no response is expected.
struct AppendSnapshot
{
  proto::ConfigRecord m_record;
};

struct SendConfigOffer
{
  DaemonId m_to;
  proto::ConfigOffer m_offer;
};

struct SendConfigPull
{
  DaemonId m_to;
  proto::ConfigPull m_pull;
};

struct SendConfigPush
{
  DaemonId m_to;
  proto::ConfigPush m_push;
};

// Put this configuration in force in this daemon. Versions only increase.
struct ConfigInForce
{
  std::shared_ptr<const proto::FleetConfig> m_config;
};

using ConfigAction = std::variant<ReadLog,
                                  AppendSnapshot,
                                  SendConfigOffer,
                                  SendConfigPull,
                                  SendConfigPush,
                                  ConfigInForce>;
using ConfigActions = std::vector<ConfigAction>;

struct ConfigFollowerCounters
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_failedReads = 0;
  std::uint64_t m_snapshots = 0;
  std::uint64_t m_offersSent = 0;
  std::uint64_t m_pullsSent = 0;
  std::uint64_t m_pushesSent = 0;
  std::uint64_t m_completePushesSent = 0; // of these, complete configurations
  std::uint64_t m_pushesRejected = 0; // from peers: nothing newer that verifies
  std::uint64_t m_changesAccepted = 0;
  std::uint64_t m_changesRejected = 0;
};

class ConfigFollower
{
public:
  // aSeed seeds the jitter and the choice of peers.
  ConfigFollower(ConfigFollowerOptions aOptions,
                 DaemonId aSelf,
                 OperatorKeys aKeys,
                 std::uint64_t aSeed);

  // Starts polls, offers, retries and snapshots that are due. Call about every
  // 100 ms. Needs no special call after the process was suspended.
  void OnTick(Time aNow, WallTime aWallNow, ConfigActions* aActions);

  // Handles the response to ReadLog. Record bodies are ConfigRecords; a body
  // that cannot be parsed is treated as an empty change, which is rejected.
  void OnLogRead(Time aNow,
                 const proto::ReadResponse& aResponse,
                 ConfigActions* aActions);
  // The read failed. A read without a response counts as failed after
  // m_readTimeout.
  void OnLogReadFailed(Time aNow);

  // Sets whether this daemon is its zone's reader.
  void OnReaderRole(bool aIsReader);

  // Sets the daemons to exchange messages with, of this zone and of others.
  // This daemon itself may be among them and is ignored.
  void OnPeers(std::vector<DaemonId> aPeers);

  // Handles that aFrom has version aVersion in force, learned from its offer or
  // from gossip (MemberState.config_version).
  void OnPeerOffer(Time aNow,
                   const DaemonId& aFrom,
                   ConfigVersion aVersion,
                   ConfigActions* aActions);
  void OnPeerPull(const DaemonId& aFrom,
                  const proto::ConfigPull& aPull,
                  ConfigActions* aActions);
  void OnPeerPush(Time aNow,
                  const DaemonId& aFrom,
                  const proto::ConfigPush& aPush,
                  ConfigActions* aActions);

  const ConfigState& State() const { return m_state; }
  const ConfigFollowerCounters& Counters() const { return m_counters; }

private:
  void StartRead(Time aNow, ConfigActions* aActions);
  void RenewSnapshot(Time aNow, WallTime aWallNow, ConfigActions* aActions);
  void SendPull(Time aNow, const DaemonId& aFrom, ConfigActions* aActions);
  void RetryPull(Time aNow, ConfigActions* aActions);
  void SendOffer(const DaemonId& aTo, ConfigActions* aActions);
  void OnVersionAdvanced(ConfigActions* aActions);
  void CacheEntry(proto::ConfigLogEntry aEntry);
  bool AddEntriesSince(ConfigVersion aHaveVersion,
                       proto::ConfigPush* aPush) const;
  void ApplyRecord(const proto::LogRecord& aRecord);
  void UpdateSnapshotTime(std::int64_t aAtMs);
  std::vector<DaemonId> PickPeers(std::size_t aCount);
  Duration PollInterval(Time aNow) const;
  Duration AddJitter(Duration aInterval);

  ConfigFollowerOptions m_options;
  DaemonId m_self;
  ConfigState m_state;
  std::mt19937_64 m_random;
  ConfigFollowerCounters m_counters;
  std::vector<DaemonId> m_peers;
  bool m_isReader = false;

  std::optional<Time> m_readSentAt; // set while a read is in flight
  std::optional<Time> m_lastReadEnd;
  std::optional<Time> m_lastPeerMessage; // from any peer
  Duration m_pollJitter{ 0 };
  unsigned m_consecutiveFailedReads = 0;
  std::optional<Time> m_pullSentAt;
  ConfigVersion m_offeredVersion = 0; // newest that was offered, by m_offeredBy
  DaemonId m_offeredBy;
  unsigned m_pullRetriesLeft = 0; // for m_offeredVersion
  std::optional<Time> m_lastOffer;

  std::int64_t m_snapshotAtMs = 0; // of the newest known snapshot
  std::uint64_t m_snapshotSequence = 0;
  Duration m_snapshotJitter{ 0 };
  std::optional<Time> m_lastSnapshotAppend; // appended by this daemon

  // Accepted changes by ascending offset.
  std::deque<proto::ConfigLogEntry> m_cachedEntries;
};

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_
