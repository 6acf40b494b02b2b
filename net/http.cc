// Headers, endpoints and query strings.

#include "net/http.h"

#include <charconv>
#include <utility>

#include <arpa/inet.h>

namespace walnutwing::net {

void
Headers::Add(std::string aName, std::string aValue)
{
  m_headers.push_back({ std::move(aName), std::move(aValue) });
}

std::optional<std::string_view>
Headers::Find(std::string_view aName) const
{
  for (const Header& header : m_headers) {
    if (header.m_name == aName) {
      return header.m_value;
    }
  }
  return std::nullopt;
}

std::string_view
Headers::Get(std::string_view aName) const
{
  return Find(aName).value_or("");
}

std::optional<Endpoint>
Endpoint::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.m_ip = std::string(aText.substr(0, colon));
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.m_ip.c_str(), &address) != 1) {
    return std::nullopt;
  }
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  return endpoint;
}

std::string
Endpoint::ToString() const
{
  return m_ip + ":" + std::to_string(m_port);
}

std::optional<std::string_view>
QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != aName) {
      continue;
    }
    return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
  }
  return std::nullopt;
}

} // namespace walnutwing::net
