#ifndef WALNUTWING_ORDERS_APPEND_QUEUE_H_
#define WALNUTWING_ORDERS_APPEND_QUEUE_H_

// Queue of the records of one partition that wait to be appended to the log.
// They are sent in batches: a batch is due when a record has waited for its
// maximum delay or the batch is full. Only one batch is in flight at a time, so
// that a slow log gets larger batches rather than more of them.
//
// A claim is appended at most once: if the answer to its append is lost, the
// owner of this queue looks for the claim in the log. Outcomes and voids are
// idempotent: their append is retried until it succeeds or they are too old.

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
  Duration m_recordDelay;  // longest wait of an outcome or void for its batch
  Duration m_retryDelay;   // pause before a failed append is retried
  Duration m_maxRecordAge; // outcomes and voids older than this are not retried
  std::size_t m_maxBatchRecords = 0;
};

class AppendQueue
{
public:
  struct Batch
  {
    std::vector<RequestId> m_claims; // requests whose claims are in m_records
    std::vector<proto::OrderRecord> m_records;
  };

  explicit AppendQueue(const AppendQueueOptions& aOptions);

  void AddClaim(RequestId aRequest, proto::OrderRecord aClaim, Time aNow);

  // Removes a claim. Returns false if it is not queued, for example because a
  // batch has taken it.
  bool RemoveClaim(RequestId aRequest);

  // Queues an outcome or a void.
  void AddRecord(proto::OrderRecord aRecord, Time aNow);

  // Returns the next batch if one is due and none is in flight. It is in flight
  // until FinishBatch.
  std::optional<Batch> TakeBatch(Time aNow);

  // Ends the batch in flight. If its append failed, its outcomes and voids are
  // queued for a retry, except those older than m_maxRecordAge, which are given
  // up. Returns how many were given up. Throws std::logic_error if no batch is
  // in flight.
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
    Time m_notBefore; // retry time after a failed attempt
    Time m_dueAt;
    Time m_giveUpAt;
  };

  bool IsDue(Time aNow) const;

  AppendQueueOptions m_options;
  std::deque<Claim> m_claims;
  std::deque<Record> m_records;
  // Outcomes and voids of the batch in flight.
  std::vector<Record> m_recordsInFlight;
  bool m_batchInFlight = false;
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_APPEND_QUEUE_H_
