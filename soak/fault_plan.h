#ifndef WALNUTWING_SOAK_FAULT_PLAN_H_
#define WALNUTWING_SOAK_FAULT_PLAN_H_

// Which faults a run of the soak injects, and when. A seed determines the plan;
// a plan can be written down, cut and read again.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

enum class FaultKind
{
  RouterKill,    // SIGKILL, started again when the fault ends
  RouterStop,    // SIGTERM, started again after its end
  RouterPause,   // SIGSTOP until the fault ends
  RouterReload,  // other settings, and SIGHUP
  UpstreamKill,  // SIGKILL, a new one takes its place when the fault ends
  UpstreamPause, // SIGSTOP until the fault ends
  UpstreamDrain, // it says that it leaves, ends, and a new one takes its place
  StorePause,    // SIGSTOP until the fault ends
  StoreForget,   // the store drops its history
  LinkDelay,     // connections take longer
  LinkReset,     // connections are reset, and so are new ones
  LinkSilence,   // nothing gets through, either way
  LinkOneWay,    // answers do not get through
  ConfigChange,  // operators write a new configuration
  ZoneOut,       // operators take an availability zone out, and back
};

std::span<const FaultKind>
AllFaultKinds();

std::string_view
NameOf(FaultKind aKind);

std::optional<FaultKind>
ParseFaultKind(std::string_view aName);

// Which links of a machine a link fault is on.
enum class Link
{
  Callers,  // to a router
  Store,    // of a router
  Upstream, // to an upstream
};

std::string_view
NameOf(Link aLink);

struct Fault
{
  Duration m_at{ 0 }; // since the start
  FaultKind m_kind = FaultKind::RouterKill;
  std::uint32_t m_target = 0; // index of the router, upstream or zone
  Link m_link = Link::Callers;
  Duration m_length{ 0 };

  Duration End() const { return m_at + m_length; }
};

using FaultPlan = std::vector<Fault>;

struct FaultPlanOptions
{
  std::uint64_t m_seed = 1;
  Duration m_length{ 20'000 };         // no fault begins or ends later
  std::uint32_t m_routers = 6;         // at least 1
  std::uint32_t m_upstreams = 6;       // at least 1
  std::optional<FaultKind> m_onlyKind; // nothing: all kinds
};

// In the order of their beginning. Faults come in series and overlap, but each
// of a kind on one target ends before the next of that kind begins.
FaultPlan
MakeFaultPlan(const FaultPlanOptions& aOptions);

// One line a fault: AT KIND TARGET LINK LENGTH, times in ms.
std::string
ToText(const FaultPlan& aPlan);

// Throws std::invalid_argument, naming the line.
FaultPlan
ParseFaultPlan(const std::string& aText);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_FAULT_PLAN_H_
