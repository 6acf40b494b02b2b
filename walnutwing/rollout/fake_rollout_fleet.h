#ifndef WALNUTWING_ROLLOUT_FAKE_ROLLOUT_FLEET_H_
#define WALNUTWING_ROLLOUT_FAKE_ROLLOUT_FLEET_H_

// A fleet for tests: routers that exchange counts and statuses, a store with
// conditional writes, and upstreams of an old and a new version. The clock is
// advanced in steps.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "walnutwing/rollout/rollouts.h"

namespace walnutwing {

inline const ServiceId kService("orders");
inline const SoftwareVersion kOld("v1");
inline const SoftwareVersion kNew("v2");

inline RolloutOrder
MakeOrder(Duration aDuration,
          std::uint64_t aOffset = 7,
          const SoftwareVersion& aTo = kNew)
{
  return { kService, aTo, aDuration, { 1, aOffset } };
}

// One request at an upstream, as its version's faults see it.
struct FakeRequest
{
  SoftwareVersion m_version;
  UpstreamId m_upstream;
  std::string m_route;
  std::uint32_t m_atUpstream = 0; // requests in flight there, with this one
  Duration m_sinceOrder{};
};

struct FakeFault
{
  bool m_failed = false;
  double m_slower = 1; // factor
};

struct FakeStore
{
  bool m_up = true;
  bool m_losesAnswers = false;
  std::vector<RolloutStatus> m_statuses;
};

class FakeRolloutFleet
{
public:
  using Faults = std::function<FakeFault(const FakeRequest&, double)>;

  struct Options
  {
    std::size_t m_routers = 6;
    double m_perSecond = 400;
    std::size_t m_oldUpstreams = 8;
    std::size_t m_newUpstreams = 8;
    std::uint32_t m_slots = 8;
    Faults m_faults;
    Duration m_duration = std::chrono::seconds(20);
    std::uint32_t m_seed = 1;
    bool m_oneRank = false; // the two writers do not wait for each other
  };

  explicit FakeRolloutFleet(Options aOptions)
    : m_options(std::move(aOptions))
    , m_random(m_options.m_seed)
  {
    for (std::size_t i = 0; i < m_options.m_routers; ++i) {
      m_routers.emplace_back();
      Restart(i);
      m_routers.back().m_rollouts->OnStatusesRead(Now());
    }
    for (std::size_t i = 0; i < m_options.m_oldUpstreams; ++i) {
      m_upstreams.push_back({ UpstreamId("o" + std::to_string(i)), kOld });
    }
    for (std::size_t i = 0; i < m_options.m_newUpstreams; ++i) {
      m_upstreams.push_back({ UpstreamId("n" + std::to_string(i)), kNew });
    }
  }

  Time Now() const { return m_clock.Now(); }
  Rollouts& At(std::size_t aRouter) { return *m_routers[aRouter].m_rollouts; }
  FakeStore& Store() { return m_store; }
  void Cut(std::size_t aRouter, bool aCut) { m_routers[aRouter].m_cut = aCut; }
  // A dead router does nothing.
  void Kill(std::size_t aRouter) { m_routers[aRouter].m_alive = false; }

  void Restart(std::size_t aRouter)
  {
    Router& router = m_routers[aRouter];
    const DaemonId self("r" + std::to_string(aRouter));
    router.m_exchange =
      std::make_unique<LoadExchange>(self, ZoneId("z"), LoadExchangeOptions());
    RosterMember hub;
    hub.m_name = DaemonId("hub");
    hub.m_zone = ZoneId("z");
    router.m_exchange->SetMembers({ hub }, Now());
    router.m_rollouts =
      std::make_unique<Rollouts>(RolloutOptions(), *router.m_exchange);
    if (m_order) {
      router.m_rollouts->OnOrder(*m_order, Now());
    }
  }

  void Order(const RolloutOrder& aOrder)
  {
    m_order = aOrder;
    m_orderedAt = Now();
    m_requests = 0;
    for (Router& router : m_routers) {
      router.m_rollouts->OnOrder(aOrder, Now());
    }
  }

  // Requests arrive, and routers talk, for aTime.
  void Run(Duration aTime)
  {
    for (const Time end = Now() + aTime; Now() < end;) {
      m_clock.Advance(kStep);
      EndRequests();
      if ((Now() - Time()) % kTalkPeriod == Duration(0)) {
        Talk();
      }
      m_due +=
        m_options.m_perSecond * static_cast<double>(kStep.count()) / 1000;
      for (; m_due >= 1; m_due -= 1) {
        StartRequest();
      }
    }
  }

  // Runs until the store has a final status, at most for the duration and a
  // little more.
  std::optional<RolloutState> RunToEnd()
  {
    while (Now() - m_orderedAt <
           m_options.m_duration + std::chrono::seconds(3)) {
      Run(kTalkPeriod);
      if (Stored() && *Stored() != RolloutState::InProgress) {
        m_endedAfter = Now() - m_orderedAt;
        return Stored();
      }
    }
    return std::nullopt;
  }

  std::optional<RolloutState> Stored() const
  {
    return m_store.m_statuses.empty()
             ? std::nullopt
             : std::optional(StateOf(m_store.m_statuses.back().m_stage));
  }

  // Of the routers in touch.
  std::uint32_t OldRequests() const
  {
    std::uint32_t sum = 0;
    for (const auto& [end, request] : m_inFlight) {
      const Router& router = m_routers[request.m_router];
      const bool inTouch = router.m_alive && !router.m_cut;
      sum += inTouch && request.m_answer.m_version == kOld ? 1 : 0;
    }
    return sum;
  }

  // What the platform's rules limit.
  double m_requests = 0; // from the order to the time budget
  double m_sentToNew = 0;
  std::uint64_t m_badAnswers = 0;
  std::optional<Time> m_fiftiethBadAt;
  Time m_lastSentToNew;
  Duration m_endedAfter{};
  std::uint32_t m_oldRequestsAtCompleted = 0;

private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kTimeout = std::chrono::seconds(4);
  static constexpr Duration kTalkPeriod = std::chrono::milliseconds(200);

  struct Router
  {
    std::unique_ptr<LoadExchange> m_exchange;
    std::unique_ptr<Rollouts> m_rollouts;
    bool m_alive = true;
    bool m_cut = false;
  };
  struct Upstream
  {
    UpstreamId m_id;
    SoftwareVersion m_version;
    std::uint32_t m_inFlight = 0;
  };
  struct InFlight
  {
    std::size_t m_router;
    std::size_t m_upstream;
    RolloutAnswer m_answer;
  };

  double Random() { return std::uniform_real_distribution(0.0, 1.0)(m_random); }

  static bool Allows(const VersionRule& aRule, const SoftwareVersion& aVersion)
  {
    return (aRule.m_only.empty() || aRule.m_only.contains(aVersion)) &&
           !aRule.m_exclude.contains(aVersion);
  }

  std::size_t Choose(const VersionRule& aRule, std::uint64_t aAffinity) const
  {
    std::vector<std::size_t> allowed;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      const SoftwareVersion& version = m_upstreams[i].m_version;
      if (Allows(aRule, version) && (version == kOld || m_order)) {
        allowed.push_back(i);
      }
    }
    if (aRule.m_focus != 0 && aRule.m_focus < allowed.size()) {
      allowed.resize(aRule.m_focus);
    }
    return *std::min_element(
      allowed.begin(), allowed.end(), [&](auto aLeft, auto aRight) {
        const auto rank = [&](std::size_t aUpstream) {
          const bool preferred =
            aAffinity % allowed.size() == aUpstream % allowed.size();
          return m_upstreams[aUpstream].m_inFlight + (preferred ? 0U : 3U);
        };
        return rank(aLeft) < rank(aRight);
      });
  }

  void StartRequest()
  {
    const auto number = static_cast<std::size_t>(Random() * 1e6);
    const std::size_t at = number % m_routers.size();
    if (!m_routers[at].m_alive) {
      return;
    }
    RolloutAnswer answer;
    answer.m_service = kService;
    answer.m_route = kRoutes[number / 7 % kRoutes.size()];
    answer.m_affinity = number / 3 % 20; // 0: none
    Rollouts& rollouts = At(at);
    const VersionRule rule =
      rollouts.RuleFor({ kService, answer.m_affinity, std::nullopt },
                       static_cast<std::uint32_t>(m_routers.size()),
                       Now());
    const std::size_t chosen = Choose(rule, answer.m_affinity);
    Upstream& upstream = m_upstreams[chosen];
    ++upstream.m_inFlight;
    answer.m_upstream = upstream.m_id;
    answer.m_version = upstream.m_version;
    rollouts.OnSent(
      kService, upstream.m_version, upstream.m_id, answer.m_affinity, Now());
    m_requests += Now() - m_orderedAt <= m_options.m_duration ? 1 : 0;
    if (upstream.m_version == kNew) {
      ++m_sentToNew;
      m_lastSentToNew = Now();
    }
    Answer(at, chosen, std::move(answer));
  }

  void Answer(std::size_t aRouter, std::size_t aUpstream, RolloutAnswer aAnswer)
  {
    const Upstream& upstream = m_upstreams[aUpstream];
    FakeFault fault;
    if (m_options.m_faults) {
      fault = m_options.m_faults({ upstream.m_version,
                                   upstream.m_id,
                                   aAnswer.m_route,
                                   upstream.m_inFlight,
                                   Now() - m_orderedAt },
                                 Random());
    }
    // Answers vary, a few of them much; a part of prompts is read once.
    double ms = 60 * (0.7 + Random()) * (Random() < 0.02 ? 4 : 1);
    ms *= 1 + std::max(0.0, upstream.m_inFlight * 1.0 - m_options.m_slots) / 4;
    const bool read = !m_read.emplace(aUpstream, aAnswer.m_affinity).second;
    ms = (ms + (read ? 0 : 500)) * fault.m_slower;
    const auto timeout = static_cast<double>(kTimeout.count());
    aAnswer.m_failed = fault.m_failed || ms > timeout;
    ms = std::min(ms, timeout);
    aAnswer.m_total = Duration(static_cast<Duration::rep>(ms));
    aAnswer.m_firstByte = aAnswer.m_total;
    const bool bad = fault.m_failed || fault.m_slower > 1;
    m_bad[Now() + *aAnswer.m_total] += bad && upstream.m_version == kNew;
    const Time end = Now() + *aAnswer.m_total;
    m_inFlight.emplace(end, InFlight{ aRouter, aUpstream, std::move(aAnswer) });
  }

  void EndRequests()
  {
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= Now()) {
      const InFlight& ended = m_inFlight.begin()->second;
      --m_upstreams[ended.m_upstream].m_inFlight;
      if (m_routers[ended.m_router].m_alive) {
        At(ended.m_router).OnAnswer(ended.m_answer, Now());
      }
      m_inFlight.erase(m_inFlight.begin());
    }
    while (!m_bad.empty() && m_bad.begin()->first <= Now()) {
      m_badAnswers += m_bad.begin()->second;
      m_bad.erase(m_bad.begin());
    }
    if (m_badAnswers >= 50 && !m_fiftiethBadAt) {
      m_fiftiethBadAt = Now();
    }
  }

  // Exchanges counts, statuses and verdicts, and uses the store.
  void Talk()
  {
    const std::size_t end = m_store.m_statuses.size();
    for (Router& router : m_routers) {
      if (router.m_alive && !router.m_cut) {
        ReadStore(router);
      }
    }
    UpstreamLoads all;
    for (const Router& router : m_routers) {
      for (const auto& [key, count] : LoadsOf(router)) {
        all[key] += count;
      }
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      Router& router = m_routers[i];
      if (!router.m_alive) {
        continue;
      }
      if (!router.m_cut) {
        UpstreamLoads others = all;
        const UpstreamLoads own = LoadsOf(router);
        for (const auto& [key, count] : own) {
          others[key] -= count;
        }
        router.m_exchange->OnDigest(DaemonId("hub"), others, own, Now());
        HearOthers(router);
      }
      const std::uint32_t rank = m_options.m_oneRank ? 0 : i;
      const bool writes = i < 2 && !router.m_cut;
      router.m_rollouts->Tick(kService,
                              ViewOf(router),
                              writes ? std::optional(rank) : std::nullopt,
                              Now());
      if (writes) {
        Write(router, end);
      }
    }
  }

  static UpstreamLoads LoadsOf(const Router& aRouter)
  {
    UpstreamLoads loads;
    if (aRouter.m_alive && !aRouter.m_cut) {
      aRouter.m_rollouts->AddTo(loads);
    }
    return loads;
  }

  void HearOthers(Router& aRouter)
  {
    for (const Router& other : m_routers) {
      if (!other.m_alive || other.m_cut) {
        continue;
      }
      for (const RolloutStatus& status : other.m_rollouts->News()) {
        aRouter.m_rollouts->OnStatus(status, Now(), StatusSource::Router);
      }
      for (const RolloutVerdict& verdict : other.m_rollouts->BadVerdicts()) {
        aRouter.m_rollouts->OnBadVerdict(
          verdict.m_service, verdict.m_to, verdict.m_order, Now());
      }
    }
  }

  void ReadStore(Router& aRouter)
  {
    if (!m_store.m_up) {
      return;
    }
    if (!m_store.m_statuses.empty()) {
      aRouter.m_rollouts->OnStatus(m_store.m_statuses.back(), Now());
    }
    aRouter.m_rollouts->OnStatusesRead(Now());
  }

  // aEnd: of the store when the router read it.
  void Write(Router& aRouter, std::size_t aEnd)
  {
    const auto status = aRouter.m_rollouts->StatusToWrite(kService, Now());
    if (!status) {
      return;
    }
    const bool accepted = m_store.m_up && m_store.m_statuses.size() == aEnd;
    if (accepted) {
      m_store.m_statuses.push_back(*status);
      if (status->m_stage == RolloutStage::Completed) {
        m_oldRequestsAtCompleted = OldRequests();
      }
    }
    if (accepted && !m_store.m_losesAnswers) {
      aRouter.m_rollouts->OnWritten(*status, Now());
      return;
    }
    aRouter.m_rollouts->OnWriteFailed(*status, Now());
  }

  RolloutFleetView ViewOf(const Router& aRouter) const
  {
    RolloutFleetView view;
    if (!aRouter.m_cut) {
      view.m_oldRequests = OldRequests();
      view.m_fresh = true;
    }
    for (const Upstream& upstream : m_upstreams) {
      const bool isNew = upstream.m_version == kNew;
      (isNew ? view.m_newWarmSlots : view.m_oldSlots) += m_options.m_slots;
      ++(isNew ? view.m_newUpstreams : view.m_oldUpstreams);
      if (isNew) {
        view.m_newUpstreamIds.push_back(upstream.m_id);
      }
    }
    view.m_maxTimeout = kTimeout;
    return view;
  }

  static inline const std::vector<std::string> kRoutes{ "book",
                                                        "find",
                                                        "list",
                                                        "pay" };

  Options m_options;
  std::mt19937 m_random;
  PausedClock m_clock;
  std::vector<Router> m_routers;
  std::vector<Upstream> m_upstreams;
  FakeStore m_store;
  std::optional<RolloutOrder> m_order;
  Time m_orderedAt;
  double m_due = 0; // requests to start
  std::multimap<Time, InFlight> m_inFlight;
  std::map<Time, std::uint64_t> m_bad; // bad answers of the new version
  std::set<std::pair<std::size_t, std::uint64_t>> m_read; // upstream, part
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_FAKE_ROLLOUT_FLEET_H_
