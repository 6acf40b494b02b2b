#include "walnutwing/config/config_log.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "walnutwing/config/test_configs.h"

namespace walnutwing {
namespace {

// An in-memory log whose records can be read into a ConfigState.
class FakeLog
{
public:
  std::uint64_t Append(proto::ConfigRecord aRecord)
  {
    m_records.push_back(std::move(aRecord));
    return m_records.size();
  }

  // Reads the records that aState has not seen, from a log that has dropped the
  // records before aFirstOffset.
  std::vector<ConfigVerdict> Read(ConfigState* aState,
                                  std::uint64_t aFirstOffset = 1) const
  {
    std::vector<ConfigVerdict> verdicts;
    aState->OnTruncated(aFirstOffset);
    while (aState->NextOffset() <= m_records.size()) {
      const std::uint64_t offset = aState->NextOffset();
      aState->Apply(offset, AtMs(offset), m_records[offset - 1], &verdicts);
    }
    return verdicts;
  }

  static std::int64_t AtMs(std::uint64_t aOffset)
  {
    return 1'000 * static_cast<std::int64_t>(aOffset);
  }

  const std::vector<proto::ConfigRecord>& Records() const { return m_records; }

private:
  std::vector<proto::ConfigRecord> m_records;
};

ConfigState
StateOf(const FakeLog& aLog)
{
  ConfigState state(TestKeys());
  aLog.Read(&state);
  return state;
}

// Returns a log whose only record puts TestConfig() in force.
FakeLog
MakeStartedLog()
{
  FakeLog log;
  log.Append(Signed({}, "start", ReplaceAll(TestConfig())));
  return log;
}

TEST(ConfigLog, EachKindOfRecordGetsItsVerdict)
{
  const FakeLog started = MakeStartedLog();
  const proto::FleetConfig base = StateOf(started).Config();
  ASSERT_EQ(1U, base.version());
  proto::ConfigRecord forged = Signed(base, "x", SwitchPreset("night"));
  forged.set_switch_preset("ordinary");
  proto::ConfigRecord unknownOperator =
    Signed(base, "x", SwitchPreset("night"));
  unknownOperator.set_operator_name("nobody");
  proto::ConfigRecord otherResult = Signed(base, "x", SwitchPreset("night"));
  otherResult.set_result_sha256(Sha256("other"));
  SetSignature(TestKeys().m_keys.at(kTestOperator), &otherResult);
  proto::ConfigRecord partialOverride =
    Signed(base, "x", SwitchPreset("night"));
  partialOverride.set_override_base(true); // only replace_all may override
  partialOverride.set_base_version(0);
  SetSignature(TestKeys().m_keys.at(kTestOperator), &partialOverride);
  proto::ConfigRecord put;
  put.mutable_put_customer()->set_name("pilot");
  proto::ConfigRecord deletion;
  deletion.set_delete_customer("pilot");

  const struct
  {
    const char* m_name;
    proto::ConfigRecord m_record;
    VerdictKind m_kind;
  } cases[] = {
    { "switch",
      Signed(base, "x", SwitchPreset("night")),
      VerdictKind::Accepted },
    { "zone out", Signed(base, "x", ZoneOut("a")), VerdictKind::Accepted },
    { "base 0",
      Signed({}, "x", ReplaceAll(TestConfig(3))),
      VerdictKind::RejectedStaleBase },
    { "override",
      Signed({}, "x", ReplaceAll(TestConfig(3), true)),
      VerdictKind::Accepted },
    { "override of a part", partialOverride, VerdictKind::RejectedStaleBase },
    { "unknown preset",
      Signed(base, "x", SwitchPreset("peak")),
      VerdictKind::RejectedInvalid },
    { "zone not out",
      Signed(base, "x", ZoneBack("a")),
      VerdictKind::RejectedInvalid },
    { "customer without key",
      Signed(base, "x", put),
      VerdictKind::RejectedInvalid },
    { "unknown customer",
      Signed(base, "x", deletion),
      VerdictKind::RejectedInvalid },
    { "nothing", Signed(base, "x", {}), VerdictKind::RejectedInvalid },
    { "forged", forged, VerdictKind::RejectedSignature },
    { "stranger", unknownOperator, VerdictKind::RejectedSignature },
    { "other result", otherResult, VerdictKind::RejectedInvalid },
    { "unsigned", SwitchPreset("night"), VerdictKind::RejectedSignature },
    { "snapshot",
      StateOf(started).MakeSnapshot("s", 5),
      VerdictKind::SnapshotIgnored },
  };
  for (const auto& test : cases) {
    FakeLog log = started;
    log.Append(test.m_record);
    ConfigState state(TestKeys());
    const ConfigVerdict verdict = log.Read(&state).back();
    EXPECT_EQ(test.m_kind, verdict.m_kind)
      << test.m_name << " " << NameOf(verdict.m_kind);
    const bool accepted = test.m_kind == VerdictKind::Accepted;
    EXPECT_EQ(accepted ? 2U : 1U, state.Version()) << test.m_name;
    EXPECT_EQ(accepted ? 2'000 : 1'000, state.Config().changed_at_ms());
    EXPECT_EQ(kTestOperator, state.Config().changed_by());
  }
}

TEST(ConfigLog, FirstOfRacingChangesWins)
{
  for (int operators = 2; operators <= 8; ++operators) {
    FakeLog log = MakeStartedLog();
    const proto::FleetConfig base = StateOf(log).Config();
    for (int i = 0; i < operators; ++i) {
      log.Append(Signed(base, "race", ZoneOut("zone-" + std::to_string(i))));
    }
    const ConfigState state = StateOf(log);
    EXPECT_EQ(2U, state.Version());
    ASSERT_EQ(1, state.Config().zones_out_size());
    EXPECT_EQ("zone-0", state.Config().zones_out(0));
  }
}

TEST(ConfigLog, DuplicateAppendIsAcceptedOnce)
{
  FakeLog log = MakeStartedLog();
  const proto::FleetConfig base = StateOf(log).Config();
  const proto::ConfigRecord change = Signed(base, "x", ZoneOut("a"));
  log.Append(change);
  log.Append(Signed(StateOf(log).Config(), "y", ZoneBack("a")));
  log.Append(change);
  EXPECT_EQ(3U, StateOf(log).Version());
  EXPECT_EQ(0, StateOf(log).Config().zones_out_size());
}

// A change is appended between the making of a snapshot and its append, and the
// log then drops the records before the change. The change must still be
// evaluated.
TEST(ConfigLog, SnapshotDoesNotHideChangeAppendedBeforeIt)
{
  FakeLog log = MakeStartedLog();
  const ConfigState writer = StateOf(log);
  log.Append(Signed(writer.Config(), "x", ZoneOut("a")));
  log.Append(writer.MakeSnapshot("late", 5));
  log.Append(Signed(StateOf(log).Config(), "y", SwitchPreset("night")));
  for (const std::uint64_t first : { 1U, 2U }) {
    ConfigState reader(TestKeys());
    log.Read(&reader, first);
    EXPECT_TRUE(reader.Anchored());
    EXPECT_EQ(4U, reader.Version());
    EXPECT_TRUE(IsZoneOut(reader.Config(), "a"));
  }
  ConfigState tooLate(TestKeys());
  log.Read(&tooLate, 3);
  EXPECT_FALSE(tooLate.Anchored());
  EXPECT_EQ(0U, tooLate.Version()); // no configuration is adopted
}

TEST(ConfigLog, OnlyVerifiedConfigIsAdopted)
{
  FakeLog log = MakeStartedLog();
  const proto::FleetConfig good = StateOf(log).Config();
  proto::FleetConfig changed = good;
  changed.set_active_preset("night");
  proto::FleetConfig unsignedConfig = good;
  unsignedConfig.clear_proof();
  const struct
  {
    proto::FleetConfig m_config;
    bool m_adopted;
  } cases[] = { { good, true }, { changed, false }, { unsignedConfig, false } };
  for (const auto& test : cases) {
    ConfigState peer(TestKeys());
    EXPECT_EQ(test.m_adopted, peer.AdoptFromPeer(test.m_config));
    EXPECT_FALSE(peer.AdoptFromPeer(test.m_config)) << "not newer";

    ConfigState reader(TestKeys());
    reader.OnTruncated(2);
    proto::ConfigRecord snapshot = StateOf(log).MakeSnapshot("s", 5);
    *snapshot.mutable_snapshot() = test.m_config;
    std::vector<ConfigVerdict> verdicts;
    reader.Apply(2, 5, snapshot, &verdicts);
    EXPECT_EQ(test.m_adopted, reader.Version() == 1);
    EXPECT_EQ(test.m_adopted ? VerdictKind::SnapshotAdopted
                             : VerdictKind::SnapshotUnusable,
              verdicts.back().m_kind);
  }
}

TEST(ConfigLog, SkippedRecordOrUnanchoredSnapshotThrows)
{
  ConfigState state(TestKeys());
  std::vector<ConfigVerdict> verdicts;
  EXPECT_THROW(state.Apply(2, 1, {}, &verdicts), std::invalid_argument);
  EXPECT_THROW(state.MakeSnapshot("s", 1), std::logic_error);
}

// Reference model: evaluates a complete prefix of the log from its first record
// and ignores snapshots.
struct ReferenceResult
{
  std::uint64_t m_version = 0;
  std::string m_activePreset;
  std::vector<std::string> m_zonesOut;
};

ReferenceResult
EvaluateReference(const std::vector<proto::ConfigRecord>& aRecords,
                  std::size_t aCount)
{
  ReferenceResult result;
  for (std::size_t i = 0; i < aCount; ++i) {
    const proto::ConfigRecord& record = aRecords[i];
    const bool overrides = record.override_base() && record.has_replace_all();
    if (record.has_snapshot() ||
        (record.base_version() != result.m_version && !overrides)) {
      continue;
    }
    auto zones = result.m_zonesOut;
    std::string active = result.m_activePreset;
    bool valid = record.has_replace_all() || result.m_version > 0;
    if (record.has_replace_all()) {
      active = record.replace_all().active_preset();
      zones = { record.replace_all().zones_out().begin(),
                record.replace_all().zones_out().end() };
    } else if (record.has_switch_preset()) {
      active = record.switch_preset();
      valid = valid && active != "peak"; // there is no such preset
    } else if (record.has_zone_out()) {
      valid =
        valid && std::count(zones.begin(), zones.end(), record.zone_out()) == 0;
      zones.push_back(record.zone_out());
    } else {
      valid = std::erase(zones, record.zone_back()) > 0 && valid;
    }
    if (!valid) {
      continue;
    }
    std::sort(zones.begin(), zones.end());
    result.m_activePreset = active;
    result.m_zonesOut = zones;
    result.m_version = i + 1;
  }
  return result;
}

proto::ConfigRecord
RandomChange(std::mt19937_64& aRandom)
{
  const std::string zone(1, static_cast<char>('a' + aRandom() % 3));
  switch (aRandom() % 8) {
    case 0:
      return ReplaceAll(TestConfig(1), aRandom() % 8 == 0);
    case 1:
      return SwitchPreset("peak");
    case 2:
    case 3:
      return SwitchPreset(aRandom() % 2 == 0 ? "night" : "ordinary");
    case 4:
    case 5:
      return ZoneBack(zone);
    default:
      return ZoneOut(zone);
  }
}

// Random logs contain changes with a stale base, duplicate appends and
// snapshots of stale states. A reader starts anywhere, loses records to expiry
// and adopts configurations from peers. While it is anchored it must agree with
// the reference model. While it is not, its version must not be newer than the
// reference's. Its version must never decrease.
TEST(ConfigLog, AgreesWithReferenceOverRandomHistories)
{
  constexpr int kHistories = 400;
  int anchoredAfterGap = 0;
  int unanchored = 0;
  for (int seed = 1; seed <= kHistories; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    FakeLog log;
    std::vector<ConfigState> views; // state after each prefix of the log
    views.emplace_back(TestKeys());
    const std::size_t length = 5 + random() % 40;
    while (log.Records().size() < length) {
      const std::size_t lag = random() % 4;
      const std::size_t last = views.size() - 1;
      const ConfigState& view = views[last > lag ? last - lag : 0];
      const std::string id = std::to_string(random());
      if (random() % 4 == 0 && view.Version() > 0) {
        log.Append(view.MakeSnapshot(id, 1));
      } else if (random() % 10 == 0 && !log.Records().empty()) {
        log.Append(log.Records()[random() % log.Records().size()]);
      } else {
        log.Append(
          Signed(view.Config(),
                 id,
                 last == 0 ? ReplaceAll(TestConfig(1)) : RandomChange(random)));
      }
      ConfigState next = views.back();
      log.Read(&next);
      views.push_back(std::move(next));
    }

    ConfigState reader(TestKeys());
    std::uint64_t first = 1;
    ConfigVersion before = 0;
    while (reader.NextOffset() <= length) {
      first = std::min<std::uint64_t>(first + random() % 12, length);
      reader.OnTruncated(first);
      if (random() % 6 == 0) {
        reader.AdoptFromPeer(views[random() % views.size()].Config());
      }
      for (std::uint64_t n = random() % 12;
           n > 0 && reader.NextOffset() <= length;
           --n) {
        const std::uint64_t offset = reader.NextOffset();
        std::vector<ConfigVerdict> verdicts;
        reader.Apply(
          offset, FakeLog::AtMs(offset), log.Records()[offset - 1], &verdicts);
        ASSERT_LE(before, reader.Version()) << "seed " << seed;
        before = reader.Version();
        const ReferenceResult reference = EvaluateReference(
          log.Records(), static_cast<std::size_t>(reader.NextOffset() - 1));
        if (!reader.Anchored()) {
          ++unanchored;
          ASSERT_LE(reader.Version(), reference.m_version) << "seed " << seed;
          continue;
        }
        anchoredAfterGap += first > 1 ? 1 : 0;
        ASSERT_EQ(reference.m_version, reader.Version()) << "seed " << seed;
        ASSERT_EQ(reference.m_activePreset, reader.Config().active_preset());
        ASSERT_EQ(reference.m_zonesOut,
                  std::vector<std::string>(reader.Config().zones_out().begin(),
                                           reader.Config().zones_out().end()));
        ASSERT_EQ(views[reader.NextOffset() - 1].Config().SerializeAsString(),
                  reader.Config().SerializeAsString());
      }
    }
  }
  // The histories must cover both cases.
  EXPECT_LT(kHistories, anchoredAfterGap);
  EXPECT_LT(kHistories, unanchored);
}

} // namespace
} // namespace walnutwing
