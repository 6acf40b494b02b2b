#ifndef WALNUTWING_SOAK_FAULT_PLAN_H_
#define WALNUTWING_SOAK_FAULT_PLAN_H_

// Fault plans: which faults a soak run injects, on which target and when. The
// same seed always gives the same plan. A plan can be printed and parsed, so
// that a plan that found a violation can be shortened and run again.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

// Kinds of entries that cannot be read: nested, a number or a port out of
// range.
inline constexpr std::uint32_t kOddRecords = 3;

enum class FaultKind
{
  RouterKill,     // SIGKILL; restarted when the fault ends
  RouterStop,     // SIGTERM; restarted once it has exited
  RouterPause,    // SIGSTOP until the fault ends
  RouterLateStop, // SIGTERM while it stands still, until the fault ends
  AllRoutersKill, // SIGKILL of all at once; restarted when the fault ends
  RouterReload,   // writes other settings and sends SIGHUP
  UpstreamKill,   // SIGKILL; a cold one replaces it when the fault ends
  UpstreamReturn, // SIGKILL; it comes back under its name
  UpstreamPause,  // SIGSTOP until the fault ends
  UpstreamBreak,  // breaks off answers for a while, or answers oddly
  UpstreamDrain,  // announces that it drains; a cold one replaces it later
  StorePause,     // SIGSTOP until the fault ends
  StoreForget,    // drops its history; the newest record per key stays
  StoreRefuse,    // answers 503 to one router until the fault ends
  OddRecord,      // another writer leaves an entry that cannot be read
  StoreRestore,   // comes back from a copy that is up to a second old
  LinkDelay,      // data is delayed
  LinkReset,      // open and new connections are reset
  LinkSilence,    // no data passes, in either direction
  LinkOneWay,     // no data passes back to the client
  ConfigChange,   // operators write a new configuration version
  ZoneOut,        // operators take an availability zone out, then back in
};

std::span<const FaultKind>
AllFaultKinds();

std::string_view
NameOf(FaultKind aKind);

std::optional<FaultKind>
ParseFaultKind(std::string_view aName);

// The link that a link fault affects.
enum class Link
{
  Callers,  // between callers and a router
  Store,    // between a router and the store
  Upstream, // between routers and an upstream
};

std::string_view
NameOf(Link aLink);

struct Fault
{
  Duration m_at{ 0 }; // since the start of the plan
  FaultKind m_kind = FaultKind::RouterKill;
  std::uint32_t m_target = 0;  // index of router, upstream or zone
  Link m_link = Link::Callers; // used by link faults only
  Duration m_length{ 0 };

  Duration End() const { return m_at + m_length; }
};

using FaultPlan = std::vector<Fault>;

struct FaultPlanOptions
{
  std::uint64_t m_seed = 1;
  Duration m_length{ 20'000 };         // no fault begins or ends after it
  std::uint32_t m_routers = 6;         // at least 1
  std::uint32_t m_upstreams = 6;       // at least 1
  std::optional<FaultKind> m_onlyKind; // empty: all kinds
};

// Whether routers may hardly repeat any request, as when other trouble has
// spent their budget: with every other seed.
inline bool
HasTightRepeatBudget(std::uint64_t aSeed)
{
  return aSeed % 2 == 0;
}

// Whether the store starts to listen only after the routers have started: with
// every fourth seed.
inline bool
StartsStoreLate(std::uint64_t aSeed)
{
  return aSeed % 4 == 3;
}

// Returns the faults in the order of their start. Faults may overlap, except
// those of the same kind, link and target.
FaultPlan
MakeFaultPlan(const FaultPlanOptions& aOptions);

// One line per fault: AT KIND TARGET LINK LENGTH, with AT and LENGTH in ms.
std::string
ToText(const FaultPlan& aPlan);

// Parses the format of ToText; skips empty lines and those that start with '#'.
// Throws std::invalid_argument, whose message contains the invalid line.
FaultPlan
ParseFaultPlan(const std::string& aText);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_FAULT_PLAN_H_
