#ifndef WALNUTWING_SOAK_GUARANTEE_CHECKER_H_
#define WALNUTWING_SOAK_GUARANTEE_CHECKER_H_

// Checks the guarantees of the product from what callers and upstreams observe.
//
// Some guarantees always hold: answers are complete and correct, an order runs
// at most once, a request answered with "not run" has not run, configuration
// versions only move forward, and repeats and the load of cold upstreams stay
// within their budgets. Guarantees with a time limit hold only while the
// processes can reach each other: such a check is skipped if a fault that can
// explain the delay was active at the time or within kFaultGracePeriod before.

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
  OnlyVersion, // a route that exists in one configuration version only
  Long,        // a resumable stream of seconds whose upstream pauses once
};

inline constexpr RequestKind kRequestKinds[] = {
  RequestKind::Order,     RequestKind::Lookup,      RequestKind::Stream,
  RequestKind::Resumable, RequestKind::OnlyVersion, RequestKind::Long
};

// The path prefix of the kind's route, such as "/order/". The version number
// and a slash follow the prefix of OnlyVersion.
std::string
PathPrefixOf(RequestKind aKind);

enum class RequestOutcome
{
  Complete,    // status 200 and the expected body
  NotRun,      // an error with a result code that says "not run"
  NoRoute,     // 404
  Failed,      // any other error with a result code
  Broken,      // the connection ended before the response did
  Unreachable, // no connection, or the caller's timeout expired
  Wrong,       // any other response
};

const char*
NameOf(RequestOutcome aOutcome);

struct SoakRequest
{
  std::string m_id; // sent as the attempt id
  RequestKind m_kind = RequestKind::Order;
  std::uint32_t m_router = 0;  // index
  std::uint64_t m_version = 0; // for OnlyVersion
  bool m_firstOnConnection = false;
  Time m_sentAt;
  std::string m_streamId; // of a stream that is taken up: its first attempt
  bool m_refusedForVersion = false; // nobody knew the version that began it
  bool m_promisedNotRun = false;    // by the status of its answer
};

inline const std::string&
StreamIdOf(const SoakRequest& aRequest)
{
  return aRequest.m_streamId.empty() ? aRequest.m_id : aRequest.m_streamId;
}

struct GuaranteeOptions
{
  // Until a written configuration is in force.
  Duration m_configLimit{ 2000 };
  // Until an upstream that drains, or whose zone is out, gets no more requests.
  Duration m_drainLimit{ 2000 };
  // Added to the time limits, since machines that run the soak are busy.
  Duration m_slack{ 500 };
  // A router accepts no connections later than this after SIGTERM.
  Duration m_acceptAfterStop{ 2600 };
  // A request that was sent at most m_servedAfterStop after SIGTERM may be cut,
  // if it is still in progress m_cutAfterStop after it.
  Duration m_servedAfterStop{ 3000 };
  Duration m_cutAfterStop{ 6667 };
  // Repeats within m_repeatWindow, over all upstreams: at most
  // m_repeatRatio * first attempts + m_repeatAllowance.
  double m_repeatRatio = 0.2;
  double m_repeatAllowance = 30;
  Duration m_repeatWindow{ 10'000 };
  // Requests for a cold upstream in one second: at most
  // m_coldPerSecond * m_coldFactor.
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

  // A fault that affects the router aRouter, or all routers, was active.
  void OnFault(std::int64_t aRouter, Time aFrom, Time aTo);
  static constexpr std::int64_t kAllRouters = -1;
  // A fault of an upstream or its link was active.
  void OnUpstreamFault(Time aFrom, Time aTo);
  // The router stood still. That explains delays, but no request that ends
  // without an answer.
  void OnStandstill(std::uint32_t aRouter, Time aFrom, Time aTo);
  // The router got SIGTERM.
  void OnRouterStop(std::uint32_t aRouter, Time aAt);
  // The router was started; forgets its stop and the versions seen before.
  void OnRouterStart(std::uint32_t aRouter);

  // The store acknowledged the configuration version.
  void OnConfigWritten(std::uint64_t aVersion, Time aAt);
  // Operators took the zone's upstreams out (aOut), or back in.
  void OnZoneChange(const std::string& aZone, bool aOut, Time aAt);

  // A caller's request ended at aNow.
  void OnRequestEnd(const SoakRequest& aRequest,
                    RequestOutcome aOutcome,
                    Time aNow);

  // Takes a line of an upstream's record (format: RunUpstreamRole); aZone is
  // the zone of the upstream.
  void OnRecord(const std::string& aLine, const std::string& aZone);

  // A router ended though nobody had stopped it.
  void OnRouterEnded(std::uint32_t aRouter);

  // aCompleteShare: complete answers after the last fault, from 0 to 1.
  void CheckRecovery(double aCompleteShare);

  // Runs the checks that need the requests and records of the whole run.
  void CheckAtEnd();

  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  struct FaultInterval
  {
    std::int64_t m_router = kAllRouters;
    Time m_from;
    Time m_to;
    bool m_explainsCuts = true; // of requests
  };

  // Whether a fault of aRouter, or of all routers, was active between the two
  // times or ended within kFaultGracePeriod before aFrom. kAllRouters matches
  // the faults of every router.
  bool IsAffected(std::int64_t aRouter,
                  Time aFrom,
                  Time aTo,
                  bool aForCut = false) const;
  bool AreUpstreamsAffected(Time aFrom, Time aTo) const;
  void CheckConfigVersion(const SoakRequest& aRequest,
                          RequestOutcome aOutcome,
                          Time aNow);
  // An upstream that drains, or whose zone is out, must get no requests after
  // m_drainLimit.
  void CheckArrivalAllowed(const std::string& aUpstream,
                           const std::string& aZone,
                           Time aAt);
  // Without a fault no request ends without an answer, and a planned stop cuts
  // only what m_cutAfterStop allows.
  void CheckNotCut(const SoakRequest& aRequest, Time aNow);
  // Most streams that are taken up go on, whatever happens to routers.
  void CheckTakeUps();
  void CheckRepeats();
  void CheckCold();
  void AddViolation(const std::string& aText);

  GuaranteeOptions m_options;
  std::vector<FaultInterval> m_faults;
  std::vector<FaultInterval> m_upstreamFaults;
  std::map<std::uint32_t, Time> m_stops; // SIGTERM, since the last start
  std::map<std::uint64_t, Time> m_writtenAt;
  // By router: when each version was first seen in force.
  std::map<std::uint32_t, std::map<std::uint64_t, Time>> m_seenVersions;
  std::map<std::string, Time> m_zonesOut;  // by zone: since when
  std::map<std::string, Time> m_drainedAt; // by upstream
  std::map<std::string, Time> m_coldUntil; // by upstream
  std::map<std::string, std::vector<Time>> m_coldArrivals;
  std::vector<std::pair<Time, std::string>> m_arrivals; // with attempt ids
  std::map<std::string, std::uint32_t> m_runCounts;     // by attempt id
  std::size_t m_takeUps = 0;                            // that were answered
  std::size_t m_takeUpsRefused = 0; // as nobody knew their version
  std::set<std::string> m_orderIds;
  std::set<std::string> m_notRunIds;
  std::vector<std::string> m_violations;
};

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_GUARANTEE_CHECKER_H_
