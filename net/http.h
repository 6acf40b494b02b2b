#ifndef WALNUTWING_NET_HTTP_H_
#define WALNUTWING_NET_HTTP_H_

// Types that the HTTP server and the HTTP client share.

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutwing::net {

struct Header
{
  std::string m_name; // lower case
  std::string m_value;
};

class Headers
{
public:
  Headers() = default;
  Headers(std::initializer_list<Header> aHeaders)
    : m_headers(aHeaders)
  {
  }

  void Add(std::string aName, std::string aValue);

  // The value of the first header named aName (lower case), or nullopt.
  std::optional<std::string_view> Find(std::string_view aName) const;

  // Like Find, but returns "" if the header is missing.
  std::string_view Get(std::string_view aName) const;

  const std::vector<Header>& All() const { return m_headers; }

private:
  std::vector<Header> m_headers;
};

// An IPv4 address and a port.
struct Endpoint
{
  std::string m_ip;
  std::uint16_t m_port = 0;

  // Parses "IP:port"; returns nullopt if aText is malformed.
  static std::optional<Endpoint> Parse(std::string_view aText);
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;
};

// The value of aName in a query string such as "a=1&b=2", not percent-decoded.
// Returns "" for a name without "=" and nullopt if aName is missing.
std::optional<std::string_view>
QueryValue(std::string_view aQuery, std::string_view aName);

} // namespace walnutwing::net

#endif // WALNUTWING_NET_HTTP_H_
