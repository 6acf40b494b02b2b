#ifndef WALNUTWING_CONFIG_SETTINGS_H_
#define WALNUTWING_CONFIG_SETTINGS_H_

// A daemon's own settings, read once from an INI file before any socket opens.
// What operators change while the fleet runs (customers, services, presets,
// zones) is not here: it comes from the platform's log (fleet_config.h).

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/config/ini.h"
#include "walnutwing/config/text_value.h"

namespace walnutwing {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

// "debug", "info", "warning", "error".
std::string_view
NameOf(LogLevel aLevel);

// Addresses are checked "IP:port" texts, as "10.0.1.7:8080".
struct DaemonSettings
{
  DaemonId m_id;
  ZoneId m_zone;
  RegionId m_region;
  std::string m_listen;      // callers
  std::string m_adminListen; // operators, metrics, health
  std::string m_peerListen;  // other daemons
  Duration m_stopLimit{};    // requests in progress are cut after this
  std::uint64_t m_maxBodyBytes = 0;
  std::uint64_t m_maxRequests = 0; // in progress at once
  Duration m_requestTimeout{};     // for a whole request to arrive

  std::string m_platformAddress;
  Duration m_platformPollInterval{}; // of the zone's reader
  Duration m_platformTimeout{};
  Duration m_logRetention{}; // how long the platform keeps log records

  std::vector<std::string> m_peerSeeds; // addresses of other daemons
  std::uint64_t m_controlBytesPerSecond = 0;
  // CURVE for peer traffic: a fleet's own public key in Z85 and the file that
  // holds the secret one. Both or neither are set.
  std::string m_curvePublicKey;
  std::string m_curveSecretKeyFile;

  std::map<std::string, std::string> m_operatorKeys; // name -> key, raw bytes

  LogLevel m_logLevel = LogLevel::Info;
  std::string m_traceFile; // empty: no traces
};

// One key as the table declares it, and as docs/SETTINGS.md lists it.
struct SettingDescription
{
  std::string m_section;
  std::string m_key; // "NAME" where the section's keys are free
  std::string m_unit;
  std::string m_allowed;
  std::optional<std::string> m_default; // nothing: the key is required
  std::string m_doc;
};

// All keys in the order of docs/SETTINGS.md.
std::vector<SettingDescription>
DescribeSettings();

// Settings that cannot be used. Lists every problem that was found.
class SettingsError : public std::runtime_error
{
public:
  // aProblems is not empty.
  explicit SettingsError(std::vector<IniProblem> aProblems);

  const std::vector<IniProblem>& Problems() const { return m_problems; }
  // The first problem's code.
  ResultCode Code() const { return m_problems.front().m_code; }

private:
  std::vector<IniProblem> m_problems;
};

// Reads settings from aText; aFile is used for messages only. Throws
// SettingsError.
DaemonSettings
ParseDaemonSettings(std::string_view aText, const std::string& aFile);

// Reads settings from the file aPath. Throws SettingsError.
DaemonSettings
LoadDaemonSettings(const std::string& aPath);

// The text of the file aPath. Throws SettingsError with SettingsFileMissing.
std::string
ReadTextFile(const std::string& aPath);

// Whether aText is "IP:port" with a numeric IPv4 address and a port of 1 to
// 65535. The network layer has no IPv6 (docs/DESIGN.md).
bool
IsAddress(std::string_view aText);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_SETTINGS_H_
