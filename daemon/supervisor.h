#ifndef WALNUTWING_DAEMON_SUPERVISOR_H_
#define WALNUTWING_DAEMON_SUPERVISOR_H_

// A supervision tree: components fail and restart independently of each other.
// A component is created by a factory and is called only through its Child. An
// exception that escapes from a call marks the component as failed, and its
// supervisor creates a new one after a delay. The new one starts with fresh
// state, which the protocols between daemons allow for. If the children of a
// supervisor fail too often, it gives up, and its parent handles this as a
// failure of that supervisor. A root that gives up ends the process.

#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing {

struct RestartLimits
{
  std::uint32_t m_maxFailures = 5; // within m_window
  Duration m_window = std::chrono::seconds(60);
  Duration m_firstDelay = std::chrono::milliseconds(100);
  Duration m_maxDelay = std::chrono::seconds(5); // limit of the doubled delay
};

// Access to the clock, timers and log. Tests pass fakes.
struct SupervisorHooks
{
  std::function<Time()> m_now;
  std::function<void(Duration, std::function<void()>)> m_runAfter;
  // A child failed with aReason, or was restarted (aReason is empty).
  std::function<void(const std::string& aChild, const std::string& aReason)>
    m_onChange;
};

// A node of the tree, independent of the type of its component.
class SupervisedNode
{
public:
  explicit SupervisedNode(std::string aName)
    : m_name(std::move(aName))
  {
  }
  virtual ~SupervisedNode() = default;
  SupervisedNode(const SupervisedNode&) = delete;
  SupervisedNode& operator=(const SupervisedNode&) = delete;

  const std::string& Name() const { return m_name; }
  virtual bool Running() const = 0;
  virtual void Start() = 0; // may throw
  virtual void Stop() = 0;

private:
  std::string m_name;
};

class Supervisor;

// Holds one component. Calls are dropped while the component is down.
template<typename T>
class Child : public SupervisedNode
{
public:
  using Factory = std::function<std::unique_ptr<T>()>;

  Child(std::string aName, Supervisor& aSupervisor, Factory aFactory)
    : SupervisedNode(std::move(aName))
    , m_supervisor(aSupervisor)
    , m_factory(std::move(aFactory))
  {
  }

  // Runs aFunction on the component. Returns false if the component is down or
  // aFunction throws.
  template<typename Function>
  bool Call(Function aFunction);

  // Read access to the component; null while it is down.
  const T* Peek() const { return Running() ? m_component.get() : nullptr; }

  bool Running() const override { return m_component != nullptr && !m_failed; }
  void Start() override
  {
    m_component.reset();
    m_failed = false;
    m_component = m_factory();
  }
  void Stop() override { m_component.reset(); }

private:
  Supervisor& m_supervisor;
  Factory m_factory;
  std::unique_ptr<T> m_component;
  // Set after an exception. The failed component is destroyed only at the
  // restart, since a call of it may still be on the stack.
  bool m_failed = false;
};

class Supervisor : public SupervisedNode
{
public:
  // aParent is null for the root. aOnGiveUp is called if the root gives up.
  Supervisor(std::string aName,
             RestartLimits aLimits,
             SupervisorHooks aHooks,
             Supervisor* aParent,
             std::function<void()> aOnGiveUp = {});

  // Adds a component, to be started by Start. The supervisor owns the result.
  template<typename T>
  Child<T>& Add(std::string aName, typename Child<T>::Factory aFactory)
  {
    auto child =
      std::make_unique<Child<T>>(std::move(aName), *this, std::move(aFactory));
    Child<T>& result = *child;
    m_children.push_back(std::move(child));
    return result;
  }

  // Adds a child supervisor.
  Supervisor& AddSupervisor(std::string aName, RestartLimits aLimits);

  // Starts all children in the order in which they were added. Exceptions of
  // their factories propagate: at the first start they mean that the process
  // cannot run.
  void Start() override;
  // Stops all children in reverse order.
  void Stop() override;
  bool Running() const override { return m_running; }

  // Handles the failure of a child. Called by Child and Supervisor only.
  void OnFailure(SupervisedNode& aChild, const std::string& aReason);

  std::uint64_t FailureCount() const { return m_failureCount; }

  // Names of all components and supervisors below this one that are down.
  std::vector<std::string> DownComponents() const;

private:
  void Restart(SupervisedNode& aChild);
  // Removes failures outside the window first.
  bool ExceedsFailureLimit();
  Duration NextDelay() const;

  RestartLimits m_limits;
  SupervisorHooks m_hooks;
  Supervisor* m_parent;
  std::function<void()> m_onGiveUp;
  std::vector<std::unique_ptr<SupervisedNode>> m_children;
  std::deque<Time> m_failures; // within the window
  std::uint64_t m_failureCount = 0;
  // Number of calls of Start. A delayed restart of an earlier generation is
  // ignored.
  std::uint64_t m_generation = 0;
  bool m_running = false;
};

template<typename T>
template<typename Function>
bool
Child<T>::Call(Function aFunction)
{
  if (!Running()) {
    return false;
  }
  try {
    aFunction(*m_component);
    return true;
  } catch (const std::exception& error) {
    m_failed = true;
    m_supervisor.OnFailure(*this, error.what());
    return false;
  }
}

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_SUPERVISOR_H_
