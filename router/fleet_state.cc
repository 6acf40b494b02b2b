// Records may be read twice, and in the case of a whole topic without their
// order: configurations only move forward by their version, and the directory
// tells what is news.

#include "router/fleet_state.h"

#include <algorithm>
#include <utility>

#include "platform/config_codec.h"
#include "router/member_record.h"
#include "router/store_pace.h"

namespace walnutwing::router {
namespace {

// By when a living upstream has registered again after the store came back.
constexpr Duration kReturnTime = std::chrono::milliseconds(2300);
// Each daemon says that it is there this often, and looks who else is; one that
// was not heard for three times as long no longer counts.
constexpr Duration kMemberInterval = std::chrono::milliseconds(8000);
constexpr Duration kMemberLifetime = 3 * kMemberInterval;
constexpr Duration kFirstCount = std::chrono::milliseconds(1500);
constexpr Duration kStoreAnswerTime = std::chrono::milliseconds(1500);
// Budgets are shared by so many before the others are known: cold upstreams get
// nothing then.
constexpr std::uint32_t kFleetUnknown = 30;

FollowerOptions
FollowerOptionsOf(const TopicPace& aPace)
{
  FollowerOptions options;
  options.m_wait = aPace.m_wait;
  options.m_interval = aPace.m_interval;
  return options;
}

FollowerOptions
OperatorOptions(const RouterSettings& aSettings)
{
  FollowerOptions options = FollowerOptionsOf(OperatorPace(aSettings));
  options.m_newestAfterFailure = true;
  return options;
}

} // namespace

FleetState::FleetState(Context& aContext, LoadExchange& aExchange)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_directory(kReturnTime)
  , m_roster(kMemberLifetime)
  , m_operators(
      m_context,
      std::string(platform::kOperatorTopic),
      OperatorOptions(m_context.m_settings),
      [this](const TopicNews& aNews) { OnOperatorNews(aNews); },
      [](bool) {})
  , m_upstreams(
      m_context,
      std::string(platform::kUpstreamTopic),
      FollowerOptionsOf(UpstreamPace(m_context.m_settings)),
      [this](const TopicNews& aNews) { OnUpstreamNews(aNews); },
      [this](bool aAnswers) { OnStoreHealth(aAnswers); })
  , m_members(
      m_context,
      std::string(platform::kMemberTopic),
      { Duration::zero(), kMemberInterval },
      [this](const TopicNews& aNews) { OnMemberNews(aNews); },
      [](bool) {})
  , m_announcements(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
  , m_peers(m_context, m_exchange, m_operators, m_upstreams, m_members)
  , m_announce(aContext.m_loop.get_executor())
  , m_followMembers(aContext.m_loop.get_executor())
{
  m_context.m_daemons = kFleetUnknown;
}

void
FleetState::Start()
{
  m_operators.Start();
  m_upstreams.Start();
  m_peers.SetStoreHealth([this](bool aAnswers) { OnStoreHealth(aAnswers); });
  m_peers.Start();
  Announce();
}

void
FleetState::Tick(Time aNow)
{
  for (const UpstreamId& id : m_directory.OnTick(aNow)) {
    OnUpstreamChange(id, UpstreamChange::Removed);
  }
}

void
FleetState::OnSettingsChanged()
{
  m_operators.SetOptions(OperatorOptions(m_context.m_settings));
  m_upstreams.SetOptions(FollowerOptionsOf(UpstreamPace(m_context.m_settings)));
}

bool
FleetState::Known() const
{
  return m_context.m_routes != nullptr && m_upstreams.Loaded() &&
         !m_directory.All().empty();
}

std::uint64_t
FleetState::StoreCalls() const
{
  return m_operators.Channel().Calls() + m_upstreams.Channel().Calls() +
         m_members.Channel().Calls() + m_announcements->Calls();
}

std::uint64_t
FleetState::StoreBytesRead() const
{
  return m_operators.Channel().BytesRead() + m_upstreams.Channel().BytesRead() +
         m_members.Channel().BytesRead() + m_announcements->BytesRead();
}

void
FleetState::OnStoreHealth(bool aAnswers)
{
  if (aAnswers) {
    m_directory.OnStoreAvailable(Now());
  } else {
    m_directory.OnStoreUnavailable(Now());
  }
}

void
FleetState::OnOperatorNews(const TopicNews& aNews)
{
  TakeNewestConfig(aNews.m_records);
  std::set<ZoneId> zonesOut = aNews.m_whole ? std::set<ZoneId>() : m_zonesOut;
  for (const platform::StoreRecord& record : aNews.m_records) {
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
  m_peers.OnRead();
}

// Reads the last configuration of a batch that can be read: a batch may hold
// many after an outage, and reading a large one takes tens of milliseconds.
void
FleetState::TakeNewestConfig(const std::vector<platform::StoreRecord>& aRecords)
{
  for (auto record = aRecords.rbegin(); record != aRecords.rend(); ++record) {
    if (record->m_key != platform::kConfigKey || !record->m_value) {
      continue;
    }
    platform::DecodeProblem problem;
    std::optional<RoutingConfig> config =
      platform::DecodeConfig(*record->m_value, problem);
    if (config) {
      PutInForce(std::move(*config));
      return;
    }
    LogLine(Event::ConfigRefused)
      .Add("where", problem.m_where)
      .Add("why", problem.m_text);
  }
}

// Only a newer version comes into force: records may be read twice.
void
FleetState::PutInForce(RoutingConfig aConfig)
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
  m_context.m_selector.SetZonesOut(aZones, LongestColdTime(), Now());
}

Duration
FleetState::LongestColdTime() const
{
  Duration longest{};
  if (m_context.m_routes != nullptr) {
    for (const ServiceConfig& service :
         m_context.m_routes->Config().m_services) {
      longest = std::max(longest, service.m_coldTime);
    }
  }
  return longest;
}

void
FleetState::OnUpstreamNews(const TopicNews& aNews)
{
  std::vector<UpstreamEntry> entries;
  for (const platform::StoreRecord& record : aNews.m_records) {
    std::optional<UpstreamEntry> entry = ReadUpstream(record);
    if (aNews.m_whole && entry) {
      entries.push_back(std::move(*entry));
      continue;
    }
    const UpstreamId id(record.m_key);
    const UpstreamChange change = entry ? m_directory.OnEntry(*entry, Now())
                                        : m_directory.OnRemoved(id, Now());
    if (change != UpstreamChange::None) {
      m_peers.OnChange(record);
    }
    OnUpstreamChange(id, change);
  }
  if (aNews.m_whole) {
    m_peers.OnWhole(m_upstreams.Follower().Next());
    for (const auto& [id, change] : m_directory.OnList(entries, Now())) {
      OnUpstreamChange(id, change);
    }
  }
  m_peers.OnRead();
}

// Nothing for a record that names no upstream to use.
std::optional<UpstreamEntry>
FleetState::ReadUpstream(const platform::StoreRecord& aRecord)
{
  if (!aRecord.m_value || aRecord.m_value->empty()) {
    return std::nullopt;
  }
  platform::DecodeProblem problem;
  std::optional<UpstreamEntry> entry =
    platform::DecodeUpstream(aRecord.m_key, *aRecord.m_value, problem);
  if (!entry) {
    LogLine(Event::UpstreamUnreadable)
      .Add("upstream", aRecord.m_key)
      .Add("where", problem.m_where)
      .Add("why", problem.m_text);
  }
  return entry;
}

void
FleetState::OnUpstreamChange(const UpstreamId& aId, UpstreamChange aChange)
{
  if (aChange == UpstreamChange::None) {
    return;
  }
  m_context.m_selector.OnUpstream(m_directory, aId, aChange);
  const KnownUpstream* known = m_directory.Find(aId);
  if (known == nullptr) {
    LogLine(Event::UpstreamGone).Add("upstream", aId.Value());
    return;
  }
  const UpstreamEntry& entry = known->m_entry;
  LogLine(Event::UpstreamListed)
    .Add("upstream", aId.Value())
    .Add("service", entry.m_service.Value())
    .Add("address", entry.m_address)
    .Add("zone", entry.m_zone.Value())
    .Add("draining", static_cast<std::int64_t>(entry.m_draining))
    .Add("cold_ms", static_cast<std::int64_t>(entry.m_coldRemaining.count()));
}

RosterMember
FleetState::Self() const
{
  const RouterSettings& settings = m_context.m_settings;
  return { settings.m_name,
           settings.m_zone,
           settings.m_peerListen,
           settings.m_weight,
           static_cast<std::uint64_t>(
             SteadyClock().WallNow().time_since_epoch().count()) };
}

void
FleetState::Announce()
{
  m_announcements->Call(
    platform::PutCall(platform::kMemberTopic,
                      m_context.m_settings.m_name.Value(),
                      EncodeMember(Self())),
    kStoreAnswerTime,
    [this](const StoreAnswer& aAnswer) {
      if (!std::exchange(m_announced, true)) {
        FollowMembersLater();
      }
      // A lost announcement is made up for by the next one.
      m_context.m_metrics.Gauge("announced_status") = aAnswer.m_status;
      m_announce.expires_after(kMemberInterval);
      m_announce.async_wait([this](const error_code& aError) {
        if (!aError && !m_context.m_stopping) {
          Announce();
        }
      });
    });
}

// A fleet that starts as a whole has announced itself by then; counting
// sooner would share its budgets by too few.
void
FleetState::FollowMembersLater()
{
  m_followMembers.expires_after(kFirstCount);
  m_followMembers.async_wait([this](const error_code& aError) {
    if (!aError) {
      m_members.Start();
    }
  });
}

void
FleetState::OnMemberNews(const TopicNews& aNews)
{
  for (const platform::StoreRecord& record : aNews.m_records) {
    const DaemonId name(record.m_key);
    const auto member =
      record.m_value ? DecodeMember(name, *record.m_value) : std::nullopt;
    if (member) {
      m_roster.OnAnnounced(*member, Now());
    } else {
      m_roster.OnDropped(name);
    }
  }
  std::vector<RosterMember> alive = m_roster.Alive(Now());
  const auto daemons =
    std::max<std::uint32_t>(1, static_cast<std::uint32_t>(alive.size()));
  m_exchange.SetMembers(std::move(alive), Now());
  if (daemons == m_context.m_daemons) {
    return;
  }
  m_context.m_daemons = daemons;
  LogLine(Event::FleetSizeChanged)
    .Add("daemons", static_cast<std::int64_t>(daemons))
    .Add("hub", m_exchange.Hub().Value());
  m_context.m_metrics.Gauge("daemons") = daemons;
}

} // namespace walnutwing::router
