#include "router/response_check.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

platform::ResponseFacts
Facts(platform::MediaType aType)
{
  platform::ResponseFacts facts;
  facts.m_hasMac = true;
  facts.m_mediaType = aType;
  return facts;
}

// Guards against issue 44, MIXED: a success that is not the engine's answer
// reaches a caller.
TEST(ResponseCheck, SuccessNeedsAMac)
{
  platform::ResponseFacts facts = Facts(platform::MediaType::Unstated);
  facts.m_hasMac = false;
  for (const RouteKind kind :
       { RouteKind::Order, RouteKind::Lookup, RouteKind::Stream }) {
    for (const unsigned status : { 200U, 201U, 204U, 206U }) {
      EXPECT_EQ(
        "success without a MAC",
        CheckResponse(status, facts, kind, Forwarded::Nothing).m_discardReason);
    }
    EXPECT_EQ(
      "", CheckResponse(404, facts, kind, Forwarded::Nothing).m_discardReason);
  }
}

// Guards against issue 44, ORDER: an answer that is no stream of events ends,
// or becomes a part of, a stream that has begun.
TEST(ResponseCheck, OnlyEventsGoOnWithAStream)
{
  const auto check = [](unsigned aStatus, platform::MediaType aType) {
    return CheckResponse(
      aStatus, Facts(aType), RouteKind::Stream, Forwarded::Events);
  };
  EXPECT_EQ("", check(200, platform::MediaType::EventStream).m_discardReason);
  EXPECT_EQ("", check(200, platform::MediaType::Unstated).m_discardReason);
  EXPECT_NE("", check(200, platform::MediaType::Other).m_discardReason);
  for (const unsigned status : { 204U, 205U, 304U, 400U, 413U, 500U }) {
    EXPECT_NE("", check(status, platform::MediaType::Unstated).m_discardReason)
      << status;
    EXPECT_NE("",
              check(status, platform::MediaType::EventStream).m_discardReason)
      << status;
  }
}

TEST(ResponseCheck, RefusalsAreNotForwarded)
{
  platform::ResponseFacts facts = Facts(platform::MediaType::Unstated);
  facts.m_notExecuted = true;
  EXPECT_EQ("not executed",
            CheckResponse(503, facts, RouteKind::Order, Forwarded::Nothing)
              .m_discardReason);
  facts.m_notExecuted = false;
  facts.m_unconfirmedRefusal = true;
  EXPECT_EQ("response reports a failure",
            CheckResponse(503, facts, RouteKind::Order, Forwarded::Nothing)
              .m_discardReason);
}

} // namespace
} // namespace walnutwing::router
