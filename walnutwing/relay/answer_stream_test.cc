#include "walnutwing/relay/answer_stream.h"

#include <array>
#include <functional>

#include <gtest/gtest.h>

#include "walnutwing/relay/fake_answers.h"

namespace walnutwing {
namespace {

constexpr std::uint64_t kHistories = 20000;

using Tally = std::array<std::uint64_t, 4>; // by AnswerVerdict

std::uint64_t
CountOf(const Tally& aTally, AnswerVerdict aVerdict)
{
  return aTally[static_cast<std::size_t>(aVerdict)];
}

template<typename Stream>
Tally
RunHistories()
{
  Tally tally{};
  for (std::uint64_t seed = 0; seed < kHistories; ++seed) {
    const AnswerVerdict verdict = AnswerHistory<Stream>(seed).Run();
    ++tally[static_cast<std::size_t>(verdict)];
    const bool bad =
      verdict == AnswerVerdict::Wrong || verdict == AnswerVerdict::Stuck;
    if (bad && std::is_same_v<Stream, AnswerStream>) {
      ADD_FAILURE() << "seed " << seed << " verdict "
                    << static_cast<int>(verdict);
      break;
    }
  }
  return tally;
}

TEST(AnswerHistories, EveryCallerGetsItsOwnAnswerOrAnError)
{
  const Tally tally = RunHistories<AnswerStream>();
  EXPECT_EQ(0U, CountOf(tally, AnswerVerdict::Wrong));
  EXPECT_EQ(0U, CountOf(tally, AnswerVerdict::Stuck));
  EXPECT_GT(CountOf(tally, AnswerVerdict::Whole), 0U);
  EXPECT_GT(CountOf(tally, AnswerVerdict::Error), 0U);
}

TEST(AnswerHistories, TheJudgeRejectsBrokenVariants)
{
  EXPECT_GT(
    CountOf(RunHistories<StreamWithoutHeadCheck>(), AnswerVerdict::Wrong), 0U);
  EXPECT_GT(
    CountOf(RunHistories<StreamWithoutAttemptCheck>(), AnswerVerdict::Wrong),
    0U);
  EXPECT_GT(CountOf(RunHistories<StreamWithoutOffsets>(), AnswerVerdict::Wrong),
            0U);
}

} // namespace
} // namespace walnutwing
