#include "router/stream_resumption.h"

#include <utility>

namespace walnutwing::router {

bool
StreamResumption::IsTakenUp(const Route& aRoute) const
{
  return aRoute.m_kind == RouteKind::Stream && !m_facts.m_lastEventId.empty();
}

const std::string&
StreamResumption::FirstAttemptId(const Route& aRoute) const
{
  return IsTakenUp(aRoute) ? m_facts.m_resumedAttemptId : m_facts.m_attemptId;
}

void
StreamResumption::SetRoute(const Route& aRoute, const ServiceId& aService)
{
  m_stream = StreamKeyOf(FirstAttemptId(aRoute));
  m_service = aService;
}

void
StreamResumption::Find(OnFound aOnFound)
{
  if (!m_context.m_findStreamVersion) {
    aOnFound({});
    return;
  }
  m_context.m_findStreamVersion(m_stream, m_service, std::move(aOnFound));
}

void
StreamResumption::OnEvent()
{
  if (!m_version || std::exchange(m_begun, true)) {
    return;
  }
  m_context.m_streamVersions.OnBegun(m_stream, m_service, *m_version, Now());
  if (m_context.m_onStreamBegun) {
    m_context.m_onStreamBegun();
  }
}

// An end without a stated length may be a crash, after which the caller resumes
// the stream.
void
StreamResumption::OnComplete(BodyFraming aFraming)
{
  if (m_begun && aFraming != BodyFraming::UntilClose) {
    m_context.m_streamVersions.OnCompleted(m_stream);
  }
}

} // namespace walnutwing::router
