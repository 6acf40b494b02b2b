#include "walnutwing/routing/stale_load_draw.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace walnutwing {
namespace {

constexpr double kGoldenRatio = std::numbers::phi - 1;

// The level up to which the places are filled.
double
FilledLevel(const std::vector<double>& aLevels, double aArrivals)
{
  double sum = aArrivals;
  double filled = 0;
  for (std::size_t i = 0; i < aLevels.size(); ++i) {
    if (i > 0 && filled <= aLevels[i]) {
      break;
    }
    sum += aLevels[i];
    filled = sum / static_cast<double>(i + 1);
  }
  return filled;
}

} // namespace

std::vector<double>
SharesOfArrivals(const std::vector<double>& aLevels, double aArrivals)
{
  std::vector<double> shares(aLevels.size());
  if (aArrivals <= 0) {
    shares.front() = 1;
    return shares;
  }
  const double filled = FilledLevel(aLevels, aArrivals);
  for (std::size_t i = 0; i < aLevels.size(); ++i) {
    shares[i] = std::max(0.0, filled - aLevels[i]) / aArrivals;
  }
  return shares;
}

StaleLoadDraw::StaleLoadDraw(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  m_position = std::uniform_real_distribution<double>()(random);
}

std::size_t
StaleLoadDraw::Draw(const std::vector<double>& aLevels, double aArrivals)
{
  m_position = std::fmod(m_position + kGoldenRatio, 1.0);
  const std::vector<double> shares = SharesOfArrivals(aLevels, aArrivals);
  double left = m_position;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    left -= shares[i];
    if (left < 0) {
      return i;
    }
  }
  return 0; // the shares' sum is a rounding error below 1
}

} // namespace walnutwing
