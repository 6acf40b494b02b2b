#ifndef WALNUTWING_RELAY_EVENT_SPLITTER_H_
#define WALNUTWING_RELAY_EVENT_SPLITTER_H_

// Splits a stream of Server-Sent Events into complete events, byte for byte, so
// that a stream can be ended or resumed after the last complete event that was
// forwarded. Reads only the events' ids. Lines end with LF, CR LF or CR.

#include <cstdint>
#include <string>
#include <string_view>

namespace walnutwing {

class EventSplitter
{
public:
  // Adds the next bytes, which may be split anywhere. Returns the bytes of all
  // events that are complete and were not returned before; the view is valid as
  // long as aPiece and until the next call of Feed.
  std::string_view Feed(std::string_view aPiece);

  // The bytes of an event that is not complete yet.
  std::string_view PartialEvent() const { return m_partialEvent; }

  // Drops the partial event: a resumed stream sends that event again in full.
  void DropPartialEvent() { m_partialEvent.clear(); }

  // The id of the last complete event that has one; "" if there is none.
  const std::string& LastId() const { return m_lastId; }

private:
  void UpdateLastId(std::string_view aEvents);

  std::string m_completeEvents;
  std::string m_partialEvent;
  std::string m_lastId;
};

// How many events there are in text that Feed has returned.
std::uint32_t
CountEvents(std::string_view aEvents);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_EVENT_SPLITTER_H_
