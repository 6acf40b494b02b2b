#ifndef WALNUTWING_ROLLOUT_ANSWER_PACE_H_
#define WALNUTWING_ROLLOUT_ANSWER_PACE_H_

// Tells whether an answer was slow: it took several times the median of the old
// version's answers to the same route, with prompts of the same class, at this
// router. The time of the first byte counts, and of streams the time per event.
//
// A cold upstream, or one that has not read the prompt's shared part yet, is
// slow whatever its version; its first byte says nothing.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/rollout/moving_median.h"
#include "walnutwing/rollout/rollout_types.h"

namespace walnutwing {

class AnswerPace
{
public:
  // nullopt if the answer's pace says nothing. aCached: the upstream has read
  // the prompt's shared part before.
  std::optional<bool> IsSlow(const RolloutAnswer& aAnswer, bool aCached) const;

  // An answer of the old version.
  void Learn(const RolloutAnswer& aAnswer, bool aCached);

private:
  struct Medians
  {
    MovingMedian m_answer; // ms until the first byte, or until the end
    MovingMedian m_event;  // ms per event
  };
  using Key = std::tuple<ServiceId, std::string, PromptClass>;

  static std::optional<double> AnswerMs(const RolloutAnswer& aAnswer,
                                        bool aCached);
  static std::optional<double> EventMs(const RolloutAnswer& aAnswer);

  std::map<Key, Medians, std::less<>> m_medians;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_ANSWER_PACE_H_
