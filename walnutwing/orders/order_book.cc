// Stages of a request: Checking (its partition is read first, since another
// claim may hold the key or may have been voided since the last read), Queued
// (its claim waits for a batch), Appended (its claim was put into a batch and
// has not been read back), Sent (its claim was read back as the holder). A
// request never returns to an earlier stage. A request that ends before Sent is
// never sent; if its claim may be in the log, a void is appended.
//
// A claim counts only once it is read back, whether its append was acknowledged
// or the answer was lost, because only the order of the log decides which of
// two claims came first. The answer to the append only determines when to read.
// A refused append means that its claims are not in the log.

#include "walnutwing/orders/order_book.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

#include "walnutwing/orders/append_queue.h"
#include "walnutwing/orders/log_health.h"
#include "walnutwing/orders/order_partition.h"

namespace walnutwing {
namespace {

enum class Stage
{
  Checking,
  Queued,
  Appended,
  Sent,
};

struct Request
{
  OrderRequest m_order;
  ClaimId m_claim;
  PartitionId m_partition = 0;
  Stage m_stage = Stage::Checking;
  std::uint64_t m_requiredRead = 0; // Checking ends after this read
  Time m_giveUpAt;                  // unless its claim was read back by then
  WallTime m_wallDeadline;
  bool m_abandoned = false;
};

struct AppendInFlight
{
  PartitionId m_partition = 0;
  std::vector<RequestId> m_claims;
};

// FNV-1a, which gives the same hash in every build and process.
std::uint64_t
StableHash(const std::string& aText, std::uint64_t aSeed)
{
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = aSeed;
  for (const char byte : aText) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return hash;
}

constexpr std::uint64_t kHashSeed = 14695981039346656037ULL;

proto::OrderRecord
ClaimRecord(const OrderRequest& aOrder, const ClaimId& aClaim)
{
  proto::OrderRecord record;
  proto::OrderClaim& claim = *record.mutable_claim();
  claim.set_customer(aOrder.m_customer.Value());
  claim.set_key(aOrder.m_key.Value());
  claim.set_body_sha256(aOrder.m_bodySha256);
  *claim.mutable_claim() = ToProto(aClaim);
  claim.set_service(aOrder.m_service.Value());
  return record;
}

proto::OrderRecord
VoidRecord(const Request& aRequest)
{
  proto::OrderRecord record;
  proto::OrderVoid& voided = *record.mutable_void_();
  voided.set_customer(aRequest.m_order.m_customer.Value());
  voided.set_key(aRequest.m_order.m_key.Value());
  *voided.mutable_claim() = ToProto(aRequest.m_claim);
  return record;
}

proto::OrderRecord
OutcomeRecord(const Request& aRequest, const OrderResult& aResult)
{
  proto::OrderRecord record;
  proto::OrderOutcome& outcome = *record.mutable_outcome();
  outcome.set_customer(aRequest.m_order.m_customer.Value());
  outcome.set_key(aRequest.m_order.m_key.Value());
  *outcome.mutable_claim() = ToProto(aRequest.m_claim);
  outcome.set_http_status(static_cast<std::uint32_t>(aResult.m_httpStatus));
  outcome.set_content_type(aResult.m_contentType);
  outcome.set_body(aResult.m_body);
  outcome.set_body_too_large(aResult.m_bodyTooLarge);
  outcome.set_unknown(aResult.m_unknown);
  return record;
}

// Whether a claim or another request with the same key has the same body and
// service.
template<typename Other>
bool
SameOrder(const Other& aOther, const OrderRequest& aOrder)
{
  return aOther.m_bodySha256 == aOrder.m_bodySha256 &&
         aOther.m_service == aOrder.m_service;
}

void
RequireRan(ResultCode aCode, Ran aRan)
{
  if (RowOf(aCode).m_ran != aRan) {
    throw std::invalid_argument("the result code does not mean: " +
                                std::string(NameOf(aRan)));
  }
}

} // namespace

class OrderBook::Impl
{
public:
  Impl(const OrderBookOptions& aOptions,
       DaemonId aDaemon,
       std::uint64_t aIncarnation)
    : m_options(aOptions)
    , m_daemon(std::move(aDaemon))
    , m_incarnation(aIncarnation)
    , m_readHealth(aOptions.m_failuresUntilDown, aOptions.m_retryAfter)
    , m_appendHealth(aOptions.m_failuresUntilDown, aOptions.m_retryAfter)
  {
    if (aOptions.m_partitionCount == 0 || aOptions.m_maxBatchRecords == 0) {
      throw std::invalid_argument(
        "m_partitionCount and m_maxBatchRecords must not be 0");
    }
  }

  void OnOrder(const OrderRequest& aOrder);
  void OnAppendResult(BatchId aBatch, AppendStatus aStatus);
  void OnRecords(PartitionId aPartition, const proto::ReadResponse& aResponse);
  void OnReadFailed(PartitionId aPartition);
  void OnUpstreamAnswer(RequestId aId, const OrderResult& aResult);
  void OnUpstreamNotSent(RequestId aId, ResultCode aCode, Duration aRetryAfter);
  void OnUpstreamUnknown(RequestId aId, ResultCode aCode);
  void OnAbandon(RequestId aId);
  void OnTick();
  void OnStop();
  bool Idle() const;
  OrderStatus StatusOf(const CustomerId& aCustomer, const OrderKey& aKey);
  PartitionId PartitionOf(const CustomerId& aCustomer,
                          const OrderKey& aKey) const;
  bool LogAvailable() const
  {
    return !m_readHealth.IsDown() && !m_appendHealth.IsDown();
  }
  OrderCounters Counters() const;
  std::size_t MemoryBytes() const;

  // Sets the time of the next event and where its actions are added.
  Impl& SetEvent(const OrderTime& aTime, OrderActions* aActions)
  {
    m_time = aTime;
    m_actions = aActions;
    return *this;
  }

private:
  // Code and result of an answer.
  struct Verdict
  {
    ResultCode m_code = ResultCode::Ok;
    std::shared_ptr<const OrderResult> m_result;
  };

  OrderPartition& GetOrCreate(PartitionId aId);
  Request& FindSentRequest(RequestId aId);

  std::optional<Verdict> VerdictWithoutClaim(const OrderRequest& aOrder,
                                             const OrderPartition& aPartition);
  std::optional<ResultCode> RefusalCode(const OrderRequest& aOrder) const;
  Verdict VerdictOfHolder(const OrderPartition& aPartition,
                          const KeyHolder& aHolder,
                          const OrderRequest& aOrder) const;
  Verdict VerdictOfUnsent(const OrderPartition& aPartition,
                          const Request& aRequest) const;
  Verdict VerdictOfInvalid(const OrderPartition& aPartition,
                           const Request& aRequest) const;
  bool SeemsRunning(const KeyHolder& aHolder) const;

  void Answer(RequestId aId, const Verdict& aVerdict);
  void Answer(RequestId aId, ResultCode aCode) { Answer(aId, { aCode, {} }); }
  void Erase(const Request& aRequest);

  void QueueClaim(OrderPartition* aPartition, Request* aRequest);
  void ResolvePending(OrderPartition* aPartition);
  void ResolveUnclaimed(OrderPartition* aPartition, Request* aRequest);
  void SendOrGiveUp(OrderPartition* aPartition, Request* aRequest);
  void GiveUp(Request* aRequest);
  void QueueVoid(const Request& aRequest);
  void RecordResult(const Request& aRequest, OrderResult aResult);
  void GiveUpUnclaimed();
  void EndRefusedClaims(const std::vector<RequestId>& aClaims);
  void OnAppendFailed();
  void StartDueCalls(PartitionId aId, OrderPartition* aPartition);
  void StartDueAppend(PartitionId aId, OrderPartition* aPartition);

  const OrderBookOptions m_options;
  const DaemonId m_daemon;
  const std::uint64_t m_incarnation;
  std::uint64_t m_lastSequence = 0;
  std::uint64_t m_lastBatch = 0;
  LogHealth m_readHealth;
  LogHealth m_appendHealth;
  std::map<PartitionId, OrderPartition> m_partitions;
  std::map<RequestId, Request> m_requests;
  std::map<BatchId, AppendInFlight> m_batches;
  OrderCounters m_counters;
  bool m_stopping = false;

  OrderTime m_time{};
  OrderActions* m_actions = nullptr;
};

OrderPartition&
OrderBook::Impl::GetOrCreate(PartitionId aId)
{
  return m_partitions.try_emplace(aId, m_options, m_time.m_now).first->second;
}

void
OrderBook::Impl::OnOrder(const OrderRequest& aOrder)
{
  if (m_requests.contains(aOrder.m_id)) {
    throw std::invalid_argument("the request id is in use");
  }
  const ResultCode keyCode =
    CheckOrderKey(aOrder.m_key, m_time.m_wallNow, m_options.m_key);
  if (keyCode != ResultCode::Ok) {
    Answer(aOrder.m_id, keyCode);
    return;
  }
  const PartitionId id = PartitionOf(aOrder.m_customer, aOrder.m_key);
  OrderPartition& partition = GetOrCreate(id);
  if (const auto verdict = VerdictWithoutClaim(aOrder, partition)) {
    Answer(aOrder.m_id, *verdict);
    return;
  }

  Request request;
  request.m_order = aOrder;
  request.m_claim = { m_daemon, m_incarnation, ++m_lastSequence };
  request.m_partition = id;
  Request& stored = m_requests.emplace(aOrder.m_id, request).first->second;
  Time& deadline = stored.m_order.m_deadline;
  deadline = std::min(deadline, m_time.m_now + m_options.m_maxDeadline);
  stored.m_giveUpAt =
    std::min(deadline, m_time.m_now + m_options.m_claimTimeout);
  stored.m_wallDeadline = m_time.m_wallNow + (deadline - m_time.m_now);
  partition.AddPending(aOrder, m_time.m_now);
  if (partition.CaughtUp() &&
      partition.Index().Find(aOrder.m_customer, aOrder.m_key) == nullptr) {
    QueueClaim(&partition, &stored);
  } else {
    stored.m_requiredRead = partition.NextReadNumber();
    partition.RequestRead(m_time.m_now);
  }
  StartDueCalls(id, &partition);
}

void
OrderBook::Impl::QueueClaim(OrderPartition* aPartition, Request* aRequest)
{
  const OrderRequest& order = aRequest->m_order;
  aRequest->m_stage = Stage::Queued;
  aPartition->Queue().AddClaim(
    order.m_id, ClaimRecord(order, aRequest->m_claim), m_time.m_now);
}

// Returns the answer to an order that needs no claim of its own, or nullopt if
// the order needs a claim or its partition must be read first.
std::optional<OrderBook::Impl::Verdict>
OrderBook::Impl::VerdictWithoutClaim(const OrderRequest& aOrder,
                                     const OrderPartition& aPartition)
{
  const auto pending =
    aPartition.FindPendingRequest(aOrder.m_customer, aOrder.m_key);
  if (pending) {
    const Request& other = m_requests.at(*pending);
    const bool reused =
      other.m_stage == Stage::Sent && !SameOrder(other.m_order, aOrder);
    return Verdict{ reused ? ResultCode::OrderKeyReused
                           : ResultCode::OrderRunning,
                    {} };
  }
  const KeyHolder* holder =
    aPartition.Index().Find(aOrder.m_customer, aOrder.m_key);
  const std::optional<ResultCode> refusal = RefusalCode(aOrder);
  if (holder == nullptr) {
    return refusal ? std::optional(Verdict{ *refusal, {} }) : std::nullopt;
  }
  Verdict verdict = VerdictOfHolder(aPartition, *holder, aOrder);
  if (aPartition.ResultOf(aOrder.m_customer, aOrder.m_key)) {
    return verdict; // a claim with a result is never voided
  }
  // A holder without a result may have been voided since it was read, and a
  // claim with another body may hold the key now.
  if (verdict.m_code == ResultCode::OrderKeyReused) {
    return refusal ? std::optional(Verdict{ *refusal, {} }) : std::nullopt;
  }
  const bool fresh =
    aPartition.WasReadWithin(m_options.m_maxReadAge, m_time.m_now);
  return fresh || refusal ? std::optional(verdict) : std::nullopt;
}

// Returns why an order cannot get a claim now, or nullopt if it can.
std::optional<ResultCode>
OrderBook::Impl::RefusalCode(const OrderRequest& aOrder) const
{
  if (m_stopping) {
    return ResultCode::Stopping;
  }
  if (aOrder.m_deadline <= m_time.m_now) {
    return ResultCode::DeadlineTooShort;
  }
  if (!m_readHealth.MayCall(m_time.m_now) ||
      !m_appendHealth.MayCall(m_time.m_now)) {
    return ResultCode::ClaimsUnavailable;
  }
  if (m_requests.size() >= m_options.m_maxRequests) {
    return ResultCode::QueueFull;
  }
  return std::nullopt;
}

OrderBook::Impl::Verdict
OrderBook::Impl::VerdictOfHolder(const OrderPartition& aPartition,
                                 const KeyHolder& aHolder,
                                 const OrderRequest& aOrder) const
{
  if (!SameOrder(aHolder, aOrder)) {
    return { ResultCode::OrderKeyReused, {} };
  }
  const auto result = aPartition.ResultOf(aOrder.m_customer, aOrder.m_key);
  if (result && !result->m_unknown) {
    return { ResultCode::Ok, result };
  }
  if (!result && SeemsRunning(aHolder)) {
    return { ResultCode::OrderRunning, {} };
  }
  return { ResultCode::OrderOutcomeUnknown, {} };
}

// Returns the answer to a request that is given up before it was sent.
OrderBook::Impl::Verdict
OrderBook::Impl::VerdictOfUnsent(const OrderPartition& aPartition,
                                 const Request& aRequest) const
{
  const OrderRequest& order = aRequest.m_order;
  const KeyHolder* holder =
    aPartition.Index().Find(order.m_customer, order.m_key);
  if (holder != nullptr && holder->m_claim != aRequest.m_claim) {
    Verdict verdict = VerdictOfHolder(aPartition, *holder, order);
    if (verdict.m_code != ResultCode::OrderKeyReused ||
        aPartition.ResultOf(order.m_customer, order.m_key)) {
      return verdict;
    }
  }
  const ResultCode keyCode =
    CheckOrderKey(order.m_key, aPartition.Index().LogTime(), m_options.m_key);
  if (keyCode == ResultCode::OrderKeyExpired) {
    return { keyCode, {} };
  }
  if (m_stopping) {
    return { ResultCode::Stopping, {} };
  }
  const bool failing = m_readHealth.IsFailing() || m_appendHealth.IsFailing();
  return { failing ? ResultCode::ClaimsUnavailable : ResultCode::OrderVoided,
           {} };
}

// Returns the answer to a request whose claim was read back as invalid.
OrderBook::Impl::Verdict
OrderBook::Impl::VerdictOfInvalid(const OrderPartition& aPartition,
                                  const Request& aRequest) const
{
  const OrderRequest& order = aRequest.m_order;
  const KeyHolder* holder =
    aPartition.Index().Find(order.m_customer, order.m_key);
  return holder != nullptr ? VerdictOfHolder(aPartition, *holder, order)
                           : VerdictOfUnsent(aPartition, aRequest);
}

// Whether a holder without a result counts as running: it is not from an
// earlier start of this daemon and not older than m_outcomeTimeout.
bool
OrderBook::Impl::SeemsRunning(const KeyHolder& aHolder) const
{
  const bool earlierStart = aHolder.m_claim.m_daemon == m_daemon &&
                            aHolder.m_claim.m_incarnation != m_incarnation;
  return !earlierStart &&
         m_time.m_wallNow <= aHolder.m_claimedAt + m_options.m_outcomeTimeout;
}

void
OrderBook::Impl::Answer(RequestId aId, const Verdict& aVerdict)
{
  const auto found = m_requests.find(aId);
  if (found != m_requests.end() && found->second.m_abandoned) {
    return;
  }
  const bool retryable = RowOf(aVerdict.m_code).m_repeat != Repeat::No;
  m_actions->push_back(
    AnswerOrder{ aId,
                 aVerdict.m_code,
                 aVerdict.m_result,
                 aVerdict.m_code == ResultCode::Ok,
                 retryable ? m_options.m_retryAfter : Duration{} });
}

void
OrderBook::Impl::Erase(const Request& aRequest)
{
  m_partitions.at(aRequest.m_partition).RemovePending(aRequest.m_order);
  m_requests.erase(RequestId(aRequest.m_order.m_id));
}

void
OrderBook::Impl::OnAppendResult(BatchId aBatch, AppendStatus aStatus)
{
  const auto found = m_batches.find(aBatch);
  if (found == m_batches.end()) {
    return;
  }
  const AppendInFlight batch = std::move(found->second);
  m_batches.erase(found);
  OrderPartition& partition = m_partitions.at(batch.m_partition);
  const bool acked = aStatus == AppendStatus::Acked;
  m_counters.m_recordsGivenUp +=
    partition.Queue().FinishBatch(acked, m_time.m_now);
  if (acked) {
    m_appendHealth.OnSuccess();
  } else {
    OnAppendFailed();
  }
  if (aStatus == AppendStatus::Refused) {
    EndRefusedClaims(batch.m_claims);
  }
  if (aStatus != AppendStatus::Refused && !batch.m_claims.empty()) {
    partition.RequestRead(m_time.m_now);
  }
  StartDueCalls(batch.m_partition, &partition);
}

// Answers and removes the requests whose claims are certainly not in the log,
// since their append was refused.
void
OrderBook::Impl::EndRefusedClaims(const std::vector<RequestId>& aClaims)
{
  for (const RequestId id : aClaims) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.m_stage != Stage::Appended) {
      continue;
    }
    const Request& request = found->second;
    Answer(id, VerdictOfUnsent(m_partitions.at(request.m_partition), request));
    Erase(request);
  }
}

void
OrderBook::Impl::OnAppendFailed()
{
  m_appendHealth.OnFailure(m_time.m_now);
  if (m_appendHealth.IsDown()) {
    GiveUpUnclaimed();
  }
}

void
OrderBook::Impl::OnRecords(PartitionId aPartition,
                           const proto::ReadResponse& aResponse)
{
  OrderPartition& partition = m_partitions.at(aPartition);
  if (!partition.OnRecords(aResponse, m_time.m_now)) {
    OnReadFailed(aPartition);
    return;
  }
  m_readHealth.OnSuccess();
  ResolvePending(&partition);
  StartDueCalls(aPartition, &partition);
}

void
OrderBook::Impl::OnReadFailed(PartitionId aPartition)
{
  m_partitions.at(aPartition).OnReadFailed(m_time.m_now);
  m_readHealth.OnFailure(m_time.m_now);
  if (m_readHealth.IsDown()) {
    GiveUpUnclaimed();
  }
}

// After a read: handles the requests whose claims are still to be appended, and
// sends or ends those whose claims were read back.
void
OrderBook::Impl::ResolvePending(OrderPartition* aPartition)
{
  for (const RequestId id : aPartition->PendingRequests()) {
    Request& request = m_requests.at(id);
    if (request.m_stage < Stage::Appended) {
      ResolveUnclaimed(aPartition, &request);
    }
  }
  const std::set<RequestId> awaiting = aPartition->AwaitingRead();
  for (const RequestId id : awaiting) {
    Request& request = m_requests.at(id);
    switch (aPartition->Index().StateOf(
      request.m_order.m_customer, request.m_order.m_key, request.m_claim)) {
      case ClaimState::Unseen:
        continue;
      case ClaimState::Invalid:
        Answer(id, VerdictOfInvalid(*aPartition, request));
        Erase(request);
        continue;
      case ClaimState::Holder:
        SendOrGiveUp(aPartition, &request);
        continue;
    }
  }
}

// Handles a request whose claim is not in a batch yet: ends it if another claim
// holds its key, and queues its claim if Checking found the key free.
void
OrderBook::Impl::ResolveUnclaimed(OrderPartition* aPartition, Request* aRequest)
{
  const OrderRequest& order = aRequest->m_order;
  const bool checking = aRequest->m_stage == Stage::Checking;
  if (checking && aPartition->LastFullRead() < aRequest->m_requiredRead) {
    return;
  }
  const KeyHolder* holder =
    aPartition->Index().Find(order.m_customer, order.m_key);
  if (holder == nullptr) {
    if (checking) {
      QueueClaim(aPartition, aRequest);
    }
    return;
  }
  // A record that was not read yet may void this holder. Unless the holder has
  // a result, its different body does not prove that the key was reused.
  const Verdict verdict = VerdictOfHolder(*aPartition, *holder, order);
  if (!checking && verdict.m_code == ResultCode::OrderKeyReused &&
      !aPartition->ResultOf(order.m_customer, order.m_key)) {
    return;
  }
  aPartition->Queue().RemoveClaim(order.m_id);
  Answer(order.m_id, verdict);
  Erase(*aRequest);
}

// The only place that sends an order. The deadline must not have passed by
// either clock: the process may have been paused, or its VM suspended, since
// the last event.
void
OrderBook::Impl::SendOrGiveUp(OrderPartition* aPartition, Request* aRequest)
{
  if (aRequest->m_order.m_deadline <= m_time.m_now ||
      aRequest->m_wallDeadline <= m_time.m_wallNow) {
    GiveUp(aRequest);
    return;
  }
  aRequest->m_stage = Stage::Sent;
  aPartition->AwaitingRead().erase(aRequest->m_order.m_id);
  ++m_counters.m_sent;
  m_actions->push_back(SendOrder{ aRequest->m_order.m_id });
}

// Ends a request that was not sent; it will not be sent later.
void
OrderBook::Impl::GiveUp(Request* aRequest)
{
  OrderPartition& partition = m_partitions.at(aRequest->m_partition);
  if (aRequest->m_stage < Stage::Appended) {
    partition.Queue().RemoveClaim(aRequest->m_order.m_id);
  } else {
    QueueVoid(*aRequest);
  }
  Answer(aRequest->m_order.m_id, VerdictOfUnsent(partition, *aRequest));
  Erase(*aRequest);
}

void
OrderBook::Impl::QueueVoid(const Request& aRequest)
{
  ++m_counters.m_voided;
  m_partitions.at(aRequest.m_partition)
    .Queue()
    .AddRecord(VoidRecord(aRequest), m_time.m_now);
}

// Gives up the requests whose claims are not in a batch yet.
void
OrderBook::Impl::GiveUpUnclaimed()
{
  std::vector<RequestId> unclaimed;
  for (const auto& [id, request] : m_requests) {
    if (request.m_stage < Stage::Appended) {
      unclaimed.push_back(id);
    }
  }
  for (const RequestId id : unclaimed) {
    GiveUp(&m_requests.at(id));
  }
}

Request&
OrderBook::Impl::FindSentRequest(RequestId aId)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end() || found->second.m_stage != Stage::Sent) {
    throw std::invalid_argument("the request was not sent");
  }
  return found->second;
}

void
OrderBook::Impl::OnUpstreamAnswer(RequestId aId, const OrderResult& aResult)
{
  const Request request = FindSentRequest(aId);
  if (!request.m_abandoned) {
    m_actions->push_back(
      AnswerOrder{ aId,
                   ResultCode::Ok,
                   std::make_shared<const OrderResult>(aResult),
                   false,
                   Duration{} });
  }
  RecordResult(request, aResult);
}

void
OrderBook::Impl::OnUpstreamNotSent(RequestId aId,
                                   ResultCode aCode,
                                   Duration aRetryAfter)
{
  RequireRan(aCode, Ran::NotRun);
  const Request request = FindSentRequest(aId);
  if (!request.m_abandoned) {
    m_actions->push_back(AnswerOrder{ aId, aCode, {}, false, aRetryAfter });
  }
  QueueVoid(request);
  Erase(request);
  StartDueCalls(request.m_partition, &m_partitions.at(request.m_partition));
}

void
OrderBook::Impl::OnUpstreamUnknown(RequestId aId, ResultCode aCode)
{
  RequireRan(aCode, Ran::Unknown);
  const Request request = FindSentRequest(aId);
  Answer(aId, aCode);
  OrderResult unknown;
  unknown.m_unknown = true;
  RecordResult(request, std::move(unknown));
}

// Records how a sent order ended and removes its request.
void
OrderBook::Impl::RecordResult(const Request& aRequest, OrderResult aResult)
{
  if (aResult.m_body.size() > m_options.m_maxOutcomeBodyBytes) {
    aResult.m_body = std::string();
    aResult.m_bodyTooLarge = true;
  }
  OrderPartition& partition = m_partitions.at(aRequest.m_partition);
  partition.Queue().AddRecord(OutcomeRecord(aRequest, aResult), m_time.m_now);
  partition.SetLocalResult(
    aRequest.m_order, std::make_shared<const OrderResult>(std::move(aResult)));
  Erase(aRequest);
  StartDueCalls(aRequest.m_partition, &partition);
}

void
OrderBook::Impl::OnAbandon(RequestId aId)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end()) {
    return;
  }
  Request& request = found->second;
  request.m_abandoned = true;
  if (request.m_stage != Stage::Sent) {
    GiveUp(&request);
  }
}

void
OrderBook::Impl::OnTick()
{
  std::vector<RequestId> timedOut;
  for (const auto& [id, request] : m_requests) {
    if (request.m_stage != Stage::Sent && request.m_giveUpAt <= m_time.m_now) {
      timedOut.push_back(id);
    }
  }
  for (const RequestId id : timedOut) {
    GiveUp(&m_requests.at(id));
  }
  std::erase_if(m_partitions, [this](const auto& aEntry) {
    return aEntry.second.IsUnused(m_time.m_now);
  });
  for (auto& [id, partition] : m_partitions) {
    StartDueCalls(id, &partition);
  }
}

void
OrderBook::Impl::OnStop()
{
  m_stopping = true;
  GiveUpUnclaimed();
  OnTick();
}

bool
OrderBook::Impl::Idle() const
{
  return m_requests.empty() &&
         std::all_of(
           m_partitions.begin(), m_partitions.end(), [](const auto& aEntry) {
             return aEntry.second.Queue().Empty();
           });
}

// Starts the append and the read of a partition that are due.
void
OrderBook::Impl::StartDueCalls(PartitionId aId, OrderPartition* aPartition)
{
  StartDueAppend(aId, aPartition);
  if (!m_readHealth.MayCall(m_time.m_now)) {
    return;
  }
  const std::optional<LogOffset> from = aPartition->StartDueRead(m_time.m_now);
  if (!from) {
    return;
  }
  m_readHealth.OnCallStarted(m_time.m_now);
  m_actions->push_back(ReadPartition{ aId, *from });
}

void
OrderBook::Impl::StartDueAppend(PartitionId aId, OrderPartition* aPartition)
{
  if (!m_appendHealth.MayCall(m_time.m_now)) {
    return;
  }
  auto batch = aPartition->Queue().TakeBatch(m_time.m_now);
  if (!batch) {
    return;
  }
  m_appendHealth.OnCallStarted(m_time.m_now);
  const BatchId id(++m_lastBatch);
  for (const RequestId request : batch->m_claims) {
    m_requests.at(request).m_stage = Stage::Appended;
    aPartition->AwaitingRead().insert(request);
  }
  ++m_counters.m_appends;
  m_counters.m_records += batch->m_records.size();
  m_batches.emplace(id, AppendInFlight{ aId, std::move(batch->m_claims) });
  m_actions->push_back(AppendRecords{ id, aId, std::move(batch->m_records) });
}

OrderStatus
OrderBook::Impl::StatusOf(const CustomerId& aCustomer, const OrderKey& aKey)
{
  OrderStatus status;
  OrderPartition& partition = GetOrCreate(PartitionOf(aCustomer, aKey));
  partition.Touch(m_time.m_now);
  status.m_current =
    partition.WasReadWithin(m_options.m_tailInterval, m_time.m_now);
  if (!partition.WasReadWithin(m_options.m_maxReadAge, m_time.m_now)) {
    partition.RequestRead(m_time.m_now);
  }
  const KeyHolder* holder = partition.Index().Find(aCustomer, aKey);
  if (holder == nullptr) {
    const ResultCode keyCode =
      CheckOrderKey(aKey, m_time.m_wallNow, m_options.m_key);
    status.m_code = keyCode == ResultCode::Ok ? ResultCode::NotFound : keyCode;
    return status;
  }
  status.m_claim = holder->m_claim;
  status.m_service = holder->m_service;
  status.m_claimedAt = holder->m_claimedAt;
  status.m_result = partition.ResultOf(aCustomer, aKey);
  if (status.m_result && !status.m_result->m_unknown) {
    status.m_code = ResultCode::Ok;
  } else if (!status.m_result && SeemsRunning(*holder)) {
    status.m_code = ResultCode::OrderRunning;
  } else {
    status.m_code = ResultCode::OrderOutcomeUnknown;
  }
  return status;
}

PartitionId
OrderBook::Impl::PartitionOf(const CustomerId& aCustomer,
                             const OrderKey& aKey) const
{
  const std::uint64_t hash =
    StableHash(aKey.Value(), StableHash(aCustomer.Value(), kHashSeed));
  return static_cast<PartitionId>(hash % m_options.m_partitionCount);
}

OrderCounters
OrderBook::Impl::Counters() const
{
  OrderCounters counters = m_counters;
  for (const auto& [id, partition] : m_partitions) {
    counters.m_unreadableRecords += partition.Index().UnreadableRecords();
  }
  return counters;
}

std::size_t
OrderBook::Impl::MemoryBytes() const
{
  std::size_t bytes = sizeof(*this) + m_requests.size() * sizeof(Request);
  for (const auto& [id, partition] : m_partitions) {
    bytes += partition.MemoryBytes();
  }
  return bytes;
}

OrderBook::OrderBook(const OrderBookOptions& aOptions,
                     DaemonId aDaemon,
                     std::uint64_t aIncarnation)
  : m_impl(std::make_unique<Impl>(aOptions, std::move(aDaemon), aIncarnation))
{
}

OrderBook::~OrderBook() = default;

void
OrderBook::OnOrder(const OrderRequest& aRequest,
                   const OrderTime& aTime,
                   OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnOrder(aRequest);
}

void
OrderBook::OnAppendResult(BatchId aBatch,
                          AppendStatus aStatus,
                          const OrderTime& aTime,
                          OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnAppendResult(aBatch, aStatus);
}

void
OrderBook::OnRecords(PartitionId aPartition,
                     const proto::ReadResponse& aResponse,
                     const OrderTime& aTime,
                     OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnRecords(aPartition, aResponse);
}

void
OrderBook::OnReadFailed(PartitionId aPartition,
                        const OrderTime& aTime,
                        OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnReadFailed(aPartition);
}

void
OrderBook::OnUpstreamAnswer(RequestId aRequest,
                            const OrderResult& aResult,
                            const OrderTime& aTime,
                            OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnUpstreamAnswer(aRequest, aResult);
}

void
OrderBook::OnUpstreamNotSent(RequestId aRequest,
                             ResultCode aCode,
                             Duration aRetryAfter,
                             const OrderTime& aTime,
                             OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions)
    .OnUpstreamNotSent(aRequest, aCode, aRetryAfter);
}

void
OrderBook::OnUpstreamUnknown(RequestId aRequest,
                             ResultCode aCode,
                             const OrderTime& aTime,
                             OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnUpstreamUnknown(aRequest, aCode);
}

void
OrderBook::OnAbandon(RequestId aRequest,
                     const OrderTime& aTime,
                     OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnAbandon(aRequest);
}

void
OrderBook::OnTick(const OrderTime& aTime, OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnTick();
}

void
OrderBook::OnStop(const OrderTime& aTime, OrderActions* aActions)
{
  m_impl->SetEvent(aTime, aActions).OnStop();
}

bool
OrderBook::Idle() const
{
  return m_impl->Idle();
}

bool
OrderBook::LogAvailable() const
{
  return m_impl->LogAvailable();
}

OrderStatus
OrderBook::StatusOf(const CustomerId& aCustomer,
                    const OrderKey& aKey,
                    const OrderTime& aTime)
{
  return m_impl->SetEvent(aTime, nullptr).StatusOf(aCustomer, aKey);
}

PartitionId
OrderBook::PartitionOf(const CustomerId& aCustomer, const OrderKey& aKey) const
{
  return m_impl->PartitionOf(aCustomer, aKey);
}

OrderCounters
OrderBook::Counters() const
{
  return m_impl->Counters();
}

std::size_t
OrderBook::MemoryBytes() const
{
  return m_impl->MemoryBytes();
}

std::string
StreamNameOf(PartitionId aPartition)
{
  std::array<char, 32> name{};
  std::snprintf(name.data(), name.size(), "orders-%02u", aPartition);
  return name.data();
}

} // namespace walnutwing
