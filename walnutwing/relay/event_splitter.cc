// Searches each piece backwards for the last empty line, which ends the last
// complete event, and keeps what follows it. Most pieces hold whole events and
// are returned without a copy.

#include "walnutwing/relay/event_splitter.h"

namespace walnutwing {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLineEnds = "\r\n";

// The number of bytes up to and including the last empty line of aText, or 0 if
// it has none. aText begins a line. A CR at its end counts as a line end; if an
// LF follows in the next piece, that is an empty line by itself.
std::size_t
EndOfLastEvent(std::string_view aText)
{
  std::size_t end = aText.find_last_of(kLineEnds);
  while (end != std::string_view::npos) {
    const bool crLf = aText[end] == '\n' && end != 0 && aText[end - 1] == '\r';
    const std::size_t lineEnd = crLf ? end - 1 : end;
    if (lineEnd == 0 ||
        kLineEnds.find(aText[lineEnd - 1]) != std::string_view::npos) {
      return end + 1;
    }
    end = aText.find_last_of(kLineEnds, lineEnd - 1);
  }
  return 0;
}

} // namespace

std::string_view
EventSplitter::Feed(std::string_view aPiece)
{
  std::string_view events = aPiece;
  if (!m_partialEvent.empty()) {
    m_partialEvent += aPiece;
    m_completeEvents.swap(m_partialEvent);
    events = m_completeEvents;
  }
  const std::size_t end = EndOfLastEvent(events);
  m_partialEvent.assign(events.substr(end));
  events = events.substr(0, end);
  UpdateLastId(events);
  return events;
}

void
EventSplitter::UpdateLastId(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const std::size_t lineEnd = aEvents.find_first_of(kLineEnds);
    std::string_view line = aEvents.substr(0, lineEnd);
    aEvents.remove_prefix(lineEnd == std::string_view::npos ? aEvents.size()
                                                            : lineEnd + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    m_lastId = line;
  }
}

} // namespace walnutwing
