// One table declares every key and how its text is parsed into a member. An
// empty value counts as a missing key, because the platform fills in fields
// that it does not know with an empty text.

#include "router/router_settings.h"

#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "walnutwing/config/ini.h"
#include "walnutwing/config/setting_table.h"
#include "walnutwing/config/text_value.h"

namespace walnutwing::router {
namespace {

using Setting = SettingRow<RouterSettings>;

std::optional<double>
ParseReal(std::string_view aText)
{
  const std::string text(aText);
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const bool fullyParsed = !text.empty() && end == text.c_str() + text.size();
  return fullyParsed && std::isfinite(number) ? std::make_optional(number)
                                              : std::nullopt;
}

constexpr double kMaxReal = 1'000'000;

Setting
RealSetting(const char* aSection,
            const char* aKey,
            const char* aUnit,
            const char* aDefault,
            double RouterSettings::*aMember,
            const char* aDoc)
{
  return { { aSection, aKey, aUnit, "0 to 1000000", aDefault, aDoc },
           [=](RouterSettings& aSettings,
               const std::string&,
               std::string_view aValue) {
             const auto number = ParseReal(aValue);
             aSettings.*aMember = number.value_or(0);
             return number && *number >= 0 && *number <= kMaxReal;
           } };
}

// aUnitMs: the key's unit in milliseconds.
Setting
TimeSetting(const char* aKey,
            const char* aUnit,
            double aUnitMs,
            const char* aDefault,
            Duration RouterSettings::*aMember,
            const char* aDoc)
{
  return { { "bounds", aKey, aUnit, "0 to 1000000", aDefault, aDoc },
           [=](RouterSettings& aSettings,
               const std::string&,
               std::string_view aValue) {
             const auto number = ParseReal(aValue);
             aSettings.*aMember = Duration(
               static_cast<Duration::rep>(number.value_or(0) * aUnitMs));
             return number && *number >= 0 && *number <= kMaxReal;
           } };
}

const std::vector<Setting>&
SettingTable()
{
  constexpr double kMsPerSecond = 1000;
  static const std::vector<Setting> kTable = {
    NameRow("router",
            "name",
            &RouterSettings::m_name,
            "name of this daemon, unique in the fleet"),
    NameRow("router",
            "zone",
            &RouterSettings::m_zone,
            "availability zone of this VM"),
    AddressRow(
      "router", "listen", &RouterSettings::m_listen, "where callers connect"),
    AddressRow("router",
               "ready_listen",
               &RouterSettings::m_readyListen,
               "where the platform checks whether this daemon is ready"),
    AddressRow("router",
               "peer_listen",
               &RouterSettings::m_peerListen,
               "where other daemons send datagrams"),
    RealSetting("router",
                "weight",
                "cores",
                "1",
                &RouterSettings::m_weight,
                "processor share of this VM; the daemon with the largest "
                "becomes its zone's hub"),
    NumberRow("router",
              "metrics_port",
              "port",
              0,
              65535,
              9464,
              &RouterSettings::m_metricsPort,
              "port of /metrics on the address of listen; 0 for none"),
    NumberRow(
      "router",
      "log_bytes_per_s",
      "bytes/s",
      1024,
      64U << 20U,
      128U << 10U,
      &RouterSettings::m_logBytesPerSecond,
      "limit of log lines of successful requests; lines over it are dropped"),
    AddressRow("platform",
               "address",
               &RouterSettings::m_storeAddress,
               "the platform's store"),
    TimeSetting("stop_limit_s",
                "s",
                kMsPerSecond,
                "8",
                &RouterSettings::m_stopLimit,
                "time from SIGTERM until the process is killed"),
    TimeSetting("drain_ms",
                "ms",
                1,
                "2000",
                &RouterSettings::m_drainLimit,
                "maximum time until a leaving upstream gets no new requests"),
    TimeSetting("config_ms",
                "ms",
                1,
                "2000",
                &RouterSettings::m_configLimit,
                "maximum time from a configuration's acknowledgement until it "
                "is in force"),
    RealSetting("bounds",
                "cold_factor",
                "",
                "1.5",
                &RouterSettings::m_coldFactor,
                "maximum request rate of a cold upstream, as a multiple of the "
                "cold rate configured for its service"),
    RealSetting(
      "bounds",
      "repeat_ratio",
      "repeats/request",
      "0.2",
      &RouterSettings::m_repeatRatio,
      "repeats allowed over the fleet, for each request of a service"),
    TimeSetting("repeat_window_s",
                "s",
                kMsPerSecond,
                "10",
                &RouterSettings::m_repeatWindow,
                "time window in which repeats are counted"),
    RealSetting(
      "bounds",
      "repeat_allowance",
      "repeats",
      "50",
      &RouterSettings::m_repeatAllowance,
      "repeats allowed in a window in addition to the ratio, over the fleet"),
    RealSetting(
      "bounds",
      "load_factor",
      "",
      "2",
      &RouterSettings::m_loadFactor,
      "maximum load of an upstream, as a multiple of its service's mean"),
    RealSetting("bounds",
                "exposure_share",
                "",
                "0.1",
                &RouterSettings::m_exposureShare,
                "share of a service's requests that a new version may get in a "
                "roll-out until it is judged, over the fleet"),
    RealSetting("bounds",
                "exposure_allowance",
                "requests",
                "50",
                &RouterSettings::m_exposureAllowance,
                "requests that it may get in addition to the share"),
    RealSetting("limits",
                "memory_mb",
                "MB",
                "0",
                &RouterSettings::m_memoryMb,
                "memory of this VM; 0 for what the system reports"),
    RealSetting("limits",
                "max_descriptors",
                "descriptors",
                "0",
                &RouterSettings::m_maxDescriptors,
                "files and connections that this process may have open; 0 for "
                "what the system allows"),
  };
  return kTable;
}

const Setting*
FindSetting(const std::string& aSection, const std::string& aKey)
{
  for (const Setting& setting : SettingTable()) {
    if (setting.m_description.m_section == aSection &&
        setting.m_description.m_key == aKey) {
      return &setting;
    }
  }
  return nullptr;
}

IniProblem
Problem(ResultCode aCode,
        const std::string& aFile,
        int aLine,
        const SettingDescription& aSetting,
        std::string aText)
{
  return { aCode,
           aFile,
           aLine,
           aSetting.m_section,
           aSetting.m_key,
           std::move(aText),
           aSetting.m_allowed };
}

} // namespace

std::vector<SettingDescription>
DescribeRouterSettings()
{
  return DescribeRows(SettingTable());
}

RouterSettings
ParseRouterSettings(std::string_view aText, const std::string& aFile)
{
  IniFile file = ReadIni(aText, aFile);
  std::vector<IniProblem> problems = std::move(file.m_problems);
  RouterSettings settings;
  std::set<const Setting*> seen;
  for (const IniSection& section : file.m_sections) {
    for (const IniEntry& entry : section.m_entries) {
      const Setting* setting = FindSetting(section.m_name, entry.m_key);
      if (setting == nullptr) {
        problems.push_back({ ResultCode::SettingsUnknownKey,
                             aFile,
                             entry.m_line,
                             section.m_name,
                             entry.m_key,
                             "no such key",
                             "" });
        continue;
      }
      if (entry.m_value.empty()) {
        continue;
      }
      if (!seen.insert(setting).second) {
        problems.push_back(Problem(ResultCode::SettingsBadValue,
                                   aFile,
                                   entry.m_line,
                                   setting->m_description,
                                   "the key is given twice"));
        continue;
      }
      if (!setting->m_store(settings, entry.m_key, entry.m_value)) {
        problems.push_back(Problem(ResultCode::SettingsBadValue,
                                   aFile,
                                   entry.m_line,
                                   setting->m_description,
                                   "\"" + entry.m_value + "\""));
      }
    }
  }
  for (const Setting& setting : SettingTable()) {
    if (seen.contains(&setting)) {
      continue;
    }
    const SettingDescription& description = setting.m_description;
    if (!description.m_default) {
      problems.push_back(Problem(
        ResultCode::SettingsKeyMissing, aFile, 0, description, "is missing"));
      continue;
    }
    static_cast<void>(
      setting.m_store(settings, description.m_key, *description.m_default));
  }
  if (!problems.empty()) {
    throw SettingsError(std::move(problems));
  }
  return settings;
}

RouterSettings
ApplyReload(const RouterSettings& aInForce, const RouterSettings& aNew)
{
  RouterSettings settings = aNew;
  settings.m_name = aInForce.m_name;
  settings.m_zone = aInForce.m_zone;
  settings.m_listen = aInForce.m_listen;
  settings.m_readyListen = aInForce.m_readyListen;
  settings.m_peerListen = aInForce.m_peerListen;
  settings.m_metricsPort = aInForce.m_metricsPort;
  settings.m_storeAddress = aInForce.m_storeAddress;
  settings.m_repeatWindow = aInForce.m_repeatWindow;
  settings.m_exposureShare = aInForce.m_exposureShare;
  settings.m_exposureAllowance = aInForce.m_exposureAllowance;
  return settings;
}

} // namespace walnutwing::router
