#include "router/response_relay.h"

#include <gtest/gtest.h>

#include "router/fake_response_writer.h"

namespace walnutwing::router {
namespace {

platform::HttpResponseHead
Head(unsigned aStatus)
{
  platform::HttpResponseHead head;
  head.result(aStatus);
  head.insert("X-Attempt-Id", "a1");
  return head;
}

class ResponseRelayTest : public testing::Test
{
protected:
  void ReceiveHead(unsigned aStatus, bool aIsStream)
  {
    m_relay.OnAttempt();
    m_relay.OnHead(Head(aStatus), aIsStream, aIsStream, Time(Duration(5)));
  }

  void Receive(std::string_view aPiece)
  {
    m_relay.Forward(m_relay.Split(aPiece).value());
  }

  FakeResponseWriter m_caller;
  ResponseRelay m_relay{ m_caller };
};

TEST_F(ResponseRelayTest, BuffersABodyUntilItIsComplete)
{
  ReceiveHead(200, false);
  Receive("do");
  Receive("ne");
  EXPECT_EQ(Forwarded::Nothing, m_relay.State());
  EXPECT_EQ("", m_caller.m_head);
  m_relay.ForwardRest();
  EXPECT_EQ("done", m_caller.m_body);
  EXPECT_EQ(4U, m_caller.m_length);
}

// Guards against a body that begins with what a broken attempt has brought.
TEST_F(ResponseRelayTest, DropsWhatAnAttemptBeforeHasBrought)
{
  ReceiveHead(200, false);
  Receive("brok");
  ReceiveHead(201, false);
  Receive("whole");
  m_relay.ForwardRest();
  EXPECT_EQ("whole", m_caller.m_body);
  EXPECT_EQ(201U, m_relay.Status());
}

// Guards against a body that lacks what came before another attempt was tried,
// or has what that one has brought.
TEST_F(ResponseRelayTest, TakesBackTheBodyOfAnAttemptThatGoesOn)
{
  ReceiveHead(200, false);
  Receive("first ");
  m_relay.SetAside();
  ReceiveHead(201, false);
  Receive("second");
  m_relay.TakeBack();
  Receive("attempt");
  m_relay.ForwardRest();
  EXPECT_EQ("first attempt", m_caller.m_body);
  EXPECT_EQ(200U, m_relay.Status());
}

// Guards against an event that is torn for the same reason.
TEST_F(ResponseRelayTest, TakesBackTheEventOfAnAttemptThatGoesOn)
{
  ReceiveHead(200, true);
  Receive("id: 1\ndata: a\n\nid: 2\nda");
  m_relay.SetAside();
  EXPECT_EQ(0U, m_relay.PartialEventBytes());
  ReceiveHead(200, true);
  EXPECT_EQ("", m_relay.Split("id: 2\n").value_or("too large"));
  EXPECT_EQ("", m_relay.SplitAside("ta: b\n").value_or("too large"));
  const std::string event(m_relay.SplitAside("\n").value_or(""));
  EXPECT_EQ("id: 2\ndata: b\n\n", event);
  m_relay.TakeBack();
  m_relay.Forward(event);
  EXPECT_EQ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", m_caller.m_body);
  EXPECT_EQ("2", m_relay.LastEventId());
  EXPECT_EQ(0U, m_relay.PartialEventBytes());
}

TEST_F(ResponseRelayTest, ForwardsABodyThatExceedsTheBuffer)
{
  const std::string large(300U << 10U, 'x');
  ReceiveHead(200, false);
  Receive(large);
  EXPECT_EQ(Forwarded::Other, m_relay.State());
  EXPECT_EQ(large, m_caller.m_body);
  EXPECT_FALSE(m_caller.m_length);
}

TEST_F(ResponseRelayTest, ForwardsWholeEventsAcrossAttempts)
{
  ReceiveHead(200, true);
  EXPECT_EQ(Forwarded::Events, m_relay.State());
  Receive("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ("id: 1\ndata: a\n\n", m_caller.m_body);
  EXPECT_EQ("1", m_relay.LastEventId());
  EXPECT_EQ(8U, m_relay.PartialEventBytes());
  m_relay.DropPartialEvent();
  ReceiveHead(200, true);
  Receive("id: 2\ndata: b\n\n");
  EXPECT_EQ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", m_caller.m_body);
}

// Guards against an event without end that fills the memory.
TEST_F(ResponseRelayTest, RejectsAnEventThatIsTooLarge)
{
  ReceiveHead(200, true);
  EXPECT_FALSE(m_relay.Split(std::string(2U << 20U, 'x')));
}

TEST_F(ResponseRelayTest, IsBehindWhileTheCallerDoesNotTakeWhatIsForwarded)
{
  ReceiveHead(200, true);
  EXPECT_FALSE(m_relay.IsBehind());
  m_caller.m_pendingBytes = 1U << 20U;
  EXPECT_TRUE(m_relay.IsBehind());
}

TEST_F(ResponseRelayTest, BeginsNothingForACallerThatHasGone)
{
  m_relay.OnCallerGone();
  ReceiveHead(200, true);
  EXPECT_FALSE(m_relay.HasBegun());
  EXPECT_EQ(nullptr, m_relay.TakeCaller());
}

} // namespace
} // namespace walnutwing::router
