#include "walnutwing/relay/sse_parser.h"

#include <algorithm>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

struct Event
{
  std::string m_id;
  std::string m_type;
  std::string m_data;

  auto operator<=>(const Event&) const = default;
};

std::ostream&
operator<<(std::ostream& aStream, const Event& aEvent)
{
  return aStream << '{' << aEvent.m_id << '|' << aEvent.m_type << '|'
                 << aEvent.m_data << '}';
}

std::vector<Event>
Parse(SseParser& aParser, const std::vector<std::string>& aPieces)
{
  std::vector<Event> events;
  for (const std::string& piece : aPieces) {
    aParser.Feed(piece);
    SseEvent event;
    while (aParser.Next(event)) {
      events.push_back({ std::string(event.m_id),
                         std::string(event.m_type),
                         std::string(event.m_data) });
    }
  }
  return events;
}

// Reference parser: the algorithm of the standard, applied line by line to the
// complete text.
std::vector<Event>
ReferenceParse(std::string aText)
{
  std::vector<Event> events;
  for (std::size_t at = 0;
       (at = aText.find("\r\n", at)) != std::string::npos;) {
    aText.replace(at, 2, "\n");
  }
  std::replace(aText.begin(), aText.end(), '\r', '\n');
  Event event;
  bool hasData = false;
  for (std::size_t at = 0, end = 0;
       (end = aText.find('\n', at)) != std::string::npos;
       at = end + 1) {
    const std::string line = aText.substr(at, end - at);
    const std::size_t colon = line.find(':');
    const std::string name = line.substr(0, colon);
    std::string value =
      colon == std::string::npos ? "" : line.substr(colon + 1);
    value = value.starts_with(' ') ? value.substr(1) : value;
    if (line.empty()) {
      if (hasData) {
        events.push_back(event);
      }
      event = { event.m_id, "", "" };
      hasData = false;
    } else if (name == "data") {
      event.m_data += (hasData ? "\n" : "") + value;
      hasData = true;
    } else if (name == "id") {
      event.m_id = value;
    } else if (name == "event") {
      event.m_type = value;
    }
  }
  return events;
}

TEST(SseParser, ParsesAsTheStandardSpecifies)
{
  struct Case
  {
    std::string m_text;
    std::vector<Event> m_events;
  };
  const std::vector<Case> cases = {
    { "data: a\n\n", { { "", "", "a" } } },
    { "data:a\ndata:  b\n\n", { { "", "", "a\n b" } } },
    { "id: 7\nevent: error\ndata: x\n\ndata: y\n\n",
      { { "7", "error", "x" }, { "7", "", "y" } } },
    { ": comment\n\nretry: 3\n\ndata\n\n", { { "", "", "" } } },
    { "\xEF\xBB\xBF"
      "data: a\n\n",
      { { "", "", "a" } } },
    { "data: a\r\rdata: b\r\n\r\n", { { "", "", "a" }, { "", "", "b" } } },
    { std::string("id: 1\0002\ndata: a\n\n", 17), { { "", "", "a" } } },
    { "data: cut\n", {} },
  };
  for (const Case& row : cases) {
    SseParser parser;
    EXPECT_EQ(row.m_events, Parse(parser, { row.m_text })) << row.m_text;
    std::vector<std::string> bytes;
    for (const char byte : row.m_text) {
      bytes.emplace_back(1, byte);
    }
    SseParser byteParser;
    EXPECT_EQ(row.m_events, Parse(byteParser, bytes))
      << row.m_text << " byte by byte";
  }
}

TEST(SseParser, MatchesReferenceParserForAnyPieceSizes)
{
  const std::vector<std::string> parts = { "data", "id", "event", ":",
                                           ": ",   "\n", "\r",    "\r\n",
                                           "\n\n", "x",  "42",    " " };
  for (std::uint64_t seed = 0; seed < 20000; ++seed) {
    std::mt19937_64 random(seed);
    std::string text;
    for (std::uint64_t i = random() % 40; i > 0; --i) {
      text += parts[random() % parts.size()];
    }
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t size = 1 + random() % 9;
      pieces.push_back(text.substr(at, size));
      at += size;
    }
    SseParser parser;
    ASSERT_EQ(ReferenceParse(text), Parse(parser, pieces)) << "seed " << seed;
  }
}

TEST(SseParser, ReturnsRawBytesOfEachEvent)
{
  SseParser parser;
  parser.Feed("id: 1\ndata: a\n\ndata: b\n");
  SseEvent event;
  ASSERT_TRUE(parser.Next(event));
  EXPECT_EQ("id: 1\ndata: a\n\n", event.m_raw);
  EXPECT_TRUE(event.m_hasOwnId);
  ASSERT_FALSE(parser.Next(event));
  EXPECT_EQ(SseError::EndedInsideEvent, parser.Finish());
  parser.Feed("\n");
  ASSERT_TRUE(parser.Next(event));
  EXPECT_EQ("data: b\n\n", event.m_raw);
  EXPECT_FALSE(event.m_hasOwnId);
  EXPECT_EQ(SseError::None, parser.Finish());
}

TEST(SseParser, RejectsOversizedEvent)
{
  const std::string fits = "data: " + std::string(24, 'x') + "\n\n";
  const std::string tooLarge = "data: " + std::string(25, 'x') + "\n\n";
  SseParser parser({ .m_maxEventBytes = 32 });
  EXPECT_EQ(1U, Parse(parser, { fits }).size());
  EXPECT_EQ(SseError::None, parser.Finish());
  EXPECT_EQ(0U, Parse(parser, { tooLarge }).size());
  EXPECT_EQ(SseError::EventTooLarge, parser.Finish());
  EXPECT_EQ(0U, Parse(parser, { "\n\ndata: late\n\n" }).size());
}

} // namespace
} // namespace walnutwing
