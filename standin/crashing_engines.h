#ifndef WALNUTWING_STANDIN_CRASHING_ENGINES_H_
#define WALNUTWING_STANDIN_CRASHING_ENGINES_H_

// The upstreams of a RouterHarness as engines that crash on some requests, and
// are back under new ids a while later. Streams are answered event by event,
// other requests at once when they have run.

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "standin/router_harness.h"

namespace walnutwing::standin {

// The time until an answer begins, between its events, and until a crashed
// engine is back.
inline constexpr Duration kBeginDelay{ 30 };
inline constexpr Duration kEventInterval{ 30 };
inline constexpr Duration kDowntime{ 1000 };

class CrashingEngines
{
public:
  // Whether a request crashes the engine that begins to run it.
  using Predicate =
    std::function<bool(const http::request<http::string_body>&)>;

  // aHarness must outlive this object.
  CrashingEngines(RouterHarness& aHarness, Predicate aCrashes);
  CrashingEngines(const CrashingEngines&) = delete;
  CrashingEngines& operator=(const CrashingEngines&) = delete;

  // Does what is due. Must be called every few milliseconds.
  void Step();

  // Every other crash on a request ends an answer that has begun and has no
  // stated end, so that it looks complete.
  void HideEveryOtherCrash() { m_hidesEveryOtherCrash = true; }

  // Crashes an engine for a reason of its own.
  void Crash(std::size_t aEngine);

  // Of requests that crash engines: when they reached one, and crashed it.
  const std::vector<Time>& Arrivals() const { return m_arrivals; }
  const std::vector<Time>& Crashes() const { return m_crashTimes; }

  std::size_t ArrivalsSince(Time aTime) const;

private:
  using Exchange = std::shared_ptr<UpstreamExchange>;
  struct Run
  {
    std::size_t m_engine = 0;
    Exchange m_exchange;
    Time m_nextAt;
    int m_events = 0;
    bool m_ended = false;
  };

  void OnRequest(std::size_t aEngine, const Exchange& aExchange);
  void Advance(Run& aRun);
  bool CrashOn(Run& aRun);

  RouterHarness& m_harness;
  Predicate m_crashes;
  std::vector<std::optional<Time>> m_downUntil; // by engine, while it is down
  std::vector<Run> m_runs;
  std::vector<Time> m_arrivals;
  std::vector<Time> m_crashTimes;
  bool m_hidesEveryOtherCrash = false;
  int m_starts = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CRASHING_ENGINES_H_
