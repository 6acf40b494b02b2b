// Runs all stand-ins over HTTP in one event loop. Each injected fault must have
// the effect that its name states, and Caller and LoadPlayer must detect wrong
// answers.

#include <functional>
#include <iostream>
#include <memory>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "standin/caller.h"
#include "standin/engine_server.h"
#include "standin/load_player.h"
#include "standin/platform_server.h"
#include "standin/service_server.h"

namespace walnutwing::standin {
namespace {

constexpr Duration kTestTimeout{ 60'000 };

// All stand-ins, on an address that only this test uses.
struct StandIns
{
  StandIns()
  {
    PlatformServer::Options platform;
    platform.m_listen = LocalEndpoint(9000);
    platform.m_appendsPerSecond = 50;
    platform.m_weightsPerSecond = 1;
    m_platform = std::make_unique<PlatformServer>(m_loop, platform);
    EngineServer::Options engine;
    engine.m_listen = LocalEndpoint(9001);
    engine.m_platform = LocalEndpoint(9000);
    engine.m_entry.set_id("e1");
    engine.m_entry.set_checks_fencing(true);
    engine.m_engine.m_stepTime = Duration(1);
    m_engine = std::make_unique<EngineServer>(m_loop, m_client, engine);
    ServiceServer::Options service;
    service.m_listen = LocalEndpoint(9002);
    service.m_platform = LocalEndpoint(9000);
    service.m_entry.set_id("s1");
    m_service = std::make_unique<ServiceServer>(m_loop, m_client, service);
  }

  static net::Endpoint LocalEndpoint(std::uint16_t aPort)
  {
    return { "127.31.7.1", aPort };
  }

  void RunLoopUntil(const std::function<bool()>& aCondition)
  {
    const Time end = m_loop.Now() + kTestTimeout;
    while (!aCondition() && m_loop.Now() < end) {
      m_loop.RunOnce(Duration(1));
    }
    ASSERT_TRUE(aCondition());
  }

  net::HttpResponse Fetch(std::uint16_t aPort,
                          std::string aMethod,
                          std::string aTarget,
                          std::string aBody = "",
                          net::Headers aHeaders = {})
  {
    net::CallRequest request;
    request.m_endpoint = LocalEndpoint(aPort);
    request.m_method = std::move(aMethod);
    request.m_target = std::move(aTarget);
    request.m_body = std::move(aBody);
    request.m_headers = std::move(aHeaders);
    net::HttpResponse response;
    bool done = false;
    const auto call = FetchResponse(m_client,
                                    m_loop,
                                    std::move(request),
                                    kTestTimeout,
                                    1U << 24U,
                                    [&](net::HttpResponse aResponse) {
                                      response = std::move(aResponse);
                                      done = true;
                                    });
    RunLoopUntil([&] { return done; });
    return response;
  }

  void SetFault(std::uint16_t aPort, const std::string& aQuery)
  {
    ASSERT_EQ(Fetch(aPort, "POST", "/fault?" + aQuery).m_status, 200);
  }

  nlohmann::json FetchRecord(std::uint16_t aPort)
  {
    return nlohmann::json::parse(Fetch(aPort, "GET", "/record").m_body);
  }

  net::HttpResponse Append(const std::string& aBody, const std::string& aZone)
  {
    proto::AppendRequest request;
    request.add_bodies(aBody);
    return Fetch(9000,
                 "POST",
                 "/log/s",
                 request.SerializeAsString(),
                 { { "walnutwing-zone", aZone } });
  }

  std::vector<std::string> ReadLog()
  {
    proto::ReadResponse response;
    response.ParseFromString(Fetch(9000, "GET", "/log/s?from=1").m_body);
    std::vector<std::string> bodies;
    for (const proto::LogRecord& record : response.records()) {
      bodies.push_back(record.body());
    }
    return bodies;
  }

  net::EventLoop m_loop;
  net::HttpClient m_client{ m_loop };
  std::unique_ptr<PlatformServer> m_platform;
  std::unique_ptr<EngineServer> m_engine;
  std::unique_ptr<ServiceServer> m_service;
};

StandIns&
SharedStandIns()
{
  static StandIns standIns; // servers live as long as the process
  return standIns;
}

TEST(Platform, AppliesEachInjectedFault)
{
  struct Case
  {
    const char* m_fault;
    int m_status; // 0: no complete response
    bool m_takesEffect;
  };
  constexpr Case kCases[] = {
    { "kind=down&count=1", 0, false },
    { "kind=down&count=1&zone=other", 200, true },
    { "kind=down&count=1&stream=other", 200, true },
    { "kind=lose_answers&count=1", 0, true },
    { "kind=slow&count=1&delay_ms=5", 200, true },
    { "kind=late&count=1&delay_ms=5", 503, true },
  };
  StandIns& standIns = SharedStandIns();
  std::vector<std::string> expected = standIns.ReadLog();
  for (const Case& test : kCases) {
    standIns.SetFault(9000, test.m_fault);
    const net::HttpResponse response = standIns.Append(test.m_fault, "z1");
    const bool complete = response.m_end.m_stage == net::CallStage::Complete;
    EXPECT_EQ(complete ? response.m_status : 0, test.m_status) << test.m_fault;
    standIns.SetFault(9000, "kind=none");
    if (test.m_takesEffect) {
      expected.emplace_back(test.m_fault);
    }
    standIns.RunLoopUntil([&] { return standIns.ReadLog() == expected; });
  }
  standIns.SetFault(9000, "kind=stale&count=1");
  EXPECT_EQ(standIns.Append("unseen", "z1").m_status, 200);
  EXPECT_EQ(standIns.ReadLog(), expected);
  EXPECT_EQ(standIns.ReadLog().back(), "unseen");
  EXPECT_EQ(standIns.Fetch(9000, "POST", "/fault?kind=melted").m_status, 400);
}

TEST(Platform, RateLimitsWeightReadsAndListsVms)
{
  StandIns& standIns = SharedStandIns();
  const int first = standIns.Fetch(9000, "GET", "/weights/m1").m_status;
  const int second = standIns.Fetch(9000, "GET", "/weights/m1").m_status;
  EXPECT_EQ(first, 200);
  EXPECT_EQ(second, 429);
  proto::VmList list;
  standIns.RunLoopUntil([&] {
    list.ParseFromString(standIns.Fetch(9000, "GET", "/vms").m_body);
    return list.vms_size() == 2;
  });
  EXPECT_EQ(standIns.Fetch(9001, "POST", "/leave").m_status, 200);
  standIns.RunLoopUntil([&] {
    list.ParseFromString(standIns.Fetch(9000, "GET", "/vms").m_body);
    return list.vms(0).leaving();
  });
  EXPECT_EQ(standIns.Fetch(9001, "POST", "/stay").m_status, 200);
}

// Runs Caller against aPort and returns how many requests ended in aOutcome.
std::uint64_t
CountOutcomes(std::uint16_t aPort, Scenario aScenario, Outcome aOutcome)
{
  StandIns& standIns = SharedStandIns();
  Caller::Options options;
  options.m_request.m_scenario = aScenario;
  options.m_request.m_maxTokens = 8;
  options.m_targets = { StandIns::LocalEndpoint(aPort) };
  options.m_requests = 4;
  options.m_concurrency = 2;
  bool done = false;
  Caller caller(
    standIns.m_loop, standIns.m_client, options, [&done] { done = true; });
  caller.Start();
  standIns.RunLoopUntil([&] { return done; });
  EXPECT_EQ(caller.Count(Outcome::Complete) + caller.Count(aOutcome),
            aOutcome == Outcome::Complete ? 8 : 4);
  return caller.Count(aOutcome);
}

TEST(Caller, DetectsEachEngineFault)
{
  struct Case
  {
    const char* m_fault;
    Outcome m_chatOutcome;
    Outcome m_lookupOutcome;
  };
  constexpr Case kCases[] = {
    { "none", Outcome::Complete, Outcome::Complete },
    { "break_midway", Outcome::Broken, Outcome::Broken },
    { "wrong_id", Outcome::Wrong, Outcome::Wrong },
    { "truncate", Outcome::Wrong, Outcome::Broken },
    { "duplicate", Outcome::Wrong, Outcome::Complete },
    { "reorder", Outcome::Wrong, Outcome::Complete },
    { "refuse", Outcome::ErrorWithoutCode, Outcome::ErrorWithoutCode },
  };
  StandIns& standIns = SharedStandIns();
  for (const Case& test : kCases) {
    const std::string fault = std::string("kind=") + test.m_fault + "&count=1";
    const auto expected = [](Outcome aOutcome) {
      return aOutcome == Outcome::Complete ? 4U : 1U;
    };
    standIns.SetFault(9001, fault);
    EXPECT_EQ(CountOutcomes(9001, Scenario::Chats, test.m_chatOutcome),
              expected(test.m_chatOutcome))
      << test.m_fault;
    standIns.SetFault(9001, fault);
    EXPECT_EQ(CountOutcomes(9001, Scenario::Lookups, test.m_lookupOutcome),
              expected(test.m_lookupOutcome))
      << test.m_fault;
  }
}

// Plays a load plan of chats and lookups against the engine.
LoadReport
PlayPlan(const std::string& aFault)
{
  StandIns& standIns = SharedStandIns();
  standIns.SetFault(9001, aFault);
  LoadPlayerOptions options;
  options.m_plan.m_requestsPerSecond = 60;
  options.m_plan.m_length = Duration(1000);
  LoadClass chat;
  chat.m_parts = { { 0, 10 } };
  chat.m_answerTokens = 4;
  LoadClass lookup = chat;
  lookup.m_kind = LoadKind::Lookup;
  options.m_plan.m_classes = { chat, lookup };
  options.m_customerKeys = { "key" };
  options.m_targets = { StandIns::LocalEndpoint(9001) };
  bool done = false;
  LoadPlayer player(
    standIns.m_loop, standIns.m_client, options, [&done] { done = true; });
  player.Start();
  standIns.RunLoopUntil([&] { return done; });
  return player.Report();
}

TEST(LoadPlayer, SendsEveryPlannedRequestAndChecksAnswers)
{
  const LoadReport withoutFaults = PlayPlan("kind=none");
  EXPECT_GT(withoutFaults.Requests(), 20U);
  EXPECT_EQ(withoutFaults.Requests(), withoutFaults.Count(Outcome::Complete));
  const LoadReport withFaults = PlayPlan("kind=wrong_id&count=3");
  EXPECT_EQ(withoutFaults.Requests(), withFaults.Requests());
  EXPECT_EQ(3U, withFaults.Count(Outcome::Wrong));
}

TEST(Engine, ResumesAfterLastEventIdAndCancelsWhenTheCallerLeaves)
{
  StandIns& standIns = SharedStandIns();
  const std::string body = R"({"stream":true,"max_tokens":6})";
  const AnswerText text(body);
  const net::HttpResponse resumed =
    standIns.Fetch(9001,
                   "POST",
                   "/v1/chat/completions",
                   body,
                   { { "last-event-id", "3" }, { "x-request-id", "a1" } });
  EXPECT_EQ(resumed.m_headers.Get("x-request-id"), "a1");
  EXPECT_EQ(resumed.m_body.find("id: 4\n"), 0U) << resumed.m_body;
  EXPECT_EQ(resumed.m_body.find(text.Token(3)), std::string::npos);
  EXPECT_NE(resumed.m_body.find(text.Token(4)), std::string::npos)
    << resumed.m_body;
  EXPECT_NE(resumed.m_body.find(text.Token(5)), std::string::npos);

  const std::uint64_t before = standIns.FetchRecord(9001)["cancelled"];
  net::CallRequest request;
  request.m_endpoint = StandIns::LocalEndpoint(9001);
  request.m_method = "POST";
  request.m_target = "/v1/chat/completions";
  request.m_body = R"({"stream":true,"max_tokens":1000000})";
  request.m_freshConnection = true;
  bool responseStarted = false;
  net::CallCallbacks callbacks;
  callbacks.m_onHead = [&](int, const net::Headers&) {
    responseStarted = true;
  };
  callbacks.m_onBody = [](std::string_view) {};
  callbacks.m_onEnd = [](const net::CallEnd&) {};
  auto call = standIns.m_client.Start(request, callbacks);
  standIns.RunLoopUntil([&] { return responseStarted; });
  call.reset();
  standIns.RunLoopUntil(
    [&] { return standIns.FetchRecord(9001)["cancelled"] == before + 1; });
}

TEST(Engine, RecordsWhetherAChatWasCached)
{
  StandIns& standIns = SharedStandIns();
  for (const char* cached : { "0", "1" }) {
    const net::HttpResponse response =
      standIns.Fetch(9001,
                     "POST",
                     "/v1/chat/completions",
                     R"({"max_tokens":1})",
                     { { "walnutwing-chat", "c" } });
    EXPECT_EQ(response.m_headers.Get("walnutwing-cached"), cached);
    EXPECT_EQ(standIns.FetchRecord(9001)["calls"].back()["cached"],
              *cached == '1');
  }
}

TEST(Engine, RefusesAStaleFencingNumberAndReportsAColdFault)
{
  StandIns& standIns = SharedStandIns();
  const auto order = [&](const char* aBody) {
    return standIns.Fetch(9001, "POST", "/order", aBody).m_status;
  };
  EXPECT_EQ(order(R"({"model":"m2"})"), 400);
  EXPECT_EQ(order(R"({"role":"decode","fencing":7})"), 200);
  EXPECT_EQ(order(R"({"role":"prefill","fencing":6})"), 409);
  standIns.SetFault(9001, "kind=cold&count=1");
  const net::HttpResponse response =
    standIns.Fetch(9001, "POST", "/v1/chat/completions", "{}");
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(response.m_headers.Get("walnutwing-engine-state"), "cold");
}

TEST(Service, CountsOneRunPerExecutedCall)
{
  StandIns& standIns = SharedStandIns();
  const auto call = [&] {
    const net::HttpResponse response = standIns.Fetch(
      9002, "POST", "/call", "{}", { { "idempotency-key", "k1" } });
    const bool complete = response.m_end.m_stage == net::CallStage::Complete;
    return complete && response.m_status == 200;
  };
  EXPECT_TRUE(call());
  standIns.SetFault(9002, "kind=refuse&count=1");
  EXPECT_FALSE(call());
  EXPECT_EQ(standIns.FetchRecord(9002)["runs"]["k1"], 1);
  standIns.SetFault(9002, "kind=lose_answer&count=1");
  EXPECT_FALSE(call());
  EXPECT_EQ(standIns.FetchRecord(9002)["runs"]["k1"], 2);
  EXPECT_EQ(standIns.FetchRecord(9002)["most_runs_of_a_key"], 2);
}

TEST(LatencyHistogram, GivesQuantilesWithinOnePercent)
{
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.QuantileMs(0.5), 0);
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(std::chrono::milliseconds(i));
  }
  for (const double quantile : { 0.5, 0.95, 0.99, 1.0 }) {
    EXPECT_NEAR(
      histogram.QuantileMs(quantile), 1000 * quantile, 10 * quantile + 0.001);
  }
}

} // namespace
} // namespace walnutwing::standin
