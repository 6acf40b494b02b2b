// Query parameters of the stand-ins are plain numbers and names, so they are
// not percent-decoded.

#include "standin/http_reply.h"

#include <charconv>

namespace walnutwing::standin {

std::uint64_t
QueryNumber(std::string_view aQuery,
            std::string_view aName,
            std::uint64_t aDefault)
{
  const std::string text = QueryText(aQuery, aName);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  const bool valid = !text.empty() && error == std::errc() && parsed == end;
  return valid ? number : aDefault;
}

std::string
QueryText(std::string_view aQuery, std::string_view aName)
{
  return std::string(net::QueryValue(aQuery, aName).value_or(""));
}

} // namespace walnutwing::standin
