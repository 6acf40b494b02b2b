#ifndef WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_
#define WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_

// Keeps a daemon's configuration at the newest accepted version.
//
// One daemon of each zone, the reader, polls the log often; the others poll it
// slowly, and faster when no peer has been heard. A daemon that moves forward
// offers its version to a few random peers; one that is behind pulls, and is
// sent the accepted changes since its version. What is too large for the
// control budget it is told to read from the log; only a daemon that cannot
// read the log is sent it whole. Every second each offers its version to one
// random peer, so that what got lost is made up for and cut-off daemons catch
// up. Versions only grow, so repeated, late and crossed messages do no harm.
//
// A component of the core: events and the time go in, actions are appended to
// the vector that the caller passes.

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
  Duration m_slowPollInterval = std::chrono::seconds(30);
  Duration m_isolatedPollInterval =
    std::chrono::seconds(3); // no peer heard for m_isolationTimeout
  Duration m_isolationTimeout = std::chrono::seconds(10);
  Duration m_maxPollBackoff = std::chrono::seconds(5); // longest retry delay
  Duration m_readTimeout = std::chrono::seconds(5); // then the answer is lost
  Duration m_offerInterval = std::chrono::seconds(1);
  Duration m_pullTimeout = std::chrono::milliseconds(500);
  unsigned m_pullRetries = 3;          // of the same peer, after an offer
  std::size_t m_fanout = 3;            // peers offered to at each move forward
  std::size_t m_maxCachedEntries = 64; // accepted changes kept for peers
  // Largest push to a daemon that can read the log by itself.
  std::size_t m_maxPushBytes = 2048;
  Duration m_retention = std::chrono::hours(24 * 7); // of log records
  // A snapshot is renewed after half the retention, and up to a tenth of it
  // later, so that the readers of all zones do not append at once.
  Duration m_snapshotRetryInterval = std::chrono::minutes(1);
};

// Read the log stream "config" from this offset.
struct ReadLog
{
  std::uint64_t m_fromOffset = 1;
};

// Append to the log stream "config". Harmless if done twice; needs no answer.
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

// From now on this is in force in this daemon. Versions only grow.
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
  std::uint64_t m_wholePushesSent = 0; // of those, with the whole configuration
  std::uint64_t m_pushesRefused = 0;   // from peers: old, forged or unverified
  std::uint64_t m_changesAccepted = 0;
  std::uint64_t m_changesRejected = 0;
};

class ConfigFollower
{
public:
  // aSeed drives jitter and the choice of peers.
  ConfigFollower(ConfigFollowerOptions aOptions,
                 DaemonId aSelf,
                 OperatorKeys aKeys,
                 std::uint64_t aSeed);

  // Call often, say every 100 ms; polls, offers and snapshots start here. A
  // process that was frozen needs no special call.
  void OnTick(Time aNow, WallTime aWallNow, ConfigActions* aActions);

  // The answer to ReadLog. Bodies are ConfigRecords; one that cannot be read
  // counts as an empty change, which is rejected.
  void OnLogRead(Time aNow,
                 const proto::ReadResponse& aResponse,
                 ConfigActions* aActions);
  void OnLogReadFailed(Time aNow);

  // Whether this daemon is its zone's reader.
  void OnReaderRole(bool aIsReader);

  // The daemons that this one may talk to, of its own zone and of others.
  void OnPeers(std::vector<DaemonId> aPeers);

  // aVersion may also come from gossip (MemberState.config_version).
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
  void Keep(proto::ConfigLogEntry aEntry);
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

  std::optional<Time> m_readSentAt; // a read is on its way
  std::optional<Time> m_lastReadEnd;
  std::optional<Time> m_lastPeerMessage; // from any peer
  Duration m_pollJitter{ 0 };
  unsigned m_consecutiveFailedReads = 0; // in a row
  std::optional<Time> m_pullSentAt;
  ConfigVersion m_offeredVersion = 0; // by m_offeredBy, newer than ours then
  DaemonId m_offeredBy;
  unsigned m_pullRetriesLeft = 0; // that the offer is still worth
  std::optional<Time> m_lastOffer;

  std::int64_t m_snapshotAtMs = 0; // newest in the log, as far as is known
  std::uint64_t m_snapshotSequence = 0;
  Duration m_snapshotJitter{ 0 };
  std::optional<Time> m_lastSnapshotAppend; // appended by this daemon

  std::deque<proto::ConfigLogEntry>
    m_cachedEntries; // accepted, by ascending offset
};

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_CONFIG_FOLLOWER_H_
