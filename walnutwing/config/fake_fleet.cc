// A discrete event simulation: a queue of events ordered by time drives all
// daemons, and a daemon's actions become events of others after a delay.

#include "walnutwing/config/fake_fleet.h"

#include <algorithm>
#include <utility>

namespace walnutwing {
namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

constexpr int kMsPerSecond = 1000;

} // namespace

FakeFleet::FakeFleet(FakeFleetOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_daemons(aOptions.m_daemons)
  , m_referenceState(TestKeys())
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    StartDaemon(i);
  }
}

void
FakeFleet::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = m_daemons[aDaemon];
  const unsigned incarnation = daemon.m_incarnation;
  const std::string name =
    "entry-" + std::to_string(aDaemon) + "-" + std::to_string(incarnation);
  m_names[name] = aDaemon;
  daemon.m_alive = true;
  daemon.m_frozen = false;
  daemon.m_versionInForce = 0;
  daemon.m_deferredEvents.clear();
  daemon.m_follower = std::make_unique<ConfigFollower>(
    m_options.m_follower, DaemonId(name), TestKeys(), m_random());
  Schedule(Duration(static_cast<Duration::rep>(m_random() % 100)),
           [this, aDaemon, incarnation] { Tick(aDaemon, incarnation); });
  std::vector<DaemonId> peers;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    peers.emplace_back("entry-" + std::to_string(i) + "-" +
                       std::to_string(m_daemons[i].m_incarnation));
  }
  for (Daemon& other : m_daemons) {
    if (other.m_follower) {
      other.m_follower->OnPeers(peers);
    }
  }
  AssignReaders();
}

std::uint64_t
FakeFleet::AppendChange(proto::ConfigRecord aChange)
{
  return Append(Signed(m_referenceState.Config(),
                       std::to_string(++m_changes),
                       std::move(aChange)));
}

std::uint64_t
FakeFleet::Append(const proto::ConfigRecord& aRecord)
{
  ++m_counters.m_appends;
  proto::LogRecord& record = m_log.emplace_back();
  record.set_offset(m_log.size());
  record.set_at_ms(m_clock.WallNow().time_since_epoch().count());
  record.set_body(aRecord.SerializeAsString());
  std::vector<ConfigVerdict> verdicts;
  m_referenceState.Apply(record.offset(), record.at_ms(), aRecord, &verdicts);
  return record.offset();
}

void
FakeFleet::Run(Duration aDuration)
{
  RunUntil([] { return false; }, aDuration);
}

Duration
FakeFleet::RunUntil(const std::function<bool()>& aDone, Duration aMaxDuration)
{
  const Time start = m_clock.Now();
  const Time end = start + aMaxDuration;
  while (!m_events.empty() && m_events.begin()->first <= end && !aDone()) {
    const auto next = m_events.begin();
    m_clock.Advance(std::max(Duration(0), next->first - m_clock.Now()));
    const std::function<void()> event = std::move(next->second);
    m_events.erase(next);
    event();
  }
  if (!aDone()) {
    m_clock.Advance(std::max(Duration(0), end - m_clock.Now()));
  }
  return m_clock.Now() - start;
}

void
FakeFleet::KillDaemon(std::size_t aDaemon)
{
  m_daemons[aDaemon].m_alive = false;
  m_daemons[aDaemon].m_deadSince = m_clock.Now();
}

void
FakeFleet::ReplaceDaemon(std::size_t aDaemon)
{
  ++m_daemons[aDaemon].m_incarnation;
  StartDaemon(aDaemon);
}

void
FakeFleet::SetFrozen(std::size_t aDaemon, bool aFrozen)
{
  Daemon& daemon = m_daemons[aDaemon];
  daemon.m_frozen = aFrozen;
  if (aFrozen) {
    return;
  }
  // Messages that were buffered in its sockets arrive at once.
  for (const std::function<void()>& event :
       std::exchange(daemon.m_deferredEvents, {})) {
    event();
  }
}

void
FakeFleet::SetZonePartitioned(std::size_t aZone, bool aPartitioned)
{
  if (aPartitioned) {
    m_partitionedZones.insert(aZone);
  } else {
    m_partitionedZones.erase(aZone);
  }
}

ConfigVersion
FakeFleet::VersionOf(std::size_t aDaemon) const
{
  return m_daemons[aDaemon].m_versionInForce;
}

bool
FakeFleet::IsInForceEverywhere(ConfigVersion aVersion) const
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    const Daemon& daemon = m_daemons[i];
    if (!daemon.m_alive || daemon.m_frozen ||
        m_partitionedZones.contains(ZoneOf(i))) {
      continue;
    }
    if (daemon.m_versionInForce != aVersion) {
      return false;
    }
  }
  return true;
}

const ConfigFollower&
FakeFleet::Follower(std::size_t aDaemon) const
{
  return *m_daemons[aDaemon].m_follower;
}

void
FakeFleet::Schedule(Duration aDelay, std::function<void()> aEvent)
{
  m_events.emplace(m_clock.Now() + aDelay, std::move(aEvent));
}

void
FakeFleet::Tick(std::size_t aDaemon, unsigned aIncarnation)
{
  if (m_daemons[aDaemon].m_incarnation != aIncarnation) {
    return;
  }
  AssignReaders();
  if (!m_daemons[aDaemon].m_frozen) {
    Deliver(aDaemon,
            aIncarnation,
            [this](ConfigFollower& aFollower, ConfigActions& aActions) {
              aFollower.OnTick(m_clock.Now(), m_clock.WallNow(), &aActions);
            });
  }
  Schedule(m_options.m_tickInterval,
           [this, aDaemon, aIncarnation] { Tick(aDaemon, aIncarnation); });
}

void
FakeFleet::Deliver(
  std::size_t aDaemon,
  unsigned aIncarnation,
  const std::function<void(ConfigFollower&, ConfigActions&)>& aEvent)
{
  Daemon& daemon = m_daemons[aDaemon];
  if (!daemon.m_alive || daemon.m_incarnation != aIncarnation) {
    return;
  }
  if (daemon.m_frozen) {
    daemon.m_deferredEvents.emplace_back([this, aDaemon, aIncarnation, aEvent] {
      Deliver(aDaemon, aIncarnation, aEvent);
    });
    return;
  }
  ConfigActions actions;
  aEvent(*daemon.m_follower, actions);
  ExecuteActions(aDaemon, actions);
}

void
FakeFleet::ExecuteActions(std::size_t aDaemon, const ConfigActions& aActions)
{
  proto::PeerMessage message;
  const auto handlers = Overloaded{
    [&](const ReadLog& aRead) { ExecuteRead(aDaemon, aRead.m_fromOffset); },
    [&](const AppendSnapshot& aAppend) {
      if (!CanReachLog(aDaemon)) {
        return;
      }
      for (int times = m_duplicateAppends ? 2 : 1; times > 0; --times) {
        Schedule(m_options.m_logDelay * times,
                 [this, record = aAppend.m_record] { Append(record); });
      }
    },
    [&](const SendConfigOffer& aSend) {
      *message.mutable_config_offer() = aSend.m_offer;
      Send(aDaemon, aSend.m_to, message);
    },
    [&](const SendConfigPull& aSend) {
      *message.mutable_config_pull() = aSend.m_pull;
      Send(aDaemon, aSend.m_to, message);
    },
    [&](const SendConfigPush& aSend) {
      *message.mutable_config_push() = aSend.m_push;
      Send(aDaemon, aSend.m_to, message);
    },
    [&](const ConfigInForce& aConfig) {
      ConfigVersion& inForce = m_daemons[aDaemon].m_versionInForce;
      if (aConfig.m_config->version() < inForce) {
        ++m_counters.m_reverts;
      }
      inForce = aConfig.m_config->version();
    },
  };
  for (const ConfigAction& action : aActions) {
    std::visit(handlers, action);
  }
}

void
FakeFleet::ExecuteRead(std::size_t aDaemon, std::uint64_t aFrom)
{
  const unsigned incarnation = m_daemons[aDaemon].m_incarnation;
  ++m_counters.m_reads;
  if (!CanReachLog(aDaemon)) {
    Schedule(m_options.m_logDelay, [this, aDaemon, incarnation] {
      Deliver(aDaemon,
              incarnation,
              [this](ConfigFollower& aFollower, ConfigActions&) {
                aFollower.OnLogReadFailed(m_clock.Now());
              });
    });
    return;
  }
  Schedule(m_options.m_logDelay, [this, aDaemon, incarnation, aFrom] {
    const proto::ReadResponse response = MakeReadResponse(aFrom);
    Schedule(m_options.m_logDelay, [this, aDaemon, incarnation, response] {
      Deliver(
        aDaemon,
        incarnation,
        [this, response](ConfigFollower& aFollower, ConfigActions& aActions) {
          aFollower.OnLogRead(m_clock.Now(), response, &aActions);
        });
    });
  });
}

void
FakeFleet::Send(std::size_t aFrom,
                const DaemonId& aTo,
                const proto::PeerMessage& aMessage)
{
  const std::size_t to = m_names.at(aTo.Value());
  Daemon& sender = m_daemons[aFrom];
  proto::PeerEnvelope envelope;
  envelope.set_from("entry-" + std::to_string(aFrom) + "-" +
                    std::to_string(sender.m_incarnation));
  envelope.set_incarnation(1);
  *envelope.add_messages() = aMessage;
  const std::uint64_t bytes = envelope.ByteSizeLong();
  ++m_counters.m_messages;
  m_counters.m_peerBytes += bytes;
  // Pacing is a token bucket that holds the budget of one second.
  const Time now = m_clock.Now();
  const Duration sendDuration(static_cast<Duration::rep>(
    bytes * kMsPerSecond / m_options.m_bytesPerSecond));
  sender.m_linkFreeAt =
    std::max(sender.m_linkFreeAt, now - Duration(kMsPerSecond)) + sendDuration;
  const Duration queueDelay = std::max(Duration(0), sender.m_linkFreeAt - now);
  const bool lost = m_random() % 100 < m_options.m_lossPercent;
  if (lost || !CanReach(aFrom, to)) {
    return;
  }
  const unsigned incarnation = m_daemons[to].m_incarnation;
  const DaemonId from(envelope.from());
  Schedule(
    queueDelay + m_options.m_peerDelay,
    [this, to, incarnation, from, aMessage] {
      Deliver(to,
              incarnation,
              [this, from, aMessage](ConfigFollower& aFollower,
                                     ConfigActions& aActions) {
                if (aMessage.has_config_offer()) {
                  aFollower.OnPeerOffer(m_clock.Now(),
                                        from,
                                        aMessage.config_offer().version(),
                                        &aActions);
                } else if (aMessage.has_config_pull()) {
                  aFollower.OnPeerPull(from, aMessage.config_pull(), &aActions);
                } else {
                  aFollower.OnPeerPush(
                    m_clock.Now(), from, aMessage.config_push(), &aActions);
                }
              });
    });
}

bool
FakeFleet::CanReachLog(std::size_t aDaemon) const
{
  return !m_logDown && !m_partitionedZones.contains(ZoneOf(aDaemon));
}

bool
FakeFleet::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  const std::size_t from = ZoneOf(aFrom);
  const std::size_t to = ZoneOf(aTo);
  return from == to || (!m_partitionedZones.contains(from) &&
                        !m_partitionedZones.contains(to));
}

// The reader of a zone is its first daemon that is not known to be dead.
void
FakeFleet::AssignReaders()
{
  std::set<std::size_t> assigned;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    Daemon& daemon = m_daemons[i];
    const bool knownDead =
      !daemon.m_alive &&
      m_clock.Now() - daemon.m_deadSince >= m_options.m_deathDetectionDelay;
    if (!daemon.m_follower) {
      continue;
    }
    daemon.m_follower->OnReaderRole(!knownDead &&
                                    assigned.insert(ZoneOf(i)).second);
  }
}

void
FakeFleet::ExpireOldRecords()
{
  const std::int64_t oldest =
    (m_clock.WallNow() - m_retention).time_since_epoch().count();
  while (m_firstOffset <= m_log.size() &&
         m_log[m_firstOffset - 1].at_ms() < oldest) {
    ++m_firstOffset;
  }
}

proto::ReadResponse
FakeFleet::MakeReadResponse(std::uint64_t aFrom)
{
  ExpireOldRecords();
  proto::ReadResponse response;
  const std::uint64_t end =
    m_log.size() - std::min(m_logLagRecords, m_log.size());
  response.set_first_offset(std::min(m_firstOffset, end + 1));
  response.set_next_offset(end + 1);
  for (std::uint64_t offset = std::max(aFrom, m_firstOffset);
       offset <= end && static_cast<std::size_t>(response.records_size()) <
                          m_options.m_maxRecordsPerRead;
       ++offset) {
    *response.add_records() = m_log[offset - 1];
  }
  return response;
}

} // namespace walnutwing
