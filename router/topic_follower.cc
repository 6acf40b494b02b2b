#include "router/topic_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutwing::router {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr std::uint32_t kMaxDoublings = 4;

} // namespace

platform::StoreRequest
TopicFollower::NextCall()
{
  m_readFrom = m_nextOffset;
  return m_tailing
           ? platform::EncodeReadRequest(m_topic, m_nextOffset, CallWait())
           : platform::EncodeNewestRequest(m_topic, m_pageCursor);
}

Duration
TopicFollower::CallWait() const
{
  // After a failure do not wait for records, so that a quick response shows
  // that the store is available again.
  return m_tailing && m_failures == 0 ? m_options.m_wait : Duration::zero();
}

Duration
TopicFollower::Delay() const
{
  if (m_failures != 0) {
    const std::uint32_t doublings = std::min(m_failures - 1, kMaxDoublings);
    return std::min(m_options.m_initialRetryDelay * (1U << doublings),
                    m_options.m_maxRetryDelay);
  }
  return m_callImmediately ? Duration::zero() : m_options.m_interval;
}

// Returns the change if aEra is not the known one.
std::optional<EraChange>
TopicFollower::NoteEra(std::optional<std::uint64_t> aEra)
{
  if (!aEra || aEra == m_era) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> before = std::exchange(m_era, aEra);
  return before ? std::optional(EraChange{ *before, *aEra, m_nextOffset })
                : std::nullopt;
}

TopicUpdate
TopicFollower::OnResponse(int aStatus,
                          std::string_view aBody,
                          std::optional<std::uint64_t> aEra)
{
  if (const std::optional<EraChange> change = NoteEra(aEra)) {
    RestartFromNewest();
    m_nextOffset = 0;
    m_failures = 0;
    m_callImmediately = true;
    TopicUpdate update;
    update.m_succeeded = true;
    update.m_eraChange = change;
    return update;
  }
  if (aStatus == kGone) {
    RestartFromNewest();
    m_failures = 0;
    m_callImmediately = true;
    TopicUpdate update;
    update.m_succeeded = true;
    return update;
  }
  if (aStatus == kNotFound && !m_tailing) {
    // The topic does not exist until its first record is written.
    m_failures = 0;
    m_callImmediately = false;
    TopicUpdate update;
    update.m_succeeded = true;
    update.m_isSnapshot = true;
    return update;
  }
  TopicUpdate update;
  if (aStatus == kOk) {
    update = m_tailing ? OnRecords(aBody) : OnNewest(aBody);
  }
  if (!update.m_succeeded) {
    OnFailure();
  }
  return update;
}

TopicUpdate
TopicFollower::OnNewest(std::string_view aBody)
{
  TopicUpdate update;
  std::optional<platform::NewestPage> page = platform::DecodeNewest(aBody);
  if (!page) {
    return update;
  }
  update.m_succeeded = true;
  m_failures = 0;
  m_callImmediately = true;
  m_firstPageEnd = m_firstPageEnd.value_or(page->m_endOffset);
  update.m_unreadable = page->m_unreadable;
  std::move(page->m_records.begin(),
            page->m_records.end(),
            std::back_inserter(m_snapshotRecords));
  if (page->m_hasMore && !page->m_lastKey.empty()) {
    m_pageCursor = page->m_lastKey;
    return update;
  }
  m_tailing = true;
  m_nextOffset = *m_firstPageEnd;
  m_callImmediately = false;
  update.m_isSnapshot = true;
  update.m_records = std::exchange(m_snapshotRecords, {});
  return update;
}

TopicUpdate
TopicFollower::OnRecords(std::string_view aBody)
{
  TopicUpdate update;
  std::optional<platform::ReadBatch> batch =
    platform::DecodeRead(aBody, m_readFrom);
  if (!batch) {
    return update;
  }
  update.m_succeeded = true;
  m_failures = 0;
  m_callImmediately = false;
  // Another daemon may have forwarded some of these records meanwhile. Applied
  // again, they would overwrite the newer records after them.
  std::erase_if(batch->m_records, [this](const platform::StoreRecord& aRecord) {
    return aRecord.m_offset < m_nextOffset;
  });
  AdvanceTo(batch->m_nextOffset);
  update.m_records = std::move(batch->m_records);
  return update;
}

void
TopicFollower::RestartFromNewest()
{
  m_tailing = false;
  m_pageCursor.clear();
  m_firstPageEnd.reset();
  m_snapshotRecords.clear();
}

void
TopicFollower::OnFailure()
{
  ++m_failures;
  if (!m_tailing || m_options.m_newestAfterFailure) {
    RestartFromNewest();
  }
}

} // namespace walnutwing::router
