#ifndef WALNUTWING_ROUTING_SELECTOR_FIXTURE_H_
#define WALNUTWING_ROUTING_SELECTOR_FIXTURE_H_

// A test fixture: a service with upstreams "e0", "e1", ... in zones "z0" to
// "z2", and daemons "d0", "d1", ... with one selector each. All use the same
// paused clock.

#include <memory>
#include <string>
#include <vector>

#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing {

inline constexpr std::size_t kTestZones = 3;
inline constexpr std::uint32_t kTestSlots = 16; // per upstream

// The routing state of one daemon.
struct TestDaemon
{
  TestDaemon(std::size_t aIndex, SelectorOptions aOptions)
    : m_name("d" + std::to_string(aIndex))
    , m_zone("z" + std::to_string(aIndex % kTestZones))
    , m_exchange(m_name, m_zone, {})
    , m_limiter(m_name)
    , m_selector(m_zone, aOptions, m_exchange, m_limiter, aIndex)
  {
  }

  DaemonId m_name;
  ZoneId m_zone;
  UpstreamDirectory m_directory{ std::chrono::milliseconds(2300) };
  LoadExchange m_exchange;
  SendLimiter m_limiter;
  UpstreamSelector m_selector;
};

class TestFleet
{
public:
  TestFleet(std::size_t aDaemons,
            std::size_t aUpstreams,
            SelectorOptions aOptions = {})
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      m_daemons.push_back(std::make_unique<TestDaemon>(i, aOptions));
    }
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      Register(MakeEntry(i));
    }
    for (auto& daemon : m_daemons) {
      daemon->m_exchange.SetMembers(Members(), m_clock.Now());
    }
  }

  static UpstreamEntry MakeEntry(std::size_t aIndex)
  {
    UpstreamEntry entry;
    entry.m_id = UpstreamId("e" + std::to_string(aIndex));
    entry.m_service = ServiceId("s");
    entry.m_address = "10.0.0." + std::to_string(aIndex) + ":80";
    entry.m_zone = ZoneId("z" + std::to_string(aIndex % kTestZones));
    entry.m_slots = kTestSlots;
    return entry;
  }

  // Delivers a registration to all daemons.
  void Register(const UpstreamEntry& aEntry)
  {
    for (auto& daemon : m_daemons) {
      const UpstreamChange change =
        daemon->m_directory.OnEntry(aEntry, m_clock.Now());
      daemon->m_selector.OnUpstream(daemon->m_directory, aEntry.m_id, change);
    }
  }

  // Runs one period of the load exchange. Messages are delivered at once;
  // messages to and from daemons in aSilent are lost.
  void Exchange(const std::set<DaemonId>& aSilent = {})
  {
    for (auto& sender : m_daemons) {
      const auto messages = sender->m_exchange.OnPeriod(
        sender->m_selector.OwnLoads(), m_clock.Now());
      for (const LoadMessage& message : messages) {
        TestDaemon& receiver = *m_daemons.at(std::stoul(message.m_to));
        if (aSilent.contains(sender->m_name) ||
            aSilent.contains(receiver.m_name)) {
          continue;
        }
        Deliver(*sender, message, receiver);
      }
    }
  }

  std::vector<RosterMember> Members() const
  {
    std::vector<RosterMember> members;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      members.push_back({ m_daemons[i]->m_name,
                          m_daemons[i]->m_zone,
                          std::to_string(i), // the index serves as address
                          1.0,
                          1 });
    }
    return members;
  }

  TestDaemon& Daemon(std::size_t aIndex) { return *m_daemons.at(aIndex); }
  std::size_t Size() const { return m_daemons.size(); }

  PausedClock m_clock;

private:
  void Deliver(const TestDaemon& aFrom,
               const LoadMessage& aMessage,
               TestDaemon& aTo)
  {
    const Time now = m_clock.Now();
    switch (aMessage.m_kind) {
      case LoadMessageKind::Report:
        aTo.m_exchange.OnReport(aFrom.m_name, aMessage.m_loads, now);
        return;
      case LoadMessageKind::ZoneSum:
        aTo.m_exchange.OnZoneSum(
          aFrom.m_name, aFrom.m_zone, aMessage.m_loads, now);
        return;
      case LoadMessageKind::Digest:
        static_cast<void>(aTo.m_exchange.OnDigest(
          aFrom.m_name, aMessage.m_loads, aTo.m_selector.OwnLoads(), now));
        return;
    }
  }

  std::vector<std::unique_ptr<TestDaemon>> m_daemons;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SELECTOR_FIXTURE_H_
