#include "router/trait_probe.h"

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

TraitVerdict
TraitProbe::Check()
{
  TraitVerdict verdict = m_context.m_traitBreaker.Check(m_request, Now());
  if (verdict.m_isTrial) {
    m_triedTrait = verdict.m_trait;
  }
  m_suspectTrait = verdict.m_needsPermit ? verdict.m_trait : TraitId();
  return verdict;
}

std::optional<bool>
TraitProbe::AskPermit(Context::OnPermitAnswer aOnAnswer) const
{
  if (!m_context.m_askSuspectPermit) {
    return true;
  }
  return m_context.m_askSuspectPermit(m_suspectTrait, std::move(aOnAnswer));
}

bool
TraitProbe::MayRepeat()
{
  return m_triedTrait.Empty() &&
         m_context.m_traitBreaker.MayRepeat(m_request, Now());
}

void
TraitProbe::OnAttemptStarted()
{
  m_firstEventAt.reset();
  m_proven = false;
}

void
TraitProbe::OnEvent(Time aNow)
{
  if (!m_firstEventAt) {
    m_firstEventAt = aNow;
  }
  if (aNow - *m_firstEventAt >= kProofTime) {
    OnProven();
  }
}

void
TraitProbe::OnProven()
{
  if (std::exchange(m_proven, true) || m_request.m_traits.empty()) {
    return;
  }
  m_context.m_traitBreaker.OnServed(m_request, Now());
  TellNews();
}

// If the upstream has crashed, any of the requests that it had just begun may
// be the cause.
void
TraitProbe::OnBroken(const Choice& aChoice)
{
  if (m_proven || m_request.m_traits.empty()) {
    return;
  }
  m_context.m_traitBreaker.OnBroken(m_request, IncarnationOf(aChoice), Now());
  TellNews();
}

void
TraitProbe::TellNews()
{
  if (m_context.m_traitBreaker.TakeHasNews() && m_context.m_onTraitNews) {
    m_context.m_onTraitNews();
  }
}

void
TraitProbe::End()
{
  if (!m_triedTrait.Empty()) {
    m_context.m_traitBreaker.OnTrialEnded(m_triedTrait);
  }
}

} // namespace walnutwing::router
