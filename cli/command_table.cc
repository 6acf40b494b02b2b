// The table of commands, from which help and dispatch are derived.

#include "cli/command_table.h"

#include <array>

namespace walnutwing {
namespace {

using enum Command;

constexpr auto kTable = std::to_array<CommandRow>({
  { PresetList, "preset list", "", "all presets; * marks the one in force" },
  { PresetShow, "preset show", "NAME", "what a preset says" },
  { PresetSwitch, "preset switch", "NAME", "put a preset in force" },
  { PresetStatus, "preset status", "", "which preset is in force, and where" },
  { ZoneOut, "zone out", "ZONE", "send an availability zone no new work" },
  { ZoneBack, "zone back", "ZONE", "send an availability zone work again" },
  { ZoneStatus, "zone status", "", "which availability zones are out" },
  { CustomerPut, "customer put", "NAME", "create or change a customer" },
  { CustomerShow, "customer show", "NAME", "what is set for a customer" },
  { CustomerList, "customer list", "", "all customers" },
  { CustomerDelete, "customer delete", "NAME", "take a customer away" },
  { ServicePut, "service put", "NAME", "create or change a service" },
  { ServiceShow, "service show", "NAME", "what is set for a service" },
  { ServiceList, "service list", "", "all services" },
  { ConfigCheck, "config check", "FILE", "check a file, change nothing" },
  { ConfigApply, "config apply", "FILE", "put a whole file in force" },
  { ConfigShow, "config show", "", "the configuration in force, as a file" },
  { ConfigHistory, "config history", "", "the changes that the log keeps" },
  { ConfigWait,
    "config wait",
    "VERSION",
    "wait until it is in force everywhere" },
  { Status, "status", "", "what each reachable daemon sees" },
  { OrderStatus, "order status", "KEY", "what became of an order" },
});

bool
StartsWith(const std::vector<std::string>& aWords, std::string_view aCommand)
{
  std::string joined;
  for (const std::string& word : aWords) {
    joined += (joined.empty() ? "" : " ") + word;
    if (joined == aCommand) {
      return true;
    }
  }
  return false;
}

std::size_t
WordCount(std::string_view aCommand)
{
  return aCommand.find(' ') == std::string_view::npos ? 1 : 2;
}

} // namespace

std::span<const CommandRow>
CommandTable()
{
  return kTable;
}

std::string
UsageOf(const CommandRow& aRow)
{
  std::string usage(aRow.m_words);
  if (!aRow.m_argument.empty()) {
    usage.append(" ").append(aRow.m_argument);
  }
  return usage;
}

CommandCall
FindCommand(const std::vector<std::string>& aWords)
{
  for (const CommandRow& row : kTable) {
    if (!StartsWith(aWords, row.m_words)) {
      continue;
    }
    const std::size_t given = aWords.size() - WordCount(row.m_words);
    if (given != (row.m_argument.empty() ? 0U : 1U)) {
      throw CommandLineError("usage: walnutwing " + UsageOf(row));
    }
    return { &row, given == 0 ? "" : aWords.back() };
  }
  std::string words;
  for (const std::string& word : aWords) {
    words += " " + word;
  }
  throw CommandLineError(words.empty() ? "a subcommand is missing; see --help"
                                       : "no such subcommand:" + words);
}

int
ReportError(ResultCode aCode, std::string_view aDetail, std::ostream& aErr)
{
  if (!aDetail.empty()) {
    aErr << aDetail << "\n";
  }
  const ResultCodeRow& row = RowOf(aCode);
  aErr << "error " << static_cast<int>(aCode) << " " << row.m_name << ": "
       << row.m_text << "\n";
  return ExitStatusOf(aCode);
}

} // namespace walnutwing
