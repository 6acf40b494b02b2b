#ifndef WALNUTWING_CONFIG_FLEET_CONFIG_H_
#define WALNUTWING_CONFIG_FLEET_CONFIG_H_

// What operators decide: customers, services, presets, the one preset in force
// and the zones that are out. Checks, look-ups and the text form.
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

// What makes a configuration meaningless.
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

// "bad_name" and so on.
std::string_view
NameOf(FindingKind aKind);

struct ConfigFinding
{
  FindingKind m_kind = FindingKind::BadName;
  std::string m_subject; // the section of the text form that it is about
  std::string m_text;

  // "preset night: names the unknown service valves (unknown_service)"
  std::string ToString() const;
};

// Everything that is wrong with aConfig by itself, empty if it may be in force.
// A pure function of its argument: all readers of the log agree on it.
std::vector<ConfigFinding>
Validate(const proto::FleetConfig& aConfig);

// What can only be checked against the zones that exist: zones out that are not
// among aZones, or all of aZones out. For the operators' client, before an
// append; readers of the log do not know all zones.
std::vector<ConfigFinding>
ValidateZones(const proto::FleetConfig& aConfig,
              std::span<const ZoneId> aZones);

// Look-ups; nullptr where there is none. The result lives as long as aConfig
// stays unchanged.
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

// What the preset in force says about a service.
const proto::PresetService*
ActivePresetService(const proto::FleetConfig& aConfig,
                    std::string_view aService);

bool
IsZoneOut(const proto::FleetConfig& aConfig, std::string_view aZone);

// Sorts everything by name, so that equal configurations have equal encodings.
void
Normalize(proto::FleetConfig* aConfig);

// SHA-256 of aText, 32 bytes.
std::string
Sha256(std::string_view aText);

// SHA-256 of what aConfig says, whoever made it and whenever.
std::string
ContentDigest(const proto::FleetConfig& aConfig);

struct ParsedFleetConfig
{
  proto::FleetConfig m_config; // normalized, without a version
  std::vector<IniProblem> m_problems;
};

// Reads the text form and validates it. aFile is used for messages only.
ParsedFleetConfig
ParseFleetConfig(std::string_view aText, const std::string& aFile);

// The text form; ParseFleetConfig gives the same configuration back.
std::string
RenderFleetConfig(const proto::FleetConfig& aConfig);

// What differs, one line a change: "customer dispatch share: 100 -> 200",
// "+ preset night service valves", "- customer pilot".
std::vector<std::string>
DiffFleetConfigs(const proto::FleetConfig& aOld,
                 const proto::FleetConfig& aNew);

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_FLEET_CONFIG_H_
