// The next read starts at once while there is more to read, after the read
// interval while a claim is awaited, and after the tail interval otherwise. A
// read that is requested while another one is in flight, for example after an
// append, starts when that one has ended, since the response in flight may
// predate the append. After a failed read, the next one always starts after the
// read interval.

#include "walnutwing/orders/order_partition.h"

#include <algorithm>
#include <utility>

namespace walnutwing {

OrderPartition::OrderPartition(const OrderBookOptions& aOptions, Time aNow)
  : m_options(aOptions)
  , m_index(ClaimIndexOptions{ aOptions.m_key,
                               aOptions.m_maxDeadline,
                               aOptions.m_maxBodyBytes })
  , m_queue(AppendQueueOptions{ aOptions.m_batchDelay,
                                aOptions.m_outcomeDelay,
                                aOptions.m_recordRetryDelay,
                                aOptions.m_maxRecordAge,
                                aOptions.m_maxBatchRecords })
  , m_nextReadAt(aNow)
  , m_lastUsed(aNow)
{
}

std::optional<LogOffset>
OrderPartition::StartDueRead(Time aNow)
{
  if (m_readInFlight || aNow < m_nextReadAt) {
    return std::nullopt;
  }
  m_readInFlight = true;
  m_readAgain = false;
  ++m_lastReadStarted;
  return LogOffset(m_nextOffset);
}

void
OrderPartition::RequestRead(Time aNow)
{
  m_nextReadAt = aNow;
  m_readAgain = m_readInFlight;
}

bool
OrderPartition::OnRecords(const proto::ReadResponse& aResponse, Time aNow)
{
  if (aResponse.next_offset() < m_nextOffset) {
    OnReadFailed(aNow);
    return false;
  }
  // Records that expired before they were read are too old for any key that is
  // still accepted (see order_key.h).
  m_nextOffset = std::max(m_nextOffset, aResponse.first_offset());
  for (const proto::LogRecord& record : aResponse.records()) {
    if (record.offset() < m_nextOffset) {
      continue;
    }
    if (record.offset() > m_nextOffset) {
      OnReadFailed(aNow);
      return false;
    }
    m_index.Apply(record);
    ++m_nextOffset;
  }
  DropRecordedResults();
  m_readInFlight = false;
  const bool more = m_nextOffset < aResponse.next_offset();
  if (!more) {
    m_lastFullRead = m_lastReadStarted;
    m_lastFullReadAt = aNow;
  }
  if (more || m_readAgain) {
    m_nextReadAt = aNow;
    return true;
  }
  const bool awaited = !m_awaitingRead.empty();
  m_nextReadAt =
    aNow + (awaited ? m_options.m_readInterval : m_options.m_tailInterval);
  return true;
}

void
OrderPartition::OnReadFailed(Time aNow)
{
  m_readInFlight = false;
  m_nextReadAt = aNow + m_options.m_readInterval;
}

bool
OrderPartition::WasReadWithin(Duration aAge, Time aNow) const
{
  return CaughtUp() && m_lastFullReadAt + aAge >= aNow;
}

std::optional<RequestId>
OrderPartition::FindPendingRequest(const CustomerId& aCustomer,
                                   const OrderKey& aKey) const
{
  const auto found = m_pending.find({ aCustomer, aKey });
  return found == m_pending.end() ? std::nullopt
                                  : std::optional<RequestId>(found->second);
}

std::vector<RequestId>
OrderPartition::PendingRequests() const
{
  std::vector<RequestId> requests;
  requests.reserve(m_pending.size());
  for (const auto& [name, request] : m_pending) {
    requests.push_back(request);
  }
  return requests;
}

void
OrderPartition::AddPending(const OrderRequest& aRequest, Time aNow)
{
  m_pending.emplace(CustomerKey(aRequest.m_customer, aRequest.m_key),
                    aRequest.m_id);
  m_lastUsed = aNow;
}

void
OrderPartition::RemovePending(const OrderRequest& aRequest)
{
  m_pending.erase({ aRequest.m_customer, aRequest.m_key });
  m_awaitingRead.erase(aRequest.m_id);
}

void
OrderPartition::SetLocalResult(const OrderRequest& aRequest,
                               std::shared_ptr<const OrderResult> aResult)
{
  m_localResults[{ aRequest.m_customer, aRequest.m_key }] = std::move(aResult);
}

std::shared_ptr<const OrderResult>
OrderPartition::ResultOf(const CustomerId& aCustomer,
                         const OrderKey& aKey) const
{
  const KeyHolder* holder = m_index.Find(aCustomer, aKey);
  if (holder != nullptr && holder->m_result) {
    return holder->m_result;
  }
  const auto found = m_localResults.find({ aCustomer, aKey });
  return found == m_localResults.end() ? nullptr : found->second;
}

void
OrderPartition::DropRecordedResults()
{
  std::erase_if(m_localResults, [this](const auto& aEntry) {
    const auto& [customer, key] = aEntry.first;
    const KeyHolder* holder = m_index.Find(customer, key);
    return holder == nullptr || holder->m_result != nullptr;
  });
}

bool
OrderPartition::IsUnused(Time aNow) const
{
  return m_lastUsed + m_options.m_partitionIdleTimeout < aNow &&
         m_pending.empty() && m_localResults.empty() && m_queue.Empty() &&
         !m_readInFlight;
}

} // namespace walnutwing
