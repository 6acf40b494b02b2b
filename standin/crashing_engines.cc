#include "standin/crashing_engines.h"

#include <algorithm>

namespace walnutwing::standin {
namespace {

constexpr int kEvents = 8;

Time
Now()
{
  return SteadyClock().Now();
}

bool
IsStream(const http::request<http::string_body>& aRequest)
{
  return aRequest.target().starts_with("/resume/") ||
         aRequest.target().starts_with("/stream/");
}

} // namespace

CrashingEngines::CrashingEngines(RouterHarness& aHarness, Predicate aCrashes)
  : m_harness(aHarness)
  , m_crashes(std::move(aCrashes))
  , m_downUntil(aHarness.Upstreams())
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetRecordsExchanges(false);
    aHarness.Upstream(i).SetHandler(
      [this, i](const Exchange& aExchange) { OnRequest(i, aExchange); });
  }
}

void
CrashingEngines::Step()
{
  for (std::size_t i = 0; i < m_downUntil.size(); ++i) {
    if (m_downUntil[i] && Now() >= *m_downUntil[i]) {
      m_downUntil[i].reset();
      m_harness.Upstream(i).Restart();
      m_harness.RegisterUpstreamAs(
        "i-" + std::to_string(i) + "." + std::to_string(++m_starts), i);
    }
  }
  for (std::size_t i = 0; i < m_runs.size(); ++i) {
    Advance(m_runs[i]); // may end other runs, but adds none
  }
  std::erase_if(m_runs, [](const Run& aRun) { return aRun.m_ended; });
}

void
CrashingEngines::Crash(std::size_t aEngine)
{
  if (m_downUntil[aEngine]) {
    return;
  }
  m_downUntil[aEngine] = Now() + kDowntime;
  m_harness.Upstream(aEngine).Crash();
  for (Run& run : m_runs) {
    run.m_ended = run.m_ended || run.m_engine == aEngine;
  }
}

std::size_t
CrashingEngines::ArrivalsSince(Time aTime) const
{
  return static_cast<std::size_t>(
    std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](Time aAt) {
      return aAt >= aTime;
    }));
}

void
CrashingEngines::OnRequest(std::size_t aEngine, const Exchange& aExchange)
{
  if (m_crashes(aExchange->Request())) {
    m_arrivals.push_back(Now());
  }
  m_runs.push_back({ aEngine, aExchange, Now() + kBeginDelay });
}

void
CrashingEngines::Advance(Run& aRun)
{
  if (aRun.m_ended || Now() < aRun.m_nextAt) {
    return;
  }
  if (aRun.m_exchange->PeerClosed()) {
    aRun.m_ended = true;
    return;
  }
  if (aRun.m_events == 0 && CrashOn(aRun)) {
    return;
  }
  const auto& request = aRun.m_exchange->Request();
  if (!IsStream(request)) {
    aRun.m_exchange->Write(MakeUpstreamResponse(request, 200, "done"));
    aRun.m_ended = true;
    return;
  }
  if (aRun.m_events == 0) {
    aRun.m_exchange->Write(MakeStreamHead(request));
  }
  aRun.m_exchange->Write(MakeEventChunk(++aRun.m_events));
  aRun.m_nextAt += kEventInterval;
  if (aRun.m_events == kEvents) {
    aRun.m_exchange->Write("0\r\n\r\n");
    aRun.m_ended = true;
  }
}

// Returns whether the run's request has crashed its engine.
bool
CrashingEngines::CrashOn(Run& aRun)
{
  const auto& request = aRun.m_exchange->Request();
  if (!m_crashes(request)) {
    return false;
  }
  if (IsStream(request)) {
    const bool hidden = m_hidesEveryOtherCrash && m_crashTimes.size() % 2 == 1;
    aRun.m_exchange->Write(hidden ? MakeUnframedStreamHead(request) +
                                      "id: 1\ndata: 1\n\n"
                                  : MakeStreamHead(request));
  }
  m_crashTimes.push_back(Now());
  Crash(aRun.m_engine);
  return true;
}

} // namespace walnutwing::standin
