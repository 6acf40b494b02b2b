#include "walnutwing/rollout/version_judge.h"

#include <algorithm>
#include <cmath>

namespace walnutwing {
namespace {

// All tests together find a good version bad once in so many answers at most.
constexpr double kOddsOfGood = 100000;
// By how much a bad version's share of bad answers exceeds the old one's.
constexpr double kBadExcess = 0.15;
constexpr double kMaxBadShare = 0.95;
constexpr double kMinFailedShare = 0.01;
constexpr double kMinSlowShare = 0.03;
// Of requests with prompts, some of which are read into empty caches.
constexpr double kMinSlowShareOfPrompts = 0.05;
// While most requests move, caches fill and queues form for a while.
constexpr double kMinSlowShareMoving = 0.1;
constexpr double kMinSlowShareOfPromptsMoving = 0.35;
constexpr double kMaxBaseShare = 0.85; // above, nothing can be told
// Without any answers of the old version, and at least without recent ones, as
// then nothing shows what fails both versions.
constexpr double kUnknownBaseShare = 0.05;
constexpr double kMinStaleBaseShare = 0.1;
constexpr Duration kStaleTime = std::chrono::seconds(2);
// The old version's share is the largest over these times: a fault that has
// just begun shows in the shortest, one that comes and goes in the longest.
constexpr std::array<Duration, 3> kOldWindows{ std::chrono::milliseconds(500),
                                               std::chrono::seconds(2),
                                               std::chrono::seconds(10) };
constexpr std::uint64_t kMinOldAnswers = 10;
// Answers with the expected share that are added to those of a window.
constexpr double kPriorBad = 0.3;
constexpr double kPriorAnswers = 10;
// Counts that have fallen are waited for, as a router may only be silent.
constexpr Duration kFallenTime = std::chrono::milliseconds(1500);
constexpr Duration kUpstreamWindow = std::chrono::seconds(10);
// Bad answers outside of the worst upstream that make the cause the version's.
constexpr std::uint64_t kMinElsewhere = 2;
// So many at the worst upstream do so too.
constexpr std::uint64_t kMaxAtOne = 20;
// Limits the score, so that it falls soon once a bad upstream gets no more
// requests.
constexpr double kMaxScore = 24;
// Fraction of the threshold from which on a version is doubted.
constexpr double kDoubtFraction = 0.5;

double
MinSlowShare(bool aHasPrompts, bool aMoving)
{
  if (aHasPrompts) {
    return aMoving ? kMinSlowShareOfPromptsMoving : kMinSlowShareOfPrompts;
  }
  return aMoving ? kMinSlowShareMoving : kMinSlowShare;
}

std::array<std::uint64_t, 4>
CountsOf(const RolloutCounts& aCounts)
{
  return {
    aCounts.m_answers, aCounts.m_failed, aCounts.m_timed, aCounts.m_slow
  };
}

template<typename Tallies>
void
DropBefore(Tallies& aTallies, Time aStart)
{
  while (!aTallies.empty() && aTallies.front().m_at < aStart) {
    aTallies.pop_front();
  }
}

} // namespace

template<std::size_t N>
std::array<std::uint64_t, N>
VersionJudge::Growth<N>::Next(const std::array<std::uint64_t, N>& aSums,
                              Time aNow)
{
  std::array<std::uint64_t, N> growth{};
  bool fallen = false;
  for (std::size_t i = 0; i < N; ++i) {
    fallen = fallen || aSums[i] < m_base[i];
  }
  if (fallen) {
    m_fallenAt = m_fallenAt.value_or(aNow);
    if (aNow - *m_fallenAt >= kFallenTime) {
      m_base = aSums;
      m_fallenAt.reset();
    }
    return growth;
  }
  m_fallenAt.reset();
  for (std::size_t i = 0; i < N; ++i) {
    growth[i] = aSums[i] - m_base[i];
  }
  m_base = aSums;
  return growth;
}

VersionJudge::Tally
VersionJudge::Test::OldSince(Time aStart) const
{
  Tally sum;
  for (const TimedTally& old : m_old) {
    if (old.m_at < aStart) {
      continue;
    }
    sum.m_answers += old.m_tally.m_answers;
    sum.m_bad += old.m_tally.m_bad;
  }
  return sum;
}

void
VersionJudge::Test::UpdateBaseShare(Time aNow)
{
  std::optional<double> largest;
  for (const Duration window : kOldWindows) {
    const Tally old = OldSince(aNow - window);
    if (old.m_answers < kMinOldAnswers) {
      continue;
    }
    const double share = (static_cast<double>(old.m_bad) + kPriorBad) /
                         (static_cast<double>(old.m_answers) + kPriorAnswers);
    largest = std::max(largest.value_or(0), share);
  }
  if (largest) {
    m_baseShare = largest;
  }
  if (m_baseShare && OldSince(aNow - kStaleTime).m_answers == 0) {
    m_baseShare = std::max(*m_baseShare, kMinStaleBaseShare);
  }
}

void
VersionJudge::Test::Update(const Tally& aOld,
                           const Tally& aNew,
                           double aMinShare,
                           Time aNow)
{
  DropBefore(m_old, aNow - kOldWindows.back());
  if (aOld.m_answers != 0) {
    m_old.push_back({ aOld, aNow });
  }
  UpdateBaseShare(aNow);
  const double good =
    std::max(m_baseShare.value_or(kUnknownBaseShare), aMinShare);
  if (aNew.m_answers == 0 || good > kMaxBaseShare) {
    return;
  }
  const double bad = std::min(good + kBadExcess, kMaxBadShare);
  const auto badAnswers = static_cast<double>(aNew.m_bad);
  const double goodAnswers = static_cast<double>(aNew.m_answers) - badAnswers;
  m_score += badAnswers * std::log(bad / good) +
             goodAnswers * std::log((1 - bad) / (1 - good));
  m_score = std::clamp(m_score, 0.0, kMaxScore);
}

void
VersionJudge::UpdateRoute(Route& aRoute,
                          const RolloutEvidence& aSums,
                          bool aMoving,
                          Time aNow)
{
  const auto old = aRoute.m_oldGrowth.Next(CountsOf(aSums.m_old), aNow);
  const auto added = aRoute.m_newGrowth.Next(CountsOf(aSums.m_new), aNow);
  aRoute.m_failed.Update(
    { old[0], old[1] }, { added[0], added[1] }, kMinFailedShare, aNow);
  aRoute.m_slow.Update({ old[2], old[3] },
                       { added[2], added[3] },
                       MinSlowShare(aSums.m_hasPrompts, aMoving),
                       aNow);
}

void
VersionJudge::UpdateUpstreams(const EvidenceSums& aSums, Time aNow)
{
  for (const auto& [id, bad] : aSums.m_badByUpstream) {
    Upstream& upstream = m_upstreams[id];
    DropBefore(upstream.m_bad, aNow - kUpstreamWindow);
    const std::uint64_t growth = upstream.m_growth.Next({ bad }, aNow)[0];
    if (growth != 0) {
      upstream.m_bad.push_back({ { growth, growth }, aNow });
    }
  }
}

bool
VersionJudge::IsWidespread() const
{
  std::uint64_t most = 0;
  std::uint64_t all = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    std::uint64_t bad = 0;
    for (const TimedTally& tally : upstream.m_bad) {
      bad += tally.m_tally.m_bad;
    }
    all += bad;
    most = std::max(most, bad);
  }
  return m_newUpstreams <= 1 || all - most >= kMinElsewhere ||
         most >= kMaxAtOne;
}

double
VersionJudge::Threshold() const
{
  return std::log(kOddsOfGood * 2 * static_cast<double>(m_routes.size()));
}

bool
VersionJudge::InDoubt() const
{
  if (!IsWidespread()) {
    return false;
  }
  return std::any_of(m_routes.begin(), m_routes.end(), [&](const auto& aEntry) {
    const Route& route = aEntry.second;
    return std::max(route.m_failed.Score(), route.m_slow.Score()) >
           kDoubtFraction * Threshold();
  });
}

std::optional<JudgedBad>
VersionJudge::Update(const EvidenceSums& aSums,
                     std::size_t aNewUpstreams,
                     bool aMoving,
                     Time aNow)
{
  UpdateUpstreams(aSums, aNow);
  for (const auto& [name, sums] : aSums.m_routes) {
    UpdateRoute(m_routes[name], sums, aMoving, aNow);
  }
  m_newUpstreams = aNewUpstreams;
  if (!IsWidespread()) {
    return std::nullopt;
  }
  for (const auto& [name, route] : m_routes) {
    if (route.m_failed.Score() > Threshold()) {
      return JudgedBad{ RolloutReason::Failures, name };
    }
    if (route.m_slow.Score() > Threshold()) {
      return JudgedBad{ RolloutReason::Slowness, name };
    }
  }
  return std::nullopt;
}

} // namespace walnutwing
