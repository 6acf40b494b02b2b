#ifndef WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_
#define WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_

// Follows one topic of the platform's store: first the newest record of each
// key, then every record that comes after. Where the store has dropped the
// records in between, it starts over with the newest ones.
//
// Pages of the newest records are no snapshot: records that are appended
// between two pages may be in neither order. So reading goes on from the end
// that the first page named, and records that were seen before are applied
// again.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_codec.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::router {

struct FollowerOptions
{
  Duration m_wait{};     // how long one read waits for a record
  Duration m_interval{}; // between two reads, so that records come in batches
  Duration m_firstRetry = std::chrono::milliseconds(150);
  Duration m_longestRetry = std::chrono::milliseconds(500); // doubles up to it
  // After a failure only the newest records are fetched, not all that came
  // meanwhile: for topics with large records of few keys.
  bool m_newestAfterFailure = false;
};

// What an answer of the store means.
struct TopicNews
{
  bool m_understood = false; // the store answered the call
  bool m_whole = false;      // m_records is all there is; other keys are gone
  std::vector<platform::StoreRecord> m_records;
};

class TopicFollower
{
public:
  TopicFollower(std::string aTopic, FollowerOptions aOptions)
    : m_topic(std::move(aTopic))
    , m_options(aOptions)
  {
  }

  // The call to make next, after Delay.
  platform::StoreRequest NextCall();
  Duration Delay() const;

  // How long that call may take by its own wait.
  Duration CallWait() const;

  void SetOptions(FollowerOptions aOptions) { m_options = aOptions; }

  // Whether the newest records are known, and records are read from Next on.
  bool Reading() const { return m_reading; }
  std::uint64_t Next() const { return m_nextOffset; }

  // The records before aNext came from another daemon.
  void SkipTo(std::uint64_t aNext)
  {
    m_nextOffset = std::max(m_nextOffset, aNext);
  }

  // Fetches the newest records next.
  void StartOver();

  // aStatus is 0 when no answer came.
  TopicNews OnAnswer(int aStatus, std::string_view aBody);

private:
  TopicNews OnNewest(std::string_view aBody);
  TopicNews OnRecords(std::string_view aBody);
  void OnFailure();

  std::string m_topic;
  FollowerOptions m_options;
  bool m_reading = false; // false: still fetching the newest records
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_readFrom = 0; // of the call in progress
  std::optional<std::uint64_t> m_firstEnd;
  std::string m_after;
  std::vector<platform::StoreRecord> m_pages;
  std::uint32_t m_failures = 0;
  bool m_urgent = true; // the next call need not wait
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_
