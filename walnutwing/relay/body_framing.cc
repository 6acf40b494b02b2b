#include "walnutwing/relay/body_framing.h"

#include <array>

namespace walnutwing {

std::string_view
NameOf(BodyFraming aFraming)
{
  constexpr std::array<std::string_view, 5> kNames = {
    "unknown", "none", "length", "chunked", "until_close"
  };
  return kNames.at(static_cast<std::size_t>(aFraming));
}

} // namespace walnutwing
