// The format of a hint is "1.UPSTREAM.SECONDS.MAC": the version, the upstream's
// id in hex, the Unix time of issue in decimal and the first 16 bytes of the
// HMAC in hex. The MAC covers the chat as well. Each field is signed with its
// length in front, so that characters cannot move from one field to the next
// under the same MAC.

#include "walnutwing/placement/chat_hint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace walnutwing {
namespace {

constexpr std::string_view kVersion = "1";
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kFieldCount = 4;
constexpr std::size_t kMaxHintBytes = 1024;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kNibbleBits = 4;
constexpr unsigned kNibbleMask = 0xF;

std::string
ToHex(std::string_view aBytes)
{
  std::string hex;
  hex.reserve(aBytes.size() * 2);
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kHexDigits[value >> kNibbleBits]);
    hex.push_back(kHexDigits[value & kNibbleMask]);
  }
  return hex;
}

std::optional<std::string>
FromHex(std::string_view aHex)
{
  if (aHex.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t i = 0; i < aHex.size(); i += 2) {
    const std::size_t high = kHexDigits.find(aHex[i]);
    const std::size_t low = kHexDigits.find(aHex[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(high << kNibbleBits | low));
  }
  return bytes;
}

void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

std::string
ComputeMac(const std::string& aKey,
           const ChatKey& aChat,
           std::string_view aUpstream,
           std::string_view aSeconds)
{
  std::string text(kHintHeader);
  AppendField(text, kVersion);
  AppendField(text, aChat.m_customer.Value());
  AppendField(text, aChat.m_service.Value());
  AppendField(text, aChat.m_chat.Value());
  AppendField(text, aUpstream);
  AppendField(text, aSeconds);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  const unsigned char* made =
    HMAC(EVP_sha256(),
         aKey.data(),
         static_cast<int>(aKey.size()),
         reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         mac.data(),
         &size);
  if (made == nullptr || size < kMacBytes) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
  return ToHex({ reinterpret_cast<const char*>(mac.data()), kMacBytes });
}

// Compares in constant time, so that the time taken reveals nothing about the
// expected MAC.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

// Splits a hint at its first kFieldCount - 1 dots; the last field may contain
// more of them. Nothing if there are fewer dots.
std::optional<std::array<std::string_view, kFieldCount>>
SplitHint(std::string_view aHint)
{
  std::array<std::string_view, kFieldCount> fields;
  for (std::size_t i = 0; i + 1 < kFieldCount; ++i) {
    const std::size_t dot = aHint.find('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    fields[i] = aHint.substr(0, dot);
    aHint.remove_prefix(dot + 1);
  }
  fields.back() = aHint;
  return fields;
}

std::optional<std::int64_t>
ParseSeconds(std::string_view aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return value;
}

std::int64_t
UnixSeconds(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aTime.time_since_epoch())
    .count();
}

std::int64_t
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aDuration).count();
}

} // namespace

HintSigner::HintSigner(std::vector<std::string> aKeys, HintOptions aOptions)
  : m_keys(std::move(aKeys))
  , m_options(aOptions)
{
  if (m_keys.empty()) {
    throw std::invalid_argument("signing hints requires at least one key");
  }
}

std::string
HintSigner::Encode(const ChatKey& aChat,
                   const UpstreamId& aUpstream,
                   WallTime aNow) const
{
  const std::string seconds = std::to_string(UnixSeconds(aNow));
  const std::string mac =
    ComputeMac(m_keys.front(), aChat, aUpstream.Value(), seconds);
  return std::string(kVersion) + '.' + ToHex(aUpstream.Value()) + '.' +
         seconds + '.' + mac;
}

std::optional<UpstreamId>
HintSigner::Verify(std::string_view aHint,
                   const ChatKey& aChat,
                   WallTime aNow) const
{
  if (aHint.size() > kMaxHintBytes) {
    return std::nullopt;
  }
  const auto fields = SplitHint(aHint);
  if (!fields || (*fields)[0] != kVersion) {
    return std::nullopt;
  }
  const std::optional<std::string> upstream = FromHex((*fields)[1]);
  const std::optional<std::int64_t> issued = ParseSeconds((*fields)[2]);
  if (!upstream || !issued) {
    return std::nullopt;
  }
  const std::int64_t now = UnixSeconds(aNow);
  if (*issued < now - ToSeconds(m_options.m_lifetime) ||
      *issued > now + ToSeconds(m_options.m_clockSkew)) {
    return std::nullopt;
  }
  for (const std::string& key : m_keys) {
    if (!EqualInConstantTime(ComputeMac(key, aChat, *upstream, (*fields)[2]),
                             (*fields)[3])) {
      continue;
    }
    return UpstreamId(*upstream);
  }
  return std::nullopt;
}

} // namespace walnutwing
