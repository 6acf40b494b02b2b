#include "walnutwing/config/fleet_config.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "walnutwing/config/test_configs.h"

namespace walnutwing {
namespace {

TEST(FleetConfig, ValidateReportsEachKindOfInvalidConfig)
{
  using proto::FleetConfig;
  const auto service = [](FleetConfig& aConfig) {
    return aConfig.mutable_presets(0)->mutable_services(0);
  };
  const struct
  {
    FindingKind m_kind;
    std::function<void(FleetConfig&)> m_invalidate;
  } cases[] = {
    { FindingKind::BadName,
      [](FleetConfig& aConfig) {
        aConfig.mutable_customers(0)->set_name("a b");
      } },
    { FindingKind::BadName,
      [](FleetConfig& aConfig) { aConfig.mutable_services(0)->set_name(""); } },
    { FindingKind::BadName,
      [](FleetConfig& aConfig) { aConfig.add_zones_out("x]"); } },
    { FindingKind::DuplicateName,
      [](FleetConfig& aConfig) {
        *aConfig.add_services() = aConfig.services(0);
      } },
    { FindingKind::DuplicateName,
      [](FleetConfig& aConfig) {
        *aConfig.add_presets() = aConfig.presets(0);
      } },
    { FindingKind::DuplicateKey,
      [](FleetConfig& aConfig) {
        aConfig.mutable_customers(1)->set_key_sha256(
          aConfig.customers(0).key_sha256());
      } },
    { FindingKind::BadKeyDigest,
      [](FleetConfig& aConfig) {
        aConfig.mutable_customers(0)->set_key_sha256("short");
      } },
    { FindingKind::BadShare,
      [](FleetConfig& aConfig) {
        aConfig.mutable_customers(0)->set_share(0);
      } },
    { FindingKind::BadPriority,
      [](FleetConfig& aConfig) {
        aConfig.mutable_customers(0)->set_priority(10);
      } },
    { FindingKind::BadDeadline,
      [](FleetConfig& aConfig) {
        aConfig.mutable_services(0)->set_default_deadline_ms(0);
      } },
    { FindingKind::PresetWithoutServices,
      [](FleetConfig& aConfig) {
        aConfig.mutable_presets(1)->clear_services();
      } },
    { FindingKind::UnknownService,
      [&](FleetConfig& aConfig) { service(aConfig)->set_service("valves"); } },
    { FindingKind::NoModel,
      [&](FleetConfig& aConfig) { service(aConfig)->clear_model(); } },
    { FindingKind::BadLoadBound,
      [&](FleetConfig& aConfig) {
        service(aConfig)->set_load_bound_percent(99);
      } },
    { FindingKind::BadSlots,
      [&](FleetConfig& aConfig) { service(aConfig)->set_engine_slots(0); } },
    { FindingKind::BadSlots,
      [&](FleetConfig& aConfig) { service(aConfig)->set_cold_slots(33); } },
    { FindingKind::BadQueueLimit,
      [&](FleetConfig& aConfig) {
        service(aConfig)->set_queue_limit(10'001);
      } },
    { FindingKind::NoActivePreset,
      [](FleetConfig& aConfig) { aConfig.clear_active_preset(); } },
    { FindingKind::UnknownPreset,
      [](FleetConfig& aConfig) { aConfig.set_active_preset("peak"); } },
  };
  EXPECT_TRUE(Validate(TestConfig()).empty());
  for (const auto& test : cases) {
    FleetConfig config = TestConfig();
    test.m_invalidate(config);
    const std::vector<ConfigFinding> findings = Validate(config);
    ASSERT_FALSE(findings.empty()) << NameOf(test.m_kind);
    EXPECT_EQ(test.m_kind, findings.front().m_kind)
      << findings.front().ToString();
  }
}

TEST(FleetConfig, ValidateZonesReportsUnknownZonesAndAllZonesOut)
{
  const std::vector<ZoneId> zones = { ZoneId("a"), ZoneId("b") };
  proto::FleetConfig config = TestConfig();
  config.add_zones_out("a");
  EXPECT_TRUE(ValidateZones(config, zones).empty());
  config.add_zones_out("b");
  ASSERT_EQ(1U, ValidateZones(config, zones).size());
  EXPECT_EQ(FindingKind::AllZonesOut, ValidateZones(config, zones)[0].m_kind);
  config.set_zones_out(1, "c");
  EXPECT_EQ(FindingKind::UnknownZone, ValidateZones(config, zones)[0].m_kind);
}

TEST(FleetConfig, LookUpsReturnNullptrWhenNothingMatches)
{
  const proto::FleetConfig config = TestConfig();
  EXPECT_EQ("customer-1", FindCustomerByKey(config, "key-1")->name());
  EXPECT_EQ(nullptr, FindCustomerByKey(config, "key-9"));
  EXPECT_EQ(nullptr, FindCustomerByKey(config, ""));
  EXPECT_EQ("valve-7b", ActivePresetService(config, "assistant")->model());
  EXPECT_EQ(nullptr, ActivePresetService(config, "valves"));
  EXPECT_EQ(nullptr, ActivePresetService(proto::FleetConfig(), "assistant"));
}

TEST(FleetConfig, TextFormRoundTrips)
{
  proto::FleetConfig config = TestConfig(20);
  for (int i = 0; i < 12; ++i) {
    config.add_zones_out(std::string(40, 'z') + std::to_string(i));
  }
  const std::string longName(64, 'n');
  config.mutable_services(0)->set_name(longName);
  for (proto::Preset& preset : *config.mutable_presets()) {
    preset.mutable_services(0)->set_service(longName);
  }
  Normalize(&config);
  const ParsedFleetConfig parsed =
    ParseFleetConfig(RenderFleetConfig(config), "x.ini");
  EXPECT_TRUE(parsed.m_problems.empty()) << parsed.m_problems[0].ToString();
  EXPECT_EQ(config.SerializeAsString(), parsed.m_config.SerializeAsString());
}

TEST(FleetConfig, ParseProblemsNameLineSectionAndKey)
{
  const std::string good = RenderFleetConfig(TestConfig());
  const auto with = [&](const std::string& aOld, const std::string& aNew) {
    std::string text = good;
    return text.replace(text.find(aOld), aOld.size(), aNew);
  };
  const struct
  {
    std::string m_text;
    ResultCode m_code;
    int m_line;
    std::string m_section;
    std::string m_key;
  } cases[] = {
    { with("share = 100", "share = many"),
      ResultCode::SettingsBadValue,
      6,
      "customer customer-0",
      "share" },
    { with("share = 100", "shares = 100"),
      ResultCode::SettingsUnknownKey,
      6,
      "customer customer-0",
      "shares" },
    { with("share = 100\n", ""),
      ResultCode::SettingsKeyMissing,
      4,
      "customer customer-0",
      "share" },
    { with("share = 100", "share = 0"),
      ResultCode::ConfigInvalid,
      4,
      "customer customer-0",
      "" },
    { with("share = 100", "share = 1\nshare = 2"),
      ResultCode::SettingsBadValue,
      7,
      "customer customer-0",
      "share" },
    { with("[service assistant]", "[service  valves]"),
      ResultCode::ConfigInvalid,
      21,
      "preset night service assistant",
      "" },
    { with("[service assistant]", "[customer customer-0]"),
      ResultCode::SettingsBadValue,
      16,
      "customer customer-0",
      "" },
    { with("[fleet]", "[feet]"),
      ResultCode::SettingsUnknownKey,
      1,
      "feet",
      "" },
    { good + "[preset peak]\n",
      ResultCode::ConfigInvalid,
      35,
      "preset peak",
      "" },
    { good + "[preset peak service]\n",
      ResultCode::SettingsUnknownKey,
      35,
      "preset peak service",
      "" },
    { "", ResultCode::SettingsKeyMissing, 0, "fleet", "active_preset" },
  };
  for (const auto& test : cases) {
    const ParsedFleetConfig parsed = ParseFleetConfig(test.m_text, "x.ini");
    ASSERT_FALSE(parsed.m_problems.empty()) << test.m_text;
    const IniProblem& first = parsed.m_problems.front();
    EXPECT_EQ(test.m_code, first.m_code) << first.ToString();
    EXPECT_EQ(test.m_line, first.m_line) << first.ToString();
    EXPECT_EQ(test.m_section, first.m_section) << first.ToString();
    EXPECT_EQ(test.m_key, first.m_key) << first.ToString();
  }
}

TEST(FleetConfig, DiffListsChangedSectionsAndValues)
{
  const proto::FleetConfig old = TestConfig();
  proto::FleetConfig config = TestConfig(3);
  config.mutable_customers(0)->set_share(200);
  config.add_zones_out("a");
  config.mutable_presets()->RemoveLast();
  EXPECT_EQ((std::vector<std::string>{
              "- preset ordinary service assistant",
              "customer customer-0 share: 100 -> 200",
              "+ customer customer-2",
              "fleet zones_out: none -> a",
            }),
            DiffFleetConfigs(old, config));
  EXPECT_TRUE(DiffFleetConfigs(old, old).empty());
}

TEST(FleetConfig, ExamplesAreValid)
{
  int examples = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(WALNUTWING_DOCS_DIR "/examples")) {
    if (!entry.path().filename().string().starts_with("fleet")) {
      continue;
    }
    ++examples;
    std::ifstream stream(entry.path());
    std::ostringstream text;
    text << stream.rdbuf();
    for (const IniProblem& problem :
         ParseFleetConfig(text.str(), entry.path().string()).m_problems) {
      ADD_FAILURE() << problem.ToString();
    }
  }
  EXPECT_LE(2, examples);
}

} // namespace
} // namespace walnutwing
