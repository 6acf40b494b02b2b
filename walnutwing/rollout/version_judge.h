#ifndef WALNUTWING_ROLLOUT_VERSION_JUDGE_H_
#define WALNUTWING_ROLLOUT_VERSION_JUDGE_H_

// Judges the new version by the fleet's counts: whether its answers fail, or
// are slow, clearly more often than the old version's at the same time. Each
// route is judged, and all together.
//
// Each test is a CUSUM: the sum of the log likelihood ratios of the answers,
// which starts again whenever it falls below 0, so that a version is found bad
// that becomes so late. A good version has the old one's share of bad answers,
// a bad one clearly more. Whatever fails the old version's answers too, before
// or at the same time, raises the share that a good version may have.
//
// Bad answers of a single upstream, of several, may have their cause in it.
// They count against the version only if they are many.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/rollout/rollout_types.h"
#include "walnutwing/rollout/version_evidence.h"

namespace walnutwing {

struct JudgedBad
{
  RolloutReason m_why = RolloutReason::Failures;
  std::string m_route; // empty: all routes together
};

class VersionJudge
{
public:
  // To be called several times a second. aNewUpstreams: of the new version.
  // aMoving: most requests move to it, so that its caches are empty.
  std::optional<JudgedBad> Update(const EvidenceSums& aSums,
                                  std::size_t aNewUpstreams,
                                  bool aMoving,
                                  Time aNow);

  // Whether a test is on its way to find the version bad.
  bool InDoubt() const;

private:
  // Answers, and the bad ones among them.
  struct Tally
  {
    std::uint64_t m_answers = 0;
    std::uint64_t m_bad = 0;
  };
  struct TimedTally
  {
    Tally m_tally;
    Time m_at;
  };

  // The growth of counts that fall while a router is silent or when it dies,
  // and rise again when it is back.
  template<std::size_t N>
  class Growth
  {
  public:
    std::array<std::uint64_t, N> Next(const std::array<std::uint64_t, N>& aSums,
                                      Time aNow);

  private:
    std::array<std::uint64_t, N> m_base{};
    std::optional<Time> m_fallenAt;
  };

  // One property of answers of one route.
  class Test
  {
  public:
    // aMinShare: of bad answers that a good version may have anyway.
    void Update(const Tally& aOld,
                const Tally& aNew,
                double aMinShare,
                Time aNow);
    double Score() const { return m_score; }

  private:
    void UpdateBaseShare(Time aNow);
    Tally OldSince(Time aStart) const;

    std::deque<TimedTally> m_old;
    // Of bad answers, as the old version has.
    std::optional<double> m_baseShare;
    double m_score = 0;
  };

  struct Route
  {
    // Counts of one version that fall do not hide those of the other.
    Growth<4> m_oldGrowth;
    Growth<4> m_newGrowth;
    Test m_failed;
    Test m_slow;
  };
  struct Upstream
  {
    Growth<1> m_growth;
    std::deque<TimedTally> m_bad;
  };

  static void UpdateRoute(Route& aRoute,
                          const RolloutEvidence& aSums,
                          bool aMoving,
                          Time aNow);
  void UpdateUpstreams(const EvidenceSums& aSums, Time aNow);
  bool IsWidespread() const;
  double Threshold() const;

  std::map<std::string, Route> m_routes;
  std::map<UpstreamId, Upstream> m_upstreams;
  std::size_t m_newUpstreams = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_VERSION_JUDGE_H_
