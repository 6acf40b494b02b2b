#include "router/event_log.h"

#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <rapidjson/document.h>

namespace walnutwing::router {
namespace {

using std::chrono::milliseconds;

// A pipe whose reader reads only in ReadLines.
class EventLogTest : public testing::Test
{
protected:
  EventLogTest()
  {
    EXPECT_EQ(0, pipe(m_pipe));
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
  }
  ~EventLogTest() override
  {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  std::vector<std::string> ReadLines()
  {
    std::string text = std::move(m_partialLine);
    char bytes[65536];
    for (ssize_t received = 0;
         (received = read(m_pipe[0], bytes, sizeof(bytes))) > 0;) {
      text.append(bytes, static_cast<std::size_t>(received));
    }
    // A flush may end in the middle of a line.
    const std::size_t end = text.rfind('\n') + 1;
    m_partialLine = text.substr(end);
    text.resize(end);
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(line);
    }
    return lines;
  }

  void LogRequest(EventLog& aLog, Event aEvent, int aNumber)
  {
    aLog.StartLine(aEvent, m_clock.Now())
      .Add("id", "a" + std::to_string(aNumber))
      .Add("upstream", std::string(60, 'u'));
  }

  int m_pipe[2] = { -1, -1 };
  std::string m_partialLine;
  PausedClock m_clock;
};

TEST_F(EventLogTest, WritesOneJsonObjectPerLine)
{
  EventLog log(m_pipe[1], "d1", {});
  log.StartLine(Event::RequestSent, m_clock.Now())
    .Add("id", "a\"1\n")
    .Add("rank", std::int64_t{ -2 })
    .Add("load", 1.239);
  log.Flush(m_clock.Now());
  const auto lines = ReadLines();
  ASSERT_EQ(1U, lines.size());
  rapidjson::Document json;
  json.Parse(lines[0].c_str());
  ASSERT_FALSE(json.HasParseError()) << lines[0];
  EXPECT_EQ(301, json["event"].GetInt());
  EXPECT_STREQ("request_sent", json["name"].GetString());
  EXPECT_STREQ("d1", json["daemon"].GetString());
  EXPECT_STREQ("a\"1\n", json["id"].GetString());
  EXPECT_EQ(-2, json["rank"].GetInt());
  EXPECT_NEAR(1.23, json["load"].GetDouble(), 0.01);
}

// Under load the lines of successful requests stay within their rate limit, and
// every refusal is kept.
TEST_F(EventLogTest, RateLimitsSuccessLinesAndKeepsRefusals)
{
  EventLogOptions options;
  options.m_bytesPerSecond = 4000;
  EventLog log(m_pipe[1], "d1", options);
  std::size_t sentLines = 0;
  std::size_t refusedLines = 0;
  std::size_t sentBytes = 0;
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 1000; ++i) {
      LogRequest(log, Event::RequestSent, i);
      if (i % 100 == 0) {
        LogRequest(log, Event::RequestRefused, i);
      }
      m_clock.Advance(milliseconds(1));
      if (i % 50 != 0) {
        continue;
      }
      log.Flush(m_clock.Now());
      for (const std::string& line : ReadLines()) {
        const bool sent = line.find("request_sent") != std::string::npos;
        sentLines += sent ? 1 : 0;
        sentBytes += sent ? line.size() + 1 : 0;
        refusedLines +=
          line.find("request_refused") != std::string::npos ? 1 : 0;
      }
    }
  }
  EXPECT_EQ(100U, refusedLines);
  EXPECT_GT(sentLines, 100U);
  EXPECT_LE(sentBytes, 11U * options.m_bytesPerSecond);
  EXPECT_GT(log.Dropped(), 8000U);
}

// The reader stops: logging does not block, the buffer is bounded, and the
// dropped lines are reported once the reader continues.
TEST_F(EventLogTest, StoppedReaderDoesNotBlockOrGrowBuffer)
{
  EventLogOptions options;
  options.m_bufferBytes = 32U << 10U;
  EventLog log(m_pipe[1], "d1", options);
  for (int i = 0; i < 50'000; ++i) {
    LogRequest(
      log, i % 10 == 0 ? Event::RequestFailed : Event::RequestAnswered, i);
    m_clock.Advance(milliseconds(1));
    if (i % 100 == 0) {
      log.Flush(m_clock.Now());
    }
    ASSERT_LE(log.BufferedBytes(), options.m_bufferBytes + 1024);
  }
  EXPECT_GT(log.Dropped(), 0U);
  std::size_t reported = 0;
  for (int i = 0; i < 50; ++i) {
    log.Flush(m_clock.Now());
    for (const std::string& line : ReadLines()) {
      rapidjson::Document json;
      json.Parse(line.c_str());
      ASSERT_FALSE(json.HasParseError()) << line;
      reported += json["event"].GetInt() == 107 ? 1 : 0;
    }
  }
  EXPECT_GT(reported, 0U);
  EXPECT_EQ(0U, log.BufferedBytes());
}

TEST_F(EventLogTest, InvalidDescriptorKeepsLinesBuffered)
{
  EventLog log(-1, "d1", {});
  LogRequest(log, Event::RequestFailed, 1);
  log.Flush(m_clock.Now());
  EXPECT_GT(log.BufferedBytes(), 0U);
}

TEST(EventTable, IsSortedAndMatchesDocumentation)
{
  std::ifstream page(WALNUTWING_DOCS_DIR "/LOGS.md");
  const std::string text((std::istreambuf_iterator<char>(page)), {});
  int last = 0;
  for (const EventRow& row : EventTable()) {
    const int number = static_cast<int>(row.m_event);
    EXPECT_LT(last, number);
    last = number;
    const std::string line = "| " + std::to_string(number) + " | " +
                             std::string(row.m_name) + " | " +
                             std::string(row.m_text) + " |\n";
    EXPECT_NE(std::string::npos, text.find(line)) << line;
  }
}

} // namespace
} // namespace walnutwing::router
