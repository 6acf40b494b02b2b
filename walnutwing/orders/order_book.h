#ifndef WALNUTWING_ORDERS_ORDER_BOOK_H_
#define WALNUTWING_ORDERS_ORDER_BOOK_H_

// Orders: calls that run at most once. An OrderBook decides, for one daemon,
// whether an order may be sent. It performs no I/O: the daemon passes in events
// with their time and executes the actions that it gets back.
//
//   OrderBook book(options, DaemonId("d1"), incarnation);
//   std::vector<OrderAction> actions;
//   book.OnOrder(request, { clock.Now(), clock.WallNow() }, &actions);
//   // execute the actions in this order and report the result of each
//
// Protocol: before an order is sent, a claim on its key is appended to the
// platform's log. Once the claim has been read back from the log as the holder
// of the key (see claim_index.h), the order is sent, once. Its outcome is then
// appended to the log, where every daemon finds it for repeats. If a claim is
// given up before its order is sent, the order is never sent for this claim,
// and a void record frees the key.
//
// What a result code says about execution ("not run", "run", "unknown") applies
// to the request that it answers: a request that was answered with "not run"
// has not been sent and will not be sent later.

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
  // Number of streams of the order log. It must be the same in all daemons, and
  // may be changed only after no order was accepted for the lifetime of a key.
  std::uint32_t m_partitionCount = 16;

  // Longest wait for other records that share an append: of a claim, and of an
  // outcome or void, for which no caller waits.
  Duration m_batchDelay = std::chrono::milliseconds(5);
  Duration m_outcomeDelay = std::chrono::milliseconds(50);
  std::size_t m_maxBatchRecords = 64;

  // Largest number of orders in progress: waiting for their claims or running.
  std::size_t m_maxRequests = 4096;
  // A claim that was not read back within this time is given up.
  Duration m_claimTimeout = std::chrono::seconds(2);
  // Deadlines further in the future are shortened to this.
  Duration m_maxDeadline = std::chrono::minutes(5);

  // Intervals between reads of a partition: while a claim is awaited, and
  // otherwise. The second may be long because a repeat whose outcome is not
  // known reads the partition first, unless it was read to its end within
  // m_maxReadAge.
  Duration m_readInterval = std::chrono::milliseconds(50);
  Duration m_tailInterval = std::chrono::seconds(10);
  Duration m_maxReadAge = std::chrono::milliseconds(200);
  // A partition without orders for this long is no longer read, and its index
  // is dropped; the next order reads it again from the start.
  Duration m_partitionIdleTimeout = std::chrono::minutes(30);

  // After this many consecutive failures of reads or of appends the log counts
  // as down. Orders that need a claim are then refused until the next retry;
  // there is one retry per m_retryAfter.
  int m_failuresUntilDown = 3;
  Duration m_retryAfter = std::chrono::seconds(2);

  // Outcomes and voids whose append failed are appended again after a delay,
  // until they are older than m_maxRecordAge.
  Duration m_recordRetryDelay = std::chrono::milliseconds(500);
  Duration m_maxRecordAge = std::chrono::hours(1);

  // An order whose claim has no outcome counts as running for this long after
  // the claim, and then its outcome counts as unknown.
  Duration m_outcomeTimeout = std::chrono::minutes(10);

  // Largest body of an answer that an outcome records, and largest total of
  // recorded bodies that the index of one partition keeps.
  std::size_t m_maxOutcomeBodyBytes = 1024;
  std::size_t m_maxBodyBytes = std::size_t{ 4 } << 20;
};

// Time of an event. The steady clock is used for deadlines and delays, the wall
// clock for order keys and for deadlines that passed while the VM was
// suspended.
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
  Time m_deadline; // the order is not sent at or after this time
};

// Append these records to the partition's stream, each as one log record, then
// call OnAppendResult. The append must not be retried.
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

// Send the order to the upstream immediately and only once, then call
// OnUpstreamAnswer, OnUpstreamNotSent or OnUpstreamUnknown.
struct SendOrder
{
  RequestId m_request;
};

// The final answer to the caller.
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
  Lost,    // no answer: it may be in the log now or later
};

// What is known about an order, for operators.
struct OrderStatus
{
  // Ok with m_result; OrderRunning, OrderOutcomeUnknown; NotFound when no claim
  // is known; OrderKeyMalformed, OrderKeyExpired.
  ResultCode m_code = ResultCode::NotFound;
  ClaimId m_claim;
  ServiceId m_service;
  WallTime m_claimedAt;
  std::shared_ptr<const OrderResult> m_result;
  // False if the partition was not read to its end within the tail interval:
  // ask again later.
  bool m_current = false;
};

struct OrderCounters
{
  std::uint64_t m_appends = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_recordsGivenUp = 0; // outcomes and voids given up
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

  // An order has arrived from a caller. Each order gets exactly one
  // AnswerOrder, unless it is abandoned. Throws std::invalid_argument if the
  // request id is in use.
  void OnOrder(const OrderRequest& aRequest,
               const OrderTime& aTime,
               OrderActions* aActions);

  // The result of an AppendRecords. Results of unknown batches are ignored.
  // The offset of an acknowledged append is not needed: a claim counts only
  // once it is read back.
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

  // How a SendOrder ended: with an answer; certainly not sent, with the "not
  // run" code for the caller; or unknown, with an "unknown" code for the
  // caller. Throw std::invalid_argument if there was no SendOrder for the
  // request or if the code says something else about execution.
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

  // The caller no longer waits. An order that was not sent is given up, one
  // that was sent continues; neither gets an AnswerOrder. Unknown requests are
  // ignored.
  void OnAbandon(RequestId aRequest,
                 const OrderTime& aTime,
                 OrderActions* aActions);

  // Handles timeouts and starts due calls. Must be called at least every
  // m_batchDelay while the book is not idle, and every m_tailInterval
  // otherwise.
  void OnTick(const OrderTime& aTime, OrderActions* aActions);

  // Refuses new orders, and those whose claim is not in a batch yet, from now
  // on; the others continue until they end.
  void OnStop(const OrderTime& aTime, OrderActions* aActions);

  // Whether no order is in progress and no append is queued or in flight.
  bool Idle() const;

  // False while the log counts as down, when orders that need a claim are
  // refused with ClaimsUnavailable until the next retry.
  bool LogAvailable() const;

  // Returns what is known about an order. If its partition was not read to the
  // end within m_maxReadAge, the next OnTick reads it, and a later call returns
  // what was found.
  OrderStatus StatusOf(const CustomerId& aCustomer,
                       const OrderKey& aKey,
                       const OrderTime& aTime);

  // Returns the partition of a key, which is the same in every daemon.
  PartitionId PartitionOf(const CustomerId& aCustomer,
                          const OrderKey& aKey) const;

  OrderCounters Counters() const;
  std::size_t MemoryBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// Returns the name of a partition's stream in the platform's log, for example
// "orders-07".
std::string
StreamNameOf(PartitionId aPartition);

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_ORDER_BOOK_H_
