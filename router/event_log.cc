// A deque of lines with a bound on its bytes. The first line may have been
// taken in part, so it is never dropped.

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
constexpr auto kTable = std::to_array<EventRow>({
  { Started, "started", Keep::Longest, "the process serves callers' connections" },
  { Stopping, "stopping", Keep::Longest, "a planned stop has begun" },
  { Stopped, "stopped", Keep::Longest, "the process ends" },
  { SettingsReloaded, "settings_reloaded", Keep::Longest, "a new settings file is in force" },
  { SettingsRefused, "settings_refused", Keep::Longest, "a new settings file is wrong; the old one stays in force" },
  { ReadyChanged, "ready_changed", Keep::Longest, "whether the daemon asks for new connections" },
  { LinesDropped, "lines_dropped", Keep::Longest, "log lines were dropped since the last such line" },
  { StoreLost, "store_lost", Keep::Longest, "a topic of the platform's store cannot be read" },
  { StoreRegained, "store_regained", Keep::Longest, "the topic can be read again" },
  { ConfigInForce, "config_in_force", Keep::Longest, "a version of the operators' configuration" },
  { ConfigRefused, "config_refused", Keep::Longest, "a configuration cannot be read; the one before stays in force" },
  { UpstreamListed, "upstream_listed", Keep::Longest, "an upstream is new, started anew or changed its state" },
  { UpstreamGone, "upstream_gone", Keep::Longest, "an upstream is no longer listed" },
  { UpstreamUnreadable, "upstream_unreadable", Keep::Longest, "a registration names no upstream" },
  { ZonesOutChanged, "zones_out_changed", Keep::Longest, "availability zones that get no new work" },
  { FleetSizeChanged, "fleet_size_changed", Keep::Longest, "daemons that share the fleet's budgets" },
  { UpstreamLost, "upstream_lost", Keep::Longest, "an upstream takes no connection, or is silent with work of this daemon" },
  { UpstreamRegained, "upstream_regained", Keep::Longest, "it has answered again, or is no longer listed" },
  { HubChanged, "hub_changed", Keep::Longest, "another daemon acts for the zone: it reads the store and adds up loads" },
  { BudgetSpent, "budget_spent", Keep::Longest, "no request of a service may be repeated" },
  { BudgetRegained, "budget_regained", Keep::Longest, "requests of the service may be repeated again" },
  { RequestSent, "request_sent", Keep::WhenThereIsRoom, "a request was sent to an upstream" },
  { RequestAnswered, "request_answered", Keep::WhenThereIsRoom, "the caller got the upstream's whole answer" },
  { RequestRefused, "request_refused", Keep::Longest, "the request has not run and will not" },
  { RequestFailed, "request_failed", Keep::Longest, "the request may have run; the caller got no whole answer" },
  { RequestRepeated, "request_repeated", Keep::Longest, "the request goes to another upstream" },
  { RequestResumed, "request_resumed", Keep::Longest, "a broken stream goes on at another upstream" },
  { CallerGone, "caller_gone", Keep::Longest, "the caller closed the connection before its answer ended" },
  { CallerRejected, "caller_rejected", Keep::Longest, "what the caller sent is no acceptable request" },
});
// clang-format on

// A write of this size to a pipe that polls as writable does not block.
constexpr std::size_t kWriteBytes = 4096;
constexpr std::size_t kBytesAFlush = 64U << 10U;
constexpr double kMsPerSecond = 1000;

const EventRow&
RowOf(Event aEvent)
{
  const auto* row =
    std::find_if(kTable.begin(), kTable.end(), [aEvent](const EventRow& aRow) {
      return aRow.m_event == aEvent;
    });
  if (row == kTable.end()) {
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
  return kTable;
}

EventLog::EventLog(int aDescriptor,
                   std::string aDaemon,
                   EventLogOptions aOptions)
  : m_descriptor(aDescriptor)
  , m_daemon(std::move(aDaemon))
  , m_options(aOptions)
  , m_room(static_cast<double>(aOptions.m_bytesPerSecond))
{
}

EventLog::Line::Line(EventLog& aLog, Event aEvent, Time aNow)
  : m_log(aLog)
  , m_row(RowOf(aEvent))
  , m_now(aNow)
  , m_wanted(aLog.HasRoom(m_row.m_keep, aNow))
{
  if (!m_wanted) {
    ++m_log.m_dropped;
    return;
  }
  m_log.m_buffer.Clear();
  m_log.m_writer.Reset(m_log.m_buffer);
  m_log.m_writer.StartObject();
  const auto wall = SteadyClock().WallNow().time_since_epoch().count();
  Add("wall_ms", static_cast<std::int64_t>(wall));
  Add("event", static_cast<std::int64_t>(m_row.m_event));
  Add("name", m_row.m_name);
  Add("daemon", m_log.m_daemon);
}

EventLog::Line::~Line()
{
  if (!m_wanted) {
    return;
  }
  m_log.m_writer.EndObject();
  m_log.Append(m_row.m_keep);
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, std::string_view aValue)
{
  if (m_wanted) {
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.String(aValue.data(), Size(aValue));
  }
  return *this;
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, std::int64_t aValue)
{
  if (m_wanted) {
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.Int64(aValue);
  }
  return *this;
}

EventLog::Line&
EventLog::Line::Add(std::string_view aKey, double aValue)
{
  if (m_wanted) {
    m_log.m_writer.SetMaxDecimalPlaces(2);
    m_log.m_writer.Key(aKey.data(), Size(aKey));
    m_log.m_writer.Double(aValue);
  }
  return *this;
}

// Room for droppable lines refills at the bound's rate and saves up a second of
// it. Lines that are kept longest need none, only the buffer.
bool
EventLog::HasRoom(Keep aKeep, Time aNow)
{
  const auto perSecond = static_cast<double>(m_options.m_bytesPerSecond);
  const auto passed = static_cast<double>((aNow - m_roomAt).count());
  m_room = std::min(perSecond, m_room + perSecond * passed / kMsPerSecond);
  m_roomAt = aNow;
  if (aKeep == Keep::Longest) {
    return true;
  }
  return m_room > 0 && m_waitingBytes < m_options.m_bufferBytes / 2;
}

void
EventLog::Append(Keep aKeep)
{
  std::string text(m_buffer.GetString(), m_buffer.GetSize());
  text += '\n';
  m_room -= aKeep == Keep::Longest ? 0 : static_cast<double>(text.size());
  m_waitingBytes += text.size();
  m_waiting.push_back({ std::move(text), aKeep });
  while (m_waitingBytes > m_options.m_bufferBytes && m_waiting.size() > 1) {
    const auto droppable = std::find_if(
      m_waiting.begin() + 1, m_waiting.end(), [](const Waiting& aLine) {
        return aLine.m_keep == Keep::WhenThereIsRoom;
      });
    const auto dropped =
      droppable == m_waiting.end() ? m_waiting.begin() + 1 : droppable;
    m_waitingBytes -= dropped->m_text.size();
    m_waiting.erase(dropped);
    ++m_dropped;
  }
}

// False when the reader takes no more now.
bool
EventLog::WriteSome(std::string_view aText, std::size_t& aWritten) const
{
  pollfd writable{ m_descriptor, POLLOUT, 0 };
  if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  const ssize_t written =
    write(m_descriptor, aText.data(), std::min(aText.size(), kWriteBytes));
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
  while (!m_waiting.empty() && total < kBytesAFlush) {
    // Several lines a write: a system call costs more than a copy.
    std::string batch(
      std::string_view(m_waiting.front().m_text).substr(m_frontWritten));
    for (std::size_t i = 1; i < m_waiting.size() && batch.size() < kWriteBytes;
         ++i) {
      batch += m_waiting[i].m_text;
    }
    std::size_t written = 0;
    if (!WriteSome(batch, written)) {
      return;
    }
    total += written;
    m_waitingBytes -= written;
    m_frontWritten += written;
    while (!m_waiting.empty() &&
           m_frontWritten >= m_waiting.front().m_text.size()) {
      m_frontWritten -= m_waiting.front().m_text.size();
      m_waiting.pop_front();
    }
  }
}

} // namespace walnutwing::router
