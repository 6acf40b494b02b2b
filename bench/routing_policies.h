#ifndef WALNUTWING_BENCH_ROUTING_POLICIES_H_
#define WALNUTWING_BENCH_ROUTING_POLICIES_H_

// Policies for bench/routing_sim.h: the router's own selector and naive
// baseline policies. A naive policy counts the requests in flight of each
// router separately; routers exchange nothing.

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "bench/routing_sim.h"
#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/admission.h"
#include "walnutwing/routing/selector_fixture.h"

namespace walnutwing::bench {

// The router's selector, load exchange, trackers and admission control.
class RouterPolicy
{
public:
  explicit RouterPolicy(const RoutingSimOptions& aOptions,
                        SelectorOptions aSelector = {},
                        AdmissionOptions aAdmission = {})
    : m_fleet(aOptions.m_routers, aOptions.m_engines, aSelector)
    , m_routers(static_cast<std::uint32_t>(aOptions.m_routers))
    , m_admissions(aOptions.m_routers, AdmissionControl(aAdmission))
  {
  }

  void Advance(Duration aStep) { m_fleet.m_clock.Advance(aStep); }
  void OnExchangePeriod() { m_fleet.Exchange(); }

  std::optional<std::size_t> Choose(const SimRequest& aRequest)
  {
    SelectionRequest selection;
    selection.m_service = ServiceId("s");
    selection.m_affinity = aRequest.m_affinity;
    selection.m_daemons = m_routers;
    for (const std::size_t engine : aRequest.m_avoid) {
      selection.m_avoid.insert(UpstreamId("e" + std::to_string(engine)));
    }
    UpstreamSelector& selector = m_fleet.Daemon(aRequest.m_router).m_selector;
    const Time now = m_fleet.m_clock.Now();
    const Choice choice = selector.Choose(selection, now);
    if (choice.m_failure != SelectionFailure::None ||
        !Admits(aRequest, choice)) {
      return std::nullopt;
    }
    selector.OnSent(choice, now);
    m_admissions[aRequest.m_router].OnSent(CustomerOf(aRequest));
    m_sent[aRequest.m_id] = { choice, now, Time() };
    return std::stoul(choice.m_upstream.Value().substr(1));
  }

  void OnBytesReceived(const SimRequest& aRequest)
  {
    const Time now = m_fleet.m_clock.Now();
    SentRequest& sent = m_sent.at(aRequest.m_id);
    sent.m_choice.m_tracker->OnBytesReceived(now);
    sent.m_firstAt = sent.m_firstAt == Time() ? now : sent.m_firstAt;
  }

  void OnEnded(const SimRequest& aRequest, SendOutcome aOutcome)
  {
    const Time now = m_fleet.m_clock.Now();
    const auto found = m_sent.find(aRequest.m_id);
    const Choice& choice = found->second.m_choice;
    choice.m_tracker->OnEnded(aOutcome, now);
    AdmissionControl& admission = m_admissions[aRequest.m_router];
    admission.OnEnded(CustomerOf(aRequest));
    if (aOutcome == SendOutcome::Answered) {
      admission.OnServed(found->second.m_firstAt - found->second.m_at,
                         now - found->second.m_at,
                         choice.m_load,
                         choice.m_slots);
    }
    m_sent.erase(found);
  }

private:
  struct SentRequest
  {
    Choice m_choice;
    Time m_at;
    Time m_firstAt;
  };

  static CustomerId CustomerOf(const SimRequest& aRequest)
  {
    return CustomerId("c" + std::to_string(aRequest.m_customer));
  }

  bool Admits(const SimRequest& aRequest, const Choice& aChoice)
  {
    AdmissionRequest request;
    request.m_priority = aRequest.m_priority;
    request.m_target = aRequest.m_target;
    request.m_customer = CustomerOf(aRequest);
    request.m_load = aChoice.m_minLoad;
    request.m_slots = aChoice.m_slots;
    return m_admissions[aRequest.m_router].Decide(request).m_admitted;
  }

  TestFleet m_fleet;
  std::uint32_t m_routers;
  std::vector<AdmissionControl> m_admissions;  // by router
  std::map<std::uint64_t, SentRequest> m_sent; // by request
};

// RouterPolicy without refusals by admission control.
class AdmitAllPolicy : public RouterPolicy
{
public:
  explicit AdmitAllPolicy(const RoutingSimOptions& aOptions)
    : RouterPolicy(aOptions, {}, { .m_minWait = std::chrono::hours(1) })
  {
  }
};

// Base of the naive policies: each router's own requests in flight.
class NaivePolicy
{
public:
  explicit NaivePolicy(const RoutingSimOptions& aOptions)
    : m_inFlight(aOptions.m_routers,
                 std::vector<std::uint32_t>(aOptions.m_engines))
  {
  }

  void Advance(Duration) {}
  void OnExchangePeriod() {}
  void OnBytesReceived(const SimRequest&) {}
  void OnEnded(const SimRequest& aRequest, SendOutcome)
  {
    const auto found = m_sent.find(aRequest.m_id);
    --m_inFlight[aRequest.m_router][found->second];
    m_sent.erase(found);
  }

protected:
  std::vector<std::size_t> Candidates(const SimRequest& aRequest) const
  {
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_inFlight.front().size(); ++i) {
      if (!aRequest.m_avoid.contains(i)) {
        candidates.push_back(i);
      }
    }
    return candidates;
  }

  std::uint32_t LoadOf(const SimRequest& aRequest, std::size_t aEngine) const
  {
    return m_inFlight[aRequest.m_router][aEngine];
  }

  std::optional<std::size_t> RecordSent(const SimRequest& aRequest,
                                        std::size_t aEngine)
  {
    ++m_inFlight[aRequest.m_router][aEngine];
    m_sent[aRequest.m_id] = aEngine;
    return aEngine;
  }

  std::mt19937_64 m_random{ 3 };

private:
  std::vector<std::vector<std::uint32_t>> m_inFlight; // by router and engine
  std::map<std::uint64_t, std::size_t> m_sent;
};

class LeastLoadedPolicy : public NaivePolicy
{
public:
  using NaivePolicy::NaivePolicy;

  std::optional<std::size_t> Choose(const SimRequest& aRequest)
  {
    std::vector<std::size_t> candidates = Candidates(aRequest);
    if (candidates.empty()) {
      return std::nullopt;
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    const auto lighter = [&](std::size_t aLeft, std::size_t aRight) {
      return LoadOf(aRequest, aLeft) < LoadOf(aRequest, aRight);
    };
    return RecordSent(
      aRequest,
      *std::min_element(candidates.begin(), candidates.end(), lighter));
  }
};

// The less loaded of two engines drawn at random.
class PowerOfTwoPolicy : public NaivePolicy
{
public:
  using NaivePolicy::NaivePolicy;

  std::optional<std::size_t> Choose(const SimRequest& aRequest)
  {
    const std::vector<std::size_t> candidates = Candidates(aRequest);
    if (candidates.empty()) {
      return std::nullopt;
    }
    const std::size_t one = candidates[m_random() % candidates.size()];
    const std::size_t other = candidates[m_random() % candidates.size()];
    const bool first = LoadOf(aRequest, one) <= LoadOf(aRequest, other);
    return RecordSent(aRequest, first ? one : other);
  }
};

// The first engine in the rendezvous order of the request's affinity,
// regardless of load.
class HashingPolicy : public NaivePolicy
{
public:
  using NaivePolicy::NaivePolicy;

  std::optional<std::size_t> Choose(const SimRequest& aRequest)
  {
    const std::vector<std::size_t> candidates = Candidates(aRequest);
    if (candidates.empty()) {
      return std::nullopt;
    }
    const auto nearer = [&](std::size_t aLeft, std::size_t aRight) {
      return Distance(aRequest, aLeft) < Distance(aRequest, aRight);
    };
    return RecordSent(
      aRequest,
      *std::min_element(candidates.begin(), candidates.end(), nearer));
  }

private:
  static double Distance(const SimRequest& aRequest, std::size_t aEngine)
  {
    RendezvousNode node;
    node.m_hash = StableHash("e" + std::to_string(aEngine));
    return RendezvousDistance(aRequest.m_affinity, node);
  }
};

} // namespace walnutwing::bench

#endif // WALNUTWING_BENCH_ROUTING_POLICIES_H_
