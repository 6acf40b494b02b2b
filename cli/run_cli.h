#ifndef WALNUTWING_CLI_RUN_CLI_H_
#define WALNUTWING_CLI_RUN_CLI_H_

// The operators' client: every subcommand of `walnutwing` but `daemon`.

#include <ostream>
#include <span>
#include <string>

namespace walnutwing {

// Runs one command. aArguments are the words after the program's name. Answers
// go to aOut; the last line on aErr names the result code of a failure. Returns
// the exit status of docs/ERRORS.md.
int
RunCli(std::span<const std::string> aArguments,
       std::ostream& aOut,
       std::ostream& aErr);

// The help text that lists all commands and flags.
std::string
CliHelp();

} // namespace walnutwing

#endif // WALNUTWING_CLI_RUN_CLI_H_
