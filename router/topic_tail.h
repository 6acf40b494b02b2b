#ifndef WALNUTWING_ROUTER_TOPIC_TAIL_H_
#define WALNUTWING_ROUTER_TOPIC_TAIL_H_

// Reads a topic of the platform's store to its end, each time that somebody
// asks, from where the last read ended. Unlike TopicFeed it costs no call while
// nobody asks. What is asked for during a read gets a read of its own, so that
// the answer shows the topic as it was after the question.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "router/context.h"
#include "router/store_channel.h"

namespace walnutwing::router {

// What to do if records were deleted before they were read.
enum class TopicGap
{
  Skip,     // go on with the first that are left
  FailRead, // the read is not complete
};

class TopicTail
{
public:
  using OnRecords =
    std::function<void(const std::vector<platform::StoreRecord>&)>;
  // Whether the topic was read to its end.
  using OnRead = std::function<void(bool aComplete)>;

  // aOnRecords gets the records of each response, in the order of the topic. An
  // exception from it fails the read.
  TopicTail(Context& aContext,
            std::string aTopic,
            TopicGap aOnGap,
            OnRecords aOnRecords);
  TopicTail(const TopicTail&) = delete;
  TopicTail& operator=(const TopicTail&) = delete;

  // aOnRead is called once, never from within Read.
  void Read(OnRead aOnRead);

  // Skips records that are known from elsewhere. aEra: of the store, in which
  // aNext counts.
  void SkipTo(std::uint64_t aNext, std::optional<std::uint64_t> aEra);

  const StoreChannel& Channel() const { return *m_channel; }

private:
  void Call();
  void OnResponse(const StoreResponse& aResponse);
  bool Apply(const StoreResponse& aResponse);
  void Finish(bool aComplete);

  Context& m_context;
  std::string m_topic;
  TopicGap m_onGap;
  OnRecords m_onRecords;
  std::shared_ptr<StoreChannel> m_channel;
  std::uint64_t m_next = 0;
  std::optional<std::uint64_t> m_era;
  int m_calls = 0;               // of the read in progress
  bool m_atEnd = false;          // of the topic, in the read in progress
  std::vector<OnRead> m_asking;  // for the read in progress
  std::vector<OnRead> m_waiting; // for the next one
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_TAIL_H_
