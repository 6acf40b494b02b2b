#include "walnutwing/orders/order_book.h"

#include <functional>
#include <optional>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using namespace std::chrono_literals;
using enum ResultCode;

// What becomes of an append.
enum class Fate
{
  Taken,
  TakenButLost,
  Late, // the answer is lost; takes effect with LandLate
  Refused,
};

// One partition of the log, the clocks, and one or more order books. It serves
// the books' actions at once and notes what they send and answer.
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
    StartDaemon(&m_one, "one", 1);
    StartDaemon(&m_two, "two", 1);
  }

  void StartDaemon(Daemon* aDaemon,
                   const std::string& aName,
                   std::uint64_t aLife)
  {
    aDaemon->m_book =
      std::make_unique<OrderBook>(m_options, DaemonId(aName), aLife);
  }

  OrderTime Now() const
  {
    return { m_clock.Now(), m_clock.WallNow() + m_jump };
  }

  OrderRequest Order(std::uint64_t aId, const std::string& aBody = "body") const
  {
    return { RequestId(aId), CustomerId("c"), MakeOrderKey(m_issued, "valve"),
             aBody,          ServiceId("s"),  m_clock.Now() + 10s };
  }

  // Hands in an event and serves the actions that follow.
  void Do(Daemon* aDaemon, const std::function<void(OrderActions*)>& aEvent)
  {
    OrderActions actions;
    aEvent(&actions);
    for (const OrderAction& action : actions) {
      std::visit([&](const auto& aAction) { Serve(aDaemon, aAction); }, action);
    }
  }

  void Take(Daemon* aDaemon, const OrderRequest& aOrder)
  {
    Do(aDaemon, [&](OrderActions* aActions) {
      aDaemon->m_book->OnOrder(aOrder, Now(), aActions);
    });
  }

  // Lets time pass in steps of 5 ms.
  void Pass(Daemon* aDaemon, Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 5ms) {
      m_clock.Advance(5ms);
      Do(aDaemon, [&](OrderActions* aActions) {
        aDaemon->m_book->OnTick(Now(), aActions);
      });
    }
  }

  void Finish(Daemon* aDaemon,
              std::uint64_t aId,
              const std::string& aBody = "done")
  {
    Do(aDaemon, [&](OrderActions* aActions) {
      OrderResult result;
      result.m_httpStatus = 200;
      result.m_body = aBody;
      aDaemon->m_book->OnUpstreamAnswer(
        RequestId(aId), result, Now(), aActions);
    });
  }

  void Serve(Daemon* aDaemon, const AppendRecords& aAppend)
  {
    ++m_appends;

    if (m_fate == Fate::Late) {
      m_late.insert(
        m_late.end(), aAppend.m_records.begin(), aAppend.m_records.end());
    }
    if (m_fate == Fate::Taken || m_fate == Fate::TakenButLost) {
      Land(aAppend.m_records);
    }
    const AppendStatus status = m_fate == Fate::Taken ? AppendStatus::Acked
                                : m_fate == Fate::Refused
                                  ? AppendStatus::Refused
                                  : AppendStatus::Lost;
    Do(aDaemon, [&](OrderActions* aActions) {
      aDaemon->m_book->OnAppendResult(aAppend.m_batch, status, Now(), aActions);
    });
  }

  void Serve(Daemon* aDaemon, const ReadPartition& aRead)
  {
    if (m_holdReads) {
      m_heldRead = aRead;
      return;
    }
    Do(aDaemon, [&](OrderActions* aActions) {
      if (m_readsFail) {
        aDaemon->m_book->OnReadFailed(0, Now(), aActions);
        return;
      }
      aDaemon->m_book->OnRecords(0, Read(aRead.m_from), Now(), aActions);
    });
  }

  static void Serve(Daemon* aDaemon, const SendOrder& aSend)
  {
    aDaemon->m_sent.push_back(aSend.m_request);
  }

  static void Serve(Daemon* aDaemon, const AnswerOrder& aAnswer)
  {
    EXPECT_TRUE(
      aDaemon->m_answers.emplace(aAnswer.m_request.Value(), aAnswer).second);
  }

  void Land(const std::vector<proto::OrderRecord>& aRecords)
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
  Duration m_jump{}; // of the wall clock alone
  const WallTime m_issued =
    std::chrono::floor<std::chrono::seconds>(m_clock.WallNow());
  std::vector<proto::LogRecord> m_log;
  std::vector<proto::OrderRecord> m_late;
  Fate m_fate = Fate::Taken;
  bool m_readsFail = false;
  bool m_holdReads = false;

  std::optional<ReadPartition> m_heldRead;
  int m_appends = 0;
  Daemon m_one;
  Daemon m_two;
};

TEST_F(OrderBookTest, RunsOnceAndRepeatsTheRecordedAnswer)
{
  Take(&m_one, Order(1));
  EXPECT_TRUE(m_one.m_sent.empty());
  Pass(&m_one, 10ms);
  ASSERT_EQ(std::vector{ RequestId(1) }, m_one.m_sent);
  Take(&m_one, Order(2));
  EXPECT_EQ(OrderRunning, CodeOf(m_one, 2));
  Take(&m_one, Order(3, "another body"));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_one, 3));

  Finish(&m_one, 1);
  EXPECT_EQ("done", m_one.m_answers.at(1).m_result->m_body);
  EXPECT_FALSE(m_one.m_answers.at(1).m_repeated);
  Take(&m_one, Order(4));
  EXPECT_EQ("done", m_one.m_answers.at(4).m_result->m_body);
  EXPECT_TRUE(m_one.m_answers.at(4).m_repeated);
  EXPECT_FALSE(m_one.m_book->Idle());
  Pass(&m_one, 60ms);
  EXPECT_TRUE(m_one.m_book->Idle());
  EXPECT_EQ(2, m_appends);

  Take(&m_two, Order(1));
  EXPECT_EQ("done", m_two.m_answers.at(1).m_result->m_body);
  Take(&m_two, Order(2, "another body"));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_two, 2));
  EXPECT_EQ(2, m_appends);
}

TEST_F(OrderBookTest, TheFirstOfTwoDaemonsInTheLogSends)
{
  // Both have read the empty log, so that both claim.
  for (Daemon* daemon : { &m_one, &m_two }) {
    Do(daemon, [&](OrderActions* aActions) {
      daemon->m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now());
      daemon->m_book->OnTick(Now(), aActions);
    });
  }
  Take(&m_two, Order(1));
  Take(&m_one, Order(1));
  Pass(&m_one, 5ms);
  Pass(&m_two, 5ms);
  EXPECT_EQ(2U, m_log.size());
  EXPECT_EQ(1U, m_one.m_sent.size());
  EXPECT_TRUE(m_two.m_sent.empty());
  EXPECT_EQ(OrderRunning, CodeOf(m_two, 1));
}

TEST_F(OrderBookTest, AnAcknowledgedAppendAloneSendsNothing)
{
  Take(&m_one, Order(1));
  m_holdReads = true;
  Pass(&m_one, 100ms);
  EXPECT_EQ(1U, m_log.size());
  EXPECT_TRUE(m_one.m_sent.empty());
}

TEST_F(OrderBookTest, FindsAClaimWhoseAnswerWasLost)
{
  Take(&m_one, Order(1));
  m_fate = Fate::TakenButLost;
  Pass(&m_one, 10ms);
  EXPECT_EQ(1U, m_one.m_sent.size());
  EXPECT_EQ(1U, m_log.size());
}

TEST_F(OrderBookTest, NeverSendsForAClaimThatComesAfterItWasGivenUp)
{
  Take(&m_one, Order(1));
  m_fate = Fate::Late;
  Pass(&m_one, 10ms);
  m_fate = Fate::Taken;
  Pass(&m_one, m_options.m_claimTimeout + 100ms);
  EXPECT_EQ(ClaimsUnavailable, CodeOf(m_one, 1));
  Land(m_late);
  Pass(&m_one, m_options.m_tailInterval);
  EXPECT_TRUE(m_one.m_sent.empty());
  EXPECT_EQ(2U, m_log.size()); // the void, then the late claim: no second one

  Take(&m_two, Order(1));
  Pass(&m_two, 10ms);
  EXPECT_EQ(1U, m_two.m_sent.size()) << "the void frees the key";
}

// Freezes the daemon while its claim is in the log and not read back.
TEST_F(OrderBookTest, SendsNothingAfterTheDeadline)
{
  const struct
  {
    Duration m_frozen;
    Duration m_suspended; // only the wall clock goes on
    bool m_sends;
  } cases[] = { { 9s, 0s, true }, { 11s, 0s, false }, { 0s, 11s, false } };
  for (const auto& [frozen, suspended, sends] : cases) {
    m_log.clear();
    m_one = {};
    StartDaemon(&m_one, "one", 1);
    m_holdReads = false;
    Take(&m_one, Order(1));
    m_holdReads = true;
    Pass(&m_one, 5ms);
    m_clock.Advance(frozen);
    m_jump = suspended;
    m_holdReads = false;
    Serve(&m_one, *m_heldRead);
    EXPECT_EQ(sends ? 1U : 0U, m_one.m_sent.size());
    EXPECT_EQ(sends ? std::nullopt : std::optional(OrderVoided),
              CodeOf(m_one, 1));
    m_jump = {};
  }
}

TEST_F(OrderBookTest, ARestartedDaemonNeverSendsForItsOldClaim)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  ASSERT_EQ(1U, m_one.m_sent.size());
  m_one = {};
  StartDaemon(&m_one, "one", 2);
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_one, 1));
  EXPECT_TRUE(m_one.m_sent.empty());
  // Another daemon cannot know of the restart: running, and later unknown.
  Take(&m_two, Order(1));
  EXPECT_EQ(OrderRunning, CodeOf(m_two, 1));
  m_clock.Advance(m_options.m_runningFor);
  Take(&m_two, Order(2));
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_two, 2));
}

TEST_F(OrderBookTest, RefusesAtOnceWhileTheLogIsDown)
{
  const std::pair<Fate, bool> outages[] = { { Fate::Late, false },
                                            { Fate::Refused, false },
                                            { Fate::Late, true } };
  std::uint64_t id = 0;
  const auto next = [&] {
    OrderRequest order = Order(++id);
    order.m_key = MakeOrderKey(m_issued, "valve" + std::to_string(id));
    Take(&m_one, order);
  };
  for (const auto& [fate, readsFail] : outages) {
    m_fate = fate;
    m_readsFail = readsFail;
    for (int i = 0; i < 4 && m_one.m_book->LogAvailable(); ++i) {
      next();
      for (int j = 0; j < 600 && m_one.m_book->LogAvailable(); ++j) {
        Pass(&m_one, 5ms);
      }
    }
    ASSERT_FALSE(m_one.m_book->LogAvailable());
    next();
    EXPECT_EQ(ClaimsUnavailable, CodeOf(m_one, id));
    EXPECT_EQ(m_options.m_retryAfter, m_one.m_answers.at(id).m_retryAfter);
    EXPECT_TRUE(m_one.m_sent.empty());

    m_fate = Fate::Taken;
    m_readsFail = false;
    Pass(&m_one, 2 * m_options.m_retryAfter);
    next();
    Pass(&m_one, 10ms);
    EXPECT_EQ(std::vector{ RequestId(id) }, m_one.m_sent);
    Do(&m_one, [&](OrderActions* aActions) {
      m_one.m_book->OnUpstreamNotSent(
        RequestId(id), UpstreamUnreachable, 1s, Now(), aActions);
    });
    EXPECT_EQ(UpstreamUnreachable, CodeOf(m_one, id));
    m_one.m_sent.clear();
  }
  for (const auto& [request, answer] : m_one.m_answers) {
    EXPECT_EQ(Ran::NotRun, RowOf(answer.m_code).m_ran) << request;
  }
  EXPECT_EQ(id, m_one.m_answers.size());
}

// A holder without a result may have been voided since it was read.
TEST_F(OrderBookTest, CallsNoKeyReusedForAClaimThatMayBeVoid)
{
  Take(&m_one, Order(1, "another body"));
  Pass(&m_one, 10ms);
  Take(&m_two, Order(1));
  EXPECT_EQ(OrderKeyReused, CodeOf(m_two, 1));
  Do(&m_one, [&](OrderActions* aActions) {
    m_one.m_book->OnUpstreamNotSent(
      RequestId(1), UpstreamUnreachable, 1s, Now(), aActions);
  });
  Pass(&m_one, 60ms);
  Take(&m_one, Order(2));
  Pass(&m_one, 10ms);
  ASSERT_EQ(2U, m_one.m_sent.size());

  m_holdReads = true;
  Take(&m_two, Order(2));
  EXPECT_EQ(std::nullopt, CodeOf(m_two, 2));
  m_holdReads = false;
  Serve(&m_two, *m_heldRead);
  EXPECT_EQ(OrderRunning, CodeOf(m_two, 2));
}

TEST_F(OrderBookTest, RecordsTheOutcomeWhenTheLogComesBack)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  m_fate = Fate::Late;
  Finish(&m_one, 1);
  EXPECT_EQ(Ok, CodeOf(m_one, 1)) << "the caller does not wait for the record";
  Pass(&m_one, 20s);
  EXPECT_FALSE(m_one.m_book->Idle());
  m_fate = Fate::Taken;
  Pass(&m_one, 3s);
  EXPECT_TRUE(m_one.m_book->Idle());
  Take(&m_two, Order(1));
  EXPECT_EQ(Ok, CodeOf(m_two, 1));
  EXPECT_EQ(0U, m_one.m_book->Counters().m_recordsAbandoned);
}

TEST_F(OrderBookTest, GivesUpARecordThatIsTooOld)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  m_fate = Fate::Late;
  Finish(&m_one, 1);
  m_clock.Advance(m_options.m_recordRetryFor);
  Pass(&m_one, 5ms);
  EXPECT_EQ(1U, m_one.m_book->Counters().m_recordsAbandoned);
  EXPECT_TRUE(m_one.m_book->Idle());
}

TEST_F(OrderBookTest, RecordsWhatIsKnownOfTheEnd)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  Do(&m_one, [&](OrderActions* aActions) {
    m_one.m_book->OnUpstreamUnknown(
      RequestId(1), UpstreamFailed, Now(), aActions);
  });
  EXPECT_EQ(UpstreamFailed, CodeOf(m_one, 1));
  Pass(&m_one, 60ms);
  Take(&m_two, Order(1));
  EXPECT_EQ(OrderOutcomeUnknown, CodeOf(m_two, 1));
  EXPECT_EQ(
    OrderOutcomeUnknown,
    m_two.m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now()).m_code);
}

TEST_F(OrderBookTest, DropsABodyThatIsTooLargeToRecord)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  Finish(&m_one, 1, std::string(m_options.m_maxOutcomeBody + 1, 'x'));
  EXPECT_FALSE(m_one.m_answers.at(1).m_result->m_bodyTooLarge);
  Take(&m_one, Order(2));
  EXPECT_TRUE(m_one.m_answers.at(2).m_result->m_bodyTooLarge);
  EXPECT_TRUE(m_one.m_answers.at(2).m_result->m_body.empty());
}

// A caller that has gone gets no answer; its order is sent only if it was.
TEST_F(OrderBookTest, AbandonedOrders)
{
  const struct
  {
    Duration m_after;
    bool m_readHeld;
    std::size_t m_sent;
    std::size_t m_records;
  } cases[] = {
    { 0ms, false, 0, 0 },  // queued: nothing is left
    { 10ms, true, 0, 2 },  // appended: claim and void
    { 10ms, false, 1, 2 }, // sent: claim and outcome
  };
  for (const auto& [after, readHeld, sent, records] : cases) {
    m_log.clear();
    m_one = {};
    StartDaemon(&m_one, "one", 1);
    Take(&m_one, Order(1));
    m_holdReads = readHeld;
    Pass(&m_one, after);
    Do(&m_one, [&](OrderActions* aActions) {
      m_one.m_book->OnAbandon(RequestId(1), Now(), aActions);
    });
    EXPECT_EQ(sent, m_one.m_sent.size());
    if (sent > 0) {
      Finish(&m_one, 1);
    }
    Pass(&m_one, 60ms);
    EXPECT_EQ(records, m_log.size());
    EXPECT_TRUE(m_one.m_answers.empty());
    EXPECT_TRUE(m_one.m_book->Idle());
    m_holdReads = false;
  }
}

TEST_F(OrderBookTest, StopsWhenItsOrdersHaveEnded)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  OrderRequest queued = Order(2);
  queued.m_key = MakeOrderKey(m_issued, "other");
  Take(&m_one, queued);
  Do(&m_one,
     [&](OrderActions* aActions) { m_one.m_book->OnStop(Now(), aActions); });
  EXPECT_EQ(Stopping, CodeOf(m_one, 2));
  EXPECT_FALSE(m_one.m_book->Idle());
  Finish(&m_one, 1);
  Pass(&m_one, 60ms);
  EXPECT_TRUE(m_one.m_book->Idle());
  EXPECT_EQ(2U, m_log.size());
}

TEST_F(OrderBookTest, RefusesWithoutAClaim)
{
  OrderRequest expired = Order(1);
  expired.m_key = MakeOrderKey(m_issued - 2h, "valve");
  OrderRequest future = Order(2);
  future.m_key = MakeOrderKey(m_issued + 2min, "valve");
  OrderRequest late = Order(3);
  late.m_deadline = m_clock.Now();
  const std::pair<OrderRequest, ResultCode> cases[] = {
    { expired, OrderKeyExpired },
    { future, OrderKeyMalformed },
    { late, DeadlineTooShort },
  };
  for (const auto& [order, code] : cases) {
    Take(&m_one, order);
    EXPECT_EQ(code, CodeOf(m_one, order.m_id.Value()));
  }
  EXPECT_EQ(0, m_appends);
}

TEST_F(OrderBookTest, OneAppendCarriesManyClaimsAndOutcomes)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  m_appends = 0;
  for (std::uint64_t id = 2; id < 32; ++id) {
    OrderRequest order = Order(id);
    order.m_key = MakeOrderKey(m_issued, "valve" + std::to_string(id));
    Take(&m_one, order);
  }
  Finish(&m_one, 1);
  Pass(&m_one, 10ms);
  EXPECT_EQ(1, m_appends);
  EXPECT_EQ(31U, m_one.m_sent.size());
  EXPECT_EQ(32U, m_log.size());
}

// Reads that cannot be of this stream count as failures and change nothing.
TEST_F(OrderBookTest, RejectsAnswersThatDoNotFit)
{
  Take(&m_one, Order(1));
  Pass(&m_one, 10ms);
  m_holdReads = true;
  Pass(&m_one, m_options.m_tailInterval + 10ms);
  ASSERT_TRUE(m_heldRead);
  proto::ReadResponse shorter;
  shorter.set_first_offset(1);
  shorter.set_next_offset(1);
  proto::ReadResponse hole = shorter;
  hole.set_next_offset(9);
  hole.add_records()->set_offset(8);
  for (const auto& answer : { shorter, hole }) {
    Do(&m_one, [&](OrderActions* aActions) {
      m_one.m_book->OnRecords(0, answer, Now(), aActions);
    });
    EXPECT_TRUE(m_one.m_book->LogAvailable());
  }
  Do(&m_one, [&](OrderActions* aActions) {
    m_one.m_book->OnRecords(0, hole, Now(), aActions);
  });
  EXPECT_FALSE(m_one.m_book->LogAvailable());
  EXPECT_EQ(
    OrderRunning,
    m_one.m_book->StatusOf(CustomerId("c"), Order(1).m_key, Now()).m_code);
}

TEST_F(OrderBookTest, ThrowsAtProgrammingErrors)
{
  OrderActions actions;
  OrderBook& book = *m_one.m_book;
  EXPECT_THROW(book.OnUpstreamAnswer(RequestId(9), {}, Now(), &actions),
               std::invalid_argument);
  Take(&m_one, Order(1));
  EXPECT_THROW(book.OnOrder(Order(1), Now(), &actions), std::invalid_argument);
  EXPECT_THROW(book.OnUpstreamAnswer(RequestId(1), {}, Now(), &actions),
               std::invalid_argument);
  Pass(&m_one, 10ms);
  EXPECT_THROW(
    book.OnUpstreamNotSent(RequestId(1), UpstreamFailed, 1s, Now(), &actions),
    std::invalid_argument);
  EXPECT_THROW(
    book.OnUpstreamUnknown(RequestId(1), NoUpstream, Now(), &actions),
    std::invalid_argument);
}

} // namespace
} // namespace walnutwing
