#include "router/trait_block_store.h"

#include <algorithm>
#include <utility>

#include "router/trait_news_codec.h"
#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing::router {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryInterval = std::chrono::milliseconds(2000);

std::string
KeyOf(const TraitId& aTrait)
{
  return std::string(kBlockedTraitPrefix) + aTrait.Value();
}

Event
EventOf(const TraitChange& aChange, bool aIsRequest)
{
  const bool ends = aChange.m_kind == TraitChangeKind::Cleared ||
                    aChange.m_kind == TraitChangeKind::Forgotten;
  if (aIsRequest) {
    return ends ? Event::RequestUnblocked : Event::RequestBlocked;
  }
  return ends ? Event::PromptPartCleared : Event::PromptPartBlocked;
}

} // namespace

TraitBlockStore::TraitBlockStore(Context& aContext,
                                 const LoadExchange& aExchange)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
{
}

void
TraitBlockStore::Tick(Time aNow)
{
  m_context.m_traitBreaker.Tick(aNow);
  HandleChanges(aNow);
  WriteNext(aNow);
}

void
TraitBlockStore::HandleChanges(Time aNow)
{
  for (const TraitChange& change : m_context.m_traitBreaker.TakeChanges()) {
    Log(change, aNow);
    if (change.m_kind != TraitChangeKind::Tried) {
      m_unwritten.insert(change.m_block.m_trait);
    }
  }
  std::size_t requests = 0;
  const std::vector<BlockedTrait> blocked =
    m_context.m_traitBreaker.BlockedTraits();
  for (const BlockedTrait& block : blocked) {
    requests += IsFingerprint(block.m_trait) ? 1 : 0;
  }
  m_context.m_metrics.Gauge("blocked_requests") = static_cast<double>(requests);
  m_context.m_metrics.Gauge("blocked_prompt_parts") =
    static_cast<double>(blocked.size() - requests);
}

void
TraitBlockStore::Log(const TraitChange& aChange, Time aNow)
{
  const BlockedTrait& block = aChange.m_block;
  const bool isRequest = IsFingerprint(block.m_trait);
  EventLog::Line line =
    m_context.m_log.StartLine(EventOf(aChange, isRequest), aNow);
  line.Add(isRequest ? "fingerprint" : "part", block.m_trait.Value())
    .Add("why", NameOf(aChange.m_kind))
    .Add("since_ms", static_cast<std::int64_t>((aNow - block.m_since).count()))
    .Add("trials", static_cast<std::int64_t>(block.m_trials))
    .Add("customers",
         block.m_allCustomers ? std::string("all")
                              : std::to_string(block.m_customers.size()));
  if (aChange.m_suspicion) {
    const Suspicion& suspicion = *aChange.m_suspicion;
    line.Add("crashes", static_cast<std::int64_t>(suspicion.m_crashes))
      .Add("moments", static_cast<std::int64_t>(suspicion.m_moments))
      .Add("lead", static_cast<std::int64_t>(suspicion.m_lead))
      .Add("prompts", static_cast<std::int64_t>(suspicion.m_requests))
      .Add("first_ms",
           static_cast<std::int64_t>((aNow - suspicion.m_firstAt).count()));
  }
  ++m_context.m_metrics.Counter(
    isRequest ? "request_block_changes_total" : "prompt_part_changes_total",
    "why=\"" + std::string(NameOf(aChange.m_kind)) + "\"");
}

// Writes one changed record, and the next one at the next call.
void
TraitBlockStore::WriteNext(Time aNow)
{
  if (m_writing || m_unwritten.empty() || aNow < m_nextWriteAt ||
      !m_exchange.IsHub()) {
    return;
  }
  const TraitId trait = *m_unwritten.begin();
  m_unwritten.erase(m_unwritten.begin());
  std::string record; // empty: the key is dropped
  for (const BlockedTrait& block : m_context.m_traitBreaker.BlockedTraits()) {
    if (block.m_trait == trait) {
      record = EncodeBlockedTrait(block, aNow, SteadyClock().WallNow());
    }
  }
  m_writing = true;
  m_channel->Call(
    platform::EncodePutRequest(platform::kMemberTopic, KeyOf(trait), record),
    kStoreTimeout,
    [this, trait](const StoreResponse& aResponse) {
      m_writing = false;
      if (aResponse.m_status != 200) {
        m_unwritten.insert(trait);
        m_nextWriteAt = Now() + kRetryInterval;
      }
    });
}

bool
TraitBlockStore::OnMemberRecord(const platform::StoreRecord& aRecord)
{
  if (!aRecord.m_key.starts_with(kBlockedTraitPrefix)) {
    return false;
  }
  if (!aRecord.m_value || aRecord.m_value->empty()) {
    return true; // dropped: who has it blocked hears of that from its peers
  }
  const Time now = Now();
  const auto blocked =
    DecodeBlockedTrait(aRecord.m_key.substr(kBlockedTraitPrefix.size()),
                       *aRecord.m_value,
                       now,
                       SteadyClock().WallNow());
  if (!blocked) {
    m_context.m_log.StartLine(Event::InputFailed, now)
      .Add("source", "store")
      .Add("error", "record of a blocked trait: " + aRecord.m_key);
    return true;
  }
  HandleChanges(now);
  TraitNews news;
  news.m_blocked.push_back(*blocked);
  m_context.m_traitBreaker.OnNews(news, now);
  const bool wasUnwritten = m_unwritten.contains(blocked->m_trait);
  HandleChanges(now);
  if (!wasUnwritten) {
    m_unwritten.erase(blocked->m_trait); // it comes from there
  }
  return true;
}

void
TraitBlockStore::OnStoreRestored()
{
  for (const BlockedTrait& block : m_context.m_traitBreaker.BlockedTraits()) {
    m_unwritten.insert(block.m_trait);
  }
}

} // namespace walnutwing::router
