#ifndef WALNUTWING_RELAY_BODY_END_H_
#define WALNUTWING_RELAY_BODY_END_H_

// Decides whether a response body whose bytes have ended is complete.
//
// Framing alone does not tell. A body without a length or chunks ends with its
// connection, and an upstream that crashes may close that in the same orderly
// way as one that has finished. A stream of Server-Sent Events says more: the
// empty line that ends an event. A client discards an event without it, so a
// stream that ends inside an event lacks that event, whatever its framing says.
// An upstream that closes its connection before it has read the request has not
// answered it, so a body that ends in that way is incomplete as well.

#include <cstdint>
#include <string_view>

namespace walnutwing {

// How an HTTP/1.1 response marks the end of its body (RFC 9112, 6.3).
enum class BodyFraming
{
  Unknown,    // no head was received
  None,       // there is no body, by method or status
  Length,     // Content-Length
  Chunked,    // the last chunk
  UntilClose, // the end of the connection
};

// "unknown", "none", "length", "chunked", "until_close".
std::string_view
NameOf(BodyFraming aFraming);

// What is known about a body when its bytes have ended.
struct BodyEnd
{
  BodyFraming m_framing = BodyFraming::Unknown;
  std::uint64_t m_bytes = 0; // received
  // Of a stream of events: bytes after the last complete event.
  std::uint64_t m_partialEventBytes = 0;
  // Of a stream of events that goes on with one that had begun: whether it has
  // added no event.
  bool m_addsNothing = false;
  // Whether the whole request had reached the upstream's host by then.
  bool m_requestTaken = true;
};

enum class BodyVerdict
{
  Complete,
  // The connection, which was to end the body, ended before the request did.
  BeforeRequestEnd,
  InsideEvent,
  // There was neither an event nor framing, or a stream that was to go on got
  // no further event. Nothing shows that the upstream had come further than its
  // head, or that the event before was the last one.
  WithoutEvents,
};

// The verdict as a cause of failure, for log lines.
std::string_view
NameOf(BodyVerdict aVerdict);

// Requires that the body's framing was satisfied: its length was reached, its
// last chunk was received, or its connection was closed in an orderly way.
BodyVerdict
JudgeBody(const BodyEnd& aEnd, bool aIsEventStream);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_BODY_END_H_
