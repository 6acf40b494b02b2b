#ifndef WALNUTWING_PLACEMENT_CHAT_HINT_H_
#define WALNUTWING_PLACEMENT_CHAT_HINT_H_

// A hint names the upstream that holds the prompt cache of a chat. The caller
// receives it with an answer and sends it with the chat's next request. It is
// signed so that a caller cannot direct requests to an upstream of its choice.
// It is only a preference: a missing, expired or forged hint costs at most a
// cache miss.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// The response header that carries a hint, and the request header in which the
// caller returns it.
inline constexpr std::string_view kHintHeader = "walnutwing-hint";

// Identifies a chat. A hint is bound to one chat and does not verify for any
// other.
struct ChatKey
{
  CustomerId m_customer;
  ServiceId m_service;
  ChatId m_chat;
};

struct HintOptions
{
  Duration m_lifetime = std::chrono::hours(12);   // older hints are invalid
  Duration m_clockSkew = std::chrono::minutes(5); // signer's clock may be ahead
};

// Signs and verifies hints with HMAC-SHA256 and the fleet's keys.
class HintSigner
{
public:
  // The first key signs and every key verifies, so that keys can be rotated.
  // Throws std::invalid_argument if there is no key.
  explicit HintSigner(std::vector<std::string> aKeys,
                      HintOptions aOptions = {});

  // Returns a hint as a header value of printable ASCII without spaces. Throws
  // std::runtime_error if HMAC-SHA256 is not available.
  std::string Encode(const ChatKey& aChat,
                     const UpstreamId& aUpstream,
                     WallTime aNow) const;

  // Returns the upstream that the hint names; nothing if the hint is malformed,
  // forged, bound to another chat, older than its lifetime or issued in the
  // future beyond the clock skew. Throws as Encode does.
  std::optional<UpstreamId> Verify(std::string_view aHint,
                                   const ChatKey& aChat,
                                   WallTime aNow) const;

private:
  std::vector<std::string> m_keys;
  HintOptions m_options;
};

} // namespace walnutwing

#endif // WALNUTWING_PLACEMENT_CHAT_HINT_H_
