#ifndef WALNUTWING_CLI_EXPLAIN_H_
#define WALNUTWING_CLI_EXPLAIN_H_

// `walnutwing explain ID [FILE...]`: prints the timeline of one request from
// the log lines of routers (docs/LOGS.md). Each line of the request is preceded
// by what its daemon knew at that time, as far as that is new since the line
// before: configuration, fleet, zones that are out, the store, and the listed
// state of the upstreams that the request's lines name.

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace walnutwing {

// Reads the log lines of aLogs, in any order, and prints the timeline of the
// request aId. Returns whether any line belongs to it. Lines that cannot be
// parsed are counted and skipped.
bool
Explain(const std::string& aId,
        const std::vector<std::istream*>& aLogs,
        std::ostream& aOut);

// Runs the command. aArguments are those after "explain". Reads the log files
// that they name, or aIn if they name none. Returns the exit status.
int
RunExplain(const std::vector<std::string>& aArguments,
           std::istream& aIn,
           std::ostream& aOut,
           std::ostream& aErr);

} // namespace walnutwing

#endif // WALNUTWING_CLI_EXPLAIN_H_
