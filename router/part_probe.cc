#include "router/part_probe.h"

#include <utility>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing::router {
namespace {

// An upstream that goes on sending events for this long after the first one has
// not crashed by beginning to answer.
constexpr Duration kProofTime = std::chrono::milliseconds(200);

std::uint32_t
IncarnationOf(const Choice& aChoice)
{
  return static_cast<std::uint32_t>(StableHash(
    aChoice.m_upstream.Value() + "/" + std::to_string(aChoice.m_startWallMs)));
}

} // namespace

PartVerdict
PartProbe::Check()
{
  PartVerdict verdict = m_context.m_partBreaker.Check(m_request, Now());
  if (verdict.m_isTrial) {
    m_triedPart = verdict.m_part;
  }
  return verdict;
}

bool
PartProbe::MayRepeat()
{
  return m_triedPart.Empty() &&
         m_context.m_partBreaker.MayRepeat(m_request, Now());
}

void
PartProbe::OnAttemptStarted()
{
  m_firstEventAt.reset();
  m_proven = false;
}

void
PartProbe::OnEvent(Time aNow)
{
  if (!m_firstEventAt) {
    m_firstEventAt = aNow;
  }
  if (aNow - *m_firstEventAt >= kProofTime) {
    OnProven();
  }
}

void
PartProbe::OnProven()
{
  if (std::exchange(m_proven, true) || m_request.m_parts.empty()) {
    return;
  }
  m_context.m_partBreaker.OnServed(m_request, Now());
  TellNews();
}

// If the upstream has crashed, any of the requests that it had just begun may
// be the cause.
void
PartProbe::OnBroken(const Choice& aChoice)
{
  if (m_proven || m_request.m_parts.empty()) {
    return;
  }
  m_context.m_partBreaker.OnBroken(m_request, IncarnationOf(aChoice), Now());
  TellNews();
}

void
PartProbe::TellNews()
{
  if (m_context.m_partBreaker.TakeHasNews() && m_context.m_onPartNews) {
    m_context.m_onPartNews();
  }
}

void
PartProbe::End()
{
  if (!m_triedPart.Empty()) {
    m_context.m_partBreaker.OnTrialEnded(m_triedPart);
  }
}

} // namespace walnutwing::router
