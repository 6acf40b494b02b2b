// Measures order handling: safety over random fault histories, log appends per
// 1,000 orders by load, and replay time and memory of the claim index. Prints
// CSV: measure,variant,value,unit.
//
//   orders_bench [HISTORIES [FIRST_SEED]]      100000 histories by default

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "walnutwing/orders/claim_index.h"
#include "walnutwing/orders/fault_history.h"
#include "walnutwing/orders/order_book.h"

namespace walnutwing {
namespace {

constexpr std::uint64_t kDefaultHistories = 100000;
constexpr std::uint64_t kVariantHistories = 2000;
constexpr std::uint64_t kSeed = 20261203;
const WallTime kIssueTime{ std::chrono::hours(24 * 20000) };

template<typename Value>
void
Print(const std::string& aMeasure,
      const std::string& aVariant,
      Value aValue,
      const std::string& aUnit)
{
  std::cout << aMeasure << ',' << aVariant << ',' << aValue << ',' << aUnit
            << std::endl;
}

template<typename Protocol>
void
MeasureSafety(const std::string& aVariant,
              std::uint64_t aFirstSeed,
              std::uint64_t aHistories)
{
  const auto result = RunFaultHistories<Protocol>(aFirstSeed, aHistories);
  Print("order_histories", aVariant, aHistories, "histories");
  Print("order_requests", aVariant, result.m_orders, "requests");
  Print("order_faults", aVariant, result.m_injectedFaults, "faults");
  Print("orders_run", aVariant, result.m_runs, "runs");
  Print("orders_doubled", aVariant, result.m_duplicateRuns, "runs");
  Print("false_not_run", aVariant, result.m_falseNotRun, "answers");
  Print("order_answers_wrong", aVariant, result.m_wrongAnswers, "answers");
  Print("orders_unanswered", aVariant, result.m_unanswered, "requests");
  Print("not_run_for_repeat_of_run_key",
        aVariant,
        result.m_notRunAfterRun,
        "answers");
}

// Runs an OrderBook against a log that responds to each call after a fixed
// delay and an upstream that responds immediately.
class LoadSimulation
{
public:
  explicit LoadSimulation(std::uint32_t aPartitions)
  {
    m_options.m_partitionCount = aPartitions;
    m_options.m_maxRequests = 100000;
    m_streams.resize(aPartitions);
    m_book = std::make_unique<OrderBook>(m_options, DaemonId("d1"), 1);
  }

  // Submits orders at random times within a minute. Returns log appends per
  // 1,000 orders.
  double RunAndCountAppends(int aPerSecond)
  {
    std::mt19937_64 random(kSeed);
    constexpr int kLengthMs = 60000;
    const int orders = aPerSecond * kLengthMs / 1000;
    std::map<int, int> arrivals;
    for (int i = 0; i < orders; ++i) {
      ++arrivals[static_cast<int>(random() % kLengthMs)];
    }
    for (int ms = 0; ms < kLengthMs + 1000; ++ms) {
      m_clock.Advance(Duration(1));
      for (int i = 0; arrivals.contains(ms) && i < arrivals[ms]; ++i) {
        SubmitOrder();
      }
      ServeDueCalls();
      HandleEvent(
        [&](OrderActions* aActions) { m_book->OnTick(Now(), aActions); });
    }
    return 1000.0 * static_cast<double>(m_book->Counters().m_appends) / orders;
  }

  // Mean bytes of log records per order.
  double BytesPerOrder() const
  {
    std::size_t bytes = 0;
    for (const auto& stream : m_streams) {
      for (const proto::LogRecord& record : stream) {
        bytes += record.body().size();
      }
    }
    return static_cast<double>(bytes) / static_cast<double>(m_lastRequest);
  }

private:
  static constexpr Duration kLogResponseDelay = std::chrono::milliseconds(10);

  struct Call
  {
    Time m_dueAt;
    OrderAction m_action;
  };

  OrderTime Now() const { return { m_clock.Now(), m_clock.WallNow() }; }

  void HandleEvent(const std::function<void(OrderActions*)>& aEvent)
  {
    OrderActions actions;
    aEvent(&actions);
    for (OrderAction& action : actions) {
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        const RequestId id = send->m_request;
        HandleEvent([&](OrderActions* aActions) {
          const OrderResult result{ 200, "application/json", "{\"ok\":true}" };
          m_book->OnUpstreamAnswer(id, result, Now(), aActions);
        });
        continue;
      }
      m_calls.push_back(
        { m_clock.Now() + kLogResponseDelay, std::move(action) });
    }
  }

  void SubmitOrder()
  {
    OrderRequest order;
    order.m_id = RequestId(++m_lastRequest);
    order.m_customer = CustomerId("vodarny-povodi-moravy");
    order.m_key =
      MakeOrderKey(m_clock.WallNow(),
                   "0b8f5c1e-6c0e-4f0a-9f0e-" + std::to_string(m_lastRequest));
    order.m_bodySha256 = std::string(32, 'x');
    order.m_service = ServiceId("valve-dispatch");
    order.m_deadline = m_clock.Now() + std::chrono::seconds(10);
    HandleEvent(
      [&](OrderActions* aActions) { m_book->OnOrder(order, Now(), aActions); });
  }

  void ServeDueCalls()
  {
    while (!m_calls.empty() && m_calls.front().m_dueAt <= m_clock.Now()) {
      const OrderAction action = std::move(m_calls.front().m_action);
      m_calls.pop_front();
      if (const auto* append = std::get_if<AppendRecords>(&action)) {
        ServeAppend(*append);
      } else if (const auto* read = std::get_if<ReadPartition>(&action)) {
        ServeRead(*read);
      }
    }
  }

  void ServeAppend(const AppendRecords& aAppend)
  {
    auto& stream = m_streams[aAppend.m_partition];
    for (const proto::OrderRecord& record : aAppend.m_records) {
      proto::LogRecord& entry = stream.emplace_back();
      entry.set_offset(stream.size());
      entry.set_at_ms(m_clock.WallNow().time_since_epoch().count());
      entry.set_body(record.SerializeAsString());
    }
    HandleEvent([&](OrderActions* aActions) {
      m_book->OnAppendResult(
        aAppend.m_batch, AppendStatus::Acked, Now(), aActions);
    });
  }

  void ServeRead(const ReadPartition& aRead)
  {
    const auto& stream = m_streams[aRead.m_partition];
    proto::ReadResponse answer;
    answer.set_first_offset(1);
    answer.set_next_offset(stream.size() + 1);
    for (std::size_t i = aRead.m_from.Value() - 1; i < stream.size(); ++i) {
      *answer.add_records() = stream[i];
    }
    HandleEvent([&](OrderActions* aActions) {
      m_book->OnRecords(aRead.m_partition, answer, Now(), aActions);
    });
  }

  OrderBookOptions m_options;
  PausedClock m_clock;
  std::unique_ptr<OrderBook> m_book;
  std::deque<Call> m_calls;
  std::vector<std::vector<proto::LogRecord>> m_streams;
  std::uint64_t m_lastRequest = 0;
};

void
MeasureLoad()
{
  for (const int perSecond : { 1, 10, 52, 130, 260, 520 }) {
    for (const std::uint32_t partitions : { 1U, 16U }) {
      const std::string variant = std::to_string(perSecond) + "/s in " +
                                  std::to_string(partitions) + " partitions";
      LoadSimulation run(partitions);
      Print("order_appends",
            variant,
            run.RunAndCountAppends(perSecond),
            "appends per 1000 orders");
      Print("order_log_bytes", variant, run.BytesPerOrder(), "bytes per order");
    }
  }
}

// The claims and outcomes of aKeys orders as the stream of one partition.
std::vector<proto::LogRecord>
MakeStream(int aKeys)
{
  std::vector<proto::LogRecord> stream;
  for (int i = 0; i < 2 * aKeys; ++i) {
    proto::OrderRecord record;
    const OrderKey key = MakeOrderKey(
      kIssueTime, "0b8f5c1e-6c0e-4f0a-9f0e-" + std::to_string(i / 2));
    const ClaimId claim{ DaemonId("entry-vm-217"),
                         kSeed,
                         static_cast<std::uint64_t>(i / 2) };
    const auto fill = [&](auto* aMessage) {
      aMessage->set_customer("vodarny-povodi-moravy");
      aMessage->set_key(key.Value());
      *aMessage->mutable_claim() = ToProto(claim);
    };
    if (i % 2 == 0) {
      fill(record.mutable_claim());
      record.mutable_claim()->set_body_sha256(std::string(32, 'x'));
      record.mutable_claim()->set_service("valve-dispatch");
    } else {
      fill(record.mutable_outcome());
      record.mutable_outcome()->set_http_status(200);
      record.mutable_outcome()->set_body("{\"ok\":true}");
    }
    proto::LogRecord& entry = stream.emplace_back();
    entry.set_offset(stream.size());
    entry.set_at_ms(kIssueTime.time_since_epoch().count() + i);
    entry.set_body(record.SerializeAsString());
  }
  return stream;
}

void
MeasureReplay()
{
  constexpr int kRecordsPerUnit = 100000;
  for (const int keys : { 50000, 200000 }) {
    const std::vector<proto::LogRecord> stream = MakeStream(keys);
    const std::size_t heapBefore = mallinfo2().uordblks;
    const auto start = std::chrono::steady_clock::now();
    ClaimIndexOptions options;
    options.m_maxBodyBytes = std::size_t{ 64 } << 20;
    ClaimIndex index(options);
    for (const proto::LogRecord& record : stream) {
      index.Apply(record);
    }
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - start;
    const std::size_t heap = mallinfo2().uordblks - heapBefore;
    const std::string variant = std::to_string(stream.size()) + " records";
    Print("claims_replay",
          variant,
          took.count() * kRecordsPerUnit / static_cast<double>(stream.size()),
          "ms per 100000 records");
    Print("claim_index_estimate",
          variant,
          index.MemoryBytes() / index.KeyCount(),
          "bytes per key");
    Print(
      "claim_index_heap", variant, heap / index.KeyCount(), "bytes per key");
  }
}

void
Main(std::uint64_t aHistories, std::uint64_t aFirstSeed)
{
  std::cout << "measure,variant,value,unit\n";
  Print("order_first_seed", "all", aFirstSeed, "seed");
  MeasureReplay();
  MeasureLoad();
  MeasureSafety<LeaseClaims>("lease claims", aFirstSeed, kVariantHistories);
  MeasureSafety<SendOnAck>("send on ack", aFirstSeed, kVariantHistories);
  MeasureSafety<NoIssueTime>("no issue time", aFirstSeed, kVariantHistories);
  MeasureSafety<NotRunWhenLost>(
    "not run when lost", aFirstSeed, kVariantHistories);
  MeasureSafety<CorrectProtocol>("walnutwing", aFirstSeed, aHistories);
}

} // namespace
} // namespace walnutwing

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  const std::uint64_t histories = arguments.empty()
                                    ? walnutwing::kDefaultHistories
                                    : std::stoull(arguments[0]);
  const std::uint64_t firstSeed =
    arguments.size() < 2 ? 1 : std::stoull(arguments[1]);
  walnutwing::Main(histories, firstSeed);
  return 0;
}
