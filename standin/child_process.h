#ifndef WALNUTWING_STANDIN_CHILD_PROCESS_H_
#define WALNUTWING_STANDIN_CHILD_PROCESS_H_

// A child process of a test or the demo. It is killed when its ChildProcess is
// destroyed or the process that started it dies.

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace walnutwing::standin {

class ChildProcess
{
public:
  // Runs aArguments[0] with the remaining arguments; appends its output to
  // aLogFile. Throws std::system_error if fork fails; if exec fails, the
  // process exits with status 127.
  ChildProcess(const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  // Kills the process, if it still runs, and waits for its end.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }

  // Sends aSignal, unless the process has ended.
  void Signal(int aSignal);

  // Sends SIGKILL and waits for the end.
  void Kill();

  // The exit status, or the negated number of the signal that ended it; empty
  // while the process runs.
  std::optional<int> ExitStatus();

private:
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CHILD_PROCESS_H_
