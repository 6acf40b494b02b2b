#ifndef WALNUTWING_ROUTER_TOPIC_FEED_H_
#define WALNUTWING_ROUTER_TOPIC_FEED_H_

// Drives a TopicFollower over a connection of its own to the platform's store,
// and tells when the topic is lost and regained.

#include <functional>
#include <memory>
#include <string>

#include "router/context.h"
#include "router/store_channel.h"
#include "router/topic_follower.h"

namespace walnutwing::router {

class TopicFeed
{
public:
  using OnNews = std::function<void(const TopicNews&)>;
  // Called when a call fails after one that did not, and the other way round.
  using OnHealth = std::function<void(bool aAnswers)>;

  TopicFeed(Context& aContext,
            std::string aTopic,
            FollowerOptions aOptions,
            OnNews aOnNews,
            OnHealth aOnHealth);
  TopicFeed(const TopicFeed&) = delete;
  TopicFeed& operator=(const TopicFeed&) = delete;

  void Start() { CallNext(); }

  // Whether the whole topic was read at least once.
  bool Loaded() const { return m_loaded; }
  const StoreChannel& Channel() const { return *m_channel; }

private:
  void CallNext();
  void OnAnswer(const StoreAnswer& aAnswer);
  void SetAnswers(bool aAnswers, const StoreAnswer& aAnswer);

  Context& m_context;
  std::string m_topic;
  TopicFollower m_follower;
  OnNews m_onNews;
  OnHealth m_onHealth;
  std::shared_ptr<StoreChannel> m_channel;
  Timer m_timer;
  bool m_loaded = false;
  bool m_answers = true;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FEED_H_
