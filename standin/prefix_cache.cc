// The usual LRU cache: a list in order of use and an index into it.

#include "standin/prefix_cache.h"

namespace walnutwing::standin {

bool
PrefixCache::Use(const std::string& aChat, Time aNow)
{
  const auto found = m_chats.find(aChat);
  if (found != m_chats.end()) {
    m_order.splice(m_order.begin(), m_order, found->second);
    return true;
  }
  if (aChat.empty() || m_options.m_capacity == 0) {
    return false;
  }
  m_order.push_front(aChat);
  m_chats[aChat] = m_order.begin();
  Publish(true, aChat, aNow);
  if (m_order.size() > m_options.m_capacity) {
    Publish(false, m_order.back(), aNow);
    m_chats.erase(m_order.back());
    m_order.pop_back();
  }
  return false;
}

void
PrefixCache::Clear(Time aNow)
{
  for (const std::string& chat : m_order) {
    Publish(false, chat, aNow);
  }
  m_order.clear();
  m_chats.clear();
}

std::vector<PrefixCache::Event>
PrefixCache::Events(std::uint64_t aFromSequence, Time aNow) const
{
  std::vector<Event> visible;
  for (const Event& event : m_events) {
    if (event.m_sequence < aFromSequence ||
        event.m_at + m_options.m_eventLag > aNow) {
      continue;
    }
    visible.push_back(event);
  }
  return visible;
}

void
PrefixCache::Publish(bool aStored, const std::string& aChat, Time aNow)
{
  ++m_lastSequence;
  if (m_random() % 100 < m_options.m_eventLossPercent) {
    return;
  }
  m_events.push_back({ m_lastSequence, aStored, aChat, aNow });
  if (m_events.size() > m_options.m_maxEvents) {
    m_events.pop_front();
  }
}

} // namespace walnutwing::standin
