// Records may be delivered twice and, in a snapshot of a topic, out of order.
// So a configuration is applied only if its version is newer than the one in
// force, and the directory detects which upstream records change something.

#include "router/fleet_state.h"

#include <algorithm>
#include <utility>

#include "platform/config_codec.h"
#include "router/store_pace.h"

namespace walnutwing::router {
namespace {

// Time within which a live upstream registers again after the store recovers.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2300);
// Fleet size assumed until the members are read. It is large, so that this
// daemon's share of the budgets is small and cold upstreams get no requests.
constexpr std::uint32_t kInitialFleetSize = 30;

FollowerOptions
FollowerOptionsOf(const TopicTiming& aTiming)
{
  FollowerOptions options;
  options.m_wait = aTiming.m_wait;
  options.m_interval = aTiming.m_interval;
  return options;
}

FollowerOptions
OperatorOptions(const RouterSettings& aSettings)
{
  FollowerOptions options = FollowerOptionsOf(OperatorTopicTiming(aSettings));
  options.m_newestAfterFailure = true;
  return options;
}

} // namespace

FleetState::FleetState(Context& aContext, LoadExchange& aExchange)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_directory(kReregistrationTime)
  , m_operatorFeed(
      m_context,
      std::string(platform::kOperatorTopic),
      OperatorOptions(m_context.m_settings),
      [this](const TopicUpdate& aUpdate) { OnOperatorUpdate(aUpdate); },
      [](bool) {})
  , m_upstreamFeed(
      m_context,
      std::string(platform::kUpstreamTopic),
      FollowerOptionsOf(UpstreamTopicTiming(m_context.m_settings)),
      [this](const TopicUpdate& aUpdate) { OnUpstreamUpdate(aUpdate); },
      [this](bool aAvailable) { OnStoreHealth(aAvailable); })
  , m_members(
      m_context,
      m_exchange,
      [this](const platform::StoreRecord& aRecord) {
        return m_traitBlocks.OnMemberRecord(aRecord) ||
               m_streamVersionStore.OnMemberRecord(aRecord);
      },
      [this] { m_streamVersionStore.OnMemberSnapshot(); })
  , m_peers(m_context,
            m_exchange,
            m_operatorFeed,
            m_upstreamFeed,
            m_members.Feed())
  , m_permits(
      m_context,
      m_exchange,
      [this](const std::string& aAddress, proto::RouterPeerMessage aMessage) {
        m_peers.SendTo(aAddress, std::move(aMessage));
      })
  , m_traitBlocks(m_context, m_exchange)
  , m_streamExchange(
      m_context,
      [this](const std::string& aAddress, proto::RouterPeerMessage aMessage) {
        m_peers.SendTo(aAddress, std::move(aMessage));
      },
      [this] { return HasFreshUpstreams(); },
      [this](std::function<void(bool)> aOnRead) {
        AskStoreForVersions(std::move(aOnRead));
      })
  , m_streamVersionStore(m_context, m_exchange)
  , m_streamJournal(m_context)
  , m_rollouts(m_context,
               m_exchange,
               m_directory,
               [this] { m_peers.SendSoon(); })
  , m_upstreamTail(m_context,
                   std::string(platform::kUpstreamTopic),
                   TopicGap::FailRead,
                   [this](const std::vector<platform::StoreRecord>& aRecords) {
                     NoteVersions(aRecords);
                   })
{
  m_context.m_daemons = kInitialFleetSize;
}

void
FleetState::Start()
{
  for (TopicFeed* feed :
       { &m_operatorFeed, &m_upstreamFeed, &m_members.Feed() }) {
    feed->SetEraHandler(
      [this](const std::string& aTopic, const EraChange& aChange) {
        OnStoreEra(aTopic, aChange);
      });
  }
  m_operatorFeed.Start();
  m_upstreamFeed.Start();
  m_peers.SetStoreHealthHandler(
    [this](bool aAvailable) { OnStoreHealth(aAvailable); });
  m_context.m_onUpstreamLeaving = [this](const UpstreamId& aId,
                                         std::int64_t aStartWallMs) {
    OnUpstreamLeaving(aId, aStartWallMs, "answer");
  };
  m_peers.SetPermitsHandler([this](const proto::RouterPeerMessage& aMessage,
                                   const std::string& aFromAddress) {
    m_permits.OnMessage(aMessage, aFromAddress);
  });
  m_context.m_askPermit = [this](const Choice& aChoice,
                                 Context::OnPermitAnswer aOnAnswer) {
    return m_permits.Ask(aChoice, std::move(aOnAnswer));
  };
  m_peers.SetStreamsHandler([this](const proto::RouterPeerMessage& aMessage,
                                   const std::string& aFromAddress) {
    m_streamExchange.OnMessage(aMessage, aFromAddress);
  });
  m_context.m_findStreamVersion = [this](StreamKey aStream,
                                         const ServiceId& aService,
                                         Context::OnStreamVersion aOnAnswer) {
    m_streamExchange.Find(aStream, aService, std::move(aOnAnswer));
  };
  m_context.m_onStreamBegun = [this] {
    m_streamExchange.OnStreamsBegun();
    m_streamJournal.OnStreamsBegun();
  };
  m_context.m_askSuspectPermit = [this](const TraitId& aTrait,
                                        Context::OnPermitAnswer aOnAnswer) {
    return m_permits.AskForSuspect(aTrait, std::move(aOnAnswer));
  };
  m_context.m_onTraitNews = [this] { m_peers.SendSoon(); };
  m_peers.SetLeavingHandler([this](const UpstreamId& aId,
                                   std::int64_t aStartWallMs,
                                   const DaemonId& aFrom) {
    OnUpstreamLeaving(aId, aStartWallMs, aFrom.Value());
  });
  m_peers.Start();
  m_members.Start();
}

void
FleetState::Tick(Time aNow)
{
  for (const UpstreamId& id : m_directory.OnTick(aNow)) {
    OnUpstreamChange(id, UpstreamChange::Removed);
  }
  UpdateVersions();
  NoteStandstill();
  m_context.m_sendLimiter.DropExpired(aNow);
  m_traitBlocks.Tick(aNow);
  m_streamVersionStore.Tick(aNow);
  m_streamJournal.Tick(m_exchange.IsHub(), aNow);
  m_rollouts.Tick(m_zonesOut, aNow);
  if (m_context.m_traitBreaker.TakeHasNews()) {
    m_peers.SendSoon();
  }
  if (m_restoredZonesUntil != Time() && aNow >= m_restoredZonesUntil) {
    m_restoredZonesUntil = Time();
    m_operatorFeed.ReadNewestSoon();
  }
}

void
FleetState::OnSettingsChanged()
{
  m_operatorFeed.SetOptions(OperatorOptions(m_context.m_settings));
  m_upstreamFeed.SetOptions(
    FollowerOptionsOf(UpstreamTopicTiming(m_context.m_settings)));
}

bool
FleetState::CanServe() const
{
  return m_context.m_routes != nullptr && m_upstreamFeed.Loaded() &&
         !m_directory.All().empty();
}

std::uint64_t
FleetState::StoreCalls() const
{
  return m_operatorFeed.Channel().Calls() + m_upstreamFeed.Channel().Calls() +
         m_members.StoreCalls() + m_traitBlocks.Channel().Calls() +
         m_streamVersionStore.Channel().Calls() + m_streamJournal.StoreCalls() +
         m_rollouts.Channel().Calls() + m_upstreamTail.Channel().Calls();
}

std::uint64_t
FleetState::StoreBytesRead() const
{
  return m_operatorFeed.Channel().BytesRead() +
         m_upstreamFeed.Channel().BytesRead() + m_members.StoreBytesRead() +
         m_traitBlocks.Channel().BytesRead() +
         m_streamVersionStore.Channel().BytesRead() +
         m_streamJournal.StoreBytesRead() + m_rollouts.Channel().BytesRead() +
         m_upstreamTail.Channel().BytesRead();
}

void
FleetState::OnStoreHealth(bool aAvailable)
{
  if (aAvailable) {
    m_directory.OnStoreAvailable(Now());
  } else {
    m_directory.OnStoreUnavailable(Now());
  }
}

// The store was restored from an older copy. What this daemon knows stays until
// the operators and the upstreams have written again, and its own record is
// written again at once.
void
FleetState::OnStoreEra(const std::string& aTopic, const EraChange& aChange)
{
  if (aChange.m_era == m_storeEra) {
    return; // another topic has shown it
  }
  m_storeEra = aChange.m_era;
  LogLine(Event::StoreEraChanged)
    .Add("topic", aTopic)
    .Add("before", static_cast<std::int64_t>(aChange.m_before))
    .Add("era", static_cast<std::int64_t>(aChange.m_era))
    .Add("dropped_offset", static_cast<std::int64_t>(aChange.m_droppedOffset));
  ++m_context.m_metrics.Counter("store_eras_total");
  m_directory.OnStoreRestored(Now());
  m_restoredZonesUntil = Now() + kReregistrationTime;
  m_operatorFeed.OnOtherEra();
  m_upstreamFeed.OnOtherEra();
  m_members.AnnounceAgain();
  m_traitBlocks.OnStoreRestored();
  m_streamVersionStore.OnStoreRestored();
  m_rollouts.OnStoreRestored();
}

// Just after the store was restored, a zone that its list lacks stays out, and
// a roll-out goes on: the operators' record may not be written again yet.
void
FleetState::OnOperatorUpdate(const TopicUpdate& aUpdate)
{
  ApplyNewestConfig(aUpdate.m_records);
  const bool complete = aUpdate.m_isSnapshot && m_restoredZonesUntil == Time();
  m_rollouts.OnOperatorUpdate(
    aUpdate, m_operatorFeed.Follower().Era().value_or(0), complete);
  std::set<ZoneId> zonesOut = complete ? std::set<ZoneId>() : m_zonesOut;
  for (const platform::StoreRecord& record : aUpdate.m_records) {
    if (!record.m_key.starts_with(platform::kZoneOutPrefix)) {
      continue;
    }
    const ZoneId zone(record.m_key.substr(platform::kZoneOutPrefix.size()));
    if (record.m_value) {
      zonesOut.insert(zone);
    } else {
      zonesOut.erase(zone);
    }
  }
  SetZonesOut(zonesOut);
  m_peers.OnTopicRead();
}

// Applies the last valid configuration of a batch. Earlier ones are not
// decoded: after an outage a batch may hold many, and decoding a large one
// takes tens of milliseconds.
void
FleetState::ApplyNewestConfig(
  const std::vector<platform::StoreRecord>& aRecords)
{
  for (auto record = aRecords.rbegin(); record != aRecords.rend(); ++record) {
    if (record->m_key != platform::kConfigKey || !record->m_value) {
      continue;
    }
    platform::DecodeError error;
    std::optional<RoutingConfig> config =
      platform::DecodeConfig(*record->m_value, error);
    if (config) {
      ApplyConfig(std::move(*config));
      return;
    }
    LogLine(Event::ConfigRefused)
      .Add("where", error.m_path)
      .Add("why", error.m_message);
  }
}

// Ignores versions that are not newer, as records may be read twice.
void
FleetState::ApplyConfig(RoutingConfig aConfig)
{
  if (m_context.m_routes != nullptr &&
      aConfig.m_version <= m_context.m_routes->Version()) {
    return;
  }
  const std::uint64_t version = aConfig.m_version;
  m_context.m_routes = std::make_shared<RouteTable>(std::move(aConfig));
  for (auto& [service, admission] : m_context.m_admissions) {
    admission.ClearTargets();
  }
  const RoutingConfig& routing = m_context.m_routes->Config();
  LogLine(Event::ConfigInForce)
    .Add("version", static_cast<std::int64_t>(version))
    .Add("routes", static_cast<std::int64_t>(routing.m_routes.size()))
    .Add("customers", static_cast<std::int64_t>(routing.m_customers.size()));
  m_context.m_metrics.Gauge("config_version") = static_cast<double>(version);
}

void
FleetState::SetZonesOut(const std::set<ZoneId>& aZones)
{
  if (aZones == m_zonesOut) {
    return;
  }
  m_zonesOut = aZones;
  std::string names;
  for (const ZoneId& zone : aZones) {
    names += (names.empty() ? "" : ",") + zone.Value();
  }
  LogLine(Event::ZonesOutChanged).Add("zones", names);
  m_context.m_selector.SetZonesOut(aZones, MaxColdTime(), Now());
}

Duration
FleetState::MaxColdTime() const
{
  Duration maxColdTime{};
  if (m_context.m_routes != nullptr) {
    for (const ServiceConfig& service :
         m_context.m_routes->Config().m_services) {
      maxColdTime = std::max(maxColdTime, service.m_coldTime);
    }
  }
  return maxColdTime;
}

void
FleetState::OnUpstreamUpdate(const TopicUpdate& aUpdate)
{
  std::vector<UpstreamEntry> entries;
  for (const platform::StoreRecord& record : aUpdate.m_records) {
    std::optional<UpstreamEntry> entry = ReadUpstream(record);
    if (aUpdate.m_isSnapshot && entry) {
      entries.push_back(std::move(*entry));
      continue;
    }
    const UpstreamId id(record.m_key);
    const UpstreamChange change = entry ? m_directory.OnEntry(*entry, Now())
                                        : m_directory.OnRemoved(id, Now());
    if (change != UpstreamChange::None) {
      m_peers.OnUpstreamRecordChanged(record);
    }
    OnUpstreamChange(id, change);
  }
  if (aUpdate.m_isSnapshot) {
    m_peers.OnUpstreamSnapshot(m_upstreamFeed.Follower().Next());
    for (const auto& [id, change] : m_directory.OnList(entries, Now())) {
      OnUpstreamChange(id, change);
    }
  }
  UpdateVersions();
  m_peers.OnTopicRead();
}

bool
FleetState::HasFreshUpstreams() const
{
  const Time confirmedAt =
    std::max(m_upstreamFeed.LastResponseAt(), m_peers.UpstreamsConfirmedAt());
  return m_upstreamFeed.Loaded() &&
         !m_standstill.IsCatchingUp(TimeSinceBoot()) &&
         confirmedAt >= m_trustedFrom && Now() - confirmedAt <= kFreshListAge;
}

void
FleetState::NoteStandstill()
{
  m_standstill.OnTick(TimeSinceBoot());
  if (m_standstill.IsCatchingUp(TimeSinceBoot())) {
    m_trustedFrom = Now();
  }
}

// The reads run side by side. The list counts only if it and the journal were
// read to their ends, as a record may be missing otherwise; what is found in
// the journal counts in any case.
void
FleetState::AskStoreForVersions(std::function<void(bool aFresh)> aOnRead)
{
  struct Reads
  {
    int m_left = 3;
    bool m_complete = true;
    std::function<void(bool)> m_onRead;
  };
  const auto reads = std::make_shared<Reads>();
  reads->m_onRead = std::move(aOnRead);
  const auto onEnd = [reads] {
    if (--reads->m_left == 0) {
      reads->m_onRead(reads->m_complete);
    }
  };
  const TopicFollower& list = m_upstreamFeed.Follower();
  m_upstreamTail.SkipTo(list.Next(), list.Era());
  const auto onTailRead = [reads, onEnd](bool aComplete) {
    reads->m_complete = reads->m_complete && aComplete;
    onEnd();
  };
  reads->m_complete = m_upstreamFeed.Loaded();
  m_upstreamTail.Read(onTailRead);
  m_streamJournal.Read(onTailRead);
  m_streamVersionStore.ReadIfUnread(onEnd);
}

// The list itself is left to its feed, which has its own order of records.
void
FleetState::NoteVersions(const std::vector<platform::StoreRecord>& aRecords)
{
  for (const platform::StoreRecord& record : aRecords) {
    platform::DecodeError ignored; // the feed logs it
    const auto entry = platform::DecodeUpstream(
      record.m_key, record.m_value.value_or(""), ignored);
    if (entry) {
      m_context.m_streamVersions.OnVersionSeen(
        entry->m_service, entry->m_version, Now());
    }
  }
}

// Suspect upstreams count: they may run on, and their streams too.
void
FleetState::UpdateVersions()
{
  if (!std::exchange(m_upstreamsChanged, false)) {
    return;
  }
  std::map<ServiceId, std::set<SoftwareVersion>> versions;
  for (const auto& [id, upstream] : m_directory.All()) {
    const UpstreamEntry& entry = upstream.m_entry;
    versions[entry.m_service].insert(entry.m_version);
  }
  for (const auto& [service, listed] : versions) {
    m_context.m_streamVersions.SetListed(service, listed, Now());
  }
  m_streamExchange.OnStreamsBegun();
}

// Returns nullopt if the key was dropped or the record is invalid, which is
// logged.
std::optional<UpstreamEntry>
FleetState::ReadUpstream(const platform::StoreRecord& aRecord)
{
  if (!aRecord.m_value || aRecord.m_value->empty()) {
    return std::nullopt;
  }
  platform::DecodeError error;
  std::optional<UpstreamEntry> entry =
    platform::DecodeUpstream(aRecord.m_key, *aRecord.m_value, error);
  if (!entry) {
    LogLine(Event::UpstreamUnreadable)
      .Add("upstream", aRecord.m_key)
      .Add("where", error.m_path)
      .Add("why", error.m_message);
  }
  return entry;
}

void
FleetState::OnUpstreamChange(const UpstreamId& aId, UpstreamChange aChange)
{
  if (aChange == UpstreamChange::None) {
    return;
  }
  m_upstreamsChanged = true;
  m_context.m_selector.OnUpstream(m_directory, aId, aChange);
  const KnownUpstream* upstream = m_directory.Find(aId);
  if (upstream == nullptr) {
    LogLine(Event::UpstreamGone).Add("upstream", aId.Value());
    return;
  }
  const UpstreamEntry& entry = upstream->m_entry;
  LogLine(Event::UpstreamListed)
    .Add("upstream", aId.Value())
    .Add("service", entry.m_service.Value())
    .Add("address", entry.m_address)
    .Add("zone", entry.m_zone.Value())
    .Add("version", entry.m_version.Value())
    .Add("draining", static_cast<std::int64_t>(entry.m_draining))
    .Add("cold_ms", static_cast<std::int64_t>(entry.m_coldRemaining.count()));
}

void
FleetState::OnUpstreamLeaving(const UpstreamId& aId,
                              std::int64_t aStartWallMs,
                              std::string_view aFrom)
{
  const UpstreamChange change = m_directory.OnLeaving(aId, aStartWallMs);
  if (change == UpstreamChange::None) {
    return; // known, or another incarnation
  }
  LogLine(Event::UpstreamLeaving)
    .Add("upstream", aId.Value())
    .Add("from", aFrom);
  OnUpstreamChange(aId, change);
  m_peers.OnUpstreamLeaving(aId, aStartWallMs);
}

} // namespace walnutwing::router
