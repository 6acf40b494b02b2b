#ifndef WALNUTWING_ORDERS_ORDER_PARTITION_H_
#define WALNUTWING_ORDERS_ORDER_PARTITION_H_

// What an OrderBook keeps for one partition of the order log: the index of what
// was read, the queue of what is to be appended, when to read next, and the
// daemon's own orders by key.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "platform.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/orders/append_queue.h"
#include "walnutwing/orders/claim_index.h"
#include "walnutwing/orders/order_book.h"

namespace walnutwing {

class OrderPartition
{
public:
  OrderPartition(const OrderBookOptions& aOptions, Time aNow);

  ClaimIndex& Index() { return m_index; }
  const ClaimIndex& Index() const { return m_index; }
  AppendQueue& Queue() { return m_queue; }
  const AppendQueue& Queue() const { return m_queue; }

  // The offset to read from, if a read is due and none is under way. The read
  // is under way until OnRecords or OnReadFailed.
  std::optional<LogOffset> StartDueRead(Time aNow);

  // A read that starts from now on is wanted at once.
  void RequestRead(Time aNow);

  // Takes the records that follow those already taken; others are skipped.
  // False if the answer cannot be one of this stream: a hole in it that expiry
  // does not explain, or an end before what was read.
  bool OnRecords(const proto::ReadResponse& aResponse, Time aNow);
  void OnReadFailed(Time aNow);

  // The partition has been read to its end at least once; and within aAge.
  bool CaughtUp() const { return m_lastFullRead > 0; }
  bool WasReadWithin(Duration aAge, Time aNow) const;

  // Reads are numbered from 1. The number of the next one to start, and of the
  // latest one that came to the end of the partition.
  std::uint64_t NextReadNumber() const { return m_lastReadStarted + 1; }
  std::uint64_t LastFullRead() const { return m_lastFullRead; }

  // This daemon's requests that are not answered yet, by key. One at a time
  // for each key.
  std::optional<RequestId> FindPendingRequest(const CustomerId& aCustomer,
                                              const OrderKey& aKey) const;
  std::vector<RequestId> PendingRequests() const;
  void AddPending(const OrderRequest& aRequest, Time aNow);
  void RemovePending(const OrderRequest& aRequest);

  // Requests whose claim left with a batch and was not read back yet.
  std::set<RequestId>& AwaitingRead() { return m_awaitingRead; }

  // A result of this daemon's own claim, known before the log has it.
  void SetLocalResult(const OrderRequest& aRequest,
                      std::shared_ptr<const OrderResult> aResult);

  // The result of the holder: as recorded, else as known locally, else null.
  std::shared_ptr<const OrderResult> ResultOf(const CustomerId& aCustomer,
                                              const OrderKey& aKey) const;

  // Marks a use that is not a request.
  void Touch(Time aNow) { m_lastUsed = aNow; }

  // Not used for long, nothing under way: it may be destroyed.
  bool IsUnused(Time aNow) const;

  std::size_t MemoryBytes() const { return m_index.MemoryBytes(); }

private:
  using CustomerKey = std::pair<CustomerId, OrderKey>;

  void DropRecordedResults();

  const OrderBookOptions& m_options;
  ClaimIndex m_index;
  AppendQueue m_queue;
  std::uint64_t m_nextOffset = 1;
  bool m_readInFlight = false;
  bool m_readAgain = false; // as soon as the one under way has ended
  std::uint64_t m_lastReadStarted = 0;
  std::uint64_t m_lastFullRead = 0;
  Time m_lastFullReadAt{};
  Time m_nextReadAt;
  Time m_lastUsed;
  std::map<CustomerKey, RequestId> m_pending;
  std::set<RequestId> m_awaitingRead;
  std::map<CustomerKey, std::shared_ptr<const OrderResult>> m_localResults;
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_ORDER_PARTITION_H_
