#include "walnutwing/relay/event_splitter.h"

#include <random>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

TEST(EventSplitter, ReturnsOnlyCompleteEvents)
{
  EventSplitter splitter;
  EXPECT_EQ("", splitter.Feed("id: 1\ndata: a\n"));
  EXPECT_EQ("", splitter.LastId());
  EXPECT_EQ("id: 1\ndata: a\n\n", splitter.Feed("\nid: 2\nda"));
  EXPECT_EQ("1", splitter.LastId());
  EXPECT_EQ("id: 2\nda", splitter.PartialEvent());
  splitter.DropPartialEvent();
  EXPECT_EQ("id:2\r\ndata: b\r\n\r\n",
            splitter.Feed("id:2\r\ndata: b\r\n\r\n"));
  EXPECT_EQ("2", splitter.LastId());
}

TEST(EventSplitter, EventWithoutIdKeepsLastId)
{
  EventSplitter splitter;
  splitter.Feed("id: 7\ndata: a\n\ndata: id: 9\n\n: comment\n\n");
  EXPECT_EQ("7", splitter.LastId());
}

// Lines may end with CR, and an event may be followed by further empty lines.
TEST(EventSplitter, EventsMayEndWithCrAndBeFollowedByEmptyLines)
{
  EventSplitter splitter;
  EXPECT_EQ("id: 1\rdata: a\r\r", splitter.Feed("id: 1\rdata: a\r\r"));
  EXPECT_EQ("1", splitter.LastId());
  EXPECT_EQ("id: 2\n\n\n", splitter.Feed("id: 2\n\n\n"));
  EXPECT_EQ("\n", splitter.Feed("\n"));
  EXPECT_EQ("", splitter.PartialEvent());
}

// A CR LF that is split between pieces, also after the event was returned.
TEST(EventSplitter, SplitCrLfIsPartOfItsEvent)
{
  EventSplitter splitter;
  EXPECT_EQ("", splitter.Feed("id: 1\r"));
  EXPECT_EQ("id: 1\r\n\r", splitter.Feed("\n\r"));
  EXPECT_EQ("\n", splitter.Feed("\n"));
  EXPECT_EQ("", splitter.PartialEvent());
}

// However the stream is split, Feed returns its complete events and nothing of
// the partial event at its end.
TEST(EventSplitter, ResultDoesNotDependOnPieceSizes)
{
  std::mt19937 random(11);
  for (int round = 0; round < 300; ++round) {
    std::string stream;
    const std::size_t events = random() % 6;
    for (std::size_t i = 0; i < events; ++i) {
      const char* ends[] = { "\n", "\r\n", "\r" };
      const char* end = ends[random() % std::size(ends)];
      stream += "id: " + std::to_string(i) + end + "data: x" + end + end;
    }
    const std::string tail = random() % 2 == 0 ? "" : "id: 99\ndata: part";
    EventSplitter splitter;
    std::string out;
    std::string_view remaining = stream;
    const std::string all = stream + tail;
    remaining = all;
    while (!remaining.empty()) {
      const std::size_t size = 1 + random() % 9;
      out += splitter.Feed(remaining.substr(0, size));
      remaining.remove_prefix(std::min(size, remaining.size()));
    }
    EXPECT_EQ(stream, out);
    EXPECT_EQ(tail, splitter.PartialEvent());
    EXPECT_EQ(events == 0 ? "" : std::to_string(events - 1), splitter.LastId());
  }
}

// Guards against a pace of streams that depends on how pieces arrive.
TEST(EventSplitter, EventsAreCountedWhateverTheirLineEnds)
{
  EXPECT_EQ(0U, CountEvents(""));
  EXPECT_EQ(1U, CountEvents("id: 1\ndata: x\n\n"));
  EXPECT_EQ(2U, CountEvents("data: x\r\n\r\ndata: y\r\n\r\n"));
  EXPECT_EQ(3U, CountEvents("data: x\n\ndata: y\r\rdata: z\n\n"));
}

} // namespace
} // namespace walnutwing
