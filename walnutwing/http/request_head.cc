// The head is read line by line. Each step returns its error, if any, which
// ends the parsing.

#include "walnutwing/http/request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <stdexcept>

namespace walnutwing {
namespace {

constexpr std::array<HeadErrorRow, 8> kHeadErrors{ {
  { HeadError::RequestLine, "request_line", ResultCode::BadRequest },
  { HeadError::Target, "target", ResultCode::BadRequest },
  { HeadError::Authority, "authority", ResultCode::BadRequest },
  { HeadError::FieldLine, "field_line", ResultCode::BadRequest },
  { HeadError::Host, "host", ResultCode::BadRequest },
  { HeadError::Length, "length", ResultCode::BadRequest },
  { HeadError::Framing, "framing", ResultCode::BadRequest },
  { HeadError::TransferCoding,
    "transfer_coding",
    ResultCode::TransferCodingUnsupported },
} };

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kHttp11 = "HTTP/1.1";
constexpr std::string_view kOptionalSpace = " \t";

bool
IsAlphanumeric(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z');
}

bool
IsHexDigit(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f') ||
         (aChar >= 'A' && aChar <= 'F');
}

bool
IsTokenChar(char aChar)
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsAlphanumeric(aChar) || kOthers.find(aChar) != std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

bool
IsControl(char aChar)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aChar);
  return (byte < kFirstPrintable && aChar != '\t') || byte == kDelete;
}

// Visible ASCII; a "#" would start a fragment, which is not sent to servers.
bool
IsTargetChar(char aChar)
{
  return aChar > ' ' && aChar <= '~' && aChar != '#';
}

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  for (char& c : text) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return text;
}

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() && LowerCase(aLeft) == LowerCase(aRight);
}

std::string_view
Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kOptionalSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin,
                      aText.find_last_not_of(kOptionalSpace) - begin + 1);
}

// unreserved / pct-encoded / sub-delims (RFC 3986, 3.2.2)
bool
IsRegisteredName(std::string_view aName)
{
  constexpr std::string_view kOthers = "-._~!$&'()*+,;=";
  for (std::size_t i = 0; i < aName.size(); ++i) {
    const char c = aName[i];
    if (IsAlphanumeric(c) || kOthers.find(c) != std::string_view::npos) {
      continue;
    }
    const bool isEncoded = c == '%' && i + 2 < aName.size() &&
                           IsHexDigit(aName[i + 1]) && IsHexDigit(aName[i + 2]);
    if (!isEncoded) {
      return false;
    }
    i += 2;
  }
  return !aName.empty();
}

// The inside of the brackets of an IP literal, as "::1" or "v1.x".
bool
IsIpLiteral(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return IsAlphanumeric(aChar) || aChar == ':' || aChar == '.';
         });
}

// ":8080", or nothing.
bool
IsPort(std::string_view aText)
{
  constexpr std::size_t kMaxDigits = 5;
  if (aText.empty()) {
    return true;
  }
  const std::string_view digits = aText.substr(1);
  return aText.front() == ':' && digits.size() <= kMaxDigits &&
         digits.find_first_not_of("0123456789") == std::string_view::npos;
}

// Parses one head.
class HeadParser
{
public:
  explicit HeadParser(std::string_view aText)
    : m_rest(aText)
  {
  }

  std::variant<RequestHead, HeadError> Parse()
  {
    std::optional<HeadError> error = ReadRequestLine();
    if (!error) {
      error = ReadFields();
    }
    if (!error) {
      error = CheckHost();
    }
    if (!error) {
      error = ReadFraming();
    }
    if (error) {
      return *error;
    }
    return std::move(m_head);
  }

private:
  // The next line without its line end; nothing if no line end is left.
  std::optional<std::string_view> NextLine()
  {
    const std::size_t end = m_rest.find(kLineEnd);
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line = m_rest.substr(0, end);
    m_rest.remove_prefix(end + kLineEnd.size());
    return line;
  }

  std::optional<HeadError> ReadRequestLine()
  {
    const std::optional<std::string_view> line = NextLine();
    if (!line) {
      return HeadError::RequestLine;
    }
    const std::size_t first = line->find(' ');
    const std::size_t last = line->rfind(' ');
    if (first == std::string_view::npos || first == last) {
      return HeadError::RequestLine;
    }
    const std::string_view method = line->substr(0, first);
    const std::string_view version = line->substr(last + 1);
    m_isHttp10 = version == kHttp10;
    if (!IsToken(method) || (!m_isHttp10 && version != kHttp11)) {
      return HeadError::RequestLine;
    }
    return ReadTarget(line->substr(first + 1, last - first - 1));
  }

  std::optional<HeadError> ReadTarget(std::string_view aTarget)
  {
    if (aTarget.empty() ||
        !std::all_of(aTarget.begin(), aTarget.end(), IsTargetChar)) {
      return HeadError::Target;
    }
    if (aTarget.front() == '/') {
      m_head.m_target = aTarget;
      return std::nullopt;
    }
    for (const std::string_view scheme : { "http://", "https://" }) {
      if (EqualIgnoringCase(aTarget.substr(0, scheme.size()), scheme)) {
        return ReadAbsoluteForm(aTarget.substr(scheme.size()));
      }
    }
    return HeadError::Target; // "*", "host:port" or another scheme
  }

  // aRest: what follows the scheme.
  std::optional<HeadError> ReadAbsoluteForm(std::string_view aRest)
  {
    const std::size_t end = std::min(aRest.find_first_of("/?"), aRest.size());
    m_authority = aRest.substr(0, end);
    const std::string_view path = aRest.substr(end);
    m_head.m_target = path.starts_with('/') ? "" : "/";
    m_head.m_target += path;
    return HostOf(*m_authority).empty() ? std::optional(HeadError::Target)
                                        : std::nullopt;
  }

  std::optional<HeadError> ReadFields()
  {
    while (true) {
      const std::optional<std::string_view> line = NextLine();
      if (!line) {
        return HeadError::FieldLine;
      }
      if (line->empty()) {
        return std::nullopt;
      }
      const std::size_t colon = line->find(':');
      if (colon == std::string_view::npos || !IsToken(line->substr(0, colon)) ||
          std::any_of(line->begin(), line->end(), IsControl)) {
        return HeadError::FieldLine;
      }
      NoteField(line->substr(0, colon), Trim(line->substr(colon + 1)));
    }
  }

  void NoteField(std::string_view aName, std::string_view aValue)
  {
    if (EqualIgnoringCase(aName, "host")) {
      m_hosts.Add(aValue);
    } else if (EqualIgnoringCase(aName, "content-length")) {
      m_lengths.Add(aValue);
    } else if (EqualIgnoringCase(aName, "transfer-encoding")) {
      m_codings.Add(aValue);
    }
  }

  std::optional<HeadError> CheckHost()
  {
    if (m_hosts.m_count == 0 && m_isHttp10) {
      return std::nullopt;
    }
    if (m_hosts.m_count != 1 || HostOf(m_hosts.m_last).empty()) {
      return HeadError::Host;
    }
    if (m_authority && !EqualIgnoringCase(*m_authority, m_hosts.m_last)) {
      return HeadError::Authority;
    }
    return std::nullopt;
  }

  std::optional<HeadError> ReadFraming()
  {
    if (m_codings.m_count != 0) {
      if (m_lengths.m_count != 0 || m_isHttp10) {
        return HeadError::Framing;
      }
      if (m_codings.m_count != 1 ||
          !EqualIgnoringCase(m_codings.m_last, "chunked")) {
        return HeadError::TransferCoding;
      }
      m_head.m_framing = RequestFraming::Chunked;
      return std::nullopt;
    }
    if (m_lengths.m_count == 0) {
      return std::nullopt;
    }
    const std::string_view text = m_lengths.m_last;
    const char* end = text.data() + text.size();
    const auto [stop, error] =
      std::from_chars(text.data(), end, m_head.m_length);
    if (m_lengths.m_count != 1 || error != std::errc() || stop != end) {
      return HeadError::Length;
    }
    m_head.m_framing = RequestFraming::Length;
    return std::nullopt;
  }

  // The fields with one name.
  struct FieldGroup
  {
    void Add(std::string_view aValue)
    {
      ++m_count;
      m_last = aValue;
    }
    std::size_t m_count = 0;
    std::string_view m_last;
  };

  std::string_view m_rest;
  RequestHead m_head;
  bool m_isHttp10 = false;
  std::optional<std::string_view> m_authority; // of a target in absolute form
  FieldGroup m_hosts;
  FieldGroup m_lengths;
  FieldGroup m_codings;
};

} // namespace

std::span<const HeadErrorRow>
HeadErrorTable()
{
  return kHeadErrors;
}

const HeadErrorRow&
RowOf(HeadError aHeadError)
{
  for (const HeadErrorRow& row : kHeadErrors) {
    if (row.m_error == aHeadError) {
      return row;
    }
  }
  throw std::out_of_range("unknown HeadError");
}

std::string
HostOf(std::string_view aField)
{
  if (aField.starts_with('[')) {
    const std::size_t end = aField.find(']');
    const bool isHost = end != std::string_view::npos &&
                        IsIpLiteral(aField.substr(1, end - 1)) &&
                        IsPort(aField.substr(end + 1));
    return isHost ? LowerCase(aField.substr(0, end + 1)) : "";
  }
  const std::size_t colon = std::min(aField.find(':'), aField.size());
  const std::string_view name = aField.substr(0, colon);
  return IsRegisteredName(name) && IsPort(aField.substr(colon))
           ? LowerCase(name)
           : "";
}

std::variant<RequestHead, HeadError>
ParseRequestHead(std::string_view aText)
{
  return HeadParser(aText).Parse();
}

} // namespace walnutwing
