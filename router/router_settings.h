#ifndef WALNUTWING_ROUTER_ROUTER_SETTINGS_H_
#define WALNUTWING_ROUTER_ROUTER_SETTINGS_H_

// A router's own settings, an INI file that the platform fills in from
// deploy/router.ini. docs/ROUTER.md lists the keys; a test compares the two.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/config/settings.h"

namespace walnutwing::router {

struct RouterSettings
{
  DaemonId m_name;
  ZoneId m_zone;
  std::string m_listen;      // callers
  std::string m_readyListen; // the platform asks there whether to send callers
  std::string m_peerListen;  // datagrams of other daemons
  double m_weight = 0;       // processor share of this VM
  std::uint64_t m_metricsPort = 0;
  std::string m_storeAddress;
  Duration m_stopLimit{};   // from SIGTERM to the end, at most
  Duration m_drainLimit{};  // by when a leaving upstream gets no new work
  Duration m_configLimit{}; // by when a configuration is in force
  double m_coldFactor = 0;  // of what a cold upstream says it bears
  double m_repeatRatio = 0; // repeats for each request, over the fleet
  Duration m_repeatWindow{};
  double m_repeatAllowance = 0; // repeats in a window beyond the ratio's
  double m_loadFactor = 0;      // most load of an upstream, in means
  std::uint64_t m_logBytesPerSecond = 0;
};

// All keys in the order of docs/ROUTER.md.
std::vector<SettingDescription>
DescribeRouterSettings();

// Reads settings from aText; aFile is used for messages only. Throws
// SettingsError with every problem found.
RouterSettings
ParseRouterSettings(std::string_view aText, const std::string& aFile);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROUTER_SETTINGS_H_
