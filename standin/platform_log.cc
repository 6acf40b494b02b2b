// Each stream is a deque in which the record with offset N has index N - first
// offset, so that reads need no search. Records expire from the front at the
// next append or read, so that no timer is needed.

#include "standin/platform_log.h"

#include <algorithm>
#include <limits>

namespace walnutwing::standin {

namespace {

std::int64_t
ToUnixMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

std::uint64_t
PlatformLog::Append(const std::string& aStream,
                    const std::vector<std::string>& aBodies,
                    WallTime aNow)
{
  Stream& stream = m_streams[aStream];
  const std::uint64_t first = stream.m_stats.m_nextOffset;
  ++stream.m_stats.m_appends;
  for (const std::string& body : aBodies) {
    proto::LogRecord& record = stream.m_records.emplace_back();
    record.set_offset(stream.m_stats.m_nextOffset++);
    record.set_at_ms(ToUnixMs(aNow));
    record.set_body(body);
    ++stream.m_stats.m_appendedRecords;
    stream.m_stats.m_appendedBytes += body.size();
  }
  Expire(stream, aNow);
  return first;
}

proto::ReadResponse
PlatformLog::Read(const std::string& aStream,
                  std::uint64_t aFromOffset,
                  std::size_t aLimit,
                  WallTime aNow)
{
  return ReadStale(aStream,
                   aFromOffset,
                   aLimit,
                   std::numeric_limits<std::uint64_t>::max(),
                   aNow);
}

proto::ReadResponse
PlatformLog::ReadStale(const std::string& aStream,
                       std::uint64_t aFromOffset,
                       std::size_t aLimit,
                       std::uint64_t aEndOffset,
                       WallTime aNow)
{
  proto::ReadResponse response;
  const auto found = m_streams.find(aStream);
  if (found == m_streams.end()) {
    response.set_first_offset(1);
    response.set_next_offset(1);
    return response;
  }
  Stream& stream = found->second;
  ++stream.m_stats.m_reads;
  Expire(stream, aNow);
  const std::uint64_t end = std::max<std::uint64_t>(
    1, std::min<std::uint64_t>(aEndOffset, stream.m_stats.m_nextOffset));
  response.set_first_offset(std::min(stream.m_firstOffset, end));
  response.set_next_offset(end);
  const std::size_t limit = std::min(aLimit, m_options.m_maxReadRecords);
  std::uint64_t offset = std::max(aFromOffset, stream.m_firstOffset);
  for (std::size_t i = 0; i < limit && offset < end; ++i, ++offset) {
    *response.add_records() = stream.m_records[offset - stream.m_firstOffset];
  }
  return response;
}

std::uint64_t
PlatformLog::NextOffset(const std::string& aStream) const
{
  const auto found = m_streams.find(aStream);
  return found == m_streams.end() ? 1 : found->second.m_stats.m_nextOffset;
}

std::map<std::string, PlatformLog::StreamStats>
PlatformLog::Stats() const
{
  std::map<std::string, StreamStats> stats;
  for (const auto& [name, stream] : m_streams) {
    stats.emplace(name, stream.m_stats);
  }
  return stats;
}

void
PlatformLog::Expire(Stream& aStream, WallTime aNow) const
{
  const auto expired = [&](const proto::LogRecord& aRecord) {
    const bool tooMany =
      m_options.m_retentionRecords != 0 &&
      aStream.m_records.size() > m_options.m_retentionRecords;
    const bool tooOld =
      m_options.m_retention.count() != 0 &&
      aRecord.at_ms() < ToUnixMs(aNow - m_options.m_retention);
    return tooMany || tooOld;
  };
  while (!aStream.m_records.empty() && expired(aStream.m_records.front())) {
    aStream.m_records.pop_front();
    ++aStream.m_firstOffset;
  }
}

} // namespace walnutwing::standin
