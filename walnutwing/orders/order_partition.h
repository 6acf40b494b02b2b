#ifndef WALNUTWING_ORDERS_ORDER_PARTITION_H_
#define WALNUTWING_ORDERS_ORDER_PARTITION_H_

// State that an OrderBook keeps for one partition of the order log: the index
// of the records read, the queue of records to append, the time of the next
// read, and this daemon's pending requests by key.

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

  // Returns the offset to read from if a read is due and none is in flight. The
  // read is then in flight until OnRecords or OnReadFailed.
  std::optional<LogOffset> StartDueRead(Time aNow);

  // Makes a read due that starts at aNow or later: at once, or when the read in
  // flight has ended (after the read interval if that one failed).
  void RequestRead(Time aNow);

  // Applies the records that follow those already applied; earlier ones are
  // skipped. Returns false if the response cannot belong to this stream: it has
  // a gap that the expiry of records does not explain, or ends before the
  // records already read. The read then counts as failed, and the records after
  // the gap are not applied.
  bool OnRecords(const proto::ReadResponse& aResponse, Time aNow);
  void OnReadFailed(Time aNow);

  // Whether the partition has been read to its end at least once, or within the
  // last aAge.
  bool CaughtUp() const { return m_lastFullRead > 0; }
  bool WasReadWithin(Duration aAge, Time aNow) const;

  // Reads are numbered from 1. The number of the next read to start, and of the
  // last read that reached the end of the partition (0 if none has).
  std::uint64_t NextReadNumber() const { return m_lastReadStarted + 1; }
  std::uint64_t LastFullRead() const { return m_lastFullRead; }

  // This daemon's requests that have not ended yet, by key; at most one for
  // each key.
  std::optional<RequestId> FindPendingRequest(const CustomerId& aCustomer,
                                              const OrderKey& aKey) const;
  std::vector<RequestId> PendingRequests() const;
  void AddPending(const OrderRequest& aRequest, Time aNow);
  void RemovePending(const OrderRequest& aRequest);

  // Requests whose claim was put into a batch and has not been read back yet.
  std::set<RequestId>& AwaitingRead() { return m_awaitingRead; }

  // Sets the result of this daemon's own claim, which is used until the result
  // is read back from the log.
  void SetLocalResult(const OrderRequest& aRequest,
                      std::shared_ptr<const OrderResult> aResult);

  // Returns the recorded result of the key's holder, else the local result for
  // the key, else null.
  std::shared_ptr<const OrderResult> ResultOf(const CustomerId& aCustomer,
                                              const OrderKey& aKey) const;

  // Records a use other than a request, so that the partition does not count
  // as unused.
  void Touch(Time aNow) { m_lastUsed = aNow; }

  // Whether the partition may be destroyed: it was not used for
  // m_partitionIdleTimeout, and no request, record, local result or read is
  // pending.
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
  bool m_readAgain = false; // when the read in flight has ended
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
