#include "router/limit_timer.h"

#include <utility>

namespace walnutwing::router {

LimitTimer::LimitTimer(Loop& aLoop)
  : m_state(std::make_shared<State>(aLoop))
{
}

void
LimitTimer::Start(Duration aTime, std::function<void()> aOnPassed)
{
  ++m_state->m_generation;
  m_state->m_readWaits = 0;
  m_state->m_onPassed = std::move(aOnPassed);
  Wait(m_state, aTime);
}

void
LimitTimer::Cancel()
{
  ++m_state->m_generation;
  m_state->m_onPassed = nullptr;
  m_state->m_timer.cancel();
}

void
LimitTimer::Wait(const std::shared_ptr<State>& aState, Duration aTime)
{
  const Time due = Now() + aTime;
  aState->m_timer.expires_after(aTime);
  aState->m_timer.async_wait([weak = std::weak_ptr(aState),
                              generation = aState->m_generation,
                              due](const error_code& aError) {
    const auto state = weak.lock();
    if (aError || state == nullptr || generation != state->m_generation) {
      return;
    }
    const bool isBehind = state->m_readWaits == 0 || Now() - due > kMaxLateness;
    if (isBehind && state->m_readWaits < kMaxReadWaits) {
      ++state->m_readWaits;
      Wait(state, kReadTime);
      return;
    }
    const std::function<void()> onPassed =
      std::exchange(state->m_onPassed, nullptr);
    onPassed();
  });
}

} // namespace walnutwing::router
