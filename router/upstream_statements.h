#ifndef WALNUTWING_ROUTER_UPSTREAM_STATEMENTS_H_
#define WALNUTWING_ROUTER_UPSTREAM_STATEMENTS_H_

// Takes what an upstream says of itself in the head of a response, whatever the
// response is: its load, its request limit, that it is leaving, and that it
// wants no requests for a while.

#include "platform/answer_codec.h"
#include "router/context.h"
#include "router/request_record.h"

namespace walnutwing::router {

// aSentAt: when the request was sent. Logs a changed limit and a backoff to the
// request's record.
void
NoteUpstreamStatements(Context& aContext,
                       RequestRecord& aRecord,
                       const Choice& aChoice,
                       Time aSentAt,
                       const platform::ResponseFacts& aFacts);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_STATEMENTS_H_
