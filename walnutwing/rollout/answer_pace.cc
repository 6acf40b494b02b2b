#include "walnutwing/rollout/answer_pace.h"

namespace walnutwing {
namespace {

constexpr double kSlowFactor = 2.5;
// Smaller differences are delays of the network and of the processes.
constexpr double kMinAnswerExcessMs = 20;
constexpr double kMinEventExcessMs = 5;

// Adds to aSlow whether the value is slow; leaves it if nothing can be told.
void
Compare(std::optional<double> aValue,
        const MovingMedian& aMedian,
        double aMinExcess,
        std::optional<bool>& aSlow)
{
  const std::optional<double> median = aMedian.Median();
  if (!aValue || !median) {
    return;
  }
  const bool slow =
    *aValue > kSlowFactor * *median && *aValue > *median + aMinExcess;
  aSlow = aSlow.value_or(false) || slow;
}

} // namespace

std::optional<double>
AnswerPace::AnswerMs(const RolloutAnswer& aAnswer, bool aCached)
{
  const std::optional<Duration> time = aAnswer.m_events == 0 && aAnswer.m_total
                                         ? aAnswer.m_total
                                         : aAnswer.m_firstByte;
  if (!time || aAnswer.m_failed || aAnswer.m_cold || !aCached) {
    return std::nullopt;
  }
  return static_cast<double>(time->count());
}

std::optional<double>
AnswerPace::EventMs(const RolloutAnswer& aAnswer)
{
  if (aAnswer.m_events < 2 || aAnswer.m_failed || !aAnswer.m_firstByte ||
      !aAnswer.m_total) {
    return std::nullopt;
  }
  const Duration time = *aAnswer.m_total - *aAnswer.m_firstByte;
  return static_cast<double>(time.count()) / (aAnswer.m_events - 1);
}

std::optional<bool>
AnswerPace::IsSlow(const RolloutAnswer& aAnswer, bool aCached) const
{
  const auto found = m_medians.find(
    std::tie(aAnswer.m_service, aAnswer.m_route, aAnswer.m_promptClass));
  if (found == m_medians.end()) {
    return std::nullopt;
  }
  std::optional<bool> slow;
  Compare(AnswerMs(aAnswer, aCached),
          found->second.m_answer,
          kMinAnswerExcessMs,
          slow);
  Compare(EventMs(aAnswer), found->second.m_event, kMinEventExcessMs, slow);
  return slow;
}

void
AnswerPace::Learn(const RolloutAnswer& aAnswer, bool aCached)
{
  const std::optional<double> answer = AnswerMs(aAnswer, aCached);
  const std::optional<double> event = EventMs(aAnswer);
  if (!answer && !event) {
    return;
  }
  auto found = m_medians.find(
    std::tie(aAnswer.m_service, aAnswer.m_route, aAnswer.m_promptClass));
  if (found == m_medians.end()) {
    const Key key(aAnswer.m_service, aAnswer.m_route, aAnswer.m_promptClass);
    found = m_medians.emplace(key, Medians()).first;
  }
  if (answer) {
    found->second.m_answer.Add(*answer);
  }
  if (event) {
    found->second.m_event.Add(*event);
  }
}

} // namespace walnutwing
