// Adapter only: what may be sent is OrderBook's decision.

#include "daemon/order_desk.h"

#include <utility>
#include <variant>
#include <vector>

#include "daemon/log.h"

namespace walnutwing {
namespace {

constexpr Duration kBusyTick = std::chrono::milliseconds(5);
constexpr Duration kIdleTick = std::chrono::milliseconds(200);
constexpr std::uint32_t kRecordsPerRead = 5000;

AppendStatus
StatusOfVerdict(AppendVerdict aVerdict)
{
  switch (aVerdict) {
    case AppendVerdict::Taken:
      return AppendStatus::Acked;
    case AppendVerdict::Refused:
      return AppendStatus::Refused;
    case AppendVerdict::Unknown:
      return AppendStatus::Lost;
  }
  return AppendStatus::Lost;
}

} // namespace

OrderDesk::OrderDesk(Context& aContext)
  : m_context(aContext)
  , m_book(OrderBookOptions(),
           aContext.m_settings.m_id,
           aContext.NextIncarnation())
  , m_tick(aContext.m_loop)
{
  ScheduleTick();
}

void
OrderDesk::ScheduleTick()
{
  m_tick.After(m_book.Idle() ? kIdleTick : kBusyTick, [this] {
    m_context.m_orders->Call([](OrderDesk& aSelf) { aSelf.Tick(); });
  });
}

void
OrderDesk::Tick()
{
  OrderActions actions;
  m_book.OnTick(Now(), &actions);
  CarryOut(actions);
  m_context.m_metrics.Gauge("order_memory_bytes") =
    static_cast<double>(m_book.MemoryBytes());
  ScheduleTick();
}

RequestId
OrderDesk::Submit(OrderRequest aOrder, OrderCallbacks aCallbacks)
{
  aOrder.m_id = RequestId(++m_lastOrder);
  m_orders.emplace(aOrder.m_id, std::move(aCallbacks));
  OrderActions actions;
  m_book.OnOrder(aOrder, Now(), &actions);
  CarryOut(actions);
  ScheduleTick();
  return aOrder.m_id;
}

void
OrderDesk::OnUpstreamAnswer(RequestId aOrder, const OrderResult& aResult)
{
  OrderActions actions;
  m_book.OnUpstreamAnswer(aOrder, aResult, Now(), &actions);
  CarryOut(actions);
}

void
OrderDesk::OnUpstreamNotSent(RequestId aOrder,
                             ResultCode aCode,
                             Duration aRetryAfter)
{
  OrderActions actions;
  m_book.OnUpstreamNotSent(aOrder, aCode, aRetryAfter, Now(), &actions);
  CarryOut(actions);
}

void
OrderDesk::OnUpstreamUnknown(RequestId aOrder, ResultCode aCode)
{
  OrderActions actions;
  m_book.OnUpstreamUnknown(aOrder, aCode, Now(), &actions);
  CarryOut(actions);
}

void
OrderDesk::Abandon(RequestId aOrder)
{
  m_orders.erase(aOrder);
  OrderActions actions;
  m_book.OnAbandon(aOrder, Now(), &actions);
  CarryOut(actions);
}

void
OrderDesk::OnStop()
{
  OrderActions actions;
  m_book.OnStop(Now(), &actions);
  CarryOut(actions);
}

OrderStatus
OrderDesk::StatusOf(const CustomerId& aCustomer, const OrderKey& aKey)
{
  return m_book.StatusOf(aCustomer, aKey, Now());
}

void
OrderDesk::CarryOut(const OrderActions& aActions)
{
  for (const OrderAction& action : aActions) {
    if (const auto* append = std::get_if<AppendRecords>(&action)) {
      Append(*append);
    } else if (const auto* read = std::get_if<ReadPartition>(&action)) {
      Read(*read);
    } else if (const auto* send = std::get_if<SendOrder>(&action)) {
      const auto found = m_orders.find(send->m_request);
      if (found != m_orders.end()) {
        // At once: a caller that goes away between now and a later turn would
        // leave an order that counts as sent and is not.
        const std::function<void()> callback = found->second.m_send;
        callback();
      }
    } else if (const auto* answer = std::get_if<AnswerOrder>(&action)) {
      const auto found = m_orders.find(answer->m_request);
      if (found != m_orders.end()) {
        m_context.m_loop.After(Duration::zero(),
                               [callback = std::move(found->second.m_answer),
                                result = *answer] { callback(result); });
        m_orders.erase(found);
      }
    }
  }
}

void
OrderDesk::Append(const AppendRecords& aAppend)
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
    [this, batch = aAppend.m_batch](const AppendAnswer& aAnswer) {
      m_context.m_orders->Call(
        [&](OrderDesk& aSelf) { aSelf.OnAppendAnswer(batch, aAnswer); });
    });
}

void
OrderDesk::OnAppendAnswer(BatchId aBatch, const AppendAnswer& aAnswer)
{
  m_appends.erase(aBatch);
  OrderActions actions;
  m_book.OnAppendResult(
    aBatch, StatusOfVerdict(aAnswer.m_verdict), Now(), &actions);
  CarryOut(actions);
}

void
OrderDesk::Read(const ReadPartition& aRead)
{
  ++m_context.m_metrics.Counter("platform_reads_total", "stream=\"orders\"");
  m_reads[aRead.m_partition] = m_context.m_platform.Read(
    StreamNameOf(aRead.m_partition),
    aRead.m_from,
    kRecordsPerRead,
    [this, partition = aRead.m_partition](
      const std::optional<proto::ReadResponse>& aResponse) {
      m_context.m_orders->Call([&](OrderDesk& aSelf) {
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
