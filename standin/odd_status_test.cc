// Tests of what a router makes of each kind of status that an upstream may
// send. Guards against reports, MIXED: an answer whose status is none reached
// the caller, or kept it waiting for another one.

#include "standin/router_harness.h"

#include <ostream>

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

using Exchange = std::shared_ptr<UpstreamExchange>;

const std::string kPaths[] = { "/order/",
                               "/lookup/",
                               "/public/",
                               "/stream/",
                               "/resume/" };
constexpr Duration kAtOnce{ 1000 };
const std::string kDeadline = "X-Deadline-Ms: 2000\r\n";

std::string
Response(const std::string& aStatus, const std::string& aRest)
{
  return "HTTP/1.1 " + aStatus +
         " Status\r\nX-Attempt-Id: a1\r\nX-Response-Seal: seal\r\n" + aRest;
}

const std::string kLength = "Content-Length: 4\r\n\r\n";
const std::string kBody = "done";
const std::string kFinal = Response("200", kLength + kBody);

struct StatusRow
{
  const char* m_name;
  std::string m_bytes; // that each upstream sends
};

// Without it GoogleTest prints the bytes of the object.
void
PrintTo(const StatusRow& aRow, std::ostream* aStream)
{
  *aStream << aRow.m_name;
}

class ResponseStatus : public testing::TestWithParam<StatusRow>
{
protected:
  ResponseStatus()
  {
    for (std::size_t i = 0; i < m_harness.Upstreams(); ++i) {
      m_harness.Upstream(i).SetHandler([](const Exchange& aExchange) {
        aExchange->Write(GetParam().m_bytes);
      });
    }
  }

  // Checks that the response comes long before the deadline.
  std::string FetchAtOnce(const std::string& aPath)
  {
    const Time begin = SteadyClock().Now();
    std::string response = m_harness.Fetch("POST", aPath, kDeadline);
    EXPECT_LT(SteadyClock().Now() - begin, kAtOnce) << aPath;
    return response;
  }

  RouterHarness m_harness{ 2 };
};

// Guards against a status that is none: passed on as an answer (600, 999), or
// taken for an interim one, so that the caller waits to its deadline (000).
class NoStatus : public ResponseStatus
{};

TEST_P(NoStatus, FailsTheAttemptAtOnce)
{
  for (const std::string& path : kPaths) {
    const std::string response = FetchAtOnce(path);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << path << response;
  }
}

INSTANTIATE_TEST_SUITE_P(
  ResponseStatus,
  NoStatus,
  testing::Values(
    StatusRow{ "S000", Response("000", kLength + kBody) },
    StatusRow{ "S001", Response("001", kLength + kBody) },
    StatusRow{ "S099", Response("099", kLength + kBody) },
    StatusRow{ "S000Unframed", Response("000", "\r\n" + kBody) },
    StatusRow{ "S101", Response("101", "Upgrade: other\r\n\r\n") + kFinal },
    StatusRow{ "S600", Response("600", kLength + kBody) },
    StatusRow{ "S999", Response("999", kLength + kBody) },
    StatusRow{ "S20", Response("20", kLength + kBody) },
    StatusRow{ "S2000", Response("2000", kLength + kBody) },
    StatusRow{ "SPlus20", Response("+20", kLength + kBody) },
    StatusRow{ "SMinus20", Response("-20", kLength + kBody) },
    StatusRow{ "SHexadecimal", Response("0x2", kLength + kBody) },
    StatusRow{ "SExponent", Response("2e2", kLength + kBody) },
    StatusRow{ "SMissing", Response("", kLength + kBody) },
    // The body of an interim response is not one, but begins the next response.
    StatusRow{ "S103WithABody", Response("103", kLength + kBody) + kFinal }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against an interim response that is taken for the final one, or whose
// fields hide the final one.
class InterimStatus : public ResponseStatus
{};

TEST_P(InterimStatus, IsSkipped)
{
  for (const std::string path : { "/order/", "/lookup/", "/public/" }) {
    const std::string response = FetchAtOnce(path);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << path << response;
    EXPECT_TRUE(response.ends_with(kBody)) << path << response;
  }
}

INSTANTIATE_TEST_SUITE_P(
  ResponseStatus,
  InterimStatus,
  testing::Values(
    StatusRow{ "S100", "HTTP/1.1 100 Continue\r\n\r\n" + kFinal },
    StatusRow{ "S102", Response("102", "\r\n") + kFinal },
    StatusRow{ "S103", Response("103", "Link: x\r\n\r\n") + kFinal },
    StatusRow{ "S199", Response("199", "\r\n") + kFinal },
    StatusRow{ "S103WithALength", Response("103", kLength) + kFinal }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against bytes behind a response without a body that reach this caller
// or the next one.
class StatusWithoutBody : public ResponseStatus
{};

TEST_P(StatusWithoutBody, EndsAtItsHead)
{
  const std::string status(GetParam().m_name + 1, 3);
  for (int i = 0; i < 3; ++i) {
    for (const std::string path : { "/order/", "/lookup/", "/public/" }) {
      const std::string response = FetchAtOnce(path);
      EXPECT_TRUE(response.starts_with("HTTP/1.1 " + status)) << response;
      EXPECT_TRUE(response.ends_with("\r\n\r\n")) << response;
      EXPECT_EQ(response.find(kBody), std::string::npos) << response;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  ResponseStatus,
  StatusWithoutBody,
  testing::Values(
    StatusRow{ "S204", Response("204", "\r\n") },
    StatusRow{ "S204WithABody", Response("204", kLength + kBody) },
    StatusRow{ "S204WithAResponse", Response("204", "\r\n") + kFinal },
    StatusRow{ "S304", Response("304", "\r\n") },
    StatusRow{ "S304WithABody", Response("304", kLength + kBody) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a status at an end of the valid range, or one that nobody has
// registered, that is not passed on.
class FinalStatus : public ResponseStatus
{};

TEST_P(FinalStatus, IsForwardedWithItsBody)
{
  const std::string status(GetParam().m_name + 1, 3);
  const std::string response = FetchAtOnce("/order/");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 " + status)) << response;
  EXPECT_TRUE(response.ends_with(kBody)) << response;
}

INSTANTIATE_TEST_SUITE_P(
  ResponseStatus,
  FinalStatus,
  testing::Values(StatusRow{ "S200", Response("200", kLength + kBody) },
                  StatusRow{ "S205", Response("205", kLength + kBody) },
                  StatusRow{ "S299", Response("299", kLength + kBody) },
                  StatusRow{ "S418", Response("418", kLength + kBody) },
                  StatusRow{ "S500", Response("500", kLength + kBody) },
                  StatusRow{ "S599", Response("599", kLength + kBody) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace walnutwing::standin
