#ifndef WALNUTWING_RELAY_EVENT_SPLITTER_H_
#define WALNUTWING_RELAY_EVENT_SPLITTER_H_

// Cuts a stream of Server-Sent Events into whole events without reading more of
// them than their ids, so that a stream that breaks can go on behind the last
// whole event that was passed on. Lines end with LF or CR LF.

#include <string>
#include <string_view>

namespace walnutwing {

class EventSplitter
{
public:
  // Takes the next bytes, cut anywhere. Returns the bytes of all events that
  // are whole by now and were not returned before; valid until the next call.
  std::string_view Feed(std::string_view aPiece);

  // Bytes of an event that is not whole yet.
  std::string_view PartialEvent() const { return m_partialEvent; }

  // Forgets the rest: its event comes again, whole, from another upstream.
  void DropPartialEvent() { m_partialEvent.clear(); }

  // The id of the last whole event that has one; "" before the first.
  const std::string& LastId() const { return m_lastId; }

private:
  void UpdateLastId(std::string_view aEvents);

  std::string m_completeEvents;
  std::string m_partialEvent;
  std::string m_lastId;
};

} // namespace walnutwing

#endif // WALNUTWING_RELAY_EVENT_SPLITTER_H_
