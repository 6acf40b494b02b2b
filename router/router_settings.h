#ifndef WALNUTWING_ROUTER_ROUTER_SETTINGS_H_
#define WALNUTWING_ROUTER_ROUTER_SETTINGS_H_

// Settings of a router, read from an INI file that the platform creates from
// deploy/router.ini. docs/ROUTER.md lists the keys, which a test verifies.

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
  std::string m_listen;      // address for callers
  std::string m_readyListen; // address of the platform's readiness checks
  std::string m_peerListen;  // address for datagrams of other daemons
  double m_weight = 0;       // processor share of this VM
  std::uint64_t m_metricsPort = 0;
  std::string m_storeAddress;
  Duration m_stopLimit{};       // from SIGTERM until the process is killed
  Duration m_drainLimit{};      // until a leaving upstream gets no new work
  Duration m_configLimit{};     // until a new configuration is in force
  double m_coldFactor = 0;      // times a cold upstream's stated capacity
  double m_repeatRatio = 0;     // repeats per request, over the fleet
  Duration m_repeatWindow{};    // in which repeats are counted
  double m_repeatAllowance = 0; // repeats per window, in addition to the ratio
  double m_loadFactor = 0; // max load of an upstream, as a multiple of the mean
  // Requests that a version may get until it is judged: a share of all requests
  // of its service, and as many in addition.
  double m_exposureShare = 0;
  double m_exposureAllowance = 0;
  std::uint64_t m_logBytesPerSecond = 0; // of lines of successful requests
  double m_memoryMb = 0;       // of this VM; 0: what the system reports
  double m_maxDescriptors = 0; // of this process; 0: what the system allows
};

// All keys in the order of docs/ROUTER.md.
std::vector<SettingDescription>
DescribeRouterSettings();

// Parses settings from aText; aFile is used in messages only. Throws
// SettingsError with every problem found.
RouterSettings
ParseRouterSettings(std::string_view aText, const std::string& aFile);

// The settings after a reload of aNew. Some hold until the next start: the name
// and the zone identify this daemon to the others, the addresses are already in
// use, and repeats were counted in the window in force.
RouterSettings
ApplyReload(const RouterSettings& aInForce, const RouterSettings& aNew);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ROUTER_SETTINGS_H_
