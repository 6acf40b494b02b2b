#ifndef WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_
#define WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_

// The state of one upstream as observed by this daemon: its load and pace,
// whether it can be reached, whether it responds and how often it fails.
//
// The load is this daemon's requests in flight plus the other daemons' requests
// from the upstream's last load report; the weight of a report decays with its
// age. The failure rate is a moving average that also decays with time, so that
// an upstream that gets no requests is tried again.

#include <cstdint>
#include <optional>
#include <string_view>

#include "walnutwing/base/clock.h"
#include "walnutwing/routing/upstream_pace.h"

namespace walnutwing {

// An upstream's report of its own load, in requests.
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
  // How long work takes there now, as a multiple of the usual; not all
  // upstreams state it.
  std::optional<double> m_pace{};
};

// How a request ended, as far as it says something about the upstream.
enum class SendOutcome
{
  Answered,    // a complete response
  Refused,     // the upstream reports that it did not run it: full or draining
  Failed,      // an error of the upstream, a broken response or a timeout
  Unreachable, // no connection
  Unsent,      // given up while it waited for its connection: nothing was sent
  Abandoned,   // the caller left, which says nothing about the upstream
};

std::string_view
NameOf(SendOutcome aOutcome);

class UpstreamTracker
{
public:
  void OnSent(Time aNow);
  // Bytes of a response have arrived, so the upstream is running.
  void OnBytesReceived(Time aNow);
  void OnEnded(SendOutcome aOutcome, Time aNow);
  void OnConnectFailed(Time aNow);
  void OnLoadReport(const LoadReport& aReport, Time aNow);
  void OnRefused(Time aNow);
  // The upstream asked to get no requests from this daemon for aTime.
  void OnBackoffRequested(Duration aTime, Time aNow);

  std::uint32_t InFlight() const { return m_inFlight; }

  // Requests of other daemons at the upstream, from its last load report;
  // nullopt without a recent one.
  std::optional<double> OtherDaemonsLoad(Time aNow) const;

  // Estimated requests at the upstream. aMeanOtherLoad, the mean of
  // OtherDaemonsLoad over its service, replaces the report as it ages.
  double Load(double aMeanOtherLoad, Time aNow) const;

  // How long work takes there now, by what it states.
  const UpstreamPace& Pace() const { return m_pace; }

  // Whether it may get new requests: it is not silent, and not in backoff after
  // a failed connection.
  bool Reachable(Time aNow) const;

  // Whether it may be tried on a new connection, though it is silent: no
  // connection to it has failed lately.
  bool Connectable(Time aNow) const
  {
    return !m_connectionFailed || aNow >= m_unreachableUntil;
  }

  // Whether it has requests of this daemon and no byte of any response has
  // arrived for longer than the silence timeout.
  bool Silent(Time aNow) const;

  // Whether a connection failed and no byte has arrived since.
  bool Unreachable() const { return m_connectFailures > 0; }

  // Whether it refused a request a short time ago.
  bool RecentlyRefused(Time aNow) const { return aNow < m_refusedUntil; }

  // Until when it asked to get no requests; not in the future if it did not.
  Time BackoffUntil() const { return m_backoffUntil; }

  // Moving average of failures among the ended requests, from 0 to 1.
  double FailureRate(Time aNow) const;

private:
  void BackOff(Time aNow);
  void RecordResult(bool aFailed, Time aNow);

  std::uint32_t m_inFlight = 0;
  Time m_lastByteAt; // or when a request was sent while none was in flight
  double m_otherDaemonsLoad = 0; // of other daemons, by the last report
  std::optional<Time> m_reportedAt;
  UpstreamPace m_pace;
  double m_failureRate = 0;
  Time m_failureRateAt;
  std::uint32_t m_connectFailures = 0;
  bool m_connectionFailed = false; // rather than that it was silent
  Time m_unreachableUntil;
  Time m_refusedUntil;
  Time m_backoffUntil;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_
