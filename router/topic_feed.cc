#include "router/topic_feed.h"

#include <algorithm>
#include <utility>

#include "router/input_guard.h"
#include "router/store_pace.h"

namespace walnutwing::router {
namespace {

// Timeout of a call, in addition to the wait that it requests at the store:
// this percentage of the time limit for configurations, up to
// kMaxResponseTimeout.
constexpr Duration kMaxResponseTimeout = std::chrono::milliseconds(700);
constexpr int kResponseTimeoutPercent = 35;
// After a call has failed, ReadNow makes the next one at the earliest this long
// after the start of the failed one.
constexpr Duration kMinFailedCallInterval = std::chrono::milliseconds(400);
// Random part that is added to retry delays, as a fraction of the delay, so
// that daemons that lost the store together do not retry at the same time.
constexpr double kRetryJitter = 0.5;

} // namespace

TopicFeed::TopicFeed(Context& aContext,
                     std::string aTopic,
                     FollowerOptions aOptions,
                     OnUpdate aOnUpdate,
                     OnHealth aOnHealth)
  : m_context(aContext)
  , m_topic(std::move(aTopic))
  , m_follower(m_topic, aOptions)
  , m_onUpdate(std::move(aOnUpdate))
  , m_onHealth(std::move(aOnHealth))
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
  , m_timer(aContext.m_loop.get_executor())
{
}

void
TopicFeed::CallNext()
{
  m_callInFlight = true;
  m_lastCallAt = Now();
  m_readRequested = false;
  m_timer.cancel();
  const Duration responseTimeout = std::min(
    PercentOf(m_context.m_settings.m_configLimit, kResponseTimeoutPercent),
    kMaxResponseTimeout);
  m_channel->Call(
    m_follower.NextCall(),
    m_follower.CallWait() + responseTimeout,
    [this](const StoreResponse& aResponse) { OnResponse(aResponse); });
}

void
TopicFeed::OnResponse(const StoreResponse& aResponse)
{
  m_callInFlight = false;
  TopicUpdate update;
  const bool handled =
    RunGuarded(m_context.m_log, m_context.m_metrics, "store", Now(), [&] {
      update = Apply(aResponse);
    });
  if (!handled) {
    // Some of its records may not have been applied.
    m_follower.RestartFromNewest();
    ScheduleCall(kMinFailedCallInterval);
    return;
  }
  if (std::exchange(m_newestRequested, false)) {
    m_follower.RestartFromNewest();
    m_readRequested = true;
  }
  Duration delay = m_readRequested ? Duration::zero() : m_follower.Delay();
  if (!update.m_succeeded) {
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + kRetryJitter);
    delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(m_follower.Delay().count()) *
      jitter(m_context.m_random)));
  }
  ScheduleCall(delay);
}

TopicUpdate
TopicFeed::Apply(const StoreResponse& aResponse)
{
  TopicUpdate update = m_follower.OnResponse(
    aResponse.m_status, aResponse.m_body, aResponse.m_era);
  SetStoreAvailable(update.m_succeeded, aResponse);
  if (update.m_eraChange) {
    m_onEra(m_topic, *update.m_eraChange);
  }
  if (update.m_unreadable != 0) {
    EventLog::Line(m_context.m_log, Event::ItemsUnreadable, Now())
      .Add("topic", m_topic)
      .Add("items", static_cast<std::int64_t>(update.m_unreadable));
  }
  if (update.m_succeeded) {
    m_lastResponseAt = Now();
    m_loaded = m_loaded || update.m_isSnapshot;
    m_onUpdate(update);
  }
  return update;
}

void
TopicFeed::ScheduleCall(Duration aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([this](const error_code& aError) {
    if (aError || m_callInFlight) {
      return;
    }
    const Time now = Now();
    if (m_follower.IsTailing() && now < m_relyOnPeerUntil && !m_readRequested) {
      ScheduleCall(m_relyOnPeerUntil - now);
      return;
    }
    CallNext();
  });
}

void
TopicFeed::ReadNow()
{
  m_readRequested = true;
  if (!m_callInFlight &&
      (m_storeAvailable || Now() - m_lastCallAt >= kMinFailedCallInterval)) {
    CallNext();
  }
}

void
TopicFeed::ReadNewest()
{
  if (m_callInFlight) {
    return;
  }
  m_follower.RestartFromNewest();
  ReadNow();
}

void
TopicFeed::ReadNewestSoon()
{
  m_newestRequested = m_callInFlight;
  ReadNewest();
}

void
TopicFeed::OnOtherEra()
{
  m_relyOnPeerUntil = Time();
  ReadNewest();
}

void
TopicFeed::OnForwardedRecords(const TopicUpdate& aUpdate, std::uint64_t aNext)
{
  m_follower.AdvanceTo(aNext);
  m_onUpdate(aUpdate);
}

void
TopicFeed::SetStoreAvailable(bool aAvailable, const StoreResponse& aResponse)
{
  if (aAvailable == m_storeAvailable) {
    return;
  }
  m_storeAvailable = aAvailable;
  EventLog::Line(m_context.m_log,
                 aAvailable ? Event::StoreRegained : Event::StoreLost,
                 Now())
    .Add("topic", m_topic)
    .Add("status", static_cast<std::int64_t>(aResponse.m_status))
    .Add("error", aResponse.m_error);
  m_onHealth(aAvailable);
}

} // namespace walnutwing::router
