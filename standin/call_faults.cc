// The names of the faults on the wire.

#include "standin/call_faults.h"

#include <array>

#include "standin/enum_names.h"

namespace walnutwing::standin {

namespace {

constexpr std::array<EnumName<EngineFault>, 9> kEngineFaults{ {
  { EngineFault::None, "none" },
  { EngineFault::BreakMidway, "break_midway" },
  { EngineFault::WrongId, "wrong_id" },
  { EngineFault::Truncate, "truncate" },
  { EngineFault::Duplicate, "duplicate" },
  { EngineFault::Reorder, "reorder" },
  { EngineFault::Silent, "silent" },
  { EngineFault::Cold, "cold" },
  { EngineFault::Refuse, "refuse" },
} };

constexpr std::array<EnumName<ServiceFault>, 4> kServiceFaults{ {
  { ServiceFault::None, "none" },
  { ServiceFault::LoseAnswer, "lose_answer" },
  { ServiceFault::Refuse, "refuse" },
  { ServiceFault::Silent, "silent" },
} };

} // namespace

std::optional<EngineFault>
ParseEngineFault(std::string_view aName)
{
  return ValueIn<EngineFault>(kEngineFaults, aName);
}

std::optional<ServiceFault>
ParseServiceFault(std::string_view aName)
{
  return ValueIn<ServiceFault>(kServiceFaults, aName);
}

} // namespace walnutwing::standin
