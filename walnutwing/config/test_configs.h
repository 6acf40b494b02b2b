#ifndef WALNUTWING_CONFIG_TEST_CONFIGS_H_
#define WALNUTWING_CONFIG_TEST_CONFIGS_H_

// Configurations and signed records for tests and benchmarks.

#include <string>
#include <utility>

#include "walnutwing/config/config_log.h"

namespace walnutwing {

inline constexpr const char* kTestOperator = "petra";

inline OperatorKeys
TestKeys()
{
  return { { { kTestOperator, std::string(32, 'k') } }, false };
}

inline void
AddTestPreset(proto::FleetConfig* aConfig, const std::string& aName)
{
  proto::Preset* preset = aConfig->add_presets();
  preset->set_name(aName);
  proto::PresetService* service = preset->add_services();
  service->set_service("assistant");
  service->set_model("valve-7b");
  service->set_load_bound_percent(125);
  service->set_engine_slots(32);
  service->set_cold_slots(4);
  service->set_queue_limit(16);
}

// A valid configuration with the presets ordinary (active) and night, one
// service and aCustomers customers.
inline proto::FleetConfig
TestConfig(int aCustomers = 2)
{
  proto::FleetConfig config;
  for (int i = 0; i < aCustomers; ++i) {
    proto::Customer* customer = config.add_customers();
    customer->set_name("customer-" + std::to_string(i));
    customer->set_key_sha256(Sha256("key-" + std::to_string(i)));
    customer->set_share(100);
  }
  proto::Service* service = config.add_services();
  service->set_name("assistant");
  service->set_idempotent(true);
  service->set_default_deadline_ms(30'000);
  AddTestPreset(&config, "ordinary");
  AddTestPreset(&config, "night");
  config.set_active_preset("ordinary");
  Normalize(&config);
  return config;
}

// Returns aRecord signed with aBase as its base and aId as its change id. Signs
// it even if the change is invalid.
inline proto::ConfigRecord
Signed(const proto::FleetConfig& aBase,
       const std::string& aId,
       proto::ConfigRecord aRecord)
{
  const std::string key = TestKeys().m_keys.at(kTestOperator);
  aRecord.set_change_id(aId);
  aRecord.set_operator_name(kTestOperator);
  aRecord.set_at_ms(1);
  if (!SignChange(aBase, key, &aRecord).empty()) {
    aRecord.set_base_version(aBase.version());
    SetSignature(key, &aRecord);
  }
  return aRecord;
}

inline proto::ConfigRecord
ReplaceAll(const proto::FleetConfig& aConfig, bool aOverride = false)
{
  proto::ConfigRecord record;
  *record.mutable_replace_all() = aConfig;
  record.set_override_base(aOverride);
  return record;
}

inline proto::ConfigRecord
SwitchPreset(const std::string& aPreset)
{
  proto::ConfigRecord record;
  record.set_switch_preset(aPreset);
  return record;
}

inline proto::ConfigRecord
ZoneOut(const std::string& aZone)
{
  proto::ConfigRecord record;
  record.set_zone_out(aZone);
  return record;
}

inline proto::ConfigRecord
ZoneBack(const std::string& aZone)
{
  proto::ConfigRecord record;
  record.set_zone_back(aZone);
  return record;
}

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_TEST_CONFIGS_H_
