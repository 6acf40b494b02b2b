#ifndef WALNUTWING_CLI_COMMAND_TABLE_H_
#define WALNUTWING_CLI_COMMAND_TABLE_H_

// The commands of the operators' client with their arguments and help texts.

#include <ostream>
#include <span>
#include <string>
#include <string_view>

#include "cli/flags.h"
#include "walnutwing/base/result_code.h"

namespace walnutwing {

enum class Command
{
  PresetList,
  PresetShow,
  PresetSwitch,
  PresetStatus,
  ZoneOut,
  ZoneBack,
  ZoneStatus,
  CustomerPut,
  CustomerShow,
  CustomerList,
  CustomerDelete,
  ServicePut,
  ServiceShow,
  ServiceList,
  ConfigCheck,
  ConfigApply,
  ConfigShow,
  ConfigHistory,
  ConfigWait,
  Status,
  OrderStatus,
};

struct CommandRow
{
  Command m_command;
  std::string_view m_words;    // "preset switch"
  std::string_view m_argument; // "NAME", or "" for none
  std::string_view m_help;
};

std::span<const CommandRow>
CommandTable();

// Returns the words and the argument, such as "preset switch NAME".
std::string
UsageOf(const CommandRow& aRow);

// A command as given on the command line.
struct CommandCall
{
  const CommandRow* m_row = nullptr;
  std::string m_argument;
};
// Returns the command that aWords name, with its argument. Throws
// CommandLineError if there is none or the number of arguments is wrong.
CommandCall
FindCommand(const std::vector<std::string>& aWords);

// Prints aDetail, if not empty, and a line "error NUMBER NAME: text". Returns
// the exit status of aCode.
int
ReportError(ResultCode aCode, std::string_view aDetail, std::ostream& aErr);

} // namespace walnutwing

#endif // WALNUTWING_CLI_COMMAND_TABLE_H_
