#include "router/topic_feed.h"

#include <utility>

namespace walnutwing::router {
namespace {

// Beyond the wait that a read asks for.
constexpr Duration kAnswerTime = std::chrono::milliseconds(700);
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
  m_channel->Call(m_follower.NextCall(),
                  m_follower.CallWait() + kAnswerTime,
                  [this](const StoreAnswer& aAnswer) { OnAnswer(aAnswer); });
}

void
TopicFeed::OnAnswer(const StoreAnswer& aAnswer)
{
  const TopicNews news = m_follower.OnAnswer(aAnswer.m_status, aAnswer.m_body);
  SetAnswers(news.m_understood, aAnswer);
  if (news.m_understood) {
    m_loaded = m_loaded || news.m_whole;
    m_onNews(news);
  }
  Duration delay = m_follower.Delay();
  if (!news.m_understood) {
    std::uniform_real_distribution<double> spread(1.0, 1.0 + kRetrySpread);
    delay = Duration(static_cast<Duration::rep>(
      static_cast<double>(delay.count()) * spread(m_context.m_random)));
  }
  m_timer.expires_after(delay);
  m_timer.async_wait([this](const error_code& aError) {
    if (!aError) {
      CallNext();
    }
  });
}

void
TopicFeed::SetAnswers(bool aAnswers, const StoreAnswer& aAnswer)
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
