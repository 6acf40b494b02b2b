#include "walnutwing/routing/upstream_tracker.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace walnutwing {
namespace {

// An upstream with requests in flight is silent after this long without a byte
// of any response: streams send an event every few tens of milliseconds.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(600);
// Backoff after a failed connection; doubles with each further failure.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(2000);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// An upstream that refused a request counts as full for this long.
constexpr Duration kRefusalDuration = std::chrono::milliseconds(150);
// Half-life of the weight of a load report.
constexpr double kReportHalfLifeMs = 1500;
// Older reports do not count for the mean of the service.
constexpr Duration kReportLifetime = std::chrono::milliseconds(3000);
// Half-life of the failure rate while no request ends.
constexpr double kFailureHalfLifeMs = 2500;
// Weight of the newest request in the failure rate.
constexpr double kNewestSampleWeight = 0.15;

double
Decay(Duration aAge, double aHalfLifeMs)
{
  return std::exp2(-static_cast<double>(aAge.count()) / aHalfLifeMs);
}

struct SendOutcomeName
{
  SendOutcome m_outcome;
  std::string_view m_name;
};

constexpr std::array<SendOutcomeName, 6> kSendOutcomes{ {
  { SendOutcome::Answered, "answered" },
  { SendOutcome::Refused, "refused" },
  { SendOutcome::Failed, "failed" },
  { SendOutcome::Unreachable, "unreachable" },
  { SendOutcome::Unsent, "unsent" },
  { SendOutcome::Abandoned, "abandoned" },
} };

} // namespace

std::string_view
NameOf(SendOutcome aOutcome)
{
  for (const SendOutcomeName& row : kSendOutcomes) {
    if (row.m_outcome == aOutcome) {
      return row.m_name;
    }
  }
  return "unknown";
}

void
UpstreamTracker::OnSent(Time aNow)
{
  if (m_inFlight++ == 0) {
    m_lastByteAt = aNow;
  }
}

void
UpstreamTracker::OnBytesReceived(Time aNow)
{
  m_lastByteAt = aNow;
  m_connectFailures = 0;
  m_connectionFailed = false;
}

void
UpstreamTracker::OnEnded(SendOutcome aOutcome, Time aNow)
{
  // A request that ends at a silent upstream also counts as a failed
  // connection. Otherwise the upstream would no longer be silent, and so
  // reachable again, once its last request has been given up.
  const bool silent = Silent(aNow);
  --m_inFlight;
  if (silent && aOutcome != SendOutcome::Unreachable) {
    BackOff(aNow);
  }
  switch (aOutcome) {
    case SendOutcome::Answered:
      RecordResult(false, aNow);
      return;
    case SendOutcome::Failed:
      RecordResult(true, aNow);
      return;
    case SendOutcome::Unreachable:
      OnConnectFailed(aNow);
      return;
    case SendOutcome::Refused:
      OnRefused(aNow);
      return;
    case SendOutcome::Unsent:
    case SendOutcome::Abandoned:
      return;
  }
}

void
UpstreamTracker::OnConnectFailed(Time aNow)
{
  m_connectionFailed = true;
  BackOff(aNow);
}

void
UpstreamTracker::BackOff(Time aNow)
{
  const std::uint32_t doublings =
    std::min(m_connectFailures++, kMaxBackoffDoublings);
  const Duration backoff = kInitialBackoff * (1U << doublings);
  m_unreachableUntil = aNow + std::min(backoff, kMaxBackoff);
}

void
UpstreamTracker::OnRefused(Time aNow)
{
  m_refusedUntil = aNow + kRefusalDuration;
}

void
UpstreamTracker::OnBackoffRequested(Duration aTime, Time aNow)
{
  m_backoffUntil = std::max(m_backoffUntil, aNow + aTime);
}

void
UpstreamTracker::OnLoadReport(const LoadReport& aReport, Time aNow)
{
  const double carried = aReport.m_running + aReport.m_waiting;
  m_otherDaemonsLoad = std::max(0.0, carried - m_inFlight);
  m_reportedAt = aNow;
  if (aReport.m_pace) {
    m_pace.OnStated(*aReport.m_pace, aNow);
  }
}

std::optional<double>
UpstreamTracker::OtherDaemonsLoad(Time aNow) const
{
  if (!m_reportedAt || aNow - *m_reportedAt > kReportLifetime) {
    return std::nullopt;
  }
  return m_otherDaemonsLoad;
}

double
UpstreamTracker::Load(double aMeanOtherLoad, Time aNow) const
{
  if (!m_reportedAt) {
    return m_inFlight + aMeanOtherLoad;
  }
  const double weight = Decay(aNow - *m_reportedAt, kReportHalfLifeMs);
  return m_inFlight + weight * m_otherDaemonsLoad +
         (1 - weight) * aMeanOtherLoad;
}

bool
UpstreamTracker::Silent(Time aNow) const
{
  return m_inFlight > 0 && aNow - m_lastByteAt > kSilenceTimeout;
}

bool
UpstreamTracker::Reachable(Time aNow) const
{
  return aNow >= m_unreachableUntil && !Silent(aNow);
}

void
UpstreamTracker::RecordResult(bool aFailed, Time aNow)
{
  const double decayed = FailureRate(aNow);
  m_failureRate =
    decayed + kNewestSampleWeight * ((aFailed ? 1.0 : 0.0) - decayed);
  m_failureRateAt = aNow;
}

double
UpstreamTracker::FailureRate(Time aNow) const
{
  return m_failureRate * Decay(aNow - m_failureRateAt, kFailureHalfLifeMs);
}

} // namespace walnutwing
