#include "router/response_check.h"

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

platform::ResponseFacts
Facts(platform::MediaType aType)
{
  platform::ResponseFacts facts;
  facts.m_mediaType = aType;
  return facts;
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
