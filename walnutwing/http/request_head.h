#ifndef WALNUTWING_HTTP_REQUEST_HEAD_H_
#define WALNUTWING_HTTP_REQUEST_HEAD_H_

// Validates the head of an HTTP/1.x request (RFC 9110, RFC 9112, RFC 3986).
//
// Parsers differ in how they read unusual heads, for example those with two
// lengths or two hosts. A client can use the difference to hide a request in
// the body of another one (request smuggling), or to have it routed to a host
// that was not checked. So a head that can be read in two ways is rejected
// rather than repaired.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "walnutwing/base/result_code.h"

namespace walnutwing {

// How the end of a request's body is found (RFC 9112, 6).
enum class RequestFraming
{
  None,
  Length,
  Chunked,
};

struct RequestHead
{
  // In origin form: a path that begins with a slash, and perhaps a query.
  std::string m_target;
  RequestFraming m_framing = RequestFraming::None;
  std::uint64_t m_length = 0; // of the body, if its framing is Length
};

enum class HeadError
{
  RequestLine,    // not "METHOD TARGET HTTP/1.x"
  Target,         // neither an origin form nor an absolute form
  Authority,      // the target names another host than the Host field
  FieldLine,      // no "NAME: VALUE", folded, or with a control character
  Host,           // missing, more than one, or no host
  Length,         // more than one Content-Length, or no number
  Framing,        // a length and a transfer coding, or a coding in HTTP/1.0
  TransferCoding, // chunked is not the only transfer coding
};

struct HeadErrorRow
{
  HeadError m_error;
  std::string_view m_name; // for logs
  ResultCode m_code;       // of the response, which closes the connection
};

std::span<const HeadErrorRow>
HeadErrorTable();

const HeadErrorRow&
RowOf(HeadError aHeadError);

// Returns the first error if the head is invalid. aText: the head including its
// empty line. The cost is linear in its size.
std::variant<RequestHead, HeadError>
ParseRequestHead(std::string_view aText);

// The host of a Host field's value in lower case, without the port; "" if the
// value is no host.
std::string
HostOf(std::string_view aField);

} // namespace walnutwing

#endif // WALNUTWING_HTTP_REQUEST_HEAD_H_
