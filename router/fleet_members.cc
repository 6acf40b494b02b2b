#include "router/fleet_members.h"

#include <algorithm>
#include <utility>

#include "router/member_record.h"

namespace walnutwing::router {
namespace {

// How often a daemon announces itself and reads the others' announcements. A
// member without a new announcement for three intervals is no longer counted.
constexpr Duration kMemberInterval = std::chrono::milliseconds(8000);
constexpr Duration kMemberLifetime = 3 * kMemberInterval;
constexpr Duration kFirstRosterReadDelay = std::chrono::milliseconds(1500);
constexpr Duration kAnnounceRetryDelay = std::chrono::milliseconds(500);
// A daemon that cannot announce itself for so long reads the members anyway.
constexpr Duration kMaxUnannounced = std::chrono::milliseconds(8000);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr int kOkStatus = 200;

} // namespace

FleetMembers::FleetMembers(Context& aContext,
                           LoadExchange& aExchange,
                           OnOtherRecord aOnOtherRecord,
                           std::function<void()> aOnSnapshot)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_onOtherRecord(std::move(aOnOtherRecord))
  , m_onSnapshot(std::move(aOnSnapshot))
  , m_roster(kMemberLifetime)
  , m_feed(
      m_context,
      std::string(platform::kMemberTopic),
      { Duration::zero(), kMemberInterval },
      [this](const TopicUpdate& aUpdate) { OnMemberUpdate(aUpdate); },
      [](bool) {})
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
  , m_announceTimer(aContext.m_loop.get_executor())
  , m_memberReadTimer(aContext.m_loop.get_executor())
{
}

RosterMember
FleetMembers::MakeOwnRecord() const
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
FleetMembers::Announce()
{
  m_announcing = true;
  m_channel->Call(
    platform::EncodePutRequest(platform::kMemberTopic,
                               m_context.m_settings.m_name.Value(),
                               EncodeMember(MakeOwnRecord())),
    kStoreTimeout,
    [this](const StoreResponse& aResponse) { OnAnnounced(aResponse); });
}

void
FleetMembers::AnnounceAgain()
{
  if (m_announcing) {
    m_announceAgain = true;
    return;
  }
  m_announceTimer.cancel();
  Announce();
}

void
FleetMembers::OnAnnounced(const StoreResponse& aResponse)
{
  m_announcing = false;
  m_announced = m_announced || aResponse.m_status == kOkStatus;
  if (m_announced || Now() - m_startedAt >= kMaxUnannounced) {
    ScheduleMemberReads();
  }
  m_context.m_metrics.Gauge("announced_status") = aResponse.m_status;
  // The first announcement that fails is tried again soon, as nobody knows of
  // this daemon yet; later ones are replaced by the next.
  const Duration interval = m_announced ? kMemberInterval : kAnnounceRetryDelay;
  const bool again = std::exchange(m_announceAgain, false);
  m_announceTimer.expires_after(again ? Duration::zero() : interval);
  m_announceTimer.async_wait([this](const error_code& aError) {
    if (!aError && !m_context.m_stop.IsStopping()) {
      Announce();
    }
  });
}

// Delays the first read of the members, so that all daemons of a fleet that
// starts at once have announced themselves. Too low a count would make each
// daemon's share of the budgets too large.
void
FleetMembers::ScheduleMemberReads()
{
  if (std::exchange(m_memberReadsScheduled, true)) {
    return;
  }
  m_memberReadTimer.expires_after(kFirstRosterReadDelay);
  m_memberReadTimer.async_wait([this](const error_code& aError) {
    if (!aError) {
      m_feed.Start();
    }
  });
}

void
FleetMembers::OnMemberUpdate(const TopicUpdate& aUpdate)
{
  for (const platform::StoreRecord& record : aUpdate.m_records) {
    if (m_onOtherRecord(record)) {
      continue;
    }
    const DaemonId name(record.m_key);
    const auto member =
      record.m_value ? DecodeMember(name, *record.m_value) : std::nullopt;
    if (member) {
      m_roster.OnAnnounced(*member, Now());
    } else {
      m_roster.OnDropped(name);
    }
  }
  if (aUpdate.m_isSnapshot) {
    m_onSnapshot();
  }
  std::vector<RosterMember> alive = m_roster.Alive(Now());
  const auto daemons =
    std::max<std::uint32_t>(1, static_cast<std::uint32_t>(alive.size()));
  std::vector<DaemonId> names;
  names.reserve(alive.size());
  for (const RosterMember& member : alive) {
    names.push_back(member.m_name);
  }
  m_context.m_traitBreaker.SetMembers(std::move(names));
  m_context.m_sendLimiter.SetMembers(alive);
  m_context.m_streamVersions.SetMembers(alive);
  m_exchange.SetMembers(std::move(alive), Now());
  if (daemons == m_context.m_daemons) {
    return;
  }
  m_context.m_daemons = daemons;
  EventLog::Line(m_context.m_log, Event::FleetSizeChanged, Now())
    .Add("daemons", static_cast<std::int64_t>(daemons))
    .Add("hub", m_exchange.Hub().Value());
  m_context.m_metrics.Gauge("daemons") = daemons;
}

} // namespace walnutwing::router
