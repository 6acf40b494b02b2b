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
  using OnUpdate = std::function<void(const TopicUpdate&)>;
  // Called when a call fails after one that did not, and the other way round.
  using OnHealth = std::function<void(bool aAvailable)>;

  TopicFeed(Context& aContext,
            std::string aTopic,
            FollowerOptions aOptions,
            OnUpdate aOnUpdate,
            OnHealth aOnHealth);
  TopicFeed(const TopicFeed&) = delete;
  TopicFeed& operator=(const TopicFeed&) = delete;

  void Start() { CallNext(); }

  // Another daemon reads the topic, and tells when it changes: no calls until
  // aUntil, unless ReadNow asks for one.
  void RelyOnPeer(Time aUntil) { m_relyOnPeerUntil = aUntil; }

  void SetOptions(FollowerOptions aOptions) { m_follower.SetOptions(aOptions); }

  // Reads without delay.
  void ReadNow();

  // Fetches the newest records without delay, unless a call is in progress.
  void ReadNewest();

  // Records that another daemon has read, of the offsets before aNext.
  void OnForwardedRecords(const TopicUpdate& aUpdate, std::uint64_t aNext);

  // Whether the store answered the last call, and when.
  bool StoreAvailable() const { return m_storeAvailable; }
  Time LastResponseAt() const { return m_lastResponseAt; }
  const TopicFollower& Follower() const { return m_follower; }

  // Whether the whole topic was read at least once.
  bool Loaded() const { return m_loaded; }
  const StoreChannel& Channel() const { return *m_channel; }

private:
  void CallNext();
  void ScheduleCall(Duration aDelay);
  void OnResponse(const StoreResponse& aResponse);
  void SetStoreAvailable(bool aAvailable, const StoreResponse& aResponse);

  Context& m_context;
  std::string m_topic;
  TopicFollower m_follower;
  OnUpdate m_onUpdate;
  OnHealth m_onHealth;
  std::shared_ptr<StoreChannel> m_channel;
  Timer m_timer;
  bool m_loaded = false;
  bool m_storeAvailable = true;
  bool m_callInFlight = false;
  bool m_readRequested = false; // call once more after the present call
  Time m_lastCallAt;
  Time m_lastResponseAt;
  Time m_relyOnPeerUntil;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FEED_H_
