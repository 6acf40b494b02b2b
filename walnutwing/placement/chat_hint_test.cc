#include "walnutwing/placement/chat_hint.h"

#include <stdexcept>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

const WallTime kIssued{ std::chrono::hours(24 * 365 * 56) };
const ChatKey kChat = { CustomerId("waterworks"),
                        ServiceId("assistant"),
                        ChatId("chat-7") };
const UpstreamId kEngine("engine-3.brno:8000");

TEST(ChatHint, VerifiesOnlyUnexpiredHintsSignedForThisChat)
{
  const HintSigner signer({ "new key", "old key" });
  const std::string hint = signer.Encode(kChat, kEngine, kIssued);
  const std::string old =
    HintSigner({ "old key" }).Encode(kChat, kEngine, kIssued);
  const std::string foreign =
    HintSigner({ "other" }).Encode(kChat, kEngine, kIssued);
  std::string otherEngine = hint;
  otherEngine[3] = otherEngine[3] == '5' ? '6' : '5';
  const ChatKey otherChat = { kChat.m_customer, kChat.m_service, ChatId("x") };
  const ChatKey shifted = { CustomerId("waterworksassistant"),
                            ServiceId(""),
                            kChat.m_chat };
  const HintOptions options;
  struct Case
  {
    const char* m_name;
    std::string m_hint;
    ChatKey m_chat;
    Duration m_age;
    bool m_valid;
  };
  const std::vector<Case> cases = {
    { "fresh", hint, kChat, Duration(0), true },
    { "signed by the previous key", old, kChat, Duration(0), true },
    { "at the end of its life", hint, kChat, options.m_lifetime, true },
    { "stale", hint, kChat, options.m_lifetime + Duration(1000), false },
    { "clock skew", hint, kChat, -options.m_clockSkew, true },
    { "future", hint, kChat, -options.m_clockSkew - Duration(1000), false },
    { "another chat", hint, otherChat, Duration(0), false },
    { "shifted fields", hint, shifted, Duration(0), false },
    { "another fleet", foreign, kChat, Duration(0), false },
    { "another engine", otherEngine, kChat, Duration(0), false },
    { "cut", hint.substr(0, hint.size() - 1), kChat, Duration(0), false },
    { "longer", hint + "0", kChat, Duration(0), false },
    { "more fields", hint + ".0", kChat, Duration(0), false },
    { "empty", "", kChat, Duration(0), false },
    { "not hex", "1.zz.1766016000.00", kChat, Duration(0), false },
    { "huge", std::string(1U << 20U, '.'), kChat, Duration(0), false },
  };
  for (const Case& test : cases) {
    const auto upstream =
      signer.Verify(test.m_hint, test.m_chat, kIssued + test.m_age);
    EXPECT_EQ(test.m_valid, upstream == kEngine) << test.m_name;
    EXPECT_EQ(test.m_valid, upstream.has_value()) << test.m_name;
  }
}

TEST(ChatHint, RejectsEmptyKeyList)
{
  EXPECT_THROW(HintSigner({}), std::invalid_argument);
}

} // namespace
} // namespace walnutwing
