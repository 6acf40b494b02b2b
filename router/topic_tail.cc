#include "router/topic_tail.h"

#include <utility>

#include "router/input_guard.h"

namespace walnutwing::router {
namespace {

// Callers wait meanwhile.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(600);
// Of one read. A topic that grows faster than it is read has no end.
constexpr int kMaxCalls = 16;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

} // namespace

TopicTail::TopicTail(Context& aContext,
                     std::string aTopic,
                     TopicGap aOnGap,
                     OnRecords aOnRecords)
  : m_context(aContext)
  , m_topic(std::move(aTopic))
  , m_onGap(aOnGap)
  , m_onRecords(std::move(aOnRecords))
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
{
}

void
TopicTail::Read(OnRead aOnRead)
{
  if (!m_asking.empty()) {
    m_waiting.push_back(std::move(aOnRead));
    return;
  }
  m_asking.push_back(std::move(aOnRead));
  m_calls = 0;
  Call();
}

void
TopicTail::SkipTo(std::uint64_t aNext, std::optional<std::uint64_t> aEra)
{
  if (m_asking.empty() && (aEra != m_era || aNext > m_next)) {
    m_next = aNext;
    m_era = aEra;
  }
}

void
TopicTail::Call()
{
  ++m_calls;
  m_channel->Call(
    platform::EncodeReadRequest(m_topic, m_next, Duration::zero()),
    kStoreTimeout,
    [this](const StoreResponse& aResponse) { OnResponse(aResponse); });
}

void
TopicTail::OnResponse(const StoreResponse& aResponse)
{
  bool readable = false;
  const bool handled =
    RunGuarded(m_context.m_log, m_context.m_metrics, "store", Now(), [&] {
      readable = Apply(aResponse);
    });
  const bool usable = handled && readable;
  if (!usable || m_atEnd || m_calls == kMaxCalls) {
    Finish(usable && m_atEnd);
    return;
  }
  Call();
}

// Sets where to go on and m_atEnd. Returns false if the response is of no use.
bool
TopicTail::Apply(const StoreResponse& aResponse)
{
  m_atEnd = false;
  if (aResponse.m_era && aResponse.m_era != m_era) {
    // Offsets of the era before mean nothing any more.
    const bool restored = std::exchange(m_era, aResponse.m_era).has_value();
    if (restored) {
      m_next = 0;
      return m_onGap == TopicGap::Skip;
    }
  }
  if (aResponse.m_status == kNotFound) {
    m_atEnd = true; // nobody has written to it yet
    return true;
  }
  if (aResponse.m_status == kGone) {
    const auto first = platform::DecodeFirstOffset(aResponse.m_body);
    if (!first || m_onGap == TopicGap::FailRead) {
      return false;
    }
    m_atEnd = *first == m_next; // it has no records
    m_next = *first;
    return true;
  }
  if (aResponse.m_status != kOk) {
    return false;
  }
  const std::optional<platform::ReadBatch> batch =
    platform::DecodeRead(aResponse.m_body, m_next);
  if (!batch) {
    return false;
  }
  m_onRecords(batch->m_records);
  m_atEnd = batch->m_nextOffset >= batch->m_endOffset;
  m_next = batch->m_nextOffset;
  return true;
}

void
TopicTail::Finish(bool aComplete)
{
  const std::vector<OnRead> asked = std::exchange(m_asking, {});
  m_asking = std::exchange(m_waiting, {});
  if (!m_asking.empty()) {
    m_calls = 0;
    Call();
  }
  for (const OnRead& onRead : asked) {
    onRead(aComplete);
  }
}

} // namespace walnutwing::router
