#include "router/response_check.h"

namespace walnutwing::router {
namespace {

// It has no content either, although its framing may have a length.
constexpr unsigned kResetContentStatus = 205;

// The Content-Type decides; without one, a stream's route says what it sends.
bool
IsEventStream(unsigned aStatus,
              const platform::ResponseFacts& aFacts,
              RouteKind aKind)
{
  if (KindOf(aStatus) == StatusKind::FinalWithoutBody ||
      aStatus == kResetContentStatus) {
    return false;
  }
  if (aFacts.m_mediaType == platform::MediaType::Unstated) {
    return IsSuccess(aStatus) && aKind == RouteKind::Stream;
  }
  return aFacts.m_mediaType == platform::MediaType::EventStream;
}

} // namespace

ResponseCheck
CheckResponse(unsigned aStatus,
              const platform::ResponseFacts& aFacts,
              RouteKind aKind,
              Forwarded aForwarded)
{
  ResponseCheck check;
  check.m_isEventStream = IsEventStream(aStatus, aFacts, aKind);
  const bool success = IsSuccess(aStatus);
  const bool goesOn = aForwarded != Forwarded::Nothing;
  if (aFacts.m_notExecuted) {
    check.m_discardReason = "not executed";
  } else if (aFacts.m_unconfirmedRefusal || (goesOn && !success)) {
    check.m_discardReason = "response reports a failure";
  } else if (success && !aFacts.m_hasMac) {
    check.m_discardReason = "success without a MAC";
  } else if (goesOn &&
             check.m_isEventStream != (aForwarded == Forwarded::Events)) {
    check.m_discardReason = "response does not go on with the stream";
  }
  return check;
}

} // namespace walnutwing::router
