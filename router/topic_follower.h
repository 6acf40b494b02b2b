#ifndef WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_
#define WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_

// Follows one topic of the platform's store: fetches the newest record of each
// key page by page, then tails the log, reading every later record. If the
// store has dropped the records to read next, it fetches the newest ones again.
// So it does if the store was restored from an older copy, which its era shows.
//
// The pages are not a consistent snapshot, as records may be appended between
// two of them. So tailing starts at the end offset that the first page
// reported, and records that a later page already contained are applied twice.

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
  Duration m_wait{};     // how long a read waits for a record
  Duration m_interval{}; // between two reads, to read records in batches
  Duration m_initialRetryDelay = std::chrono::milliseconds(150);
  Duration m_maxRetryDelay =
    std::chrono::milliseconds(500); // cap of the doubling
  // After a failure, fetch only the newest record of each key rather than all
  // records since: for topics with large records of few keys.
  bool m_newestAfterFailure = false;
};

// The store was restored from an older copy.
struct EraChange
{
  std::uint64_t m_before = 0;
  std::uint64_t m_era = 0;
  std::uint64_t m_droppedOffset = 0; // up to which the topic had been read
};

// The decoded response to a call.
struct TopicUpdate
{
  bool m_succeeded = false;             // the store's response was usable
  std::optional<EraChange> m_eraChange; // the topic is read anew
  bool m_isSnapshot = false; // m_records is complete; other keys are gone
  std::vector<platform::StoreRecord> m_records;
  std::size_t m_unreadable = 0; // items of the response that were left out
};

class TopicFollower
{
public:
  TopicFollower(std::string aTopic, FollowerOptions aOptions)
    : m_topic(std::move(aTopic))
    , m_options(aOptions)
  {
  }

  // The next call, to be made after Delay().
  platform::StoreRequest NextCall();
  Duration Delay() const;

  // How long that call waits for a record at the store.
  Duration CallWait() const;

  void SetOptions(FollowerOptions aOptions) { m_options = aOptions; }

  // Whether the newest records were fetched, so that records are read from
  // offset Next() on.
  bool IsTailing() const { return m_tailing; }
  std::uint64_t Next() const { return m_nextOffset; }

  // Skips the records before offset aNext, which another daemon forwarded.
  // Never moves backward.
  void AdvanceTo(std::uint64_t aNext)
  {
    m_nextOffset = std::max(m_nextOffset, aNext);
  }

  // Makes the next call fetch the newest records, from the first page on.
  void RestartFromNewest();

  // The store's era by its last response that stated one.
  std::optional<std::uint64_t> Era() const { return m_era; }

  // aStatus is the HTTP status, or 0 if there was no response. aEra is the era
  // that the response states, if any. A response of a new era is not used: it
  // answers a request that was made with an offset of the era before.
  TopicUpdate OnResponse(int aStatus,
                         std::string_view aBody,
                         std::optional<std::uint64_t> aEra = std::nullopt);

private:
  TopicUpdate OnNewest(std::string_view aBody);
  TopicUpdate OnRecords(std::string_view aBody);
  void OnFailure();
  std::optional<EraChange> NoteEra(std::optional<std::uint64_t> aEra);

  std::string m_topic;
  FollowerOptions m_options;
  std::optional<std::uint64_t> m_era;
  bool m_tailing = false; // false while fetching the newest records
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_readFrom = 0; // offset of the call in flight
  std::optional<std::uint64_t> m_firstPageEnd;
  std::string m_pageCursor;
  std::vector<platform::StoreRecord> m_snapshotRecords;
  std::uint32_t m_failures = 0;
  bool m_callImmediately = true; // make the next call without delay
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TOPIC_FOLLOWER_H_
