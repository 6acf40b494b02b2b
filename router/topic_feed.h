#ifndef WALNUTWING_ROUTER_TOPIC_FEED_H_
#define WALNUTWING_ROUTER_TOPIC_FEED_H_

// Drives a TopicFollower over its own connection to the platform's store, and
// reports when the topic becomes unavailable and available again. While the hub
// of the zone reads the topic and reports changes, it makes no calls itself.

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
  // Called when a call fails after a successful one, and the reverse.
  using OnHealth = std::function<void(bool aAvailable)>;
  // Called when a response shows that the store was restored.
  using OnEra =
    std::function<void(const std::string& aTopic, const EraChange& aChange)>;

  TopicFeed(Context& aContext,
            std::string aTopic,
            FollowerOptions aOptions,
            OnUpdate aOnUpdate,
            OnHealth aOnHealth);
  TopicFeed(const TopicFeed&) = delete;
  TopicFeed& operator=(const TopicFeed&) = delete;

  void Start() { CallNext(); }

  void SetEraHandler(OnEra aOnEra) { m_onEra = std::move(aOnEra); }

  // Makes no calls until aUntil, except by ReadNow, because another daemon
  // reads the topic and reports changes.
  void RelyOnPeer(Time aUntil) { m_relyOnPeerUntil = aUntil; }

  void SetOptions(FollowerOptions aOptions) { m_follower.SetOptions(aOptions); }

  // Reads at once; after the call in flight if there is one, or after the retry
  // delay if the store has just failed.
  void ReadNow();

  // Fetches the newest record of each key like ReadNow. Does nothing while a
  // call is in flight.
  void ReadNewest();

  // The same, but after the call in flight if there is one.
  void ReadNewestSoon();

  // Another topic or a peer has seen a new era of the store. Reads the store
  // itself instead of relying on peers; the response states the era.
  void OnOtherEra();

  // Applies records that another daemon has read, up to but excluding offset
  // aNext.
  void OnForwardedRecords(const TopicUpdate& aUpdate, std::uint64_t aNext);

  // Whether the last call succeeded, and when a call last succeeded.
  bool StoreAvailable() const { return m_storeAvailable; }
  Time LastResponseAt() const { return m_lastResponseAt; }
  const TopicFollower& Follower() const { return m_follower; }

  // Whether the complete topic was read at least once.
  bool Loaded() const { return m_loaded; }
  const StoreChannel& Channel() const { return *m_channel; }

private:
  void CallNext();
  void ScheduleCall(Duration aDelay);
  void OnResponse(const StoreResponse& aResponse);
  TopicUpdate Apply(const StoreResponse& aResponse);
  void SetStoreAvailable(bool aAvailable, const StoreResponse& aResponse);

  Context& m_context;
  std::string m_topic;
  TopicFollower m_follower;
  OnUpdate m_onUpdate;
  OnHealth m_onHealth;
  OnEra m_onEra;
  std::shared_ptr<StoreChannel> m_channel;
  Timer m_timer;
  bool m_loaded = false;
  bool m_storeAvailable = true;
  bool m_callInFlight = false;
  bool m_readRequested = false;   // call again without delay
  bool m_newestRequested = false; // and fetch the newest records
  Time m_lastCallAt;
  Time m_lastResponseAt;
  Time m_relyOnPeerUntil;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FEED_H_
