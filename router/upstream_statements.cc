#include "router/upstream_statements.h"

namespace walnutwing::router {
namespace {

void
NoteRequestLimit(Context& aContext,
                 RequestRecord& aRecord,
                 const Choice& aChoice,
                 Time aSentAt,
                 const platform::ResponseFacts& aFacts)
{
  const bool isNumber =
    aFacts.m_requestLimit || aFacts.m_requestLimitText.empty();
  if (isNumber &&
      aContext.m_sendLimiter.Limits().OnResponse(
        LoadKey(aChoice.m_upstream), aFacts.m_requestLimit, aSentAt, Now())) {
    aRecord.LogUpstreamLimited(
      aChoice, aFacts.m_requestLimitText, aFacts.m_requestLimit);
  }
}

} // namespace

void
NoteUpstreamStatements(Context& aContext,
                       RequestRecord& aRecord,
                       const Choice& aChoice,
                       Time aSentAt,
                       const platform::ResponseFacts& aFacts)
{
  const Time now = Now();
  if (aFacts.m_load) {
    aChoice.m_tracker->OnLoadReport(*aFacts.m_load, now);
  }
  NoteRequestLimit(aContext, aRecord, aChoice, aSentAt, aFacts);
  if (aFacts.m_leaving) {
    aContext.m_onUpstreamLeaving(aChoice.m_upstream, aChoice.m_startWallMs);
  }
  if (!aFacts.m_retryAfterText.empty()) {
    const Duration backoff = aFacts.m_retryAfter.value_or(Duration::zero());
    aChoice.m_tracker->OnBackoffRequested(backoff, now);
    aRecord.LogUpstreamBackoff(aChoice, aFacts.m_retryAfterText, backoff);
  }
}

} // namespace walnutwing::router
