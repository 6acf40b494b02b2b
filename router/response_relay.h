#ifndef WALNUTWING_ROUTER_RESPONSE_RELAY_H_
#define WALNUTWING_ROUTER_RESPONSE_RELAY_H_

// Passes on to the caller of a request what its attempts bring of a response.
//
// A stream is forwarded from its head on, and a stream of events event by
// event: after that only another stream of events can go on with it. Any other
// response is buffered until it is complete, so that the request can be
// repeated if it breaks off; a large one is forwarded from the moment that it
// exceeds the buffer.

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "platform/answer_codec.h"
#include "router/response_check.h"
#include "router/response_writer.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/relay/event_splitter.h"

namespace walnutwing::router {

class ResponseRelay
{
public:
  // aCaller must live until OnCallerGone or TakeCaller.
  explicit ResponseRelay(ResponseWriter& aCaller)
    : m_caller(&aCaller)
  {
  }
  ResponseRelay(const ResponseRelay&) = delete;
  ResponseRelay& operator=(const ResponseRelay&) = delete;

  // Whether the caller still waits for a response.
  bool HasCaller() const { return m_caller != nullptr; }
  void OnCallerGone() { m_caller = nullptr; }
  // See ResponseWriter::CheckCaller.
  void CheckCaller()
  {
    if (m_caller != nullptr) {
      m_caller->CheckCaller();
    }
  }
  // For the last response, after which nothing is written here; null if the
  // caller has gone.
  ResponseWriter* TakeCaller() { return std::exchange(m_caller, nullptr); }

  // An attempt starts.
  void OnAttempt();

  // The head of a response that may be forwarded has arrived. aIsStream: of a
  // route for streams.
  void OnHead(const platform::HttpResponseHead& aHead,
              bool aIsStream,
              bool aIsEventStream,
              Time aNow);

  // A part of its body has arrived. Returns what it completes: whole events of
  // a stream of events, all bytes of another body. Nothing if an event is too
  // large.
  std::optional<std::string_view> Split(std::string_view aPiece);

  // Forwards or buffers what Split has returned.
  void Forward(std::string_view aPiece);

  // Forwards what is buffered of the response, which is complete.
  void ForwardRest();

  // Whether the caller reads more slowly than the upstream sends.
  bool IsBehind() const;

  // What the caller has got.
  Forwarded State() const;
  bool HasBegun() const { return m_begun; }
  bool ForwardsEvents() const { return m_begun && m_isEventStream; }

  // Of the last response that may be forwarded.
  unsigned Status() const { return m_head->result_int(); }
  // When its head arrived.
  std::optional<Time> FirstByteAt() const { return m_firstByteAt; }

  // Of the stream of events: the id of the last whole event, and the bytes of
  // the event that is not complete.
  const std::string& LastEventId() const { return m_events.LastId(); }
  std::size_t PartialEventBytes() const
  {
    return m_events.PartialEvent().size();
  }
  void DropPartialEvent() { m_events.DropPartialEvent(); }

  // Puts aside what is kept of the response of an attempt that goes on beside a
  // new one: the partial event of a stream, or all of another response.
  void SetAside();
  // Adds to the partial event that is aside. Returns the events that this
  // completes, valid until the next call; nothing if one is too large.
  std::optional<std::string_view> SplitAside(std::string_view aPiece);
  // Takes back what is aside, in place of what the other attempt has brought.
  void TakeBack();
  void DropAside() { m_aside.reset(); }

private:
  // What is kept of an attempt's response until it may be forwarded.
  struct Kept
  {
    std::optional<platform::HttpResponseHead> m_head;
    std::string m_body;
    bool m_isEventStream = false;
    EventSplitter m_events;
    std::optional<Time> m_firstByteAt;
  };

  void Begin();
  void NoteKept();

  ResponseWriter* m_caller;
  std::optional<platform::HttpResponseHead> m_head;
  std::string m_body; // buffered until complete
  bool m_begun = false;
  bool m_isEventStream = false;
  EventSplitter m_events;
  std::optional<Time> m_firstByteAt;
  std::optional<Kept> m_aside;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_RESPONSE_RELAY_H_
