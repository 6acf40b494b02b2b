// The parser keeps the bytes of the current event in one buffer and scans each
// byte once. Engines send events with a single data line; such an event is
// returned as views into the buffer. Several data lines are joined into a copy.
// Lines end with LF, CR LF or CR, so a CR at the end of a piece ends its line
// immediately, and a LF at the start of the next piece is skipped.

#include "walnutwing/relay/sse_parser.h"

namespace walnutwing {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::string_view
NameOf(SseError aError)
{
  switch (aError) {
    case SseError::None:
      return "none";
    case SseError::EventTooLarge:
      return "event_too_large";
    case SseError::EndedInsideEvent:
      return "ended_inside_event";
  }
  return "unknown";
}

void
SseParser::Feed(std::string_view aPiece)
{
  if (m_error != SseError::None) {
    return;
  }
  Compact();
  m_buffer.append(aPiece);
}

// Drops the bytes of events that were returned.
void
SseParser::Compact()
{
  if (m_eventStart == 0) {
    return;
  }
  m_buffer.erase(0, m_eventStart);
  m_lineStart -= m_eventStart;
  m_scanned -= m_eventStart;
  m_dataStart -= m_dataLines > 0 ? m_eventStart : 0;
  m_eventStart = 0;
}

bool
SseParser::Next(SseEvent& aEvent)
{
  if (m_dataLines > 0 && m_lineStart == m_eventStart) {
    ResetEventFields(); // the previous event was returned
  }
  std::string_view line;
  while (m_error == SseError::None && NextLine(line)) {
    if (!line.empty()) {
      ParseField(line);
      continue;
    }
    if (m_dataLines == 0) {
      ResetEventFields(); // a block without data is not an event
      m_eventStart = m_lineStart;
      continue;
    }
    const std::string_view buffer(m_buffer);
    aEvent.m_id = m_id;
    aEvent.m_hasOwnId = m_hasOwnId;
    aEvent.m_type = m_type;
    aEvent.m_data = m_dataLines == 1 ? buffer.substr(m_dataStart, m_dataSize)
                                     : std::string_view(m_joinedData);
    aEvent.m_raw = buffer.substr(m_eventStart, m_lineStart - m_eventStart);
    m_eventStart = m_lineStart;
    return true;
  }
  return false;
}

void
SseParser::ResetEventFields()
{
  m_type.clear();
  m_joinedData.clear();
  m_dataSize = 0;
  m_dataLines = 0;
  m_hasOwnId = false;
}

bool
SseParser::NextLine(std::string_view& aLine)
{
  std::string_view buffer(m_buffer);
  if (m_skipLineFeed && m_lineStart < buffer.size()) {
    m_skipLineFeed = false;
    if (buffer[m_lineStart] == '\n') {
      // The LF is part of a CR LF whose CR ended the previous line.
      m_eventStart += m_eventStart == m_lineStart ? 1 : 0;
      ++m_lineStart;
      m_scanned = m_lineStart;
    }
  }
  if (!m_byteOrderMarkChecked) {
    if (buffer.size() < kByteOrderMark.size() &&
        kByteOrderMark.starts_with(buffer)) {
      return false;
    }
    m_byteOrderMarkChecked = true;
    if (buffer.starts_with(kByteOrderMark)) {
      m_eventStart = m_lineStart = m_scanned = kByteOrderMark.size();
    }
  }
  const std::string_view rest = buffer.substr(m_scanned);
  std::size_t end = rest.find('\n');
  const std::size_t carriageReturn = rest.substr(0, end).find('\r');
  if (carriageReturn != std::string_view::npos) {
    end = carriageReturn;
  }
  const std::size_t eventEnd =
    end == std::string_view::npos ? buffer.size() : m_scanned + end + 1;
  if (eventEnd - m_eventStart > m_options.m_maxEventBytes) {
    m_error = SseError::EventTooLarge;
    return false;
  }
  if (end == std::string_view::npos) {
    m_scanned = buffer.size();
    return false;
  }
  aLine = buffer.substr(m_lineStart, m_scanned + end - m_lineStart);
  m_lineStart = m_scanned = m_scanned + end + 1;
  if (carriageReturn != std::string_view::npos) {
    const bool lineFeedFollows =
      m_lineStart < buffer.size() && buffer[m_lineStart] == '\n';
    m_skipLineFeed = m_lineStart == buffer.size();
    m_lineStart += lineFeedFollows ? 1 : 0;
    m_scanned = m_lineStart;
  }
  return true;
}

void
SseParser::ParseField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = aLine.substr(colon + 1);
    value.remove_prefix(value.starts_with(' ') ? 1 : 0);
  }
  if (name == "data") {
    AddDataLine(value);
  } else if (name == "id") {
    if (value.find('\0') == std::string_view::npos) {
      m_id = value;
      m_hasOwnId = true;
    }
  } else if (name == "event") {
    m_type = value;
  }
}

void
SseParser::AddDataLine(std::string_view aValue)
{
  ++m_dataLines;
  if (m_dataLines == 1) {
    m_dataSize = aValue.size();
    m_dataStart = m_dataSize == 0
                    ? m_lineStart
                    : static_cast<std::size_t>(aValue.data() - m_buffer.data());
    return;
  }
  if (m_dataLines == 2) {
    m_joinedData = std::string_view(m_buffer).substr(m_dataStart, m_dataSize);
  }
  m_joinedData += '\n';
  m_joinedData += aValue;
}

SseError
SseParser::Finish() const
{
  if (m_error != SseError::None) {
    return m_error;
  }
  return m_eventStart < m_buffer.size() ? SseError::EndedInsideEvent
                                        : SseError::None;
}

} // namespace walnutwing
