#ifndef WALNUTWING_ROUTER_TOPIC_FEED_H_
#define WALNUTWING_ROUTER_TOPIC_FEED_H_

// Drives a TopicFollower over a connection of its own to the platform's store,
// and tells when the topic is lost and regained. While another daemon passes
// the topic on, it does not call the store itself.

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

  // Another daemon reads the topic, and tells when it changes: no calls until
  // aUntil, unless ReadNow asks for one.
  void RelyOnOther(Time aUntil) { m_reliesUntil = aUntil; }

  void SetOptions(FollowerOptions aOptions) { m_follower.SetOptions(aOptions); }

  // Reads without delay.
  void ReadNow();

  // Fetches the newest records without delay, unless a call is in progress.
  void ReadNewest();

  // Records that another daemon has read, of the offsets before aNext.
  void OnPassed(const TopicNews& aNews, std::uint64_t aNext);

  // Whether the store answered the last call, and when.
  bool Answers() const { return m_answers; }
  Time AnsweredAt() const { return m_answeredAt; }
  const TopicFollower& Follower() const { return m_follower; }

  // Whether the whole topic was read at least once.
  bool Loaded() const { return m_loaded; }
  const StoreChannel& Channel() const { return *m_channel; }

private:
  void CallNext();
  void CallAfter(Duration aDelay);
  void OnAnswer(const StoreResponse& aAnswer);
  void SetAnswers(bool aAnswers, const StoreResponse& aAnswer);

  Context& m_context;
  std::string m_topic;
  TopicFollower m_follower;
  OnNews m_onNews;
  OnHealth m_onHealth;
  std::shared_ptr<StoreChannel> m_channel;
  Timer m_timer;
  bool m_loaded = false;
  bool m_answers = true;
  bool m_calling = false;
  bool m_again = false; // call once more after the present call
  Time m_calledAt;
  Time m_answeredAt;
  Time m_reliesUntil;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FEED_H_
