// Tests of answers that begin, or end, before the upstream has read the request
// to its end. Guards against an operator's report, MIXED: a part of an answer
// without a length reached the caller as a complete one.

#include "standin/router_harness.h"

#include <ostream>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

constexpr std::size_t kSmallUpload = 100'000;
constexpr std::size_t kMediumUpload = 1'500'000;
// More than the sockets between router and upstream hold unread.
constexpr std::size_t kLongUpload = 12'000'000;
constexpr std::size_t kMaxBodyBytes = 16'000'000;
const std::string kLastChunk = "\r\n0\r\n\r\n";
const std::string kEvent = "id: 1\ndata: e1\n\n";

const std::string kPaths[] = { "/order/", "/lookup/", "/stream/", "/resume/" };

// A success with its last chunk or with a length, as its body was buffered.
bool
IsComplete(const std::string& aResponse)
{
  return aResponse.starts_with("HTTP/1.1 200") &&
         (aResponse.find(kLastChunk) != std::string::npos ||
          aResponse.find("Content-Length: ") != std::string::npos);
}

class EarlyAnswer : public testing::Test
{
protected:
  // All upstreams read no more than a request's head.
  EarlyAnswer()
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetReadsHeadsOnly(true);
    }
  }

  void SetHandler(const std::function<void(const Exchange&)>& aHandler)
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler(aHandler);
    }
  }

  std::string Upload(const std::string& aPath, std::size_t aBytes = kLongUpload)
  {
    return m_harness.Fetch("POST", aPath, "", std::string(aBytes, 'x'));
  }

  RouterHarness m_harness{ HarnessOptions{ .m_upstreams = 2,
                                           .m_maxBodyBytes = kMaxBodyBytes } };
};

// How an upstream ends the answer, and its connection.
struct Ending
{
  const char* m_name;
  void (UpstreamExchange::*m_end)();
  std::size_t m_uploadBytes;
};

// Without it GoogleTest prints the bytes of the object.
void
PrintTo(const Ending& aEnding, std::ostream* aStream)
{
  *aStream << aEnding.m_name;
}

class UnframedEarlyAnswer
  : public EarlyAnswer
  , public testing::WithParamInterface<Ending>
{};

// Guards against a part of a body that looks complete, as its connection was
// closed in an orderly way before the request was written to its end.
TEST_P(UnframedEarlyAnswer, NeverLooksComplete)
{
  SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUnframedHead(aExchange->Request()) +
                     "a part of the body");
    (aExchange.get()->*GetParam().m_end)();
  });
  for (const std::string& path : kPaths) {
    const std::string response = Upload(path, GetParam().m_uploadBytes);
    EXPECT_FALSE(IsComplete(response)) << path << "\n" << response;
  }
}

// Guards against the same of a stream: the events so far are no whole answer.
TEST_P(UnframedEarlyAnswer, NeverLooksCompleteAfterAnEvent)
{
  SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUnframedStreamHead(aExchange->Request()) + kEvent);
    (aExchange.get()->*GetParam().m_end)();
  });
  for (const std::string& path : kPaths) {
    const std::string response = Upload(path, GetParam().m_uploadBytes);
    EXPECT_FALSE(IsComplete(response)) << path << "\n" << response;
  }
}

INSTANTIATE_TEST_SUITE_P(
  EarlyAnswer,
  UnframedEarlyAnswer,
  testing::Values(
    Ending{ "HalfClosed", &UpstreamExchange::HalfClose, kLongUpload },
    Ending{ "Closed", &UpstreamExchange::Close, kLongUpload },
    Ending{ "UnreadSmall", &UpstreamExchange::CloseSocket, kSmallUpload },
    Ending{ "UnreadMedium", &UpstreamExchange::CloseSocket, kMediumUpload },
    Ending{ "UnreadLong", &UpstreamExchange::CloseSocket, kLongUpload },
    Ending{ "ResetSmall", &UpstreamExchange::Reset, kSmallUpload },
    Ending{ "ResetMedium", &UpstreamExchange::Reset, kMediumUpload },
    Ending{ "ResetLong", &UpstreamExchange::Reset, kLongUpload }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a sound answer without a length that is taken for broken, as
// it is the answer to a long upload.
TEST_F(EarlyAnswer, UnframedAnswerAfterTheWholeUploadIsComplete)
{
  for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
    m_harness.Upstream(i).SetReadsHeadsOnly(false);
  }
  SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUnframedHead(aExchange->Request()) + "the body");
    aExchange->Close();
  });
  for (const std::string path : { "/order/", "/lookup/" }) {
    const std::string response =
      m_harness.Fetch("POST", path, "", std::string(500'000, 'x'));
    EXPECT_NE(std::string::npos, response.find("the body")) << path;
  }
}

// Guards against a framed answer that is lost because the upload had not ended,
// and against a connection with half an upload that is used again: no request
// on it would be answered.
TEST_F(EarlyAnswer, FramedAnswerIsForwardedAndItsConnectionIsNotUsedAgain)
{
  SetHandler([](const Exchange& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 413, "long"));
  });
  for (const std::string& path : kPaths) {
    const std::string response = Upload(path);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 413")) << response;
    EXPECT_TRUE(response.ends_with("long")) << response;
  }
  EXPECT_EQ(4U, m_harness.CountExchanges());
}

// Guards against an order that fails as one that may have run, although its
// upstream refused it before it had read the upload.
TEST_F(EarlyAnswer, RefusalIsBelieved)
{
  SetHandler([](const Exchange& aExchange) {
    aExchange->Write("HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\n"
                     "X-Not-Executed: 1\r\n\r\nfull");
    aExchange->HalfClose();
  });
  EXPECT_TRUE(Upload("/order/").starts_with("HTTP/1.1 503"));
}

} // namespace
} // namespace walnutwing::standin
