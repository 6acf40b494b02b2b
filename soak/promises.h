#ifndef WALNUTWING_SOAK_PROMISES_H_
#define WALNUTWING_SOAK_PROMISES_H_

// The promises of the product, checked from what callers and upstreams see.
//
// Some hold always: whole and right answers, orders once, "not run" true,
// configurations only forward, budgets. Those with a time hold for routers that
// are in touch: such a check is left out when a fault that can explain the
// delay was on within kFaultGracePeriod before.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

enum class RequestKind
{
  Order,
  Lookup,
  Stream,
  Resumable,
  OnlyVersion, // a route that one version of the configuration has
};

inline constexpr RequestKind kRequestKinds[] = { RequestKind::Order,
                                                 RequestKind::Lookup,
                                                 RequestKind::Stream,
                                                 RequestKind::Resumable,
                                                 RequestKind::OnlyVersion };

// "/order/", "/lookup/" and so on.
std::string
PathPrefixOf(RequestKind aKind);

enum class RequestOutcome
{
  Complete,    // status 200, and the body is that of the request
  NotRun,      // a numbered refusal that says so
  NoRoute,     // 404
  Failed,      // a numbered failure that promises nothing
  Broken,      // the connection ended first, and the caller saw that
  Unreachable, // no connection
  Wrong,       // anything else
};

const char*
NameOf(RequestOutcome aOutcome);

struct SoakRequest
{
  std::string m_id;
  RequestKind m_kind = RequestKind::Order;
  std::uint32_t m_router = 0;
  std::uint64_t m_version = 0;      // of OnlyVersion
  bool m_firstOnConnection = false; // the first on its connection
  Time m_sentAt;
};

struct GuaranteeOptions
{
  Duration m_configLimit{ 2000 };
  Duration m_drainLimit{ 2000 };
  Duration m_slack{ 500 }; // machines that play the soak are busy
  // A router that stops takes no connection after this time.
  Duration m_acceptAfterStop{ 2600 };
  double m_repeatRatio = 0.2;
  double m_repeatAllowance = 30;
  Duration m_repeatWindow{ 10'000 };
  double m_coldPerSecond = 20;
  double m_coldFactor = 1.5;
};

class GuaranteeChecker
{
public:
  explicit GuaranteeChecker(GuaranteeOptions aOptions)
    : m_options(aOptions)
  {
  }

  // A fault that touches one router (aRouter) or all of them was on.
  void OnFault(std::int64_t aRouter, Time aFrom, Time aTo);
  static constexpr std::int64_t kAllRouters = -1;
  // A fault of upstreams or their links was on.
  void OnUpstreamFault(Time aFrom, Time aTo);
  // A router got SIGTERM.
  void OnRouterStop(std::uint32_t aRouter, Time aAt);
  // It runs anew.
  void OnRouterStart(std::uint32_t aRouter);

  // The store has acknowledged a version.
  void OnConfigWritten(std::uint64_t aVersion, Time aAt);
  // Operators took a zone's upstreams out, or back.
  void OnZoneChange(const std::string& aZone, bool aOut, Time aAt);

  void OnRequestEnd(const SoakRequest& aRequest,
                    RequestOutcome aOutcome,
                    Time aNow);

  // A line of an upstream's record; aZone is its zone.
  void OnRecord(const std::string& aLine, const std::string& aZone);

  // The share of whole answers after the last fault.
  void CheckRecovery(double aCompleteShare);

  // What can be checked only when all is known.
  void CheckAtEnd();

  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  struct FaultInterval
  {
    std::int64_t m_router = kAllRouters;
    Time m_from;
    Time m_to;
  };

  bool IsAffected(std::int64_t aRouter, Time aFrom, Time aTo) const;
  bool AreUpstreamsAffected(Time aFrom, Time aTo) const;
  void CheckConfigVersion(const SoakRequest& aRequest,
                          RequestOutcome aOutcome,
                          Time aNow);
  void CheckArrivalAllowed(const std::string& aUpstream,
                           const std::string& aZone,
                           Time aAt);
  void CheckRepeats();
  void CheckCold();
  void AddViolation(const std::string& aText);

  GuaranteeOptions m_options;
  std::vector<FaultInterval> m_faults;
  std::vector<FaultInterval> m_upstreamFaults;
  std::map<std::uint32_t, Time> m_stops; // since the last start
  std::map<std::uint64_t, Time> m_writtenAt;
  // By router: when each version was first seen to be in force.
  std::map<std::uint32_t, std::map<std::uint64_t, Time>> m_seenVersions;
  std::map<std::string, Time> m_zonesOut;
  std::map<std::string, Time> m_drainedAt; // by upstream
  std::map<std::string, Time> m_coldUntil; // by upstream
  std::map<std::string, std::vector<Time>> m_coldArrivals;
  std::vector<std::pair<Time, std::string>> m_arrivals; // and attempt ids
  std::map<std::string, std::uint32_t> m_runCounts;     // by attempt id
  std::set<std::string> m_orderIds;
  std::set<std::string> m_notRunIds;
  std::vector<std::string> m_violations;
};

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_PROMISES_H_
