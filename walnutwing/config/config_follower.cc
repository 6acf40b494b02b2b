// A daemon learns of a newer version in three ways: by polling the log, from an
// offer of a peer whose version advanced, and from the offer that every daemon
// sends to one random peer every second. Each is sufficient alone; together,
// one change costs a few log reads per zone and a few hundred bytes per daemon.
// Large configurations are read from the log as long as it can be read, because
// a transfer between peers would delay their control traffic for many seconds.

#include "walnutwing/config/config_follower.h"

#include <algorithm>
#include <utility>

namespace walnutwing {
namespace {

constexpr unsigned kMaxBackoffDoublings = 8;
constexpr int kMaxJitterPercent = 20; // of an interval
// Fractions of the retention: age at which a snapshot is renewed, and the
// interval from which the jitter of that age is drawn.
constexpr int kSnapshotAgeDivisor = 2;
constexpr int kSnapshotJitterDivisor = 10;

std::int64_t
ToUnixMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

bool
IsDue(Time aNow, const std::optional<Time>& aLast, Duration aInterval)
{
  return !aLast || aNow - *aLast >= aInterval;
}

} // namespace

ConfigFollower::ConfigFollower(ConfigFollowerOptions aOptions,
                               DaemonId aSelf,
                               OperatorKeys aKeys,
                               std::uint64_t aSeed)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_state(std::move(aKeys))
  , m_random(aSeed)
  , m_snapshotJitter(AddJitter(m_options.m_retention / kSnapshotJitterDivisor))
{
}

void
ConfigFollower::OnTick(Time aNow, WallTime aWallNow, ConfigActions* aActions)
{
  if (m_readSentAt && aNow - *m_readSentAt >= m_options.m_readTimeout) {
    OnLogReadFailed(aNow);
  }
  if (!m_readSentAt &&
      IsDue(aNow, m_lastReadEnd, PollInterval(aNow) + m_pollJitter)) {
    StartRead(aNow, aActions);
  }
  RenewSnapshot(aNow, aWallNow, aActions);
  RetryPull(aNow, aActions);
  if (!IsDue(aNow, m_lastOffer, m_options.m_offerInterval)) {
    return;
  }
  m_lastOffer = aNow;
  for (const DaemonId& peer : PickPeers(1)) {
    if (m_state.Version() == 0) {
      SendPull(aNow, peer, aActions);
    } else {
      SendOffer(peer, aActions);
    }
  }
}

void
ConfigFollower::OnLogRead(Time aNow,
                          const proto::ReadResponse& aResponse,
                          ConfigActions* aActions)
{
  m_readSentAt.reset();
  m_lastReadEnd = aNow;
  m_consecutiveFailedReads = 0;
  m_pollJitter = AddJitter(PollInterval(aNow)) - PollInterval(aNow);
  const ConfigVersion before = m_state.Version();
  m_state.OnTruncated(aResponse.first_offset());
  for (const proto::LogRecord& record : aResponse.records()) {
    if (record.offset() < m_state.NextOffset()) {
      continue;
    }
    if (record.offset() > m_state.NextOffset()) {
      break; // records before this one are missing; the next read gets them
    }
    ApplyRecord(record);
  }
  if (m_state.Version() > before) {
    OnVersionAdvanced(aActions);
  }
  const bool more = aResponse.records_size() > 0 &&
                    m_state.NextOffset() < aResponse.next_offset();
  if (more) {
    StartRead(aNow, aActions);
  }
}

void
ConfigFollower::OnLogReadFailed(Time aNow)
{
  m_readSentAt.reset();
  m_lastReadEnd = aNow;
  ++m_consecutiveFailedReads;
  ++m_counters.m_failedReads;
  m_pollJitter = AddJitter(PollInterval(aNow)) - PollInterval(aNow);
}

void
ConfigFollower::OnReaderRole(bool aIsReader)
{
  if (aIsReader && !m_isReader) {
    m_pollJitter = Duration(0);
  }
  m_isReader = aIsReader;
}

void
ConfigFollower::OnPeers(std::vector<DaemonId> aPeers)
{
  m_peers = std::move(aPeers);
  std::erase(m_peers, m_self);
}

void
ConfigFollower::OnPeerOffer(Time aNow,
                            const DaemonId& aFrom,
                            ConfigVersion aVersion,
                            ConfigActions* aActions)
{
  m_lastPeerMessage = aNow;
  if (aVersion > m_state.Version()) {
    if (aVersion > m_offeredVersion) {
      m_offeredVersion = aVersion;
      m_offeredBy = aFrom;
      m_pullRetriesLeft = m_options.m_pullRetries;
    }
    SendPull(aNow, aFrom, aActions);
    return;
  }
  if (aVersion < m_state.Version()) {
    SendOffer(aFrom, aActions);
  }
}

void
ConfigFollower::OnPeerPull(const DaemonId& aFrom,
                           const proto::ConfigPull& aPull,
                           ConfigActions* aActions)
{
  if (aPull.have_version() >= m_state.Version()) {
    return;
  }
  SendConfigPush send{ aFrom, {} };
  send.m_push.set_snapshot_at_ms(m_snapshotAtMs);
  if (!AddEntriesSince(aPull.have_version(), &send.m_push)) {
    send.m_push.clear_entries();
    const bool tooLarge =
      m_state.Config().ByteSizeLong() > m_options.m_maxPushBytes;
    if (tooLarge && !aPull.whole()) {
      send.m_push.set_read_log(true);
      aActions->emplace_back(std::move(send));
      return;
    }
    *send.m_push.mutable_config() = m_state.Config();
    ++m_counters.m_completePushesSent;
  }
  ++m_counters.m_pushesSent;
  aActions->emplace_back(std::move(send));
}

void
ConfigFollower::OnPeerPush(Time aNow,
                           const DaemonId& /*aFrom*/,
                           const proto::ConfigPush& aPush,
                           ConfigActions* aActions)
{
  m_lastPeerMessage = aNow;
  m_pullSentAt.reset();
  UpdateSnapshotTime(aPush.snapshot_at_ms());
  if (aPush.read_log()) {
    if (!m_readSentAt) {
      StartRead(aNow, aActions);
    }
    return;
  }
  const ConfigVersion before = m_state.Version();
  if (aPush.has_config()) {
    m_state.AdoptFromPeer(aPush.config());
  }
  for (const proto::ConfigLogEntry& entry : aPush.entries()) {
    if (m_state.AdoptFromPeer(entry)) {
      CacheEntry(entry);
    }
  }
  if (m_state.Version() > before) {
    OnVersionAdvanced(aActions);
    return;
  }
  ++m_counters.m_pushesRejected;
}

void
ConfigFollower::StartRead(Time aNow, ConfigActions* aActions)
{
  m_readSentAt = aNow;
  ++m_counters.m_reads;
  aActions->emplace_back(ReadLog{ m_state.NextOffset() });
}

// Appends a snapshot if the newest known one is old enough to be renewed. Only
// a reader that has accounted for every record may do so, because the snapshot
// replaces these records.
void
ConfigFollower::RenewSnapshot(Time aNow,
                              WallTime aWallNow,
                              ConfigActions* aActions)
{
  if (!m_isReader || m_consecutiveFailedReads > 0 || !m_state.Anchored() ||
      m_state.Version() == 0 ||
      !IsDue(aNow, m_lastSnapshotAppend, m_options.m_snapshotRetryInterval)) {
    return;
  }
  const Duration age(ToUnixMs(aWallNow) - m_snapshotAtMs);
  if (age < m_options.m_retention / kSnapshotAgeDivisor + m_snapshotJitter) {
    return;
  }
  m_lastSnapshotAppend = aNow;
  ++m_counters.m_snapshots;
  const std::string id = "snapshot-" + m_self.Value() + "-" +
                         std::to_string(ToUnixMs(aWallNow)) + "-" +
                         std::to_string(++m_snapshotSequence);
  aActions->emplace_back(
    AppendSnapshot{ m_state.MakeSnapshot(id, ToUnixMs(aWallNow)) });
}

void
ConfigFollower::SendPull(Time aNow,
                         const DaemonId& aFrom,
                         ConfigActions* aActions)
{
  if (!IsDue(aNow, m_pullSentAt, m_options.m_pullTimeout)) {
    return;
  }
  m_pullSentAt = aNow;
  ++m_counters.m_pullsSent;
  SendConfigPull send{ aFrom, {} };
  send.m_pull.set_have_version(m_state.Version());
  send.m_pull.set_whole(m_consecutiveFailedReads > 0);
  aActions->emplace_back(std::move(send));
}

// Repeats a pull while the offered version has not arrived and retries are
// left, because the pull or the push may have been lost.
void
ConfigFollower::RetryPull(Time aNow, ConfigActions* aActions)
{
  if (m_pullRetriesLeft == 0 || m_offeredVersion <= m_state.Version() ||
      !IsDue(aNow, m_pullSentAt, m_options.m_pullTimeout)) {
    return;
  }
  --m_pullRetriesLeft;
  SendPull(aNow, m_offeredBy, aActions);
}

void
ConfigFollower::SendOffer(const DaemonId& aTo, ConfigActions* aActions)
{
  ++m_counters.m_offersSent;
  SendConfigOffer send{ aTo, {} };
  send.m_offer.set_version(m_state.Version());
  aActions->emplace_back(std::move(send));
}

void
ConfigFollower::OnVersionAdvanced(ConfigActions* aActions)
{
  aActions->emplace_back(ConfigInForce{
    std::make_shared<const proto::FleetConfig>(m_state.Config()) });
  for (const DaemonId& peer : PickPeers(m_options.m_fanout)) {
    SendOffer(peer, aActions);
  }
}

void
ConfigFollower::CacheEntry(proto::ConfigLogEntry aEntry)
{
  m_cachedEntries.push_back(std::move(aEntry));
  while (m_cachedEntries.size() > m_options.m_maxCachedEntries) {
    m_cachedEntries.pop_front();
  }
}

// Adds the accepted changes since aHaveVersion to aPush. Returns false if some
// of them are not cached or they exceed m_maxPushBytes; aPush may then contain
// some of the changes.
bool
ConfigFollower::AddEntriesSince(ConfigVersion aHaveVersion,
                                proto::ConfigPush* aPush) const
{
  ConfigVersion reached = aHaveVersion;
  std::size_t bytes = 0;
  for (const proto::ConfigLogEntry& entry : m_cachedEntries) {
    if (entry.offset() <= aHaveVersion) {
      continue;
    }
    bytes += entry.ByteSizeLong();
    if (entry.record().base_version() != reached ||
        bytes > m_options.m_maxPushBytes) {
      return false;
    }
    *aPush->add_entries() = entry;
    reached = entry.offset();
  }
  return reached == m_state.Version();
}

void
ConfigFollower::ApplyRecord(const proto::LogRecord& aRecord)
{
  proto::ConfigRecord record;
  if (!record.ParseFromString(aRecord.body())) {
    record.Clear();
  }
  // While the log has its first record, nothing has expired. The first snapshot
  // is therefore due as if this record were one.
  if (aRecord.offset() == 1) {
    UpdateSnapshotTime(aRecord.at_ms());
  }
  std::vector<ConfigVerdict> verdicts;
  m_state.Apply(aRecord.offset(), aRecord.at_ms(), record, &verdicts);
  for (const ConfigVerdict& verdict : verdicts) {
    switch (verdict.m_kind) {
      case VerdictKind::Accepted:
        ++m_counters.m_changesAccepted;
        break;
      case VerdictKind::RejectedStaleBase:
      case VerdictKind::RejectedInvalid:
      case VerdictKind::RejectedSignature:
        ++m_counters.m_changesRejected;
        break;
      case VerdictKind::SnapshotIgnored:
      case VerdictKind::SnapshotAdopted:
        UpdateSnapshotTime(std::min(aRecord.at_ms(), record.at_ms()));
        break;
      default:
        break;
    }
  }
  if (m_state.Version() != aRecord.offset()) {
    return;
  }
  proto::ConfigLogEntry entry;
  entry.set_offset(aRecord.offset());
  entry.set_at_ms(aRecord.at_ms());
  *entry.mutable_record() = std::move(record);
  CacheEntry(std::move(entry));
}

void
ConfigFollower::UpdateSnapshotTime(std::int64_t aAtMs)
{
  if (aAtMs <= m_snapshotAtMs) {
    return;
  }
  m_snapshotAtMs = aAtMs;
  m_snapshotJitter = AddJitter(m_options.m_retention / kSnapshotJitterDivisor) -
                     m_options.m_retention / kSnapshotJitterDivisor;
}

std::vector<DaemonId>
ConfigFollower::PickPeers(std::size_t aCount)
{
  std::vector<DaemonId> picked;
  std::sample(m_peers.begin(),
              m_peers.end(),
              std::back_inserter(picked),
              aCount,
              m_random);
  return picked;
}

Duration
ConfigFollower::PollInterval(Time aNow) const
{
  Duration interval = m_options.m_slowPollInterval;
  if (m_isReader) {
    interval = m_options.m_readerPollInterval;
  } else if (IsDue(aNow, m_lastPeerMessage, m_options.m_isolationTimeout)) {
    interval = m_options.m_isolatedPollInterval;
  }
  const unsigned doublings =
    std::min(m_consecutiveFailedReads, kMaxBackoffDoublings);
  if (doublings == 0) {
    return interval;
  }
  return std::max(
    interval,
    std::min(interval * (1 << doublings), m_options.m_maxPollBackoff));
}

Duration
ConfigFollower::AddJitter(Duration aInterval)
{
  const Duration::rep maxJitter = aInterval.count() * kMaxJitterPercent / 100;
  return aInterval + Duration(std::uniform_int_distribution<Duration::rep>(
                       0, std::max<Duration::rep>(maxJitter, 0))(m_random));
}

} // namespace walnutwing
