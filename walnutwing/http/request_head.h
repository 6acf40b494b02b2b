#ifndef WALNUTWING_HTTP_REQUEST_HEAD_H_
#define WALNUTWING_HTTP_REQUEST_HEAD_H_

// Decides whether the head of an HTTP/1.x request is sound, from its bytes and
// before anything else is taken from it (RFC 9110, RFC 9112, RFC 3986).
//
// Lenient parsers disagree about unusual heads: where a request ends, and to
// whom it goes. A head that leaves either open is not repaired but refused. A
// RequestHead holds only what was accepted.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "walnutwing/base/result_code.h"

namespace walnutwing {

// How the end of a request's body is found.
enum class RequestFraming
{
  None,
  Length,
  Chunked,
};

struct RequestHead
{
  std::string_view m_method; // points into the text
  // In origin form: a path that begins with a slash, and perhaps a query.
  std::string m_target;
  std::string m_host; // in lower case, without its port; "" in HTTP/1.0 only
  RequestFraming m_framing = RequestFraming::None;
  std::uint64_t m_length = 0; // of the body, if its framing is Length
};

enum class HeadFault
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

struct HeadFaultRow
{
  HeadFault m_fault;
  std::string_view m_name; // for logs
  ResultCode m_code;       // of the refusal, after which the connection closes
};

std::span<const HeadFaultRow>
HeadFaultTable();

const HeadFaultRow&
RowOf(HeadFault aFault);

// aText: the head including its empty line. The cost is linear in its size.
std::variant<RequestHead, HeadFault>
JudgeRequestHead(std::string_view aText);

// The host of a Host field's value in lower case, without the port; "" if the
// value is no host.
std::string
HostOf(std::string_view aField);

} // namespace walnutwing

#endif // WALNUTWING_HTTP_REQUEST_HEAD_H_
