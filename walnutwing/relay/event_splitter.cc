// Searches each piece backwards for the last empty line, which ends the last
// complete event, and keeps what follows it. Most pieces hold whole events and
// are returned without a copy. What was kept is not searched again, so that an
// event in many small pieces costs no more than one in few.

#include "walnutwing/relay/event_splitter.h"

namespace walnutwing {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLineEnds = "\r\n";

// The number of bytes up to and including the last empty line of aText that
// ends at aFrom or later, or 0 if there is none. aText begins a line. A CR at
// its end counts as a line end; if an LF follows in the next piece, that is an
// empty line by itself.
std::size_t
EndOfLastEvent(std::string_view aText, std::size_t aFrom)
{
  const auto findLineEnd = [&](std::size_t aLast) {
    const std::string_view text = aText.substr(aFrom, aLast + 1 - aFrom);
    const std::size_t found = text.find_last_of(kLineEnds);
    return found == std::string_view::npos ? found : found + aFrom;
  };
  std::size_t end =
    aText.empty() ? std::string_view::npos : findLineEnd(aText.size() - 1);
  while (end != std::string_view::npos) {
    const bool crLf = aText[end] == '\n' && end != 0 && aText[end - 1] == '\r';
    const std::size_t lineEnd = crLf ? end - 1 : end;
    if (lineEnd == 0 ||
        kLineEnds.find(aText[lineEnd - 1]) != std::string_view::npos) {
      return end + 1;
    }
    if (lineEnd <= aFrom) {
      break;
    }
    end = findLineEnd(lineEnd - 1);
  }
  return 0;
}

} // namespace

std::string_view
EventSplitter::Feed(std::string_view aPiece)
{
  const std::size_t kept = m_partialEvent.size();
  if (kept == 0) {
    const std::size_t end = EndOfLastEvent(aPiece, 0);
    m_partialEvent.assign(aPiece.substr(end));
    UpdateLastId(aPiece.substr(0, end));
    return aPiece.substr(0, end);
  }
  m_partialEvent += aPiece;
  const std::size_t end = EndOfLastEvent(m_partialEvent, kept);
  if (end == 0) {
    return {};
  }
  m_completeEvents.swap(m_partialEvent);
  std::string_view events = m_completeEvents;
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

// An event ends with an empty line.
std::uint32_t
CountEvents(std::string_view aEvents)
{
  std::uint32_t events = 0;
  bool lineIsEmpty = false;
  for (std::size_t i = 0; i < aEvents.size(); ++i) {
    const char c = aEvents[i];
    if (c != '\n' && c != '\r') {
      lineIsEmpty = false;
      continue;
    }
    if (c == '\n' && i > 0 && aEvents[i - 1] == '\r') {
      continue; // the second half of a line end
    }
    events += lineIsEmpty ? 1 : 0;
    lineIsEmpty = true;
  }
  return events;
}

} // namespace walnutwing
