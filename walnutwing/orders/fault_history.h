#ifndef WALNUTWING_ORDERS_FAULT_HISTORY_H_
#define WALNUTWING_ORDERS_FAULT_HISTORY_H_

// For tests and the bench only: one random history of callers, daemons, log
// and upstream under faults, on a paused clock. It drives OrderBooks through
// their events and actions, records each run at the upstream, and compares the
// answers with those of a naive router: one process that runs an order when it
// first sees its key and repeats the result ever after.
//
// Faults: answers of the log lost before or after the append took effect, late
// effects, appends that take effect twice, refusals, outages, daemons cut from
// the log, killed and restarted or frozen between any two actions, clocks that
// differ, records that expire, calls to the upstream that fail before or after
// they ran. Everything follows from the seed.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "walnutwing/orders/order_book.h"

namespace walnutwing {

// The protocol as it is meant, and broken ones that the checks must catch.
struct CorrectProtocol
{
  static constexpr bool kClaimsLapse = false;
  static constexpr bool kSendOnAck = false;
  static constexpr bool kNoIssueTime = false;
  static constexpr bool kNotRunWhenLost = false;
};

// A claim without an outcome is a lease that anyone may end.
struct LeaseClaims : CorrectProtocol
{
  static constexpr bool kClaimsLapse = true;
};

// An order is sent when the append is acknowledged, without reading it back.
struct SendOnAck : CorrectProtocol
{
  static constexpr bool kSendOnAck = true;
};

// Keys may be used for longer than the log keeps records.
struct NoIssueTime : CorrectProtocol
{
  static constexpr bool kNoIssueTime = true;
};

// A call to the upstream without an answer is reported as not sent.
struct NotRunWhenLost : CorrectProtocol
{
  static constexpr bool kNotRunWhenLost = true;
};

struct FaultHistoryOptions
{
  std::uint64_t m_seed = 1;
  int m_daemons = 3;
  int m_orders = 14;
  int m_keys = 3;
  bool m_faults = true;
  Duration m_span = std::chrono::seconds(100); // over which orders arrive
};

struct FaultHistoryResult
{
  int m_orders = 0;
  int m_runs = 0;
  int m_keysRun = 0;
  int m_keysOrdered = 0;
  int m_duplicateRuns = 0; // runs of a key beyond its first
  int m_falseNotRun = 0;   // requests told "not run" that ran, then or later
  int m_wrongAnswers = 0;  // results that the naive router would not give
  int m_unanswered = 0;    // requests without an answer whose daemon lived on
  int m_doubleAnswers = 0;
  int m_notRunAfterRun = 0; // "not run" of a repeat whose key ran earlier
  int m_injectedFaults = 0;
  std::map<ResultCode, int> m_codes;
  std::uint64_t m_appends = 0;

  void Add(const FaultHistoryResult& aOther)
  {
    m_orders += aOther.m_orders;
    m_runs += aOther.m_runs;
    m_duplicateRuns += aOther.m_duplicateRuns;
    m_keysRun += aOther.m_keysRun;
    m_keysOrdered += aOther.m_keysOrdered;
    m_falseNotRun += aOther.m_falseNotRun;
    m_wrongAnswers += aOther.m_wrongAnswers;
    m_unanswered += aOther.m_unanswered;
    m_doubleAnswers += aOther.m_doubleAnswers;
    m_notRunAfterRun += aOther.m_notRunAfterRun;
    m_injectedFaults += aOther.m_injectedFaults;
    m_appends += aOther.m_appends;
    for (const auto& [code, count] : aOther.m_codes) {
      m_codes[code] += count;
    }
  }
};

template<typename Protocol>
class FaultHistory
{
public:
  explicit FaultHistory(const FaultHistoryOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    m_bookOptions.m_key.m_lifetime = Protocol::kNoIssueTime
                                       ? std::chrono::hours(1)
                                       : Duration(std::chrono::seconds(40));
    m_bookOptions.m_key.m_maxSkew = std::chrono::seconds(2);
    m_bookOptions.m_partitionCount = 2;
    m_bookOptions.m_maxBatchRecords = 4;
    m_bookOptions.m_outcomeDelay = std::chrono::milliseconds(20);
    m_bookOptions.m_maxDeadline = kMaxDeadline;
    m_bookOptions.m_runningFor = std::chrono::seconds(15);
    m_bookOptions.m_partitionIdle = std::chrono::seconds(20);
  }

  FaultHistoryResult Run()
  {
    m_log.resize(m_bookOptions.m_partitionCount);
    for (int i = 0; i < m_options.m_daemons; ++i) {
      m_nodes.emplace_back();
      m_nodes.back().m_skew =
        Duration(Pick(kMaxClockError) - Pick(kMaxClockError));
      Start(i);
    }
    for (int i = 0; i < m_options.m_orders; ++i) {
      ScheduleOrder();
    }
    if (m_options.m_faults) {
      ScheduleFaults();
    }
    while (!m_events.empty()) {
      const auto next = m_events.begin();
      m_now = next->first;
      const std::function<void()> run = std::move(next->second);
      m_events.erase(next);
      run();
    }
    return Judge();
  }

private:
  static constexpr Duration kMaxDeadline = std::chrono::seconds(8);
  static constexpr Duration kRetention = std::chrono::seconds(55);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  static constexpr int kMaxClockError = 900; // ms
  static constexpr int kReadLimit = 5;       // records an answer
  static constexpr Duration kTick = std::chrono::milliseconds(20);

  struct Node
  {
    std::unique_ptr<OrderBook> m_book;
    std::uint64_t m_life = 0; // starts so far
    Duration m_skew{};        // of its wall clock
    Time m_frozenUntil{};
    Time m_cutUntil{};
    bool m_tickPending = false;
    std::map<std::uint64_t, std::size_t> m_requests; // request id to caller's
  };

  struct Caller
  {
    std::string m_key;
    std::string m_body;
    bool m_answered = false;
    bool m_abandoned = false;
    bool m_daemonDied = false;
    ResultCode m_code = ResultCode::Ok;
    std::string m_result;
    bool m_keyRanAtArrival = false;
    bool m_keyRanBefore = false; // its answer
  };

  struct UpstreamRun
  {
    std::size_t m_caller;
    std::string m_result;
  };

  std::uint64_t Pick(std::uint64_t aCount) { return m_random() % aCount; }
  bool Chance(std::uint64_t aPercent)
  {
    return m_options.m_faults && Pick(100) < aPercent;
  }
  Duration Millis(std::uint64_t aLow, std::uint64_t aHigh)
  {
    return Duration(aLow + Pick(aHigh - aLow + 1));
  }
  // Mostly short, at times longer than any timeout.
  Duration CallDelay() { return Chance(6) ? Millis(300, 9000) : Millis(1, 15); }

  WallTime TrueWall() const
  {
    return WallTime(std::chrono::hours(24 * 20000)) + (m_now - kStart);
  }
  OrderTime TimeOf(const Node& aNode) const
  {
    return { m_now, TrueWall() + aNode.m_skew };
  }

  void After(Duration aDelay, std::function<void()> aRun)
  {
    m_events.emplace(m_now + aDelay, std::move(aRun));
  }

  // Runs an event in a daemon: not if it was killed since, and only when it
  // thaws if it is frozen.
  void InNode(int aNode, Duration aDelay, std::function<void(Node&)> aRun)
  {
    const std::uint64_t life = m_nodes[aNode].m_life;
    After(aDelay, [this, aNode, life, run = std::move(aRun)] {
      Node& node = m_nodes[aNode];
      if (node.m_life != life) {
        return;
      }
      if (node.m_frozenUntil > m_now) {
        InNode(aNode, node.m_frozenUntil - m_now, run);
        return;
      }
      run(node);
    });
  }

  // Hands an event to the book, then carries out the actions.
  void Event(int aNode,
             Duration aDelay,
             std::function<void(Node&, OrderActions*)> aEvent)
  {
    InNode(
      aNode, aDelay, [this, aNode, event = std::move(aEvent)](Node& aBooked) {
        OrderActions actions;
        event(aBooked, &actions);
        CarryOut(aNode, std::move(actions), 0);
        ScheduleTick(aNode);
      });
  }

  void ScheduleTick(int aNode)
  {
    Node& node = m_nodes[aNode];
    if (node.m_tickPending || !node.m_book || node.m_book->Idle()) {
      return;
    }
    node.m_tickPending = true;
    Event(aNode, kTick, [this](Node& aBooked, OrderActions* aActions) {
      aBooked.m_tickPending = false;
      aBooked.m_book->OnTick(TimeOf(aBooked), aActions);
    });
  }

  // Carries out actions from aFirst on; a daemon may be killed or frozen
  // between any two of them.
  void CarryOut(int aNode, OrderActions aActions, std::size_t aFirst)
  {
    for (std::size_t i = aFirst; i < aActions.size(); ++i) {
      if (Chance(1)) {
        ++m_result.m_injectedFaults;
        if (Chance(40)) {
          Restart(aNode);
          return;
        }
        m_nodes[aNode].m_frozenUntil = m_now + Millis(100, 70000);
        InNode(aNode,
               Duration{},
               [this, aNode, actions = std::move(aActions), i](Node&) {
                 CarryOut(aNode, actions, i);
               });
        return;
      }
      std::visit([&](const auto& aAction) { Do(aNode, aAction); }, aActions[i]);
    }
  }

  void Do(int aNode, const AppendRecords& aAppend)
  {
    ++m_result.m_appends;
    const auto report = [&](AppendStatus aStatus, Duration aDelay) {
      Event(aNode,
            aDelay,
            [this, id = aAppend.m_batch, aStatus](Node& aBooked,
                                                  OrderActions* aActions) {
              aBooked.m_book->OnAppendResult(
                id, aStatus, TimeOf(aBooked), aActions);
            });
    };
    const Duration effect = CallDelay();
    if (LogDownFor(aNode) || Chance(8)) {
      ++m_result.m_injectedFaults;
      if (Chance(30)) {
        report(AppendStatus::Refused, Millis(1, 20));
        return;
      }
      report(AppendStatus::Lost, kCallTimeout);
      if (Chance(50)) {
        TakeEffect(aAppend, effect);
      }
      return;
    }
    TakeEffect(aAppend, effect);
    if (Chance(3)) {
      TakeEffect(aAppend, effect + CallDelay());
    }
    const Duration answer = effect + CallDelay();
    report(answer < kCallTimeout ? AppendStatus::Acked : AppendStatus::Lost,
           std::min(answer, kCallTimeout));
    if (Protocol::kSendOnAck && answer < kCallTimeout) {
      SendClaims(aNode, aAppend, answer);
    }
  }

  void SendClaims(int aNode, const AppendRecords& aAppend, Duration aDelay)
  {
    for (const proto::OrderRecord& record : aAppend.m_records) {
      if (!record.has_claim()) {
        continue;
      }
      const std::uint64_t sequence = record.claim().claim().sequence();
      InNode(aNode,
             aDelay,
             [this, key = record.claim().key(), sequence](Node& aOwner) {
               RunUpstream(ClaimCaller(aOwner, key, sequence), Duration{});
             });
    }
  }

  // Only for SendOnAck: the latest caller of the key at this daemon.
  std::size_t ClaimCaller(const Node& aNode,
                          const std::string& aKey,
                          std::uint64_t /*aSequence*/) const
  {
    std::size_t latest = 0;
    for (const auto& [id, caller] : aNode.m_requests) {
      latest = m_callers[caller].m_key == aKey ? caller : latest;
    }
    return latest;
  }

  void TakeEffect(const AppendRecords& aAppend, Duration aDelay)
  {
    After(aDelay,
          [this, partition = aAppend.m_partition, records = aAppend.m_records] {
            for (const proto::OrderRecord& record : records) {
              AppendToLog(partition, record);
              if (Protocol::kClaimsLapse && record.has_claim()) {
                ScheduleLapse(partition, record.claim());
              }
            }
          });
  }

  void AppendToLog(PartitionId aPartition, const proto::OrderRecord& aRecord)
  {
    auto& stream = m_log[aPartition];
    proto::LogRecord entry;
    entry.set_offset(stream.size() + 1);
    entry.set_at_ms(TrueWall().time_since_epoch().count());
    entry.set_body(aRecord.SerializeAsString());
    stream.push_back(std::move(entry));
  }

  void ScheduleLapse(PartitionId aPartition, const proto::OrderClaim& aClaim)
  {
    After(std::chrono::seconds(5), [this, aPartition, aClaim] {
      proto::OrderRecord record;
      proto::OrderVoid& lapsed = *record.mutable_void_();
      lapsed.set_customer(aClaim.customer());
      lapsed.set_key(aClaim.key());
      *lapsed.mutable_claim() = aClaim.claim();
      AppendToLog(aPartition, record);
    });
  }

  bool LogDownFor(int aNode) const
  {
    return m_outageUntil > m_now || m_nodes[aNode].m_cutUntil > m_now;
  }

  void Do(int aNode, const ReadPartition& aRead)
  {
    const PartitionId partition = aRead.m_partition;
    if (LogDownFor(aNode) || Chance(4)) {
      Event(aNode,
            kCallTimeout,
            [this, partition](Node& aBooked, OrderActions* aActions) {
              aBooked.m_book->OnReadFailed(
                partition, TimeOf(aBooked), aActions);
            });
      return;
    }
    const proto::ReadResponse answer = ReadLog(partition, aRead.m_from.Value());
    Event(aNode,
          CallDelay(),
          [this, partition, answer](Node& aBooked, OrderActions* aActions) {
            aBooked.m_book->OnRecords(
              partition, answer, TimeOf(aBooked), aActions);
          });
  }

  proto::ReadResponse ReadLog(PartitionId aPartition, std::uint64_t aFrom) const
  {
    const auto& stream = m_log[aPartition];
    const auto oldest = (TrueWall() - kRetention).time_since_epoch().count();
    std::size_t first = 0;
    while (first < stream.size() && stream[first].at_ms() < oldest) {
      ++first;
    }
    proto::ReadResponse answer;
    answer.set_first_offset(first + 1);
    answer.set_next_offset(stream.size() + 1);
    for (std::size_t i = std::max<std::size_t>(first, aFrom - 1);
         i < stream.size() && answer.records_size() < kReadLimit;
         ++i) {
      *answer.add_records() = stream[i];
    }
    return answer;
  }

  void Do(int aNode, const SendOrder& aSend)
  {
    if (Protocol::kSendOnAck) {
      Event(
        aNode,
        Duration{},
        [this, id = aSend.m_request](Node& aBooked, OrderActions* aActions) {
          aBooked.m_book->OnUpstreamUnknown(
            id, ResultCode::UpstreamFailed, TimeOf(aBooked), aActions);
        });
      return;
    }
    const RequestId id = aSend.m_request;
    const std::size_t caller = m_nodes[aNode].m_requests.at(id.Value());
    const Duration answer = CallDelay();
    if (Chance(10)) {
      Event(aNode, answer, [this, id](Node& aBooked, OrderActions* aActions) {
        aBooked.m_book->OnUpstreamNotSent(id,
                                          ResultCode::UpstreamUnreachable,
                                          std::chrono::seconds(1),
                                          TimeOf(aBooked),
                                          aActions);
      });
      return;
    }
    const bool ranThenLost = Chance(10);
    if (!Chance(4)) { // else it is lost on its way to the upstream
      RunUpstream(caller, answer);
    } else {
      LoseAnswer(aNode, id, answer);
      return;
    }
    if (ranThenLost) {
      LoseAnswer(aNode, id, answer + Millis(0, 100));
      return;
    }
    Event(aNode,
          answer + Millis(0, 100),
          [this, id, caller](Node& aBooked, OrderActions* aActions) {
            OrderResult result;
            result.m_httpStatus = 200;
            result.m_body = ResultFor(m_callers[caller]);
            aBooked.m_book->OnUpstreamAnswer(
              id, result, TimeOf(aBooked), aActions);
          });
  }

  void LoseAnswer(int aNode, RequestId aId, Duration aDelay)
  {
    Event(aNode, aDelay, [this, aId](Node& aBooked, OrderActions* aActions) {
      if (Protocol::kNotRunWhenLost) {
        aBooked.m_book->OnUpstreamNotSent(aId,
                                          ResultCode::UpstreamUnreachable,
                                          Duration{},
                                          TimeOf(aBooked),
                                          aActions);
        return;
      }
      aBooked.m_book->OnUpstreamUnknown(
        aId, ResultCode::UpstreamFailed, TimeOf(aBooked), aActions);
    });
  }

  static std::string ResultFor(const Caller& aCaller)
  {
    return aCaller.m_key + " did " + aCaller.m_body;
  }

  void RunUpstream(std::size_t aCaller, Duration aDelay)
  {
    After(aDelay, [this, aCaller] {
      const Caller& caller = m_callers[aCaller];
      m_runs[caller.m_key].push_back({ aCaller, ResultFor(caller) });
    });
  }

  void Do(int aNode, const AnswerOrder& aAnswer)
  {
    Caller& caller =
      m_callers[m_nodes[aNode].m_requests.at(aAnswer.m_request.Value())];
    m_result.m_doubleAnswers += caller.m_answered ? 1 : 0;
    caller.m_answered = true;
    caller.m_code = aAnswer.m_code;
    caller.m_result = aAnswer.m_result ? aAnswer.m_result->m_body : "";
    caller.m_keyRanBefore = m_runs.contains(caller.m_key);
  }

  void Start(int aNode)
  {
    Node& node = m_nodes[aNode];
    ++node.m_life;
    node.m_book = std::make_unique<OrderBook>(
      m_bookOptions, DaemonId("d" + std::to_string(aNode)), node.m_life);
    node.m_tickPending = false;
    node.m_frozenUntil = Time{};
    node.m_requests.clear();
  }

  void Restart(int aNode)
  {
    for (const auto& [id, caller] : m_nodes[aNode].m_requests) {
      m_callers[caller].m_daemonDied |= !m_callers[caller].m_answered;
    }
    Start(aNode);
  }

  void ScheduleOrder()
  {
    const int span = static_cast<int>(m_options.m_span.count());
    // Half of the orders come close together, so that they race.
    const Duration at(Pick(2) == 0 ? Pick(1500) : Pick(span));
    const auto key = Pick(m_options.m_keys);
    const int node = static_cast<int>(Pick(m_options.m_daemons));
    const std::string body = Pick(10) == 0 ? "other" : "body";
    After(at, [this, key, node, body] {
      const std::size_t caller = m_callers.size();
      m_callers.push_back({});
      m_callers.back().m_key = KeyText(key);
      m_callers.back().m_body = body;
      m_callers.back().m_keyRanAtArrival = m_runs.contains(KeyText(key));
      // A frozen or killed daemon takes no new connections.
      if (m_nodes[node].m_frozenUntil > m_now) {
        m_callers.back().m_daemonDied = true;
        return;
      }
      Accept(node, caller);
    });
  }

  std::string KeyText(std::uint64_t aKey) const
  {
    return MakeOrderKey(WallTime(std::chrono::hours(24 * 20000)) +
                          std::chrono::seconds(m_options.m_faults ? aKey : 0),
                        "k" + std::to_string(aKey))
      .Value();
  }

  void Accept(int aNode, std::size_t aCaller)
  {
    OrderRequest order;
    order.m_id = RequestId(++m_lastRequest);
    order.m_customer = CustomerId("utility");
    order.m_key = OrderKey(m_callers[aCaller].m_key);
    order.m_bodySha256 = m_callers[aCaller].m_body;
    order.m_service = ServiceId("valves");
    order.m_deadline = m_now + Millis(500, 9000);
    m_nodes[aNode].m_requests[order.m_id.Value()] = aCaller;
    Event(
      aNode, Duration{}, [this, order](Node& aBooked, OrderActions* aActions) {
        aBooked.m_book->OnOrder(order, TimeOf(aBooked), aActions);
      });
    if (!Chance(5)) {
      return;
    }
    Event(
      aNode,
      Millis(0, 600),
      [this, aCaller, id = order.m_id](Node& aBooked, OrderActions* aActions) {
        m_callers[aCaller].m_abandoned = !m_callers[aCaller].m_answered;
        aBooked.m_book->OnAbandon(id, TimeOf(aBooked), aActions);
      });
  }

  void ScheduleFaults()
  {
    const auto span = static_cast<std::uint64_t>(m_options.m_span.count());
    for (std::uint64_t i = Pick(5); i > 0; --i) {
      const Duration at(Pick(2) == 0 ? Pick(2000) : Pick(span));
      After(at, [this] { MakeFault(); });
    }
  }

  void MakeFault()
  {
    ++m_result.m_injectedFaults;
    const int node = static_cast<int>(Pick(m_options.m_daemons));
    switch (Pick(4)) {
      case 0:
        m_outageUntil = m_now + Millis(200, 20000);
        return;
      case 1:
        m_nodes[node].m_cutUntil = m_now + Millis(200, 20000);
        return;
      case 2:
        m_nodes[node].m_frozenUntil = m_now + Millis(200, 70000);
        return;
      default:
        Restart(node);
        return;
    }
  }

  FaultHistoryResult Judge()
  {
    m_result.m_orders = static_cast<int>(m_callers.size());
    m_result.m_keysRun = static_cast<int>(m_runs.size());
    std::set<std::string> keys;
    for (const Caller& caller : m_callers) {
      keys.insert(caller.m_key);
    }
    m_result.m_keysOrdered = static_cast<int>(keys.size());
    for (const auto& [key, runs] : m_runs) {
      m_result.m_runs += static_cast<int>(runs.size());
      m_result.m_duplicateRuns += static_cast<int>(runs.size()) - 1;
    }
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
      JudgeAnswer(i);
    }
    return m_result;
  }

  void JudgeAnswer(std::size_t aCaller)
  {
    const Caller& caller = m_callers[aCaller];
    if (!caller.m_answered) {
      m_result.m_unanswered +=
        caller.m_abandoned || caller.m_daemonDied ? 0 : 1;
      return;
    }
    ++m_result.m_codes[caller.m_code];
    const bool saysNotRun = RowOf(caller.m_code).m_ran == Ran::NotRun;
    const auto runs = m_runs.find(caller.m_key);
    if (runs == m_runs.end()) {
      m_result.m_wrongAnswers += caller.m_code == ResultCode::Ok ? 1 : 0;
      return;
    }
    for (const UpstreamRun& run : runs->second) {
      m_result.m_falseNotRun += saysNotRun && run.m_caller == aCaller ? 1 : 0;
    }
    // The naive router's result of the key: that of its first run.
    const std::string& first = runs->second.front().m_result;
    const bool naiveResult =
      caller.m_result == first && ResultFor(caller) == first;
    m_result.m_wrongAnswers +=
      caller.m_code == ResultCode::Ok && !naiveResult ? 1 : 0;
    m_result.m_wrongAnswers += caller.m_code == ResultCode::OrderKeyReused &&
                                   caller.m_keyRanAtArrival &&
                                   ResultFor(caller) == first
                                 ? 1
                                 : 0;
    m_result.m_notRunAfterRun += saysNotRun && caller.m_keyRanBefore &&
                                     caller.m_code != ResultCode::OrderKeyReused
                                   ? 1
                                   : 0;
  }

  static constexpr Time kStart{ std::chrono::hours(1) };

  FaultHistoryOptions m_options;
  OrderBookOptions m_bookOptions;
  std::mt19937_64 m_random;
  Time m_now = kStart;
  std::multimap<Time, std::function<void()>> m_events;
  std::deque<Node> m_nodes;
  std::vector<std::vector<proto::LogRecord>> m_log; // by partition
  Time m_outageUntil{};
  std::vector<Caller> m_callers;
  std::map<std::string, std::vector<UpstreamRun>> m_runs; // by key
  std::uint64_t m_lastRequest = 0;
  FaultHistoryResult m_result;
};

// Runs histories with the seeds aFirstSeed .. aFirstSeed + aCount - 1; the
// number of daemons follows from the seed.
template<typename Protocol>
FaultHistoryResult
RunFaultHistories(std::uint64_t aFirstSeed, std::uint64_t aCount)
{
  constexpr int kMinDaemons = 2;
  constexpr int kDaemonCounts = 3;
  FaultHistoryResult total;
  for (std::uint64_t seed = aFirstSeed; seed < aFirstSeed + aCount; ++seed) {
    FaultHistoryOptions options;
    options.m_seed = seed;
    options.m_daemons = kMinDaemons + static_cast<int>(seed % kDaemonCounts);
    total.Add(FaultHistory<Protocol>(options).Run());
  }
  return total;
}

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_FAULT_HISTORY_H_
