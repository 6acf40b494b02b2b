#ifndef WALNUTWING_CONFIG_SETTINGS_H_
#define WALNUTWING_CONFIG_SETTINGS_H_

// A daemon's own settings, read once from an INI file before any socket opens.
// The configuration that operators change at run time (customers, services,
// presets, zones) comes from the platform's log instead (fleet_config.h).

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

// Addresses are valid "IP:port" texts, as "10.0.1.7:8080".
struct DaemonSettings
{
  DaemonId m_id;
  ZoneId m_zone;
  RegionId m_region;
  std::string m_listen;      // callers
  std::string m_adminListen; // operators, metrics, health
  std::string m_peerListen;  // other daemons
  Duration m_stopLimit{};    // on a stop, requests are terminated after this
  std::uint64_t m_maxBodyBytes = 0;
  std::uint64_t m_maxRequests = 0; // in progress at once
  Duration m_requestTimeout{};     // for a complete request to arrive

  std::string m_platformAddress;
  Duration m_platformPollInterval{}; // of the zone's reader
  Duration m_platformTimeout{};
  Duration m_logRetention{}; // how long the platform keeps log records

  std::vector<std::string> m_peerSeeds; // addresses of other daemons
  std::uint64_t m_controlBytesPerSecond = 0;
  // CURVE keys that encrypt peer traffic: the fleet's public key in Z85 and the
  // file that contains its secret key. Either both are set or neither.
  std::string m_curvePublicKey;
  std::string m_curveSecretKeyFile;

  std::map<std::string, std::string> m_operatorKeys; // name -> key, raw bytes

  LogLevel m_logLevel = LogLevel::Info;
  std::string m_traceFile; // empty: no traces
};

// A key as docs/SETTINGS.md lists it.
struct SettingDescription
{
  std::string m_section;
  std::string m_key; // "NAME" if the section accepts any name
  std::string m_unit;
  std::string m_allowed;
  std::optional<std::string> m_default; // nullopt: the key is required
  std::string m_doc;
};

// All keys in the order of docs/SETTINGS.md.
std::vector<SettingDescription>
DescribeSettings();

// Invalid or unreadable settings. what() lists all problems, one per line.
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

// Parses settings from aText; aFile is used in messages only. Throws
// SettingsError.
DaemonSettings
ParseDaemonSettings(std::string_view aText, const std::string& aFile);

// Reads settings from the file aPath. Throws SettingsError.
DaemonSettings
LoadDaemonSettings(const std::string& aPath);

// Returns the content of the file aPath. Throws SettingsError with
// SettingsFileMissing if it cannot be read.
std::string
ReadTextFile(const std::string& aPath);

// Whether aText is "IP:port" with a numeric IPv4 address and a port of 1 to
// 65535. The network layer has no IPv6 (docs/DESIGN.md).
bool
IsAddress(std::string_view aText);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_SETTINGS_H_
