// Lines are kept in a deque whose total size is limited. The first line may
// already be written in part, so it is never dropped.

#include "router/event_log.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace walnutwing::router {
namespace {

using enum Event;

// clang-format off
constexpr auto kEventTable = std::to_array<EventRow>({
  { Started, "started", DropPolicy::DropLast, "the process serves callers' connections" },
  { Stopping, "stopping", DropPolicy::DropLast, "a planned stop has begun" },
  { Stopped, "stopped", DropPolicy::DropLast, "the process ends" },
  { SettingsReloaded, "settings_reloaded", DropPolicy::DropLast, "a new settings file is in force" },
  { SettingsRefused, "settings_refused", DropPolicy::DropLast, "a new settings file is wrong; the old one stays in force" },
  { ReadyChanged, "ready_changed", DropPolicy::DropLast, "the daemon became ready for new connections, or stopped being so" },
  { LinesDropped, "lines_dropped", DropPolicy::DropLast, "log lines were dropped since the last such line" },
  { InputFailed, "input_failed", DropPolicy::DropLast, "a message could not be handled; its connection or call was ended" },
  { MemoryShort, "memory_short", DropPolicy::DropLast, "what is held for callers came near its limit, or is well under it again" },
  { StoreLost, "store_lost", DropPolicy::DropLast, "a topic of the platform's store cannot be read or written" },
  { StoreRegained, "store_regained", DropPolicy::DropLast, "the topic can be read or written again" },
  { ConfigInForce, "config_in_force", DropPolicy::DropLast, "a new version of the operators' configuration is in force" },
  { ConfigRefused, "config_refused", DropPolicy::DropLast, "a configuration cannot be read; the one before stays in force" },
  { UpstreamListed, "upstream_listed", DropPolicy::DropLast, "an upstream is new, has restarted or has changed its state" },
  { UpstreamGone, "upstream_gone", DropPolicy::DropLast, "an upstream is no longer listed" },
  { UpstreamUnreadable, "upstream_unreadable", DropPolicy::DropLast, "the registration of an upstream cannot be read" },
  { ZonesOutChanged, "zones_out_changed", DropPolicy::DropLast, "the set of availability zones that get no new work has changed" },
  { FleetSizeChanged, "fleet_size_changed", DropPolicy::DropLast, "the number of daemons that share the fleet's budgets has changed" },
  { UpstreamLost, "upstream_lost", DropPolicy::DropLast, "an upstream accepts no connection, or sends nothing while requests of this daemon are in flight" },
  { UpstreamRegained, "upstream_regained", DropPolicy::DropLast, "the upstream has responded again, or is no longer listed" },
  { HubChanged, "hub_changed", DropPolicy::DropLast, "another daemon became the zone's hub, which reads the store and adds up loads" },
  { BudgetSpent, "budget_spent", DropPolicy::DropLast, "no request of a service may be repeated" },
  { BudgetRegained, "budget_regained", DropPolicy::DropLast, "requests of the service may be repeated again" },
  { StoreEraChanged, "store_era_changed", DropPolicy::DropLast, "the platform's store was restored from an older copy and is read anew" },
  { UpstreamLeaving, "upstream_leaving", DropPolicy::DropLast, "an upstream says in an answer that it is leaving" },
  { UpstreamBackoff, "upstream_backoff", DropPolicy::DropLast, "an upstream asked this daemon for no requests for a while" },
  { PromptPartBlocked, "prompt_part_blocked", DropPolicy::DropLast, "requests with a part of a prompt are refused, for more customers than before, or but for one that tries it" },
  { PromptPartCleared, "prompt_part_cleared", DropPolicy::DropLast, "requests with the part are no longer refused" },
  { UpstreamLimited, "upstream_limited", DropPolicy::DropLast, "an upstream states how many requests a second it takes from all daemons, or no longer does" },
  { RequestBlocked, "request_blocked", DropPolicy::DropLast, "attempts of one request are refused, or but for one that tries it" },
  { RequestUnblocked, "request_unblocked", DropPolicy::DropLast, "attempts of the request are no longer refused" },
  { ItemsUnreadable, "items_unreadable", DropPolicy::DropLast, "items in a response of the platform's store cannot be read and were left out" },
  { RolloutOrdered, "rollout_ordered", DropPolicy::DropLast, "the operators ordered a roll-out of a version" },
  { RolloutRefused, "rollout_refused", DropPolicy::DropLast, "the order or the status of a roll-out is wrong; nothing is moved by it" },
  { RolloutStageChanged, "rollout_stage", DropPolicy::DropLast, "a roll-out has reached another stage" },
  { RolloutHeld, "rollout_held", DropPolicy::DropLast, "a roll-out has stood still for a second, or goes on again" },
  { RolloutWritten, "rollout_written", DropPolicy::DropLast, "this daemon has written the status of a roll-out, or tried to" },
  { RequestSent, "request_sent", DropPolicy::DropFirst, "a request was sent to an upstream" },
  { RequestAnswered, "request_answered", DropPolicy::DropFirst, "the caller received the upstream's complete answer" },
  { RequestRefused, "request_refused", DropPolicy::DropLast, "the request has not run and will not" },
  { RequestFailed, "request_failed", DropPolicy::DropLast, "the request may have run; the caller received no complete answer" },
  { RequestRepeated, "request_repeated", DropPolicy::DropLast, "the request goes to another upstream" },
  { RequestResumed, "request_resumed", DropPolicy::DropLast, "a broken stream goes on at another upstream" },
  { CallerGone, "caller_gone", DropPolicy::DropLast, "the caller closed the connection before its answer ended" },
  { CallerRejected, "caller_rejected", DropPolicy::DropLast, "the caller's request is invalid, too large or did not arrive in time" },
  { AnswerUnsent, "answer_unsent", DropPolicy::DropLast, "the process ends with bytes of an answer that the caller has not taken" },
  { StreamTakenUp, "stream_taken_up", DropPolicy::DropLast, "a caller takes up a stream that has broken off" },
  { AttemptKept, "attempt_kept", DropPolicy::DropLast, "an attempt that was silent goes on, in place of a later one" },
});
// clang-format on

// A write of up to this size to a pipe that polls as writable does not block.
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr std::size_t kMaxFlushBytes = 64U << 10U;
constexpr double kMsPerSecond = 1000;

const EventRow&
RowOf(Event aEvent)
{
  const auto* row = std::find_if(
    kEventTable.begin(), kEventTable.end(), [aEvent](const EventRow& aRow) {
      return aRow.m_event == aEvent;
    });
  if (row == kEventTable.end()) {
    throw std::out_of_range("no such event");
  }
  return *row;
}

rapidjson::SizeType
Size(std::string_view aText)
{
  return static_cast<rapidjson::SizeType>(aText.size());
}

} // namespace

std::span<const EventRow>
EventTable()
{
  return kEventTable;
}

EventLog::EventLog(int aDescriptor,
                   std::string aDaemon,
                   EventLogOptions aOptions)
  : m_descriptor(aDescriptor)
  , m_daemon(std::move(aDaemon))
  , m_options(aOptions)
  , m_allowanceBytes(static_cast<double>(aOptions.m_bytesPerSecond))
{
}

EventLog::Line::Line(EventLog& aLog, Event aEvent, Time aNow)
  : m_log(aLog)
  , m_row(RowOf(aEvent))
  , m_now(aNow)
  , m_accepted(aLog.AcceptsLine(m_row.m_dropPolicy, aNow))
{
  if (!m_accepted) {
    ++m_log.m_dropped;
    return;
  }
  m_log.m_buffer.Clear();
  m_log.m_writer.Reset(m_log.m_buffer);
  m_log.m_writer.StartObject();
  const auto wallMs = SteadyClock().WallNow().time_since_epoch().count();
  Add("wall_ms", static_cast<std::int64_t>(wallMs));
  Add("event", static_cast<std::int64_t>(m_row.m_event));
  Add("name", m_row.m_name);
  Add("daemon", m_log.m_daemon);
}

EventLog::Line::~Line()
{
  if (!m_accepted) {
    return;
  }
  m_log.m_writer.EndObject();
  m_log.Append(m_row.m_dropPolicy);
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, std::string_view aValue)
{
  if (m_accepted) {
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.String(aValue.data(), Size(aValue));
  }
  return *this;
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, std::int64_t aValue)
{
  if (m_accepted) {
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.Int64(aValue);
  }
  return *this;
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, double aValue)
{
  if (m_accepted) {
    m_log.m_writer.SetMaxDecimalPlaces(2);
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.Double(aValue);
  }
  return *this;
}

// Refills the token bucket at m_bytesPerSecond, up to one second's worth, and
// returns whether a line is accepted. DropLast lines need no tokens. DropFirst
// lines also require that the buffer is less than half full.
bool
EventLog::AcceptsLine(DropPolicy aPolicy, Time aNow)
{
  const auto perSecond = static_cast<double>(m_options.m_bytesPerSecond);
  const auto elapsedMs =
    static_cast<double>((aNow - m_allowanceUpdatedAt).count());
  m_allowanceBytes = std::min(
    perSecond, m_allowanceBytes + perSecond * elapsedMs / kMsPerSecond);
  m_allowanceUpdatedAt = aNow;
  if (aPolicy == DropPolicy::DropLast) {
    return true;
  }
  return m_allowanceBytes > 0 && m_bufferedBytes < m_options.m_bufferBytes / 2;
}

void
EventLog::Append(DropPolicy aPolicy)
{
  std::string text(m_buffer.GetString(), m_buffer.GetSize());
  text += '\n';
  m_allowanceBytes -=
    aPolicy == DropPolicy::DropLast ? 0 : static_cast<double>(text.size());
  m_bufferedBytes += text.size();
  m_bufferedLines.push_back({ std::move(text), aPolicy });
  while (m_bufferedBytes > m_options.m_bufferBytes &&
         m_bufferedLines.size() > 1) {
    const auto droppable =
      std::find_if(m_bufferedLines.begin() + 1,
                   m_bufferedLines.end(),
                   [](const BufferedLine& aLine) {
                     return aLine.m_dropPolicy == DropPolicy::DropFirst;
                   });
    const auto dropped = droppable == m_bufferedLines.end()
                           ? m_bufferedLines.begin() + 1
                           : droppable;
    m_bufferedBytes -= dropped->m_text.size();
    m_bufferedLines.erase(dropped);
    ++m_dropped;
  }
}

// Returns false if nothing can be written now without blocking.
bool
EventLog::TryWrite(std::string_view aText, std::size_t& aWritten) const
{
  pollfd writable{ m_descriptor, POLLOUT, 0 };
  if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  const ssize_t written =
    write(m_descriptor, aText.data(), std::min(aText.size(), kMaxWriteBytes));
  aWritten = written > 0 ? static_cast<std::size_t>(written) : 0;
  return written > 0;
}

void
EventLog::Flush(Time aNow)
{
  if (m_dropped != m_droppedReported) {
    const std::uint64_t dropped =
      m_dropped - std::exchange(m_droppedReported, m_dropped);
    StartLine(LinesDropped, aNow)
      .Add("lines", static_cast<std::int64_t>(dropped));
  }
  std::size_t total = 0;
  while (!m_bufferedLines.empty() && total < kMaxFlushBytes) {
    // Several lines per write, as a system call costs more than a copy.
    std::string batch(std::string_view(m_bufferedLines.front().m_text)
                        .substr(m_frontBytesWritten));
    for (std::size_t i = 1;
         i < m_bufferedLines.size() && batch.size() < kMaxWriteBytes;
         ++i) {
      batch += m_bufferedLines[i].m_text;
    }
    std::size_t written = 0;
    if (!TryWrite(batch, written)) {
      return;
    }
    total += written;
    m_bufferedBytes -= written;
    m_frontBytesWritten += written;
    while (!m_bufferedLines.empty() &&
           m_frontBytesWritten >= m_bufferedLines.front().m_text.size()) {
      m_frontBytesWritten -= m_bufferedLines.front().m_text.size();
      m_bufferedLines.pop_front();
    }
  }
}

} // namespace walnutwing::router
