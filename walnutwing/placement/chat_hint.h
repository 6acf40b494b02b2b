#ifndef WALNUTWING_PLACEMENT_CHAT_HINT_H_
#define WALNUTWING_PLACEMENT_CHAT_HINT_H_

// The hint that a caller carries back to us: which upstream holds its chat's
// prompt cache. It is signed, so that no caller can aim requests at an upstream
// of its choice, and it is only a preference: a missing, stale or forged hint
// costs at most a cache miss.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// The response header that carries a hint, and the request header that
// returns it.
inline constexpr std::string_view kHintHeader = "walnutwing-hint";

// The chat that a hint is bound to; a hint of another chat does not verify.
struct ChatKey
{
  CustomerId m_customer;
  ServiceId m_service;
  ChatId m_chat;
};

struct HintOptions
{
  Duration m_lifetime = std::chrono::hours(12);   // older hints are ignored
  Duration m_clockSkew = std::chrono::minutes(5); // hints from the future
};

// Signs and verifies hints with HMAC-SHA256 by the fleet's keys.
class HintSigner
{
public:
  // The first key signs; every key verifies, so that keys can be replaced one
  // after the other. Throws std::invalid_argument without any key.
  explicit HintSigner(std::vector<std::string> aKeys,
                      HintOptions aOptions = {});

  // A header value: printable ASCII, no spaces.
  std::string Encode(const ChatKey& aChat,
                     const UpstreamId& aUpstream,
                     WallTime aNow) const;

  // The upstream of a hint for this chat; nothing when the hint is malformed,
  // forged, of another chat, too old or from the future.
  std::optional<UpstreamId> Verify(std::string_view aHint,
                                   const ChatKey& aChat,
                                   WallTime aNow) const;

private:
  std::vector<std::string> m_keys;
  HintOptions m_options;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_CHAT_HINT_H_
