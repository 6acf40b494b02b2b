#include "bench/routing_sim.h"

#include <array>

namespace walnutwing::bench {
namespace {

using standin::LoadClass;
using standin::PlannedRequest;
using standin::PromptPart;

constexpr double kExchangePeriodMs = 100;
constexpr double kSlowEngineFactor = 8;
constexpr std::size_t kEnginesPerSlowEngine = 8;
// A caller retries a refused request after this delay plus a random delay of up
// to as much.
constexpr double kCallerRetryDelayMs = 400;
constexpr std::uint32_t kMaxCallerRetries = 1;
constexpr std::uint32_t kMaxAbusiveRetries = 4;
// The first and last seconds of a run have too few requests for a percentage.
constexpr std::size_t kExcludedEdgeSeconds = 2;

constexpr std::array<FleetFault, 4> kFaults{ FleetFault::None,
                                             FleetFault::SlowEngine,
                                             FleetFault::ZoneLost,
                                             FleetFault::RetryAbuse };

std::uint64_t
PromptTokens(const PlannedRequest& aRequest)
{
  std::uint64_t tokens = aRequest.m_uniqueTokens;
  for (const PromptPart& part : aRequest.m_parts) {
    tokens += part.m_tokens;
  }
  return tokens;
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(
    aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + place, aValues.end());
  return aValues[static_cast<std::size_t>(place)];
}

} // namespace

std::span<const FleetFault>
AllFleetFaults()
{
  return kFaults;
}

std::string_view
NameOf(FleetFault aFault)
{
  switch (aFault) {
    case FleetFault::None:
      return "none";
    case FleetFault::SlowEngine:
      return "grey_engine";
    case FleetFault::ZoneLost:
      return "zone_lost";
    case FleetFault::RetryAbuse:
      return "retry_abuse";
  }
  return "unknown";
}

RoutingSimOptions
MakeUtilityLoad(standin::LoadPattern aPattern,
                FleetFault aFault,
                double aShare,
                std::uint64_t aSeed)
{
  RoutingSimOptions options;
  options.m_fault = aFault;
  LoadClass reading;
  reading.m_name = "reading";
  reading.m_weight = 5;
  reading.m_parts = { { 120, 16 }, { 600, 500 } };
  reading.m_uniqueTokens = 130;
  reading.m_answerTokens = 200;
  reading.m_target = Duration(250);
  LoadClass summary;
  summary.m_name = "summary";
  summary.m_priority = 1;
  summary.m_weight = 2;
  summary.m_parts = { { 500, 1 }, { 10'000, 770 } };
  summary.m_uniqueTokens = 1300;
  summary.m_answerTokens = 250;
  summary.m_target = Duration(600);
  summary.m_deadline = Duration(10'000);
  LoadClass check;
  check.m_name = "check";
  check.m_priority = 2;
  check.m_weight = 3;
  check.m_parts = { { 340, 80 }, { 1700, 1350 } };
  check.m_uniqueTokens = 360;
  check.m_answerTokens = 15;
  check.m_deadline = Duration(2500);
  options.m_load.m_classes = { reading, summary, check };
  options.m_load.m_pattern = aPattern;
  options.m_load.m_seed = aSeed;
  options.m_load.m_length = Duration(24'000);
  // A request holds a slot for about half a second: 155 tokens of 3.5 ms each.
  const double slots =
    static_cast<double>(options.m_engines * options.m_engine.m_batchLimit);
  options.m_load.m_requestsPerSecond = aShare * slots / 0.54;
  return options;
}

RoutingSimWorld::RoutingSimWorld(const RoutingSimOptions& aOptions)
  : m_options(aOptions)
  , m_plan(standin::MakeLoadPlan(aOptions.m_load))
  , m_requests(m_plan.size())
  , m_engines(aOptions.m_engines, standin::TokenEngine(aOptions.m_engine))
  , m_sendCounts(aOptions.m_engines)
  , m_stepPending(aOptions.m_engines)
{
  const auto length = static_cast<double>(aOptions.m_load.m_length.count());
  Add(length / 3, Kind::FaultBegins, 0);
  Add(length * 2 / 3, Kind::FaultEnds, 0);
  for (double at = kExchangePeriodMs; at < length; at += kExchangePeriodMs) {
    Add(at, Kind::ExchangePeriod, 0);
  }
  for (std::size_t i = 0; i < m_plan.size(); ++i) {
    const PlannedRequest& planned = m_plan[i];
    Request& request = m_requests[i];
    request.m_planned = &planned;
    request.m_simRequest.m_id = i;
    request.m_simRequest.m_router = m_random() % aOptions.m_routers;
    request.m_simRequest.m_affinity =
      planned.m_parts.empty() ? 0 : planned.m_parts.back().m_key;
    request.m_simRequest.m_priority =
      aOptions.m_load.m_classes[planned.m_class].m_priority;
    request.m_simRequest.m_customer = planned.m_customer;
    request.m_simRequest.m_target =
      aOptions.m_load.m_classes[planned.m_class].m_target;
    const auto at = static_cast<double>(planned.m_at.count());
    const auto deadline = static_cast<double>(
      aOptions.m_load.m_classes[planned.m_class].m_deadline.count());
    Add(at, Kind::Arrival, i);
    Add(at + deadline, Kind::Deadline, i);
  }
}

void
RoutingSimWorld::Add(double aAtMs, Kind aKind, std::size_t aIndex)
{
  m_events.push({ aAtMs, m_sequence++, aKind, aIndex });
}

bool
RoutingSimWorld::PopEvent(Event& aEvent)
{
  if (m_events.empty()) {
    return false;
  }
  aEvent = m_events.top();
  m_events.pop();
  m_nowMs = aEvent.m_atMs;
  return true;
}

bool
RoutingSimWorld::IsLost(std::size_t aEngine) const
{
  return m_faultActive && m_options.m_fault == FleetFault::ZoneLost &&
         aEngine % kSimZones == 0;
}

bool
RoutingSimWorld::Submit(std::size_t aRequest, std::size_t aEngine)
{
  const PlannedRequest& planned = *m_requests[aRequest].m_planned;
  standin::TokenJob job{ aRequest,
                         planned.m_parts,
                         planned.m_uniqueTokens,
                         planned.m_answerTokens,
                         m_requests[aRequest].m_simRequest.m_priority };
  standin::TokenEngine& engine = m_engines[aEngine];
  if (!engine.Submit(std::move(job), m_nowMs)) {
    return false;
  }
  m_requests[aRequest].m_engine = aEngine;
  ++m_sendCounts[aEngine];
  if (!m_stepPending[aEngine]) {
    m_stepPending[aEngine] = true;
    Add(engine.NextStepMs(), Kind::Step, aEngine);
  }
  return true;
}

std::vector<standin::TokenOutput>
RoutingSimWorld::Step(std::size_t aEngine)
{
  m_stepPending[aEngine] = false;
  standin::TokenEngine& engine = m_engines[aEngine];
  std::vector<standin::TokenOutput> outputs;
  // If the only request of the pending step was cancelled, this event comes
  // before the engine's next step.
  if (engine.IsBusy() && engine.NextStepMs() <= m_nowMs) {
    outputs = engine.Step();
  }
  if (engine.IsBusy()) {
    m_stepPending[aEngine] = true;
    Add(engine.NextStepMs(), Kind::Step, aEngine);
  }
  return outputs;
}

void
RoutingSimWorld::Cancel(std::size_t aRequest)
{
  Request& request = m_requests[aRequest];
  m_engines[*request.m_engine].Cancel(aRequest);
  request.m_engine.reset();
}

std::vector<std::size_t>
RoutingSimWorld::BeginFault()
{
  m_faultActive = true;
  std::vector<std::size_t> lost;
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    if (m_options.m_fault == FleetFault::SlowEngine &&
        i % kEnginesPerSlowEngine == 0) {
      m_engines[i].SetSlowness(kSlowEngineFactor);
    }
    if (!IsLost(i)) {
      continue;
    }
    m_engines[i].Clear();
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
      if (m_requests[index].m_engine == i) {
        lost.push_back(index);
      }
    }
  }
  return lost;
}

void
RoutingSimWorld::EndFault()
{
  m_faultActive = false;
  for (standin::TokenEngine& engine : m_engines) {
    engine.SetSlowness(1);
  }
}

bool
RoutingSimWorld::ScheduleCallerRetry(std::size_t aRequest)
{
  Request& request = m_requests[aRequest];
  const bool abusive =
    m_faultActive && m_options.m_fault == FleetFault::RetryAbuse;
  if (request.m_callerRetries >=
      (abusive ? kMaxAbusiveRetries : kMaxCallerRetries)) {
    return false;
  }
  ++request.m_callerRetries;
  std::uniform_real_distribution<double> spread(0, kCallerRetryDelayMs);
  const double pause = abusive ? 1 : kCallerRetryDelayMs + spread(m_random);
  Add(m_nowMs + pause, Kind::Arrival, aRequest);
  return true;
}

RoutingSimResult
RoutingSimWorld::Result() const
{
  RoutingSimResult result;
  result.m_requests = m_requests.size();
  const auto seconds =
    static_cast<std::size_t>(m_options.m_load.m_length.count() / 1000 + 1);
  std::vector<std::size_t> arrived(seconds);
  std::vector<std::size_t> inTarget(seconds);
  std::vector<double> first;
  std::uint64_t brought = 0;
  for (const Request& request : m_requests) {
    const standin::LoadClass& one =
      m_options.m_load.m_classes[request.m_planned->m_class];
    const bool good =
      request.m_served &&
      request.m_firstMs <= static_cast<double>(one.m_target.count());
    const auto second =
      static_cast<std::size_t>(request.m_planned->m_at.count() / 1000);
    ++arrived[second];
    inTarget[second] += good ? 1 : 0;
    result.m_inTarget += good ? 1 : 0;
    result.m_served += request.m_served ? 1 : 0;
    result.m_refused += request.m_refused ? 1 : 0;
    brought += PromptTokens(*request.m_planned);
    if (request.m_firstMs >= 0) {
      first.push_back(request.m_firstMs);
    }
  }
  for (std::size_t i = kExcludedEdgeSeconds; i + kExcludedEdgeSeconds < seconds;
       ++i) {
    if (arrived[i] > 0) {
      result.m_worstSecondPercent =
        std::min(result.m_worstSecondPercent, 100 * inTarget[i] / arrived[i]);
    }
  }
  result.m_firstP50Ms = Quantile(first, 0.5);
  result.m_firstP99Ms = Quantile(first, 0.99);
  std::uint64_t read = 0;
  std::size_t sent = 0;
  for (const standin::TokenEngine& engine : m_engines) {
    read += engine.ReadTokens();
  }
  for (const std::size_t count : m_sendCounts) {
    sent += count;
  }
  result.m_readShare = static_cast<double>(read) /
                       static_cast<double>(std::max<std::uint64_t>(1, brought));
  const double mean =
    static_cast<double>(sent) / static_cast<double>(m_engines.size());
  result.m_busiestToMeanRatio = static_cast<double>(*std::max_element(
                                  m_sendCounts.begin(), m_sendCounts.end())) /
                                std::max(1.0, mean);
  return result;
}

} // namespace walnutwing::bench
