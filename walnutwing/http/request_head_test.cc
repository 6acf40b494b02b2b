#include "walnutwing/http/request_head.h"

#include <set>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const std::string kHost = "Host: h.example\r\n";

std::string
Head(const std::string& aRequestLine, const std::string& aFields)
{
  return aRequestLine + "\r\n" + aFields + "\r\n";
}

std::string
PostWith(const std::string& aFields)
{
  return Head("POST /order/ HTTP/1.1", kHost + aFields);
}

struct ValidHead
{
  const char* m_name;
  std::string m_text;
  std::string m_target;
  RequestFraming m_framing = RequestFraming::None;
  std::uint64_t m_length = 0;
};

// Guards against a valid request that is rejected.
TEST(RequestHead, AcceptsValidHeads)
{
  const ValidHead cases[] = {
    { "plain", Head("GET / HTTP/1.1", kHost), "/" },
    { "query", Head("GET /a?b=/c HTTP/1.1", kHost), "/a?b=/c" },
    { "port and case",
      Head("GET / HTTP/1.1", "hOsT:  H.Example:8080 \r\n"),
      "/" },
    { "IPv6", Head("GET / HTTP/1.1", "Host: [::1]:80\r\n"), "/" },
    { "absolute form",
      Head("GET HTTP://h.example/a?b HTTP/1.1", kHost),
      "/a?b" },
    { "absolute form without a path",
      Head("GET http://h.example?b HTTP/1.1", kHost),
      "/?b" },
    { "length",
      PostWith("Content-Length: 12\r\n"),
      "/order/",
      RequestFraming::Length,
      12 },
    { "chunked",
      PostWith("transfer-encoding: Chunked\r\n"),
      "/order/",
      RequestFraming::Chunked },
    { "HTTP/1.0 without a host", Head("GET / HTTP/1.0", ""), "/" },
    { "bytes beyond ASCII in a value",
      Head("GET / HTTP/1.1", kHost + "X-Name: \xc3\xa9\r\n"),
      "/" },
    { "empty value", Head("GET / HTTP/1.1", kHost + "X-Name:\r\n"), "/" },
  };
  for (const ValidHead& valid : cases) {
    const auto result = ParseRequestHead(valid.m_text);
    const auto* head = std::get_if<RequestHead>(&result);
    ASSERT_NE(nullptr, head) << valid.m_name;
    EXPECT_EQ(valid.m_target, head->m_target) << valid.m_name;
    EXPECT_EQ(valid.m_framing, head->m_framing) << valid.m_name;
    EXPECT_EQ(valid.m_length, head->m_length) << valid.m_name;
  }
}

struct InvalidHead
{
  const char* m_name;
  std::string m_text;
  HeadError m_error;
};

std::string
GetWithHost(const std::string& aHost)
{
  return Head("GET / HTTP/1.1", "Host: " + aHost + "\r\n");
}

// Guards against review/11, UNASKED, and review/12, ROUTE: a head of which the
// end of the body, or the host, can be read in two ways.
TEST(RequestHead, RejectsInvalidHeads)
{
  using enum HeadError;
  const std::string nul(1, '\0');
  const InvalidHead cases[] = {
    { "no version", Head("GET /", kHost), RequestLine },
    { "HTTP/0.9", Head("GET / HTTP/0.9", kHost), RequestLine },
    { "HTTP/2.0", Head("GET / HTTP/2.0", kHost), RequestLine },
    { "HTTP/1.10", Head("GET / HTTP/1.10", kHost), RequestLine },
    { "lower case version", Head("GET / http/1.1", kHost), RequestLine },
    { "empty line first", "\r\n" + Head("GET / HTTP/1.1", kHost), RequestLine },
    { "leading space", Head(" GET / HTTP/1.1", kHost), RequestLine },
    { "tab for a space", Head("GET\t/ HTTP/1.1", kHost), RequestLine },
    { "method with a slash", Head("G/T / HTTP/1.1", kHost), RequestLine },
    { "no line end", "GET / HTTP/1.1", RequestLine },
    { "asterisk", Head("OPTIONS * HTTP/1.1", kHost), Target },
    { "authority form", Head("CONNECT h.example:80 HTTP/1.1", kHost), Target },
    { "no leading slash", Head("GET order/ HTTP/1.1", kHost), Target },
    { "two spaces", Head("GET  / HTTP/1.1", kHost), Target },
    { "space in the target", Head("GET /a b HTTP/1.1", kHost), Target },
    { "fragment", Head("GET /#a HTTP/1.1", kHost), Target },
    { "control in the target", Head("GET /\x01 HTTP/1.1", kHost), Target },
    { "byte beyond ASCII", Head("GET /\xff HTTP/1.1", kHost), Target },
    { "another scheme", Head("GET file:///a HTTP/1.1", kHost), Target },
    { "no host in it", Head("GET http:///a HTTP/1.1", kHost), Target },
    { "user in it", Head("GET http://u@h.example/ HTTP/1.1", kHost), Target },
    { "another host",
      Head("GET http://x.example/ HTTP/1.1", kHost),
      Authority },
    { "no host", Head("GET / HTTP/1.1", ""), Host },
    { "two hosts", Head("GET / HTTP/1.1", kHost + kHost), Host },
    { "empty host", GetWithHost(""), Host },
    { "slash", GetWithHost("h.example/status"), Host },
    { "slash behind a port", GetWithHost("h.example:80/status"), Host },
    { "backslash", GetWithHost("h.example\\status"), Host },
    { "question mark", GetWithHost("h.example?status"), Host },
    { "user", GetWithHost("u@h.example"), Host },
    { "space in the host", GetWithHost("h.example status"), Host },
    { "list of hosts", GetWithHost("h.example, x.example/"), Host },
    { "port that is no number", GetWithHost("h.example:x"), Host },
    { "two ports", GetWithHost("h.example:80:80"), Host },
    { "long port", GetWithHost("h.example:123456"), Host },
    { "open bracket", GetWithHost("[::1"), Host },
    { "text behind a bracket", GetWithHost("[::1]x"), Host },
    { "half an escape", GetWithHost("h%2"), Host },
    { "space before the colon", PostWith("Content-Length : 4\r\n"), FieldLine },
    { "tab before the colon", PostWith("Host\t: x\r\n"), FieldLine },
    { "folded line", PostWith("X-Name: a\r\n b\r\n"), FieldLine },
    { "folded with a tab", PostWith("X-Name: a\r\n\tb\r\n"), FieldLine },
    { "folded first line",
      Head("GET / HTTP/1.1", " a: b\r\n" + kHost),
      FieldLine },
    { "line without a colon", PostWith("X-Name\r\n"), FieldLine },
    { "no name", PostWith(": a\r\n"), FieldLine },
    { "bare line feed",
      PostWith("X-Name: a\nContent-Length: 4\r\n"),
      FieldLine },
    { "bare carriage return",
      PostWith("X-Name: a\rContent-Length: 4\r\n"),
      FieldLine },
    { "zero byte in a value", PostWith("X-Name: a" + nul + "\r\n"), FieldLine },
    { "zero byte in a name", PostWith("X" + nul + ": a\r\n"), FieldLine },
    { "delete", PostWith("X-Name: \x7f\r\n"), FieldLine },
    { "lines end with line feeds",
      "GET / HTTP/1.1\nHost: h.example\n\n",
      RequestLine },
    { "no empty line", "GET / HTTP/1.1\r\n" + kHost, FieldLine },
    { "two lengths",
      PostWith("Content-Length: 4\r\nContent-Length: 5\r\n"),
      Length },
    { "the same length twice",
      PostWith("Content-Length: 4\r\nContent-Length: 4\r\n"),
      Length },
    { "list of lengths", PostWith("Content-Length: 4, 4\r\n"), Length },
    { "signed length", PostWith("Content-Length: +4\r\n"), Length },
    { "negative length", PostWith("Content-Length: -4\r\n"), Length },
    { "hexadecimal length", PostWith("Content-Length: 0x4\r\n"), Length },
    { "empty length", PostWith("Content-Length:\r\n"), Length },
    { "length beyond 64 bits",
      PostWith("Content-Length: 18446744073709551616\r\n"),
      Length },
    { "length with a fraction", PostWith("Content-Length: 4.0\r\n"), Length },
    { "CL.TE",
      PostWith("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
      Framing },
    { "TE.CL",
      PostWith("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
      Framing },
    { "CL and an unknown coding",
      PostWith("Content-Length: 4\r\nTransfer-Encoding: gzip\r\n"),
      Framing },
    { "coding in HTTP/1.0",
      Head("POST / HTTP/1.0", kHost + "Transfer-Encoding: chunked\r\n"),
      Framing },
    { "gzip alone", PostWith("Transfer-Encoding: gzip\r\n"), TransferCoding },
    { "gzip, chunked",
      PostWith("Transfer-Encoding: gzip, chunked\r\n"),
      TransferCoding },
    { "chunked, gzip",
      PostWith("Transfer-Encoding: chunked, gzip\r\n"),
      TransferCoding },
    { "chunked twice",
      PostWith("Transfer-Encoding: chunked, chunked\r\n"),
      TransferCoding },
    { "two coding fields",
      PostWith("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
      TransferCoding },
    { "identity", PostWith("Transfer-Encoding: identity\r\n"), TransferCoding },
    { "xchunked", PostWith("Transfer-Encoding: xchunked\r\n"), TransferCoding },
    { "quoted",
      PostWith("Transfer-Encoding: \"chunked\"\r\n"),
      TransferCoding },
    { "chunked with a parameter",
      PostWith("Transfer-Encoding: chunked;a=b\r\n"),
      TransferCoding },
    { "empty coding", PostWith("Transfer-Encoding:\r\n"), TransferCoding },
    { "list that begins with a comma",
      PostWith("Transfer-Encoding: ,chunked\r\n"),
      TransferCoding },
    { "vertical tab in the coding",
      PostWith("Transfer-Encoding: \vchunked\r\n"),
      FieldLine },
  };
  for (const InvalidHead& invalid : cases) {
    const auto result = ParseRequestHead(invalid.m_text);
    const auto* error = std::get_if<HeadError>(&result);
    ASSERT_NE(nullptr, error) << invalid.m_name;
    EXPECT_EQ(invalid.m_error, *error)
      << invalid.m_name << ": " << RowOf(*error).m_name;
  }
}

// Guards against a route that is missed, or found for another host, because of
// the case, the port or an invalid character.
TEST(HostOf, ReturnsTheHostInLowerCaseWithoutItsPort)
{
  const std::pair<const char*, const char*> cases[] = {
    { "h.example", "h.example" },
    { "H.Example:8080", "h.example" },
    { "h.example:", "h.example" },
    { "[::1]:80", "[::1]" },
    { "a%2Fb", "a%2fb" },
    { "", "" },
    { ":80", "" },
    { "h.example/status", "" },
    { "h.example:80/status", "" },
    { "[::1", "" },
  };
  for (const auto& [field, host] : cases) {
    EXPECT_EQ(host, HostOf(field)) << field;
  }
}

// Guards against an error without a row in the table.
TEST(RequestHead, ErrorsHaveNamesAndCodes)
{
  std::set<std::string_view> names;
  for (const HeadErrorRow& row : HeadErrorTable()) {
    EXPECT_EQ(row.m_name, RowOf(row.m_error).m_name);
    EXPECT_TRUE(names.insert(row.m_name).second) << row.m_name;
    EXPECT_EQ(Ran::NotRun, RowOf(row.m_code).m_ran) << row.m_name;
  }
}

} // namespace
} // namespace walnutwing
