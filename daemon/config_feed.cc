// An adapter: ConfigFollower decides what to read, what to offer to peers and
// which records to accept.

#include "daemon/config_feed.h"

#include <string>
#include <utility>
#include <variant>

#include "daemon/fleet_view.h"
#include "daemon/log.h"
#include "daemon/owner_host.h"
#include "daemon/peer_link.h"
#include "daemon/permit_coordinator.h"

namespace walnutwing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxRecordsPerRead = 1000;
constexpr const char* kConfigStream = "config";

// The reader role is assigned like the ownership of an upstream, so that each
// zone has one reader of the log in any one membership view.
const UpstreamId kReaderRole("config reader");

ConfigFollowerOptions
FollowerOptions(const DaemonSettings& aSettings)
{
  ConfigFollowerOptions options;
  options.m_readerPollInterval = aSettings.m_platformPollInterval;
  options.m_readTimeout = aSettings.m_platformTimeout;
  options.m_retention = aSettings.m_logRetention;
  return options;
}

OperatorKeys
KeysOf(const DaemonSettings& aSettings)
{
  OperatorKeys keys;
  keys.m_keys = aSettings.m_operatorKeys;
  return keys;
}

} // namespace

ConfigFeed::ConfigFeed(Context& aContext)
  : m_context(aContext)
  , m_follower(FollowerOptions(aContext.m_settings),
               aContext.m_settings.m_id,
               KeysOf(aContext.m_settings),
               aContext.m_random())
  , m_tickTimer(aContext.m_loop)
{
  m_tickTimer.Every(kTickInterval, [this] {
    m_context.m_config->Call([](ConfigFeed& aSelf) {
      ConfigActions actions;
      aSelf.m_follower.OnTick(aSelf.m_context.m_loop.Now(),
                              aSelf.m_context.m_loop.WallNow(),
                              &actions);
      aSelf.CarryOut(actions);
    });
  });
}

void
ConfigFeed::OnFleetChanged()
{
  const FleetView* fleet = m_context.m_fleet->Peek();
  if (fleet == nullptr) {
    return;
  }
  m_follower.OnPeers(fleet->PeersUp());
  proto::VmEntry role;
  role.set_id(kReaderRole.Value());
  role.set_zone(m_context.m_settings.m_zone.Value());
  m_follower.OnReaderRole(fleet->OwnerOfUpstream(role) ==
                          m_context.m_settings.m_id);
}

void
ConfigFeed::OnPeerMessage(const DaemonId& aFrom,
                          const proto::PeerMessage& aMessage)
{
  const Time now = m_context.m_loop.Now();
  ConfigActions actions;
  if (aMessage.has_config_offer()) {
    m_follower.OnPeerOffer(
      now, aFrom, aMessage.config_offer().version(), &actions);
  } else if (aMessage.has_config_pull()) {
    m_follower.OnPeerPull(aFrom, aMessage.config_pull(), &actions);
  } else if (aMessage.has_config_push()) {
    m_follower.OnPeerPush(now, aFrom, aMessage.config_push(), &actions);
  }
  CarryOut(actions);
}

void
ConfigFeed::CarryOut(const ConfigActions& aActions)
{
  for (const ConfigAction& action : aActions) {
    if (const auto* read = std::get_if<ReadLog>(&action)) {
      Read(read->m_fromOffset);
    } else if (const auto* append = std::get_if<AppendSnapshot>(&action)) {
      Append(append->m_record);
    } else if (const auto* offer = std::get_if<SendConfigOffer>(&action)) {
      proto::PeerMessage message;
      *message.mutable_config_offer() = offer->m_offer;
      Send(offer->m_to, message);
    } else if (const auto* pull = std::get_if<SendConfigPull>(&action)) {
      proto::PeerMessage message;
      *message.mutable_config_pull() = pull->m_pull;
      Send(pull->m_to, message);
    } else if (const auto* push = std::get_if<SendConfigPush>(&action)) {
      proto::PeerMessage message;
      *message.mutable_config_push() = push->m_push;
      Send(push->m_to, message);
    } else if (const auto* inForce = std::get_if<ConfigInForce>(&action)) {
      PutInForce(inForce->m_config);
    }
  }
}

void
ConfigFeed::Read(std::uint64_t aFromOffset)
{
  ++m_context.m_metrics.Counter("platform_reads_total", "stream=\"config\"");
  m_read = m_context.m_platform.Read(
    kConfigStream,
    LogOffset(aFromOffset),
    kMaxRecordsPerRead,
    [this](const std::optional<proto::ReadResponse>& aResponse) {
      m_context.m_config->Call([&](ConfigFeed& aSelf) {
        const Time now = aSelf.m_context.m_loop.Now();
        if (!aResponse) {
          aSelf.m_follower.OnLogReadFailed(now);
          return;
        }
        ConfigActions actions;
        aSelf.m_follower.OnLogRead(now, *aResponse, &actions);
        aSelf.CarryOut(actions);
      });
    });
}

void
ConfigFeed::Append(const proto::ConfigRecord& aRecord)
{
  ++m_context.m_metrics.Counter("platform_appends_total", "stream=\"config\"");
  m_append = m_context.m_platform.Append(
    kConfigStream, { aRecord.SerializeAsString() }, [](AppendResult) {});
}

void
ConfigFeed::Send(const DaemonId& aTo, const proto::PeerMessage& aMessage)
{
  m_context.m_peers->Call(
    [&](PeerLink& aPeers) { aPeers.Send(aTo, aMessage, true); });
}

void
ConfigFeed::PutInForce(std::shared_ptr<const proto::FleetConfig> aConfig)
{
  m_current = std::move(aConfig);
  LogEvent(LogLevel::Info,
           "config_in_force",
           { { "version", std::to_string(m_current->version()) },
             { "preset", m_current->active_preset() },
             { "changed_by", m_current->changed_by() } });
  m_context.m_metrics.Gauge("config_version") =
    static_cast<double>(m_current->version());
  m_context.m_fleet->Call(
    [&](FleetView& aFleet) { aFleet.SetConfigVersion(m_current->version()); });
  m_context.m_permits->Call(
    [](PermitCoordinator& aPermits) { aPermits.OnConfigChanged(); });
  m_context.m_owners->Call(
    [](OwnerHost& aOwners) { aOwners.OnConfigChanged(); });
}

} // namespace walnutwing
