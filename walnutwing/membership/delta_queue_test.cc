#include "walnutwing/membership/delta_queue.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

DeltaKey
Key(const std::string& aSubject)
{
  return { DeltaKind::Member, aSubject };
}

// Sends up to aCapacity deltas and returns their subjects, concatenated.
std::string
Send(DeltaQueue& aQueue, const std::string& aZone, std::size_t aCapacity)
{
  std::string sent;
  aQueue.Send(ZoneId(aZone), [&](const DeltaKey& aKey) {
    if (sent.size() == aCapacity) {
      return false;
    }
    sent += aKey.m_subject;
    return true;
  });
  return sent;
}

TEST(DeltaQueue, ChangesPrecedeLoadAndOldestGoesFirst)
{
  DeltaQueue queue;
  queue.Put(Key("l"), DeltaUrgency::Load, 1, {}, 0);
  queue.Put(Key("a"), DeltaUrgency::Change, 2, { ZoneId("z") }, 1);
  queue.Put(Key("b"), DeltaUrgency::Change, 1, {}, 0);
  queue.Put(Key("a"), DeltaUrgency::Change, 2, {}, 0); // keeps its position
  EXPECT_TRUE(queue.HasPendingChange(ZoneId()));
  EXPECT_EQ("a", Send(queue, "", 1));
  EXPECT_EQ("ab", Send(queue, "", 2));
  EXPECT_FALSE(queue.HasPendingChange(ZoneId()));
  EXPECT_EQ("l", Send(queue, "", 2));
  EXPECT_TRUE(queue.HasPendingChange(ZoneId("z")));
  EXPECT_EQ("a", Send(queue, "z", 9));
  EXPECT_EQ(0U, queue.Size());
}

// Compares the queue with a plain list that is scanned linearly.
TEST(DeltaQueue, MatchesReferenceListUnderRandomOperations)
{
  struct Entry
  {
    std::string m_subject;
    std::uint32_t m_left;
  };
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    DeltaQueue queue;
    std::vector<Entry> reference;
    for (int i = 0; i < 60; ++i) {
      const std::string subject(1, static_cast<char>('a' + random() % 6));
      const auto sends = static_cast<std::uint32_t>(1 + random() % 3);
      if (random() % 2 == 0) {
        queue.Put(Key(subject), DeltaUrgency::Change, sends, {}, 0);
        const auto found = std::find_if(
          reference.begin(), reference.end(), [&](const Entry& aEntry) {
            return aEntry.m_subject == subject;
          });
        if (found == reference.end()) {
          reference.push_back({ subject, sends });
        } else {
          found->m_left = std::max(found->m_left, sends);
        }
        continue;
      }
      const std::size_t capacity = random() % 5;
      std::string expected;
      for (Entry& entry : reference) {
        if (expected.size() < capacity) {
          expected += entry.m_subject;
          --entry.m_left;
        }
      }
      std::erase_if(reference,
                    [](const Entry& aEntry) { return aEntry.m_left == 0; });
      ASSERT_EQ(expected, Send(queue, "", capacity)) << "seed " << seed;
    }
  }
}

} // namespace
} // namespace walnutwing
