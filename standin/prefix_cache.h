#ifndef WALNUTWING_STANDIN_PREFIX_CACHE_H_
#define WALNUTWING_STANDIN_PREFIX_CACHE_H_

// The prefix cache of an engine: the chats whose prompts it still holds, the
// least recently used one evicted first, and the events that it publishes about
// them, late and with gaps.

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
    Duration m_eventLag{ 1000 };
    std::uint32_t m_eventLossPercent = 5;
    std::size_t m_maxEvents = 1000;
  };

  struct Event
  {
    std::uint64_t m_sequence = 0; // dense from 1; gaps show lost events
    bool m_stored = false;        // or evicted
    std::string m_chat;
    Time m_at;
  };

  // aSeed decides which events are lost.
  PrefixCache(Options aOptions, std::uint64_t aSeed)
    : m_options(aOptions)
    , m_random(aSeed)
  {
  }

  // Uses the chat's prefix and keeps it. True if it was held before.
  bool Use(const std::string& aChat, Time aNow);

  // Drops everything, as a restarted engine does.
  void Clear(Time aNow);

  // Events from aFromSequence on that are old enough to be seen.
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
