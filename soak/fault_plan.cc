#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <tuple>

namespace walnutwing::soak {
namespace {

// Mean time between the starts of two faults that are drawn. A fault is dropped
// if it would outlast the plan or overlap one of the same kind, link and
// target.
constexpr double kMeanGapMs = 700;
constexpr std::int64_t kMinFaultMs = 150;
constexpr std::int64_t kMaxFaultMs = 3500; // exclusive
constexpr std::uint32_t kZones = 2;

template<typename T>
struct Name
{
  T m_value;
  std::string_view m_name;
};

constexpr std::array<Name<FaultKind>, 22> kKinds{ {
  { FaultKind::RouterKill, "router_kill" },
  { FaultKind::RouterStop, "router_stop" },
  { FaultKind::RouterPause, "router_pause" },
  { FaultKind::AllRoutersKill, "all_routers_kill" },
  { FaultKind::RouterReload, "router_reload" },
  { FaultKind::UpstreamKill, "upstream_kill" },
  { FaultKind::UpstreamPause, "upstream_pause" },
  { FaultKind::UpstreamBreak, "upstream_break" },
  { FaultKind::UpstreamDrain, "upstream_drain" },
  { FaultKind::StorePause, "store_pause" },
  { FaultKind::StoreForget, "store_forget" },
  { FaultKind::StoreRefuse, "store_refuse" },
  { FaultKind::OddRecord, "odd_record" },
  { FaultKind::StoreRestore, "store_restore" },
  { FaultKind::LinkDelay, "link_delay" },
  { FaultKind::LinkReset, "link_reset" },
  { FaultKind::LinkSilence, "link_silence" },
  { FaultKind::LinkOneWay, "link_one_way" },
  { FaultKind::ConfigChange, "config_change" },
  { FaultKind::ZoneOut, "zone_out" },
  { FaultKind::RouterLateStop, "router_late_stop" },
  { FaultKind::UpstreamReturn, "upstream_return" },
} };

constexpr auto kAllKinds = [] {
  std::array<FaultKind, kKinds.size()> kinds{};
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    kinds[i] = kKinds[i].m_value;
  }
  return kinds;
}();

constexpr std::array<Name<Link>, 3> kLinks{ {
  { Link::Callers, "callers" },
  { Link::Store, "store" },
  { Link::Upstream, "upstream" },
} };

template<typename T, std::size_t N>
std::string_view
FindName(const std::array<Name<T>, N>& aTable, T aValue)
{
  for (const Name<T>& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "unknown";
}

template<typename T, std::size_t N>
std::optional<T>
FindValue(const std::array<Name<T>, N>& aTable, std::string_view aName)
{
  for (const Name<T>& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

std::uint32_t
CountTargets(const Fault& aFault, const FaultPlanOptions& aOptions)
{
  switch (aFault.m_kind) {
    case FaultKind::UpstreamKill:
    case FaultKind::UpstreamReturn:
    case FaultKind::UpstreamPause:
    case FaultKind::UpstreamBreak:
    case FaultKind::UpstreamDrain:
      return aOptions.m_upstreams;
    case FaultKind::StorePause:
    case FaultKind::StoreForget:
    case FaultKind::StoreRestore:
    case FaultKind::ConfigChange:
    case FaultKind::AllRoutersKill:
      return 1;
    case FaultKind::OddRecord:
      return kOddRecords;
    case FaultKind::ZoneOut:
      return kZones;
    case FaultKind::LinkDelay:
    case FaultKind::LinkReset:
    case FaultKind::LinkSilence:
    case FaultKind::LinkOneWay:
      return aFault.m_link == Link::Upstream ? aOptions.m_upstreams
                                             : aOptions.m_routers;
    default:
      return aOptions.m_routers;
  }
}

} // namespace

std::span<const FaultKind>
AllFaultKinds()
{
  return kAllKinds;
}

std::string_view
NameOf(FaultKind aKind)
{
  return FindName(kKinds, aKind);
}

std::optional<FaultKind>
ParseFaultKind(std::string_view aName)
{
  return FindValue(kKinds, aName);
}

std::string_view
NameOf(Link aLink)
{
  return FindName(kLinks, aLink);
}

FaultPlan
MakeFaultPlan(const FaultPlanOptions& aOptions)
{
  // Uses the generator without a standard distribution, whose results differ
  // between standard libraries.
  std::mt19937_64 random(aOptions.m_seed);
  const auto randomBelow = [&random](std::uint64_t aCount) {
    return random() % std::max<std::uint64_t>(1, aCount);
  };
  std::map<std::tuple<FaultKind, Link, std::uint32_t>, Duration> busyUntil;
  FaultPlan plan;
  Duration at(0);
  while (true) {
    at += Duration(randomBelow(static_cast<std::uint64_t>(2 * kMeanGapMs)));
    Fault fault;
    fault.m_at = at;
    const FaultKind randomKind = kAllKinds[randomBelow(kAllKinds.size())];
    fault.m_kind = aOptions.m_onlyKind.value_or(randomKind);
    fault.m_link = kLinks[randomBelow(kLinks.size())].m_value;
    fault.m_target =
      static_cast<std::uint32_t>(randomBelow(CountTargets(fault, aOptions)));
    fault.m_length =
      Duration(kMinFaultMs + randomBelow(kMaxFaultMs - kMinFaultMs));
    if (at >= aOptions.m_length) {
      return plan;
    }
    Duration& busy = busyUntil[{ fault.m_kind, fault.m_link, fault.m_target }];
    if (fault.End() > aOptions.m_length || fault.m_at < busy) {
      continue;
    }
    busy = fault.End() + Duration(1);
    plan.push_back(fault);
  }
}

std::string
ToText(const FaultPlan& aPlan)
{
  std::string text;
  for (const Fault& fault : aPlan) {
    text += std::to_string(fault.m_at.count()) + " " +
            std::string(NameOf(fault.m_kind)) + " " +
            std::to_string(fault.m_target) + " " +
            std::string(NameOf(fault.m_link)) + " " +
            std::to_string(fault.m_length.count()) + "\n";
  }
  return text;
}

FaultPlan
ParseFaultPlan(const std::string& aText)
{
  FaultPlan plan;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream fields(line);
    std::int64_t at = 0;
    std::int64_t length = 0;
    std::string kind;
    std::string link;
    Fault fault;
    fields >> at >> kind >> fault.m_target >> link >> length;
    const auto kindValue = ParseFaultKind(kind);
    const auto linkValue = FindValue(kLinks, link);
    if (!fields || !kindValue || !linkValue || at < 0 || length < 0) {
      throw std::invalid_argument("invalid fault line: " + line);
    }
    fault.m_at = Duration(at);
    fault.m_length = Duration(length);
    fault.m_kind = *kindValue;
    fault.m_link = *linkValue;
    plan.push_back(fault);
  }
  return plan;
}

} // namespace walnutwing::soak
