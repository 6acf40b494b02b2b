// Tests of a router process between stand-ins that inject faults. They check
// outcomes, never timings.

#include "standin/router_harness.h"

#include <csignal>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

int
StatusOf(const std::string& aAnswer)
{
  return aAnswer.size() < 12 ? 0 : std::atoi(aAnswer.substr(9, 3).c_str());
}

std::string
BodyOf(const std::string& aAnswer)
{
  const std::size_t end = aAnswer.find("\r\n\r\n");
  return end == std::string::npos ? "" : aAnswer.substr(end + 4);
}

// A request without a body that leaves its connection open.
std::string
EmptyPost(const std::string& aPath)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
         "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
}

void
SetAllHandlers(RouterHarness& aHarness,
               const UpstreamStandin::Handler& aHandler)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetHandler(aHandler);
  }
}

TEST(Router, ForwardsTargetAndBodyAndSetsItsOwnHeaders)
{
  RouterHarness harness;
  const std::string answer =
    harness.Fetch("POST", "/order/x?y=1", "X-Tenant: evil\r\n", "body");
  EXPECT_EQ(200, StatusOf(answer));
  EXPECT_EQ("done", BodyOf(answer));
  EXPECT_NE(std::string::npos, answer.find("X-Response-Seal: seal.done\r\n"));
  ASSERT_EQ(1U, harness.CountExchanges());
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    for (const Exchange& exchange : harness.Upstream(i).Exchanges()) {
      const auto& request = exchange->Request();
      EXPECT_EQ("/order/x?y=1", request.target());
      EXPECT_EQ("body", request.body());
      EXPECT_EQ("h.example", request["Host"]);
      EXPECT_EQ("c1", request["X-Tenant"]);
      EXPECT_EQ("i-" + std::to_string(i), request["X-Expect-Instance"]);
      EXPECT_EQ("3", request["X-Request-Priority"]);
      EXPECT_EQ("", request["Authorization"]);
    }
  }
}

TEST(Router, RejectsUnknownPathUnknownKeyAndOversizedRequests)
{
  RouterHarness harness;
  EXPECT_EQ(404, StatusOf(harness.Fetch("GET", "/nowhere/")));
  EXPECT_EQ(401,
            StatusOf(harness.Fetch(
              "GET", "/lookup/", "Authorization: Bearer unknown\r\n")));
  EXPECT_EQ(200,
            StatusOf(harness.Fetch(
              "GET", "/public/", "Authorization: Bearer unknown\r\n")));
  EXPECT_EQ(
    413,
    StatusOf(harness.Fetch("POST", "/order/", "", std::string(20'000, 'b'))));
  EXPECT_EQ(
    431,
    StatusOf(harness.Fetch(
      "GET", "/lookup/", "X-Long: " + std::string(8000, 'x') + "\r\n")));
  EXPECT_EQ(1U, harness.CountExchanges());
}

// Input that is not a valid request, or that parsers could read as two
// requests.
TEST(Router, MalformedAndSmuggledRequestsReachNoUpstream)
{
  RouterHarness harness;
  const char* inputs[] = {
    "HELLO\r\n\r\n",
    "POST /order/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lookup/ HTTP/1.1\r\n\r\n",
    "POST /order/ HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
    "POST /order/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: "
    "chunked\r\n\r\nxyz\r\n",
  };
  for (const char* input : inputs) {
    const auto caller = harness.Connect();
    caller->Send(input);
    EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); })) << input;
    EXPECT_EQ(400, StatusOf(caller->Received())) << input;
  }
  const auto slow = harness.Connect();
  slow->Send("GET /lookup/ HTTP/1.1\r\nHost:");
  EXPECT_TRUE(harness.WaitUntil([&] { return slow->Ended(); }));
  EXPECT_EQ(408, StatusOf(slow->Received()));
  EXPECT_EQ(0U, harness.CountExchanges());
}

TEST(Router, PipelinedRequestsAreAnsweredInOrder)
{
  RouterHarness harness;
  const auto caller = harness.Connect();
  std::string requests;
  for (int i = 0; i < 3; ++i) {
    requests += "GET /lookup/" + std::to_string(i) +
                " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a" +
                std::to_string(i) + "\r\nAuthorization: Bearer k1\r\n\r\n";
  }
  SetAllHandlers(harness, [](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(
      aExchange->Request(), 200, std::string(aExchange->Request().target())));
  });
  caller->Send(requests);
  ASSERT_TRUE(harness.WaitUntil([&] {
    return caller->Received().find("\r\n\r\n/lookup/2") != std::string::npos;
  }));
  const std::string& all = caller->Received();
  EXPECT_LT(all.find("\r\n\r\n/lookup/0"), all.find("\r\n\r\n/lookup/1"));
  EXPECT_LT(all.find("\r\n\r\n/lookup/1"), all.find("\r\n\r\n/lookup/2"));
}

// --- retries, and reports of "not run" ---

TEST(Router, OrderWithLostResponseIsNeitherRetriedNorReportedAsNotRun)
{
  RouterHarness harness;
  SetAllHandlers(harness,
                 [](const Exchange& aExchange) { aExchange->Reset(); });
  EXPECT_EQ(502, StatusOf(harness.Fetch("POST", "/order/", "", "x")));
  EXPECT_EQ(1U, harness.CountExchanges());
}

TEST(Router, NotExecutedOrderIsRetriedAtAnotherUpstream)
{
  RouterHarness harness;
  SetAllHandlers(harness, [&harness](const Exchange& aExchange) {
    if (harness.CountExchanges() == 1) {
      aExchange->Write(MakeUpstreamResponse(
        aExchange->Request(), 503, "full", "X-Not-Executed: 1\r\n"));
      return;
    }
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "done"));
  });
  const std::string answer = harness.Fetch("POST", "/order/", "", "x");
  EXPECT_EQ(200, StatusOf(answer));
  EXPECT_EQ("done", BodyOf(answer));
  EXPECT_EQ(2U, harness.CountExchanges());
}

// An order that gets a 503 without X-Not-Executed may have run, so a caller
// must not get the 503, which says that it has not.
TEST(Router, UnconfirmedRefusalIsNotForwarded)
{
  RouterHarness harness;
  SetAllHandlers(harness, [](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 503, "busy"));
  });
  const std::string answer = harness.Fetch("POST", "/order/", "", "x");
  EXPECT_EQ(502, StatusOf(answer));
  EXPECT_EQ(std::string::npos, answer.find("X-Response-Seal"));
  EXPECT_EQ(1U, harness.CountExchanges());
}

TEST(Router, RefusalWithoutUpstreamSaysNotRunAndSetsRetryAfter)
{
  RouterHarness harness(1);
  harness.Store().Put("keyed.servers", "i-0", std::nullopt);
  ASSERT_TRUE(harness.WaitUntil([&] {
    return StatusOf(harness.Fetch("POST", "/order/", "", "x")) == 503;
  }));
  const std::string answer = harness.Fetch("POST", "/order/", "", "x");
  EXPECT_NE(std::string::npos, answer.find("Retry-After: "));
  EXPECT_NE(std::string::npos, answer.find(R"("ran":"not run")"));
}

TEST(Router, LookupIsRetriedAfterFailuresUpToMaxAttempts)
{
  RouterHarness harness(4);
  // Until the router knows the fleet's size, it assumes that many routers share
  // the repeat budget.
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find("fleet_size_changed") != std::string::npos;
  }));
  const std::function<void(const Exchange&)> failures[] = {
    [](const Exchange& aExchange) {
      aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 500, "oops"));
    },
    [](const Exchange& aExchange) { aExchange->Reset(); },
    [](const Exchange& aExchange) {
      const std::string response =
        MakeUpstreamResponse(aExchange->Request(), 200, "cut short");
      aExchange->Write(response.substr(0, response.size() - 3));
      aExchange->Close();
    },
    [](const Exchange& aExchange) {
      aExchange->Write("this is not HTTP\r\n\r\n");
    },
  };
  for (const auto& fail : failures) {
    const std::size_t before = harness.CountExchanges();
    SetAllHandlers(harness, [&](const Exchange& aExchange) {
      if (harness.CountExchanges() == before + 1) {
        fail(aExchange);
        return;
      }
      aExchange->Write(
        MakeUpstreamResponse(aExchange->Request(), 200, "whole"));
    });
    EXPECT_EQ("whole", BodyOf(harness.Fetch("GET", "/lookup/")));
    EXPECT_EQ(before + 2, harness.CountExchanges());
  }
  const std::size_t before = harness.CountExchanges();
  SetAllHandlers(harness,
                 [](const Exchange& aExchange) { aExchange->Reset(); });
  EXPECT_EQ(502, StatusOf(harness.Fetch("GET", "/lookup/")));
  EXPECT_EQ(before + 2, harness.CountExchanges());
}

// --- complete responses, each to its own request ---

// An upstream sends two responses on a kept connection. The one with another
// request's id, or the surplus one, must not be taken for a response to the
// current or next request.
TEST(Router, ResponsesToOtherRequestsAreSkipped)
{
  RouterHarness harness(1);
  const auto ask = [&](const std::string& aId) {
    return BodyOf(
      harness.Fetch("GET", "/lookup/", "X-Attempt-Id2: " + aId + "\r\n"));
  };
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    const auto& request = aExchange->Request();
    http::request<http::string_body> other = request;
    other.set("X-Attempt-Id", "someone-else");
    aExchange->Write(MakeUpstreamResponse(other, 200, "crossed") +
                     MakeUpstreamResponse(request, 200, "mine"));
  });
  EXPECT_EQ("mine", ask("1"));
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "first") +
                     MakeUpstreamResponse(aExchange->Request(), 200, "second"));
  });
  EXPECT_EQ("first", ask("2"));
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "third"));
  });
  EXPECT_EQ("third", ask("3"));
}

// Guards against an order that is refused as not run, or run again elsewhere,
// while it runs: an upstream had sent a second copy of an earlier "not
// executed" response late, without an attempt id, on a connection that was in
// use again.
TEST(Router, LateRefusalWithoutAttemptIdIsNotTakenForTheNextRequest)
{
  RouterHarness harness(1);
  EXPECT_EQ("done", BodyOf(harness.Fetch("POST", "/order/")));
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
  });
  EXPECT_EQ(502, StatusOf(harness.Fetch("POST", "/order/")));
  EXPECT_NE(std::string::npos,
            harness.MetricsText().find(
              "walnutwing_upstream_connections_opened_total 1\n"));
}

// Guards against a sound response that fails as malformed, although the request
// has run, because its head and its body arrived one after the other.
TEST(Router, ResponseWhoseHeadArrivesBeforeItsBodyIsForwarded)
{
  for (const std::string path : { "/order/", "/lookup/", "/stream/" }) {
    RouterHarness harness(1);
    Exchange exchange;
    harness.Upstream(0).SetHandler([&exchange](const Exchange& aExchange) {
      exchange = aExchange;
      aExchange->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                       "X-Response-Seal: seal\r\nContent-Length: 6\r\n\r\n");
    });
    const auto caller = harness.Connect();
    caller->Send(EmptyPost(path));
    ASSERT_TRUE(harness.WaitUntil([&] { return exchange != nullptr; }));
    harness.RunLoopFor(Duration(100));
    exchange->Write("data\n\n");
    EXPECT_TRUE(harness.WaitUntil([&] {
      return caller->Received().find("data\n\n") != std::string::npos ||
             caller->Ended();
    }));
    EXPECT_EQ(200, StatusOf(caller->Received())) << path;
  }
}

TEST(Router, ResponseWithoutLengthIsCompleteOnlyAfterOrderlyClose)
{
  RouterHarness harness(2);
  const auto unframed = [](const Exchange& aExchange) {
    aExchange->Write(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n\r\nhalf");
  };
  SetAllHandlers(harness, [&](const Exchange& aExchange) {
    unframed(aExchange);
    aExchange->Close();
  });
  EXPECT_EQ("half", BodyOf(harness.Fetch("POST", "/order/", "", "x")));
  SetAllHandlers(harness, [&](const Exchange& aExchange) {
    unframed(aExchange);
    aExchange->Reset();
  });
  EXPECT_EQ(502, StatusOf(harness.Fetch("POST", "/order/", "", "x")));
}

// Guards against body bytes after a response that has none, which the caller
// would take for the start of the next response: HEAD, 204 and 304, also from a
// route for streams and for errors of the router's own.
TEST(Router, ResponsesWithoutBodySendNoBodyBytes)
{
  RouterHarness harness(1);
  const struct
  {
    const char* m_request;
    int m_upstreamStatus;
  } cases[] = {
    { "HEAD /lookup/", 200 },  { "HEAD /stream/", 200 },
    { "HEAD /nowhere/", 200 }, { "GET /lookup/", 204 },
    { "GET /stream/", 204 },   { "GET /lookup/", 304 },
  };
  for (const auto& one : cases) {
    harness.Upstream(0).SetHandler([&one](const Exchange& aExchange) {
      aExchange->Write("HTTP/1.1 " + std::to_string(one.m_upstreamStatus) +
                       " Answer\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
                       "Content-Type: text/event-stream\r\n\r\n");
      aExchange->Close();
    });
    const auto caller = harness.Connect();
    caller->Send(std::string(one.m_request) +
                 " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                 "Authorization: Bearer k1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
    const std::string answer = caller->Received();
    EXPECT_NE(0, StatusOf(answer)) << one.m_request;
    EXPECT_EQ("", BodyOf(answer)) << one.m_request << one.m_upstreamStatus;
    EXPECT_EQ(std::string::npos, answer.find("Content-Length: 0"))
      << one.m_request << one.m_upstreamStatus;
    EXPECT_EQ(std::string::npos, answer.find("Transfer-Encoding"))
      << one.m_request << one.m_upstreamStatus;
  }
}

TEST(Router, StreamIsForwardedEventByEvent)
{
  RouterHarness harness(1);
  Exchange stream;
  harness.Upstream(0).SetHandler([&](const Exchange& aExchange) {
    stream = aExchange;
    stream->Write(MakeStreamHead(stream->Request()) + MakeEventChunk(1));
  });
  const auto caller = harness.Connect();
  caller->Send(EmptyPost("/stream/"));
  const auto got = [&](const std::string& aText) {
    return harness.WaitUntil(
      [&] { return caller->Received().find(aText) != std::string::npos; });
  };
  EXPECT_TRUE(got("data: e1"));
  stream->Write(MakeEventChunk(2));
  EXPECT_TRUE(got("data: e2"));
  stream->Write("0\r\n\r\n");
  EXPECT_TRUE(got("\r\n0\r\n\r\n"));
  EXPECT_FALSE(caller->Ended()); // the connection stays open
}

TEST(Router, BrokenStreamNeverLooksComplete)
{
  RouterHarness harness(2);
  SetAllHandlers(harness, [](const Exchange& aExchange) {
    aExchange->Write(MakeStreamHead(aExchange->Request()) + MakeEventChunk(1));
    aExchange->Close();
  });
  const std::string answer = harness.Fetch("POST", "/stream/");
  EXPECT_EQ(200, StatusOf(answer));
  EXPECT_EQ(std::string::npos, answer.find("\r\n0\r\n\r\n"));
  EXPECT_EQ(1U, harness.CountExchanges());
}

// The stream breaks in the middle of an event and is resumed at the other
// upstream after the last complete event.
TEST(Router, ResumedStreamHasNoMissingOrDuplicateEvents)
{
  RouterHarness harness(2);
  SetAllHandlers(harness, [&](const Exchange& aExchange) {
    const auto& request = aExchange->Request();
    if (harness.CountExchanges() == 1) {
      aExchange->Write(MakeStreamHead(request) + MakeEventChunk(1) +
                       MakeEventChunk(2) + MakeChunk("id: 3\ndata: lo"));
      aExchange->Reset();
      return;
    }
    EXPECT_EQ("2", request["Last-Event-Id"]);
    aExchange->Write(MakeStreamHead(request) + MakeEventChunk(3) +
                     MakeEventChunk(4) + "0\r\n\r\n");
  });
  const std::string answer = harness.Fetch("POST", "/resume/");
  std::string events;
  for (std::size_t at = answer.find("data: "); at != std::string::npos;
       at = answer.find("data: ", at + 1)) {
    events += answer.substr(at + 6, 2);
  }
  EXPECT_EQ("e1e2e3e4", events);
  EXPECT_NE(std::string::npos, answer.find("\r\n0\r\n\r\n"));
  EXPECT_EQ(std::string::npos, answer.find("lo\r\n"));
}

// --- callers that disconnect ---

TEST(Router, UpstreamConnectionIsClosedWhenCallerDisconnectsBeforeFirstEvent)
{
  RouterHarness harness(1);
  harness.Upstream(0).SetHandler([](const Exchange&) {});
  const auto caller = harness.Connect();
  caller->Send(EmptyPost("/stream/"));
  ASSERT_TRUE(harness.WaitUntil([&] { return harness.CountExchanges() == 1; }));
  caller->Close();
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return harness.Upstream(0).Exchanges()[0]->PeerClosed(); }));
}

TEST(Router, OrderKeepsRunningWhenCallerDisconnects)
{
  RouterHarness harness(1);
  Exchange order;
  harness.Upstream(0).SetHandler(
    [&](const Exchange& aExchange) { order = aExchange; });
  const auto caller = harness.Connect();
  caller->Send(EmptyPost("/order/"));
  ASSERT_TRUE(harness.WaitUntil([&] { return order != nullptr; }));
  caller->Close();
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find("caller_gone") != std::string::npos;
  }));
  EXPECT_FALSE(order->PeerClosed());
  order->Write(MakeUpstreamResponse(order->Request(), 200, "done"));
}

// --- configuration, upstreams, the store ---

TEST(Router, OlderOrInvalidConfigurationIsNotApplied)
{
  RouterHarness harness;
  harness.PutConfig(5, "/renamed/");
  const auto status = [&](const char* aPath) {
    return StatusOf(harness.Fetch("POST", aPath, "", "x"));
  };
  ASSERT_TRUE(harness.WaitUntil([&] { return status("/renamed/") == 200; }));
  EXPECT_EQ(404, status("/order/"));
  harness.PutConfig(4, "/order/");
  harness.Store().Put("keyed.op", "config", "{\"version\":9,\"routes\":[{}]}");
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find("config_refused") != std::string::npos;
  }));
  EXPECT_EQ(200, status("/renamed/"));
  EXPECT_EQ(404, status("/order/"));
}

// Guards against issue 41, an odd entry: one that cannot be read ended every
// router, also at each start, or kept it from following the list.
TEST(Router, OddEntryInTheListOfUpstreamsIsLeftOut)
{
  RouterHarness harness(2);
  harness.Store().Put("keyed.servers", "deep", std::string(262'000, '['));
  harness.Store().Put("keyed.servers",
                      "port",
                      R"({"service":"s","zone":"z1","state":"ready",)"
                      R"("address":"127.0.0.1:70000"})");
  harness.Store().Put("keyed.servers", "number", R"({"slots":1e999})");
  harness.RegisterUpstream(1, "draining");
  for (const bool restarted : { false, true }) {
    if (restarted) {
      harness.StartRouter(0);
    }
    ASSERT_TRUE(harness.WaitUntil([&] {
      const std::string log = harness.LogText();
      return log.find(R"("upstream":"deep")") != std::string::npos &&
             log.find(R"("upstream":"port")") != std::string::npos &&
             log.find(R"("upstream":"number")") != std::string::npos &&
             log.find(R"("draining":1)") != std::string::npos;
    }));
    EXPECT_FALSE(harness.Router().ExitStatus());
    EXPECT_TRUE(
      harness.WaitUntil([&] { return harness.ReadyStatus() == 200; }));
    EXPECT_EQ("done", BodyOf(harness.Fetch("GET", "/lookup/")));
  }
}

TEST(Router, DrainingUpstreamsAndZonesGetNoNewRequests)
{
  RouterHarness harness(2);
  harness.RegisterUpstream(0, "draining");
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find(R"("draining":1)") != std::string::npos;
  }));
  const std::size_t before = harness.Upstream(0).Exchanges().size();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(200, StatusOf(harness.Fetch("GET", "/lookup/")));
  }
  EXPECT_EQ(before, harness.Upstream(0).Exchanges().size());
  harness.Store().Put("keyed.op", "evacuate/z1", "{}");
  ASSERT_TRUE(harness.WaitUntil(
    [&] { return StatusOf(harness.Fetch("GET", "/lookup/")) == 503; }));
  harness.Store().Put("keyed.op", "evacuate/z1", std::nullopt);
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return StatusOf(harness.Fetch("GET", "/lookup/")) == 200; }));
}

// Guards against requests for an upstream that has said in an answer that it
// leaves, before its registration says so, or after that was written again.
TEST(Router, UpstreamThatSaysItLeavesGetsNoNewRequests)
{
  RouterHarness harness(2);
  // Lines about i-0: its registration, and each change of it.
  const auto waitForListed = [&](std::size_t aLines) {
    const std::string line =
      R"("name":"upstream_listed","daemon":"d1","upstream":"i-0")";
    return harness.WaitUntil([&] {
      const std::string log = harness.LogText();
      std::size_t lines = 0;
      for (std::size_t at = log.find(line); at != std::string::npos;
           at = log.find(line, at + 1)) {
        ++lines;
      }
      return lines == aLines;
    });
  };
  ASSERT_TRUE(waitForListed(1));
  harness.RegisterUpstream(0, "ready", 1);
  ASSERT_TRUE(waitForListed(2));
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(
      aExchange->Request(), 200, "done", "Server-Leaving: 1\r\n"));
  });
  const auto requests = [&] { return harness.Upstream(0).Exchanges().size(); };
  ASSERT_TRUE(harness.WaitUntil([&] {
    harness.Fetch("GET", "/lookup/");
    return requests() == 1;
  }));
  harness.RegisterUpstream(0, "ready", 1); // its registration lags behind
  harness.RunLoopFor(Duration(800));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(200, StatusOf(harness.Fetch("GET", "/lookup/")));
  }
  EXPECT_EQ(1U, requests());
  EXPECT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find(
             R"("name":"upstream_leaving","daemon":"d1","upstream":"i-0","from":"answer")") !=
           std::string::npos;
  }));
  harness.RegisterUpstream(0, "ready", 2); // the next incarnation
  ASSERT_TRUE(waitForListed(4));           // 3: it was leaving
  EXPECT_TRUE(harness.WaitUntil([&] {
    harness.Fetch("GET", "/lookup/");
    return requests() == 2;
  }));
}

// Guards against requests for an upstream that has asked for none, and against
// callers that wait although all upstreams have.
TEST(Router, UpstreamThatSendsRetryAfterIsLeftAlone)
{
  RouterHarness harness(2);
  const auto rest = [](const Exchange& aExchange) {
    aExchange->Write(
      MakeUpstreamResponse(aExchange->Request(),
                           503,
                           "full",
                           "X-Not-Executed: 1\r\nRetry-After: 30.5\r\n"));
  };
  harness.Upstream(0).SetHandler(rest);
  const auto requests = [&] { return harness.Upstream(0).Exchanges().size(); };
  ASSERT_TRUE(harness.WaitUntil([&] {
    EXPECT_EQ(200, StatusOf(harness.Fetch("POST", "/order/", "", "x")));
    return requests() == 1;
  }));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(200, StatusOf(harness.Fetch("POST", "/order/", "", "x")));
  }
  EXPECT_EQ(1U, requests());
  EXPECT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find(R"("retry_after":"30.5","for_ms":30500)") !=
           std::string::npos;
  }));

  harness.Upstream(1).SetHandler(rest);
  EXPECT_EQ(503, StatusOf(harness.Fetch("POST", "/order/", "", "x")));
  const std::size_t before = harness.CountExchanges();
  const std::string refused = harness.Fetch("POST", "/order/", "", "x");
  EXPECT_EQ(503, StatusOf(refused));
  EXPECT_NE(std::string::npos, refused.find("Retry-After: "));
  EXPECT_NE(std::string::npos, refused.find(R"("ran":"not run")"));
  EXPECT_EQ(before, harness.CountExchanges());
}

// The store does not respond, or responds with an error. Requests are served
// during the outage, and a change made meanwhile is applied afterwards, even if
// the store has dropped its history.
TEST(Router, ServesDuringStoreOutagesAndAppliesChangesAfterwards)
{
  RouterHarness harness;
  int version = 1;
  for (const int outage : { 0, 503, 429, 500 }) {
    harness.Store().SetOutage(outage);
    harness.RunLoopFor(Duration(1200));
    EXPECT_EQ(200, StatusOf(harness.Fetch("GET", "/lookup/"))) << outage;
    EXPECT_EQ(200, harness.ReadyStatus()) << outage;
    const std::string prefix = "/after" + std::to_string(outage) + "/";
    harness.PutConfig(++version, prefix);
    harness.Store().DropHistory("keyed.op");
    harness.Store().SetOutage(std::nullopt);
    EXPECT_TRUE(harness.WaitUntil(
      [&] { return StatusOf(harness.Fetch("POST", prefix, "", "x")) == 200; }))
      << outage;
  }
}

// Several versions may have been published during an outage; only the newest is
// fetched, also after the router has reloaded its settings.
TEST(Router, OnlyNewestConfigurationIsFetchedAfterStoreOutage)
{
  RouterHarness harness;
  harness.WriteSettings("drain_ms = 1500\n");
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find("settings_reloaded") != std::string::npos;
  }));
  const std::size_t before = harness.Store().CountNewestRequests("keyed.op");
  harness.Store().SetOutage(503);
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find(
             R"("name":"store_lost","daemon":"d1","topic":"keyed.op")") !=
           std::string::npos;
  }));
  harness.PutConfig(2, "/second/");
  harness.PutConfig(3, "/third/");
  harness.Store().SetOutage(std::nullopt);
  ASSERT_TRUE(harness.WaitUntil([&] {
    return StatusOf(harness.Fetch("POST", "/third/", "", "x")) == 200;
  }));
  EXPECT_LT(before, harness.Store().CountNewestRequests("keyed.op"));
}

// Guards against state that goes back with the store: it returns from a copy
// that is some seconds old, gives offsets out again, and lacks what was written
// since until the writers write it again.
TEST(Router, StoreRestoredFromOlderCopyIsReadAnewWithoutGoingBack)
{
  RouterHarness harness(2);
  StoreStandin& store = harness.Store();
  const auto status = [&](const char* aPath) {
    return StatusOf(harness.Fetch("POST", aPath, "", "x"));
  };
  const auto logged = [&](const std::string& aText) {
    return harness.WaitUntil(
      [&] { return harness.LogText().find(aText) != std::string::npos; });
  };
  store.SetEra(1);
  harness.PutConfig(2, "/second/");
  ASSERT_TRUE(harness.WaitUntil([&] { return status("/second/") == 200; }));
  store.TakeCopy();
  harness.PutConfig(3, "/third/");
  harness.PutConfig(4, "/fourth/");
  store.Put("keyed.op", "evacuate/z1", "{}");
  ASSERT_TRUE(harness.WaitUntil([&] { return status("/fourth/") == 503; }));

  store.RestoreCopy();
  ASSERT_TRUE(logged(R"("name":"store_era_changed")"));
  EXPECT_TRUE(logged(R"("before":1,"era":2)"));
  EXPECT_EQ(503, status("/fourth/")); // the zone stays out
  EXPECT_EQ(404, status("/second/"));
  // Written again, at offsets that were given out before.
  harness.PutConfig(5, "/fifth/");
  store.Put("keyed.op", "evacuate/z1", "{}");
  ASSERT_TRUE(harness.WaitUntil([&] { return status("/fifth/") == 503; }));
  store.Put("keyed.op", "evacuate/z1", std::nullopt);
  EXPECT_TRUE(harness.WaitUntil([&] { return status("/fifth/") == 200; }));
}

// Guards against a zone that stays out for good: what a restored store lacks
// holds only until the operators have had time to write it again.
TEST(Router, ZoneThatRestoredStoreLacksIsBackAfterAWhile)
{
  RouterHarness harness(2);
  StoreStandin& store = harness.Store();
  store.SetEra(1);
  store.TakeCopy();
  store.Put("keyed.op", "evacuate/z1", "{}");
  const auto status = [&] {
    return StatusOf(harness.Fetch("GET", "/lookup/"));
  };
  ASSERT_TRUE(harness.WaitUntil([&] { return status() == 503; }));
  store.RestoreCopy();
  EXPECT_TRUE(harness.WaitUntil([&] { return status() == 200; }));
}

// Guards against a daemon that the restored store lacks for a whole interval of
// announcements: the others would count too few daemons.
TEST(Router, OwnRecordIsWrittenAgainAfterStoreWasRestored)
{
  RouterHarness harness(1);
  StoreStandin& store = harness.Store();
  store.SetEra(1);
  store.TakeCopy();
  ASSERT_TRUE(harness.WaitUntil(
    [&] { return store.CountAppends("keyed.walnutwing.members") > 0; }));
  harness.RunLoopFor(Duration(2500)); // all topics were read
  const std::string topic = "keyed.walnutwing.members";
  const std::size_t before = store.CountAppends(topic);
  const std::size_t ownBefore = store.CountAppends(topic, "d1");
  const std::size_t versionsBefore = store.CountAppends(topic, "version/s");
  store.RestoreCopy();
  harness.PutConfig(2);
  ASSERT_TRUE(harness.WaitUntil([&] {
    return harness.LogText().find("store_era_changed") != std::string::npos;
  }));
  harness.RunLoopFor(Duration(500));
  // Its own record and that of the service's version, each once.
  EXPECT_EQ(ownBefore + 1, store.CountAppends(topic, "d1"));
  EXPECT_EQ(versionsBefore + 1, store.CountAppends(topic, "version/s"));
  EXPECT_EQ(before + 2, store.CountAppends(topic));
}

// A response in pieces takes longer than the timeout for a silent store, as a
// large configuration does over a slow link.
TEST(Router, SlowStoreResponsesAreReadCompletely)
{
  RouterHarness harness;
  harness.Store().SetPieces(6);
  harness.PutConfig(2, "/slow/");
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return StatusOf(harness.Fetch("POST", "/slow/", "", "x")) == 200; }));
}

// Callers connect before the router has read its configuration.
TEST(Router, CallersThatConnectBeforeConfigurationIsReadAreServed)
{
  HarnessOptions options;
  options.m_storeResponsePause = Duration(150);
  options.m_waitUntilReady = false;
  RouterHarness harness(options);
  const auto first = harness.ConnectOnceItListens();
  const auto second = harness.Connect();
  ASSERT_NE(nullptr, first);
  first->Send(EmptyPost("/order/"));
  second->Send(EmptyPost("/order/"));
  for (const auto* caller : { first.get(), second.get() }) {
    ASSERT_TRUE(harness.WaitUntil([&] { return !caller->Received().empty(); }));
    EXPECT_EQ(200, StatusOf(caller->Received())) << caller->Received();
  }
}

// --- settings and stops ---

TEST(Router, SettingsAreReloadedAndInvalidFileIsIgnored)
{
  RouterHarness harness;
  const auto logged = [&](const char* aEvent) {
    return harness.WaitUntil(
      [&] { return harness.LogText().find(aEvent) != std::string::npos; });
  };
  harness.WriteSettings("drain_ms = never\n");
  harness.Router().Signal(SIGHUP);
  EXPECT_TRUE(logged("settings_refused"));
  EXPECT_EQ(200, StatusOf(harness.Fetch("GET", "/lookup/")));
  harness.RemoveSettings();
  EXPECT_TRUE(logged("cannot be read"));
  harness.WriteSettings("drain_ms = 1500\n"); // reloaded without a signal
  EXPECT_TRUE(logged("settings_reloaded"));
  EXPECT_FALSE(harness.Router().ExitStatus());
}

// Guards against requests that a planned stop cuts although they were sent
// before it stopped listening: a busy router had not accepted their connections
// yet, or not read what had arrived on them.
TEST(Router, GracefulStopServesConnectionsThatWaitToBeAccepted)
{
  RouterHarness harness(2);
  constexpr int kCallers = 20;
  std::vector<std::unique_ptr<CallerStandin>> callers;
  harness.Router().Signal(SIGTERM);
  harness.RunLoopFor(Duration(2400));
  harness.Router().Signal(SIGSTOP);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(harness.Connect());
    callers.back()->Send(EmptyPost(i % 2 == 0 ? "/order/" : "/lookup/"));
  }
  harness.RunLoopFor(Duration(400)); // past the end of accepting
  harness.Router().Signal(SIGCONT);
  for (const auto& caller : callers) {
    EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
    EXPECT_EQ(200, StatusOf(caller->Received()));
  }
  EXPECT_TRUE(
    harness.WaitUntil([&] { return harness.Router().ExitStatus() == 0; }));
}

TEST(Router, GracefulStopCompletesRequestsInFlight)
{
  RouterHarness harness(1);
  Exchange stream;
  harness.Upstream(0).SetHandler([&](const Exchange& aExchange) {
    stream = aExchange;
    stream->Write(MakeStreamHead(stream->Request()) + MakeEventChunk(1));
  });
  const auto caller = harness.Connect();
  caller->Send(EmptyPost("/stream/"));
  ASSERT_TRUE(harness.WaitUntil([&] { return stream != nullptr; }));
  harness.Router().Signal(SIGTERM);
  ASSERT_TRUE(harness.WaitUntil([&] { return harness.ReadyStatus() == 503; }));
  // Callers that have not noticed the stop yet are still served; the router
  // closes their connections, so that they connect elsewhere.
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "done"));
  });
  EXPECT_EQ("done", BodyOf(harness.Fetch("GET", "/lookup/")));
  harness.RunLoopFor(Duration(3500));
  EXPECT_FALSE(harness.Router().ExitStatus());
  stream->Write(MakeEventChunk(2) + "0\r\n\r\n");
  ASSERT_TRUE(harness.WaitUntil(
    [&] { return harness.Router().ExitStatus().has_value(); }));
  EXPECT_EQ(0, harness.Router().ExitStatus());
  EXPECT_NE(std::string::npos, caller->Received().find("data: e2"));
  EXPECT_NE(std::string::npos, caller->Received().find("\r\n0\r\n\r\n"));
}

} // namespace
} // namespace walnutwing::standin
