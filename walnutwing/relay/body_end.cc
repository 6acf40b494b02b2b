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
NameOf(BodyVerdict aVerdict)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "complete",
    "response ended before the request was read",
    "stream ended inside an event",
    "stream ended without events"
  };
  return kNames.at(static_cast<std::size_t>(aVerdict));
}

BodyVerdict
JudgeBody(const BodyEnd& aEnd, bool aIsEventStream)
{
  const bool endsWithConnection = aEnd.m_framing == BodyFraming::UntilClose;
  if (endsWithConnection && !aEnd.m_requestTaken) {
    return BodyVerdict::BeforeRequestEnd;
  }
  if (!aIsEventStream) {
    return BodyVerdict::Complete;
  }
  if (aEnd.m_partialEventBytes != 0) {
    return BodyVerdict::InsideEvent;
  }
  const bool isEmpty = endsWithConnection && aEnd.m_bytes == 0;
  if (isEmpty || aEnd.m_addsNothing) {
    return BodyVerdict::WithoutEvents;
  }
  return BodyVerdict::Complete;
}

} // namespace walnutwing
