// Tests of requests whose end, or whose host, parsers could read differently,
// at a router, each with a second request behind it on its connection. Guards
// against review/11, UNASKED: a body ran as a request of its own, and against
// review/12, ROUTE: a Host field opened a public route to any path.

#include "standin/router_harness.h"

#include <gtest/gtest.h>

namespace walnutwing::standin {
namespace {

const std::string kHidden =
  "POST /order/hidden HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: hidden\r\n"
  "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";

std::string
Order(const std::string& aFields, const std::string& aHost = "h.example")
{
  return "POST /order/ HTTP/1.1\r\nHost: " + aHost +
         "\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n" + aFields +
         "\r\n";
}

std::string
AsChunk(const std::string& aText)
{
  return MakeChunk(aText) + "0\r\n\r\n";
}

struct Smuggling
{
  const char* m_name;
  std::string m_bytes;
  std::string m_status = "400";
};

void
PrintTo(const Smuggling& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class SmuggledRequest : public testing::TestWithParam<Smuggling>
{};

// Nothing of it runs, it is refused, and its connection is closed.
TEST_P(SmuggledRequest, ReachesNoUpstream)
{
  RouterHarness harness(1);
  const auto caller = harness.Connect();
  caller->Send(GetParam().m_bytes + kHidden);
  EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
  EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 " + GetParam().m_status))
    << caller->Received();
  EXPECT_EQ(std::string::npos, caller->Received().find("HTTP/1.1", 1))
    << caller->Received();
  EXPECT_EQ(0U, harness.CountExchanges());
}

const std::string kSize = std::to_string(kHidden.size());

INSTANTIATE_TEST_SUITE_P(
  Forms,
  SmuggledRequest,
  testing::Values(
    Smuggling{ "UnknownCoding", Order("Transfer-Encoding: gzip\r\n"), "501" },
    Smuggling{ "CodingBeforeChunked",
               Order("Transfer-Encoding: gzip, chunked\r\n"),
               "501" },
    Smuggling{ "CodingAfterChunked",
               Order("Transfer-Encoding: chunked, gzip\r\n"),
               "501" },
    Smuggling{ "Identity", Order("Transfer-Encoding: identity\r\n"), "501" },
    Smuggling{ "ObfuscatedCoding",
               Order("Transfer-Encoding: xchunked\r\n"),
               "501" },
    Smuggling{
      "LengthAndCoding",
      Order("Content-Length: " + kSize + "\r\nTransfer-Encoding: chunked\r\n") +
        AsChunk("") },
    Smuggling{ "LengthAndUnknownCoding",
               Order("Content-Length: 0\r\nTransfer-Encoding: gzip\r\n") },
    Smuggling{
      "TwoLengths",
      Order("Content-Length: 0\r\nContent-Length: " + kSize + "\r\n") },
    Smuggling{ "SignedLength", Order("Content-Length: +0\r\n") },
    Smuggling{ "ListOfLengths", Order("Content-Length: 0, 0\r\n") },
    Smuggling{ "FoldedCoding",
               Order("Content-Length: 0\r\nX-Name: a\r\n"
                     " Transfer-Encoding: chunked\r\n") },
    Smuggling{ "SpaceBeforeTheColon", Order("Content-Length : 0\r\n") },
    Smuggling{ "BareLineFeed",
               Order("X-Name: a\nTransfer-Encoding: chunked\r\n") },
    Smuggling{ "BadChunkSize",
               Order("Transfer-Encoding: chunked\r\n") + "0x0\r\n\r\n" },
    Smuggling{ "SignedChunkSize",
               Order("Transfer-Encoding: chunked\r\n") + "+0\r\n\r\n" },
    Smuggling{ "ChunkLongerThanItsSize",
               Order("Transfer-Encoding: chunked\r\n") + "1\r\nab\r\n" },
    Smuggling{ "TwoHosts", Order("Host: x.example\r\n") },
    Smuggling{ "SlashInTheHost", Order("", "h.example/public") },
    Smuggling{ "SlashBehindAPort", Order("", "h.example:80/public/") },
    Smuggling{ "UserInTheHost", Order("", "u@h.example") },
    Smuggling{ "AnotherHostInTheTarget",
               "POST http://x.example/order/ HTTP/1.1\r\nHost: h.example\r\n"
               "X-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n\r\n" },
    Smuggling{ "CodingInHttp10",
               "POST /order/ HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1"
               "\r\nAuthorization: Bearer k1\r\nTransfer-Encoding: chunked"
               "\r\n\r\n" +
                 AsChunk("") }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a trailer that becomes a field of the head: a key, or the id
// of an attempt that no caller sent.
TEST(Trailers, AreNotTakenForFieldsOfTheHead)
{
  RouterHarness harness(1);
  const auto caller = harness.Connect();
  caller->Send("POST /order/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1"
               "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
               "4\r\nbody\r\n0\r\nAuthorization: Bearer k1\r\n\r\n");
  EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
  EXPECT_TRUE(caller->Received().starts_with("HTTP/1.1 401"))
    << caller->Received();
  EXPECT_EQ(0U, harness.CountExchanges());
}

// Guards against a proper request that is refused: a target in absolute form
// names the same host.
TEST(AbsoluteForm, IsSentInOriginForm)
{
  RouterHarness harness(1);
  const auto caller = harness.Connect();
  caller->Send("GET http://H.example/lookup/a?b=c HTTP/1.1\r\nHost: h.example"
               "\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer k1\r\n"
               "Connection: close\r\n\r\n");
  EXPECT_TRUE(harness.WaitUntil([&] { return caller->Ended(); }));
  ASSERT_EQ(1U, harness.CountExchanges()) << caller->Received();
  EXPECT_EQ("/lookup/a?b=c",
            harness.Upstream(0).Exchanges().front()->Request().target());
}

} // namespace
} // namespace walnutwing::standin
