// Restarts are run by the event loop, never inside the failing call: a call of
// the component may still be on the stack, below a call of another component.

#include "daemon/supervisor.h"

#include <algorithm>

namespace walnutwing {

Supervisor::Supervisor(std::string aName,
                       RestartLimits aLimits,
                       SupervisorHooks aHooks,
                       Supervisor* aParent,
                       std::function<void()> aOnGiveUp)
  : SupervisedNode(std::move(aName))
  , m_limits(aLimits)
  , m_hooks(std::move(aHooks))
  , m_parent(aParent)
  , m_onGiveUp(std::move(aOnGiveUp))
{
}

Supervisor&
Supervisor::AddSupervisor(std::string aName, RestartLimits aLimits)
{
  auto child =
    std::make_unique<Supervisor>(std::move(aName), aLimits, m_hooks, this);
  Supervisor& result = *child;
  m_children.push_back(std::move(child));
  return result;
}

void
Supervisor::Start()
{
  ++m_generation;
  m_failures.clear();
  m_running = true;
  for (const std::unique_ptr<SupervisedNode>& child : m_children) {
    child->Start();
  }
}

void
Supervisor::Stop()
{
  m_running = false;
  for (auto child = m_children.rbegin(); child != m_children.rend(); ++child) {
    (*child)->Stop();
  }
}

void
Supervisor::OnFailure(SupervisedNode& aChild, const std::string& aReason)
{
  if (!m_running) {
    return;
  }
  ++m_failureCount;
  m_hooks.m_onChange(aChild.Name(), aReason);
  m_failures.push_back(m_hooks.m_now());
  if (ExceedsFailureLimit()) {
    m_running = false;
    if (m_parent != nullptr) {
      m_parent->OnFailure(*this, "too many failures of " + aChild.Name());
    } else if (m_onGiveUp) {
      m_onGiveUp();
    }
    return;
  }
  m_hooks.m_runAfter(NextDelay(), [this, &aChild, generation = m_generation] {
    if (m_running && generation == m_generation) {
      Restart(aChild);
    }
  });
}

void
Supervisor::Restart(SupervisedNode& aChild)
{
  try {
    aChild.Stop();
    aChild.Start();
    m_hooks.m_onChange(aChild.Name(), "");
  } catch (const std::exception& error) {
    OnFailure(aChild, error.what());
  }
}

bool
Supervisor::ExceedsFailureLimit()
{
  const Time oldest = m_hooks.m_now() - m_limits.m_window;
  while (!m_failures.empty() && m_failures.front() < oldest) {
    m_failures.pop_front();
  }
  return m_failures.size() > m_limits.m_maxFailures;
}

Duration
Supervisor::NextDelay() const
{
  Duration delay = m_limits.m_firstDelay;
  for (std::size_t i = 1; i < m_failures.size() && delay < m_limits.m_maxDelay;
       ++i) {
    delay *= 2;
  }
  return std::min(delay, m_limits.m_maxDelay);
}

std::vector<std::string>
Supervisor::DownComponents() const
{
  std::vector<std::string> down;
  for (const std::unique_ptr<SupervisedNode>& child : m_children) {
    if (!child->Running()) {
      down.push_back(child->Name());
      continue;
    }
    if (const auto* below = dynamic_cast<const Supervisor*>(child.get())) {
      const std::vector<std::string> names = below->DownComponents();
      down.insert(down.end(), names.begin(), names.end());
    }
  }
  return down;
}

} // namespace walnutwing
