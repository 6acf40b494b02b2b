#include "walnutwing/rollout/rollout_types.h"

#include <array>

namespace walnutwing {
namespace {

template<typename Enum, std::size_t N>
std::string_view
NameIn(const std::array<std::string_view, N>& aNames, Enum aValue)
{
  return aNames.at(static_cast<std::size_t>(aValue));
}

constexpr std::array<std::string_view, 6> kStageNames{
  "trial", "surge", "switch", "drain", "completed", "rolled_back"
};
constexpr std::array<std::string_view, 3> kStateNames{ "in_progress",
                                                       "completed",
                                                       "rolled_back" };
constexpr std::array<std::string_view, 8> kHoldNames{
  "none",     "status_unknown", "no_upstreams", "fleet_unknown",
  "evidence", "capacity",       "old_requests", "store"
};
constexpr std::array<std::string_view, 9> kReasonNames{
  "ordered",  "due",           "told",     "failures",
  "slowness", "verdict_heard", "replaced", "withdrawn"
};

} // namespace

std::string_view
NameOf(RolloutStage aStage)
{
  return NameIn(kStageNames, aStage);
}

std::optional<RolloutStage>
RolloutStageOf(std::string_view aName)
{
  for (std::size_t i = 0; i < kStageNames.size(); ++i) {
    if (kStageNames.at(i) == aName) {
      return static_cast<RolloutStage>(i);
    }
  }
  return std::nullopt;
}

std::string_view
NameOf(RolloutState aState)
{
  return NameIn(kStateNames, aState);
}

RolloutState
StateOf(RolloutStage aStage)
{
  switch (aStage) {
    case RolloutStage::Completed:
      return RolloutState::Completed;
    case RolloutStage::RolledBack:
      return RolloutState::RolledBack;
    default:
      return RolloutState::InProgress;
  }
}

std::string_view
NameOf(RolloutHold aHold)
{
  return NameIn(kHoldNames, aHold);
}

std::string_view
NameOf(RolloutReason aReason)
{
  return NameIn(kReasonNames, aReason);
}

} // namespace walnutwing
