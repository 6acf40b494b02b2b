#ifndef WALNUTWING_ORDERS_APPEND_QUEUE_H_
#define WALNUTWING_ORDERS_APPEND_QUEUE_H_

// Records of one partition that wait for their append. They are batched: a
// batch leaves when a record has waited its delay or the batch is full, and
// only one batch is under way at a time, so that a slow log gets larger batches
// in place of more of them.
//
// A claim is appended at most once: a claim whose append answer was lost is
// looked for in the log by the owner of this queue. Outcomes and voids may be
// in the log more than once without harm; their append is repeated until one
// succeeds or they are too old.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "orders.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

struct AppendQueueOptions
{
  Duration m_claimDelay;   // longest wait of a claim for its batch
  Duration m_recordDelay;  // longest wait of an outcome or void
  Duration m_retryDelay;   // pause before an append is repeated
  Duration m_maxRecordAge; // how long after its arrival a record is given up
  std::size_t m_maxBatchRecords = 0;
};

class AppendQueue
{
public:
  struct Batch
  {
    std::vector<RequestId> m_claims; // whose claims are in it
    std::vector<proto::OrderRecord> m_records;
  };

  explicit AppendQueue(const AppendQueueOptions& aOptions);

  void AddClaim(RequestId aRequest, proto::OrderRecord aClaim, Time aNow);

  // Takes back a claim. False if it has left with a batch.
  bool RemoveClaim(RequestId aRequest);

  // Adds an outcome or a void.
  void AddRecord(proto::OrderRecord aRecord, Time aNow);

  // The next batch, if one is due and none is under way. It is under way until
  // FinishBatch.
  std::optional<Batch> TakeBatch(Time aNow);

  // The batch under way has ended. If it failed, its outcomes and voids wait
  // for another attempt. Returns how many were given up.
  std::size_t FinishBatch(bool aSucceeded, Time aNow);

  bool Empty() const
  {
    return m_claims.empty() && m_records.empty() && !m_batchInFlight;
  }

private:
  struct Claim
  {
    RequestId m_request;
    proto::OrderRecord m_record;
    Time m_dueAt;
  };
  struct Record
  {
    proto::OrderRecord m_record;
    Time m_notBefore; // after a failed attempt
    Time m_dueAt;
    Time m_giveUpAt;
  };

  bool IsDue(Time aNow) const;

  AppendQueueOptions m_options;
  std::deque<Claim> m_claims;
  std::deque<Record> m_records;
  std::vector<Record>
    m_recordsInFlight; // outcomes and voids of the batch under way
  bool m_batchInFlight = false;
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_APPEND_QUEUE_H_
