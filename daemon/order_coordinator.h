#ifndef WALNUTWING_DAEMON_ORDER_COORDINATOR_H_
#define WALNUTWING_DAEMON_ORDER_COORDINATOR_H_

// Connects the OrderBook to the platform's log and to the request flows. A flow
// submits its order, is called back when it may send the order upstream,
// reports the outcome, and receives the answer for its caller. The component is
// named order_desk in logs and metrics.

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
  // The flow must send the order now, exactly once. Called synchronously; may
  // call the OrderCoordinator.
  std::function<void()> m_onSend;
  // Called in a later iteration of the event loop.
  std::function<void(const AnswerOrder&)> m_onAnswer;
};

class OrderCoordinator
{
public:
  explicit OrderCoordinator(Context& aContext);

  // Submits an order and returns its id; sets aOrder.m_id.
  RequestId Submit(OrderRequest aOrder, OrderCallbacks aCallbacks);

  // Report how an attempt to send an order ended; see OrderBook.
  void OnUpstreamAnswer(RequestId aOrder, const OrderResult& aResult);
  void OnUpstreamNotSent(RequestId aOrder,
                         ResultCode aCode,
                         Duration aRetryAfter);
  void OnUpstreamUnknown(RequestId aOrder, ResultCode aCode);

  // The caller has disconnected or has been answered; the order may still be
  // running.
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
  void OnAppendDone(BatchId aBatch, const AppendResult& aResult);

  Context& m_context;
  OrderBook m_book;
  std::uint64_t m_lastOrderId = 0;
  std::unordered_map<RequestId, OrderCallbacks> m_callbacks;
  std::unordered_map<BatchId, PlatformClient::CallHandle> m_appends;
  std::map<PartitionId, PlatformClient::CallHandle> m_reads;
  net::OwnedTimer m_tickTimer;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_ORDER_COORDINATOR_H_
