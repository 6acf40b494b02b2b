// Validation of and look-ups in a whole configuration. All look-ups are linear
// scans: a fleet has hundreds of customers and few services, and a daemon
// starts a few requests per second, so an index would cost more than it saves.

#include "walnutwing/config/fleet_config.h"

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>
#include <utility>

#include <openssl/evp.h>

#include "walnutwing/config/text_value.h"

namespace walnutwing {
namespace {

constexpr std::size_t kDigestBytes = 32;
constexpr std::uint32_t kMaxShare = 10'000;
constexpr std::uint32_t kMaxPriority = 9;
constexpr std::uint32_t kMaxInProgress = 1'000'000;
constexpr std::uint32_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint32_t kMaxSlots = 100'000;
constexpr std::uint32_t kMinLoadBoundPercent = 100;
constexpr std::uint32_t kMaxLoadBoundPercent = 1'000;
constexpr std::uint32_t kMaxQueueLimit = 10'000;
constexpr std::size_t kMaxConfigBytes = 1U << 20U;

constexpr auto kFindingNames =
  std::to_array<std::pair<FindingKind, std::string_view>>({
    { FindingKind::BadName, "bad_name" },
    { FindingKind::DuplicateName, "duplicate_name" },
    { FindingKind::BadKeyDigest, "bad_key_digest" },
    { FindingKind::DuplicateKey, "duplicate_key" },
    { FindingKind::BadShare, "bad_share" },
    { FindingKind::BadPriority, "bad_priority" },
    { FindingKind::BadDeadline, "bad_deadline" },
    { FindingKind::BadSlots, "bad_slots" },
    { FindingKind::BadLoadBound, "bad_load_bound" },
    { FindingKind::BadQueueLimit, "bad_queue_limit" },
    { FindingKind::BadLimit, "bad_limit" },
    { FindingKind::NoModel, "no_model" },
    { FindingKind::PresetWithoutServices, "preset_without_services" },
    { FindingKind::UnknownService, "unknown_service" },
    { FindingKind::NoActivePreset, "no_active_preset" },
    { FindingKind::UnknownPreset, "unknown_preset" },
    { FindingKind::UnknownCustomer, "unknown_customer" },
    { FindingKind::UnknownZone, "unknown_zone" },
    { FindingKind::ZoneAlreadyOut, "zone_already_out" },
    { FindingKind::ZoneNotOut, "zone_not_out" },
    { FindingKind::AllZonesOut, "all_zones_out" },
    { FindingKind::EmptyChange, "empty_change" },
    { FindingKind::ResultMismatch, "result_mismatch" },
    { FindingKind::TooLarge, "too_large" },
  });

bool
IsBetween(std::uint32_t aNumber, std::uint32_t aMin, std::uint32_t aMax)
{
  return aNumber >= aMin && aNumber <= aMax;
}

// Collects the findings on one configuration.
class Validator
{
public:
  explicit Validator(const proto::FleetConfig& aConfig)
    : m_config(aConfig)
  {
  }

  std::vector<ConfigFinding> Run()
  {
    CheckCustomers();
    CheckServices();
    CheckPresets();
    CheckFleet();
    return std::move(m_findings);
  }

private:
  void Require(bool aCondition,
               FindingKind aKind,
               const std::string& aSubject,
               const std::string& aText)
  {
    if (!aCondition) {
      m_findings.push_back({ aKind, aSubject, aText });
    }
  }

  void RequireName(const std::string& aName, const std::string& aSubject)
  {
    Require(IsName(aName),
            FindingKind::BadName,
            aSubject,
            "a name is 1 to 64 of A-Z a-z 0-9 . _ -");
  }

  void CheckCustomers()
  {
    std::set<std::string_view> names;
    std::set<std::string_view> keys;
    for (const proto::Customer& customer : m_config.customers()) {
      const std::string subject = "customer " + customer.name();
      RequireName(customer.name(), subject);
      Require(names.insert(customer.name()).second,
              FindingKind::DuplicateName,
              subject,
              "is defined twice");
      Require(customer.key_sha256().size() == kDigestBytes,
              FindingKind::BadKeyDigest,
              subject,
              "key_sha256 must be 32 bytes");
      Require(keys.insert(customer.key_sha256()).second,
              FindingKind::DuplicateKey,
              subject,
              "has the same key as another customer");
      Require(IsBetween(customer.share(), 1, kMaxShare),
              FindingKind::BadShare,
              subject,
              "share must be 1 to 10000");
      Require(customer.priority() <= kMaxPriority,
              FindingKind::BadPriority,
              subject,
              "priority must be 0 to 9");
      Require(customer.max_in_progress() <= kMaxInProgress,
              FindingKind::BadLimit,
              subject,
              "max_in_progress must be 0 to 1000000");
    }
  }

  void CheckServices()
  {
    std::set<std::string_view> names;
    for (const proto::Service& service : m_config.services()) {
      const std::string subject = "service " + service.name();
      RequireName(service.name(), subject);
      Require(names.insert(service.name()).second,
              FindingKind::DuplicateName,
              subject,
              "is defined twice");
      Require(proto::Service::Kind_IsValid(service.kind()),
              FindingKind::BadLimit,
              subject,
              "kind must be engine or plain");
      Require(IsBetween(service.default_deadline_ms(), 1, kMaxDeadlineMs),
              FindingKind::BadDeadline,
              subject,
              "default_deadline_ms must be 1 to 3600000");
    }
  }

  void CheckPresets()
  {
    std::set<std::string_view> names;
    for (const proto::Preset& preset : m_config.presets()) {
      const std::string subject = "preset " + preset.name();
      RequireName(preset.name(), subject);
      Require(names.insert(preset.name()).second,
              FindingKind::DuplicateName,
              subject,
              "is defined twice");
      Require(preset.services_size() > 0,
              FindingKind::PresetWithoutServices,
              subject,
              "has no services");
      std::set<std::string_view> services;
      for (const proto::PresetService& service : preset.services()) {
        const std::string serviceSubject =
          subject + " service " + service.service();
        Require(services.insert(service.service()).second,
                FindingKind::DuplicateName,
                serviceSubject,
                "is defined twice");
        CheckPresetService(service, serviceSubject);
      }
    }
  }

  void CheckPresetService(const proto::PresetService& aService,
                          const std::string& aSubject)
  {
    Require(FindService(m_config, aService.service()) != nullptr,
            FindingKind::UnknownService,
            aSubject,
            "there is no such service");
    Require(IsName(aService.model()),
            FindingKind::NoModel,
            aSubject,
            "model must be 1 to 64 of A-Z a-z 0-9 . _ -");
    Require(IsBetween(aService.load_bound_percent(),
                      kMinLoadBoundPercent,
                      kMaxLoadBoundPercent),
            FindingKind::BadLoadBound,
            aSubject,
            "load_bound_percent must be 100 to 1000");
    Require(IsBetween(aService.engine_slots(), 1, kMaxSlots),
            FindingKind::BadSlots,
            aSubject,
            "engine_slots must be 1 to 100000");
    Require(IsBetween(aService.cold_slots(), 1, aService.engine_slots()),
            FindingKind::BadSlots,
            aSubject,
            "cold_slots must be 1 to engine_slots");
    Require(aService.queue_limit() <= kMaxQueueLimit,
            FindingKind::BadQueueLimit,
            aSubject,
            "queue_limit must be 0 to 10000");
  }

  void CheckFleet()
  {
    const std::string& active = m_config.active_preset();
    Require(!active.empty(),
            FindingKind::NoActivePreset,
            "fleet",
            "active_preset is empty");
    Require(active.empty() || FindPreset(m_config, active) != nullptr,
            FindingKind::UnknownPreset,
            "fleet",
            "there is no preset " + active);
    std::set<std::string_view> zones;
    for (const std::string& zone : m_config.zones_out()) {
      RequireName(zone, "fleet");
      Require(zones.insert(zone).second,
              FindingKind::DuplicateName,
              "fleet",
              "zone " + zone + " is in the list twice");
    }
    Require(m_config.ByteSizeLong() <= kMaxConfigBytes,
            FindingKind::TooLarge,
            "fleet",
            "the configuration is larger than 1 MiB");
  }

  const proto::FleetConfig& m_config;
  std::vector<ConfigFinding> m_findings;
};

template<typename Range>
auto
FindByName(const Range& aRange, std::string_view aName)
  -> decltype(&*aRange.begin())
{
  for (const auto& item : aRange) {
    if (item.name() == aName) {
      return &item;
    }
  }
  return nullptr;
}

template<typename Range, typename Key>
void
SortBy(Range* aRange, Key aKey)
{
  std::stable_sort(
    aRange->begin(), aRange->end(), [&](const auto& aLeft, const auto& aRight) {
      return aKey(aLeft) < aKey(aRight);
    });
}

} // namespace

std::string_view
NameOf(FindingKind aKind)
{
  for (const auto& [kind, name] : kFindingNames) {
    if (kind == aKind) {
      return name;
    }
  }
  throw std::out_of_range("no such FindingKind");
}

std::string
ConfigFinding::ToString() const
{
  return m_subject + ": " + m_text + " (" + std::string(NameOf(m_kind)) + ")";
}

std::vector<ConfigFinding>
Validate(const proto::FleetConfig& aConfig)
{
  return Validator(aConfig).Run();
}

std::vector<ConfigFinding>
ValidateZones(const proto::FleetConfig& aConfig, std::span<const ZoneId> aZones)
{
  std::vector<ConfigFinding> findings;
  for (const std::string& zone : aConfig.zones_out()) {
    if (std::find(aZones.begin(), aZones.end(), ZoneId(zone)) != aZones.end()) {
      continue;
    }
    findings.push_back(
      { FindingKind::UnknownZone,
        "fleet",
        "zone " + zone + " has no VMs in the platform's list" });
  }
  const bool allOut =
    std::all_of(aZones.begin(), aZones.end(), [&](const ZoneId& aZone) {
      return IsZoneOut(aConfig, aZone.Value());
    });
  if (allOut && !aZones.empty()) {
    findings.push_back(
      { FindingKind::AllZonesOut, "fleet", "no zone would be left" });
  }
  return findings;
}

const proto::Customer*
FindCustomer(const proto::FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.customers(), aName);
}

const proto::Customer*
FindCustomerByKey(const proto::FleetConfig& aConfig, std::string_view aKey)
{
  const std::string digest = Sha256(aKey);
  for (const proto::Customer& customer : aConfig.customers()) {
    if (customer.key_sha256() == digest) {
      return &customer;
    }
  }
  return nullptr;
}

const proto::Service*
FindService(const proto::FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.services(), aName);
}

const proto::Preset*
FindPreset(const proto::FleetConfig& aConfig, std::string_view aName)
{
  return FindByName(aConfig.presets(), aName);
}

const proto::Preset*
ActivePreset(const proto::FleetConfig& aConfig)
{
  return FindPreset(aConfig, aConfig.active_preset());
}

const proto::PresetService*
ActivePresetService(const proto::FleetConfig& aConfig,
                    std::string_view aService)
{
  const proto::Preset* preset = ActivePreset(aConfig);
  if (preset == nullptr) {
    return nullptr;
  }
  for (const proto::PresetService& service : preset->services()) {
    if (service.service() == aService) {
      return &service;
    }
  }
  return nullptr;
}

bool
IsZoneOut(const proto::FleetConfig& aConfig, std::string_view aZone)
{
  const auto& zones = aConfig.zones_out();
  return std::find(zones.begin(), zones.end(), aZone) != zones.end();
}

void
Normalize(proto::FleetConfig* aConfig)
{
  const auto byName = [](const auto& aItem) -> const std::string& {
    return aItem.name();
  };
  SortBy(aConfig->mutable_customers(), byName);
  SortBy(aConfig->mutable_services(), byName);
  SortBy(aConfig->mutable_presets(), byName);
  for (proto::Preset& preset : *aConfig->mutable_presets()) {
    SortBy(preset.mutable_services(),
           [](const proto::PresetService& aService) -> const std::string& {
             return aService.service();
           });
  }
  std::sort(aConfig->mutable_zones_out()->begin(),
            aConfig->mutable_zones_out()->end());
}

std::string
Sha256(std::string_view aText)
{
  std::array<unsigned char, kDigestBytes> digest{};
  unsigned length = 0;
  if (EVP_Digest(aText.data(),
                 aText.size(),
                 digest.data(),
                 &length,
                 EVP_sha256(),
                 nullptr) != 1) {
    throw std::runtime_error("SHA-256 failed");
  }
  return { digest.begin(), digest.end() };
}

std::string
ContentDigest(const proto::FleetConfig& aConfig)
{
  proto::FleetConfig content = aConfig;
  content.clear_version();
  content.clear_changed_by();
  content.clear_changed_at_ms();
  content.clear_proof();
  Normalize(&content);
  return Sha256(content.SerializeAsString());
}

} // namespace walnutwing
