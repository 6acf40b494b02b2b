#ifndef WALNUTWING_ROLLOUT_MOVING_MEDIAN_H_
#define WALNUTWING_ROLLOUT_MOVING_MEDIAN_H_

// The median of the newest values of a series.

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace walnutwing {

class MovingMedian
{
public:
  void Add(double aValue)
  {
    m_values.at(m_added % kValues) = aValue;
    ++m_added;
    if (m_added % kValuesPerUpdate == 0) {
      Update();
    }
  }

  // nullopt until there are enough values.
  std::optional<double> Median() const { return m_median; }

private:
  static constexpr std::size_t kValues = 32;
  static constexpr std::size_t kValuesPerUpdate = 8;

  void Update()
  {
    std::array<double, kValues> sorted = m_values;
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_added, kValues));
    const auto middle = sorted.begin() + count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + count);
    m_median = *middle;
  }

  std::array<double, kValues> m_values{};
  std::size_t m_added = 0;
  std::optional<double> m_median;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_MOVING_MEDIAN_H_
