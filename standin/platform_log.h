#ifndef WALNUTWING_STANDIN_PLATFORM_LOG_H_
#define WALNUTWING_STANDIN_PLATFORM_LOG_H_

// In-memory model of the platform's append-only log service. The offsets of a
// stream are consecutive from 1 and never reused; the oldest records expire by
// number or age.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "platform.pb.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

class PlatformLog
{
public:
  struct Options
  {
    std::size_t m_retentionRecords = 0;  // of each stream; 0 keeps all
    Duration m_retention{ 0 };           // age; 0 keeps all
    std::size_t m_maxReadRecords = 1000; // per read
  };

  struct StreamStats
  {
    std::uint64_t m_appends = 0; // calls, not records
    std::uint64_t m_appendedRecords = 0;
    std::uint64_t m_appendedBytes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_nextOffset = 1;
  };

  explicit PlatformLog(Options aOptions)
    : m_options(aOptions)
  {
  }

  // Appends the bodies at consecutive offsets and returns the first offset.
  std::uint64_t Append(const std::string& aStream,
                       const std::vector<std::string>& aBodies,
                       WallTime aNow);

  // Returns at most aLimit records from aFromOffset on, or from the oldest kept
  // one if aFromOffset has expired. A stream that was never written is empty.
  proto::ReadResponse Read(const std::string& aStream,
                           std::uint64_t aFromOffset,
                           std::size_t aLimit,
                           WallTime aNow);

  // Like Read, from a stale replica that has no records from aEndOffset on.
  proto::ReadResponse ReadStale(const std::string& aStream,
                                std::uint64_t aFromOffset,
                                std::size_t aLimit,
                                std::uint64_t aEndOffset,
                                WallTime aNow);

  // Returns the offset that the next append to the stream gets.
  std::uint64_t NextOffset(const std::string& aStream) const;

  std::map<std::string, StreamStats> Stats() const;

private:
  struct Stream
  {
    std::uint64_t m_firstOffset = 1;
    std::deque<proto::LogRecord> m_records;
    StreamStats m_stats;
  };

  void Expire(Stream& aStream, WallTime aNow) const;

  Options m_options;
  std::map<std::string, Stream> m_streams;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_PLATFORM_LOG_H_
