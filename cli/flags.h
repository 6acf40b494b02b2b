#ifndef WALNUTWING_CLI_FLAGS_H_
#define WALNUTWING_CLI_FLAGS_H_

// The command line of the operators' client, read through gflags.

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// A command line that cannot be read; what() says why.
class CommandLineError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct CliFlags
{
  std::vector<std::string> m_words; // what is no flag, in order
  bool m_help = false;

  std::string m_platform;
  std::vector<std::string> m_admin;
  std::string m_operator;
  std::string m_operatorKeyFile;
  bool m_json = false;
  bool m_dryRun = false;
  bool m_override = false;
  Duration m_timeout{};

  // Parts of a customer or service; nothing leaves a part as it is.
  std::optional<std::string> m_keySha256;
  std::optional<std::uint32_t> m_share;
  std::optional<std::uint32_t> m_priority;
  std::optional<std::uint32_t> m_maxInProgress;
  std::optional<std::string> m_kind;
  std::optional<std::string> m_idempotent;
  std::optional<std::uint32_t> m_defaultDeadlineMs;
  std::string m_customer;
};

// Reads flags ("--name=value", "--name value", "--switch") and words in any
// order; what follows "--" are words. Throws CommandLineError on an unknown
// flag or a bad value. gflags itself would print and exit with 1.
CliFlags
ReadFlags(std::span<const std::string> aArguments);

// One line for each flag.
std::string
DescribeFlags();

} // namespace walnutwing

#endif // WALNUTWING_CLI_FLAGS_H_
