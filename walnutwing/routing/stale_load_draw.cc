#include "walnutwing/routing/stale_load_draw.h"

#include <algorithm>

namespace walnutwing {
namespace {

// The level up to which the places are filled.
double
LevelOf(const std::vector<DrawPlace>& aPlaces, double aArrivals)
{
  double perLevel = 0; // requests that raise the level by 1
  double sum = aArrivals;
  double level = 0;
  for (const DrawPlace& place : aPlaces) {
    if (perLevel > 0 && level <= place.m_end) {
      break;
    }
    perLevel += 1 / place.m_step;
    sum += place.m_end / place.m_step;
    level = sum / perLevel;
  }
  return level;
}

} // namespace

std::vector<double>
SharesOfArrivals(const std::vector<DrawPlace>& aPlaces, double aArrivals)
{
  std::vector<double> shares(aPlaces.size());
  if (aArrivals <= 0) {
    shares.front() = 1;
    return shares;
  }
  const double level = LevelOf(aPlaces, aArrivals);
  for (std::size_t i = 0; i < aPlaces.size(); ++i) {
    const double requests =
      std::max(0.0, level - aPlaces[i].m_end) / aPlaces[i].m_step;
    shares[i] = requests / aArrivals;
  }
  return shares;
}

std::size_t
Draw(const std::vector<DrawPlace>& aPlaces,
     double aArrivals,
     std::mt19937_64& aRandom)
{
  const std::vector<double> shares = SharesOfArrivals(aPlaces, aArrivals);
  double left = std::uniform_real_distribution<double>()(aRandom);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    left -= shares[i];
    if (left < 0) {
      return i;
    }
  }
  return 0; // rounding
}

} // namespace walnutwing
