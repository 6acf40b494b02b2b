#ifndef WALNUTWING_ROUTER_EVENT_LOG_H_
#define WALNUTWING_ROUTER_EVENT_LOG_H_

// Structured log: one JSON object per line, each with a numbered event
// (docs/LOGS.md). Lines are buffered in memory and written without blocking, as
// fast as the reader of the descriptor takes them. A token bucket limits the
// lines of successful requests; when the reader is slow and the buffer is full,
// those lines are dropped first. Dropped lines are counted.

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "walnutwing/base/clock.h"

namespace walnutwing::router {

// 1xx: the process; 2xx: its view of the fleet; 3xx: a single request.
enum class Event : int
{
  Started = 101,
  Stopping = 102,
  Stopped = 103,
  SettingsReloaded = 104,
  SettingsRefused = 105,
  ReadyChanged = 106,
  LinesDropped = 107,
  InputFailed = 108,
  MemoryShort = 109,

  StoreLost = 201,
  StoreRegained = 202,
  ConfigInForce = 203,
  ConfigRefused = 204,
  UpstreamListed = 205,
  UpstreamGone = 206,
  UpstreamUnreadable = 207,
  ZonesOutChanged = 208,
  FleetSizeChanged = 209,
  UpstreamLost = 210,
  UpstreamRegained = 211,
  HubChanged = 212,
  BudgetSpent = 213,
  BudgetRegained = 214,
  StoreEraChanged = 215,
  UpstreamLeaving = 216,
  UpstreamBackoff = 217,
  PromptPartBlocked = 218,
  PromptPartCleared = 219,
  UpstreamLimited = 220,
  RequestBlocked = 221,
  RequestUnblocked = 222,
  ItemsUnreadable = 223,
  RolloutOrdered = 224,
  RolloutRefused = 225,
  RolloutStageChanged = 226,
  RolloutHeld = 227,
  RolloutWritten = 228,

  RequestSent = 301,
  RequestAnswered = 302,
  RequestRefused = 303,
  RequestFailed = 304,
  RequestRepeated = 305,
  RequestResumed = 306,
  CallerGone = 307,
  CallerRejected = 308,
  AnswerUnsent = 309,
  StreamTakenUp = 310,
  AttemptKept = 311,
};

// Which lines are dropped when there are too many.
enum class DropPolicy
{
  DropFirst, // rate limited, and dropped before any other line
  DropLast,  // dropped only when no DropFirst line is left to drop
};

// The number, name and drop policy of an event, and its description for
// docs/LOGS.md.
struct EventRow
{
  Event m_event;
  std::string_view m_name;
  DropPolicy m_dropPolicy;
  std::string_view m_text;
};

// All events in ascending order. docs/LOGS.md has the same table, which a test
// verifies.
std::span<const EventRow>
EventTable();

struct EventLogOptions
{
  std::size_t m_bytesPerSecond = 128U << 10U; // of DropFirst lines
  std::size_t m_bufferBytes = 256U << 10U;    // not yet written
};

class EventLog
{
public:
  // Builds one line, which is appended to the log by the destructor. Only one
  // Line of a log may exist at a time, as they share its JSON writer.
  class Line
  {
  public:
    Line(EventLog& aLog, Event aEvent, Time aNow);
    // aFill adds fields that several kinds of lines have in common.
    template<typename Fill>
    Line(EventLog& aLog, Event aEvent, Time aNow, Fill aFill)
      : Line(aLog, aEvent, aNow)
    {
      aFill(*this);
    }
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    Line& Add(std::string_view aKey, std::string_view aValue);
    Line& Add(std::string_view aKey, std::int64_t aValue);
    Line& Add(std::string_view aKey, double aValue);

  private:
    EventLog& m_log;
    const EventRow& m_row;
    Time m_now;
    bool m_accepted;
  };

  // Writes to aDescriptor, which the caller owns. aDaemon is added to each
  // line.
  EventLog(int aDescriptor, std::string aDaemon, EventLogOptions aOptions);

  // Starts a line: log.StartLine(Event::Started, now).Add("zone", "z1");
  Line StartLine(Event aEvent, Time aNow) { return Line(*this, aEvent, aNow); }

  // Writes as much as possible without blocking. Must be called often, as
  // nothing else writes.
  void Flush(Time aNow);

  void SetOptions(EventLogOptions aOptions) { m_options = aOptions; }
  // Lines dropped since the start, and bytes that are not yet written.
  std::uint64_t Dropped() const { return m_dropped; }
  std::size_t BufferedBytes() const { return m_bufferedBytes; }

private:
  struct BufferedLine
  {
    std::string m_text;
    DropPolicy m_dropPolicy;
  };

  bool AcceptsLine(DropPolicy aPolicy, Time aNow);
  void Append(DropPolicy aPolicy);
  bool TryWrite(std::string_view aText, std::size_t& aWritten) const;

  int m_descriptor;
  std::string m_daemon;
  EventLogOptions m_options;
  std::deque<BufferedLine> m_bufferedLines;
  std::size_t m_bufferedBytes = 0;
  std::size_t m_frontBytesWritten = 0; // of the first buffered line
  std::uint64_t m_dropped = 0;
  std::uint64_t m_droppedReported = 0;
  double m_allowanceBytes = 0; // token bucket of DropFirst lines
  Time m_allowanceUpdatedAt;
  rapidjson::StringBuffer m_buffer;
  rapidjson::Writer<rapidjson::StringBuffer> m_writer{ m_buffer };
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_EVENT_LOG_H_
