// Appends of all daemons share the store's write calls, so the time between two
// grows with the fleet. A daemon that is killed loses what it had not yet
// appended; those streams are refused rather than guessed.

#include "router/stream_journal.h"

#include <algorithm>
#include <utility>

#include "router_peer.pb.h"

namespace walnutwing::router {
namespace {

constexpr std::string_view kTopic = "walnutwing.streams";
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
// Between two appends of one daemon: 100 a second in a fleet of any size.
constexpr Duration kAppendIntervalPerDaemon = std::chrono::milliseconds(10);
// In which streams that begin together are gathered.
constexpr Duration kGatherTime = std::chrono::milliseconds(5);
constexpr Duration kMaxAppendInterval = std::chrono::milliseconds(2000);
constexpr Duration kTrimInterval = std::chrono::seconds(15);
constexpr int kOk = 200;

// The record has no key; its value is a message with stream_versions.
std::string
EncodeRecords(const std::vector<StreamRecord>& aRecords)
{
  proto::RouterPeerMessage message;
  for (const StreamRecord& record : aRecords) {
    proto::StreamVersion& added = *message.add_stream_versions();
    added.set_stream(record.m_stream);
    added.set_version(record.m_version.Value());
  }
  return message.SerializeAsString();
}

} // namespace

StreamJournal::StreamJournal(Context& aContext)
  : m_context(aContext)
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
  , m_appendTimer(aContext.m_loop.get_executor())
  , m_tail(aContext,
           std::string(kTopic),
           TopicGap::Skip,
           [this](const std::vector<platform::StoreRecord>& aRecords) {
             OnRecords(aRecords);
           })
{
}

void
StreamJournal::Tick(bool aTrims, Time aNow)
{
  while (m_written.size() > 1 && aNow - m_written[1].m_at > kStreamLifetime) {
    m_written.pop_front();
  }
  AppendIfDue(aNow);
  if (m_calling) {
    return;
  }
  const bool hasOld =
    !m_written.empty() && aNow - m_written.front().m_at > kStreamLifetime;
  if (aTrims && hasOld && aNow >= m_nextTrimAt) {
    m_nextTrimAt = aNow + kTrimInterval;
    Trim(m_written.front().m_offset);
  }
}

// What is not yet appended when this daemon is killed is lost, so it waits no
// longer than the share of calls demands.
void
StreamJournal::OnStreamsBegun()
{
  if (!m_context.m_streamVersions.HasUnwritten() || m_calling ||
      std::exchange(m_appendScheduled, true)) {
    return;
  }
  m_appendTimer.expires_after(std::max(kGatherTime, m_nextAppendAt - Now()));
  m_appendTimer.async_wait([this](const error_code& aError) {
    m_appendScheduled = false;
    if (!aError) {
      AppendIfDue(Now());
    }
  });
}

void
StreamJournal::AppendIfDue(Time aNow)
{
  if (m_calling || aNow < m_nextAppendAt) {
    return;
  }
  if (m_appending.empty()) {
    m_appending = m_context.m_streamVersions.TakeUnwritten();
  }
  if (!m_appending.empty()) {
    Append(aNow);
  }
}

void
StreamJournal::Append(Time aNow)
{
  m_calling = true;
  m_nextAppendAt =
    aNow + std::min(kMaxAppendInterval,
                    kAppendIntervalPerDaemon *
                      static_cast<Duration::rep>(m_context.m_daemons));
  m_channel->Call(
    platform::EncodePutRequest(kTopic, "", EncodeRecords(m_appending)),
    kStoreTimeout,
    [this](const StoreResponse& aResponse) { OnAppended(aResponse); });
}

// Without a response it is appended again: a record that stands twice does no
// harm.
void
StreamJournal::OnAppended(const StoreResponse& aResponse)
{
  m_calling = false;
  SetStoreAvailable(aResponse.m_status == kOk, aResponse);
  if (aResponse.m_status != kOk) {
    ++m_context.m_metrics.Counter("stream_journal_appends_failed_total");
    return;
  }
  m_context.m_metrics.Counter("stream_journal_records_total") +=
    m_appending.size();
  m_appending.clear();
  if (const auto offset = platform::DecodeAppendOffset(aResponse.m_body)) {
    m_written.push_back({ *offset, Now() });
  }
  OnStreamsBegun();
}

void
StreamJournal::SetStoreAvailable(bool aAvailable,
                                 const StoreResponse& aResponse)
{
  if (std::exchange(m_storeAvailable, aAvailable) == aAvailable) {
    return;
  }
  EventLog::Line(m_context.m_log,
                 aAvailable ? Event::StoreRegained : Event::StoreLost,
                 Now())
    .Add("topic", kTopic)
    .Add("status", static_cast<std::int64_t>(aResponse.m_status))
    .Add("error", aResponse.m_error);
}

void
StreamJournal::Trim(std::uint64_t aBefore)
{
  m_calling = true;
  m_channel->Call(platform::EncodeTrimRequest(kTopic, aBefore),
                  kStoreTimeout,
                  [this](const StoreResponse& aResponse) {
                    m_calling = false;
                    if (aResponse.m_status != kOk) {
                      ++m_context.m_metrics.Counter(
                        "stream_journal_trims_failed_total");
                    }
                  });
}

// The newest first, as only so many are remembered.
void
StreamJournal::OnRecords(const std::vector<platform::StoreRecord>& aRecords)
{
  const Time now = Now();
  for (auto record = aRecords.rbegin(); record != aRecords.rend(); ++record) {
    proto::RouterPeerMessage message;
    if (!record->m_value || !message.ParseFromString(*record->m_value)) {
      ++m_context.m_metrics.Counter("stream_journal_records_unreadable_total");
      continue;
    }
    for (const proto::StreamVersion& stream : message.stream_versions()) {
      m_context.m_streamVersions.OnRecord(
        { stream.stream(), SoftwareVersion(stream.version()) }, now);
    }
  }
}

} // namespace walnutwing::router
