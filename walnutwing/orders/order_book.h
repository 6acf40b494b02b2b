#ifndef WALNUTWING_ORDERS_ORDER_BOOK_H_
#define WALNUTWING_ORDERS_ORDER_BOOK_H_

// Orders: calls that run at most once. An OrderBook decides, for one daemon,
// whether an order may be sent. It has no input or output: the daemon hands in
// events with the time and carries out the actions that it gets back.
//
//   OrderBook book(options, DaemonId("d1"), incarnation);
//   std::vector<OrderAction> actions;
//   book.OnOrder(request, { clock.Now(), clock.WallNow() }, &actions);
//   // carry out the actions in their order; report what became of each
//
// The protocol: a claim on the order's key goes into the platform's log before
// anything is sent. Once the claim has been read back from the log as the
// holder of the key (see claim_index.h) the order is sent, once. Then its
// outcome goes into the log, where every daemon finds it for repeats. A claim
// that is given up before sending is never sent for, and a void record frees
// its key.
//
// What an answer says about the work ("not run", "run", "unknown") is about
// the request that it answers: no request that was told "not run" is ever
// sent, then or later.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "orders.pb.h"
#include "platform.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/orders/claim_index.h"
#include "walnutwing/orders/order_key.h"

namespace walnutwing {

// Identifies one append of one OrderBook.
using BatchId = NumberId<struct BatchIdTag>;
using PartitionId = std::uint32_t; // 0 .. partition count - 1

struct OrderBookOptions
{
  OrderKeyLimits m_key;
  // Streams of the order log. All daemons must agree on it, and it changes
  // only while no order is accepted for the lifetime of a key.
  std::uint32_t m_partitionCount = 16;

  // A claim waits this long for others to share its append, an outcome or a
  // void longer.
  Duration m_batchDelay = std::chrono::milliseconds(5);
  Duration m_outcomeDelay = std::chrono::milliseconds(50);
  std::size_t m_maxBatchRecords = 64;

  // Orders that may wait at once for their claims or run.
  std::size_t m_maxRequests = 4096;
  // A claim that was not read back after this long is given up.
  Duration m_claimTimeout = std::chrono::seconds(2);
  // Deadlines further off are cut to this.
  Duration m_maxDeadline = std::chrono::minutes(5);

  // Pause between two reads of a partition while a claim is awaited, and
  // otherwise. A repeat whose outcome is not known reads the partition first if
  // that was not done for m_maxReadAge, so the tail need not be read often.
  Duration m_readInterval = std::chrono::milliseconds(50);
  Duration m_tailInterval = std::chrono::seconds(10);
  Duration m_maxReadAge = std::chrono::milliseconds(200);
  // A partition that had no order for this long is no longer read, and its
  // index is dropped; the next order reads it anew.
  Duration m_partitionIdleTimeout = std::chrono::minutes(30);

  // After so many failures in a row the log counts as down. Orders are then
  // refused, and one read each m_retryAfter tries it again.
  int m_failuresUntilDown = 3;
  Duration m_retryAfter = std::chrono::seconds(2);

  // Outcomes and voids whose append failed are appended again after a pause,
  // until they are this old.
  Duration m_recordRetryDelay = std::chrono::milliseconds(500);
  Duration m_maxRecordAge = std::chrono::hours(1);

  // A claim without an outcome counts as running for this long, then its
  // outcome counts as unknown.
  Duration m_outcomeTimeout = std::chrono::minutes(10);

  // Bytes of an answer's body that an outcome records, and bytes of recorded
  // bodies that the index of one partition keeps.
  std::size_t m_maxOutcomeBodyBytes = 1024;
  std::size_t m_maxBodyBytes = std::size_t{ 4 } << 20;
};

// When an event happens. Both clocks are used: the steady one for deadlines
// and pauses, the wall clock for keys and for a VM that was suspended.
struct OrderTime
{
  Time m_now;
  WallTime m_wallNow;
};

struct OrderRequest
{
  RequestId m_id; // not used before with this OrderBook
  CustomerId m_customer;
  OrderKey m_key;
  std::string m_bodySha256; // 32 bytes
  ServiceId m_service;
  Time m_deadline; // by then the order must have been sent
};

// Append these records to the partition's stream, each as one log record, then
// call OnAppendResult. Never repeat the append.
struct AppendRecords
{
  BatchId m_batch;
  PartitionId m_partition = 0;
  std::vector<proto::OrderRecord> m_records;
};

// Read the partition's stream, then call OnRecords or OnReadFailed.
struct ReadPartition
{
  PartitionId m_partition = 0;
  LogOffset m_from;
};

// Send the order to the upstream, now and once, then call OnUpstreamAnswer,
// OnUpstreamNotSent or OnUpstreamUnknown.
struct SendOrder
{
  RequestId m_request;
};

// The last word to the caller.
struct AnswerOrder
{
  RequestId m_request;
  ResultCode m_code = ResultCode::Ok;
  // With Ok: the upstream's answer, or that of the earlier run of the order.
  std::shared_ptr<const OrderResult> m_result;
  bool m_repeated = false; // m_result is from an earlier request
  Duration m_retryAfter{};
};

using OrderAction =
  std::variant<AppendRecords, ReadPartition, SendOrder, AnswerOrder>;
using OrderActions = std::vector<OrderAction>;

enum class AppendStatus
{
  Acked,   // in the log
  Refused, // certainly not in the log, now or later
  Lost,    // no answer: it may be in the log, or may get there yet
};

// What is known of an order, for operators.
struct OrderStatus
{
  // Ok with m_result; OrderRunning, OrderOutcomeUnknown; NotFound when no claim
  // is known; OrderKeyMalformed, OrderKeyExpired.
  ResultCode m_code = ResultCode::NotFound;
  ClaimId m_claim;
  ServiceId m_service;
  WallTime m_claimedAt;
  std::shared_ptr<const OrderResult> m_result;
  // False when the partition was not read to its end within the tail interval:
  // ask again after a while.
  bool m_current = false;
};

struct OrderCounters
{
  std::uint64_t m_appends = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_recordsGivenUp = 0; // outcomes and voids given up on
  std::uint64_t m_sent = 0;
  std::uint64_t m_voided = 0;
  std::uint64_t m_unreadableRecords = 0;
};

class OrderBook
{
public:
  // aIncarnation must differ from that of every earlier start of aDaemon.
  OrderBook(const OrderBookOptions& aOptions,
            DaemonId aDaemon,
            std::uint64_t aIncarnation);
  ~OrderBook();

  OrderBook(const OrderBook&) = delete;
  OrderBook& operator=(const OrderBook&) = delete;

  // A caller's order. Each order gets exactly one AnswerOrder, unless it is
  // abandoned.
  void OnOrder(const OrderRequest& aRequest,
               const OrderTime& aTime,
               OrderActions* aActions);

  // The result of an AppendRecords. Results of unknown batches are ignored.
  // The offset that an acknowledged append got is of no use here: a claim
  // counts only when it is read back.
  void OnAppendResult(BatchId aBatch,
                      AppendStatus aStatus,
                      const OrderTime& aTime,
                      OrderActions* aActions);

  // The answer to a ReadPartition.
  void OnRecords(PartitionId aPartition,
                 const proto::ReadResponse& aResponse,
                 const OrderTime& aTime,
                 OrderActions* aActions);
  void OnReadFailed(PartitionId aPartition,
                    const OrderTime& aTime,
                    OrderActions* aActions);

  // How a sent order ended: with an answer; certainly not sent, with the "not
  // run" code for the caller; or unknown, with an "unknown" code for the
  // caller. Throw std::invalid_argument for a request that was not sent or a
  // code that says something else.
  void OnUpstreamAnswer(RequestId aRequest,
                        const OrderResult& aResult,
                        const OrderTime& aTime,
                        OrderActions* aActions);
  void OnUpstreamNotSent(RequestId aRequest,
                         ResultCode aCode,
                         Duration aRetryAfter,
                         const OrderTime& aTime,
                         OrderActions* aActions);
  void OnUpstreamUnknown(RequestId aRequest,
                         ResultCode aCode,
                         const OrderTime& aTime,
                         OrderActions* aActions);

  // The caller has gone. An order that was not sent is given up, one that was
  // sent runs on; neither gets an AnswerOrder. Unknown requests are ignored.
  void OnAbandon(RequestId aRequest,
                 const OrderTime& aTime,
                 OrderActions* aActions);

  // Time passes: call at least each m_batchDelay while the book is not idle,
  // and each m_tailInterval otherwise.
  void OnTick(const OrderTime& aTime, OrderActions* aActions);

  // New orders are refused from now on; the others go on to their end.
  void OnStop(const OrderTime& aTime, OrderActions* aActions);

  // No order in progress, no append outstanding.
  bool Idle() const;

  // False while orders that need a claim are refused as ClaimsUnavailable.
  bool LogAvailable() const;

  // What is known of an order. The next OnTick reads its partition, if that was
  // not done for m_maxReadAge; ask again for what it brings.
  OrderStatus StatusOf(const CustomerId& aCustomer,
                       const OrderKey& aKey,
                       const OrderTime& aTime);

  // The partition of a key: the same in every daemon.
  PartitionId PartitionOf(const CustomerId& aCustomer,
                          const OrderKey& aKey) const;

  OrderCounters Counters() const;
  std::size_t MemoryBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// The name of a partition's stream in the platform's log: "orders-07".
std::string
StreamNameOf(PartitionId aPartition);

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_ORDER_BOOK_H_
