#include "daemon/engine_load_report.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace walnutwing {
namespace {

// Sets aValue to a member that is a number from 0 to aMax, or to 0 if it is
// missing. Returns false for any other member. Numbers above aMax become aMax.
template<typename Number>
bool
ReadCount(const nlohmann::json& aObject,
          const char* aKey,
          Number aMax,
          Number& aValue)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    aValue = 0;
    return true;
  }
  if (!found->is_number_unsigned()) {
    return false;
  }
  const auto number = found->get<std::uint64_t>();
  aValue =
    static_cast<Number>(std::min(number, static_cast<std::uint64_t>(aMax)));
  return true;
}

} // namespace

std::optional<EngineLoad>
DecodeEngineLoad(std::string_view aJson, WallTime aWallNow, Time aNow)
{
  const nlohmann::json report = nlohmann::json::parse(aJson, nullptr, false);
  if (!report.is_object()) {
    return std::nullopt;
  }
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  const Duration sinceEpoch = aWallNow.time_since_epoch();
  EngineLoad load;
  Duration::rep asOf = 0;
  // A report from the future is taken for one of now.
  if (!ReadCount(report, "running", kMax, load.m_running) ||
      !ReadCount(report, "waiting", kMax, load.m_waiting) ||
      !ReadCount(report, "as_of_ms", sinceEpoch.count(), asOf)) {
    return std::nullopt;
  }
  const auto cold = report.find("cold");
  if (cold != report.end() && !cold->is_boolean()) {
    return std::nullopt;
  }
  load.m_cold = cold != report.end() && cold->get<bool>();
  load.m_measuredAt = aNow - (sinceEpoch - Duration(asOf));
  return load;
}

} // namespace walnutwing
