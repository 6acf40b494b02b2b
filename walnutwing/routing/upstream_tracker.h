#ifndef WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_
#define WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_

// One upstream as this daemon experiences it: how much work it carries, whether
// it can be reached, whether it answers and how often it fails.
//
// Load is what this daemon has sent plus what others had there by the
// upstream's last report; a report loses weight as it ages. Failures are an
// average that decays with time, so that an upstream that is left alone is
// tried again.

#include <cstdint>
#include <optional>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// What an upstream says of its own load.
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

// How a request at an upstream ended, as far as it tells about the upstream.
enum class SendOutcome
{
  Answered,    // a whole answer
  Refused,     // not run, by the upstream's own word: it is full or leaving
  Failed,      // a failure of its own, a broken answer, silence
  Unreachable, // no connection
  Abandoned,   // the caller left: says nothing
};

class UpstreamTracker
{
public:
  void OnSent(Time aNow);
  // Bytes of an answer have come: it lives.
  void OnBytesReceived(Time aNow);
  void OnEnded(SendOutcome aOutcome, Time aNow);
  void OnConnectFailed(Time aNow);
  void OnLoadReport(const LoadReport& aReport, Time aNow);
  void OnRefused(Time aNow);

  std::uint32_t InFlight() const { return m_inFlight; }

  // Requests of other daemons that it carries by its last report, or nothing
  // when it sent none lately.
  std::optional<double> OtherDaemonsLoad(Time aNow) const;

  // Requests that it carries, by all that is known here. aMeanOtherLoad: the
  // mean of OtherDaemonsLoad over its service.
  double Load(double aMeanOtherLoad, Time aNow) const;

  // Whether new work may be sent: it was reachable at the last try, and is not
  // silent.
  bool Reachable(Time aNow) const;

  // It has work of this daemon, and no byte of any answer has come for long.
  bool Silent(Time aNow) const;

  // The last try to connect failed, and no byte has come since.
  bool Unreachable() const { return m_connectFailures > 0; }

  // It said lately that it has no room.
  bool RecentlyRefused(Time aNow) const { return aNow < m_refusedUntil; }

  // Share of failures among the last answers, from 0 to 1.
  double FailureRate(Time aNow) const;

private:
  void RecordResult(bool aFailed, Time aNow);

  std::uint32_t m_inFlight = 0;
  Time m_lastByteAt;             // or when the first work was sent
  double m_otherDaemonsLoad = 0; // of other daemons, by the last report
  std::optional<Time> m_reportedAt;
  double m_failureRate = 0;
  Time m_failureRateAt;
  std::uint32_t m_connectFailures = 0;
  Time m_unreachableUntil;
  Time m_refusedUntil;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_TRACKER_H_
