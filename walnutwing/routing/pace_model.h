#ifndef WALNUTWING_ROUTING_PACE_MODEL_H_
#define WALNUTWING_ROUTING_PACE_MODEL_H_

// A test model: a plain service with a few upstreams that turn slow in short
// spells, each at its own moments, and daemons that choose among them with the
// loads of the last exchange. Steps of one millisecond.

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "walnutwing/routing/selector_fixture.h"

namespace walnutwing {

// How a model's requests are sent.
enum class Chooser
{
  Today, // the selector, upstreams do not state their pace
  Drawn, // the selector, all state that their pace is as usual
  Paced, // the selector, all state their pace
  Naive, // knows each upstream's queue and pace at this moment
};

struct PaceModelOptions
{
  Chooser m_chooser = Chooser::Paced;
  std::size_t m_daemons = 8;
  double m_perSecond = 300;
  std::uint32_t m_spellMs = 60; // mean length of a slow spell
  std::uint64_t m_seed = 1;
};

struct PaceModelResult
{
  double m_meanMs = 0;
  double m_lateFraction = 0;   // of requests that took over 300 ms
  double m_overFraction = 0;   // sent to an upstream over the load limit
  std::uint32_t m_maxLoad = 0; // at any upstream
};

class PaceModel
{
public:
  static constexpr std::size_t kUpstreams = 4;
  static constexpr std::uint32_t kSlots = 6;
  static constexpr double kWorkMs = 60;
  static constexpr double kSlowPace = 2.5;
  static constexpr double kSlowFraction = 0.15;

  explicit PaceModel(PaceModelOptions aOptions)
    : m_options(aOptions)
    , m_fleet(aOptions.m_daemons, 0)
    , m_random(aOptions.m_seed)
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      UpstreamEntry entry = TestFleet::MakeEntry(i);
      entry.m_slots = kSlots;
      m_fleet.Register(entry);
    }
  }

  PaceModelResult Run(int aMs)
  {
    for (int ms = 0; ms < aMs; ++ms) {
      m_fleet.m_clock.Advance(std::chrono::milliseconds(1));
      for (Server& server : m_servers) {
        Step(server);
      }
      std::poisson_distribution<int> arrivals(m_options.m_perSecond / 1000);
      for (int i = arrivals(m_random); i > 0; --i) {
        Send(ms);
      }
      if (ms % 100 == 99) {
        m_fleet.Exchange();
      }
    }
    m_result.m_meanMs /= m_ended;
    m_result.m_lateFraction /= m_ended;
    m_result.m_overFraction /= m_sent;
    return m_result;
  }

private:
  struct Job
  {
    Time m_sentAt;
    double m_leftMs = kWorkMs;
    std::shared_ptr<UpstreamTracker> m_tracker;
  };
  struct Server
  {
    std::deque<Job> m_jobs; // the first kSlots of them run
    double m_pace = 1;
  };

  Time Now() const { return m_fleet.m_clock.Now(); }

  void Step(Server& aServer)
  {
    const double fastMs =
      m_options.m_spellMs * (1 - kSlowFraction) / kSlowFraction;
    const double meanMs = aServer.m_pace > 1 ? m_options.m_spellMs : fastMs;
    if (std::bernoulli_distribution(1 / meanMs)(m_random)) {
      aServer.m_pace = aServer.m_pace > 1 ? 1 : kSlowPace;
    }
    for (std::size_t i = 0; i < kSlots && i < aServer.m_jobs.size(); ++i) {
      aServer.m_jobs[i].m_leftMs -= 1 / aServer.m_pace;
    }
    for (std::size_t i = 0; i < kSlots && i < aServer.m_jobs.size();) {
      if (aServer.m_jobs[i].m_leftMs > 0) {
        ++i;
        continue;
      }
      const Job job = aServer.m_jobs[i];
      aServer.m_jobs.erase(aServer.m_jobs.begin() +
                           static_cast<std::ptrdiff_t>(i));
      End(job, aServer);
    }
  }

  void End(const Job& aJob, const Server& aServer)
  {
    const auto total = static_cast<double>((Now() - aJob.m_sentAt).count());
    m_result.m_meanMs += total;
    m_result.m_lateFraction += total > 300 ? 1 : 0;
    ++m_ended;
    if (!aJob.m_tracker) {
      return;
    }
    const auto load = static_cast<std::uint32_t>(aServer.m_jobs.size());
    LoadReport report{ std::min(load, kSlots),
                       load - std::min(load, kSlots),
                       kSlots };
    if (m_options.m_chooser != Chooser::Today) {
      report.m_pace =
        m_options.m_chooser == Chooser::Paced ? aServer.m_pace : 1;
    }
    aJob.m_tracker->OnBytesReceived(Now());
    aJob.m_tracker->OnLoadReport(report, Now());
    aJob.m_tracker->OnEnded(SendOutcome::Answered, Now());
  }

  static double ExpectedEnd(const Server& aServer)
  {
    const auto load = static_cast<double>(aServer.m_jobs.size());
    return aServer.m_pace * std::max<double>(kSlots, load + 1);
  }

  void Send(int aMs)
  {
    Job job;
    job.m_sentAt = Now();
    std::size_t chosen = 0;
    if (m_options.m_chooser == Chooser::Naive) {
      const auto best =
        std::min_element(m_servers.begin(),
                         m_servers.end(),
                         [](const Server& aLeft, const Server& aRight) {
                           return ExpectedEnd(aLeft) < ExpectedEnd(aRight);
                         });
      chosen = static_cast<std::size_t>(best - m_servers.begin());
    } else {
      SelectionRequest request;
      request.m_service = ServiceId("s");
      request.m_daemons = static_cast<std::uint32_t>(m_options.m_daemons);
      UpstreamSelector& selector =
        m_fleet.Daemon(m_random() % m_options.m_daemons).m_selector;
      selector.OnRequest(request.m_service, 0, Now());
      const Choice choice = selector.Choose(request, Now());
      selector.OnSent(choice, Now());
      job.m_tracker = choice.m_tracker;
      chosen = std::stoul(choice.m_upstream.Value().substr(1));
    }
    m_servers[chosen].m_jobs.push_back(job);
    Count(m_servers[chosen], aMs);
  }

  // Rule LIMIT of the platform, from the second second on.
  void Count(const Server& aServer, int aMs)
  {
    if (aMs < 2000) {
      return;
    }
    std::size_t all = 0;
    for (const Server& server : m_servers) {
      all += server.m_jobs.size();
    }
    const double limit = 2.0 * static_cast<double>(all) / kUpstreams + 3;
    const auto load = static_cast<std::uint32_t>(aServer.m_jobs.size());
    m_result.m_maxLoad = std::max(m_result.m_maxLoad, load);
    m_result.m_overFraction += load > limit ? 1 : 0;
    ++m_sent;
  }

  PaceModelOptions m_options;
  TestFleet m_fleet;
  std::mt19937_64 m_random;
  std::vector<Server> m_servers{ kUpstreams };
  PaceModelResult m_result;
  int m_ended = 0;
  int m_sent = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_PACE_MODEL_H_
