#ifndef WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_
#define WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_

// Draws one of several places for a request when the places' loads are known
// with a delay.
//
// If all daemons sent to the place with the least load when the loads were
// counted, they would fill it far above the others before the next count. So
// the requests that have probably arrived since are added to the lowest level
// first (water-filling), until all that got some are at the same level. A place
// is drawn with the share that it got. With few arrivals since the count this
// is the best place, with many it is any of them. (Dahlin, "Interpreting stale
// load information", 2000.)
//
// The draws of one object are spread by the golden ratio, so that each place is
// drawn at nearly even intervals. Different daemons' draws do not depend on
// each other if their seeds differ.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walnutwing {

// The share of each place in aArrivals requests. aLevels: of the places, in
// requests, sorted and not empty. The first has all if there are no arrivals.
std::vector<double>
SharesOfArrivals(const std::vector<double>& aLevels, double aArrivals);

class StaleLoadDraw
{
public:
  explicit StaleLoadDraw(std::uint64_t aSeed);

  // The index of the place drawn; the arguments as above.
  std::size_t Draw(const std::vector<double>& aLevels, double aArrivals);

private:
  double m_position; // of the last draw, from 0 to 1
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_
