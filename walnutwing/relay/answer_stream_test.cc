// Runs AnswerStream through random histories of upstream faults (see
// fake_answers.h) and through scripted exchanges with expected actions.

#include "walnutwing/relay/answer_stream.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "walnutwing/relay/fake_answers.h"

namespace walnutwing {
namespace {

constexpr std::uint64_t kHistories = 20000;

using Tally = std::array<std::uint64_t, 4>; // histories by AnswerVerdict

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

TEST(AnswerHistories, RandomFaultsGiveCompleteAnswerOrError)
{
  const Tally tally = RunHistories<AnswerStream>();
  EXPECT_EQ(0U, CountOf(tally, AnswerVerdict::Wrong));
  EXPECT_EQ(0U, CountOf(tally, AnswerVerdict::Stuck));
  EXPECT_GT(CountOf(tally, AnswerVerdict::Complete), 0U);
  EXPECT_GT(CountOf(tally, AnswerVerdict::Error), 0U);
}

TEST(AnswerHistories, BrokenVariantsGiveWrongAnswers)
{
  EXPECT_GT(
    CountOf(RunHistories<StreamWithoutHeadCheck>(), AnswerVerdict::Wrong), 0U);
  EXPECT_GT(
    CountOf(RunHistories<StreamWithoutAttemptCheck>(), AnswerVerdict::Wrong),
    0U);
  EXPECT_GT(CountOf(RunHistories<StreamWithoutOffsets>(), AnswerVerdict::Wrong),
            0U);
}

// One step of a scripted exchange: an event and the actions it must cause.
struct Step
{
  std::function<void(AnswerStream&, AnswerActions&)> m_event;
  std::string m_expected;
};

std::string
Describe(const AnswerActions& aActions)
{
  std::string text;
  for (const AnswerAction& action : aActions) {
    if (const auto* head = std::get_if<ForwardHead>(&action)) {
      text += "head " + std::to_string(head->m_status) + "; ";
    } else if (const auto* forward = std::get_if<Forward>(&action)) {
      text += "bytes " + std::to_string(forward->m_bytes.size()) + "; ";
    } else if (const auto* resume = std::get_if<ResumeAttempt>(&action)) {
      const bool same = resume->m_target == AttemptTarget::SameUpstream;
      text += same ? "resume same " : "resume other ";
      text +=
        resume->m_afterOffset ? std::to_string(*resume->m_afterOffset) : "-";
      text += "; ";
    } else if (std::holds_alternative<RetryAttempt>(action)) {
      text += "retry; ";
    } else if (std::holds_alternative<FinishComplete>(action)) {
      text += "complete; ";
    } else if (const auto* error = std::get_if<FinishWithError>(&action)) {
      text += std::string(RowOf(error->m_code).m_name) +
              (error->m_inStream ? " in stream; " : "; ");
    } else {
      text +=
        "cancel " + std::get<CancelAttempt>(action).m_attempt.Value() + "; ";
    }
  }
  return text;
}

Step
Started(const std::string& aAttempt, std::string aExpected = "")
{
  return { [=](AnswerStream& aStream, AnswerActions& aActions) {
            aStream.OnAttemptStarted(AttemptId(aAttempt), aActions);
          },
           std::move(aExpected) };
}

Step
Head(const std::string& aAttempt, int aStatus, std::string aExpected = "")
{
  return { [=](AnswerStream& aStream, AnswerActions& aActions) {
            AnswerHead head;
            head.m_status = aStatus;
            head.m_requestId = aAttempt;
            head.m_eventStream = aStatus == 200;
            head.m_contentLength = 4;
            aStream.OnHead(AttemptId(aAttempt), head, aActions);
          },
           std::move(aExpected) };
}

Step
Piece(const std::string& aAttempt,
      const std::string& aBytes,
      std::string aExpected = "")
{
  return { [=](AnswerStream& aStream, AnswerActions& aActions) {
            aStream.OnPiece(AttemptId(aAttempt), aBytes, aActions);
          },
           std::move(aExpected) };
}

// An event of 24 bytes for offsets of one digit.
Step
Chunk(const std::string& aAttempt, int aOffset, std::string aExpected = "")
{
  return Piece(aAttempt,
               "id: " + std::to_string(aOffset) + "\ndata: {\"id\":\"c\"}\n\n",
               std::move(aExpected));
}

Step
End(const std::string& aAttempt, AttemptEnd aEnd, std::string aExpected = "")
{
  return { [=](AnswerStream& aStream, AnswerActions& aActions) {
            aStream.OnEnd(AttemptId(aAttempt), aEnd, aActions);
          },
           std::move(aExpected) };
}

Step
Refused(ResultCode aCode, std::string aExpected)
{
  return { [=](AnswerStream& aStream, AnswerActions& aActions) {
            aStream.OnAttemptRefused(aCode, aActions);
          },
           std::move(aExpected) };
}

Step
Deadline(std::string aExpected)
{
  return { [](AnswerStream& aStream, AnswerActions& aActions) {
            aStream.OnDeadline(aActions);
          },
           std::move(aExpected) };
}

TEST(AnswerStream, EmitsExpectedActions)
{
  using enum AttemptEnd;
  struct Case
  {
    std::string m_name;
    bool m_idempotent;
    std::vector<Step> m_steps;
  };
  const std::string done1 = "id: 1\ndata: [DONE]\n\n";
  const std::vector<Case> cases = {
    { "the first event is held until the second arrives",
      true,
      { Started("a"),
        Head("a", 200),
        Chunk("a", 0),
        Chunk("a", 1, "head 200; bytes 48; ") } },
    { "a complete HTTP response without [DONE] is not a complete answer",
      true,
      { Started("a"),
        Head("a", 200),
        Chunk("a", 0),
        Chunk("a", 1, "head 200; bytes 48; "),
        End("a", Complete, "resume same 0; "),
        Started("b"),
        End("b", Broken, "resume other 0; "),
        Refused(ResultCode::NoUpstream, "stream_broken in stream; ") } },
    { "a resumed attempt continues after the last forwarded event",
      true,
      { Started("a"),
        Head("a", 200),
        Chunk("a", 0),
        Chunk("a", 1, "head 200; bytes 48; "),
        End("a", Broken, "resume same 0; "),
        Started("b"),
        Head("b", 200),
        Chunk("b", 1),
        Chunk("a", 2),
        Chunk("b", 2, "bytes 24; "),
        Piece("b", "id: 3\ndata: [DONE]\n\n", "bytes 20; complete; "),
        Chunk("b", 4) } },
    { "a gap in the offsets cancels the attempt",
      true,
      { Started("a"),
        Head("a", 200),
        Chunk("a", 0),
        Chunk("a", 2, "cancel a; retry; ") } },
    { "a request that was not sent has not run, also at the deadline",
      true,
      { Started("a"),
        End("a", NotSent, "retry; "),
        Deadline("deadline_too_short; ") } },
    { "after an attempt that may have run, a refusal has an unknown outcome",
      true,
      { Started("a"),
        Head("a", 503, "cancel a; retry; "),
        Refused(ResultCode::RetryBudgetSpent, "upstream_failed; ") } },
    { "the code of a refusal is reported if no attempt ran",
      true,
      { Started("a"),
        End("a", NotSent, "retry; "),
        Refused(ResultCode::RetryBudgetSpent, "retry_budget_spent; ") } },
    { "a deadline during the stream is reported in the stream",
      true,
      { Started("a"),
        Head("a", 200),
        Chunk("a", 0),
        Chunk("a", 1, "head 200; bytes 48; "),
        Deadline("cancel a; deadline_passed in stream; ") } },
    { "a request that is not idempotent has one attempt",
      false,
      { Started("a"), Head("a", 500), End("a", Broken, "upstream_failed; ") } },
    { "its error response is forwarded in full",
      false,
      { Started("a"),
        Head("a", 500),
        Piece("a", "oops"),
        End("a", Complete, "head 500; bytes 4; complete; ") } },
    { "a plain answer shorter than its content-length is incomplete",
      true,
      { Started("a"),
        Head("a", 404),
        Piece("a", "oo"),
        End("a", Complete, "retry; ") } },
    { "a second attempt cancels the first",
      true,
      { Started("a"),
        Head("a", 200),
        Started("b", "cancel a; "),
        Chunk("a", 0),
        Head("b", 200),
        Chunk("b", 0),
        Piece("b", done1, "head 200; bytes 44; complete; "),
        Started("c", "cancel c; ") } },
  };
  for (const Case& row : cases) {
    AnswerOptions options;
    options.m_idempotent = row.m_idempotent;
    AnswerStream stream(options);
    for (std::size_t i = 0; i < row.m_steps.size(); ++i) {
      AnswerActions actions;
      row.m_steps[i].m_event(stream, actions);
      EXPECT_EQ(row.m_steps[i].m_expected, Describe(actions))
        << row.m_name << ", step " << i;
    }
  }
}

// Guards against reports, MIXED: a status that is none reaches the caller, and
// against bytes behind a response that has no body.
TEST(AnswerStream, JudgesEachKindOfStatus)
{
  const struct
  {
    int m_status;
    std::string m_atHead;
    std::string m_atEnd;
  } rows[] = {
    { 0, "cancel a; upstream_failed; ", "" },
    { 1, "cancel a; upstream_failed; ", "" },
    { 99, "cancel a; upstream_failed; ", "" },
    { 100, "cancel a; upstream_failed; ", "" },
    { 101, "cancel a; upstream_failed; ", "" },
    { 199, "cancel a; upstream_failed; ", "" },
    { 600, "cancel a; upstream_failed; ", "" },
    { 999, "cancel a; upstream_failed; ", "" },
    { 204, "cancel a; head 204; complete; ", "" },
    { 304, "cancel a; head 304; complete; ", "" },
    { 205, "", "head 205; bytes 4; complete; " },
    { 404, "", "head 404; bytes 4; complete; " },
    { 599, "", "head 599; bytes 4; complete; " },
  };
  for (const auto& row : rows) {
    AnswerOptions options;
    options.m_idempotent = false;
    AnswerStream stream(options);
    std::string seen;
    for (const Step& step : { Started("a"),
                              Head("a", row.m_status),
                              Piece("a", "done"),
                              End("a", AttemptEnd::Complete) }) {
      AnswerActions actions;
      step.m_event(stream, actions);
      seen += Describe(actions);
    }
    EXPECT_EQ(row.m_atHead + row.m_atEnd, seen) << row.m_status;
  }
}

TEST(AnswerStream, FailsAfterMaxAttempts)
{
  AnswerStream stream;
  AnswerActions actions;
  int started = 0;
  do {
    stream.OnAttemptStarted(AttemptId(std::to_string(started)), actions);
    stream.OnEnd(
      AttemptId(std::to_string(started++)), AttemptEnd::Broken, actions);
  } while (!stream.Finished());
  EXPECT_EQ(static_cast<int>(AnswerOptions().m_maxAttempts), started);
}

TEST(ErrorEvent, ContainsCodeAndRanStatus)
{
  EXPECT_EQ(
    "event: error\ndata: {\"error\":{\"code\":3005,\"name\":\"stream_broken\","
    "\"ran\":\"unknown\",\"repeat\":\"after delay\",\"message\":"
    "\"the answer broke off and could not be resumed\"}}\n\n",
    ErrorEvent(ResultCode::StreamBroken));
}

} // namespace
} // namespace walnutwing
