// Tests of how a router tells a complete stream from a broken one, for each way
// in which an upstream can frame and end it.

#include "standin/router_harness.h"

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

const std::string kLastChunk = "\r\n0\r\n\r\n";

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: e" + std::to_string(aId) +
         "\n\n";
}

// Every upstream answers with an unframed stream of these bytes and closes the
// connection in an orderly way.
void
RespondAndClose(RouterHarness& aHarness, const std::string& aBody)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetHandler([aBody](const Exchange& aExchange) {
      aExchange->Write(MakeUnframedStreamHead(aExchange->Request()) + aBody);
      aExchange->Close();
    });
  }
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

TEST(StreamEnd, UnframedStreamThatEndsAfterAnEventIsComplete)
{
  RouterHarness harness(1);
  RespondAndClose(harness, Event(1) + Event(2));
  const std::string answer = harness.Fetch("POST", "/stream/");
  EXPECT_TRUE(Contains(answer, "data: e2"));
  EXPECT_TRUE(Contains(answer, kLastChunk));
}

// Guards against a caller that gets half an event and the last chunk: an engine
// that crashed had closed the connection of an unframed stream in an orderly
// way, and the close was taken for the end of the stream.
TEST(StreamEnd, UnframedStreamThatEndsInsideAnEventNeverLooksComplete)
{
  for (const char* part : { "id: 2\ndata: e", "id: 2\ndata: e2\n", "i" }) {
    RouterHarness harness(1);
    RespondAndClose(harness, Event(1) + part);
    const std::string answer = harness.Fetch("POST", "/stream/");
    EXPECT_TRUE(Contains(answer, "data: e1")) << part;
    EXPECT_FALSE(Contains(answer, kLastChunk)) << part;
    EXPECT_TRUE(harness.WaitUntil(
      [&] { return Contains(harness.LogText(), R"("code":3005)"); }))
      << part;
  }
}

// Guards against the same end of a resumable stream, where half an event was
// handed to the caller and the stream was not resumed.
TEST(StreamEnd, UnframedStreamThatEndsInsideAnEventIsResumedAfterLastWholeEvent)
{
  RouterHarness harness(2);
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    harness.Upstream(i).SetHandler([&harness](const Exchange& aExchange) {
      if (harness.CountExchanges() == 1) {
        aExchange->Write(MakeUnframedStreamHead(aExchange->Request()) +
                         Event(1) + "id: 2\ndata: lo");
      } else {
        EXPECT_EQ("1", aExchange->Request()["Last-Event-Id"]);
        aExchange->Write(MakeUnframedStreamHead(aExchange->Request()) +
                         Event(2) + Event(3));
      }
      aExchange->Close();
    });
  }
  const std::string answer = harness.Fetch("POST", "/resume/");
  EXPECT_TRUE(Contains(answer, "data: e1"));
  EXPECT_TRUE(Contains(answer, "data: e2"));
  EXPECT_TRUE(Contains(answer, "data: e3"));
  EXPECT_FALSE(Contains(answer, "data: lo"));
  EXPECT_TRUE(Contains(answer, kLastChunk));
}

// Guards against a stalled stream that never ends, because a byte now and then
// counted as progress although no event was completed.
TEST(StreamEnd, StalledStreamThatSendsAByteNowAndThenIsResumed)
{
  RouterHarness harness(2);
  Exchange stalled;
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    harness.Upstream(i).SetHandler([&](const Exchange& aExchange) {
      aExchange->Write(MakeStreamHead(aExchange->Request()));
      if (stalled == nullptr) {
        stalled = aExchange;
        aExchange->Write(MakeEventChunk(1) + MakeChunk("data: "));
        return;
      }
      EXPECT_EQ("1", aExchange->Request()["Last-Event-Id"]);
      aExchange->Write(MakeEventChunk(2) + "0\r\n\r\n");
    });
  }
  const auto caller = harness.Connect();
  caller->Send("POST /resume/ HTTP/1.1\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Content-Length: 0\r\n\r\n");
  const auto ended = [&] { return caller->Received().ends_with(kLastChunk); };
  // The route's timeout is 8 s: this ends before it.
  for (int i = 0; i < 50 && !ended(); ++i) {
    harness.RunLoopFor(Duration(100));
    if (stalled != nullptr && !stalled->PeerClosed()) {
      stalled->Write(MakeChunk("x"));
    }
  }
  EXPECT_TRUE(ended());
  EXPECT_TRUE(Contains(caller->Received(), "data: e2"));
  EXPECT_FALSE(Contains(caller->Received(), "data: x"));
}

// Guards against a slow but sound stream that is cut or resumed elsewhere.
TEST(StreamEnd, SlowStreamThatCompletesEventsIsLeftAlone)
{
  RouterHarness harness(2);
  Exchange slow;
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    harness.Upstream(i).SetHandler([&slow](const Exchange& aExchange) {
      slow = aExchange;
      aExchange->Write(MakeStreamHead(aExchange->Request()));
    });
  }
  const auto caller = harness.Connect();
  caller->Send("POST /resume/ HTTP/1.1\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(harness.WaitUntil([&] { return slow != nullptr; }));
  for (int i = 1; i <= 10; ++i) {
    harness.RunLoopFor(Duration(200));
    slow->Write(MakeEventChunk(i));
  }
  slow->Write("0\r\n\r\n");
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return caller->Received().ends_with(kLastChunk); }));
  EXPECT_EQ(1U, harness.CountExchanges());
}

// Guards against an empty stream that looks complete: an engine that crashed
// after its head had closed the connection in an orderly way.
TEST(StreamEnd, UnframedStreamWithoutAnyEventNeverLooksComplete)
{
  RouterHarness harness(1);
  RespondAndClose(harness, "");
  EXPECT_FALSE(Contains(harness.Fetch("POST", "/stream/"), kLastChunk));
}

// Guards against a stream whose framing says that it is complete although it
// ends inside an event.
TEST(StreamEnd, FramedStreamThatEndsInsideAnEventNeverLooksComplete)
{
  const std::string part = Event(1) + "id: 2\ndata: e";
  const std::string responses[] = {
    "Transfer-Encoding: chunked\r\n\r\n" + MakeChunk(part) + "0\r\n\r\n",
    "Content-Length: " + std::to_string(part.size()) + "\r\n\r\n" + part,
  };
  for (const std::string& response : responses) {
    RouterHarness harness(1);
    harness.Upstream(0).SetHandler([&response](const Exchange& aExchange) {
      aExchange->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                       "X-Response-Seal: seal\r\n"
                       "Content-Type: text/event-stream\r\n" +
                       response);
    });
    const std::string answer = harness.Fetch("POST", "/stream/");
    EXPECT_TRUE(Contains(answer, "data: e1"));
    EXPECT_FALSE(Contains(answer, kLastChunk)) << response;
  }
}

// Guards against half an event at a caller on HTTP/1.0, whose response ends
// with its connection: a stream that broke must end with a reset.
TEST(StreamEnd, BrokenUnframedStreamResetsAnHttp10Caller)
{
  RouterHarness harness(1);
  RespondAndClose(harness, Event(1) + "id: 2\ndata: e");
  const auto caller = harness.Connect();
  caller->Send("POST /stream/ HTTP/1.0\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
  EXPECT_TRUE(caller->WasReset());
  EXPECT_FALSE(Contains(caller->Received(), "id: 2"));
}

// Guards against half a stream of events from a route whose requests may be
// repeated: the lookup is sent to another upstream instead.
TEST(StreamEnd, LookupWhoseEventsEndInsideOneIsRepeated)
{
  RouterHarness harness(2);
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    harness.Upstream(i).SetHandler([&harness](const Exchange& aExchange) {
      const bool first = harness.CountExchanges() == 1;
      EXPECT_EQ("", aExchange->Request()["Last-Event-Id"]);
      aExchange->Write(MakeUnframedStreamHead(aExchange->Request()) + Event(1) +
                       (first ? "id: 2\ndata: lo" : Event(2)));
      aExchange->Close();
    });
  }
  const std::string answer = harness.Fetch("GET", "/lookup/");
  EXPECT_TRUE(Contains(answer, "\r\n\r\n" + Event(1) + Event(2)));
  EXPECT_EQ(2U, harness.CountExchanges());
}

// Guards against a body that is not a stream of events being judged as one: an
// orderly close is all that ends it, also on a route for streams.
TEST(StreamEnd, UnframedBodyOfAnotherTypeIsCompleteAfterOrderlyClose)
{
  RouterHarness harness(1);
  harness.Upstream(0).SetHandler([](const Exchange& aExchange) {
    aExchange->Write(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
      "Content-Type: application/json\r\n\r\n{\"a\":1}");
    aExchange->Close();
  });
  const std::string answer = harness.Fetch("POST", "/resume/");
  EXPECT_TRUE(Contains(answer, "{\"a\":1}"));
  EXPECT_TRUE(Contains(answer, kLastChunk));
}

struct OddEnd
{
  const char* m_name;
  std::string m_head; // after the status line, the id and the MAC
  std::string m_status = "200 OK";
};

// Without it GoogleTest prints the bytes of the object.
void
PrintTo(const OddEnd& aEnd, std::ostream* aStream)
{
  *aStream << aEnd.m_name;
}

class ResumedStream : public testing::TestWithParam<OddEnd>
{
protected:
  // The first upstream breaks the stream off after an event; all others give
  // the odd answer.
  ResumedStream()
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler([this](const Exchange& aExchange) {
        if (m_harness.CountExchanges() == 1) {
          aExchange->Write(MakeStreamHead(aExchange->Request()) +
                           MakeEventChunk(1));
          aExchange->Reset();
          return;
        }
        aExchange->Write("HTTP/1.1 " + GetParam().m_status +
                         "\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n" +
                         GetParam().m_head);
      });
    }
  }

  std::unique_ptr<CallerStandin> Ask(const std::string& aVersion)
  {
    auto caller = m_harness.Connect();
    caller->Send("POST /resume/ HTTP/" + aVersion +
                 "\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                 "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(m_harness.WaitUntil([&] { return caller->Ended(); }));
    EXPECT_LT(1U, m_harness.CountExchanges());
    const std::string& received = caller->Received();
    EXPECT_TRUE(Contains(received, Event(1))) << received;
    EXPECT_EQ(received.find("id: "), received.rfind("id: ")) << received;
    return caller;
  }

  RouterHarness m_harness{ 3 };
};

// Guards against issue 44, ORDER: a stream that broke off ends as complete,
// because the next upstream has nothing to say.
TEST_P(ResumedStream, NeverLooksCompleteWithoutAFurtherEvent)
{
  EXPECT_FALSE(Contains(Ask("1.1")->Received(), kLastChunk));
}

// Guards against the same at a caller on HTTP/1.0, whose response ends with its
// connection.
TEST_P(ResumedStream, IsResetAtAnHttp10Caller)
{
  EXPECT_TRUE(Ask("1.0")->WasReset());
}

INSTANTIATE_TEST_SUITE_P(
  OddEnds,
  ResumedStream,
  testing::Values(
    OddEnd{ "NoContent", "\r\n", "204 No Content" },
    OddEnd{ "ResetContent", "Content-Length: 0\r\n\r\n", "205 Reset Content" },
    OddEnd{ "EmptyChunked",
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    OddEnd{ "EmptyLength",
            "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n" },
    OddEnd{ "EmptyUnstated", "Content-Length: 0\r\n\r\n" },
    OddEnd{ "OnlyAComment",
            "Content-Type: text/event-stream\r\n"
            "Content-Length: 8\r\n\r\n: none\n\n" },
    OddEnd{ "OtherType",
            "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nid: " }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a broken body that is no stream of events being continued by
// another run's whole body.
TEST(StreamEnd, BrokenBodyOfAnotherTypeIsNotResumed)
{
  RouterHarness harness(2);
  for (std::size_t i = 0; i < harness.Upstreams(); ++i) {
    harness.Upstream(i).SetHandler([](const Exchange& aExchange) {
      aExchange->Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
        "Content-Type: application/json\r\n\r\n{\"a\"");
      aExchange->Reset();
    });
  }
  EXPECT_FALSE(Contains(harness.Fetch("POST", "/resume/"), kLastChunk));
  EXPECT_EQ(1U, harness.CountExchanges());
}

// Guards against an event without an end that fills the router's memory.
TEST(StreamEnd, StreamWithAnEventWithoutEndIsBrokenOff)
{
  RouterHarness harness(1);
  RespondAndClose(harness, "data: " + std::string(2U << 20U, 'x'));
  EXPECT_FALSE(Contains(harness.Fetch("POST", "/stream/"), kLastChunk));
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return Contains(harness.LogText(), "event too large"); }));
}

} // namespace
} // namespace walnutwing::standin
