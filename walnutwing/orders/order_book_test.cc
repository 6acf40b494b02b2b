#include "walnutwing/orders/order_book.h"

#include <functional>
#include <optional>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using namespace std::chrono_literals;
using enum ResultCode;

// How the log handles an append.
enum class AppendBehavior
{
  Acknowledged,
  AppendedAnswerLost,
  Delayed, // the answer is lost; the test appends m_delayedRecords later
  Refused,
};

// One partition of the log, the clocks, and two daemons with an OrderBook each.
// Executes the books' actions immediately and records what they send and
// answer.
class OrderBookTest : public ::testing::Test
{
protected:
  struct Daemon
  {
    std::unique_ptr<OrderBook> m_book;
    std::vector<RequestId> m_sent;
    std::map<std::uint64_t, AnswerOrder> m_answers;
  };

  OrderBookTest()
  {
    m_options.m_partitionCount = 1;
    m_options.m_key = { .m_lifetime = 1h, .m_maxSkew = 1min };
    StartDaemon(&m_daemonOne, "one", 1);
    StartDaemon(&m_daemonTwo, "two", 1);
  }

  void StartDaemon(Daemon* aDaemon,
                   const std::string& aName,
                   std::uint64_t aIncarnation)
  {
    aDaemon->m_book =
      std::make_unique<OrderBook>(m_options, DaemonId(aName), aIncarnation);
  }

  OrderTime Now() const
  {
    return { m_clock.Now(), m_clock.WallNow() + m_wallClockOffset };
  }

  OrderRequest Order(std::uint64_t aId, const std::string& aBody = "body") const
  {
    return { RequestId(aId), CustomerId("c"), MakeOrderKey(m_issued, "valve"),
             aBody,          ServiceId("s"),  m_clock.Now() + 10s };
  }

  // Passes an event to the book and executes the resulting actions.
  void RunEvent(Daemon* aDaemon,
                const std::function<void(OrderActions*)>& aEvent)
  {
    OrderActions actions;
    aEvent(&actions);
    for (const OrderAction& action : actions) {
      std::visit([&](const auto& aAction) { Execute(aDaemon, aAction); },
                 action);
    }
  }

  void SubmitOrder(Daemon* aDaemon, const OrderRequest& aOrder)
  {
    RunEvent(aDaemon, [&](OrderActions* aActions) {
      aDaemon->m_book->OnOrder(aOrder, Now(), aActions);
    });
  }

  // Advances the clocks in steps of 5 ms, with a tick after each.
  void AdvanceTime(Daemon* aDaemon, Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 5ms) {
      m_clock.Advance(5ms);
      RunEvent(aDaemon, [&](OrderActions* aActions) {
        aDaemon->m_book->OnTick(Now(), aActions);
      });
    }
  }

  void AnswerFromUpstream(Daemon* aDaemon,
                          std::uint64_t aId,
                          const std::string& aBody = "done")
  {
    RunEvent(aDaemon, [&](OrderActions* aActions) {
      OrderResult result;
      result.m_httpStatus = 200;
      result.m_body = aBody;
      aDaemon->m_book->OnUpstreamAnswer(
        RequestId(aId), result, Now(), aActions);
    });
  }

  void Execute(Daemon* aDaemon, const AppendRecords& aAppend)
  {
    ++m_appends;

    if (m_appendBehavior == AppendBehavior::Delayed) {
      m_delayedRecords.insert(m_delayedRecords.end(),
                              aAppend.m_records.begin(),
                              aAppend.m_records.end());
    }
    if (m_appendBehavior == AppendBehavior::Acknowledged ||
        m_appendBehavior == AppendBehavior::AppendedAnswerLost) {
      AppendToLog(aAppend.m_records);
    }
    const AppendStatus status =
      m_appendBehavior == AppendBehavior::Acknowledged ? AppendStatus::Acked
      : m_appendBehavior == AppendBehavior::Refused    ? AppendStatus::Refused
                                                       : AppendStatus::Lost;
    RunEvent(aDaemon, [&](OrderActions* aActions) {
      aDaemon->m_book->OnAppendResult(aAppend.m_batch, status, Now(), aActions);
    });
  }

  void Execute(Daemon* aDaemon, const ReadPartition& aRead)
  {
    if (m_holdReads) {
      m_heldRead = aRead;
      return;
    }
    RunEvent(aDaemon, [&](OrderActions* aActions) {
      if (m_readsFail) {
        aDaemon->m_book->OnReadFailed(0, Now(), aActions);
        return;
      }
      aDaemon->m_book->OnRecords(0, Read(aRead.m_from), Now(), aActions);
    });
  }

  static void Execute(Daemon* aDaemon, const SendOrder& aSend)
  {
    aDaemon->m_sent.push_back(aSend.m_request);
  }

  static void Execute(Daemon* aDaemon, const AnswerOrder& aAnswer)
  {
    EXPECT_TRUE(
      aDaemon->m_answers.emplace(aAnswer.m_request.Value(), aAnswer).second);
  }

  void AppendToLog(const std::vector<proto::OrderRecord>& aRecords)
  {
    for (const proto::OrderRecord& record : aRecords) {
      proto::LogRecord entry;
      entry.set_offset(m_log.size() + 1);
      entry.set_at_ms(m_clock.WallNow().time_since_epoch().count());
      entry.set_body(record.SerializeAsString());
      m_log.push_back(entry);
    }
  }

  proto::ReadResponse Read(LogOffset aFrom) const
  {
    proto::ReadResponse answer;
    answer.set_first_offset(1);
    answer.set_next_offset(m_log.size() + 1);
    for (std::size_t i = aFrom.Value() - 1; i < m_log.size(); ++i) {
      *answer.add_records() = m_log[i];
    }
    return answer;
  }

  static std::optional<ResultCode> CodeOf(const Daemon& aDaemon,
                                          std::uint64_t aId)
  {
    const auto found = aDaemon.m_answers.find(aId);
    return found == aDaemon.m_answers.end()
             ? std::nullopt
             : std::optional(found->second.m_code);
  }

  OrderBookOptions m_options;
  PausedClock m_clock;
  Duration m_wallClockOffset{}; // added to the wall clock only
  const WallTime m_issued =
    std::chrono::floor<std::chrono::seconds>(m_clock.WallNow());
  std::vector<proto::LogRecord> m_log;
  std::vector<proto::OrderRecord> m_delayedRecords;
  AppendBehavior m_appendBehavior = AppendBehavior::Acknowledged;
  bool m_readsFail = false;
  bool m_holdReads = false;

  std::optional<ReadPartition> m_heldRead;
  int m_appends = 0;
  Daemon m_daemonOne;
  Daemon m_daemonTwo;
};

TEST_F(OrderBookTest, RepeatOfARunOrderGetsTheRecordedAnswer)
{
  SubmitOrder(&m_daemonOne, Order(1));
  EXPECT_TRUE(m_daemonOne.m_sent.empty());
  AdvanceTime(&m_daemonOne, 10ms);
  ASSERT_EQ(std::vector{ RequestId(1) }, m_daemonOne.m_sent);
  SubmitOrder(&m_daemonOne, Order(2));
  EXPECT_EQ(OrderRunning, CodeOf(m_daemonOne, 2));
  SubmitOrder(&m_daemonOne, Order(3, "another body"));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_daemonOne, 3));

  AnswerFromUpstream(&m_daemonOne, 1);
  EXPECT_EQ("done", m_daemonOne.m_answers.at(1).m_result->m_body);
  EXPECT_FALSE(m_daemonOne.m_answers.at(1).m_repeated);
  SubmitOrder(&m_daemonOne, Order(4));
  EXPECT_EQ("done", m_daemonOne.m_answers.at(4).m_result->m_body);
  EXPECT_TRUE(m_daemonOne.m_answers.at(4).m_repeated);
  EXPECT_FALSE(m_daemonOne.m_book->Idle());
  AdvanceTime(&m_daemonOne, 60ms);
  EXPECT_TRUE(m_daemonOne.m_book->Idle());
  EXPECT_EQ(2, m_appends);

  SubmitOrder(&m_daemonTwo, Order(1));
  EXPECT_EQ("done", m_daemonTwo.m_answers.at(1).m_result->m_body);
  SubmitOrder(&m_daemonTwo, Order(2, "another body"));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_daemonTwo, 2));
  EXPECT_EQ(2, m_appends);
}

TEST_F(OrderBookTest, OfTwoConcurrentClaimsTheFirstInTheLogIsSent)
{
  // Both daemons read the empty log first, so that both append a claim.
  for (Daemon* daemon : { &m_daemonOne, &m_daemonTwo }) {
    RunEvent(daemon, [&](OrderActions* aActions) {
      daemon->m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now());
      daemon->m_book->OnTick(Now(), aActions);
    });
  }
  SubmitOrder(&m_daemonTwo, Order(1));
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 5ms);
  AdvanceTime(&m_daemonTwo, 5ms);
  EXPECT_EQ(2U, m_log.size());
  EXPECT_EQ(1U, m_daemonOne.m_sent.size());
  EXPECT_TRUE(m_daemonTwo.m_sent.empty());
  EXPECT_EQ(OrderRunning, CodeOf(m_daemonTwo, 1));
}

TEST_F(OrderBookTest, AcknowledgedClaimIsNotSentBeforeItIsReadBack)
{
  SubmitOrder(&m_daemonOne, Order(1));
  m_holdReads = true;
  AdvanceTime(&m_daemonOne, 100ms);
  EXPECT_EQ(1U, m_log.size());
  EXPECT_TRUE(m_daemonOne.m_sent.empty());
}

TEST_F(OrderBookTest, ClaimWithLostAppendAnswerIsReadBackAndSent)
{
  SubmitOrder(&m_daemonOne, Order(1));
  m_appendBehavior = AppendBehavior::AppendedAnswerLost;
  AdvanceTime(&m_daemonOne, 10ms);
  EXPECT_EQ(1U, m_daemonOne.m_sent.size());
  EXPECT_EQ(1U, m_log.size());
}

TEST_F(OrderBookTest, ClaimAppendedAfterItsTimeoutIsNeverSent)
{
  SubmitOrder(&m_daemonOne, Order(1));
  m_appendBehavior = AppendBehavior::Delayed;
  AdvanceTime(&m_daemonOne, 10ms);
  m_appendBehavior = AppendBehavior::Acknowledged;
  AdvanceTime(&m_daemonOne, m_options.m_claimTimeout + 100ms);
  EXPECT_EQ(ClaimsUnavailable, CodeOf(m_daemonOne, 1));
  AppendToLog(m_delayedRecords);
  AdvanceTime(&m_daemonOne, m_options.m_tailInterval);
  EXPECT_TRUE(m_daemonOne.m_sent.empty());
  EXPECT_EQ(2U, m_log.size()); // the void, then the delayed claim; no new claim

  SubmitOrder(&m_daemonTwo, Order(1));
  AdvanceTime(&m_daemonTwo, 10ms);
  EXPECT_EQ(1U, m_daemonTwo.m_sent.size()) << "the void frees the key";
}

// Freezes the daemon while its claim is in the log and not read back.
TEST_F(OrderBookTest, OrderIsNotSentAfterItsDeadlineOnEitherClock)
{
  const struct
  {
    Duration m_frozen;
    Duration m_suspended; // change of the wall clock only
    bool m_sends;
  } cases[] = { { 9s, 0s, true },
                { 11s, 0s, false },
                { 0s, 11s, false },
                { 11s, -11s, false } };
  for (const auto& [frozen, suspended, sends] : cases) {
    m_log.clear();
    m_daemonOne = {};
    StartDaemon(&m_daemonOne, "one", 1);
    m_holdReads = false;
    SubmitOrder(&m_daemonOne, Order(1));
    m_holdReads = true;
    AdvanceTime(&m_daemonOne, 5ms);
    m_clock.Advance(frozen);
    m_wallClockOffset = suspended;
    m_holdReads = false;
    Execute(&m_daemonOne, *m_heldRead);
    EXPECT_EQ(sends ? 1U : 0U, m_daemonOne.m_sent.size());
    EXPECT_EQ(sends ? std::nullopt : std::optional(OrderVoided),
              CodeOf(m_daemonOne, 1));
    m_wallClockOffset = {};
  }
}

TEST_F(OrderBookTest, RestartedDaemonReportsItsEarlierClaimAsUnknown)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  ASSERT_EQ(1U, m_daemonOne.m_sent.size());
  m_daemonOne = {};
  StartDaemon(&m_daemonOne, "one", 2);
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_daemonOne, 1));
  EXPECT_TRUE(m_daemonOne.m_sent.empty());
  // Another daemon does not know of the restart: to it the order is running,
  // and its outcome unknown after m_outcomeTimeout.
  SubmitOrder(&m_daemonTwo, Order(1));
  EXPECT_EQ(OrderRunning, CodeOf(m_daemonTwo, 1));
  m_clock.Advance(m_options.m_outcomeTimeout);
  SubmitOrder(&m_daemonTwo, Order(2));
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_daemonTwo, 2));
}

TEST_F(OrderBookTest, OrdersAreRefusedAtOnceWhileTheLogIsDown)
{
  const std::pair<AppendBehavior, bool> outages[] = {
    { AppendBehavior::Delayed, false },
    { AppendBehavior::Refused, false },
    { AppendBehavior::Delayed, true }
  };
  std::uint64_t id = 0;
  const auto submitNext = [&] {
    OrderRequest order = Order(++id);
    order.m_key = MakeOrderKey(m_issued, "valve" + std::to_string(id));
    SubmitOrder(&m_daemonOne, order);
  };
  for (const auto& [appendBehavior, readsFail] : outages) {
    m_appendBehavior = appendBehavior;
    m_readsFail = readsFail;
    for (int i = 0; i < 4 && m_daemonOne.m_book->LogAvailable(); ++i) {
      submitNext();
      for (int j = 0; j < 600 && m_daemonOne.m_book->LogAvailable(); ++j) {
        AdvanceTime(&m_daemonOne, 5ms);
      }
    }
    ASSERT_FALSE(m_daemonOne.m_book->LogAvailable());
    submitNext();
    EXPECT_EQ(ClaimsUnavailable, CodeOf(m_daemonOne, id));
    EXPECT_EQ(m_options.m_retryAfter,
              m_daemonOne.m_answers.at(id).m_retryAfter);
    EXPECT_TRUE(m_daemonOne.m_sent.empty());

    m_appendBehavior = AppendBehavior::Acknowledged;
    m_readsFail = false;
    AdvanceTime(&m_daemonOne, 2 * m_options.m_retryAfter);
    submitNext();
    AdvanceTime(&m_daemonOne, 10ms);
    EXPECT_EQ(std::vector{ RequestId(id) }, m_daemonOne.m_sent);
    RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
      m_daemonOne.m_book->OnUpstreamNotSent(
        RequestId(id), UpstreamUnreachable, 1s, Now(), aActions);
    });
    EXPECT_EQ(UpstreamUnreachable, CodeOf(m_daemonOne, id));
    m_daemonOne.m_sent.clear();
  }
  for (const auto& [request, answer] : m_daemonOne.m_answers) {
    EXPECT_EQ(Ran::NotRun, RowOf(answer.m_code).m_ran) << request;
  }
  EXPECT_EQ(id, m_daemonOne.m_answers.size());
}

// A holder without a result may have been voided since it was read.
TEST_F(OrderBookTest, HolderThatMayBeVoidedGivesNoKeyReused)
{
  SubmitOrder(&m_daemonOne, Order(1, "another body"));
  AdvanceTime(&m_daemonOne, 10ms);
  SubmitOrder(&m_daemonTwo, Order(1));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_daemonTwo, 1));
  RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
    m_daemonOne.m_book->OnUpstreamNotSent(
      RequestId(1), UpstreamUnreachable, 1s, Now(), aActions);
  });
  AdvanceTime(&m_daemonOne, 60ms);
  SubmitOrder(&m_daemonOne, Order(2));
  AdvanceTime(&m_daemonOne, 10ms);
  ASSERT_EQ(2U, m_daemonOne.m_sent.size());

  m_holdReads = true;
  SubmitOrder(&m_daemonTwo, Order(2));
  EXPECT_EQ(std::nullopt, CodeOf(m_daemonTwo, 2));
  m_holdReads = false;
  Execute(&m_daemonTwo, *m_heldRead);
  EXPECT_EQ(OrderRunning, CodeOf(m_daemonTwo, 2));
}

TEST_F(OrderBookTest, OutcomeIsRecordedAfterALogOutage)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  m_appendBehavior = AppendBehavior::Delayed;
  AnswerFromUpstream(&m_daemonOne, 1);
  EXPECT_EQ(Ok, CodeOf(m_daemonOne, 1))
    << "the caller does not wait for the record";
  AdvanceTime(&m_daemonOne, 20s);
  EXPECT_FALSE(m_daemonOne.m_book->Idle());
  m_appendBehavior = AppendBehavior::Acknowledged;
  AdvanceTime(&m_daemonOne, 3s);
  EXPECT_TRUE(m_daemonOne.m_book->Idle());
  SubmitOrder(&m_daemonTwo, Order(1));
  EXPECT_EQ(Ok, CodeOf(m_daemonTwo, 1));
  EXPECT_EQ(0U, m_daemonOne.m_book->Counters().m_recordsGivenUp);
}

TEST_F(OrderBookTest, OutcomeOlderThanTheMaximumAgeIsGivenUp)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  m_appendBehavior = AppendBehavior::Delayed;
  AnswerFromUpstream(&m_daemonOne, 1);
  m_clock.Advance(m_options.m_maxRecordAge);
  AdvanceTime(&m_daemonOne, 5ms);
  EXPECT_EQ(1U, m_daemonOne.m_book->Counters().m_recordsGivenUp);
  EXPECT_TRUE(m_daemonOne.m_book->Idle());
}

TEST_F(OrderBookTest, UnknownOutcomeIsRecordedAsUnknown)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
    m_daemonOne.m_book->OnUpstreamUnknown(
      RequestId(1), UpstreamFailed, Now(), aActions);
  });
  EXPECT_EQ(UpstreamFailed, CodeOf(m_daemonOne, 1));
  AdvanceTime(&m_daemonOne, 60ms);
  SubmitOrder(&m_daemonTwo, Order(1));
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_daemonTwo, 1));
  EXPECT_EQ(OrderOutcomeUnknown,
            m_daemonTwo.m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now())
              .m_code);
}

TEST_F(OrderBookTest, BodyTooLargeToRecordIsDroppedForRepeats)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  AnswerFromUpstream(
    &m_daemonOne, 1, std::string(m_options.m_maxOutcomeBodyBytes + 1, 'x'));
  EXPECT_FALSE(m_daemonOne.m_answers.at(1).m_result->m_bodyTooLarge);
  SubmitOrder(&m_daemonOne, Order(2));
  EXPECT_TRUE(m_daemonOne.m_answers.at(2).m_result->m_bodyTooLarge);
  EXPECT_TRUE(m_daemonOne.m_answers.at(2).m_result->m_body.empty());
}

// An abandoned order is not sent afterwards; if it was sent already, its
// outcome is recorded.
TEST_F(OrderBookTest, AbandonedOrderGetsNoAnswerAndIsVoidedOrRunsOn)
{
  const struct
  {
    Duration m_after;
    bool m_readHeld;
    std::size_t m_sent;
    std::size_t m_records;
  } cases[] = {
    { 0ms, false, 0, 0 },  // queued: the claim is removed
    { 10ms, true, 0, 2 },  // appended: claim and void
    { 10ms, false, 1, 2 }, // sent: claim and outcome
  };
  for (const auto& [after, readHeld, sent, records] : cases) {
    m_log.clear();
    m_daemonOne = {};
    StartDaemon(&m_daemonOne, "one", 1);
    SubmitOrder(&m_daemonOne, Order(1));
    m_holdReads = readHeld;
    AdvanceTime(&m_daemonOne, after);
    RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
      m_daemonOne.m_book->OnAbandon(RequestId(1), Now(), aActions);
    });
    EXPECT_EQ(sent, m_daemonOne.m_sent.size());
    if (sent > 0) {
      AnswerFromUpstream(&m_daemonOne, 1);
    }
    AdvanceTime(&m_daemonOne, 60ms);
    EXPECT_EQ(records, m_log.size());
    EXPECT_TRUE(m_daemonOne.m_answers.empty());
    EXPECT_TRUE(m_daemonOne.m_book->Idle());
    m_holdReads = false;
  }
}

TEST_F(OrderBookTest, StopRefusesQueuedOrdersAndWaitsForSentOnes)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  OrderRequest queued = Order(2);
  queued.m_key = MakeOrderKey(m_issued, "other");
  SubmitOrder(&m_daemonOne, queued);
  RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
    m_daemonOne.m_book->OnStop(Now(), aActions);
  });
  EXPECT_EQ(Stopping, CodeOf(m_daemonOne, 2));
  EXPECT_FALSE(m_daemonOne.m_book->Idle());
  AnswerFromUpstream(&m_daemonOne, 1);
  AdvanceTime(&m_daemonOne, 60ms);
  EXPECT_TRUE(m_daemonOne.m_book->Idle());
  EXPECT_EQ(2U, m_log.size());
}

TEST_F(OrderBookTest, InvalidKeyOrPassedDeadlineIsRefusedWithoutAnAppend)
{
  OrderRequest expired = Order(1);
  expired.m_key = MakeOrderKey(m_issued - 2h, "valve");
  OrderRequest future = Order(2);
  future.m_key = MakeOrderKey(m_issued + 2min, "valve");
  OrderRequest pastDeadline = Order(3);
  pastDeadline.m_deadline = m_clock.Now();
  const std::pair<OrderRequest, ResultCode> cases[] = {
    { expired, OrderKeyExpired },
    { future, OrderKeyMalformed },
    { pastDeadline, DeadlineTooShort },
  };
  for (const auto& [order, code] : cases) {
    SubmitOrder(&m_daemonOne, order);
    EXPECT_EQ(code, CodeOf(m_daemonOne, order.m_id.Value()));
  }
  EXPECT_EQ(0, m_appends);
}

TEST_F(OrderBookTest, ClaimsAndOutcomesShareOneAppend)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  m_appends = 0;
  for (std::uint64_t id = 2; id < 32; ++id) {
    OrderRequest order = Order(id);
    order.m_key = MakeOrderKey(m_issued, "valve" + std::to_string(id));
    SubmitOrder(&m_daemonOne, order);
  }
  AnswerFromUpstream(&m_daemonOne, 1);
  AdvanceTime(&m_daemonOne, 10ms);
  EXPECT_EQ(1, m_appends);
  EXPECT_EQ(31U, m_daemonOne.m_sent.size());
  EXPECT_EQ(32U, m_log.size());
}

// Read responses that cannot belong to this stream count as failed reads and
// leave the index unchanged.
TEST_F(OrderBookTest, ReadResponsesWithGapsOrAnEarlierEndAreRejected)
{
  SubmitOrder(&m_daemonOne, Order(1));
  AdvanceTime(&m_daemonOne, 10ms);
  m_holdReads = true;
  AdvanceTime(&m_daemonOne, m_options.m_tailInterval + 10ms);
  ASSERT_TRUE(m_heldRead);
  proto::ReadResponse shorter;
  shorter.set_first_offset(1);
  shorter.set_next_offset(1);
  proto::ReadResponse gap = shorter;
  gap.set_next_offset(9);
  gap.add_records()->set_offset(8);
  for (const auto& answer : { shorter, gap }) {
    RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
      m_daemonOne.m_book->OnRecords(0, answer, Now(), aActions);
    });
    EXPECT_TRUE(m_daemonOne.m_book->LogAvailable());
  }
  RunEvent(&m_daemonOne, [&](OrderActions* aActions) {
    m_daemonOne.m_book->OnRecords(0, gap, Now(), aActions);
  });
  EXPECT_FALSE(m_daemonOne.m_book->LogAvailable());
  EXPECT_EQ(OrderRunning,
            m_daemonOne.m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now())
              .m_code);
}

TEST_F(OrderBookTest, InvalidRequestIdsAndCodesThrow)
{
  OrderActions actions;
  OrderBook& book = *m_daemonOne.m_book;
  EXPECT_THROW(book.OnUpstreamAnswer(RequestId(9), {}, Now(), &actions),
               std::invalid_argument);
  SubmitOrder(&m_daemonOne, Order(1));
  EXPECT_THROW(book.OnOrder(Order(1), Now(), &actions), std::invalid_argument);
  EXPECT_THROW(book.OnUpstreamAnswer(RequestId(1), {}, Now(), &actions),
               std::invalid_argument);
  AdvanceTime(&m_daemonOne, 10ms);
  EXPECT_THROW(
    book.OnUpstreamNotSent(RequestId(1), UpstreamFailed, 1s, Now(), &actions),
    std::invalid_argument);
  EXPECT_THROW(
    book.OnUpstreamUnknown(RequestId(1), NoUpstream, Now(), &actions),
    std::invalid_argument);
}

} // namespace
} // namespace walnutwing
