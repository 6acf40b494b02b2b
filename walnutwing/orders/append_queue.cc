// Two queues, one for claims and one for outcomes and voids, each in the order
// of arrival; an outcome or void whose append failed goes to the end. Claims go
// into a batch first, since callers wait for them; outcomes and voids fill it
// up.

#include "walnutwing/orders/append_queue.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace walnutwing {

AppendQueue::AppendQueue(const AppendQueueOptions& aOptions)
  : m_options(aOptions)
{
}

void
AppendQueue::AddClaim(RequestId aRequest, proto::OrderRecord aClaim, Time aNow)
{
  m_claims.push_back(
    { aRequest, std::move(aClaim), aNow + m_options.m_claimDelay });
}

bool
AppendQueue::RemoveClaim(RequestId aRequest)
{
  const auto isRequest = [aRequest](const Claim& aClaim) {
    return aClaim.m_request == aRequest;
  };
  return std::erase_if(m_claims, isRequest) > 0;
}

void
AppendQueue::AddRecord(proto::OrderRecord aRecord, Time aNow)
{
  m_records.push_back({ std::move(aRecord),
                        aNow,
                        aNow + m_options.m_recordDelay,
                        aNow + m_options.m_maxRecordAge });
}

bool
AppendQueue::IsDue(Time aNow) const
{
  if (!m_claims.empty() && (m_claims.front().m_dueAt <= aNow ||
                            m_claims.size() >= m_options.m_maxBatchRecords)) {
    return true;
  }
  if (m_records.size() >= m_options.m_maxBatchRecords &&
      m_records.front().m_notBefore <= aNow) {
    return true;
  }
  return std::any_of(
    m_records.begin(), m_records.end(), [aNow](const Record& aRecord) {
      return aRecord.m_dueAt <= aNow;
    });
}

std::optional<AppendQueue::Batch>
AppendQueue::TakeBatch(Time aNow)
{
  if (m_batchInFlight || !IsDue(aNow)) {
    return std::nullopt;
  }
  Batch batch;
  while (!m_claims.empty() &&
         batch.m_records.size() < m_options.m_maxBatchRecords) {
    batch.m_claims.push_back(m_claims.front().m_request);
    batch.m_records.push_back(std::move(m_claims.front().m_record));
    m_claims.pop_front();
  }
  std::deque<Record> waiting;
  for (Record& record : m_records) {
    if (record.m_notBefore > aNow ||
        batch.m_records.size() >= m_options.m_maxBatchRecords) {
      waiting.push_back(std::move(record));
      continue;
    }
    batch.m_records.push_back(record.m_record);
    m_recordsInFlight.push_back(std::move(record));
  }
  m_records = std::move(waiting);
  m_batchInFlight = true;
  return batch;
}

std::size_t
AppendQueue::FinishBatch(bool aSucceeded, Time aNow)
{
  if (!m_batchInFlight) {
    throw std::logic_error("no batch is in flight");
  }
  m_batchInFlight = false;
  std::size_t givenUp = 0;
  for (Record& record : m_recordsInFlight) {
    if (aSucceeded) {
      continue;
    }
    if (record.m_giveUpAt <= aNow) {
      ++givenUp;
      continue;
    }
    record.m_notBefore = aNow + m_options.m_retryDelay;
    record.m_dueAt = record.m_notBefore;
    m_records.push_back(std::move(record));
  }
  m_recordsInFlight.clear();
  return givenUp;
}

} // namespace walnutwing
