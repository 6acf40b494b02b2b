// Flags are declared with gflags but set one by one through its API, so that an
// invalid one is reported with this project's result code and exit status. Only
// the flags of this file are accepted, not those that libraries declare.

#include "cli/flags.h"

#include <string_view>

#include <gflags/gflags.h>

#include "walnutwing/config/ini.h"
#include "walnutwing/config/settings.h"

DEFINE_string(platform, "127.0.0.1:9000", "the platform, IP:port");
DEFINE_string(admin,
              "",
              "admin addresses of daemons, IP:port, comma separated");
DEFINE_string(operator, "", "name of the operator who makes the change");
DEFINE_string(operator_key_file, "", "file that holds the operator's key, hex");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(dry_run, false, "print what would change, change nothing");
DEFINE_bool(override, false, "config apply: whatever the version in force is");
DEFINE_uint32(timeout_s, 10, "longest wait for an outcome, seconds");
DEFINE_string(key_sha256, "", "customer put: SHA-256 of its key, hex");
DEFINE_uint32(share, 0, "customer put: weight against others, 1 to 10000");
DEFINE_uint32(priority, 0, "customer put: 0 (most urgent) to 9");
DEFINE_uint32(max_in_progress, 0, "customer put: requests at once, 0 any");
DEFINE_string(kind, "", "service put: engine or plain");
DEFINE_string(idempotent, "", "service put: yes or no");
DEFINE_uint32(default_deadline_ms, 0, "service put: milliseconds");
DEFINE_string(customer, "", "order status: the order's customer");

namespace walnutwing {
namespace {

// Whether aName is one of the flags above; if so, stores its description in
// aInfo.
bool
FindOwnFlag(const std::string& aName, gflags::CommandLineFlagInfo* aInfo)
{
  return gflags::GetCommandLineFlagInfo(aName.c_str(), aInfo) &&
         aInfo->filename.ends_with("cli/flags.cc");
}

// Sets the flag that aArguments[aIndex] names. Returns the number of arguments
// consumed.
std::size_t
SetFlag(std::span<const std::string> aArguments, std::size_t aIndex)
{
  std::string_view text = aArguments[aIndex];
  text.remove_prefix(text.starts_with("--") ? 2 : 1);
  const std::size_t equals = text.find('=');
  const std::string name(text.substr(0, equals));
  gflags::CommandLineFlagInfo info;
  if (!FindOwnFlag(name, &info)) {
    throw CommandLineError("no such flag: --" + name);
  }
  std::string value = "true";
  std::size_t consumed = 1;
  if (equals != std::string_view::npos) {
    value = text.substr(equals + 1);
  } else if (info.type != "bool") {
    if (aIndex + 1 == aArguments.size()) {
      throw CommandLineError("--" + name + " needs a value");
    }
    value = aArguments[aIndex + 1];
    consumed = 2;
  }
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    throw CommandLineError("--" + name + " cannot be \"" + value +
                           "\"; it is a " + info.type);
  }
  return consumed;
}

template<typename Value>
std::optional<Value>
ValueIfSet(const char* aName, const Value& aValue)
{
  if (gflags::GetCommandLineFlagInfoOrDie(aName).is_default) {
    return std::nullopt;
  }
  return aValue;
}

void
RequireAddress(const std::string& aName, const std::string& aAddress)
{
  if (!IsAddress(aAddress)) {
    throw CommandLineError("--" + aName + " cannot be \"" + aAddress +
                           "\"; it is IP:port");
  }
}

} // namespace

CliFlags
ReadFlags(std::span<const std::string> aArguments)
{
  const gflags::FlagSaver restoreAfterwards;
  CliFlags flags;
  for (std::size_t i = 0; i < aArguments.size();) {
    const std::string& argument = aArguments[i];
    if (argument == "--") {
      flags.m_words.insert(flags.m_words.end(),
                           aArguments.begin() + static_cast<std::ptrdiff_t>(i) +
                             1,
                           aArguments.end());
      break;
    }
    if (argument == "--help" || argument == "-h") {
      flags.m_help = true;
      ++i;
    } else if (argument.size() > 1 && argument[0] == '-') {
      i += SetFlag(aArguments, i);
    } else {
      flags.m_words.push_back(argument);
      ++i;
    }
  }
  flags.m_platform = FLAGS_platform;
  RequireAddress("platform", flags.m_platform);
  flags.m_admin = SplitList(FLAGS_admin);
  for (const std::string& address : flags.m_admin) {
    RequireAddress("admin", address);
  }
  flags.m_operator = FLAGS_operator;
  flags.m_operatorKeyFile = FLAGS_operator_key_file;
  flags.m_json = FLAGS_json;
  flags.m_dryRun = FLAGS_dry_run;
  flags.m_override = FLAGS_override;
  flags.m_timeout = std::chrono::seconds(FLAGS_timeout_s);
  flags.m_keySha256 = ValueIfSet("key_sha256", FLAGS_key_sha256);
  flags.m_share = ValueIfSet("share", FLAGS_share);
  flags.m_priority = ValueIfSet("priority", FLAGS_priority);
  flags.m_maxInProgress = ValueIfSet("max_in_progress", FLAGS_max_in_progress);
  flags.m_kind = ValueIfSet("kind", FLAGS_kind);
  flags.m_idempotent = ValueIfSet("idempotent", FLAGS_idempotent);
  flags.m_defaultDeadlineMs =
    ValueIfSet("default_deadline_ms", FLAGS_default_deadline_ms);
  flags.m_customer = FLAGS_customer;
  return flags;
}

std::string
DescribeFlags()
{
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::string text = "flags:\n";
  for (const gflags::CommandLineFlagInfo& flag : all) {
    if (!flag.filename.ends_with("cli/flags.cc")) {
      continue;
    }
    text.append("  --").append(flag.name).append(": ");
    text.append(flag.description).append("\n");
  }
  return text;
}

} // namespace walnutwing
