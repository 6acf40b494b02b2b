// Tests that bytes without end cannot fill a router's memory or hold a request
// longer than it may take, whoever sends them: upstreams, callers, the
// platform's store or a client of the readiness page. Each sends as fast as the
// loopback allows until the router closes the connection.

#include "standin/router_harness.h"

#include <ostream>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

// What a router may need in addition to its idle peak.
constexpr std::size_t kMaxMemoryGrowth = 8U << 20U;

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kHead =
  kStatusLine + "X-Attempt-Id: a1\r\nX-Response-Seal: seal\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kEventsHead = kHead + "Content-Type: text/event-stream\r\n";
const std::string kOtherRequest =
  kStatusLine + "X-Attempt-Id: another\r\nX-Response-Seal: seal\r\n";

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

bool
IsComplete(const std::string& aResponse)
{
  return aResponse.ends_with("\r\n0\r\n\r\n");
}

// A response whose rest never ends.
struct EndlessResponse
{
  const char* m_name;
  std::string m_begin;
  std::string m_piece; // repeated without end
};

std::ostream&
operator<<(std::ostream& aStream, const EndlessResponse& aCase)
{
  return aStream << aCase.m_name;
}

std::string
NameOfCase(const testing::TestParamInfo<EndlessResponse>& aInfo)
{
  return aInfo.param.m_name;
}

// Every upstream responds in that way to requests other than to /public/.
void
RespondEndlessly(RouterHarness& aHarness, const EndlessResponse& aCase)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetHandler([aCase](const Exchange& aExchange) {
      if (aExchange->Request().target() == "/public/") {
        aExchange->Write(
          MakeUpstreamResponse(aExchange->Request(), 200, "done"));
        return;
      }
      aExchange->Write(aCase.m_begin);
      aExchange->WriteEndlessly(aCase.m_piece);
    });
  }
}

bool
AllConnectionsClosed(RouterHarness& aHarness)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    for (const Exchange& exchange : aHarness.Upstream(i).Exchanges()) {
      if (!exchange->PeerClosed()) {
        return false;
      }
    }
  }
  return true;
}

class BytesThatAreNoResponse : public testing::TestWithParam<EndlessResponse>
{};

// Guards against a router whose memory an upstream fills until the system ends
// the process, and against a request that waits for its deadline (504) although
// its response can no longer be one (502).
TEST_P(BytesThatAreNoResponse, EndTheAttemptAtOnce)
{
  RouterHarness harness(2);
  harness.Fetch("GET", "/public/");
  RespondEndlessly(harness, GetParam());
  const std::size_t idlePeak = harness.RouterPeakMemory();
  for (const std::string path : { "/order/", "/lookup/", "/stream/" }) {
    const std::string response = harness.Fetch("POST", path);
    EXPECT_FALSE(IsComplete(response)) << path;
    const bool begun = response.starts_with("HTTP/1.1 200");
    EXPECT_TRUE(begun || response.starts_with("HTTP/1.1 502")) << response;
  }
  ASSERT_FALSE(harness.Router().ExitStatus());
  EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
  EXPECT_TRUE(harness.WaitUntil([&] { return AllConnectionsClosed(harness); }));
  EXPECT_FALSE(Contains(harness.LogText(), R"("why":"deadline_passed")"));
  EXPECT_TRUE(harness.Fetch("GET", "/public/").ends_with("done"));
}

INSTANTIATE_TEST_SUITE_P(
  EndlessInput,
  BytesThatAreNoResponse,
  testing::Values(
    EndlessResponse{ "StatusLine", "HTTP/1.1 200 ", "x" },
    EndlessResponse{ "FieldName", kHead, "x" },
    EndlessResponse{ "FieldValue", kHead + "X-Long: ", "x" },
    EndlessResponse{ "Fields", kHead, "X-Field: 1\r\n" },
    EndlessResponse{ "InterimResponses",
                     "",
                     "HTTP/1.1 103 Early Hints\r\n\r\n" },
    EndlessResponse{ "ChunkSize", kChunkedHead, "0" },
    EndlessResponse{ "ChunkExtension", kChunkedHead + "4;", "x" },
    EndlessResponse{ "TrailerValue", kChunkedHead + "0\r\nX-Long: ", "x" },
    EndlessResponse{ "Trailers", kChunkedHead + "0\r\n", "X-Field: 1\r\n" },
    EndlessResponse{ "NoHttp", "", std::string(16, '\0') },
    EndlessResponse{ "UnframedResponseToAnotherRequest",
                     kOtherRequest + "\r\n",
                     "x" },
    EndlessResponse{ "ChunkedResponseToAnotherRequest",
                     kOtherRequest + "Transfer-Encoding: chunked\r\n\r\n",
                     MakeChunk(std::string(1000, 'x')) },
    EndlessResponse{ "ResponsesToAnotherRequest",
                     "",
                     kOtherRequest + "Content-Length: 4\r\n\r\ndone" },
    EndlessResponse{ "NotExecuted",
                     "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\n"
                     "X-Not-Executed: 1\r\n\r\n",
                     "x" },
    EndlessResponse{ "UnconfirmedRefusal",
                     "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\n\r\n",
                     "x" },
    EndlessResponse{ "LineOfEvent", kEventsHead + "\r\ndata: ", "x" },
    EndlessResponse{ "Event", kEventsHead + "\r\n", "data: x\n" },
    EndlessResponse{ "ChunkedEvent",
                     kEventsHead + "Transfer-Encoding: chunked\r\n\r\n",
                     MakeChunk("data: x\n") }),
  NameOfCase);

// Guards against a router that ends, with all its requests, because it reserved
// the memory for a body of the length that an upstream stated.
TEST(EndlessInput, StatedLengthReservesNoMemory)
{
  for (const std::string length :
       { "9000000000000000000", "1000000000000000" }) {
    RouterHarness harness(1);
    std::string head = kHead + "Content-Length: ";
    head += length + "\r\n\r\n";
    RespondEndlessly(harness, { "Length", head, "x" });
    const std::size_t idlePeak = harness.RouterPeakMemory();
    const auto caller = harness.Connect();
    caller->Send("POST /order/ HTTP/1.1\r\nHost: h.example\r\n"
                 "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
                 "Content-Length: 0\r\n\r\n");
    constexpr std::size_t kEnoughBytes = 4U << 20U;
    harness.WaitUntil([&] {
      return caller->Ended() || caller->Received().size() > kEnoughBytes ||
             harness.Router().ExitStatus();
    });
    ASSERT_FALSE(harness.Router().ExitStatus()) << length;
    EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 200")) << length;
    EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
  }
}

// Guards against bytes behind a complete response that are taken for the
// response to the next request, or that are read without end.
TEST(EndlessInput, BytesBehindAResponseEndTheConnection)
{
  RouterHarness harness(1);
  RespondEndlessly(harness,
                   { "Behind", kHead + "Content-Length: 4\r\n\r\ndone", "x" });
  const std::size_t idlePeak = harness.RouterPeakMemory();
  EXPECT_TRUE(harness.Fetch("POST", "/order/").ends_with("done"));
  EXPECT_TRUE(harness.WaitUntil([&] { return AllConnectionsClosed(harness); }));
  EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
}

// Guards against an upstream that fills the memory behind a slow caller: what
// may be a response is passed on, and no more is read than the caller takes.
TEST(EndlessInput, EndlessBodyIsBoundByItsDeadline)
{
  for (const std::string path : { "/order/", "/lookup/", "/stream/" }) {
    RouterHarness harness(1);
    RespondEndlessly(harness, { "Body", kHead + "\r\n", ": comment\n\n" });
    const std::size_t idlePeak = harness.RouterPeakMemory();
    const std::string response =
      harness.Fetch("POST", path, "X-Deadline-Ms: 500\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << path;
    EXPECT_FALSE(IsComplete(response)) << path;
    EXPECT_TRUE(
      harness.WaitUntil([&] { return AllConnectionsClosed(harness); }));
    EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
  }
}

// Guards against a caller's input that is kept without bound, or whose sender
// learns only after a timeout that it cannot be a request.
TEST(EndlessInput, CallersGetAnErrorAtOnce)
{
  const std::string head = "POST /order/ HTTP/1.1\r\nHost: h.example\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const struct
  {
    std::string m_begin;
    std::string m_piece;
    std::string m_status;
  } cases[] = {
    { "POST /", "x", "431" },
    { head + "X-Long: ", "x", "431" },
    { head, "X-Field: 1\r\n", "431" },
    { chunked, "0", "400" },
    { chunked + "4;", "x", "400" },
    { chunked + "0\r\nX-Long: ", "x", "400" },
    { chunked + "0\r\n", "X-Field: 1\r\n", "400" },
    { chunked, MakeChunk("body"), "413" },
    { head + "Content-Length: 9000000000000000000\r\n\r\n", "x", "413" },
  };
  RouterHarness harness(1);
  harness.Fetch("GET", "/public/");
  const std::size_t idlePeak = harness.RouterPeakMemory();
  for (const auto& [begin, piece, status] : cases) {
    const auto caller = harness.Connect();
    caller->Send(begin);
    caller->SendEndlessly(piece);
    EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); })) << begin;
    EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 " + status))
      << begin << "\n"
      << caller->Received();
  }
  EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
  EXPECT_EQ(0U, harness.CountExchanges() - 1);
}

// Guards against a client of the readiness page that fills the memory.
TEST(EndlessInput, ReadinessPageKeepsABoundedRequest)
{
  RouterHarness harness(1);
  const std::size_t idlePeak = harness.RouterPeakMemory();
  for (const std::string begin :
       { "GET /", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;" }) {
    const auto caller = harness.ConnectToReadyPage();
    caller->Send(begin);
    caller->SendEndlessly("x");
    EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); })) << begin;
  }
  EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
  EXPECT_EQ(200, harness.ReadyStatus());
}

// Guards against a store, or what answers at its address, that fills the memory
// or holds a call for ever; the router goes on with a new connection.
TEST(EndlessInput, StoreResponsesAreBounded)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const struct
  {
    std::string m_begin;
    std::string m_piece;
  } cases[] = {
    { head, "X-Field: 1\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { chunked, "0" },
    { chunked + "4;", "x" },
    { chunked + "0\r\n", "X-Field: 1\r\n" },
    { chunked, MakeChunk(std::string(1000, 'x')) },
    { head + "Content-Length: 9000000000000000000\r\n\r\n", "x" },
    { head + "\r\n", "x" },
  };
  RouterHarness harness(1);
  const std::size_t idlePeak = harness.RouterPeakMemory();
  int version = 1;
  std::string path;
  for (const auto& [begin, piece] : cases) {
    harness.Store().AnswerEndlessly(begin, piece);
    path = "/order" + std::to_string(++version) + "/";
    harness.PutConfig(version, path);
    EXPECT_TRUE(
      harness.WaitUntil([&] { return harness.Store().EndlessAnswerEnded(); }))
      << begin << piece;
  }
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return harness.Fetch("POST", path).ends_with("done"); }));
  EXPECT_LE(harness.RouterPeakMemory(), idlePeak + kMaxMemoryGrowth);
}

// Guards against a store whose response never ends because a byte now and then
// counts as progress: configurations would not be read until it does.
TEST(EndlessInput, StoreResponseThatTricklesIsGivenUp)
{
  RouterHarness harness(1);
  harness.Store().AnswerEndlessly(
    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x", Duration(200));
  harness.PutConfig(2, "/order2/");
  EXPECT_TRUE(
    harness.WaitUntil([&] { return harness.Store().EndlessAnswerEnded(); }));
  EXPECT_TRUE(harness.WaitUntil(
    [&] { return harness.Fetch("POST", "/order2/").ends_with("done"); }));
}

} // namespace
} // namespace walnutwing::standin
