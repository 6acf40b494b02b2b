#include "walnutwing/orders/claim_index.h"

#include <algorithm>

#include <span>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace walnutwing {
namespace {

using namespace std::chrono_literals;

const WallTime kIssued{ std::chrono::hours(24 * 20000) };
const OrderKeyLimits kLimits{ .m_lifetime = 60s, .m_maxSkew = 5s };
const ClaimIndexOptions kOptions{ kLimits, 10s, 1000 };
const CustomerId kCustomer("c");

OrderKey
Key(int aNumber)
{
  return MakeOrderKey(kIssued, "k" + std::to_string(aNumber));
}

ClaimId
Claim(int aNumber)
{
  return { DaemonId("d"), 1, static_cast<std::uint64_t>(aNumber) };
}

// A record in short: what it is, of which key and claim, and when.
struct Entry
{
  char m_kind; // 'c'laim, 'v'oid, 'o'utcome, 'u'nknown outcome, '?' garbage
  int m_claim = 0;
  int m_key = 0;
  Duration m_after{}; // the issue time of the keys
};

std::ostream&
operator<<(std::ostream& aStream, const Entry& aEntry)
{
  return aStream << aEntry.m_kind << aEntry.m_claim << "/k" << aEntry.m_key
                 << "@" << aEntry.m_after.count();
}

template<typename Message>
void
Fill(Message* aMessage, const Entry& aEntry)
{
  aMessage->set_customer(kCustomer.Value());
  aMessage->set_key(Key(aEntry.m_key).Value());
  *aMessage->mutable_claim() = ToProto(Claim(aEntry.m_claim));
}

std::string
BodyOf(const Entry& aEntry)
{
  proto::OrderRecord record;
  switch (aEntry.m_kind) {
    case 'c':
      Fill(record.mutable_claim(), aEntry);
      record.mutable_claim()->set_body_sha256("sha");
      break;
    case 'v':
      Fill(record.mutable_void_(), aEntry);
      break;
    case '?':
      return "\xff\xff";
    default:
      Fill(record.mutable_outcome(), aEntry);
      record.mutable_outcome()->set_unknown(aEntry.m_kind == 'u');
      record.mutable_outcome()->set_body("by " +
                                         std::to_string(aEntry.m_claim));
  }
  return record.SerializeAsString();
}

ClaimIndex
IndexOf(const std::vector<Entry>& aEntries)
{
  ClaimIndex index(kOptions);
  std::uint64_t offset = 0;
  for (const Entry& entry : aEntries) {
    proto::LogRecord record;
    record.set_offset(++offset);
    record.set_at_ms((kIssued + entry.m_after).time_since_epoch().count());
    record.set_body(BodyOf(entry));
    index.Apply(record);
  }
  return index;
}

// "2", "2=by 2" or "2=?" for a holder without, with or with unknown result.
std::string
Describe(const ClaimIndex& aIndex, int aKey)
{
  const HeldClaim* holder = aIndex.Find(kCustomer, Key(aKey));
  if (holder == nullptr) {
    return "free";
  }
  std::string text = std::to_string(holder->m_claim.m_sequence);
  if (holder->m_result) {
    text +=
      "=" + (holder->m_result->m_unknown ? "?" : holder->m_result->m_body);
  }
  return text;
}

TEST(ClaimIndex, FollowsItsRules)
{
  const struct
  {
    std::vector<Entry> m_entries;
    std::string m_holder;
  } cases[] = {
    { {}, "free" },
    { { { 'c', 1 } }, "1" },
    { { { 'c', 1 }, { 'c', 2 } }, "1" },
    { { { 'c', 1 }, { 'v', 2 }, { 'c', 2 } }, "1" },
    { { { 'v', 1 }, { 'c', 1 }, { 'c', 2 } }, "2" },
    { { { 'c', 1 }, { 'v', 1 } }, "free" },
    { { { 'c', 1 }, { 'v', 1 }, { 'c', 1 } }, "free" },
    { { { 'c', 1 }, { 'v', 1 }, { 'c', 2 } }, "2" },
    { { { 'c', 1 }, { 'c', 2 }, { 'v', 1 } }, "free" },
    { { { 'c', 1 }, { 'c', 2 }, { 'v', 1 }, { 'c', 2 } }, "free" },
    { { { 'c', 1 }, { 'c', 1 }, { 'v', 1 } }, "free" },
    { { { 'c', 1 }, { 'o', 1 } }, "1=by 1" },
    { { { 'c', 1 }, { 'o', 2 } }, "1" },
    { { { 'o', 1 }, { 'c', 1 } }, "1" },
    { { { 'c', 1 }, { 'u', 1 } }, "1=?" },
    { { { 'c', 1 }, { 'u', 1 }, { 'o', 1 } }, "1=by 1" },
    { { { 'c', 1 }, { 'o', 1 }, { 'u', 1 } }, "1=by 1" },
    { { { '?' }, { 'c', 1 } }, "1" },
    { { { 'c', 1, 0, 60s } }, "1" },
    { { { 'c', 1, 0, 61s } }, "free" },
    { { { 'c', 1, 0, -5s } }, "1" },
    { { { 'c', 1, 0, -6s }, { 'c', 2 } }, "2" },
    { { { 'c', 1 }, { '?', 0, 0, 75s } }, "1" },
    { { { 'c', 1 }, { '?', 0, 0, 76s } }, "free" },
    { { { 'c', 1 }, { '?', 0, 0, 76s }, { 'c', 2, 0, 76s } }, "free" },
  };
  for (const auto& [entries, holder] : cases) {
    EXPECT_EQ(holder, Describe(IndexOf(entries), 0))
      << ::testing::PrintToString(entries);
  }
}

// Rescans the whole prefix for one key, with the rules as they are written in
// the header and no state between two records.
class NaiveIndex
{
public:
  explicit NaiveIndex(const std::vector<Entry>& aEntries)
    : m_entries(aEntries)
  {
  }

  std::string Describe(int aKey) const
  {
    const Entry* holder = nullptr;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      const Entry& entry = m_entries[i];
      if (entry.m_key != aKey) {
        continue;
      }
      if (entry.m_kind == 'c' && holder == nullptr && !IsDeadAt(i)) {
        holder = &entry;
      }
      if (entry.m_kind == 'v' && holder != nullptr &&
          holder->m_claim == entry.m_claim) {
        holder = nullptr;
      }
    }
    return holder == nullptr
             ? "free"
             : std::to_string(holder->m_claim) + ResultAfter(holder);
  }

private:
  // Dead: out of its key's time, voided earlier, or an earlier copy of it lost.
  bool IsDeadAt(std::size_t aPosition) const
  {
    const Entry& claim = m_entries[aPosition];
    if (claim.m_after < -kLimits.m_maxSkew ||
        claim.m_after > kLimits.m_lifetime) {
      return true;
    }
    for (std::size_t i = 0; i < aPosition; ++i) {
      const Entry& entry = m_entries[i];
      if (entry.m_key != claim.m_key || entry.m_claim != claim.m_claim) {
        continue;
      }
      if (entry.m_kind == 'v' || (entry.m_kind == 'c' && InTime(entry))) {
        return true;
      }
    }
    return false;
  }

  static bool InTime(const Entry& aEntry)
  {
    return aEntry.m_after >= -kLimits.m_maxSkew &&
           aEntry.m_after <= kLimits.m_lifetime;
  }

  std::string ResultAfter(const Entry* aHolder) const
  {
    std::string result;
    for (const Entry& entry : std::span(aHolder, &m_entries.back() + 1)) {
      if (entry.m_key != aHolder->m_key || entry.m_claim != aHolder->m_claim) {
        continue;
      }
      if (entry.m_kind == 'o' && (result.empty() || result == "=?")) {
        result = "=by " + std::to_string(entry.m_claim);
      }
      if (entry.m_kind == 'u' && result.empty()) {
        result = "=?";
      }
    }
    return result;
  }

  const std::vector<Entry>& m_entries;
};

rc::Gen<std::vector<Entry>>
Histories()
{
  const auto entry = rc::gen::build<Entry>(
    rc::gen::set(&Entry::m_kind, rc::gen::element('c', 'c', 'v', 'o', 'u')),
    rc::gen::set(&Entry::m_claim, rc::gen::inRange(1, 5)),
    rc::gen::set(&Entry::m_key, rc::gen::inRange(0, 2)),
    rc::gen::set(&Entry::m_after,
                 rc::gen::map(rc::gen::inRange(-9, 65), [](int aSeconds) {
                   return Duration(1s) * aSeconds;
                 })));
  return rc::gen::map(rc::gen::container<std::vector<Entry>>(entry),
                      [](std::vector<Entry> aEntries) {
                        std::stable_sort(
                          aEntries.begin(),
                          aEntries.end(),
                          [](const Entry& aOne, const Entry& aTwo) {
                            return aOne.m_after < aTwo.m_after;
                          });
                        return aEntries;
                      });
}

TEST(ClaimIndex, AgreesWithARescanOfTheWholePrefix)
{
  rc::detail::TestParams params;
  params.seed = 20261203;
  params.maxSuccess = 3000;
  const auto property = [] {
    const std::vector<Entry> entries = *Histories();
    const ClaimIndex index = IndexOf(entries);
    const NaiveIndex naive(entries);
    for (const int key : { 0, 1 }) {
      RC_ASSERT(naive.Describe(key) == Describe(index, key));
    }
  };
  const auto result =
    rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << [&] {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
  }();
}

TEST(ClaimIndex, TellsWhatBecameOfAClaim)
{
  const ClaimIndex index = IndexOf({ { 'c', 1 }, { 'c', 2 }, { 'v', 3 } });
  const auto state = [&index](int aClaim) {
    return index.StateOf(kCustomer, Key(0), Claim(aClaim));
  };
  EXPECT_EQ(ClaimState::Holder, state(1));
  EXPECT_EQ(ClaimState::Dead, state(2));
  EXPECT_EQ(ClaimState::Dead, state(3));
  EXPECT_EQ(ClaimState::Unseen, state(4));
}

TEST(ClaimIndex, KeepsItsMemoryBounded)
{
  std::vector<Entry> entries;
  for (int key = 0; key < 500; ++key) {
    entries.push_back({ 'c', 1, key });
    entries.push_back({ 'o', 1, key });
  }
  const ClaimIndex full = IndexOf(entries);
  EXPECT_EQ(500U, full.KeyCount());
  // 1,000 bytes of bodies are kept, "by 1" each: the newest 250.
  EXPECT_EQ("1=", Describe(full, 249));
  EXPECT_EQ("1=by 1", Describe(full, 250));
  EXPECT_TRUE(full.Find(kCustomer, Key(249))->m_result->m_bodyTooLarge);

  entries.push_back({ '?', 0, 0, 76s });
  const ClaimIndex emptied = IndexOf(entries);
  EXPECT_EQ(0U, emptied.KeyCount());
  EXPECT_EQ(IndexOf({}).MemoryBytes(), emptied.MemoryBytes());
  EXPECT_EQ(1U, emptied.UnreadableRecords());
}

} // namespace
} // namespace walnutwing
