#include "walnutwing/routing/upstream_tracker.h"

#include <algorithm>
#include <cmath>

namespace walnutwing {
namespace {

// Work without any byte of an answer for this long means that the upstream is
// silent: streams bring an event every few tens of milliseconds.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(600);
// An upstream that cannot be reached is left alone for this long, and for twice
// as long after each further failure.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(2000);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// One that refused work for lack of room is passed over for this long.
constexpr Duration kRefusalDuration = std::chrono::milliseconds(150);
// After this time a load report, or a failure, counts half.
constexpr double kReportHalfLifeMs = 1500;
// Older reports do not count towards the mean.
constexpr Duration kReportLifetime = std::chrono::milliseconds(3000);
constexpr double kFailureHalfLifeMs = 2500;
// Weight of the newest answer in the failure rate.
constexpr double kNewestSampleWeight = 0.15;

double
Decay(Duration aAge, double aHalfLifeMs)
{
  return std::exp2(-static_cast<double>(aAge.count()) / aHalfLifeMs);
}

} // namespace

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
}

void
UpstreamTracker::OnEnded(SendOutcome aOutcome, Time aNow)
{
  // Work that is given up at a silent upstream leaves it as one that cannot be
  // reached: without work it would look well again.
  const bool silent = Silent(aNow);
  --m_inFlight;
  if (silent && aOutcome != SendOutcome::Unreachable) {
    OnConnectFailed(aNow);
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
    case SendOutcome::Abandoned:
      return;
  }
}

void
UpstreamTracker::OnConnectFailed(Time aNow)
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
UpstreamTracker::OnLoadReport(const LoadReport& aReport, Time aNow)
{
  const double carried = aReport.m_running + aReport.m_waiting;
  m_otherDaemonsLoad = std::max(0.0, carried - m_inFlight);
  m_reportedAt = aNow;
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
