#ifndef WALNUTWING_RELAY_SSE_PARSER_H_
#define WALNUTWING_RELAY_SSE_PARSER_H_

// An incremental parser of Server-Sent Events (the event stream format of the
// WHATWG HTML standard). It accepts bytes split anywhere and returns complete
// events. An event that is truncated by the end of the stream is never
// returned.

#include <cstddef>
#include <string>
#include <string_view>

namespace walnutwing {

enum class SseError : int
{
  None = 0,
  EventTooLarge = 1,    // an event exceeds SseParserOptions::m_maxEventBytes
  EndedInsideEvent = 2, // the stream ended before the blank line of an event
};

// "none", "event_too_large", "ended_inside_event".
std::string_view
NameOf(SseError aError);

struct SseParserOptions
{
  std::size_t m_maxEventBytes = std::size_t{ 256 } * 1024;
};

// One event. The views are valid until the next call of Feed or Next.
struct SseEvent
{
  std::string_view m_id;   // the last id set by this or an earlier event
  bool m_hasOwnId = false; // whether this event set it
  std::string_view m_type; // empty means "message"
  std::string_view m_data; // lines joined by '\n'
  std::string_view m_raw;  // all bytes of the event, including its blank line
};

class SseParser
{
public:
  explicit SseParser(SseParserOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  // Adds the next bytes. Call Next until it returns false before feeding more.
  void Feed(std::string_view aPiece);

  // Reads the next complete event. False if there is none yet, or after an
  // error.
  bool Next(SseEvent& aEvent);

  // Call at the end of the stream. Returns an earlier error, EndedInsideEvent
  // if bytes of an incomplete event remain, or None.
  SseError Finish() const;

  SseError Error() const { return m_error; }

private:
  bool NextLine(std::string_view& aLine);
  void ParseField(std::string_view aLine);
  void AddDataLine(std::string_view aValue);
  void ResetEventFields();
  void Compact();

  SseParserOptions m_options;
  SseError m_error = SseError::None;
  std::string m_buffer;
  std::size_t m_eventStart = 0; // first byte of the event being read
  std::size_t m_lineStart = 0;  // first byte of the line being read
  std::size_t m_scanned = 0;    // no line end before this position
  bool m_skipLineFeed = false;  // a CR ended the last line; its LF may follow
  bool m_byteOrderMarkChecked = false; // it is allowed only at the start

  // Fields of the event being read.
  std::string m_id;
  std::string m_type;
  std::string m_joinedData; // used from the second data line on
  std::size_t m_dataStart = 0;
  std::size_t m_dataSize = 0;
  std::size_t m_dataLines = 0;
  bool m_hasOwnId = false;
};

} // namespace walnutwing

#endif // WALNUTWING_RELAY_SSE_PARSER_H_
