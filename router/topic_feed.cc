#include "router/topic_feed.h"

#include <algorithm>
#include <utility>

#include "router/store_pace.h"

namespace walnutwing::router {
namespace {

// Beyond the wait that a read asks for: at most this, and so much of the bound
// on configurations.
constexpr Duration kLongestAnswerTime = std::chrono::milliseconds(700);
constexpr int kAnswerPercent = 35;
// Between two calls to a store that does not answer.
constexpr Duration kLeastPause = std::chrono::milliseconds(400);
// Retries of daemons that lost the store together spread over this part of the
// delay more.
constexpr double kRetrySpread = 0.5;

} // namespace

TopicFeed::TopicFeed(Context& aContext,
                     std::string aTopic,
                     FollowerOptions aOptions,
                     OnNews aOnNews,
                     OnHealth aOnHealth)
  : m_context(aContext)
  , m_topic(std::move(aTopic))
  , m_follower(m_topic, aOptions)
  , m_onNews(std::move(aOnNews))
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
  m_calling = true;
  m_calledAt = Now();
  m_again = false;
  m_timer.cancel();
  const Duration answerTime =
    std::min(PartOf(m_context.m_settings.m_configLimit, kAnswerPercent),
             kLongestAnswerTime);
  m_channel->Call(m_follower.NextCall(),
                  m_follower.CallWait() + answerTime,
                  [this](const StoreResponse& aAnswer) { OnAnswer(aAnswer); });
}

void
TopicFeed::OnAnswer(const StoreResponse& aAnswer)
{
  m_calling = false;
  const TopicNews news = m_follower.OnAnswer(aAnswer.m_status, aAnswer.m_body);
  SetAnswers(news.m_understood, aAnswer);
  if (news.m_understood) {
    m_answeredAt = Now();
    m_loaded = m_loaded || news.m_whole;
    m_onNews(news);
  }
  Duration delay = m_again ? Duration::zero() : m_follower.Delay();
  if (!news.m_understood) {
    std::uniform_real_distribution<double> spread(1.0, 1.0 + kRetrySpread);
    delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(m_follower.Delay().count()) *
      spread(m_context.m_random)));
  }
  CallAfter(delay);
}

void
TopicFeed::CallAfter(Duration aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait([this](const error_code& aError) {
    if (aError || m_calling) {
      return;
    }
    const Time now = Now();
    if (m_follower.Reading() && now < m_reliesUntil && !m_again) {
      CallAfter(m_reliesUntil - now);
      return;
    }
    CallNext();
  });
}

void
TopicFeed::ReadNow()
{
  m_again = true;
  if (!m_calling && (m_answers || Now() - m_calledAt >= kLeastPause)) {
    CallNext();
  }
}

void
TopicFeed::ReadNewest()
{
  if (m_calling) {
    return;
  }
  m_follower.StartOver();
  ReadNow();
}

void
TopicFeed::OnPassed(const TopicNews& aNews, std::uint64_t aNext)
{
  m_follower.SkipTo(aNext);
  m_onNews(aNews);
}

void
TopicFeed::SetAnswers(bool aAnswers, const StoreResponse& aAnswer)
{
  if (aAnswers == m_answers) {
    return;
  }
  m_answers = aAnswers;
  EventLog::Line(
    m_context.m_log, aAnswers ? Event::StoreRegained : Event::StoreLost, Now())
    .Add("topic", m_topic)
    .Add("status", static_cast<std::int64_t>(aAnswer.m_status))
    .Add("error", aAnswer.m_error);
  m_onHealth(aAnswers);
}

} // namespace walnutwing::router
