#ifndef WALNUTWING_STANDIN_PLATFORM_LOG_H_
#define WALNUTWING_STANDIN_PLATFORM_LOG_H_

// The append-only log service of the platform, in memory. Each stream numbers
// its records densely from 1 and forgets the oldest ones after a number of
// records or a time; offsets are never used again.

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
    Duration m_retention{ 0 };           // 0 keeps for ever
    std::size_t m_maxReadRecords = 1000; // records in one answer
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

  // Appends all bodies next to each other and returns the offset of the first.
  std::uint64_t Append(const std::string& aStream,
                       const std::vector<std::string>& aBodies,
                       WallTime aNow);

  // Records from offset aFromOffset on, aLimit at most; from the oldest kept
  // one when aFromOffset has expired. A stream that was never written is empty.
  proto::ReadResponse Read(const std::string& aStream,
                           std::uint64_t aFromOffset,
                           std::size_t aLimit,
                           WallTime aNow);

  // The same, as a replica answers that has seen no record from offset
  // aEndOffset on.
  proto::ReadResponse ReadStale(const std::string& aStream,
                                std::uint64_t aFromOffset,
                                std::size_t aLimit,
                                std::uint64_t aEndOffset,
                                WallTime aNow);

  // The offset that the next append to the stream gets.
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
