// Tests that callers outside the limits end no router: whatever a crowd of them
// sends or leaves unread, the process lives, its memory and its descriptors
// stay under what its settings allow, and an ordinary caller is answered while
// the crowd is still connected. The limits are lowered, so that a small crowd
// is enough. No test checks times or how many of the crowd are served.
//
// The environment variable WALNUTWING_CROWD sets another number of callers, to
// see whether the peak grows with it.

#include "standin/caller_crowd.h"
#include "standin/router_harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <ostream>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

constexpr std::size_t kMiB = 1U << 20U;
constexpr std::size_t kMemoryMb = 64;        // of the router's VM
constexpr std::size_t kMaxDescriptors = 200; // of the router, if it is limited
constexpr std::size_t kMaxBodyBytes = kMiB;
constexpr std::size_t kCallers = 120;
constexpr std::size_t kPieceBytes = 16U << 10U;

// The upstream never stops answering, or never begins.
const std::string kEndlessPath = "/lookup/endless";
const std::string kEventsPath = "/stream/endless";
const std::string kHeldPath = "/lookup/held";

std::string
Head(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aFields)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c1\r\n"
         "Authorization: Bearer k1\r\n" +
         aFields + "\r\n";
}

std::string
Post(std::size_t aLength, const std::string& aPath = "/lookup/")
{
  return Head(
    "POST", aPath, "Content-Length: " + std::to_string(aLength) + "\r\n");
}

std::string
PostChunked()
{
  return Head("POST", "/lookup/", "Transfer-Encoding: chunked\r\n");
}

std::string
Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() + aText.size() <= aBytes) {
    text += aText;
  }
  return text;
}

struct Crowd
{
  const char* m_name;
  CrowdScript m_script;
};

std::ostream&
operator<<(std::ostream& aStream, const Crowd& aCrowd)
{
  return aStream << aCrowd.m_name;
}

std::string
NameOfCrowd(const testing::TestParamInfo<Crowd>& aInfo)
{
  return aInfo.param.m_name;
}

std::vector<Crowd>
Crowds()
{
  constexpr std::size_t kFarOver = 4 * kMaxBodyBytes;
  constexpr std::size_t kChunkBytes = 128U << 10U;
  constexpr std::size_t kLegalPieces = kMaxBodyBytes / kPieceBytes - 1;
  constexpr std::size_t kHeaderRoom = 3800; // of 4096
  const std::string piece(kPieceBytes, 'x');
  const std::string chunk = MakeChunk(std::string(kChunkBytes, 'x'));
  const std::string tinyChunks = Repeat(MakeChunk("x"), kPieceBytes);
  const std::size_t tinyPieces = 4 * kMiB / tinyChunks.size();
  const std::string requests = Repeat(Head("GET", "/public/", ""), kPieceBytes);
  return {
    { "AnnouncedFarOver",
      { Post(1000 * kMiB), piece, kFarOver / kPieceBytes } },
    { "FarOverInChunks", { PostChunked(), chunk, kFarOver / kChunkBytes } },
    { "OneByteShort",
      { Post(kMaxBodyBytes) + std::string(kMaxBodyBytes - 1, 'x'), "", 0 } },
    { "InPiecesOneByteShort",
      { Post(kLegalPieces * kPieceBytes + 1), piece, kLegalPieces } },
    { "WholeAndHeldByTheUpstream",
      { Post(kLegalPieces * kPieceBytes, kHeldPath), piece, kLegalPieces } },
    { "LargeChunksWithoutEnd",
      { PostChunked(), chunk, kMaxBodyBytes / kChunkBytes - 1 } },
    { "TinyChunksWithoutEnd", { PostChunked(), tinyChunks, tinyPieces } },
    { "HeadsWithoutEnd",
      { "GET / HTTP/1.1\r\n" + Repeat("X-Field: 1\r\n", kHeaderRoom),
        "",
        0,
        true,
        3 } },
    { "TinyFieldsThenOneByteShort",
      { Head("POST",
             "/lookup/",
             Repeat("a:\r\n", kHeaderRoom) + "Content-Length: 2\r\n") +
          "x",
        "",
        0 } },
    { "SlowReadersOfALargeAnswer",
      { Head("GET", kEndlessPath, ""), "", 0, false } },
    { "SlowReadersOfEvents", { Head("GET", kEventsPath, ""), "", 0, false } },
    { "PipelinedRequests", { "", requests, kFarOver / kPieceBytes, false } },
    { "ComesBackAfterEachRefusal",
      { PostChunked(), chunk, kFarOver / kChunkBytes, true, 5 } },
  };
}

std::size_t
CrowdSize()
{
  const char* size = std::getenv("WALNUTWING_CROWD");
  return size == nullptr ? kCallers : std::stoul(size);
}

HarnessOptions
Options(const std::string& aMoreLimits = "")
{
  HarnessOptions options{ .m_upstreams = 2 };
  options.m_limits =
    "memory_mb = " + std::to_string(kMemoryMb) + "\n" + aMoreLimits;
  options.m_maxBodyBytes = kMaxBodyBytes;
  return options;
}

void
SetUpstreams(RouterHarness& aHarness)
{
  for (std::size_t i = 0; i < aHarness.Upstreams(); ++i) {
    aHarness.Upstream(i).SetRecordsExchanges(false);
    aHarness.Upstream(i).SetHandler(
      [](const std::shared_ptr<UpstreamExchange>& aExchange) {
        const auto& request = aExchange->Request();
        if (request.target() == kEndlessPath) {
          aExchange->Write(MakeUnframedHead(request));
          aExchange->WriteEndlessly("x");
        } else if (request.target() == kEventsPath) {
          aExchange->Write(MakeUnframedStreamHead(request));
          aExchange->WriteEndlessly("data: x\n\n");
        } else if (request.target() != kHeldPath) {
          aExchange->Write(MakeUpstreamResponse(request, 200, "done"));
        }
      });
  }
}

// While the crowd is still connected.
void
ExpectSound(RouterHarness& aHarness, const std::string& aName)
{
  EXPECT_TRUE(aHarness.WaitUntil([&] {
    return aHarness.Router().ExitStatus() ||
           aHarness.Fetch("GET", "/public/").ends_with("done");
  }));
  ASSERT_FALSE(aHarness.Router().ExitStatus());
  std::cout << aName << ": peak " << aHarness.RouterPeakMemory() / kMiB
            << " MiB, now " << aHarness.RouterMemory() / kMiB << " MiB, "
            << aHarness.RouterDescriptors() << " descriptors\n";
  EXPECT_LE(aHarness.RouterPeakMemory(), kMemoryMb * kMiB);
}

// What callers have sent waits in the system's buffers until the router reads
// it, so this waits until the router has nothing more to do.
void
LetRouterRead(RouterHarness& aHarness)
{
  constexpr Duration kWindow = std::chrono::seconds(1);
  constexpr Duration kNearlyNothing = std::chrono::milliseconds(30);
  constexpr int kMaxWindows = 15;
  Duration before{};
  for (int i = 0; i < kMaxWindows && !aHarness.Router().ExitStatus(); ++i) {
    const Duration used = aHarness.RouterProcessorTime();
    if (i != 0 && used - before <= kNearlyNothing) {
      return;
    }
    before = used;
    aHarness.RunLoopFor(kWindow);
  }
}

class CallersOutsideTheLimits : public testing::TestWithParam<Crowd>
{};

// Guards against a router that holds what each caller of a crowd sends, or does
// not take, until the system ends it for want of memory.
TEST_P(CallersOutsideTheLimits, LeaveTheMemoryBounded)
{
  RouterHarness harness(Options());
  SetUpstreams(harness);
  const CallerCrowd crowd(harness.Loop(),
                          harness.CallersEndpoint(),
                          GetParam().m_script,
                          CrowdSize());
  harness.WaitUntil(
    [&] { return crowd.IsSettled() || harness.Router().ExitStatus(); });
  LetRouterRead(harness);
  ExpectSound(harness, GetParam().m_name);
}

INSTANTIATE_TEST_SUITE_P(OutsideLimits,
                         CallersOutsideTheLimits,
                         testing::ValuesIn(Crowds()),
                         NameOfCrowd);

// Guards against bounds that hold for each kind of caller, but not for all of
// them together.
TEST(OutsideLimits, AMixOfCallersLeavesTheMemoryBounded)
{
  RouterHarness harness(Options());
  SetUpstreams(harness);
  std::vector<std::unique_ptr<CallerCrowd>> crowds;
  const std::vector<Crowd> kinds = Crowds();
  crowds.reserve(kinds.size());
  for (const Crowd& kind : kinds) {
    crowds.push_back(
      std::make_unique<CallerCrowd>(harness.Loop(),
                                    harness.CallersEndpoint(),
                                    kind.m_script,
                                    2 * CrowdSize() / kinds.size()));
  }
  harness.WaitUntil([&] {
    return harness.Router().ExitStatus() ||
           std::all_of(crowds.begin(), crowds.end(), [](const auto& aCrowd) {
             return aCrowd->IsSettled();
           });
  });
  LetRouterRead(harness);
  ExpectSound(harness, "Mix");
}

// Guards against chunks that cost much and carry nearly nothing: a body is
// limited by what it takes on the wire, too.
TEST(OutsideLimits, ChunksThatCostMoreThanTheyCarryAreRefused)
{
  constexpr std::size_t kExtensionBytes = 20'000;
  constexpr std::size_t kChunks = 8;
  HarnessOptions options = Options();
  options.m_maxBodyBytes = 10'000;
  RouterHarness harness(options);
  std::string request = PostChunked();
  for (std::size_t i = 0; i < kChunks; ++i) {
    request += "1;" + std::string(kExtensionBytes, 'x') + "\r\nx\r\n";
  }
  const auto caller = harness.Connect();
  caller->Send(request);
  EXPECT_TRUE(harness.WaitUntil([&] { return !caller->Received().empty(); }));
  EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 413"))
    << caller->Received();
}

// Guards against idle callers that take the descriptors which the router needs
// for its upstreams, the store and other callers.
TEST(OutsideLimits, IdleConnectionsLeaveDescriptors)
{
  RouterHarness harness(
    Options("max_descriptors = " + std::to_string(kMaxDescriptors) + "\n"));
  SetUpstreams(harness);
  const CallerCrowd crowd(
    harness.Loop(), harness.CallersEndpoint(), CrowdScript{}, 4 * CrowdSize());
  harness.WaitUntil([&] { return crowd.IsSettled(); });
  ExpectSound(harness, "Idle");
  EXPECT_LE(harness.RouterDescriptors(), kMaxDescriptors);
}

} // namespace
} // namespace walnutwing::standin
