#ifndef WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_
#define WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_

// Draws one of several places for a request when the places' loads are known
// with a delay.
//
// If all daemons sent to the place that was best when the loads were counted,
// they would fill it far above the others before the next count. So the
// requests that have probably arrived since are taken into account: they are
// thought of as poured onto the places like water, always where a request ends
// first, until all that got some are at the same level. A place is drawn with
// the share that it got. With few arrivals since the count this is the best
// place, with many it is any of them. (Dahlin, "Interpreting stale load
// information", 2000.)

#include <cstddef>
#include <random>
#include <vector>

namespace walnutwing {

struct DrawPlace
{
  double m_end = 0;  // when a request would end there, in any unit
  double m_step = 1; // how much later with each further request; above 0
};

// The share of each place of aPlaces, sorted by m_end and not empty, in
// aArrivals requests. The first has all if there are none.
std::vector<double>
SharesOfArrivals(const std::vector<DrawPlace>& aPlaces, double aArrivals);

// The index of the place drawn.
std::size_t
Draw(const std::vector<DrawPlace>& aPlaces,
     double aArrivals,
     std::mt19937_64& aRandom);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_STALE_LOAD_DRAW_H_
