#include "walnutwing/routing/load_bound.h"

#include <algorithm>

namespace walnutwing {

LoadBound
ComputeLoadBound(const LoadBoundOptions& aOptions,
                 const std::vector<CandidateLoad>& aCandidates,
                 double aOtherLoad,
                 std::size_t aListed)
{
  const auto limited = static_cast<std::size_t>(std::count_if(
    aCandidates.begin(), aCandidates.end(), [](const auto& aCandidate) {
      return aCandidate.m_limited;
    }));
  const bool allLimited = limited == aCandidates.size();
  double sum = 0;
  double sumOfAll = 0;
  std::size_t counted = 0;
  for (const CandidateLoad& candidate : aCandidates) {
    sumOfAll += candidate.m_load;
    if (candidate.m_limited && !allLimited) {
      continue;
    }
    sum += candidate.m_load;
    ++counted;
  }
  const std::size_t listed = aListed - (allLimited ? 0 : limited);
  const double mean = sum / static_cast<double>(counted);
  const double maxLoad =
    aOptions.m_loadFactor * (sum + aOtherLoad) / static_cast<double>(listed) +
    aOptions.m_loadFactorSlack;
  const double meanOfAll = sumOfAll / static_cast<double>(aCandidates.size());
  LoadBound result;
  result.m_meanLoad = mean;
  result.m_bound = std::min(
    { aOptions.m_affinityLoadFactor * mean + aOptions.m_affinityLoadSlack,
      aOptions.m_usedLoadFraction * maxLoad,
      aOptions.m_unlimitedLoadFactor * meanOfAll +
        aOptions.m_affinityLoadSlack });
  return result;
}

} // namespace walnutwing
