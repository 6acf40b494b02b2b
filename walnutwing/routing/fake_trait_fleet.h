#ifndef WALNUTWING_ROUTING_FAKE_TRAIT_FLEET_H_
#define WALNUTWING_ROUTING_FAKE_TRAIT_FLEET_H_

// Plays fleets of daemons and engines on a paused clock, for tests of the trait
// breaker: some requests crash each engine that begins to run them, and
// messages between daemons are delayed and lost.

#include "walnutwing/routing/trait_breaker.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/load_exchange.h"
#include "walnutwing/routing/send_limiter.h"

namespace walnutwing {

inline constexpr Time kFleetStart{ std::chrono::hours(1) };
// The rules: from kContact after so many crashes, three more arrivals.
inline constexpr Duration kContact = std::chrono::seconds(3);
inline constexpr std::size_t kCrashesUntilPartBound = 5;
inline constexpr std::size_t kCrashesUntilRequestBound = 3;
inline constexpr std::size_t kMaxLateArrivals = 3;
// When a caller returns that found no engine.
inline constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

inline const TraitId kBadPart("bad");
inline const TraitId kBadRequest("=bad");
inline const ServiceId kService("s");

struct FakeTraitFleetOptions
{
  std::uint32_t m_daemons = 7;
  std::uint32_t m_zones = 3;
  std::uint32_t m_engines = 12;
  double m_soundPerSecond = 70;
  double m_badPerSecond = 4;
  double m_messageLoss = 0.05;
  std::uint32_t m_customers = 10;
  std::uint32_t m_maxTries = 2; // of an attempt of a caller
  // How often a caller sends a failed request again.
  std::uint32_t m_callerRetries = 0;
  // Requests are lookups without a prompt, which are short, and the bad ones
  // are all the same request.
  bool m_lookups = false;
  Duration m_downtime = std::chrono::seconds(4);
  std::uint32_t m_seed = 1;
  std::uint32_t m_seeds = 10; // how many, from 1
};

// Without it GoogleTest prints the bytes of the object.
inline void
PrintTo(const FakeTraitFleetOptions& aOptions, std::ostream* aStream)
{
  *aStream << aOptions.m_daemons << " daemons, " << aOptions.m_engines
           << " engines, " << aOptions.m_badPerSecond << " bad/s, seed "
           << aOptions.m_seed;
}

class FakeTraitFleet
{
public:
  explicit FakeTraitFleet(const FakeTraitFleetOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_engines(aOptions.m_engines)
  {
    std::vector<DaemonId> names;
    for (std::uint32_t i = 0; i < aOptions.m_daemons; ++i) {
      names.emplace_back("d" + std::to_string(i));
      m_daemons.push_back(std::make_unique<Daemon>(names.back()));
      At(Duration(Uniform(300)), [this, i] { SendPeriodically(i); });
    }
    for (const auto& daemon : m_daemons) {
      daemon->m_breaker.SetMembers(names);
    }
    for (Engine& engine : m_engines) {
      engine.m_incarnation = ++m_incarnations;
    }
    ScheduleRequest(false, m_options.m_soundPerSecond);
  }

  void StartBadRequests() { ScheduleRequest(true, m_options.m_badPerSecond); }

  void RunFor(Duration aTime)
  {
    const Time end = m_now + aTime;
    while (!m_events.empty() && m_events.top().m_at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = end;
  }

  void Crash(std::size_t aEngine)
  {
    Engine& engine = m_engines[aEngine];
    if (engine.m_down) {
      return;
    }
    engine.m_down = true;
    const std::uint32_t incarnation = engine.m_incarnation;
    At(m_options.m_downtime, [&engine, this] {
      engine.m_down = false;
      engine.m_incarnation = ++m_incarnations;
    });
    for (Attempt& attempt : std::exchange(engine.m_attempts, {})) {
      OnBroken(attempt, incarnation);
    }
  }

  // Forgets everything at a daemon, as a restart does.
  void Restart(std::size_t aDaemon)
  {
    const DaemonId name("d" + std::to_string(aDaemon));
    m_daemons[aDaemon] = std::make_unique<Daemon>(name);
    m_daemons[aDaemon]->m_breaker.SetMembers({ name });
  }

  // Whether a daemon's messages are lost, in both directions.
  void SetCut(std::uint32_t aDaemon, bool aCut)
  {
    if (aCut) {
      m_cut.insert(aDaemon);
    } else {
      m_cut.erase(aDaemon);
    }
  }

  std::size_t Daemons() const { return m_daemons.size(); }
  std::size_t Engines() const { return m_engines.size(); }
  std::size_t BadCrashes() const { return m_badCrashes; }
  // Arrivals of bad requests at engines after the rule's bound: kContact after
  // the fifth crash, or the third of a request.
  std::size_t LateArrivals() const { return m_lateArrivals; }
  std::size_t SoundRefused() const { return m_soundRefused; }
  // Attempts of sound requests that were refused for want of a permit.
  std::size_t SoundPaced() const { return m_soundPaced; }
  std::size_t SoundRequests() const { return m_soundRequests; }

  // Why daemons have blocked traits on their own, for messages of tests.
  std::string Changes()
  {
    std::ostringstream text;
    for (const auto& daemon : m_daemons) {
      for (const TraitChange& change : daemon->m_breaker.TakeChanges()) {
        if (!change.m_suspicion) {
          continue; // another daemon's decision
        }
        const Suspicion& suspicion = *change.m_suspicion;
        text << "\n"
             << change.m_block.m_trait << ": " << suspicion.m_crashes
             << " crashes of " << suspicion.m_crashesMeanwhile << ", "
             << suspicion.m_moments << " moments, " << suspicion.m_requests
             << " requests, lead " << suspicion.m_lead << ", from "
             << (suspicion.m_firstAt - kFleetStart).count() << " to "
             << (suspicion.m_lastAt - kFleetStart).count() << " ms";
      }
    }
    return text.str();
  }

  // The traits that any daemon blocks.
  std::set<TraitId> Blocked() const
  {
    std::set<TraitId> blocked;
    for (const auto& daemon : m_daemons) {
      for (const BlockedTrait& block : daemon->m_breaker.BlockedTraits()) {
        blocked.insert(block.m_trait);
      }
    }
    return blocked;
  }

private:
  struct Daemon
  {
    explicit Daemon(DaemonId aName)
      : m_breaker(std::move(aName))
    {
    }
    TraitBreaker m_breaker;
    bool m_sendScheduled = false;
  };
  struct Attempt
  {
    std::uint32_t m_daemon = 0;
    RequestTraits m_request;
    bool m_bad = false;
    bool m_proven = false;
    std::uint32_t m_tries = 0; // since it came to the daemon
    std::uint32_t m_retriesLeft = 0;
    std::uint64_t m_id = 0;
  };
  struct Engine
  {
    std::uint32_t m_incarnation = 0;
    bool m_down = false;
    std::vector<Attempt> m_attempts;
  };
  struct Event
  {
    Time m_at;
    std::uint64_t m_number; // events of one time run in order
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

  // Traffic.

  void ScheduleRequest(bool aBad, double aPerSecond)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    At(Duration(static_cast<int>(gap(m_random) * 1000)),
       [this, aBad, aPerSecond] {
         SendRequest(aBad);
         ScheduleRequest(aBad, aPerSecond);
       });
  }

  void SendRequest(bool aBad)
  {
    Attempt attempt;
    attempt.m_bad = aBad;
    attempt.m_request.m_requestHash = ++m_requests;
    attempt.m_request.m_service = kService;
    attempt.m_request.m_customer =
      CustomerId("c" + std::to_string(Uniform(m_options.m_customers)));
    attempt.m_request.m_traits = { TraitId("=" + std::to_string(m_requests)) };
    if (m_options.m_lookups && aBad) {
      attempt.m_request.m_requestHash = 0;
      attempt.m_request.m_customer = CustomerId("c0");
      attempt.m_request.m_traits = { kBadRequest };
    }
    if (!m_options.m_lookups) {
      AddParts(attempt);
    }
    attempt.m_retriesLeft = m_options.m_callerRetries;
    m_soundRequests += aBad ? 0 : 1;
    Arrive(std::move(attempt));
  }

  // A few first parts, and many second parts of which few are popular.
  void AddParts(Attempt& aAttempt)
  {
    const double skew = std::pow(Uniform(1000) / 1000.0, 4);
    std::vector<TraitId>& traits = aAttempt.m_request.m_traits;
    traits.emplace_back("f" + std::to_string(Uniform(4)));
    traits.emplace_back("m" + std::to_string(static_cast<int>(300 * skew)));
    if (aAttempt.m_bad) {
      traits.push_back(kBadPart);
    }
  }

  // It comes to any daemon.
  void Arrive(Attempt aAttempt)
  {
    aAttempt.m_daemon = Uniform(m_options.m_daemons);
    aAttempt.m_tries = 0;
    TraitBreaker& breaker = m_daemons[aAttempt.m_daemon]->m_breaker;
    const TraitVerdict verdict = breaker.Check(aAttempt.m_request, m_now);
    if (!verdict.m_allowed) {
      m_soundRefused += aAttempt.m_bad ? 0 : 1;
      return;
    }
    const bool anyUp =
      std::any_of(m_engines.begin(), m_engines.end(), [](const auto& aEngine) {
        return !aEngine.m_down;
      });
    if (!verdict.m_needsPermit || !anyUp) {
      SendTo(std::move(aAttempt));
      return;
    }
    At(Duration(1 + Uniform(5)),
       [this, aAttempt, verdict] { GrantPermit(aAttempt, verdict.m_trait); });
  }

  // The hub's answer arrives.
  void GrantPermit(const Attempt& aAttempt, const TraitId& aTrait)
  {
    const SendPermitReply reply = m_hub.Reply(
      { LoadKey(UpstreamId(aTrait.Value())), 0, kSuspectsPerSecond, false },
      true,
      m_now);
    if (reply.m_outcome != SendPermitOutcome::Granted) {
      m_soundPaced += aAttempt.m_bad ? 0 : 1;
      return;
    }
    TraitBreaker& breaker = m_daemons[aAttempt.m_daemon]->m_breaker;
    if (breaker.Check(aAttempt.m_request, m_now).m_allowed) {
      SendTo(aAttempt);
    }
  }

  // The caller has got an error.
  void Retry(Attempt aAttempt, Duration aDelay)
  {
    if (aAttempt.m_retriesLeft == 0) {
      return;
    }
    --aAttempt.m_retriesLeft;
    At(aDelay, [this, aAttempt] { Arrive(aAttempt); });
  }

  // Sends it to the first engine that is up in the order of its last part.
  void SendTo(Attempt aAttempt)
  {
    const std::uint64_t key =
      StableHash(aAttempt.m_request.m_traits.back().Value() +
                 (m_options.m_lookups ? std::to_string(Uniform(1000)) : ""));
    Engine* nearest = nullptr;
    double distance = 0;
    for (Engine& engine : m_engines) {
      const double candidate = RendezvousDistance(
        key, { StableHash(std::to_string(&engine - m_engines.data())) });
      if (!engine.m_down && (nearest == nullptr || candidate < distance)) {
        nearest = &engine;
        distance = candidate;
      }
    }
    if (nearest == nullptr) {
      Retry(std::move(aAttempt), kRetryDelay);
      return;
    }
    if (aAttempt.m_bad && m_boundAt && m_now > *m_boundAt) {
      ++m_lateArrivals;
    }
    ++aAttempt.m_tries;
    aAttempt.m_id = ++m_attempts;
    const std::uint64_t id = aAttempt.m_id;
    const bool bad = aAttempt.m_bad;
    const auto engine = static_cast<std::size_t>(nearest - m_engines.data());
    nearest->m_attempts.push_back(std::move(aAttempt));
    const Duration begins(20 + Uniform(150));
    if (bad) {
      At(begins, [this, engine, id] { CrashBy(engine, id); });
      return;
    }
    if (m_options.m_lookups) {
      At(begins, [this, engine, id] { Prove(engine, id); });
      At(begins, [this, engine, id] { End(engine, id); });
      return;
    }
    At(begins + Duration(200), [this, engine, id] { Prove(engine, id); });
    At(begins + Duration(400 + Uniform(1500)),
       [this, engine, id] { End(engine, id); });
  }

  Attempt* Find(std::size_t aEngine, std::uint64_t aId)
  {
    for (Attempt& attempt : m_engines[aEngine].m_attempts) {
      if (attempt.m_id == aId) {
        return &attempt;
      }
    }
    return nullptr; // broken
  }

  void CrashBy(std::size_t aEngine, std::uint64_t aId)
  {
    if (Find(aEngine, aId) == nullptr) {
      return;
    }
    const std::size_t limit =
      m_options.m_lookups ? kCrashesUntilRequestBound : kCrashesUntilPartBound;
    if (++m_badCrashes == limit) {
      m_boundAt = m_now + kContact;
    }
    Crash(aEngine);
  }

  void Prove(std::size_t aEngine, std::uint64_t aId)
  {
    if (Attempt* attempt = Find(aEngine, aId)) {
      attempt->m_proven = true;
      m_daemons[attempt->m_daemon]->m_breaker.OnServed(attempt->m_request,
                                                       m_now);
      SendSoonIfNews(attempt->m_daemon);
    }
  }

  void End(std::size_t aEngine, std::uint64_t aId)
  {
    std::erase_if(m_engines[aEngine].m_attempts, [&](const Attempt& aAttempt) {
      return aAttempt.m_id == aId;
    });
  }

  void OnBroken(const Attempt& aAttempt, std::uint32_t aIncarnation)
  {
    if (aAttempt.m_proven) {
      return;
    }
    TraitBreaker& breaker = m_daemons[aAttempt.m_daemon]->m_breaker;
    breaker.OnBroken(aAttempt.m_request, aIncarnation, m_now);
    SendSoonIfNews(aAttempt.m_daemon);
    if (aAttempt.m_tries < m_options.m_maxTries &&
        breaker.MayRepeat(aAttempt.m_request, m_now)) {
      SendTo(aAttempt);
      return;
    }
    Retry(aAttempt, Duration(1 + Uniform(20)));
  }

  // Messages. The first daemon of a zone is its hub.

  bool IsHub(std::uint32_t aDaemon) const
  {
    return aDaemon < m_options.m_zones;
  }

  void SendPeriodically(std::uint32_t aDaemon)
  {
    m_daemons[aDaemon]->m_breaker.Tick(m_now);
    SendNews(aDaemon);
    const Duration period(std::clamp<std::uint32_t>(
      3 * m_options.m_daemons / m_options.m_zones, 100, 300));
    At(period, [this, aDaemon] { SendPeriodically(aDaemon); });
  }

  void SendSoonIfNews(std::uint32_t aDaemon)
  {
    Daemon& daemon = *m_daemons[aDaemon];
    if (!daemon.m_breaker.TakeHasNews() ||
        std::exchange(daemon.m_sendScheduled, true)) {
      return;
    }
    At(Duration(10), [this, aDaemon] {
      m_daemons[aDaemon]->m_sendScheduled = false;
      SendNews(aDaemon);
    });
  }

  void SendNews(std::uint32_t aDaemon)
  {
    const TraitNews news =
      m_daemons[aDaemon]->m_breaker.News(IsHub(aDaemon), m_now);
    if (news.Empty()) {
      return;
    }
    if (m_cut.contains(aDaemon)) {
      return;
    }
    if (!IsHub(aDaemon)) {
      Deliver(aDaemon % m_options.m_zones, news);
      return;
    }
    for (std::uint32_t i = 0; i < m_options.m_daemons; ++i) {
      const bool sameZone = i % m_options.m_zones == aDaemon;
      if (i != aDaemon && (sameZone || IsHub(i))) {
        Deliver(i, news);
      }
    }
  }

  void Deliver(std::uint32_t aTo, const TraitNews& aNews)
  {
    if (m_cut.contains(aTo) || Uniform(1000) < 1000 * m_options.m_messageLoss) {
      return;
    }
    At(Duration(1 + Uniform(5)), [this, aTo, aNews] {
      m_daemons[aTo]->m_breaker.OnNews(aNews, m_now);
      if (IsHub(aTo)) {
        SendSoonIfNews(aTo);
      } else {
        m_daemons[aTo]->m_breaker.TakeHasNews();
      }
    });
  }

  FakeTraitFleetOptions m_options;
  std::mt19937 m_random;
  Time m_now = kFleetStart;
  std::priority_queue<Event> m_events;
  std::uint64_t m_eventNumber = 0;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  SendLimiter m_hub{ DaemonId("hub") }; // grants permits for suspects
  std::set<std::uint32_t> m_cut;
  std::vector<Engine> m_engines;
  std::uint32_t m_incarnations = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_attempts = 0;
  std::size_t m_badCrashes = 0;
  std::optional<Time> m_boundAt; // of late arrivals
  std::size_t m_lateArrivals = 0;
  std::size_t m_soundRequests = 0;
  std::size_t m_soundRefused = 0; // as they have a blocked trait
  std::size_t m_soundPaced = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_FAKE_TRAIT_FLEET_H_
