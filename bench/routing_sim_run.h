#ifndef WALNUTWING_BENCH_ROUTING_SIM_RUN_H_
#define WALNUTWING_BENCH_ROUTING_SIM_RUN_H_

// Implementation of RunRoutingSim of bench/routing_sim.h, which includes this
// file.

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace walnutwing::bench {

// The policy-independent state of a run: the event queue, the engines with
// their fault, and the outcome of each request.
class RoutingSimWorld
{
public:
  enum class Kind
  {
    Arrival,  // of request m_index, or a retry by its caller
    Step,     // of engine m_index
    Deadline, // of request m_index
    ExchangePeriod,
    FaultBegins,
    FaultEnds,
  };

  struct Event
  {
    double m_atMs = 0;
    std::uint64_t m_sequence = 0; // orders events at the same time
    Kind m_kind = Kind::Arrival;
    std::size_t m_index = 0;

    bool operator>(const Event& aOther) const
    {
      return std::pair(m_atMs, m_sequence) >
             std::pair(aOther.m_atMs, aOther.m_sequence);
    }
  };

  struct Request
  {
    SimRequest m_simRequest;
    const standin::PlannedRequest* m_planned = nullptr;
    std::optional<std::size_t> m_engine; // that runs it now
    double m_firstMs = -1;               // time to first token; -1 before it
    std::uint32_t m_callerRetries = 0;   // after refusals
    std::uint32_t m_sends = 0;           // since the last caller retry
    bool m_ended = false;
    bool m_served = false;
    bool m_refused = false;
  };

  explicit RoutingSimWorld(const RoutingSimOptions& aOptions);

  bool PopEvent(Event& aEvent);
  double NowMs() const { return m_nowMs; }
  std::size_t Requests() const { return m_requests.size(); }
  Request& RequestAt(std::size_t aIndex) { return m_requests.at(aIndex); }
  bool IsLost(std::size_t aEngine) const;
  // Returns false if the engine is full.
  bool Submit(std::size_t aRequest, std::size_t aEngine);
  std::vector<standin::TokenOutput> Step(std::size_t aEngine);
  void Cancel(std::size_t aRequest);
  // Starts the fault. Returns the requests that lost engines were running.
  std::vector<std::size_t> BeginFault();
  void EndFault();
  // Returns false if the caller has no retries left.
  bool ScheduleCallerRetry(std::size_t aRequest);
  RoutingSimResult Result() const;

private:
  void Add(double aAtMs, Kind aKind, std::size_t aIndex);

  const RoutingSimOptions& m_options;
  std::vector<standin::PlannedRequest> m_plan;
  std::vector<Request> m_requests;
  std::vector<standin::TokenEngine> m_engines;
  std::vector<std::size_t> m_sendCounts; // requests, by engine
  std::vector<bool> m_stepPending;       // by engine
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_sequence = 0;
  double m_nowMs = 0;
  bool m_faultActive = false;
  std::mt19937_64 m_random{ 1 };
};

template<RoutingPolicy Policy>
class RoutingSimRun
{
public:
  RoutingSimRun(const RoutingSimOptions& aOptions, Policy& aPolicy)
    : m_world(aOptions)
    , m_policy(aPolicy)
  {
  }

  RoutingSimResult Run()
  {
    RoutingSimWorld::Event event;
    Duration advancedTo{ 0 };
    while (m_world.PopEvent(event)) {
      const Duration now(static_cast<Duration::rep>(m_world.NowMs()));
      m_policy.Advance(now - std::exchange(advancedTo, now));
      Handle(event);
    }
    return m_world.Result();
  }

private:
  using Kind = RoutingSimWorld::Kind;

  // Attempts to send one request before it is refused.
  static constexpr std::uint32_t kMaxSends = 3;

  void Handle(const RoutingSimWorld::Event& aEvent)
  {
    switch (aEvent.m_kind) {
      case Kind::Arrival:
        Send(aEvent.m_index);
        return;
      case Kind::Step:
        Step(aEvent.m_index);
        return;
      case Kind::Deadline:
        OnDeadline(aEvent.m_index);
        return;
      case Kind::ExchangePeriod:
        m_policy.OnExchangePeriod();
        return;
      case Kind::FaultBegins:
        for (const std::size_t request : m_world.BeginFault()) {
          OnFailed(request, SendOutcome::Failed);
        }
        return;
      case Kind::FaultEnds:
        m_world.EndFault();
        return;
    }
  }

  void Send(std::size_t aIndex)
  {
    RoutingSimWorld::Request& request = m_world.RequestAt(aIndex);
    while (!request.m_ended && request.m_sends < kMaxSends) {
      const auto engine = m_policy.Choose(request.m_simRequest);
      if (!engine) {
        break;
      }
      ++request.m_sends;
      request.m_simRequest.m_avoid.insert(*engine);
      if (m_world.IsLost(*engine)) {
        m_policy.OnEnded(request.m_simRequest, SendOutcome::Unreachable);
        continue;
      }
      if (m_world.Submit(aIndex, *engine)) {
        return;
      }
      m_policy.OnBytesReceived(request.m_simRequest);
      m_policy.OnEnded(request.m_simRequest, SendOutcome::Refused);
    }
    if (request.m_ended) {
      return;
    }
    request.m_simRequest.m_avoid.clear();
    request.m_sends = 0;
    if (!m_world.ScheduleCallerRetry(aIndex)) {
      request.m_ended = true;
      request.m_refused = true;
    }
  }

  void OnFailed(std::size_t aIndex, SendOutcome aOutcome)
  {
    m_policy.OnEnded(m_world.RequestAt(aIndex).m_simRequest, aOutcome);
    m_world.RequestAt(aIndex).m_engine.reset();
    Send(aIndex);
  }

  void Step(std::size_t aEngine)
  {
    for (const standin::TokenOutput& output : m_world.Step(aEngine)) {
      RoutingSimWorld::Request& request = m_world.RequestAt(output.m_id);
      const double sinceMs =
        m_world.NowMs() - static_cast<double>(request.m_planned->m_at.count());
      m_policy.OnBytesReceived(request.m_simRequest);
      if (output.m_event == standin::TokenEvent::First) {
        request.m_firstMs = request.m_firstMs < 0 ? sinceMs : request.m_firstMs;
      }
      if (output.m_event != standin::TokenEvent::Last) {
        continue;
      }
      request.m_engine.reset();
      request.m_ended = true;
      request.m_served = true;
      m_policy.OnEnded(request.m_simRequest, SendOutcome::Answered);
    }
  }

  void OnDeadline(std::size_t aIndex)
  {
    RoutingSimWorld::Request& request = m_world.RequestAt(aIndex);
    if (request.m_ended) {
      return;
    }
    request.m_ended = true;
    if (request.m_engine) {
      m_world.Cancel(aIndex);
      m_policy.OnEnded(request.m_simRequest, SendOutcome::Abandoned);
    }
  }

  RoutingSimWorld m_world;
  Policy& m_policy;
};

template<RoutingPolicy Policy>
RoutingSimResult
RunRoutingSim(const RoutingSimOptions& aOptions, Policy& aPolicy)
{
  return RoutingSimRun<Policy>(aOptions, aPolicy).Run();
}

} // namespace walnutwing::bench

#endif // WALNUTWING_BENCH_ROUTING_SIM_RUN_H_
