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

// Short form of a log record.
struct RecordSpec
{
  char m_kind; // 'c'laim, 'v'oid, 'o'utcome, 'u'nknown outcome, '?' unparsable
  int m_claim = 0;
  int m_key = 0;
  Duration m_after{}; // time after the issue time of the keys
};

std::ostream&
operator<<(std::ostream& aStream, const RecordSpec& aSpec)
{
  return aStream << aSpec.m_kind << aSpec.m_claim << "/k" << aSpec.m_key << "@"
                 << aSpec.m_after.count();
}

template<typename Message>
void
Fill(Message* aMessage, const RecordSpec& aSpec)
{
  aMessage->set_customer(kCustomer.Value());
  aMessage->set_key(Key(aSpec.m_key).Value());
  *aMessage->mutable_claim() = ToProto(Claim(aSpec.m_claim));
}

std::string
BodyOf(const RecordSpec& aSpec)
{
  proto::OrderRecord record;
  switch (aSpec.m_kind) {
    case 'c':
      Fill(record.mutable_claim(), aSpec);
      record.mutable_claim()->set_body_sha256("sha");
      break;
    case 'v':
      Fill(record.mutable_void_(), aSpec);
      break;
    case '?':
      return "\xff\xff";
    default:
      Fill(record.mutable_outcome(), aSpec);
      record.mutable_outcome()->set_unknown(aSpec.m_kind == 'u');
      record.mutable_outcome()->set_body("by " + std::to_string(aSpec.m_claim));
  }
  return record.SerializeAsString();
}

ClaimIndex
BuildIndex(const std::vector<RecordSpec>& aSpecs)
{
  ClaimIndex index(kOptions);
  std::uint64_t offset = 0;
  for (const RecordSpec& spec : aSpecs) {
    proto::LogRecord record;
    record.set_offset(++offset);
    record.set_at_ms((kIssued + spec.m_after).time_since_epoch().count());
    record.set_body(BodyOf(spec));
    index.Apply(record);
  }
  return index;
}

// "free" without a holder, else "2", "2=by 2" or "2=?" for a holder without a
// result, with a result, or with an unknown one.
std::string
Describe(const ClaimIndex& aIndex, int aKey)
{
  const KeyHolder* holder = aIndex.Find(kCustomer, Key(aKey));
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

TEST(ClaimIndex, HolderFollowsClaimVoidAndOutcomeRecords)
{
  const struct
  {
    std::vector<RecordSpec> m_specs;
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
  for (const auto& [specs, holder] : cases) {
    EXPECT_EQ(holder, Describe(BuildIndex(specs), 0))
      << ::testing::PrintToString(specs);
  }
}

// Reference implementation of the rules in claim_index.h: scans all records for
// one key and keeps no index.
class ReferenceIndex
{
public:
  explicit ReferenceIndex(const std::vector<RecordSpec>& aSpecs)
    : m_specs(aSpecs)
  {
  }

  std::string Describe(int aKey) const
  {
    const RecordSpec* holder = nullptr;
    for (std::size_t i = 0; i < m_specs.size(); ++i) {
      const RecordSpec& spec = m_specs[i];
      if (spec.m_key != aKey) {
        continue;
      }
      if (spec.m_kind == 'c' && holder == nullptr && !IsInvalidAt(i)) {
        holder = &spec;
      }
      if (spec.m_kind == 'v' && holder != nullptr &&
          holder->m_claim == spec.m_claim) {
        holder = nullptr;
      }
    }
    return holder == nullptr
             ? "free"
             : std::to_string(holder->m_claim) + ResultAfter(holder);
  }

private:
  // Whether the claim cannot become the holder: it is outside its key's time,
  // was voided earlier, or follows a copy of itself that was within that time.
  bool IsInvalidAt(std::size_t aPosition) const
  {
    const RecordSpec& claim = m_specs[aPosition];
    if (claim.m_after < -kLimits.m_maxSkew ||
        claim.m_after > kLimits.m_lifetime) {
      return true;
    }
    for (std::size_t i = 0; i < aPosition; ++i) {
      const RecordSpec& spec = m_specs[i];
      if (spec.m_key != claim.m_key || spec.m_claim != claim.m_claim) {
        continue;
      }
      if (spec.m_kind == 'v' || (spec.m_kind == 'c' && IsWithinKeyTime(spec))) {
        return true;
      }
    }
    return false;
  }

  static bool IsWithinKeyTime(const RecordSpec& aSpec)
  {
    return aSpec.m_after >= -kLimits.m_maxSkew &&
           aSpec.m_after <= kLimits.m_lifetime;
  }

  std::string ResultAfter(const RecordSpec* aHolder) const
  {
    std::string result;
    for (const RecordSpec& spec : std::span(aHolder, &m_specs.back() + 1)) {
      if (spec.m_key != aHolder->m_key || spec.m_claim != aHolder->m_claim) {
        continue;
      }
      if (spec.m_kind == 'o' && (result.empty() || result == "=?")) {
        result = "=by " + std::to_string(spec.m_claim);
      }
      if (spec.m_kind == 'u' && result.empty()) {
        result = "=?";
      }
    }
    return result;
  }

  const std::vector<RecordSpec>& m_specs;
};

rc::Gen<std::vector<RecordSpec>>
RandomSpecs()
{
  const auto spec = rc::gen::build<RecordSpec>(
    rc::gen::set(&RecordSpec::m_kind,
                 rc::gen::element('c', 'c', 'v', 'o', 'u')),
    rc::gen::set(&RecordSpec::m_claim, rc::gen::inRange(1, 5)),
    rc::gen::set(&RecordSpec::m_key, rc::gen::inRange(0, 2)),
    rc::gen::set(&RecordSpec::m_after,
                 rc::gen::map(rc::gen::inRange(-9, 65), [](int aSeconds) {
                   return Duration(1s) * aSeconds;
                 })));
  return rc::gen::map(rc::gen::container<std::vector<RecordSpec>>(spec),
                      [](std::vector<RecordSpec> aSpecs) {
                        std::stable_sort(
                          aSpecs.begin(),
                          aSpecs.end(),
                          [](const RecordSpec& aOne, const RecordSpec& aTwo) {
                            return aOne.m_after < aTwo.m_after;
                          });
                        return aSpecs;
                      });
}

TEST(ClaimIndex, MatchesFullRescanForRandomRecords)
{
  rc::detail::TestParams params;
  params.seed = 20261203;
  params.maxSuccess = 3000;
  const auto property = [] {
    const std::vector<RecordSpec> specs = *RandomSpecs();
    const ClaimIndex index = BuildIndex(specs);
    const ReferenceIndex reference(specs);
    for (const int key : { 0, 1 }) {
      RC_ASSERT(reference.Describe(key) == Describe(index, key));
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

TEST(ClaimIndex, StateOfReportsHolderInvalidAndUnseenClaims)
{
  const ClaimIndex index = BuildIndex({ { 'c', 1 }, { 'c', 2 }, { 'v', 3 } });
  const auto state = [&index](int aClaim) {
    return index.StateOf(kCustomer, Key(0), Claim(aClaim));
  };
  EXPECT_EQ(ClaimState::Holder, state(1));
  EXPECT_EQ(ClaimState::Invalid, state(2));
  EXPECT_EQ(ClaimState::Invalid, state(3));
  EXPECT_EQ(ClaimState::Unseen, state(4));
}

TEST(ClaimIndex, DropsOldestBodiesAndExpiredEntries)
{
  std::vector<RecordSpec> specs;
  for (int key = 0; key < 500; ++key) {
    specs.push_back({ 'c', 1, key });
    specs.push_back({ 'o', 1, key });
  }
  const ClaimIndex full = BuildIndex(specs);
  EXPECT_EQ(500U, full.KeyCount());
  // 1,000 bytes of bodies are kept: the newest 250, "by 1" each.
  EXPECT_EQ("1=", Describe(full, 249));
  EXPECT_EQ("1=by 1", Describe(full, 250));
  EXPECT_TRUE(full.Find(kCustomer, Key(249))->m_result->m_bodyTooLarge);

  specs.push_back({ '?', 0, 0, 76s });
  const ClaimIndex emptied = BuildIndex(specs);
  EXPECT_EQ(0U, emptied.KeyCount());
  EXPECT_EQ(BuildIndex({}).MemoryBytes(), emptied.MemoryBytes());
  EXPECT_EQ(1U, emptied.UnreadableRecords());
}

} // namespace
} // namespace walnutwing
