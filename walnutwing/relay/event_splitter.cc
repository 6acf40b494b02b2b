// Buffers the stream and searches it backwards for the last empty line, which
// ends the last complete event.

#include "walnutwing/relay/event_splitter.h"

#include <utility>

namespace walnutwing {
namespace {

constexpr std::string_view kIdField = "id:";

// The number of bytes up to and including the last empty line of aText, or 0 if
// it has none.
std::size_t
EndOfLastEvent(std::string_view aText)
{
  std::size_t end = aText.rfind('\n');
  while (end != std::string_view::npos && end != 0) {
    std::size_t before = end - 1;
    if (aText[before] == '\r' && before != 0) {
      --before;
    }
    if (aText[before] == '\n') {
      return end + 1;
    }
    end = aText.rfind('\n', end - 1);
  }
  return 0;
}

} // namespace

std::string_view
EventSplitter::Feed(std::string_view aPiece)
{
  m_partialEvent += aPiece;
  const std::size_t end = EndOfLastEvent(m_partialEvent);
  m_completeEvents.assign(m_partialEvent, 0, end);
  m_partialEvent.erase(0, end);
  UpdateLastId(m_completeEvents);
  return m_completeEvents;
}

void
EventSplitter::UpdateLastId(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const std::size_t lineEnd = aEvents.find('\n');
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
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    m_lastId = line;
  }
}

} // namespace walnutwing
