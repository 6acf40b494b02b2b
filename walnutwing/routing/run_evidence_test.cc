#include "walnutwing/routing/run_evidence.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

TEST(RunEvidence, ProvesThatARequestWithoutAnAttemptHasNotRun)
{
  const RunEvidence evidence;
  EXPECT_TRUE(evidence.Prove());
  EXPECT_EQ(0U, evidence.Runs());
}

// Guards against issue 47, REFUSED: a refusal while an upstream may be running
// the request.
TEST(RunEvidence, ProvesNothingWhileAnAttemptIsInFlight)
{
  RunEvidence evidence;
  evidence.OnEnded(SendOutcome::Refused);
  evidence.OnAttempt();
  EXPECT_TRUE(evidence.InFlight());
  EXPECT_FALSE(evidence.Prove());
  EXPECT_EQ(1U, evidence.Runs());
}

// Guards against a refusal after the end of one of two attempts, while the
// other one may be running the request.
TEST(RunEvidence, ProvesNothingWhileOneOfTwoAttemptsIsInFlight)
{
  RunEvidence evidence;
  evidence.OnAttempt();
  evidence.OnAttempt();
  EXPECT_EQ(2U, evidence.Runs());
  evidence.OnEnded(SendOutcome::Refused);
  EXPECT_TRUE(evidence.InFlight());
  EXPECT_EQ(1U, evidence.Runs());
  EXPECT_FALSE(evidence.Prove());
  evidence.OnEnded(SendOutcome::Refused);
  EXPECT_FALSE(evidence.InFlight());
  EXPECT_TRUE(evidence.Prove());
}

struct EndCase
{
  SendOutcome m_outcome;
  bool m_mayHaveRun;
};

// Guards against issue 47, REFUSED: a refusal after an attempt that may have
// run, whatever its later attempts show.
TEST(RunEvidence, OneAttemptThatMayHaveRunDecides)
{
  for (const EndCase& end : { EndCase{ SendOutcome::Answered, true },
                              EndCase{ SendOutcome::Failed, true },
                              EndCase{ SendOutcome::Abandoned, true },
                              EndCase{ SendOutcome::Refused, false },
                              EndCase{ SendOutcome::Unsent, false },
                              EndCase{ SendOutcome::Unreachable, false } }) {
    RunEvidence evidence;
    evidence.OnAttempt();
    evidence.OnEnded(end.m_outcome);
    EXPECT_FALSE(evidence.InFlight());
    evidence.OnAttempt();
    evidence.OnEnded(SendOutcome::Refused);
    EXPECT_EQ(end.m_mayHaveRun ? 1U : 0U, evidence.Runs())
      << NameOf(end.m_outcome);
    EXPECT_EQ(!end.m_mayHaveRun, evidence.Prove().has_value())
      << NameOf(end.m_outcome);
  }
}

} // namespace
} // namespace walnutwing
