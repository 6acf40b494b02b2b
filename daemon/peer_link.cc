// Permit and configuration messages are charged to the byte budget, but are
// sent even if it does not suffice; such bytes are not charged and are counted
// as control_bytes_over_budget_total. The number of permit messages is bounded
// by the requests that need permits, and delaying them would delay those
// requests. Gossip, which the budget can refuse, is delayed instead.

#include "daemon/peer_link.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "daemon/config_feed.h"
#include "daemon/fleet_view.h"
#include "daemon/owner_host.h"
#include "daemon/permit_coordinator.h"

namespace walnutwing {
namespace {

constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
// A batch to one daemon that reaches this size is sent without delay.
constexpr std::size_t kMaxBatchMessages = 64;

net::PeerBusOptions
BusOptions(const DaemonSettings& aSettings)
{
  net::PeerBusOptions options;
  options.m_listen = net::Endpoint::Parse(aSettings.m_peerListen).value();
  if (!aSettings.m_curvePublicKey.empty()) {
    options.m_keys =
      net::PeerKeys{ aSettings.m_curvePublicKey, ReadFleetSecret(aSettings) };
  }
  return options;
}

} // namespace

std::string
ReadFleetSecret(const DaemonSettings& aSettings)
{
  std::string secret = ReadTextFile(aSettings.m_curveSecretKeyFile);
  secret.erase(secret.find_last_not_of(" \r\n\t") + 1);
  return secret;
}

PeerLink::PeerLink(Context& aContext)
  : m_context(aContext)
  , m_bus(aContext.m_loop,
          BusOptions(aContext.m_settings),
          [this](std::string_view aBytes) {
            m_context.m_peers->Call(
              [&](PeerLink& aSelf) { aSelf.OnEnvelope(aBytes); });
          })
  , m_batchTimer(aContext.m_loop)
  , m_selfTimer(aContext.m_loop)
{
  for (const std::string& seed : m_context.m_settings.m_peerSeeds) {
    Connect(seed);
  }
}

void
PeerLink::Connect(const std::string& aAddress)
{
  if (const std::optional<net::Endpoint> endpoint =
        net::Endpoint::Parse(aAddress)) {
    m_bus.Connect(*endpoint);
  }
}

void
PeerLink::Send(const DaemonId& aTo,
               const proto::PeerMessage& aMessage,
               bool aUrgent)
{
  if (aTo == m_context.m_settings.m_id) {
    m_toSelf.push_back(aMessage);
    if (m_toSelf.size() == 1) {
      m_selfTimer.After(Duration::zero(), [this] {
        const std::vector<proto::PeerMessage> messages =
          std::exchange(m_toSelf, {});
        for (const proto::PeerMessage& message : messages) {
          Dispatch(m_context.m_settings.m_id, m_context.m_incarnation, message);
        }
      });
    }
    return;
  }
  std::vector<proto::PeerMessage>& batch = m_batches[aTo];
  batch.push_back(aMessage);
  if (aUrgent || batch.size() >= kMaxBatchMessages) {
    std::vector<proto::PeerMessage> messages = std::move(batch);
    m_batches.erase(aTo);
    SendNow(aTo, std::move(messages));
    return;
  }
  if (m_batches.size() == 1 && batch.size() == 1) {
    m_batchTimer.After(kBatchDelay, [this] { FlushBatches(); });
  }
}

void
PeerLink::FlushBatches()
{
  for (auto& [to, messages] : std::exchange(m_batches, {})) {
    SendNow(to, std::move(messages));
  }
}

void
PeerLink::SendNow(const DaemonId& aTo,
                  std::vector<proto::PeerMessage> aMessages)
{
  const FleetView* fleet = m_context.m_fleet->Peek();
  const std::string address = fleet == nullptr ? "" : fleet->AddressOf(aTo);
  if (address.empty()) {
    ++m_context.m_metrics.Counter("peer_messages_dropped_total",
                                  "reason=\"no address\"");
    return;
  }
  const std::size_t bytes =
    Transmit(address, std::move(aMessages)) + kPacketOverheadBytes;
  if (!m_context.m_budget.TrySpend(
        Traffic::Permit, bytes, m_context.m_loop.Now())) {
    m_context.m_metrics.Counter("control_bytes_over_budget_total") += bytes;
  }
}

void
PeerLink::SendCharged(const std::string& aAddress,
                      const std::vector<proto::PeerMessage>& aMessages)
{
  Transmit(aAddress, aMessages);
}

std::string
PeerLink::Encode(std::vector<proto::PeerMessage> aMessages) const
{
  proto::PeerEnvelope envelope;
  envelope.set_from(m_context.m_settings.m_id.Value());
  const FleetView* fleet = m_context.m_fleet->Peek();
  envelope.set_incarnation(fleet != nullptr ? fleet->Incarnation()
                                            : m_context.m_incarnation);
  for (proto::PeerMessage& message : aMessages) {
    *envelope.add_messages() = std::move(message);
  }
  return envelope.SerializeAsString();
}

std::size_t
PeerLink::Transmit(const std::string& aAddress,
                   std::vector<proto::PeerMessage> aMessages)
{
  const std::optional<net::Endpoint> endpoint = net::Endpoint::Parse(aAddress);
  const std::string bytes = Encode(std::move(aMessages));
  if (!endpoint || !m_bus.Send(*endpoint, bytes)) {
    ++m_context.m_metrics.Counter("peer_messages_dropped_total",
                                  "reason=\"not connected\"");
    return 0;
  }
  m_context.m_metrics.Counter("control_bytes_sent_total") +=
    bytes.size() + kPacketOverheadBytes;
  return bytes.size();
}

void
PeerLink::OnEnvelope(std::string_view aBytes)
{
  m_context.m_metrics.Counter("control_bytes_received_total") +=
    aBytes.size() + kPacketOverheadBytes;
  proto::PeerEnvelope envelope;
  if (!envelope.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
    ++m_context.m_metrics.Counter("peer_envelopes_malformed_total");
    return;
  }
  const DaemonId from(envelope.from());
  if (from.Empty() || from == m_context.m_settings.m_id) {
    return;
  }
  for (const proto::PeerMessage& message : envelope.messages()) {
    Dispatch(from, envelope.incarnation(), message);
  }
}

void
PeerLink::Dispatch(const DaemonId& aFrom,
                   std::uint64_t aIncarnation,
                   const proto::PeerMessage& aMessage)
{
  using Kind = proto::PeerMessage::MessageCase;
  switch (aMessage.message_case()) {
    case Kind::kPermitRequest:
    case Kind::kPermitRelease:
    case Kind::kPermitReport:
      m_context.m_owners->Call([&](OwnerHost& aOwners) {
        aOwners.OnPeerMessage(aFrom, aIncarnation, aMessage);
      });
      return;
    case Kind::kPermitGrant:
    case Kind::kPermitDeny:
      m_context.m_permits->Call([&](PermitCoordinator& aPermits) {
        aPermits.OnPeerMessage(aFrom, aMessage);
      });
      return;
    case Kind::kConfigOffer:
    case Kind::kConfigPull:
    case Kind::kConfigPush:
      m_context.m_config->Call(
        [&](ConfigFeed& aConfig) { aConfig.OnPeerMessage(aFrom, aMessage); });
      return;
    default:
      m_context.m_fleet->Call(
        [&](FleetView& aFleet) { aFleet.OnPeerMessage(aFrom, aMessage); });
      return;
  }
}

} // namespace walnutwing
