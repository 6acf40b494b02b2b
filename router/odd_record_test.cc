// Tests of the decoders of what other writers may leave in the platform's
// store. Guards against issue 41, an odd entry: one record that cannot be read
// ended every router that read it, or kept it from reading on.

#include <cstdlib>
#include <functional>
#include <string>

#include <gtest/gtest.h>
#include <pthread.h>

#include "platform/config_codec.h"
#include "platform/store_codec.h"
#include "router/member_record.h"
#include "router/trait_news_codec.h"

namespace walnutwing::router {
namespace {

// The size of the largest record that the platform takes.
constexpr std::size_t kRecordBytes = 262'144;
// Of the thread that decodes; processes on other kinds of machine may have no
// more.
constexpr std::size_t kStackBytes = 256U << 10U;

struct Decoder
{
  const char* m_name;
  std::function<bool(const std::string&)> m_decode; // whether it can be read
};

// Without it GoogleTest prints the bytes of the object.
void
PrintTo(const Decoder& aDecoder, std::ostream* aStream)
{
  *aStream << aDecoder.m_name;
}

class OddRecord : public testing::TestWithParam<Decoder>
{
protected:
  // Decodes in a thread with a small stack.
  static bool Decode(const std::string& aText)
  {
    Call call{ &GetParam(), &aText };
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStackBytes);
    pthread_t thread{};
    EXPECT_EQ(0, pthread_create(&thread, &attributes, &Run, &call));
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
    return call.m_readable;
  }

private:
  struct Call
  {
    const Decoder* m_decoder = nullptr;
    const std::string* m_text = nullptr;
    bool m_readable = false;
  };

  static void* Run(void* aCall)
  {
    Call& call = *static_cast<Call*>(aCall);
    call.m_readable = call.m_decoder->m_decode(*call.m_text);
    return nullptr;
  }
};

std::string
Nested(const std::string& aOpen, const std::string& aClose, std::size_t aBytes)
{
  std::string text;
  std::size_t depth = 0;
  for (; text.size() + aOpen.size() < aBytes; ++depth) {
    text += aOpen;
  }
  text += aClose.empty() ? "" : "0";
  for (; !aClose.empty() && depth > 0; --depth) {
    text += aClose;
  }
  return text;
}

TEST_P(OddRecord, DeepNestingOfAnySizeIsUnreadable)
{
  EXPECT_FALSE(Decode(Nested("[", "", kRecordBytes)));
  EXPECT_FALSE(Decode(Nested("{\"a\":", "", kRecordBytes)));
  EXPECT_FALSE(Decode(Nested("[", "]", kRecordBytes / 2)));
  EXPECT_FALSE(Decode(Nested("{\"a\":", "}", kRecordBytes)));
}

TEST_P(OddRecord, NumbersOutOfRangeAreUnreadable)
{
  for (const char* number : { "1e999", "-1e999", "18446744073709551616" }) {
    std::string text = R"({"service":"s","zone":"z","customers":[)";
    text += number;
    text += "]";
    for (const char* name : { "version",
                              "since_wall_ms",
                              "trials",
                              "endOffset",
                              "announcement",
                              "items" }) {
      text += ",\"";
      text += name;
      text += "\":";
      text += number;
    }
    text += "}";
    EXPECT_FALSE(Decode(text)) << text;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Decoders,
  OddRecord,
  testing::Values(
    Decoder{ "Config",
             [](const std::string& aText) {
               platform::DecodeError error;
               return platform::DecodeConfig(aText, error).has_value();
             } },
    Decoder{ "Upstream",
             [](const std::string& aText) {
               platform::DecodeError error;
               return platform::DecodeUpstream("i", aText, error).has_value();
             } },
    Decoder{ "NewestPage",
             [](const std::string& aText) {
               return platform::DecodeNewest(aText).has_value();
             } },
    Decoder{ "FirstOffset",
             [](const std::string& aText) {
               return platform::DecodeFirstOffset(aText).has_value();
             } },
    Decoder{ "Member",
             [](const std::string& aText) {
               return DecodeMember(DaemonId("d"), aText).has_value();
             } },
    Decoder{ "BlockedTrait",
             [](const std::string& aText) {
               return DecodeBlockedTrait(
                        "p", aText, Time(std::chrono::hours(1)), WallTime())
                 .has_value();
             } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a page of the list that cannot be read because of one item,
// and is read again for ever.
TEST(OddItem, OtherItemsOfThePageHold)
{
  const auto page = platform::DecodeNewest(
    R"({"items":[{"key":"a","value":"e30=","offset":1},{"value":"e30="},7,)"
    R"({"key":"b","value":"!","offset":2},{"key":"c","value":"e30="}],)"
    R"("hasMore":true,"endOffset":9})");
  ASSERT_TRUE(page);
  ASSERT_EQ(2U, page->m_records.size());
  EXPECT_EQ("a", page->m_records[0].m_key);
  EXPECT_EQ("c", page->m_records[1].m_key);
  EXPECT_EQ("c", page->m_lastKey);
  EXPECT_EQ(9U, page->m_endOffset);
}

// Guards against requests that are sent to an upstream without a usable
// address.
TEST(OddItem, UpstreamNeedsAnAddressThatCanBeConnectedTo)
{
  for (const char* address : { "10.1.2.3:70000",
                               "10.1.2.3:-1",
                               "10.1.2.3:0",
                               "10.1.2.3:",
                               "10.1.2.300:80",
                               "host:80",
                               ":80" }) {
    platform::DecodeError error;
    EXPECT_FALSE(platform::DecodeUpstream(
      "i",
      R"({"service":"s","zone":"z","state":"ready","address":")" +
        std::string(address) + "\"}",
      error))
      << address;
  }
}

// Guards against times whose difference to now has no representation.
TEST(OddItem, TimesOutOfRangeAreUnreadable)
{
  for (const char* since : { "18446744073709551615", "9223372036854775808" }) {
    EXPECT_FALSE(
      DecodeBlockedTrait("p",
                         R"({"trials":1,"customers":[],"since_wall_ms":)" +
                           std::string(since) + "}",
                         Time(std::chrono::hours(1)),
                         WallTime(std::chrono::hours(480'000))));
  }
}

} // namespace
} // namespace walnutwing::router
