#include "walnutwing/routing/send_limiter.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr Time kStart{ std::chrono::hours(1) };
constexpr std::uint32_t kUpstream = 7;
const ZoneId kZone("z0");

std::vector<RosterMember>
MakeMembers(std::uint32_t aDaemons, std::uint32_t aZones)
{
  std::vector<RosterMember> members;
  for (std::uint32_t i = 0; i < aDaemons; ++i) {
    members.push_back({ DaemonId("d" + std::to_string(i)),
                        ZoneId("z" + std::to_string(i % aZones)),
                        std::to_string(i),
                        1,
                        1 });
  }
  return members;
}

// Whether a daemon that is the hub grants itself a permit.
bool
Grants(SendLimiter& aHub, double aPerSecond, bool aSpareOnly, Time aNow)
{
  return aHub.Ask(kUpstream, kZone, aPerSecond, aSpareOnly, true, aNow)
           .m_outcome == SendPermitOutcome::Granted;
}

TEST(SendLimiter, HubGrantsTheLimit)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  Time now = kStart;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    now += Duration(10);
    granted += Grants(hub, 3, false, now) ? 1 : 0;
  }
  EXPECT_GE(granted, 29);
  EXPECT_LE(granted, 33);
}

TEST(SendLimiter, DeniedPermitSaysWhenTheNextOneIs)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  EXPECT_TRUE(Grants(hub, 2, false, kStart));
  EXPECT_FALSE(Grants(hub, 2, false, kStart));
  EXPECT_EQ(kStart + Duration(500), hub.ExhaustedUntil(kUpstream, false));
  EXPECT_FALSE(Grants(hub, 2, false, kStart + Duration(499)));
  EXPECT_TRUE(Grants(hub, 2, false, kStart + Duration(500)));
}

// Guards against a low limit that is used by half, because requests come
// unevenly and a bucket of one second's permits overflows.
TEST(SendLimiter, LowLimitTakesRequestsThatComeUnevenly)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  std::mt19937 random(1);
  std::exponential_distribution<double> gap(0.9); // a second
  Time now = kStart;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    now += Duration(static_cast<int>(gap(random) * 1000));
    granted += Grants(hub, 1, false, now) ? 1 : 0;
  }
  EXPECT_GE(granted, 800);
}

// Requests for which the limit is not meant get only what is left over.
TEST(SendLimiter, SparePermitsLeaveSomeForOthers)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  Time now = kStart;
  Grants(hub, 4, false, now);
  now += std::chrono::seconds(5); // the bucket is full: 4
  EXPECT_TRUE(Grants(hub, 4, true, now));
  EXPECT_TRUE(Grants(hub, 4, true, now));
  EXPECT_FALSE(Grants(hub, 4, true, now));
  EXPECT_GT(hub.ExhaustedUntil(kUpstream, true), now);
  EXPECT_LE(hub.ExhaustedUntil(kUpstream, false), now);
  EXPECT_TRUE(Grants(hub, 4, false, now));
}

// Guards against an upstream that is never asked again, so that nobody learns
// that its limit has ended.
TEST(SendLimiter, LimitOfZeroLetsARequestThroughNowAndThen)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  Time now = kStart;
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    now += Duration(100);
    granted += Grants(hub, 0, false, now) ? 1 : 0;
  }
  EXPECT_GE(granted, 3);
  EXPECT_LE(granted, 5);
}

// Guards against a datagram whose limit is no number: it would fill the bucket.
TEST(SendLimiter, RefusesRequestsWithoutALimit)
{
  SendLimiter hub(DaemonId("d0"));
  hub.SetMembers(MakeMembers(1, 1));
  EXPECT_TRUE(Grants(hub, 2, false, kStart));
  const double none = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(hub.Reply({ kUpstream, 1, none, false }, true, kStart),
               std::invalid_argument);
  EXPECT_FALSE(Grants(hub, 2, false, kStart));
}

TEST(SendLimiter, NextCandidateIsAskedWhileTheHubIsSilent)
{
  SendLimiter limiter(DaemonId("d3"));
  const std::vector<RosterMember> members = MakeMembers(4, 2);
  limiter.SetMembers(members);
  const std::vector<RosterMember> hubs = RankHubs(members, kZone);
  Time now = kStart;
  auto asked = limiter.Ask(kUpstream, kZone, 3, false, false, now);
  ASSERT_TRUE(asked.m_request);
  EXPECT_EQ(hubs[0].m_address, asked.m_to);
  now += Duration(60);
  limiter.OnNoReply(asked.m_request->m_number, now);
  asked = limiter.Ask(kUpstream, kZone, 3, false, false, now);
  EXPECT_EQ(hubs[1].m_address, asked.m_to);
  const SendPermitReply notHub = { asked.m_request->m_number,
                                   SendPermitOutcome::NotOwner,
                                   {} };
  EXPECT_EQ(false, limiter.OnReply(notHub, now));
  // Neither answers: an equal share.
  EXPECT_FALSE(limiter.Ask(kUpstream, kZone, 3, false, false, now).m_request);
  now += Duration(1000);
  asked = limiter.Ask(kUpstream, kZone, 3, false, false, now);
  EXPECT_EQ(hubs[0].m_address, asked.m_to);
}

TEST(SendLimiter, LateReplyIsIgnored)
{
  SendLimiter limiter(DaemonId("d3"));
  limiter.SetMembers(MakeMembers(4, 2));
  const auto asked = limiter.Ask(kUpstream, kZone, 3, false, false, kStart);
  limiter.OnNoReply(asked.m_request->m_number, kStart);
  EXPECT_EQ(
    std::nullopt,
    limiter.OnReply(
      { asked.m_request->m_number, SendPermitOutcome::Granted, {} }, kStart));
}

struct FleetOptions
{
  std::uint32_t m_daemons = 7;
  std::uint32_t m_zones = 3;
  std::uint32_t m_upstreams = 8;
  double m_limit = 3;
  double m_demandPerUpstream = 9; // requests a second
  double m_messageLoss = 0.02;
  bool m_hubFreezes = false;
};

void
PrintTo(const FleetOptions& aOptions, std::ostream* aStream)
{
  *aStream << aOptions.m_daemons << " daemons, limit " << aOptions.m_limit
           << (aOptions.m_hubFreezes ? ", a hub freezes" : "");
}

// Daemons that ask for permits with delayed and lost messages.
class FakeFleet
{
public:
  explicit FakeFleet(const FleetOptions& aOptions)
    : m_options(aOptions)
    , m_sent(aOptions.m_upstreams)
  {
    const auto members = MakeMembers(aOptions.m_daemons, aOptions.m_zones);
    for (const RosterMember& member : members) {
      m_daemons.push_back(std::make_unique<SendLimiter>(member.m_name));
      m_daemons.back()->SetMembers(members);
    }
    for (std::uint32_t i = 0; i < aOptions.m_zones; ++i) {
      const auto ranked = RankHubs(members, ZoneId("z" + std::to_string(i)));
      m_hubs.push_back(
        static_cast<std::uint32_t>(std::stoul(ranked[0].m_address)));
    }
    for (std::uint32_t i = 0; i < aOptions.m_upstreams; ++i) {
      ScheduleRequest(i);
    }
  }

  void RunFor(Duration aTime)
  {
    const Time end = m_now + aTime;
    while (m_events.top().m_at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = end;
  }

  // The first zone's hub sends and receives nothing.
  void SetFrozen(bool aFrozen) { m_frozen = aFrozen; }

  // The most requests in any four seconds, and all, at the upstream with the
  // most.
  std::size_t MostInFourSeconds() const
  {
    std::size_t most = 0;
    for (const std::vector<Time>& times : m_sent) {
      auto begin = times.begin();
      for (auto end = begin; end != times.end(); ++end) {
        while (*end - *begin >= std::chrono::seconds(4)) {
          ++begin;
        }
        most = std::max(most, static_cast<std::size_t>(end - begin) + 1);
      }
    }
    return most;
  }
  std::size_t AllSent() const
  {
    std::size_t all = 0;
    for (const std::vector<Time>& times : m_sent) {
      all += times.size();
    }
    return all;
  }

private:
  struct Event
  {
    Time m_at;
    std::uint64_t m_number;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };

  void At(Duration aDelay, std::function<void()> aRun)
  {
    m_events.push({ m_now + aDelay, ++m_eventNumber, std::move(aRun) });
  }

  std::uint32_t Uniform(std::uint32_t aBelow)
  {
    return std::uniform_int_distribution<std::uint32_t>(0,
                                                        aBelow - 1)(m_random);
  }

  bool IsHub(std::uint32_t aDaemon) const
  {
    return m_hubs[aDaemon % m_options.m_zones] == aDaemon;
  }
  bool IsLost(std::uint32_t aDaemon)
  {
    return (m_frozen && aDaemon == m_hubs[0]) ||
           Uniform(1000) < 1000 * m_options.m_messageLoss;
  }

  void ScheduleRequest(std::uint32_t aUpstream)
  {
    std::exponential_distribution<double> gap(m_options.m_demandPerUpstream);
    At(Duration(static_cast<int>(gap(m_random) * 1000)), [this, aUpstream] {
      Ask(Uniform(m_options.m_daemons), aUpstream);
      ScheduleRequest(aUpstream);
    });
  }

  void Ask(std::uint32_t aDaemon, std::uint32_t aUpstream)
  {
    SendLimiter& limiter = *m_daemons[aDaemon];
    const bool frozen = m_frozen && aDaemon == m_hubs[0];
    if (frozen || m_now < limiter.ExhaustedUntil(aUpstream, false)) {
      return;
    }
    const ZoneId zone("z" + std::to_string(aUpstream % m_options.m_zones));
    const SendPermitAnswer answer = limiter.Ask(
      aUpstream, zone, m_options.m_limit, false, IsHub(aDaemon), m_now);
    if (!answer.m_request) {
      if (answer.m_outcome == SendPermitOutcome::Granted) {
        m_sent[aUpstream].push_back(m_now);
      }
      return;
    }
    const auto to = static_cast<std::uint32_t>(std::stoul(answer.m_to));
    const SendPermitRequest request = *answer.m_request;
    At(Duration(60), [&limiter, request, this] {
      limiter.OnNoReply(request.m_number, m_now);
    });
    if (IsLost(to)) {
      return;
    }
    At(Duration(1 + Uniform(4)), [this, to, request, &limiter, aUpstream] {
      const SendPermitReply reply =
        m_daemons[to]->Reply(request, IsHub(to), m_now);
      if (IsLost(to)) {
        return;
      }
      At(Duration(1 + Uniform(4)), [this, reply, &limiter, aUpstream] {
        if (limiter.OnReply(reply, m_now).value_or(false)) {
          m_sent[aUpstream].push_back(m_now);
        }
      });
    });
  }

  FleetOptions m_options;
  std::mt19937 m_random{ 1 };
  Time m_now = kStart;
  std::priority_queue<Event> m_events;
  std::uint64_t m_eventNumber = 0;
  std::vector<std::unique_ptr<SendLimiter>> m_daemons;
  std::vector<std::uint32_t> m_hubs; // by zone
  bool m_frozen = false;
  std::vector<std::vector<Time>> m_sent; // by upstream
};

class SendLimiterFleet : public testing::TestWithParam<FleetOptions>
{};

// Guards against issue 32, LIMIT: daemons that each keep to a limit, but not
// together, and equal shares that leave most of a low limit unused.
TEST_P(SendLimiterFleet, KeepsTheLimitAndUsesIt)
{
  const FleetOptions options = GetParam();
  FakeFleet fleet(options);
  constexpr int kSeconds = 30;
  if (options.m_hubFreezes) {
    fleet.RunFor(std::chrono::seconds(10));
    fleet.SetFrozen(true);
    fleet.RunFor(std::chrono::seconds(4));
    fleet.SetFrozen(false);
    fleet.RunFor(std::chrono::seconds(16));
  } else {
    fleet.RunFor(std::chrono::seconds(kSeconds));
  }
  // The rule of the platform.
  EXPECT_LE(static_cast<double>(fleet.MostInFourSeconds()),
            1.5 * 4 * options.m_limit + 5);
  const double taken = options.m_limit * kSeconds * options.m_upstreams;
  EXPECT_GE(static_cast<double>(fleet.AllSent()),
            (options.m_hubFreezes ? 0.7 : 0.9) * taken);
}

INSTANTIATE_TEST_SUITE_P(
  Sizes,
  SendLimiterFleet,
  testing::Values(
    FleetOptions{},
    FleetOptions{ .m_hubFreezes = true },
    FleetOptions{ .m_daemons = 195, .m_zones = 5, .m_upstreams = 200 },
    FleetOptions{ .m_daemons = 195,
                  .m_zones = 5,
                  .m_upstreams = 200,
                  .m_hubFreezes = true },
    FleetOptions{ .m_daemons = 195,
                  .m_zones = 5,
                  .m_upstreams = 50,
                  .m_limit = 0.5,
                  .m_demandPerUpstream = 5 },
    FleetOptions{ .m_daemons = 80,
                  .m_upstreams = 50,
                  .m_limit = 20,
                  .m_demandPerUpstream = 40 }));

} // namespace
} // namespace walnutwing
