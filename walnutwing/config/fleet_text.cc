// The text form of a configuration. Each kind of section has one table of keys
// that is used for both parsing and formatting, so that the two stay
// consistent. Values are checked one by one here and as a whole by Validate,
// whose findings are reported with the line of the section that they concern.

#include "walnutwing/config/fleet_config.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "walnutwing/config/text_value.h"

namespace walnutwing {
namespace {

constexpr std::uint64_t kMaxNumber = 0xffffffffU;
constexpr std::size_t kWrapColumn = 70;

// A key of a section and its conversion from and to a field of Message. m_parse
// returns whether the value is allowed; m_format returns "" to omit the key.
template<typename Message>
struct Field
{
  std::string m_key;
  std::string m_allowed;
  bool m_required;
  std::function<bool(Message& aMessage, const std::string& aValue)> m_parse;
  std::function<std::string(const Message& aMessage)> m_format;
};

template<typename Message>
Field<Message>
NumberField(const char* aKey,
            bool aRequired,
            void (Message::*aSet)(std::uint32_t),
            std::uint32_t (Message::*aGet)() const)
{
  return { aKey,
           "a whole number",
           aRequired,
           [aSet](Message& aMessage, const std::string& aValue) {
             const auto number = ParseNumberBetween(aValue, 0, kMaxNumber);
             (aMessage.*aSet)(static_cast<std::uint32_t>(number.value_or(0)));
             return number.has_value();
           },
           [aGet](const Message& aMessage) {
             return std::to_string((aMessage.*aGet)());
           } };
}

const std::vector<Field<proto::Customer>>&
CustomerFields()
{
  using proto::Customer;
  static const std::vector<Field<Customer>> kFields = {
    { "key_sha256",
      "64 hexadecimal digits",
      true,
      [](Customer& aCustomer, const std::string& aValue) {
        const std::optional<std::string> digest = FromHex(aValue);
        aCustomer.set_key_sha256(digest.value_or(""));
        return digest.has_value();
      },
      [](const Customer& aCustomer) { return ToHex(aCustomer.key_sha256()); } },
    NumberField("share", true, &Customer::set_share, &Customer::share),
    NumberField(
      "priority", false, &Customer::set_priority, &Customer::priority),
    NumberField("max_in_progress",
                false,
                &Customer::set_max_in_progress,
                &Customer::max_in_progress),
  };
  return kFields;
}

const std::vector<Field<proto::Service>>&
ServiceFields()
{
  using proto::Service;
  static const std::vector<Field<Service>> kFields = {
    { "kind",
      "engine, plain",
      true,
      [](Service& aService, const std::string& aValue) {
        aService.set_kind(aValue == "plain" ? Service::PLAIN : Service::ENGINE);
        return aValue == "plain" || aValue == "engine";
      },
      [](const Service& aService) {
        return std::string(aService.kind() == Service::PLAIN ? "plain"
                                                             : "engine");
      } },
    { "idempotent",
      "yes, no",
      true,
      [](Service& aService, const std::string& aValue) {
        aService.set_idempotent(aValue == "yes");
        return aValue == "yes" || aValue == "no";
      },
      [](const Service& aService) {
        return std::string(aService.idempotent() ? "yes" : "no");
      } },
    NumberField("default_deadline_ms",
                true,
                &Service::set_default_deadline_ms,
                &Service::default_deadline_ms),
  };
  return kFields;
}

const std::vector<Field<proto::PresetService>>&
PresetServiceFields()
{
  using proto::PresetService;
  static const std::vector<Field<PresetService>> kFields = {
    { "model",
      "a model's name",
      true,
      [](PresetService& aService, const std::string& aValue) {
        aService.set_model(aValue);
        return !aValue.empty();
      },
      [](const PresetService& aService) { return aService.model(); } },
    NumberField("load_bound_percent",
                true,
                &PresetService::set_load_bound_percent,
                &PresetService::load_bound_percent),
    NumberField("engine_slots",
                true,
                &PresetService::set_engine_slots,
                &PresetService::engine_slots),
    NumberField("cold_slots",
                true,
                &PresetService::set_cold_slots,
                &PresetService::cold_slots),
    NumberField("queue_limit",
                false,
                &PresetService::set_queue_limit,
                &PresetService::queue_limit),
  };
  return kFields;
}

std::string
JoinWrapped(const google::protobuf::RepeatedPtrField<std::string>& aItems)
{
  std::string text;
  std::size_t lineStart = 0;
  for (const std::string& item : aItems) {
    if (!text.empty()) {
      text += ", ";
    }
    if (text.size() - lineStart > kWrapColumn) {
      text += "\n  ";
      lineStart = text.size();
    }
    text += item;
  }
  return text;
}

const std::vector<Field<proto::FleetConfig>>&
FleetFields()
{
  using proto::FleetConfig;
  static const std::vector<Field<FleetConfig>> kFields = {
    { "active_preset",
      "a preset's name",
      true,
      [](FleetConfig& aConfig, const std::string& aValue) {
        aConfig.set_active_preset(aValue);
        return !aValue.empty();
      },
      [](const FleetConfig& aConfig) { return aConfig.active_preset(); } },
    { "zones_out",
      "names of zones, comma separated",
      false,
      [](FleetConfig& aConfig, const std::string& aValue) {
        for (std::string& zone : SplitList(aValue)) {
          aConfig.add_zones_out(std::move(zone));
        }
        return true;
      },
      [](const FleetConfig& aConfig) {
        return JoinWrapped(aConfig.zones_out());
      } },
  };
  return kFields;
}

// Splits "preset night service valves" at its spaces.
std::vector<std::string>
SplitWords(std::string_view aText)
{
  std::vector<std::string> words;
  while (!(aText = Trim(aText)).empty()) {
    const std::size_t end = std::min(aText.find_first_of(" \t"), aText.size());
    words.emplace_back(aText.substr(0, end));
    aText.remove_prefix(end);
  }
  return words;
}

class Parser
{
public:
  Parser(std::string_view aText, const std::string& aFile)
    : m_file(ReadIni(aText, aFile))
  {
    m_result.m_problems = m_file.m_problems;
  }

  ParsedFleetConfig Run()
  {
    for (const IniSection& section : m_file.m_sections) {
      ReadSection(section);
    }
    if (!m_sectionLines.contains("fleet")) {
      AddProblem(ResultCode::SettingsKeyMissing,
                 0,
                 { "fleet", "active_preset" },
                 "the key is missing",
                 "a preset's name");
    }
    Normalize(&m_result.m_config);
    if (m_result.m_problems.empty()) {
      AddFindings();
    }
    return std::move(m_result);
  }

private:
  struct Location
  {
    std::string m_section;
    std::string m_key;
  };

  void ReadSection(const IniSection& aSection)
  {
    const std::vector<std::string> words = SplitWords(aSection.m_name);
    std::string subject;
    for (const std::string& word : words) {
      subject += (subject.empty() ? "" : " ") + word;
    }
    if (!m_sectionLines.try_emplace(subject, aSection.m_line).second) {
      AddProblem(ResultCode::SettingsBadValue,
                 aSection.m_line,
                 { subject, "" },
                 "the section is given twice",
                 "once");
      return;
    }
    proto::FleetConfig& config = m_result.m_config;
    const std::string kind = words.empty() ? "" : words[0];
    if (kind == "fleet" && words.size() == 1) {
      ReadFields(aSection, subject, FleetFields(), &config);
      return;
    }
    if (kind == "customer" && words.size() == 2) {
      config.add_customers()->set_name(words[1]);
      ReadFields(aSection,
                 subject,
                 CustomerFields(),
                 config.mutable_customers(config.customers_size() - 1));
      return;
    }
    if (kind == "service" && words.size() == 2) {
      config.add_services()->set_name(words[1]);
      ReadFields(aSection,
                 subject,
                 ServiceFields(),
                 config.mutable_services(config.services_size() - 1));
      return;
    }
    if (kind == "preset" && words.size() == 2) {
      FindOrAddPreset(words[1]);
      ReadFields(aSection,
                 subject,
                 std::vector<Field<proto::Preset>>{},
                 FindOrAddPreset(words[1]));
      return;
    }
    if (kind == "preset" && words.size() == 4 && words[2] == "service") {
      proto::PresetService* service = FindOrAddPreset(words[1])->add_services();
      service->set_service(words[3]);
      ReadFields(aSection, subject, PresetServiceFields(), service);
      return;
    }
    AddProblem(ResultCode::SettingsUnknownKey,
               aSection.m_line,
               { subject, "" },
               "no such section",
               "fleet, customer NAME, service NAME, preset NAME, "
               "preset NAME service NAME");
  }

  proto::Preset* FindOrAddPreset(const std::string& aName)
  {
    for (proto::Preset& preset : *m_result.m_config.mutable_presets()) {
      if (preset.name() == aName) {
        return &preset;
      }
    }
    proto::Preset* preset = m_result.m_config.add_presets();
    preset->set_name(aName);
    return preset;
  }

  template<typename Message>
  void ReadFields(const IniSection& aSection,
                  const std::string& aSubject,
                  const std::vector<Field<Message>>& aFields,
                  Message* aMessage)
  {
    std::set<std::string> seen;
    for (const IniEntry& entry : aSection.m_entries) {
      const Field<Message>* field = FindField(aFields, entry.m_key);
      const Location location{ aSubject, entry.m_key };
      if (field == nullptr) {
        AddProblem(ResultCode::SettingsUnknownKey,
                   entry.m_line,
                   location,
                   "no such key",
                   KeysOf(aFields));
        continue;
      }
      if (!seen.insert(entry.m_key).second) {
        AddProblem(ResultCode::SettingsBadValue,
                   entry.m_line,
                   location,
                   "the key is given twice",
                   "once");
        continue;
      }
      if (!field->m_parse(*aMessage, entry.m_value)) {
        AddProblem(ResultCode::SettingsBadValue,
                   entry.m_line,
                   location,
                   "bad value \"" + entry.m_value + "\"",
                   field->m_allowed);
      }
    }
    for (const Field<Message>& field : aFields) {
      if (!field.m_required || seen.contains(field.m_key)) {
        continue;
      }
      AddProblem(ResultCode::SettingsKeyMissing,
                 aSection.m_line,
                 { aSubject, field.m_key },
                 "the key is missing",
                 field.m_allowed);
    }
  }

  template<typename Message>
  static const Field<Message>* FindField(
    const std::vector<Field<Message>>& aFields,
    const std::string& aKey)
  {
    for (const Field<Message>& field : aFields) {
      if (field.m_key == aKey) {
        return &field;
      }
    }
    return nullptr;
  }

  template<typename Message>
  static std::string KeysOf(const std::vector<Field<Message>>& aFields)
  {
    std::string keys;
    for (const Field<Message>& field : aFields) {
      keys += (keys.empty() ? "" : ", ") + field.m_key;
    }
    return keys.empty() ? "none" : keys;
  }

  void AddFindings()
  {
    for (const ConfigFinding& finding : Validate(m_result.m_config)) {
      const auto line = m_sectionLines.find(finding.m_subject);
      AddProblem(ResultCode::ConfigInvalid,
                 line == m_sectionLines.end() ? 0 : line->second,
                 { finding.m_subject, "" },
                 finding.m_text,
                 "");
    }
  }

  void AddProblem(ResultCode aCode,
                  int aLine,
                  const Location& aLocation,
                  const std::string& aText,
                  const std::string& aAllowed)
  {
    m_result.m_problems.push_back({ aCode,
                                    m_file.m_name,
                                    aLine,
                                    aLocation.m_section,
                                    aLocation.m_key,
                                    aText,
                                    aAllowed });
  }

  IniFile m_file;
  ParsedFleetConfig m_result;
  std::map<std::string, int> m_sectionLines; // section name -> its line
};

template<typename Message>
std::string
RenderSection(const std::string& aName,
              const std::vector<Field<Message>>& aFields,
              const Message& aMessage)
{
  std::string text = "[" + aName + "]\n";
  for (const Field<Message>& field : aFields) {
    const std::string value = field.m_format(aMessage);
    if (value.empty()) {
      continue;
    }
    text += field.m_key + " = " + value + "\n";
  }
  return text + "\n";
}

using SectionValues = std::map<std::string, std::map<std::string, std::string>>;

SectionValues
ValuesOf(const proto::FleetConfig& aConfig)
{
  SectionValues values;
  for (const IniSection& section :
       ReadIni(RenderFleetConfig(aConfig), "").m_sections) {
    std::map<std::string, std::string>& entries = values[section.m_name];
    for (const IniEntry& entry : section.m_entries) {
      entries[entry.m_key] = entry.m_value;
    }
  }
  return values;
}

std::string
ValueOrNone(const std::map<std::string, std::string>& aValues,
            const std::string& aKey)
{
  const auto value = aValues.find(aKey);
  return value == aValues.end() ? "none" : value->second;
}

} // namespace

ParsedFleetConfig
ParseFleetConfig(std::string_view aText, const std::string& aFile)
{
  return Parser(aText, aFile).Run();
}

std::string
RenderFleetConfig(const proto::FleetConfig& aConfig)
{
  proto::FleetConfig config = aConfig;
  Normalize(&config);
  std::string text = RenderSection("fleet", FleetFields(), config);
  for (const proto::Customer& customer : config.customers()) {
    text +=
      RenderSection("customer " + customer.name(), CustomerFields(), customer);
  }
  for (const proto::Service& service : config.services()) {
    text +=
      RenderSection("service " + service.name(), ServiceFields(), service);
  }
  for (const proto::Preset& preset : config.presets()) {
    for (const proto::PresetService& service : preset.services()) {
      text += RenderSection("preset " + preset.name() + " service " +
                              service.service(),
                            PresetServiceFields(),
                            service);
    }
  }
  return text;
}

std::vector<std::string>
DiffFleetConfigs(const proto::FleetConfig& aOld, const proto::FleetConfig& aNew)
{
  const SectionValues oldValues = ValuesOf(aOld);
  const SectionValues newValues = ValuesOf(aNew);
  std::vector<std::string> lines;
  for (const auto& [section, values] : oldValues) {
    if (!newValues.contains(section)) {
      lines.push_back("- " + section);
    }
  }
  for (const auto& [section, values] : newValues) {
    const auto old = oldValues.find(section);
    if (old == oldValues.end()) {
      lines.push_back("+ " + section);
      continue;
    }
    std::set<std::string> keys;
    for (const auto& [key, value] : values) {
      keys.insert(key);
    }
    for (const auto& [key, value] : old->second) {
      keys.insert(key);
    }
    for (const std::string& key : keys) {
      const std::string before = ValueOrNone(old->second, key);
      const std::string after = ValueOrNone(values, key);
      if (before != after) {
        std::string line = section;
        line.append(" ").append(key).append(": ").append(before);
        lines.push_back(line.append(" -> ").append(after));
      }
    }
  }
  return lines;
}

} // namespace walnutwing
