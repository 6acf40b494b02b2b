// Uses fork and exec rather than posix_spawn, so that the child can ask the
// kernel to kill it when its parent dies, even if the parent is killed by
// SIGKILL.

#include "standin/child_process.h"

#include <cerrno>
#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace walnutwing::standin {

namespace {

constexpr int kExecFailedStatus = 127;

// Runs in the child; calls only functions that are safe between fork and exec.
[[noreturn]] void
ExecChild(char* const* aArguments, const char* aLogFile, pid_t aParent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kExecFailedStatus);
  }
  const int log = open(aLogFile, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // A socket of the parent that the child holds too stays open when the parent
  // closes it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(aArguments[0], aArguments);
  _exit(kExecFailedStatus);
}

int
ExitStatusOf(int aWaitStatus)
{
  return WIFSIGNALED(aWaitStatus) ? -WTERMSIG(aWaitStatus)
                                  : WEXITSTATUS(aWaitStatus);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aArguments,
                           const std::string& aLogFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (m_pid == 0) {
    ExecChild(arguments.data(), aLogFile.c_str(), parent);
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Signal(int aSignal)
{
  if (!ExitStatus()) {
    kill(m_pid, aSignal);
  }
}

void
ChildProcess::Kill()
{
  if (ExitStatus()) {
    return;
  }
  kill(m_pid, SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_status = ExitStatusOf(status);
}

std::optional<int>
ChildProcess::ExitStatus()
{
  int status = 0;
  if (!m_status && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_status = ExitStatusOf(status);
  }
  return m_status;
}

} // namespace walnutwing::standin
