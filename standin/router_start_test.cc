// Tests of a router's first moments: signals that arrive before it handles
// them, and addresses that the process before it still holds. Guards against
// issue 44, FAULT: such a router ended, and did not serve.

#include "standin/router_harness.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

namespace walnutwing::standin {
namespace {

constexpr Duration kPollInterval{ 20 };
constexpr Duration kShortTime{ 400 }; // in which a router would have ended
constexpr int kAddressInUseExit = 1;

// Router processes without a fleet, whose settings the test hands over when it
// wants them to go on.
class RouterStart : public testing::Test
{
protected:
  RouterStart()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "walnutwing-start-XXXXXX")
        .string();
    EXPECT_NE(nullptr, mkdtemp(pattern.data()));
    m_directory = pattern;
  }
  ~RouterStart() override
  {
    std::error_code ignored; // a temporary directory
    std::filesystem::remove_all(m_directory, ignored);
  }

  std::string Path(const std::string& aName) const
  {
    return m_directory + "/" + aName;
  }

  static std::string Settings(int aStopLimitSeconds)
  {
    const auto pid = static_cast<unsigned>(getpid());
    const std::string ip = "127." + std::to_string(48 + (pid >> 16U & 15U)) +
                           "." + std::to_string(pid >> 8U & 255U) + "." +
                           std::to_string(pid & 255U);
    return "[router]\nname = d0\nzone = z0\nlisten = " + ip +
           ":8080\nready_listen = " + ip + ":8081\npeer_listen = " + ip +
           ":8082\nmetrics_port = 0\n[platform]\naddress = " + ip +
           ":7000\n[bounds]\nstop_limit_s = " +
           std::to_string(aStopLimitSeconds) + "\n";
  }

  void Start(const std::string& aSettingsName, const std::string& aLogName)
  {
    m_router = std::make_unique<ChildProcess>(
      std::vector<std::string>{ WALNUTWING_BUILD_DIR
                                "/router/walnutwing-router",
                                "router",
                                "--config",
                                Path(aSettingsName) },
      Path(aLogName));
  }

  std::string Log(const std::string& aName) const
  {
    std::ifstream file(Path(aName));
    return { std::istreambuf_iterator<char>(file), {} };
  }

  template<typename Condition>
  static bool WaitUntil(const Condition& aCondition)
  {
    for (Duration waited{ 0 }; waited < kHarnessWaitTimeout;
         waited += kPollInterval) {
      if (aCondition()) {
        return true;
      }
      usleep(static_cast<useconds_t>(kPollInterval.count() * 1000));
    }
    return false;
  }

  bool WaitUntilLogged(const std::string& aName, const std::string& aText)
  {
    return WaitUntil(
      [&] { return Log(aName).find(aText) != std::string::npos; });
  }

  // Starts a router that waits for its settings, which come through a pipe,
  // sends it aSignal, and then hands them over.
  void StartWithEarlySignal(int aSignal)
  {
    ASSERT_EQ(0, mkfifo(Path("r.ini").c_str(), 0600));
    Start("r.ini", "r.log");
    int pipe = -1;
    ASSERT_TRUE(WaitUntil([&] {
      pipe = open(Path("r.ini").c_str(), O_WRONLY | O_NONBLOCK);
      return pipe >= 0; // the router has opened it
    }));
    m_router->Signal(aSignal);
    const std::string text = Settings(8);
    std::ofstream(Path("file.ini")) << text;
    std::filesystem::rename(Path("file.ini"), Path("r.ini"));
    std::signal(SIGPIPE, SIG_IGN);
    static_cast<void>(write(pipe, text.data(), text.size())); // it may be gone
    close(pipe);
  }

  std::string m_directory;
  std::unique_ptr<ChildProcess> m_router;
};

TEST_F(RouterStart, EarlyReloadSignalDoesNotEndIt)
{
  StartWithEarlySignal(SIGHUP);
  EXPECT_TRUE(WaitUntilLogged("r.log", "\"started\""));
  usleep(static_cast<useconds_t>(kShortTime.count() * 1000));
  EXPECT_FALSE(m_router->ExitStatus());
}

TEST_F(RouterStart, EarlyStopSignalIsAPlannedStop)
{
  StartWithEarlySignal(SIGTERM);
  EXPECT_TRUE(WaitUntil([&] { return m_router->ExitStatus().has_value(); }));
  EXPECT_EQ(0, m_router->ExitStatus());
  EXPECT_NE(std::string::npos, Log("r.log").find("\"stopping\""));
}

// The process before ends a moment later.
TEST_F(RouterStart, WaitsForItsAddresses)
{
  std::ofstream(Path("r.ini")) << Settings(8);
  Start("r.ini", "old.log");
  ASSERT_TRUE(WaitUntilLogged("old.log", "\"started\""));
  const std::unique_ptr<ChildProcess> old = std::move(m_router);
  Start("r.ini", "new.log");
  EXPECT_TRUE(WaitUntilLogged("new.log", "waiting for an address"));
  usleep(static_cast<useconds_t>(kShortTime.count() * 1000));
  EXPECT_FALSE(m_router->ExitStatus());
  old->Kill();
  EXPECT_TRUE(WaitUntilLogged("new.log", "\"started\""));
}

TEST_F(RouterStart, StopsWhileItWaitsForItsAddresses)
{
  std::ofstream(Path("r.ini")) << Settings(8);
  Start("r.ini", "old.log");
  ASSERT_TRUE(WaitUntilLogged("old.log", "\"started\""));
  const std::unique_ptr<ChildProcess> old = std::move(m_router);
  Start("r.ini", "new.log");
  usleep(static_cast<useconds_t>(kShortTime.count() * 1000));
  m_router->Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([&] { return m_router->ExitStatus().has_value(); }));
  EXPECT_EQ(0, m_router->ExitStatus());
}

// Guards against a router that waits without end where another program has its
// address.
TEST_F(RouterStart, GivesUpItsAddressesAfterTheTimeOfAStop)
{
  std::ofstream(Path("r.ini")) << Settings(1);
  Start("r.ini", "old.log");
  ASSERT_TRUE(WaitUntilLogged("old.log", "\"started\""));
  const std::unique_ptr<ChildProcess> old = std::move(m_router);
  Start("r.ini", "new.log");
  EXPECT_TRUE(WaitUntil([&] { return m_router->ExitStatus().has_value(); }));
  EXPECT_EQ(kAddressInUseExit, m_router->ExitStatus());
  EXPECT_NE(std::string::npos, Log("new.log").find("5007"));
}

} // namespace
} // namespace walnutwing::standin
