// Each way in which a request can end at a router, and the log line that must
// tell it: the event, the code, and the inputs that decided.

#include "standin/router_harness.h"

#include <csignal>
#include <functional>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;
using Play = std::function<void(RouterHarness&)>;

struct Ending
{
  const char* m_name;
  HarnessOptions m_options;
  Play m_play;
  const char* m_event;
  int m_code;
  std::vector<std::string> m_fields; // key, or key and value as in the line
};

void
AnswerAll(RouterHarness& aHarness, const UpstreamStandin::Handler& aHandler)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetHandler(aHandler);
  }
}

Play
Raw(const std::string& aBytes)
{
  return [aBytes](RouterHarness& aHarness) {
    const auto caller = aHarness.Connect();
    caller->Send(aBytes);
    aHarness.WaitUntil([&] { return caller->Ended(); });
  };
}

Play
Order(const std::string& aMoreFields = "")
{
  return [aMoreFields](RouterHarness& aHarness) {
    aHarness.Ask("POST", "/order/", aMoreFields, "x");
  };
}

// aFirst: how the upstreams answer.
Play
After(const UpstreamStandin::Handler& aFirst, const Play& aPlay)
{
  return [=](RouterHarness& aHarness) {
    AnswerAll(aHarness, aFirst);
    aPlay(aHarness);
  };
}

void
NotExecuted(const Exchange& aExchange)
{
  aExchange->Write(MakeUpstreamResponse(
    aExchange->Request(), 503, "full", "X-Not-Executed: 1\r\n"));
}

void
NoAnswer(const Exchange&)
{
}

void
ResetAll(const Exchange& aExchange)
{
  aExchange->Reset();
}

void
BreakStream(const Exchange& aExchange)
{
  aExchange->Write(MakeStreamHead(aExchange->Request()) + EventChunk(1));
  aExchange->Close();
}

void
AskUntilLogged(RouterHarness& aHarness, const std::string& aText)
{
  EXPECT_TRUE(aHarness.WaitUntil([&] {
    aHarness.Ask("POST", "/order/", "", "x");
    return aHarness.LogText().find(aText) != std::string::npos;
  }))
    << aText;
}

void
WithoutUpstreams(RouterHarness& aHarness)
{
  aHarness.Store().Put("keyed.servers", "i-0", std::nullopt);
  AskUntilLogged(aHarness, R"("code":2002)");
}

void
WithClosedPort(RouterHarness& aHarness)
{
  // Port 9 of its own address: nothing listens there.
  const std::string address = aHarness.Upstream(0).Address();
  const std::string closed = address.substr(0, address.find(':')) + ":9";
  aHarness.Store().Put("keyed.servers",
                       "i-0",
                       R"({"service":"s","address":")" + closed +
                         R"(","zone":"z1","slots":8,"state":"ready"})");
  AskUntilLogged(aHarness, R"("code":2009)");
}

void
CallerLeaves(RouterHarness& aHarness)
{
  const auto caller = aHarness.Connect();
  caller->Send("POST /order/ HTTP/1.1\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Content-Length: 0\r\n\r\n");
  aHarness.WaitUntil([&] { return aHarness.SeenCount() == 1; });
  caller->Close();
}

void
StopWhileOneRuns(RouterHarness& aHarness)
{
  const auto caller = aHarness.Connect();
  caller->Send("POST /order/ HTTP/1.1\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Content-Length: 0\r\n\r\n");
  aHarness.WaitUntil([&] { return aHarness.SeenCount() == 1; });
  aHarness.Router().Signal(SIGTERM);
  aHarness.WaitUntil(
    [&] { return aHarness.Router().ExitStatus().has_value(); });
}

const HarnessOptions kOne{ .m_upstreams = 1 };
const HarnessOptions kNoRepeats{ .m_moreBounds = "repeat_ratio = 0\n"
                                                 "repeat_allowance = 0\n" };

const std::string kId = R"("id":"a1")";
const std::string kRoute = R"("route":)";
const std::string kConfig = R"("config":1)";

std::vector<Ending>
Endings()
{
  return {
    { "BadRequest",
      {},
      Raw("GET /lookup/ HTTP/1.1\r\nHost: h.example\r\n"
          "Connection: close\r\n\r\n"),
      "request_refused",
      1001,
      { R"("attempts":0)" } },
    { "NoRequest", {}, Raw("HELLO\r\n\r\n"), "caller_rejected", 1001, {} },
    { "Unauthorized",
      {},
      Order("Authorization: Bearer unknown\r\n"),
      "request_refused",
      1002,
      { kId, kRoute, kConfig } },
    { "TooLarge",
      {},
      [](RouterHarness& aHarness) {
        aHarness.Ask("POST", "/order/", "", std::string(20'000, 'b'));
      },
      "caller_rejected",
      1004,
      {} },
    { "NotFound",
      {},
      [](RouterHarness& aHarness) { aHarness.Ask("GET", "/nowhere/"); },
      "request_refused",
      1008,
      { kId } },
    { "HeadersTooLarge",
      {},
      Order("X-Long: " + std::string(8000, 'x') + "\r\n"),
      "caller_rejected",
      1010,
      {} },
    { "RequestTimeout",
      {},
      Raw("GET /lookup/ HTTP/1.1\r\nHost:"),
      "caller_rejected",
      1011,
      {} },
    { "NoConfiguration",
      { .m_config = false },
      Order(),
      "request_refused",
      2001,
      { kId, "retry_after_ms" } },
    { "NoUpstream",
      kOne,
      WithoutUpstreams,
      "request_refused",
      2002,
      { kId,
        kRoute,
        kConfig,
        R"("no_choice":"no_upstream")",
        R"("listed":0)",
        R"("usable":0)",
        "left_ms" } },
    { "QueueFull",
      kOne,
      After(NotExecuted, Order()),
      "request_refused",
      2004,
      { kId, R"("attempts":1)", "left_ms", "retry_after_ms" } },
    { "DeadlineTooShort",
      {},
      Order("X-Deadline-Ms: 1\r\n"),
      "request_refused",
      2005,
      { kId, R"("attempts":0)", "left_ms" } },
    { "RetryBudgetSpent",
      kNoRepeats,
      After(NotExecuted, Order()),
      "request_refused",
      2008,
      { kId, R"("budget_left":0)", R"("daemons":)", R"("attempts":1)" } },
    { "UpstreamUnreachable",
      kOne,
      WithClosedPort,
      "request_refused",
      2009,
      { kId, R"("no_choice":"unreachable")", R"("listed":1)" } },
    { "UpstreamFailed",
      {},
      After(ResetAll, Order()),
      "request_failed",
      3004,
      { kId, kRoute, R"("cause":")", R"("upstream":"i-)", R"("runs":1)" } },
    { "StreamBroken",
      {},
      After(BreakStream,
            [](RouterHarness& aHarness) { aHarness.Ask("POST", "/stream/"); }),
      "request_failed",
      3005,
      { kId, R"("in_answer":1)", R"("cause":"End of file")" } },
    { "DeadlinePassed",
      {},
      After(NoAnswer, Order("X-Deadline-Ms: 200\r\n")),
      "request_failed",
      3006,
      { kId, R"("runs":1)", R"("left_ms":-)" } },
    { "CallerGone",
      kOne,
      After(NoAnswer, CallerLeaves),
      "caller_gone",
      3008,
      { kId, kRoute, R"("sending":1)" } },
    { "StopCutRequests",
      { .m_upstreams = 1, .m_stopLimitSeconds = 3 },
      After(NoAnswer, StopWhileOneRuns),
      "request_failed",
      5008,
      { kId, R"("runs":1)", R"("in_answer":0)" } },
  };
}

// The first line with this event and code, or nothing.
std::string
LineOf(const std::string& aLog, const Ending& aEnding)
{
  const std::string event = R"("name":")" + std::string(aEnding.m_event) + "\"";
  const std::string code = R"("code":)" + std::to_string(aEnding.m_code) + ",";
  std::istringstream lines(aLog);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(event) != std::string::npos &&
        line.find(code) != std::string::npos) {
      return line;
    }
  }
  return "";
}

class RouterLog : public testing::TestWithParam<Ending>
{};

TEST_P(RouterLog, TellsHowARequestEndedAndWhatDecidedIt)
{
  const Ending& ending = GetParam();
  RouterHarness harness(ending.m_options);
  ending.m_play(harness);
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return !LineOf(harness.LogText(), ending).empty(); }))
    << harness.LogText();
  const std::string line = LineOf(harness.LogText(), ending);
  for (const std::string& field : ending.m_fields) {
    EXPECT_NE(std::string::npos, line.find(field)) << field << " in " << line;
  }
}

INSTANTIATE_TEST_SUITE_P(Endings,
                         RouterLog,
                         testing::ValuesIn(Endings()),
                         [](const auto& aInfo) { return aInfo.param.m_name; });

// --- beliefs ---

TEST(RouterBeliefs, LostAndRegainedUpstreamsAreOneLineEach)
{
  RouterHarness harness(1);
  WithClosedPort(harness);
  const auto count = [&](const std::string& aName) {
    const std::string log = harness.LogText();
    std::size_t lines = 0;
    for (std::size_t at = log.find("\"" + aName + "\"");
         at != std::string::npos;
         at = log.find("\"" + aName + "\"", at + 1)) {
      ++lines;
    }
    return lines;
  };
  EXPECT_TRUE(harness.WaitUntil([&] { return count("upstream_lost") == 1; }));
  EXPECT_NE(std::string::npos,
            harness.LogText().find(R"("why":"unreachable")"));
  harness.RegisterUpstream(0); // it has moved, and answers there
  EXPECT_TRUE(harness.WaitUntil([&] {
    harness.Ask("GET", "/lookup/");
    return count("upstream_regained") == 1;
  }));
  EXPECT_EQ(1U, count("upstream_lost"));
}

TEST(RouterBeliefs, SilentUpstream)
{
  RouterHarness harness(1);
  harness.Upstream(0).SetHandler(NoAnswer);
  harness.Ask("POST", "/order/", "X-Deadline-Ms: 1500\r\n", "x");
  EXPECT_NE(std::string::npos, harness.LogText().find(R"("why":"silent")"));
}

TEST(RouterBeliefs, HubAndBudget)
{
  RouterHarness harness(kNoRepeats);
  harness.Ask("GET", "/lookup/");
  for (const char* text :
       { R"("name":"budget_spent")", R"("name":"hub_changed")" }) {
    EXPECT_TRUE(harness.WaitUntil(
      [&] { return harness.LogText().find(text) != std::string::npos; }))
      << text;
  }
  EXPECT_NE(std::string::npos, harness.LogText().find(R"("hub":"d1")"));
}

// --- metrics ---

TEST(RouterMetrics, CountByServiceKindCodeAndZone)
{
  RouterHarness harness(1);
  harness.Ask("POST", "/order/", "", "x");
  harness.Upstream(0).SetHandler(ResetAll);
  harness.Ask("POST", "/order/", "", "x");
  harness.Ask("GET", "/nowhere/");
  const std::string text = harness.MetricsText();
  const char* lines[] = {
    R"(requests_total{code="0",kind="order",service="s",zone="z1"} 1)",
    R"(requests_total{code="3004",kind="order",service="s",zone="z1"} 1)",
    R"(requests_total{code="1008",kind="",service="",zone=""} 1)",
    R"(attempts_total{service="s",zone="z1"} 2)",
    R"(first_byte_seconds_count{kind="order",service="s"} 1)",
    R"(request_seconds_count{kind="order",service="s"} 1)",
    R"(repeat_budget_left{service="s"} )",
    "log_lines_dropped_total 0",
  };
  for (const char* line : lines) {
    EXPECT_NE(std::string::npos, text.find(line)) << line << "\n" << text;
  }
}

} // namespace
} // namespace walnutwing::standin
