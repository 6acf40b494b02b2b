// A queue of events by time drives everything; a daemon's actions become events
// of others after the delay of their link.

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
  , m_truth(TestKeys())
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    Start(i);
  }
}

void
FakeFleet::Start(std::size_t aDaemon)
{
  Daemon& daemon = m_daemons[aDaemon];
  const unsigned life = daemon.m_life;
  const std::string name =
    "entry-" + std::to_string(aDaemon) + "-" + std::to_string(life);
  m_names[name] = aDaemon;
  daemon.m_alive = true;
  daemon.m_frozen = false;
  daemon.m_inForce = 0;
  daemon.m_held.clear();
  daemon.m_follower = std::make_unique<ConfigFollower>(
    m_options.m_follower, DaemonId(name), TestKeys(), m_random());
  After(Duration(static_cast<Duration::rep>(m_random() % 100)),
        [this, aDaemon, life] { Tick(aDaemon, life); });
  std::vector<DaemonId> peers;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    peers.emplace_back("entry-" + std::to_string(i) + "-" +
                       std::to_string(m_daemons[i].m_life));
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
  return Append(
    Signed(m_truth.Config(), std::to_string(++m_changes), std::move(aChange)));
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
  m_truth.Apply(record.offset(), record.at_ms(), aRecord, &verdicts);
  return record.offset();
}

void
FakeFleet::Run(Duration aFor)
{
  RunUntil([] { return false; }, aFor);
}

Duration
FakeFleet::RunUntil(const std::function<bool()>& aDone, Duration aLongest)
{
  const Time start = m_clock.Now();
  const Time end = start + aLongest;
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
  ++m_daemons[aDaemon].m_life;
  Start(aDaemon);
}

void
FakeFleet::SetFrozen(std::size_t aDaemon, bool aFrozen)
{
  Daemon& daemon = m_daemons[aDaemon];
  daemon.m_frozen = aFrozen;
  if (aFrozen) {
    return;
  }
  // What waited in its sockets arrives at once.
  for (const std::function<void()>& event : std::exchange(daemon.m_held, {})) {
    event();
  }
}

void
FakeFleet::SetZonePartitioned(std::size_t aZone, bool aCut)
{
  if (aCut) {
    m_cutZones.insert(aZone);
  } else {
    m_cutZones.erase(aZone);
  }
}

ConfigVersion
FakeFleet::VersionOf(std::size_t aDaemon) const
{
  return m_daemons[aDaemon].m_inForce;
}

bool
FakeFleet::IsInForceEverywhere(ConfigVersion aVersion) const
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    const Daemon& daemon = m_daemons[i];
    if (!daemon.m_alive || daemon.m_frozen || m_cutZones.contains(ZoneOf(i))) {
      continue;
    }
    if (daemon.m_inForce != aVersion) {
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
FakeFleet::After(Duration aDelay, std::function<void()> aEvent)
{
  m_events.emplace(m_clock.Now() + aDelay, std::move(aEvent));
}

void
FakeFleet::Tick(std::size_t aDaemon, unsigned aLife)
{
  if (m_daemons[aDaemon].m_life != aLife) {
    return;
  }
  AssignReaders();
  if (!m_daemons[aDaemon].m_frozen) {
    Deliver(aDaemon,
            aLife,
            [this](ConfigFollower& aFollower, ConfigActions& aActions) {
              aFollower.OnTick(m_clock.Now(), m_clock.WallNow(), &aActions);
            });
  }
  After(m_options.m_tickInterval,
        [this, aDaemon, aLife] { Tick(aDaemon, aLife); });
}

void
FakeFleet::Deliver(
  std::size_t aDaemon,
  unsigned aLife,
  const std::function<void(ConfigFollower&, ConfigActions&)>& aEvent)
{
  Daemon& daemon = m_daemons[aDaemon];
  if (!daemon.m_alive || daemon.m_life != aLife) {
    return;
  }
  if (daemon.m_frozen) {
    daemon.m_held.emplace_back(
      [this, aDaemon, aLife, aEvent] { Deliver(aDaemon, aLife, aEvent); });
    return;
  }
  ConfigActions actions;
  aEvent(*daemon.m_follower, actions);
  Carry(aDaemon, actions);
}

void
FakeFleet::Carry(std::size_t aDaemon, const ConfigActions& aActions)
{
  proto::PeerMessage message;
  const auto handlers = Overloaded{
    [&](const ReadLog& aRead) { CarryRead(aDaemon, aRead.m_fromOffset); },
    [&](const AppendSnapshot& aAppend) {
      if (!ReachesLog(aDaemon)) {
        return;
      }
      for (int times = m_appendsDoubled ? 2 : 1; times > 0; --times) {
        After(m_options.m_logDelay * times,
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
      ConfigVersion& inForce = m_daemons[aDaemon].m_inForce;
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
FakeFleet::CarryRead(std::size_t aDaemon, std::uint64_t aFrom)
{
  const unsigned life = m_daemons[aDaemon].m_life;
  ++m_counters.m_reads;
  if (!ReachesLog(aDaemon)) {
    After(m_options.m_logDelay, [this, aDaemon, life] {
      Deliver(aDaemon, life, [this](ConfigFollower& aFollower, ConfigActions&) {
        aFollower.OnLogReadFailed(m_clock.Now());
      });
    });
    return;
  }
  After(m_options.m_logDelay, [this, aDaemon, life, aFrom] {
    const proto::ReadResponse answer = Answer(aFrom);
    After(m_options.m_logDelay, [this, aDaemon, life, answer] {
      Deliver(
        aDaemon,
        life,
        [this, answer](ConfigFollower& aFollower, ConfigActions& aActions) {
          aFollower.OnLogRead(m_clock.Now(), answer, &aActions);
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
                    std::to_string(sender.m_life));
  envelope.set_incarnation(1);
  *envelope.add_messages() = aMessage;
  const std::uint64_t bytes = envelope.ByteSizeLong();
  ++m_counters.m_messages;
  m_counters.m_peerBytes += bytes;
  // The budget is a token bucket of one second, refilled at the rate.
  const Time now = m_clock.Now();
  const Duration cost(static_cast<Duration::rep>(bytes * kMsPerSecond /
                                                 m_options.m_bytesPerSecond));
  sender.m_linkFree =
    std::max(sender.m_linkFree, now - Duration(kMsPerSecond)) + cost;
  const Duration paced = std::max(Duration(0), sender.m_linkFree - now);
  const bool lost = m_random() % 100 < m_options.m_lossPercent;
  if (lost || !Reaches(aFrom, to)) {
    return;
  }
  const unsigned life = m_daemons[to].m_life;
  const DaemonId from(envelope.from());
  After(paced + m_options.m_peerDelay, [this, to, life, from, aMessage] {
    Deliver(to,
            life,
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
FakeFleet::ReachesLog(std::size_t aDaemon) const
{
  return !m_logDown && !m_cutZones.contains(ZoneOf(aDaemon));
}

bool
FakeFleet::Reaches(std::size_t aFrom, std::size_t aTo) const
{
  const std::size_t from = ZoneOf(aFrom);
  const std::size_t to = ZoneOf(aTo);
  return from == to || (!m_cutZones.contains(from) && !m_cutZones.contains(to));
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
      m_clock.Now() - daemon.m_deadSince >= m_options.m_deathNoticed;
    if (!daemon.m_follower) {
      continue;
    }
    daemon.m_follower->OnReaderRole(!knownDead &&
                                    assigned.insert(ZoneOf(i)).second);
  }
}

void
FakeFleet::ForgetOldRecords()
{
  const std::int64_t oldest =
    (m_clock.WallNow() - m_retention).time_since_epoch().count();
  while (m_firstOffset <= m_log.size() &&
         m_log[m_firstOffset - 1].at_ms() < oldest) {
    ++m_firstOffset;
  }
}

proto::ReadResponse
FakeFleet::Answer(std::uint64_t aFrom)
{
  ForgetOldRecords();
  proto::ReadResponse answer;
  const std::uint64_t end = m_log.size() - std::min(m_logBehind, m_log.size());
  answer.set_first_offset(std::min(m_firstOffset, end + 1));
  answer.set_next_offset(end + 1);
  for (std::uint64_t offset = std::max(aFrom, m_firstOffset);
       offset <= end &&
       static_cast<std::size_t>(answer.records_size()) < m_options.m_readLimit;
       ++offset) {
    *answer.add_records() = m_log[offset - 1];
  }
  return answer;
}

} // namespace walnutwing
