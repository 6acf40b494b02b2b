// Fuzzes the decoders of external input, which must not crash on any bytes. The
// first byte selects the decoder. Built with clang and -DWALNUTWING_FUZZ=ON;
// `make fuzz` runs it for a limited time.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/answer_codec.h"
#include "platform/config_codec.h"
#include "platform/http_names.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "router/member_record.h"
#include "router/trait_news_codec.h"
#include "walnutwing/relay/event_splitter.h"
#include "walnutwing/routing/trait_breaker.h"

namespace {

// Longer than any field of a head that is accepted, and short enough for the
// library that holds the fields.
constexpr std::size_t kMaxFieldBytes = 32U << 10U;

// The events of a stream don't depend on how it was split, and no byte is lost.
void
CheckSplitter(std::string_view aText)
{
  walnutwing::EventSplitter whole;
  const std::string events(whole.Feed(aText));
  walnutwing::EventSplitter halves;
  std::string joined(halves.Feed(aText.substr(0, aText.size() / 2)));
  joined += halves.Feed(aText.substr(aText.size() / 2));
  const std::string all = events + std::string(whole.PartialEvent());
  if (joined != events || all != aText || halves.LastId() != whole.LastId()) {
    std::abort();
  }
}

// Decodes a response head whose fields all have the same text.
void
DecodeHead(std::string_view aText)
{
  walnutwing::platform::HttpResponseHead head;
  head.result(503);
  for (const char* name : { "Retry-After",
                            "Server-Leaving",
                            "Server-Limit",
                            "X-Instance-Load",
                            "Keep-Alive",
                            "Content-Type",
                            "Connection" }) {
    head.insert(name, boost::beast::string_view(aText.data(), aText.size()));
  }
  static_cast<void>(walnutwing::platform::DecodeResponse(head));
  static_cast<void>(walnutwing::platform::EncodeCallerHead(head));
}

// The names of a prompt's parts fit into a log line and a key of the store,
// whatever the caller sent.
void
DecodeParts(std::string_view aText)
{
  walnutwing::platform::HttpFields fields;
  fields.insert(std::string(walnutwing::platform::kPromptParts),
                boost::beast::string_view(aText.data(), aText.size()));
  const auto facts = walnutwing::platform::DecodeCaller(fields);
  if (facts.m_sharedParts.size() > walnutwing::platform::kMaxSharedParts) {
    std::abort();
  }
  for (const walnutwing::TraitId& part : facts.m_sharedParts) {
    const std::string& name = part.Value();
    if (name.empty() || name.size() > walnutwing::platform::kMaxPartNameBytes ||
        name.find_first_of("/,\" \n") != std::string::npos) {
      std::abort();
    }
  }
}

// Passes any news to a breaker, and encodes what it would tell others then.
void
DecodeNews(std::string_view aText)
{
  walnutwing::proto::RouterPeerMessage message;
  if (!message.ParseFromArray(aText.data(), static_cast<int>(aText.size()))) {
    return;
  }
  walnutwing::Time now{ std::chrono::hours(1) };
  walnutwing::TraitBreaker breaker(walnutwing::DaemonId("d"));
  breaker.SetMembers({ walnutwing::DaemonId("d") });
  for (int i = 0; i < 3; ++i) {
    breaker.OnNews(walnutwing::router::DecodeTraitNews(message, now), now);
    breaker.Tick(now);
    walnutwing::proto::RouterPeerMessage told;
    walnutwing::router::EncodeTraitNews(breaker.News(true, now), now, told);
    static_cast<void>(breaker.TakeChanges());
    now += std::chrono::seconds(40);
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace walnutwing;
  if (aSize == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(aData) + 1,
                              aSize - 1);
  platform::DecodeError error;
  switch (aData[0] % 11) {
    case 0:
      static_cast<void>(platform::DecodeConfig(text, error));
      break;
    case 1:
      static_cast<void>(platform::DecodeUpstream("i", text, error));
      break;
    case 2:
      static_cast<void>(platform::DecodeNewest(text));
      break;
    case 3:
      static_cast<void>(platform::DecodeRead(text, 7));
      break;
    case 4:
      static_cast<void>(router::DecodeMember(DaemonId("d"), text));
      break;
    case 5:
      DecodeHead(text.substr(0, kMaxFieldBytes));
      break;
    case 6:
      static_cast<void>(platform::DecodeEra(text));
      break;
    case 7:
      DecodeParts(text.substr(0, kMaxFieldBytes));
      break;
    case 8:
      DecodeNews(text);
      break;
    case 9:
      static_cast<void>(router::DecodeBlockedTrait(
        "p", text, Time(std::chrono::hours(1)), WallTime()));
      break;
    default:
      CheckSplitter(text);
      break;
  }
  return 0;
}
