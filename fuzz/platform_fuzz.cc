// Fuzzes the decoders of external input, which must not crash on any bytes. The
// first byte selects the decoder. Built with clang and -DWALNUTWING_FUZZ=ON;
// `make fuzz` runs it for a limited time.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/config_codec.h"
#include "platform/store_codec.h"
#include "router/member_record.h"
#include "walnutwing/relay/event_splitter.h"

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
  EventSplitter splitter;
  switch (aData[0] % 6) {
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
    default:
      splitter.Feed(text.substr(0, text.size() / 2));
      splitter.Feed(text.substr(text.size() / 2));
      break;
  }
  return 0;
}
