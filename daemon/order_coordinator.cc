// An adapter: OrderBook decides which orders may be sent.

#include "daemon/order_coordinator.h"

#include <utility>
#include <variant>
#include <vector>

#include "daemon/log.h"

namespace walnutwing {
namespace {

constexpr Duration kBusyTickInterval = std::chrono::milliseconds(5);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxRecordsPerRead = 5000;

AppendStatus
AppendStatusOf(AppendVerdict aVerdict)
{
  switch (aVerdict) {
    case AppendVerdict::Appended:
      return AppendStatus::Acked;
    case AppendVerdict::Refused:
      return AppendStatus::Refused;
    case AppendVerdict::Unknown:
      return AppendStatus::Lost;
  }
  return AppendStatus::Lost;
}

} // namespace

OrderCoordinator::OrderCoordinator(Context& aContext)
  : m_context(aContext)
  , m_book(OrderBookOptions(),
           aContext.m_settings.m_id,
           aContext.NextIncarnation())
  , m_tickTimer(aContext.m_loop)
{
  ScheduleTick();
}

void
OrderCoordinator::ScheduleTick()
{
  m_tickTimer.After(
    m_book.Idle() ? kIdleTickInterval : kBusyTickInterval, [this] {
      m_context.m_orders->Call([](OrderCoordinator& aSelf) { aSelf.Tick(); });
    });
}

void
OrderCoordinator::Tick()
{
  OrderActions actions;
  m_book.OnTick(Now(), &actions);
  CarryOut(actions);
  m_context.m_metrics.Gauge("order_memory_bytes") =
    static_cast<double>(m_book.MemoryBytes());
  ScheduleTick();
}

RequestId
OrderCoordinator::Submit(OrderRequest aOrder, OrderCallbacks aCallbacks)
{
  aOrder.m_id = RequestId(++m_lastOrderId);
  m_callbacks.emplace(aOrder.m_id, std::move(aCallbacks));
  OrderActions actions;
  m_book.OnOrder(aOrder, Now(), &actions);
  CarryOut(actions);
  ScheduleTick();
  return aOrder.m_id;
}

void
OrderCoordinator::OnUpstreamAnswer(RequestId aOrder, const OrderResult& aResult)
{
  OrderActions actions;
  m_book.OnUpstreamAnswer(aOrder, aResult, Now(), &actions);
  CarryOut(actions);
}

void
OrderCoordinator::OnUpstreamNotSent(RequestId aOrder,
                                    ResultCode aCode,
                                    Duration aRetryAfter)
{
  OrderActions actions;
  m_book.OnUpstreamNotSent(aOrder, aCode, aRetryAfter, Now(), &actions);
  CarryOut(actions);
}

void
OrderCoordinator::OnUpstreamUnknown(RequestId aOrder, ResultCode aCode)
{
  OrderActions actions;
  m_book.OnUpstreamUnknown(aOrder, aCode, Now(), &actions);
  CarryOut(actions);
}

void
OrderCoordinator::Abandon(RequestId aOrder)
{
  m_callbacks.erase(aOrder);
  OrderActions actions;
  m_book.OnAbandon(aOrder, Now(), &actions);
  CarryOut(actions);
}

void
OrderCoordinator::OnStop()
{
  OrderActions actions;
  m_book.OnStop(Now(), &actions);
  CarryOut(actions);
}

OrderStatus
OrderCoordinator::StatusOf(const CustomerId& aCustomer, const OrderKey& aKey)
{
  return m_book.StatusOf(aCustomer, aKey, Now());
}

void
OrderCoordinator::CarryOut(const OrderActions& aActions)
{
  for (const OrderAction& action : aActions) {
    if (const auto* append = std::get_if<AppendRecords>(&action)) {
      Append(*append);
    } else if (const auto* read = std::get_if<ReadPartition>(&action)) {
      Read(*read);
    } else if (const auto* send = std::get_if<SendOrder>(&action)) {
      const auto found = m_callbacks.find(send->m_request);
      if (found != m_callbacks.end()) {
        // Called synchronously: if it were deferred and the caller disconnected
        // meanwhile, the order would count as sent although it was not.
        const std::function<void()> callback = found->second.m_onSend;
        callback();
      }
    } else if (const auto* answer = std::get_if<AnswerOrder>(&action)) {
      const auto found = m_callbacks.find(answer->m_request);
      if (found != m_callbacks.end()) {
        m_context.m_loop.After(Duration::zero(),
                               [callback = std::move(found->second.m_onAnswer),
                                result = *answer] { callback(result); });
        m_callbacks.erase(found);
      }
    }
  }
}

void
OrderCoordinator::Append(const AppendRecords& aAppend)
{
  ++m_context.m_metrics.Counter("platform_appends_total", "stream=\"orders\"");
  std::vector<std::string> bodies;
  bodies.reserve(aAppend.m_records.size());
  for (const proto::OrderRecord& record : aAppend.m_records) {
    bodies.push_back(record.SerializeAsString());
  }
  m_appends[aAppend.m_batch] = m_context.m_platform.Append(
    StreamNameOf(aAppend.m_partition),
    std::move(bodies),
    [this, batch = aAppend.m_batch](const AppendResult& aResult) {
      m_context.m_orders->Call(
        [&](OrderCoordinator& aSelf) { aSelf.OnAppendDone(batch, aResult); });
    });
}

void
OrderCoordinator::OnAppendDone(BatchId aBatch, const AppendResult& aResult)
{
  m_appends.erase(aBatch);
  OrderActions actions;
  m_book.OnAppendResult(
    aBatch, AppendStatusOf(aResult.m_verdict), Now(), &actions);
  CarryOut(actions);
}

void
OrderCoordinator::Read(const ReadPartition& aRead)
{
  ++m_context.m_metrics.Counter("platform_reads_total", "stream=\"orders\"");
  m_reads[aRead.m_partition] = m_context.m_platform.Read(
    StreamNameOf(aRead.m_partition),
    aRead.m_from,
    kMaxRecordsPerRead,
    [this, partition = aRead.m_partition](
      const std::optional<proto::ReadResponse>& aResponse) {
      m_context.m_orders->Call([&](OrderCoordinator& aSelf) {
        OrderActions actions;
        if (aResponse) {
          aSelf.m_book.OnRecords(partition, *aResponse, aSelf.Now(), &actions);
        } else {
          aSelf.m_book.OnReadFailed(partition, aSelf.Now(), &actions);
        }
        aSelf.CarryOut(actions);
      });
    });
}

} // namespace walnutwing
