#ifndef WALNUTWING_CONFIG_FLEET_CONFIG_H_
#define WALNUTWING_CONFIG_FLEET_CONFIG_H_

// Validation, look-ups and the text form of the operators' configuration:
// customers, services, presets, the active preset and the zones that are taken
// out of service.
//
// The text form, as `walnutwing config apply` reads it:
//
//   [fleet]
//   active_preset = ordinary
//   zones_out = brno-2
//   [customer dispatch]
//   key_sha256 = 64 hexadecimal digits
//   share = 100
//   [service assistant]
//   kind = engine
//   idempotent = yes
//   default_deadline_ms = 30000
//   [preset ordinary service assistant]
//   model = valve-7b
//   load_bound_percent = 125

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config.pb.h"

#include "walnutwing/base/id.h"
#include "walnutwing/config/ini.h"

namespace walnutwing {

// Reasons why a configuration or a change is invalid.
enum class FindingKind
{
  BadName,
  DuplicateName,
  BadKeyDigest,
  DuplicateKey,
  BadShare,
  BadPriority,
  BadDeadline,
  BadSlots,
  BadLoadBound,
  BadQueueLimit,
  BadLimit,
  NoModel,
  PresetWithoutServices,
  UnknownService,
  NoActivePreset,
  UnknownPreset,
  UnknownCustomer,
  UnknownZone,
  ZoneAlreadyOut,
  ZoneNotOut,
  AllZonesOut,
  EmptyChange,
  ResultMismatch,
  TooLarge,
};

// The kind's name in snake case, as "bad_name".
std::string_view
NameOf(FindingKind aKind);

struct ConfigFinding
{
  FindingKind m_kind = FindingKind::BadName;
  std::string m_subject; // section of the text form, as "customer dispatch"
  std::string m_text;

  // "customer dispatch: share must be 1 to 10000 (bad_share)"
  std::string ToString() const;
};

// Returns all findings on aConfig by itself; empty if it is valid. A pure
// function of aConfig, so that all readers of the log come to the same result.
std::vector<ConfigFinding>
Validate(const proto::FleetConfig& aConfig);

// Returns findings on the zones that are out, given all zones that exist: zones
// that do not exist, or no zone left in service. For the operators' client
// before an append; readers of the log do not know all zones.
std::vector<ConfigFinding>
ValidateZones(const proto::FleetConfig& aConfig,
              std::span<const ZoneId> aZones);

// Look-ups; nullptr if nothing matches. The result is valid until aConfig
// changes.
const proto::Customer*
FindCustomer(const proto::FleetConfig& aConfig, std::string_view aName);

// aKey is the key as the caller presents it.
const proto::Customer*
FindCustomerByKey(const proto::FleetConfig& aConfig, std::string_view aKey);

const proto::Service*
FindService(const proto::FleetConfig& aConfig, std::string_view aName);

const proto::Preset*
FindPreset(const proto::FleetConfig& aConfig, std::string_view aName);

const proto::Preset*
ActivePreset(const proto::FleetConfig& aConfig);

// The active preset's entry for a service.
const proto::PresetService*
ActivePresetService(const proto::FleetConfig& aConfig,
                    std::string_view aService);

bool
IsZoneOut(const proto::FleetConfig& aConfig, std::string_view aZone);

// Sorts all lists by name, so that equal configurations have equal encodings.
void
Normalize(proto::FleetConfig* aConfig);

// SHA-256 of aText as 32 raw bytes.
std::string
Sha256(std::string_view aText);

// SHA-256 of aConfig's content, independent of its version, author, time and
// proof.
std::string
ContentDigest(const proto::FleetConfig& aConfig);

struct ParsedFleetConfig
{
  proto::FleetConfig m_config; // normalized, without a version
  std::vector<IniProblem> m_problems;
};

// Parses and validates the text form. aFile is used in messages only.
ParsedFleetConfig
ParseFleetConfig(std::string_view aText, const std::string& aFile);

// Returns the text form. For a valid aConfig, ParseFleetConfig returns the same
// configuration from it, without version, author and proof.
std::string
RenderFleetConfig(const proto::FleetConfig& aConfig);

// Returns the differences, one line each, as
// "customer dispatch share: 100 -> 200", "+ preset night service valves",
// "- customer pilot".
std::vector<std::string>
DiffFleetConfigs(const proto::FleetConfig& aOld,
                 const proto::FleetConfig& aNew);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_FLEET_CONFIG_H_
