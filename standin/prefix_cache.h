#ifndef WALNUTWING_STANDIN_PREFIX_CACHE_H_
#define WALNUTWING_STANDIN_PREFIX_CACHE_H_

// LRU prefix cache of an engine: holds the chats whose prompts are cached and
// publishes an event for each chat that is stored or evicted. Events become
// visible late, and some are lost.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

class PrefixCache
{
public:
  struct Options
  {
    std::size_t m_capacity = 64; // chats
    Duration m_eventLag{ 1000 }; // until an event is visible
    std::uint32_t m_eventLossPercent = 5;
    std::size_t m_maxEvents = 1000; // kept for reading
  };

  struct Event
  {
    std::uint64_t m_sequence = 0; // consecutive from 1; a gap is a lost event
    bool m_stored = false;        // false: evicted
    std::string m_chat;
    Time m_at;
  };

  // aSeed decides which events are lost.
  PrefixCache(Options aOptions, std::uint64_t aSeed)
    : m_options(aOptions)
    , m_random(aSeed)
  {
  }

  // Marks the chat's prefix as used and caches it. Returns whether it was
  // cached before. An empty chat is never cached.
  bool Use(const std::string& aChat, Time aNow);

  // Evicts everything, as a restart of the engine does.
  void Clear(Time aNow);

  // Returns the kept events from sequence number aFromSequence on that are at
  // least m_eventLag old.
  std::vector<Event> Events(std::uint64_t aFromSequence, Time aNow) const;

  std::size_t Size() const { return m_order.size(); }

private:
  void Publish(bool aStored, const std::string& aChat, Time aNow);

  Options m_options;
  std::mt19937_64 m_random;
  std::list<std::string> m_order; // most recently used first
  std::unordered_map<std::string, std::list<std::string>::iterator> m_chats;
  std::uint64_t m_lastSequence = 0;
  std::deque<Event> m_events;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_PREFIX_CACHE_H_
