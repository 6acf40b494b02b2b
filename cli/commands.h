#ifndef WALNUTWING_CLI_COMMANDS_H_
#define WALNUTWING_CLI_COMMANDS_H_

// Implements the commands on top of any FleetAccess.

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/command_table.h"
#include "cli/flags.h"
#include "cli/fleet_access.h"
#include "cli/log_view.h"
#include "walnutwing/config/settings.h"

namespace walnutwing {

// Returns the help text, which lists all commands and flags.
std::string
CliHelp();

template<FleetAccess Access>
class CommandRunner
{
public:
  CommandRunner(Access& aAccess,
                const CliFlags& aFlags,
                std::ostream& aOut,
                std::ostream& aErr)
    : m_access(aAccess)
    , m_flags(aFlags)
    , m_out(aOut)
    , m_err(aErr)
    , m_view(LoadOperatorKeys(aFlags))
  {
  }

  int Run(const CommandCall& aCall)
  {
    const std::string& argument = aCall.m_argument;
    proto::ConfigRecord change;
    switch (aCall.m_row->m_command) {
      case Command::PresetSwitch:
        change.set_switch_preset(argument);
        return Submit(std::move(change));
      case Command::ZoneOut:
        change.set_zone_out(argument);
        return Submit(std::move(change));
      case Command::ZoneBack:
        change.set_zone_back(argument);
        return Submit(std::move(change));
      case Command::CustomerDelete:
        change.set_delete_customer(argument);
        return Submit(std::move(change));
      case Command::CustomerPut:
        return PutCustomer(argument);
      case Command::ServicePut:
        return PutService(argument);
      case Command::ConfigCheck:
        return CheckFile(argument);
      case Command::ConfigApply:
        return ApplyFile(argument);
      case Command::ConfigHistory:
        return ShowHistory();
      case Command::ConfigWait:
        return WaitFor(argument);
      case Command::Status:
        return ShowStatus();
      case Command::OrderStatus:
        return ShowOrder(argument);
      case Command::ConfigShow:
        return ShowSections("");
      case Command::PresetShow:
        return ShowSections("preset " + argument);
      case Command::CustomerShow:
        return ShowSections("customer " + argument);
      case Command::ServiceShow:
        return ShowSections("service " + argument);
      case Command::PresetList:
      case Command::CustomerList:
      case Command::ServiceList:
      case Command::PresetStatus:
      case Command::ZoneStatus:
        return ShowList(aCall.m_row->m_command);
    }
    throw std::logic_error("no such Command");
  }

private:
  static OperatorKeys LoadOperatorKeys(const CliFlags& aFlags)
  {
    OperatorKeys keys{ {}, true };
    if (aFlags.m_operatorKeyFile.empty()) {
      return keys;
    }
    const auto key = FromHex(Trim(ReadTextFile(aFlags.m_operatorKeyFile)));
    if (!key || key->empty()) {
      throw CommandLineError("--operator_key_file holds no hexadecimal key");
    }
    keys.m_keys[aFlags.m_operator] = *key;
    return keys;
  }

  // Reads the log. If that fails, reports it, sets aStatus to the exit status
  // and returns false.
  bool ReadConfig(int* aStatus)
  {
    if (m_view.Update(m_access)) {
      return true;
    }
    *aStatus = ReportError(ResultCode::PlatformUnavailable, "", m_err);
    return false;
  }

  const proto::FleetConfig& Config() const { return m_view.State().Config(); }

  int ReportFindings(const std::vector<ConfigFinding>& aFindings)
  {
    std::string text;
    for (const ConfigFinding& finding : aFindings) {
      text += (text.empty() ? "" : "\n") + finding.ToString();
    }
    return ReportError(ResultCode::ConfigInvalid, text, m_err);
  }

  int Submit(proto::ConfigRecord aChange)
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    if (!m_view.State().Anchored() && !aChange.override_base()) {
      return ReportError(
        ResultCode::ConfigInvalid,
        "the log has lost the version in force; only `config apply "
        "--override` can begin anew",
        m_err);
    }
    std::vector<ConfigFinding> findings;
    const auto result = ApplyChange(Config(), aChange, &findings);
    if (!result) {
      return ReportFindings(findings);
    }
    findings = CheckZones(*result);
    if (!findings.empty()) {
      return ReportFindings(findings);
    }
    if (m_flags.m_dryRun) {
      return ShowDifference(*result);
    }
    return SignAndSubmit(std::move(aChange));
  }

  // Validates the zones of aConfig against the platform's VM list. Zones cannot
  // be checked, and there are no findings, if the list is missing or empty.
  std::vector<ConfigFinding> CheckZones(const proto::FleetConfig& aConfig)
  {
    const auto list = m_access.ListVms();
    if (!list || list->vms().empty()) {
      return {};
    }
    std::vector<ZoneId> zones;
    for (const proto::VmEntry& vm : list->vms()) {
      zones.emplace_back(vm.zone());
    }
    return ValidateZones(aConfig, zones);
  }

  int ShowDifference(const proto::FleetConfig& aResult)
  {
    const std::vector<std::string> lines = DiffFleetConfigs(Config(), aResult);
    if (m_flags.m_json) {
      m_out << nlohmann::json{ { "base_version", Config().version() },
                               { "difference", lines } }
                 .dump()
            << "\n";
      return 0;
    }
    for (const std::string& line : lines) {
      m_out << line << "\n";
    }
    m_out << lines.size() << " differences to version " << Config().version()
          << "; nothing was changed\n";
    return 0;
  }

  int SignAndSubmit(proto::ConfigRecord aChange)
  {
    const auto key = m_view.State().Keys().m_keys.find(m_flags.m_operator);
    if (m_flags.m_operator.empty() ||
        key == m_view.State().Keys().m_keys.end()) {
      return ReportError(ResultCode::ConfigUnauthorized,
                         "a change needs --operator and --operator_key_file",
                         m_err);
    }
    aChange.set_change_id(MakeChangeId());
    aChange.set_operator_name(m_flags.m_operator);
    aChange.set_at_ms(m_access.WallNow().time_since_epoch().count());
    const std::vector<ConfigFinding> findings =
      SignChange(Config(), key->second, &aChange);
    if (!findings.empty()) {
      return ReportFindings(findings);
    }
    const SubmitResult result =
      SubmitChange(m_access, m_view, aChange, m_flags.m_timeout);
    return ReportOutcome(aChange, result);
  }

  // Returns a unique id, by which the change is found in the log if the
  // response to its append is lost.
  std::string MakeChangeId()
  {
    std::random_device device;
    std::string id = m_flags.m_operator;
    id.append("-").append(
      std::to_string(m_access.WallNow().time_since_epoch().count()));
    return id.append("-").append(std::to_string(device()));
  }

  int ReportOutcome(const proto::ConfigRecord& aChange,
                    const SubmitResult& aResult)
  {
    const std::string_view outcome =
      aResult.m_code == ResultCode::Ok                     ? "accepted"
      : aResult.m_code == ResultCode::ConfigOutcomeUnknown ? "unknown"
                                                           : "rejected";
    if (m_flags.m_json) {
      const ResultCodeRow& row = RowOf(aResult.m_code);
      m_out << nlohmann::json{ { "outcome", outcome },
                               { "code", static_cast<int>(row.m_code) },
                               { "name", row.m_name },
                               { "version", aResult.m_version },
                               { "change_id", aChange.change_id() },
                               { "text", aResult.m_text } }
                 .dump()
            << "\n";
    } else {
      m_out << outcome << ": " << DescribeChange(aChange);
      if (aResult.m_version != 0) {
        m_out << " is version " << aResult.m_version;
      }
      m_out << "\n";
    }
    if (aResult.m_code == ResultCode::Ok) {
      return 0;
    }
    std::string detail = aResult.m_text;
    if (aResult.m_code == ResultCode::ConfigBaseStale && !detail.empty()) {
      detail = "in force instead: " + detail;
    }
    return ReportError(aResult.m_code, detail, m_err);
  }

  int PutCustomer(const std::string& aName)
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    proto::ConfigRecord change;
    proto::Customer* customer = change.mutable_put_customer();
    if (const proto::Customer* known = FindCustomer(Config(), aName)) {
      *customer = *known;
    }
    customer->set_name(aName);
    if (m_flags.m_keySha256) {
      const auto digest = FromHex(*m_flags.m_keySha256);
      if (!digest) {
        throw CommandLineError("--key_sha256 is not hexadecimal");
      }
      customer->set_key_sha256(*digest);
    }
    customer->set_share(m_flags.m_share.value_or(customer->share()));
    customer->set_priority(m_flags.m_priority.value_or(customer->priority()));
    customer->set_max_in_progress(
      m_flags.m_maxInProgress.value_or(customer->max_in_progress()));
    return Submit(std::move(change));
  }

  int PutService(const std::string& aName)
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    proto::ConfigRecord change;
    proto::Service* service = change.mutable_put_service();
    if (const proto::Service* known = FindService(Config(), aName)) {
      *service = *known;
    }
    service->set_name(aName);
    if (m_flags.m_kind) {
      RequireOneOf("kind", *m_flags.m_kind, "engine", "plain");
      service->set_kind(*m_flags.m_kind == "plain" ? proto::Service::PLAIN
                                                   : proto::Service::ENGINE);
    }
    if (m_flags.m_idempotent) {
      RequireOneOf("idempotent", *m_flags.m_idempotent, "yes", "no");
      service->set_idempotent(*m_flags.m_idempotent == "yes");
    }
    service->set_default_deadline_ms(
      m_flags.m_defaultDeadlineMs.value_or(service->default_deadline_ms()));
    return Submit(std::move(change));
  }

  static void RequireOneOf(const std::string& aFlag,
                           const std::string& aValue,
                           const std::string& aFirst,
                           const std::string& aSecond)
  {
    if (aValue != aFirst && aValue != aSecond) {
      throw CommandLineError("--" + aFlag + " is " + aFirst + " or " + aSecond);
    }
  }

  // Returns the configuration in the file. If the file is invalid, reports its
  // problems, sets aStatus to the exit status and returns nullopt.
  std::optional<proto::FleetConfig> ReadFile(const std::string& aPath,
                                             int* aStatus)
  {
    ParsedFleetConfig parsed = ParseFleetConfig(ReadTextFile(aPath), aPath);
    if (parsed.m_problems.empty()) {
      return std::move(parsed.m_config);
    }
    std::string text;
    for (const IniProblem& problem : parsed.m_problems) {
      text += (text.empty() ? "" : "\n") + problem.ToString();
    }
    *aStatus = ReportError(parsed.m_problems.front().m_code, text, m_err);
    return std::nullopt;
  }

  int CheckFile(const std::string& aPath)
  {
    int status = 0;
    const auto config = ReadFile(aPath, &status);
    if (config) {
      m_out << aPath << ": " << config->customers_size() << " customers, "
            << config->services_size() << " services, "
            << config->presets_size() << " presets; sound\n";
    }
    return status;
  }

  int ApplyFile(const std::string& aPath)
  {
    int status = 0;
    auto config = ReadFile(aPath, &status);
    if (!config) {
      return status;
    }
    proto::ConfigRecord change;
    *change.mutable_replace_all() = std::move(*config);
    change.set_override_base(m_flags.m_override);
    return Submit(std::move(change));
  }

  int ShowHistory()
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    for (const auto& [offset, entry] : m_view.Entries()) {
      const proto::ConfigRecord& record = entry.m_record;
      const std::string_view verdict = NameOf(entry.m_verdict.m_kind);
      if (m_flags.m_json) {
        m_out << nlohmann::json{ { "offset", offset },
                                 { "at_ms", entry.m_appendedAtMs },
                                 { "verdict", verdict },
                                 { "operator", record.operator_name() },
                                 { "change", DescribeChange(record) },
                                 { "base_version", record.base_version() },
                                 { "change_id", record.change_id() } }
                   .dump()
              << "\n";
        continue;
      }
      m_out << offset << "  " << FormatTime(entry.m_appendedAtMs) << "  "
            << verdict << "  " << record.operator_name() << "  "
            << DescribeChange(record) << "  (change " << record.change_id()
            << ")\n";
    }
    return 0;
  }

  // Returns UTC such as "2026-12-03T21:00:00Z".
  static std::string FormatTime(std::int64_t aUnixMs)
  {
    constexpr std::int64_t kMsPerSecond = 1000;
    const std::time_t seconds = aUnixMs / kMsPerSecond;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> text{};
    const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return { text.data(), length };
  }

  // Prints the sections of the configuration in force that are named aPrefix or
  // start with aPrefix and a space, or all if aPrefix is empty.
  int ShowSections(const std::string& aPrefix)
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    if (Config().version() == 0) {
      return ReportError(ResultCode::NoConfiguration, "", m_err);
    }
    std::string text;
    for (const IniSection& section :
         ReadIni(RenderFleetConfig(Config()), "").m_sections) {
      const bool wanted = aPrefix.empty() || section.m_name == aPrefix ||
                          section.m_name.starts_with(aPrefix + " ");
      if (!wanted) {
        continue;
      }
      text += "[" + section.m_name + "]\n";
      for (const IniEntry& entry : section.m_entries) {
        text.append(entry.m_key).append(" = ").append(entry.m_value);
        text += "\n";
      }
    }
    if (text.empty()) {
      return ReportError(ResultCode::NotFound, "there is no " + aPrefix, m_err);
    }
    m_out << "; version " << Config().version() << " by "
          << Config().changed_by() << ", "
          << FormatTime(Config().changed_at_ms()) << "\n"
          << text;
    return 0;
  }

  int ShowList(Command aCommand)
  {
    int status = 0;
    if (!ReadConfig(&status)) {
      return status;
    }
    std::vector<std::string> lines;
    if (aCommand == Command::CustomerList) {
      for (const proto::Customer& customer : Config().customers()) {
        lines.push_back(customer.name());
      }
    } else if (aCommand == Command::ServiceList) {
      for (const proto::Service& service : Config().services()) {
        lines.push_back(service.name());
      }
    } else if (aCommand == Command::PresetList) {
      for (const proto::Preset& preset : Config().presets()) {
        const bool active = preset.name() == Config().active_preset();
        lines.push_back((active ? "* " : "  ") + preset.name());
      }
    } else if (aCommand == Command::PresetStatus) {
      lines.push_back(Config().active_preset());
    } else {
      for (const std::string& zone : Config().zones_out()) {
        lines.push_back(zone);
      }
    }
    if (m_flags.m_json) {
      m_out << nlohmann::json{ { "version", Config().version() },
                               { "items", lines } }
                 .dump()
            << "\n";
    } else {
      m_out << "version " << Config().version() << "\n";
      for (const std::string& line : lines) {
        m_out << line << "\n";
      }
    }
    const bool showWhere =
      aCommand == Command::PresetStatus || aCommand == Command::ZoneStatus;
    if (!showWhere || m_flags.m_admin.empty()) {
      return 0;
    }
    return ReportDaemonsBehind(FindDaemonsBehind(Config().version()));
  }

  // A daemon only knows the versions of the daemons in its own zone.
  static std::string FormatMemberVersion(const nlohmann::json& aMember)
  {
    return aMember.contains("config_version")
             ? std::to_string(aMember.value("config_version", ConfigVersion{}))
             : "not known here";
  }

  // Returns the configuration version of each daemon, as reported by the
  // daemons at --admin; 0 if unknown.
  std::map<std::string, ConfigVersion> QueryDaemonVersions()
  {
    std::map<std::string, ConfigVersion> versions;
    const auto recordVersion = [&](const nlohmann::json& aDaemon) {
      ConfigVersion& version = versions[aDaemon.value("daemon", "")];
      version =
        std::max(version, aDaemon.value("config_version", ConfigVersion{}));
    };
    for (const std::string& address : m_flags.m_admin) {
      const auto page = m_access.GetPage(address, "/status");
      const auto status =
        nlohmann::json::parse(page ? page->m_body : "", nullptr, false);
      if (!status.is_object()) {
        versions[address]; // inserts 0, which counts as behind
        continue;
      }
      recordVersion(status);
      for (const auto& member :
           status.value("members", nlohmann::json::array())) {
        if (member.value("up", true)) {
          recordVersion(member);
        }
      }
    }
    return versions;
  }

  std::vector<std::string> FindDaemonsBehind(ConfigVersion aVersion)
  {
    std::vector<std::string> behind;
    for (const auto& [daemon, version] : QueryDaemonVersions()) {
      if (version >= aVersion) {
        continue;
      }
      std::string line = daemon;
      behind.push_back(line.append(" has ").append(
        version == 0 ? "no known version"
                     : "version " + std::to_string(version)));
    }
    return behind;
  }

  int ReportDaemonsBehind(const std::vector<std::string>& aBehind)
  {
    if (aBehind.empty()) {
      m_out << "in force in every daemon that is known\n";
      return 0;
    }
    std::string text;
    for (const std::string& line : aBehind) {
      text += (text.empty() ? "" : "\n") + line;
    }
    return ReportError(ResultCode::ConfigNotInForce, text, m_err);
  }

  int WaitFor(const std::string& aVersion)
  {
    ConfigVersion version = 0;
    const char* end = aVersion.data() + aVersion.size();
    const auto [rest, error] = std::from_chars(aVersion.data(), end, version);
    if (error != std::errc() || rest != end || version == 0) {
      throw CommandLineError("VERSION is a number from 1");
    }
    if (m_flags.m_admin.empty()) {
      throw CommandLineError("config wait needs --admin");
    }
    constexpr Duration kPollInterval{ 500 };
    const Time deadline = m_access.Now() + m_flags.m_timeout;
    while (true) {
      const std::vector<std::string> behind = FindDaemonsBehind(version);
      if (behind.empty() || m_access.Now() >= deadline) {
        return ReportDaemonsBehind(behind);
      }
      m_access.Sleep(kPollInterval);
    }
  }

  int ShowStatus()
  {
    if (m_flags.m_admin.empty()) {
      throw CommandLineError("status needs --admin");
    }
    bool allResponded = true;
    for (const std::string& address : m_flags.m_admin) {
      const auto page = m_access.GetPage(address, "/status");
      const auto status =
        nlohmann::json::parse(page ? page->m_body : "", nullptr, false);
      if (!status.is_object()) {
        allResponded = false;
        m_out << address << "  does not answer\n";
        continue;
      }
      if (m_flags.m_json) {
        m_out << status.dump() << "\n";
        continue;
      }
      m_out << address << "  " << status.value("daemon", "") << "  zone "
            << status.value("zone", "") << "  version "
            << status.value("config_version", ConfigVersion{}) << "  preset "
            << status.value("preset", "") << "  "
            << (status.value("ready", false) ? "ready" : "not ready") << "\n";
      for (const auto& member :
           status.value("members", nlohmann::json::array())) {
        m_out << "    " << member.value("daemon", "") << "  zone "
              << member.value("zone", "") << "  " << member.value("status", "")
              << "  version " << FormatMemberVersion(member) << "\n";
      }
    }
    return allResponded ? 0
                        : ReportError(ResultCode::ConfigNotInForce,
                                      "not every daemon answers",
                                      m_err);
  }

  int ShowOrder(const std::string& aKey)
  {
    if (m_flags.m_admin.empty() || m_flags.m_customer.empty()) {
      throw CommandLineError("order status needs --admin and --customer");
    }
    for (const std::string& address : m_flags.m_admin) {
      std::string path = "/order?customer=";
      path.append(m_flags.m_customer).append("&key=").append(aKey);
      const auto page = m_access.GetPage(address, path);
      const auto orderStatus =
        nlohmann::json::parse(page ? page->m_body : "", nullptr, false);
      constexpr int kHttpOk = 200;
      if (!orderStatus.is_object() || page->m_status != kHttpOk) {
        continue;
      }
      if (m_flags.m_json) {
        m_out << orderStatus.dump() << "\n";
        return 0;
      }
      m_out << aKey << "  " << orderStatus.value("code", 0) << " "
            << orderStatus.value("name", "")
            << "  ran: " << orderStatus.value("ran", "") << "  "
            << orderStatus.value("meaning", "")
            << (orderStatus.value("current", true) ? ""
                                                   : "  (may be out of date)")
            << "\n";
      return 0;
    }
    return ReportError(
      ResultCode::ClaimsUnavailable, "no daemon could say", m_err);
  }

  Access& m_access;
  const CliFlags& m_flags;
  std::ostream& m_out;
  std::ostream& m_err;
  LogView m_view;
};

// Runs the command that the words of aFlags name and returns the exit status.
// Throws CommandLineError and SettingsError.
template<FleetAccess Access>
int
RunCommand(Access& aAccess,
           const CliFlags& aFlags,
           std::ostream& aOut,
           std::ostream& aErr)
{
  if (aFlags.m_help && aFlags.m_words.size() < 2) {
    aOut << CliHelp();
    return 0;
  }
  if (aFlags.m_help) {
    for (const CommandRow& row : CommandTable()) {
      std::string words = aFlags.m_words[0];
      if (row.m_words == words.append(" ").append(aFlags.m_words[1])) {
        aOut << "usage: walnutwing " << UsageOf(row) << "\n"
             << row.m_help << "\n"
             << DescribeFlags();
        return 0;
      }
    }
  }
  const CommandCall call = FindCommand(aFlags.m_words);
  return CommandRunner<Access>(aAccess, aFlags, aOut, aErr).Run(call);
}

} // namespace walnutwing

#endif // WALNUTWING_CLI_COMMANDS_H_
