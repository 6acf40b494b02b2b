#include "walnutwing/relay/body_end.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

// Guards against half an event that looks like the end of its stream.
TEST(BodyEnd, StreamThatEndsInsideAnEventIsIncompleteInAnyFraming)
{
  for (const BodyFraming framing :
       { BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose }) {
    EXPECT_EQ(StreamEnd::InsideEvent, ClassifyStreamEnd({ framing, 20, 1 }));
    EXPECT_EQ(StreamEnd::Complete, ClassifyStreamEnd({ framing, 20, 0 }));
  }
}

// Guards against a crash right after the head that looks like an empty stream.
TEST(BodyEnd, EmptyStreamIsCompleteOnlyIfItIsFramed)
{
  EXPECT_EQ(StreamEnd::WithoutEvents,
            ClassifyStreamEnd({ BodyFraming::UntilClose, 0, 0 }));
  for (const BodyFraming framing :
       { BodyFraming::None, BodyFraming::Length, BodyFraming::Chunked }) {
    EXPECT_EQ(StreamEnd::Complete, ClassifyStreamEnd({ framing, 0, 0 }));
  }
}

// Guards against issue 44, ORDER: a stream that was to go on ends as complete
// although nothing shows that its last event was sent.
TEST(BodyEnd, StreamThatGoesOnWithoutAnEventIsIncompleteInAnyFraming)
{
  for (const BodyFraming framing :
       { BodyFraming::None, BodyFraming::Length, BodyFraming::Chunked }) {
    EXPECT_EQ(StreamEnd::WithoutEvents,
              ClassifyStreamEnd({ framing, 0, 0, true }));
    EXPECT_EQ(StreamEnd::WithoutEvents,
              ClassifyStreamEnd({ framing, 13, 0, true }))
      << "a comment is no event";
  }
}

} // namespace
} // namespace walnutwing
