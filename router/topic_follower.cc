#include "router/topic_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutwing::router {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr std::uint32_t kMostDoublings = 4;

} // namespace

platform::StoreRequest
TopicFollower::NextCall()
{
  m_readFrom = m_nextOffset;
  return m_reading
           ? platform::EncodeReadRequest(m_topic, m_nextOffset, CallWait())
           : platform::EncodeNewestRequest(m_topic, m_after);
}

Duration
TopicFollower::CallWait() const
{
  // After a failure a quick answer shows that the store is back.
  return m_reading && m_failures == 0 ? m_options.m_wait : Duration::zero();
}

Duration
TopicFollower::Delay() const
{
  if (m_failures != 0) {
    const std::uint32_t doublings = std::min(m_failures - 1, kMostDoublings);
    return std::min(m_options.m_firstRetry * (1U << doublings),
                    m_options.m_longestRetry);
  }
  return m_urgent ? Duration::zero() : m_options.m_interval;
}

TopicNews
TopicFollower::OnAnswer(int aStatus, std::string_view aBody)
{
  if (aStatus == kGone) {
    StartOver();
    m_failures = 0;
    m_urgent = true;
    TopicNews news;
    news.m_understood = true;
    return news;
  }
  if (aStatus == kNotFound && !m_reading) {
    // A topic that nobody has written to yet.
    m_failures = 0;
    m_urgent = false;
    TopicNews news;
    news.m_understood = true;
    news.m_whole = true;
    return news;
  }
  TopicNews news;
  if (aStatus == kOk) {
    news = m_reading ? OnRecords(aBody) : OnNewest(aBody);
  }
  if (!news.m_understood) {
    OnFailure();
  }
  return news;
}

TopicNews
TopicFollower::OnNewest(std::string_view aBody)
{
  TopicNews news;
  std::optional<platform::NewestPage> page = platform::DecodeNewest(aBody);
  if (!page) {
    return news;
  }
  news.m_understood = true;
  m_failures = 0;
  m_urgent = true;
  m_firstEnd = m_firstEnd.value_or(page->m_endOffset);
  std::move(page->m_records.begin(),
            page->m_records.end(),
            std::back_inserter(m_pages));
  if (page->m_hasMore && !page->m_lastKey.empty()) {
    m_after = page->m_lastKey;
    return news;
  }
  m_reading = true;
  m_nextOffset = *m_firstEnd;
  m_urgent = false;
  news.m_whole = true;
  news.m_records = std::exchange(m_pages, {});
  return news;
}

TopicNews
TopicFollower::OnRecords(std::string_view aBody)
{
  TopicNews news;
  std::optional<platform::ReadBatch> batch =
    platform::DecodeRead(aBody, m_readFrom);
  if (!batch) {
    return news;
  }
  news.m_understood = true;
  m_failures = 0;
  m_urgent = false;
  // Another daemon may have passed on some of these records meanwhile; applied
  // again they would undo what came after them.
  std::erase_if(batch->m_records, [this](const platform::StoreRecord& aRecord) {
    return aRecord.m_offset < m_nextOffset;
  });
  SkipTo(batch->m_nextOffset);
  news.m_records = std::move(batch->m_records);
  return news;
}

void
TopicFollower::StartOver()
{
  m_reading = false;
  m_after.clear();
  m_firstEnd.reset();
  m_pages.clear();
}

void
TopicFollower::OnFailure()
{
  ++m_failures;
  if (!m_reading || m_options.m_newestAfterFailure) {
    StartOver();
  }
}

} // namespace walnutwing::router
