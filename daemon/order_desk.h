#ifndef WALNUTWING_DAEMON_ORDER_DESK_H_
#define WALNUTWING_DAEMON_ORDER_DESK_H_

// Drives the OrderBook with the platform's log. A flow submits its order, is
// told when it may send, reports how that ended, and is given the last word to
// its caller.

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "daemon/context.h"
#include "net/owned_timer.h"
#include "walnutwing/orders/order_book.h"

namespace walnutwing {

struct OrderCallbacks
{
  std::function<void()> m_onSend; // send it now, and once; may call the desk
  std::function<void(const AnswerOrder&)> m_onAnswer; // from a later turn
};

class OrderCoordinator
{
public:
  explicit OrderCoordinator(Context& aContext);

  // Submits an order (its m_id is set here) and returns its id.
  RequestId Submit(OrderRequest aOrder, OrderCallbacks aCallbacks);

  // How a sent order ended; see OrderBook.
  void OnUpstreamAnswer(RequestId aOrder, const OrderResult& aResult);
  void OnUpstreamNotSent(RequestId aOrder,
                         ResultCode aCode,
                         Duration aRetryAfter);
  void OnUpstreamUnknown(RequestId aOrder, ResultCode aCode);

  // The caller has gone or was answered; the order itself may run on.
  void Abandon(RequestId aOrder);

  void OnStop();
  bool Idle() const { return m_book.Idle(); }
  bool LogAvailable() const { return m_book.LogAvailable(); }
  OrderCounters Counters() const { return m_book.Counters(); }
  std::size_t MemoryBytes() const { return m_book.MemoryBytes(); }

  OrderStatus StatusOf(const CustomerId& aCustomer, const OrderKey& aKey);

private:
  OrderTime Now() const
  {
    return { m_context.m_loop.Now(), m_context.m_loop.WallNow() };
  }
  void ScheduleTick();
  void Tick();
  void CarryOut(const OrderActions& aActions);
  void Append(const AppendRecords& aAppend);
  void Read(const ReadPartition& aRead);
  void OnAppendAnswer(BatchId aBatch, const AppendAnswer& aAnswer);

  Context& m_context;
  OrderBook m_book;
  std::uint64_t m_lastOrderId = 0;
  std::unordered_map<RequestId, OrderCallbacks> m_callbacks;
  std::unordered_map<BatchId, PlatformClient::CallHandle> m_appends;
  std::map<PartitionId, PlatformClient::CallHandle> m_reads;
  net::OwnedTimer m_tickTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_ORDER_DESK_H_
