#include "router/progress_timer.h"

#include <algorithm>
#include <utility>

namespace walnutwing::router {
namespace {

// The time after which a silent upstream is replaced, as a multiple of the
// route's target latency or gap, and its bounds.
constexpr int kTimeoutTargets = 4;
constexpr Duration kMinTimeout = std::chrono::milliseconds(600);
constexpr Duration kMaxTimeout = std::chrono::milliseconds(1500);
// Between two calls while the upstream stays silent.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(200);

Duration
TimeoutFor(Duration aTarget)
{
  return std::clamp(aTarget * kTimeoutTargets, kMinTimeout, kMaxTimeout);
}

} // namespace

ProgressTimer::ProgressTimer(Loop& aLoop)
  : m_state(std::make_shared<State>(aLoop))
{
}

void
ProgressTimer::Start(const Route& aRoute, std::function<void()> aOnSilent)
{
  m_state->m_timeout = TimeoutFor(aRoute.m_targetLatency);
  m_state->m_progressAt = Now();
  m_state->m_onSilent = std::move(aOnSilent);
  Wait(m_state, m_state->m_timeout);
}

void
ProgressTimer::OnHead(const Route& aRoute)
{
  if (aRoute.m_targetGap > Duration::zero()) {
    m_state->m_timeout = TimeoutFor(aRoute.m_targetGap);
  }
  OnProgress();
}

void
ProgressTimer::Stop()
{
  m_state->m_onSilent = nullptr;
  m_state->m_timer.Cancel();
}

void
ProgressTimer::Wait(const std::shared_ptr<State>& aState, Duration aTime)
{
  aState->m_timer.Start(aTime, [weak = std::weak_ptr(aState)] {
    const auto state = weak.lock();
    if (state == nullptr || !state->m_onSilent) {
      return;
    }
    const Duration silentFor = Now() - state->m_progressAt;
    if (silentFor < state->m_timeout) {
      Wait(state, state->m_timeout - silentFor);
      return;
    }
    // A copy, as the callee may call Stop or Start.
    const std::function<void()> onSilent = state->m_onSilent;
    onSilent();
    if (state->m_onSilent) {
      Wait(state, kRepeatInterval);
    }
  });
}

} // namespace walnutwing::router
