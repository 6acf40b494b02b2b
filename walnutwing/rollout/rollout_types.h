#ifndef WALNUTWING_ROLLOUT_ROLLOUT_TYPES_H_
#define WALNUTWING_ROLLOUT_ROLLOUT_TYPES_H_

// The values that roll-outs consist of (rollouts.h): an operator orders that a
// service's traffic be moved to the upstreams of another version.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/service_demand.h"

namespace walnutwing {

// Identifies an order: the era of the store, which changes when it is restored,
// and the offset of the order's record.
struct RolloutOrderId
{
  std::uint64_t m_era = 0;
  std::uint64_t m_offset = 0;
  auto operator<=>(const RolloutOrderId&) const = default;
};

struct RolloutOrder
{
  ServiceId m_service;
  SoftwareVersion m_to;
  Duration m_duration{}; // time budget, from the order to the completion
  RolloutOrderId m_id;
};

// In this order, without return. RolledBack follows any of the first four.
enum class RolloutStage
{
  Trial,      // the new version gets a small share of the requests
  Surge,      // a larger share for a short time, to show faults under load
  Switch,     // judged good: its share rises to all requests
  Drain,      // the old version gets nothing new and finishes its requests
  Completed,  // the old upstreams stop at once
  RolledBack, // the new upstreams drain and stop
};

// "trial", "surge", "switch", "drain", "completed", "rolled_back".
std::string_view
NameOf(RolloutStage aStage);

// The stage with that name; nullopt if there is none.
std::optional<RolloutStage>
RolloutStageOf(std::string_view aName);

// What the operator is told.
enum class RolloutState
{
  InProgress,
  Completed,
  RolledBack,
};

// "in_progress", "completed", "rolled_back".
std::string_view
NameOf(RolloutState aState);

RolloutState
StateOf(RolloutStage aStage);

inline bool
IsFinal(RolloutStage aStage)
{
  return StateOf(aStage) != RolloutState::InProgress;
}

// A roll-out that began longer ago has ended.
inline constexpr Duration kMaxRolloutAge = std::chrono::hours(48);

// The state of an order as written to the store and told to other routers.
// m_startedAt is this process's time; records carry wall time, messages an age.
struct RolloutStatus
{
  ServiceId m_service;
  SoftwareVersion m_to;
  RolloutStage m_stage = RolloutStage::Trial;
  RolloutOrderId m_order;
  Time m_startedAt;
};

enum class StatusSource
{
  Store,
  Router, // a message of another router
};

// A version was judged bad: it gets nothing more, whatever the store knows.
struct RolloutVerdict
{
  ServiceId m_service;
  SoftwareVersion m_to;
  RolloutOrderId m_order;
};

struct RolloutOptions
{
  // A version that is not judged good gets at most this share of all requests
  // for its service, plus the allowance, from all routers together.
  double m_exposureShare = 0.1;
  double m_exposureAllowance = 50; // requests
  // From 0 to 1, another one for each router, so that they do not all send
  // their first requests to the new version after the same number of requests.
  double m_phase = 0;
};

// Which versions a request may go to.
struct VersionRule
{
  // Empty: any. If none of their upstreams can take the request now, it goes to
  // another version.
  std::set<SoftwareVersion> m_only;
  // Never, unless nothing else is listed.
  std::set<SoftwareVersion> m_exclude;
  // Refuse the request rather than use another version.
  bool m_strict = false;
  // Use only that many upstreams of m_only, the first in the order of the
  // StableHash of their ids; 0: all.
  std::size_t m_focus = 0;
};

struct RolloutRequest
{
  ServiceId m_service;
  std::uint64_t m_affinity = 0; // as in SelectionRequest; 0: none
  // The version that began the stream which the request resumes.
  std::optional<SoftwareVersion> m_streamVersion;
};

// An attempt that has ended.
struct RolloutAnswer
{
  ServiceId m_service;
  std::string m_route;
  PromptClass m_promptClass = 0;
  UpstreamId m_upstream;
  SoftwareVersion m_version;
  std::uint64_t m_affinity = 0;
  bool m_failed = false; // by the upstream's fault
  bool m_cold = false;   // the upstream was cold when it got the request
  std::optional<Duration> m_firstByte; // since the request was sent
  std::optional<Duration> m_total;     // since the request was sent
  std::uint32_t m_events = 0;          // of a stream
};

// What a router knows of one service in the whole fleet.
struct RolloutFleetView
{
  // Requests of all routers in flight at versions other than the new one;
  // nullopt if not known.
  std::optional<std::uint32_t> m_oldRequests;
  std::uint32_t m_newWarmSlots = 0;
  std::uint32_t m_oldSlots = 0;
  std::size_t m_newUpstreams = 0;
  // Their ids, so that the bad answers of each are known to every router.
  std::vector<UpstreamId> m_newUpstreamIds;
  std::size_t m_oldUpstreams = 0;
  // Versions with an upstream that may get requests.
  std::set<SoftwareVersion> m_usableVersions;
  Duration m_maxTimeout{}; // the longest timeout of a route to the service
  bool m_fresh = false;    // the sums of all routers are known now
};

// Why a roll-out stands still.
enum class RolloutHold
{
  None,
  StatusUnknown, // the store's statuses have not been read yet
  NoUpstreams,   // no upstream of the new version is listed
  FleetUnknown,  // the sums of the other routers are not known
  Evidence,      // too few answers of the new version
  Capacity,      // too few warm slots of the new version
  OldRequests,   // requests are in flight at the old version
  Store,         // the status was not written yet
};

// "none", "status_unknown", "no_upstreams", "fleet_unknown", "evidence",
// "capacity", "old_requests", "store".
std::string_view
NameOf(RolloutHold aHold);

// Why a stage was entered.
enum class RolloutReason
{
  Ordered,      // the order was seen
  Due,          // time and evidence suffice
  Told,         // by the store or another router
  Failures,     // the version fails more often than the old one
  Slowness,     // the version is slow more often than the old one
  VerdictHeard, // another router judged it bad
  Replaced,     // by an order for another version
  Withdrawn,    // the operator took the order back
};

// "ordered", "due", "told", "failures", "slowness", "verdict_heard",
// "replaced", "withdrawn".
std::string_view
NameOf(RolloutReason aReason);

// Sums over the fleet since the order.
struct RolloutCounts
{
  std::uint64_t m_answers = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_timed = 0; // answers whose pace could be judged
  std::uint64_t m_slow = 0;  // of these
};

struct RolloutEvidence
{
  RolloutCounts m_old;
  RolloutCounts m_new;
  // Whether requests have prompts, whose parts are cached.
  bool m_hasPrompts = false;
};

// For log lines.
struct RolloutChange
{
  ServiceId m_service;
  SoftwareVersion m_to;
  std::optional<RolloutStage> m_before; // nullopt: the order is new
  RolloutStage m_after = RolloutStage::Trial;
  RolloutReason m_why = RolloutReason::Ordered;
  std::string m_route; // whose answers condemned it; empty: all
  RolloutEvidence m_evidence;
};

// For metrics and the status page.
struct RolloutView
{
  RolloutOrder m_order;
  RolloutStage m_stage = RolloutStage::Trial;
  double m_share = 0; // of the requests, that the new version is to get
  RolloutEvidence m_evidence;
  RolloutHold m_heldBy = RolloutHold::None;
  std::uint64_t m_requests = 0; // of this router, since it saw the order
  std::uint64_t m_sentToNew = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_ROLLOUT_TYPES_H_
