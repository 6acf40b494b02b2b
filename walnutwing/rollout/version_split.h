#ifndef WALNUTWING_ROLLOUT_VERSION_SPLIT_H_
#define WALNUTWING_ROLLOUT_VERSION_SPLIT_H_

// Chooses which requests go to the new version, so that they are a given share
// of all.
//
// A part of prompts that few requests have (a chat) is chosen as a whole, by
// its hash, so that it is read by one version. It stays chosen while the share
// grows. Of a part that many requests have, and of requests without one, every
// so many are chosen; each part then shows the new version early. The golden
// ratio spreads these evenly and matches no period of the traffic.

#include <cmath>
#include <cstdint>
#include <unordered_map>

namespace walnutwing {

class VersionSplit
{
public:
  // aPhase: see RolloutOptions.
  explicit VersionSplit(double aPhase)
    : m_phase(aPhase)
  {
  }

  // Whether the next request goes to the new version. aAffinity: the hash of
  // the part of its prompt; 0: none.
  bool Takes(std::uint64_t aAffinity, double aShare)
  {
    if (m_counts.size() >= kMaxParts) {
      m_counts.clear();
    }
    const std::uint64_t count = ++m_counts[aAffinity];
    const double phase = PhaseOf(aAffinity);
    if (aAffinity != 0 && count <= kMaxTogether) {
      return phase < aShare;
    }
    const double turns =
      m_phase + phase + static_cast<double>(count) * kGoldenRatio;
    return turns - std::floor(turns) < aShare;
  }

private:
  // Requests of a part that are chosen by its hash.
  static constexpr std::uint64_t kMaxTogether = 8;
  static constexpr std::size_t kMaxParts = 8192;
  static constexpr double kGoldenRatio = 0.618033988749895;

  // Evenly from 0 to 1.
  static double PhaseOf(std::uint64_t aAffinity)
  {
    // The selector ranks upstreams by the same hash.
    const std::uint64_t mixed =
      (aAffinity ^ aAffinity >> 29U) * 0xbf58476d1ce4e5b9U;
    return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
  }

  double m_phase;
  std::unordered_map<std::uint64_t, std::uint64_t> m_counts;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_VERSION_SPLIT_H_
