// Each class is divided equally, but an upstream gets no more than what its
// limit leaves after the classes before; the other upstreams take the rest,
// equally again.

#include "walnutwing/routing/limit_shares.h"

#include <algorithm>

namespace walnutwing {
namespace {

// Fraction of a limit that is planned for, as requests come unevenly.
constexpr double kPlannedFraction = 0.9;
constexpr double kMinWeight = 0.001;

// The share of the upstreams that could take more. Infinite demand is not
// expected: if all upstreams are full, it is that of the one with most left.
double
FindEqualShare(std::vector<double> aLeft,
               std::size_t aUpstreams,
               double aDemand)
{
  std::sort(aLeft.begin(), aLeft.end());
  double rest = aDemand;
  std::size_t sharing = aUpstreams;
  for (const double left : aLeft) {
    if (left * static_cast<double>(sharing) >= rest) {
      break;
    }
    rest -= left;
    if (--sharing == 0) {
      return left;
    }
  }
  return rest / static_cast<double>(sharing);
}

} // namespace

std::vector<double>
LimitWeights(std::span<const std::optional<double>> aLimits,
             std::span<const double> aDemands)
{
  std::vector<std::optional<double>> left; // of the limits
  for (const std::optional<double>& limit : aLimits) {
    left.push_back(limit ? std::optional(kPlannedFraction * *limit)
                         : std::nullopt);
  }
  std::vector<double> weights(aLimits.size(), 1.0);
  for (const double demand : aDemands) {
    std::vector<double> limited;
    for (const std::optional<double>& one : left) {
      if (one) {
        limited.push_back(*one);
      }
    }
    const double share = FindEqualShare(limited, left.size(), demand);
    for (std::size_t i = 0; i < left.size(); ++i) {
      if (!left[i]) {
        continue;
      }
      const double taken = std::min(*left[i], share);
      weights[i] = share > 0 ? std::clamp(taken / share, kMinWeight, 1.0) : 1.0;
      *left[i] -= taken;
    }
  }
  return weights;
}

} // namespace walnutwing
