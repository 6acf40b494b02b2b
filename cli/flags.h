#ifndef WALNUTWING_CLI_FLAGS_H_
#define WALNUTWING_CLI_FLAGS_H_

// Parses the command line of the operators' client with gflags.

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// An invalid command line; what() says why.
class CommandLineError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct CliFlags
{
  std::vector<std::string> m_words; // arguments that are not flags, in order
  bool m_help = false;

  std::string m_platform;
  std::vector<std::string> m_admin;
  std::string m_operator;
  std::string m_operatorKeyFile;
  bool m_json = false;
  bool m_dryRun = false;
  bool m_override = false;
  Duration m_timeout{};

  // Fields of a customer or service; nullopt leaves a field unchanged.
  std::optional<std::string> m_keySha256;
  std::optional<std::uint32_t> m_share;
  std::optional<std::uint32_t> m_priority;
  std::optional<std::uint32_t> m_maxInProgress;
  std::optional<std::string> m_kind;
  std::optional<std::string> m_idempotent;
  std::optional<std::uint32_t> m_defaultDeadlineMs;
  std::string m_customer; // of `order status`
};

// Parses flags ("--name=value", "--name value", "--switch") and words in any
// order; all arguments after "--" are words. Throws CommandLineError for an
// unknown flag or an invalid value, for which gflags' own parser would print a
// message and exit with 1.
CliFlags
ReadFlags(std::span<const std::string> aArguments);

// Returns a help text with one line per flag.
std::string
DescribeFlags();

} // namespace walnutwing

#endif // WALNUTWING_CLI_FLAGS_H_
