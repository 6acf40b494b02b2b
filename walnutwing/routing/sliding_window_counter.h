#ifndef WALNUTWING_ROUTING_SLIDING_WINDOW_COUNTER_H_
#define WALNUTWING_ROUTING_SLIDING_WINDOW_COUNTER_H_

// Counts the events within a sliding window. A limit on the count holds for
// every time span of the window's length, not only for aligned ones.

#include <cstddef>
#include <deque>

#include "walnutwing/base/clock.h"

namespace walnutwing {

class SlidingWindowCounter
{
public:
  explicit SlidingWindowCounter(Duration aLength)
    : m_length(aLength)
  {
  }

  void Add(Time aNow) { m_times.push_back(aNow); }

  // Events younger than the window's length. Drops older ones, so calling it
  // regularly bounds the memory.
  std::size_t Count(Time aNow)
  {
    while (!m_times.empty() && aNow - m_times.front() >= m_length) {
      m_times.pop_front();
    }
    return m_times.size();
  }

private:
  Duration m_length;
  std::deque<Time> m_times;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SLIDING_WINDOW_COUNTER_H_
