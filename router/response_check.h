#ifndef WALNUTWING_ROUTER_RESPONSE_CHECK_H_
#define WALNUTWING_ROUTER_RESPONSE_CHECK_H_

// Decides by its head whether an upstream's response may reach the caller.
//
// A success without the engine's MAC is not the engine's answer, so it is never
// passed on, but the request may have run. A response that is to go on with a
// stream must be a stream of events itself: an error's text, another type or no
// body at all would become a part, or the end, of what the caller reads.

#include <string_view>

#include "platform/answer_codec.h"
#include "walnutwing/relay/response_status.h"
#include "walnutwing/routing/route_table.h"

namespace walnutwing::router {

// What the caller has got of the request's response so far.
enum class Forwarded
{
  Nothing,
  Events, // the head and perhaps events of a stream
  Other,  // the head and perhaps bytes of another body
};

struct ResponseCheck
{
  bool m_isEventStream = false;
  // Why the response is not forwarded, for log lines; "" if it is.
  std::string_view m_discardReason;
};

ResponseCheck
CheckResponse(unsigned aStatus,
              const platform::ResponseFacts& aFacts,
              RouteKind aKind,
              Forwarded aForwarded);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_RESPONSE_CHECK_H_
