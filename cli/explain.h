#ifndef WALNUTWING_CLI_EXPLAIN_H_
#define WALNUTWING_CLI_EXPLAIN_H_

// `walnutwing explain ID [FILE...]`: the story of one request from routers' log
// lines (docs/LOGS.md): its own lines in order, each after the beliefs that its
// daemon held at that moment: configuration, fleet, zones that are out, the
// store, and what was listed of the upstreams that its lines name.

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace walnutwing {

// Reads the log lines of aLogs, in any order, and prints the story of aId.
// Returns whether any line speaks of it. Lines that are no log lines are
// counted and passed over.
bool
Explain(const std::string& aId,
        const std::vector<std::istream*>& aLogs,
        std::ostream& aOut);

// The command: arguments after "explain"; logs are read from the files named,
// or from aIn where none is. Returns the exit status.
int
RunExplain(const std::vector<std::string>& aArguments,
           std::istream& aIn,
           std::ostream& aOut,
           std::ostream& aErr);

} // namespace walnutwing

#endif // WALNUTWING_CLI_EXPLAIN_H_
