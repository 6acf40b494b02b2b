#ifndef WALNUTWING_RELAY_BODY_FRAMING_H_
#define WALNUTWING_RELAY_BODY_FRAMING_H_

// How an HTTP/1.1 response marks the end of its body (RFC 9112, 6.3).

#include <string_view>

namespace walnutwing {

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

} // namespace walnutwing

#endif // WALNUTWING_RELAY_BODY_FRAMING_H_
