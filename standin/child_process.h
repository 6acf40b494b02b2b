#ifndef WALNUTWING_STANDIN_CHILD_PROCESS_H_
#define WALNUTWING_STANDIN_CHILD_PROCESS_H_

// A process that a test or the demo starts. It never outlives its handle, nor
// the process that started it.

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace walnutwing::standin {

class ChildProcess
{
public:
  // Runs aArguments[0] with the rest as its arguments; its output is appended
  // to aLogFile. Throws std::system_error if it cannot be started.
  ChildProcess(const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  // Kills it by its process id, if it still runs, and waits for its end.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return m_pid; }

  // Sends a signal; does nothing once the process has ended.
  void Signal(int aSignal);

  // SIGKILL, and waits for the end.
  void Kill();

  // Its exit status, or minus the signal that ended it; nothing while it runs.
  std::optional<int> ExitStatus();

private:
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CHILD_PROCESS_H_
