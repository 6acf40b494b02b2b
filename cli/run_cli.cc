// Parses the command line, then runs the command over HTTP.

#include "cli/run_cli.h"

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/http_access.h"

namespace walnutwing {
namespace {

constexpr Duration kCallTimeout{ 3'000 };

} // namespace

std::string
CliHelp()
{
  std::string text = "usage: walnutwing COMMAND [flags]\n";
  for (const CommandRow& row : CommandTable()) {
    text.append("  ").append(UsageOf(row)).append("\n      ");
    text.append(row.m_help).append("\n");
  }
  return text + DescribeFlags();
}

int
RunCli(std::span<const std::string> aArguments,
       std::ostream& aOut,
       std::ostream& aErr)
{
  try {
    const CliFlags flags = ReadFlags(aArguments);
    HttpAccess access(flags.m_platform, kCallTimeout);
    return RunCommand(access, flags, aOut, aErr);
  } catch (const CommandLineError& error) {
    return ReportError(ResultCode::CommandLine, error.what(), aErr);
  } catch (const SettingsError& error) {
    return ReportError(error.Code(), error.what(), aErr);
  }
}

} // namespace walnutwing
