#include "walnutwing/relay/body_end.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Guards against half an event that looks like the end of its stream.
TEST(BodyEnd, StreamThatEndsInsideAnEventIsIncompleteInAnyFraming)
{
  for (const BodyFraming framing :
       { BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose }) {
    EXPECT_EQ(BodyVerdict::InsideEvent, JudgeBody({ framing, 20, 1 }, true));
    EXPECT_EQ(BodyVerdict::Complete, JudgeBody({ framing, 20, 0 }, true));
  }
}

// Guards against a crash right after the head that looks like an empty stream.
TEST(BodyEnd, EmptyStreamIsCompleteOnlyIfItIsFramed)
{
  EXPECT_EQ(BodyVerdict::WithoutEvents,
            JudgeBody({ BodyFraming::UntilClose, 0, 0 }, true));
  for (const BodyFraming framing :
       { BodyFraming::None, BodyFraming::Length, BodyFraming::Chunked }) {
    EXPECT_EQ(BodyVerdict::Complete, JudgeBody({ framing, 0, 0 }, true));
  }
}

// Guards against issue 44, ORDER: a stream that was to go on ends as complete
// although nothing shows that its last event was sent.
TEST(BodyEnd, StreamThatGoesOnWithoutAnEventIsIncompleteInAnyFraming)
{
  for (const BodyFraming framing :
       { BodyFraming::None, BodyFraming::Length, BodyFraming::Chunked }) {
    EXPECT_EQ(BodyVerdict::WithoutEvents,
              JudgeBody({ framing, 0, 0, true }, true));
    EXPECT_EQ(BodyVerdict::WithoutEvents,
              JudgeBody({ framing, 13, 0, true }, true))
      << "a comment is no event";
  }
}

// Guards against a report, MIXED: a part of a body without a length that looks
// complete, as its connection was closed before the request was read.
TEST(BodyEnd, UnframedBodyBeforeTheEndOfTheRequestIsIncomplete)
{
  BodyEnd end{ BodyFraming::UntilClose, 18 };
  end.m_requestTaken = false;
  for (const bool isEventStream : { false, true }) {
    EXPECT_EQ(BodyVerdict::BeforeRequestEnd, JudgeBody(end, isEventStream));
  }
  for (const BodyFraming framing :
       { BodyFraming::Length, BodyFraming::Chunked }) {
    end.m_framing = framing;
    EXPECT_EQ(BodyVerdict::Complete, JudgeBody(end, false));
  }
}

} // namespace
} // namespace walnutwing
