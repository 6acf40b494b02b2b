#include "walnutwing/relay/body_end.h"

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

std::string_view
NameOf(StreamEnd aEnd)
{
  constexpr std::array<std::string_view, 3> kNames = {
    "complete", "stream ended inside an event", "stream ended without events"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

StreamEnd
ClassifyStreamEnd(const BodyEnd& aEnd)
{
  if (aEnd.m_partialEventBytes != 0) {
    return StreamEnd::InsideEvent;
  }
  const bool unframed =
    aEnd.m_framing == BodyFraming::UntilClose && aEnd.m_bytes == 0;
  if (unframed || aEnd.m_addsNothing) {
    return StreamEnd::WithoutEvents;
  }
  return StreamEnd::Complete;
}

} // namespace walnutwing
