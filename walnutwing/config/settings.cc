// One table declares every key: its section, unit, range and default, and how
// its value is stored in DaemonSettings. It drives the parser and the error
// messages, and a test compares docs/SETTINGS.md with it.

#include "walnutwing/config/settings.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

#include <arpa/inet.h>

#include "walnutwing/config/setting_table.h"
#include "walnutwing/config/text_value.h"

namespace walnutwing {
namespace {

constexpr std::size_t kZ85KeyBytes = 40;
constexpr std::size_t kOperatorKeyBytes = 32;
constexpr std::string_view kWildcardKey = "NAME";

constexpr auto kLogLevelNames =
  std::to_array<std::pair<LogLevel, std::string_view>>({
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
  });

using Setting = SettingRow<DaemonSettings>;

// aUnitLength is the duration of one aUnit.
Setting
DurationSetting(const char* aSection,
                const char* aKey,
                const char* aUnit,
                Duration aUnitLength,
                std::uint64_t aMin,
                std::uint64_t aMax,
                std::uint64_t aDefault,
                Duration DaemonSettings::*aMember,
                const char* aDoc)
{
  return { { aSection,
             aKey,
             aUnit,
             RangeText(aMin, aMax),
             std::to_string(aDefault),
             aDoc },
           [=](DaemonSettings& aSettings,
               const std::string&,
               std::string_view aValue) {
             const auto number = ParseNumberBetween(aValue, aMin, aMax);
             aSettings.*aMember =
               aUnitLength * static_cast<Duration::rep>(number.value_or(0));
             return number.has_value();
           } };
}

Setting
PathSetting(const char* aSection,
            const char* aKey,
            std::string DaemonSettings::*aMember,
            const char* aDoc)
{
  return { { aSection, aKey, "path", "a path, or nothing", "", aDoc },
           [aMember](DaemonSettings& aSettings,
                     const std::string&,
                     std::string_view aValue) {
             aSettings.*aMember = std::string(aValue);
             return true;
           } };
}

bool
StoreSeeds(DaemonSettings& aSettings,
           const std::string&,
           std::string_view aValue)
{
  aSettings.m_peerSeeds = SplitList(aValue);
  return std::all_of(aSettings.m_peerSeeds.begin(),
                     aSettings.m_peerSeeds.end(),
                     [](const std::string& aSeed) { return IsAddress(aSeed); });
}

bool
StoreCurvePublicKey(DaemonSettings& aSettings,
                    const std::string&,
                    std::string_view aValue)
{
  aSettings.m_curvePublicKey = std::string(aValue);
  return aValue.empty() || aValue.size() == kZ85KeyBytes;
}

bool
StoreOperatorKey(DaemonSettings& aSettings,
                 const std::string& aKey,
                 std::string_view aValue)
{
  const std::optional<std::string> key = FromHex(aValue);
  if (!key || key->size() != kOperatorKeyBytes || !IsName(aKey)) {
    return false;
  }
  aSettings.m_operatorKeys[aKey] = *key;
  return true;
}

bool
StoreLogLevel(DaemonSettings& aSettings,
              const std::string&,
              std::string_view aValue)
{
  for (const auto& [level, name] : kLogLevelNames) {
    if (name != aValue) {
      continue;
    }
    aSettings.m_logLevel = level;
    return true;
  }
  return false;
}

const std::vector<Setting>&
SettingTable()
{
  using namespace std::chrono_literals;
  static const std::vector<Setting> kTable = {
    NameRow("daemon",
            "id",
            &DaemonSettings::m_id,
            "name of this daemon, unique in the fleet; the platform's VM id"),
    NameRow("daemon",
            "zone",
            &DaemonSettings::m_zone,
            "availability zone of this VM"),
    NameRow(
      "daemon", "region", &DaemonSettings::m_region, "region of that zone"),
    AddressRow(
      "daemon", "listen", &DaemonSettings::m_listen, "where callers connect"),
    AddressRow("daemon",
               "admin_listen",
               &DaemonSettings::m_adminListen,
               "where operators, metrics and health checks connect"),
    AddressRow("daemon",
               "peer_listen",
               &DaemonSettings::m_peerListen,
               "where other daemons connect"),
    DurationSetting("daemon",
                    "stop_limit_s",
                    "s",
                    1s,
                    1,
                    3600,
                    120,
                    &DaemonSettings::m_stopLimit,
                    "maximum time of a planned stop; requests still in "
                    "progress then are terminated"),
    NumberRow("daemon",
              "max_body_bytes",
              "bytes",
              1024,
              256U << 20U,
              8U << 20U,
              &DaemonSettings::m_maxBodyBytes,
              "largest request body"),
    NumberRow("daemon",
              "max_requests",
              "requests",
              1,
              1'000'000,
              20'000,
              &DaemonSettings::m_maxRequests,
              "requests in progress at once; further ones are refused"),
    DurationSetting("daemon",
                    "request_timeout_s",
                    "s",
                    1s,
                    1,
                    600,
                    10,
                    &DaemonSettings::m_requestTimeout,
                    "maximum time for a complete request to arrive"),
    AddressRow("platform",
               "address",
               &DaemonSettings::m_platformAddress,
               "the platform's log, VM list and store"),
    DurationSetting("platform",
                    "poll_interval_ms",
                    "ms",
                    1ms,
                    50,
                    60'000,
                    500,
                    &DaemonSettings::m_platformPollInterval,
                    "time between two reads of the log by the zone's reader"),
    DurationSetting("platform",
                    "timeout_ms",
                    "ms",
                    1ms,
                    50,
                    60'000,
                    2'000,
                    &DaemonSettings::m_platformTimeout,
                    "timeout of calls to the platform"),
    DurationSetting("platform",
                    "log_retention_h",
                    "h",
                    1h,
                    1,
                    8784,
                    168,
                    &DaemonSettings::m_logRetention,
                    "how long the platform keeps log records; snapshots are "
                    "renewed at half of it"),
    { { "peers",
        "seeds",
        "list of IP:port",
        "IP:port, comma separated",
        "",
        "some other daemons, contacted to join the fleet before the platform "
        "answers" },
      StoreSeeds },
    NumberRow("peers",
              "control_bytes_per_s",
              "bytes/s",
              256,
              1U << 20U,
              4096,
              &DaemonSettings::m_controlBytesPerSecond,
              "maximum control traffic that this daemon sends"),
    { { "peers",
        "curve_public_key",
        "Z85",
        "40 characters of Z85, or nothing",
        "",
        "the fleet's public key; with curve_secret_key_file, peers are "
        "encrypted" },
      StoreCurvePublicKey },
    PathSetting(
      "peers",
      "curve_secret_key_file",
      &DaemonSettings::m_curveSecretKeyFile,
      "file that holds the fleet's secret key (40 characters of Z85)"),
    { { "operators",
        std::string(kWildcardKey),
        "hex",
        "64 hexadecimal digits",
        "",
        "the operator NAME's key (32 bytes); changes by others are not "
        "accepted" },
      StoreOperatorKey },
    { { "log",
        "level",
        "",
        "debug, info, warning, error",
        "info",
        "least severe line that is logged" },
      StoreLogLevel },
    PathSetting("log",
                "trace_file",
                &DaemonSettings::m_traceFile,
                "file to which trace spans are appended; no traces without it"),
  };
  return kTable;
}

bool
HasSection(std::string_view aSection)
{
  const std::vector<Setting>& table = SettingTable();
  return std::any_of(table.begin(), table.end(), [&](const Setting& aSetting) {
    return aSetting.m_description.m_section == aSection;
  });
}

const Setting*
FindSetting(std::string_view aSection, std::string_view aKey)
{
  for (const Setting& setting : SettingTable()) {
    const SettingDescription& row = setting.m_description;
    if (row.m_section == aSection &&
        (row.m_key == aKey || row.m_key == kWildcardKey)) {
      return &setting;
    }
  }
  return nullptr;
}

std::string
KeysOf(std::string_view aSection)
{
  std::string keys;
  for (const Setting& setting : SettingTable()) {
    if (setting.m_description.m_section != aSection) {
      continue;
    }
    keys += (keys.empty() ? "" : ", ") + setting.m_description.m_key;
  }
  return keys;
}

// Reads one file into settings, collecting problems.
class SettingsReader
{
public:
  SettingsReader(std::string_view aText, const std::string& aFile)
    : m_file(ReadIni(aText, aFile))
    , m_problems(m_file.m_problems)
  {
  }

  DaemonSettings Read()
  {
    StoreDefaults();
    for (const IniSection& section : m_file.m_sections) {
      ReadSection(section);
    }
    CheckRequired();
    CheckCurve();
    if (!m_problems.empty()) {
      throw SettingsError(std::move(m_problems));
    }
    return std::move(m_settings);
  }

private:
  void StoreDefaults()
  {
    for (const Setting& setting : SettingTable()) {
      const SettingDescription& row = setting.m_description;
      if (!row.m_default || row.m_key == kWildcardKey) {
        continue;
      }
      if (!setting.m_store(m_settings, row.m_key, *row.m_default)) {
        throw std::logic_error("default of " + row.m_key + " is not allowed");
      }
    }
  }

  void ReadSection(const IniSection& aSection)
  {
    if (!HasSection(aSection.m_name)) {
      AddProblem(ResultCode::SettingsUnknownKey,
                 aSection.m_line,
                 aSection.m_name,
                 "",
                 "no such section",
                 "daemon, platform, peers, operators, log");
      return;
    }
    for (const IniEntry& entry : aSection.m_entries) {
      ReadEntry(aSection.m_name, entry);
    }
  }

  void ReadEntry(const std::string& aSection, const IniEntry& aEntry)
  {
    const Setting* setting = FindSetting(aSection, aEntry.m_key);
    if (setting == nullptr) {
      AddProblem(ResultCode::SettingsUnknownKey,
                 aEntry.m_line,
                 aSection,
                 aEntry.m_key,
                 "no such key",
                 KeysOf(aSection));
      return;
    }
    if (!m_seen.insert({ aSection, aEntry.m_key }).second) {
      AddProblem(ResultCode::SettingsBadValue,
                 aEntry.m_line,
                 aSection,
                 aEntry.m_key,
                 "the key is given twice",
                 "once");
      return;
    }
    if (!setting->m_store(m_settings, aEntry.m_key, aEntry.m_value)) {
      // Values of operators are secret keys, which must not be logged.
      const bool secret = aSection == "operators";
      AddProblem(ResultCode::SettingsBadValue,
                 aEntry.m_line,
                 aSection,
                 aEntry.m_key,
                 secret ? "bad value" : "bad value \"" + aEntry.m_value + "\"",
                 setting->m_description.m_allowed);
    }
  }

  void CheckRequired()
  {
    for (const Setting& setting : SettingTable()) {
      const SettingDescription& row = setting.m_description;
      if (row.m_default || m_seen.contains({ row.m_section, row.m_key })) {
        continue;
      }
      AddProblem(ResultCode::SettingsKeyMissing,
                 0,
                 row.m_section,
                 row.m_key,
                 "the key is missing",
                 row.m_allowed);
    }
  }

  void CheckCurve()
  {
    if (m_settings.m_curvePublicKey.empty() ==
        m_settings.m_curveSecretKeyFile.empty()) {
      return;
    }
    AddProblem(ResultCode::SettingsKeyMissing,
               0,
               "peers",
               m_settings.m_curvePublicKey.empty() ? "curve_public_key"
                                                   : "curve_secret_key_file",
               "the key is missing",
               "both CURVE keys or neither");
  }

  void AddProblem(ResultCode aCode,
                  int aLine,
                  std::string aSection,
                  std::string aKey,
                  std::string aText,
                  std::string aAllowed)
  {
    m_problems.push_back({ aCode,
                           m_file.m_name,
                           aLine,
                           std::move(aSection),
                           std::move(aKey),
                           std::move(aText),
                           std::move(aAllowed) });
  }

  IniFile m_file;
  std::vector<IniProblem> m_problems;
  DaemonSettings m_settings;
  std::set<std::pair<std::string, std::string>> m_seen;
};

std::string
JoinProblems(const std::vector<IniProblem>& aProblems)
{
  std::string text;
  for (const IniProblem& problem : aProblems) {
    text += (text.empty() ? "" : "\n") + problem.ToString();
  }
  return text;
}

} // namespace

std::string_view
NameOf(LogLevel aLevel)
{
  for (const auto& [level, name] : kLogLevelNames) {
    if (level == aLevel) {
      return name;
    }
  }
  throw std::out_of_range("no such LogLevel");
}

std::vector<SettingDescription>
DescribeSettings()
{
  return DescribeRows(SettingTable());
}

SettingsError::SettingsError(std::vector<IniProblem> aProblems)
  : std::runtime_error(JoinProblems(aProblems))
  , m_problems(std::move(aProblems))
{
}

DaemonSettings
ParseDaemonSettings(std::string_view aText, const std::string& aFile)
{
  return SettingsReader(aText, aFile).Read();
}

DaemonSettings
LoadDaemonSettings(const std::string& aPath)
{
  return ParseDaemonSettings(ReadTextFile(aPath), aPath);
}

std::string
ReadTextFile(const std::string& aPath)
{
  errno = 0;
  std::ifstream stream(aPath, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    throw SettingsError(
      { { .m_code = ResultCode::SettingsFileMissing,
          .m_file = aPath,
          .m_text = std::string("cannot be read: ") +
                    std::strerror(errno != 0 ? errno : EIO) } });
  }
  return std::move(text).str();
}

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  constexpr std::uint64_t kMaxPort = 65535;
  if (!ParseNumberBetween(aText.substr(colon + 1), 1, kMaxPort)) {
    return false;
  }
  const std::string ip(aText.substr(0, colon));
  in_addr address{};
  return inet_pton(AF_INET, ip.c_str(), &address) == 1;
}

} // namespace walnutwing
