// walnutwing-demo: starts a small fleet on this machine, injects common
// failures, prints whether each outcome was as expected, and stops everything
// that it started.
//
//   walnutwing-demo --bin=build
//
// Exits with 1 if any outcome was wrong.

#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "standin/fleet_fixture.h"

DEFINE_string(bin, "build", "the build directory");

namespace walnutwing::standin {
namespace {

constexpr std::uint64_t kTokens = 40;

class Demo
{
public:
  explicit Demo(Fleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  void Run()
  {
    ServeChats();
    ReuseCachedChat();
    SendOrderToTwoDaemons();
    LoseAppendResponse();
    StopPlatform();
    TakeZoneOutAndBack();
    KillEngine();
    KillDaemon();
    StopDaemon();
  }

  int Failures() const { return m_failures; }

private:
  void Print(const std::string& aText) { std::cout << aText << std::endl; }

  void Check(bool aCorrect, const std::string& aText)
  {
    Print((aCorrect ? "  ok     " : "  WRONG  ") + aText);
    m_failures += aCorrect ? 0 : 1;
  }

  // Starts eight chats over the daemons round-robin, leaving out daemon aSkip.
  std::vector<std::unique_ptr<OpenCall>> StartChats(const std::string& aName,
                                                    std::size_t aSkip = 99)
  {
    std::vector<std::unique_ptr<OpenCall>> chats;
    for (std::size_t i = 0; i < 8; ++i) {
      const std::size_t daemon = i % kFleetDaemons;
      if (daemon == aSkip) {
        continue;
      }
      chats.push_back(
        m_fleet.StartChat(daemon, aName + std::to_string(i), kTokens));
    }
    return chats;
  }

  std::size_t CountComplete(
    const std::vector<std::unique_ptr<OpenCall>>& aChats)
  {
    std::size_t complete = 0;
    for (const auto& chat : aChats) {
      m_fleet.WaitFor(*chat);
      complete += chat->IsComplete() ? 1 : 0;
    }
    return complete;
  }

  void CheckAllComplete(const std::vector<std::unique_ptr<OpenCall>>& aChats)
  {
    const std::size_t complete = CountComplete(aChats);
    Check(complete == aChats.size(),
          std::to_string(complete) + " of " + std::to_string(aChats.size()) +
            " callers got the whole answer to their own request");
  }

  // Retries an order, as callers do, until its answer is the recorded outcome
  // (status 200).
  std::unique_ptr<OpenCall> SendOrderUntilAnswered(std::size_t aDaemon,
                                                   const std::string& aKey)
  {
    std::unique_ptr<OpenCall> call;
    m_fleet.WaitUntil([&] {
      call = m_fleet.StartOrder(aDaemon, aKey);
      m_fleet.WaitFor(*call);
      if (call->m_status == 200) {
        return true;
      }
      m_fleet.RunLoopFor(Duration(200));
      return false;
    });
    return call;
  }

  void CheckRuns(const std::string& aKey, std::uint64_t aRuns)
  {
    const std::uint64_t runs = m_fleet.CountRuns(aKey);
    Check(runs == aRuns,
          "the plain service has run it " + std::to_string(runs) + " times");
  }

  void ServeChats()
  {
    Print("Eight chats through four daemons in two zones:");
    CheckAllComplete(StartChats("first-"));
  }

  // A new owner of an engine grants few permits until its predecessor must have
  // stopped, so chats spill over to other engines shortly after the start. New
  // chats are tried until that period has passed.
  void ReuseCachedChat()
  {
    Print("A chat returns through every daemon:");
    std::size_t cached = 0;
    std::size_t complete = 0;
    int chats = 0;
    m_fleet.WaitUntil([&] {
      cached = 0;
      complete = 0;
      const std::string name = "returning-" + std::to_string(++chats);
      for (std::size_t i = 0; i < kFleetDaemons; ++i) {
        const auto chat = m_fleet.StartChat(i, name, kTokens);
        m_fleet.WaitFor(*chat);
        complete += chat->IsComplete() ? 1 : 0;
        cached += chat->m_headers.Get("walnutwing-cached") == "1" ? 1 : 0;
      }
      return cached == kFleetDaemons - 1;
    });
    Check(complete == kFleetDaemons,
          std::to_string(complete) + " of 4 answers whole");
    Check(cached == kFleetDaemons - 1,
          std::to_string(cached) +
            " of 3 returns found their prefix cached, at chat " +
            std::to_string(chats));
  }

  void SendOrderToTwoDaemons()
  {
    Print("One order goes to two daemons at once:");
    const std::string key = m_fleet.NewOrderKey();
    const auto first = m_fleet.StartOrder(0, key);
    const auto second = m_fleet.StartOrder(2, key);
    m_fleet.WaitFor(*first);
    m_fleet.WaitFor(*second);
    const auto last = SendOrderUntilAnswered(1, key);
    Check(last->m_status == 200, "a repeat gets the recorded outcome");
    CheckRuns(key, 1);
  }

  void LoseAppendResponse()
  {
    Print("The platform loses the answer to an append that took effect:");
    m_fleet.SetFault(m_fleet.Platform(), "kind=lose_answers&count=1");
    const std::string key = m_fleet.NewOrderKey();
    const auto order = m_fleet.StartOrder(0, key);
    m_fleet.WaitFor(*order);
    const bool didRun = m_fleet.CountRuns(key) == 1;
    Check(didRun == (order->m_status == 200),
          "the caller was told " + (order->m_status == 200
                                      ? std::string("that it ran")
                                      : order->RunState()));
    Check(m_fleet.CountRuns(key) <= 1, "it has not run twice");
    m_fleet.SetFault(m_fleet.Platform(), "kind=none");
  }

  void StopPlatform()
  {
    Print("The platform goes down:");
    m_fleet.SetFault(m_fleet.Platform(), "kind=down");
    const std::string key = m_fleet.NewOrderKey();
    const auto order = m_fleet.StartOrder(0, key);
    const auto chats = StartChats("outage-");
    m_fleet.WaitFor(*order);
    Check(order->RunState() == "not run",
          "an order is refused: " + order->RunState());
    CheckAllComplete(chats);
    m_fleet.SetFault(m_fleet.Platform(), "kind=none");
    CheckRuns(key, 0);
    Print("The platform is back:");
    Check(SendOrderUntilAnswered(0, key)->m_status == 200,
          "the same order is taken");
    CheckRuns(key, 1);
  }

  std::uint64_t CountRequestsInZone2()
  {
    std::uint64_t seen = 0;
    for (const std::size_t engine : { 2U, 3U }) {
      seen +=
        m_fleet.FetchJson(m_fleet.EngineAddress(engine), "/record")["seen"]
          .get<std::uint64_t>();
    }
    return seen;
  }

  void TakeZoneOutAndBack()
  {
    Print("Zone z2 is taken out while chats are in progress:");
    const auto inProgress = StartChats("leaving-");
    m_fleet.TakeZoneOut("z2");
    m_fleet.RunLoopFor(Duration(1000));
    const std::uint64_t before = CountRequestsInZone2();
    CheckAllComplete(inProgress);
    Print("Eight chats with z2 out:");
    CheckAllComplete(StartChats("without-z2-"));
    Check(CountRequestsInZone2() == before,
          "z2's engines have received no new work");
    Print("Zone z2 comes back:");
    m_fleet.TakeZoneBack("z2");
    const bool used = m_fleet.WaitUntil([&] {
      CountComplete(
        StartChats("back-" + std::to_string(CountRequestsInZone2()) + "-"));
      return CountRequestsInZone2() > before;
    });
    Check(used, "z2's engines receive work again");
  }

  void KillEngine()
  {
    Print("An engine is killed (kill -9) in the middle of its answers:");
    const auto chats = StartChats("engine-");
    m_fleet.WaitUntil([&] {
      std::size_t started = 0;
      for (const auto& chat : chats) {
        started += chat->m_check->Tokens() > 2 || chat->m_ended ? 1 : 0;
      }
      return started == chats.size();
    });
    m_fleet.Engine(0).Kill();
    std::size_t complete = 0;
    std::size_t withErrorCode = 0;
    for (const auto& chat : chats) {
      m_fleet.WaitFor(*chat);
      complete += chat->IsComplete() ? 1 : 0;
      withErrorCode += !chat->IsComplete() && chat->Code() != 0 ? 1 : 0;
    }
    Check(complete + withErrorCode == chats.size(),
          std::to_string(complete) + " answers whole, " +
            std::to_string(withErrorCode) + " ended with a numbered error");
    m_fleet.RestartEngine(0);
  }

  void KillDaemon()
  {
    Print("A daemon is killed (kill -9) while it handles an order:");
    const std::string key = m_fleet.NewOrderKey();
    const auto lost = m_fleet.StartOrder(1, key);
    m_fleet.RunLoopFor(Duration(10));
    m_fleet.Daemon(1).Kill();
    m_fleet.WaitFor(*lost);
    const auto repeat = m_fleet.StartOrder(2, key);
    m_fleet.WaitFor(*repeat);
    const std::uint64_t runs = m_fleet.CountRuns(key);
    Check(runs <= 1, "it has run " + std::to_string(runs) + " times");
    Check(repeat->RunState() != "not run" || runs == 0,
          "a repeat at another daemon is told " +
            (repeat->m_status == 200 ? std::string("the outcome")
                                     : repeat->RunState()));
    Print("Chats through the three other daemons:");
    CheckAllComplete(StartChats("three-", 1));
    m_fleet.RestartDaemon(1);
    Print("The daemon's replacement has read all from the log and serves:");
    CheckAllComplete(StartChats("four-"));
  }

  void StopDaemon()
  {
    Print("A daemon is stopped (SIGTERM) while it relays an answer:");
    const auto chat = m_fleet.StartChat(3, "stopped", 200);
    m_fleet.WaitUntil(
      [&] { return chat->m_check->Tokens() > 3 || chat->m_ended; });
    m_fleet.Daemon(3).Signal(SIGTERM);
    m_fleet.WaitFor(*chat);
    Check(chat->IsComplete(), "the answer was finished");
    m_fleet.WaitUntil(
      [&] { return m_fleet.Daemon(3).ExitStatus().has_value(); });
    Check(m_fleet.Daemon(3).ExitStatus() == 0, "the daemon ended with 0");
  }

  Fleet& m_fleet;
  int m_failures = 0;
};

int
RunDemo()
{
  std::cout << "Starting a platform, two zones, four daemons, four engines and "
               "one plain service."
            << std::endl;
  Fleet::Options options;
  options.m_binDirectory = FLAGS_bin;
  options.m_engineStepMs = 10;
  options.m_serviceRunMs = 20;
  Fleet fleet(options);
  Demo demo(fleet);
  demo.Run();
  std::cout << (demo.Failures() == 0
                  ? "Every outcome was right."
                  : std::to_string(demo.Failures()) + " outcomes were wrong.")
            << std::endl;
  return demo.Failures() == 0 ? 0 : 1;
}

} // namespace
} // namespace walnutwing::standin

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("--bin=BUILD_DIRECTORY");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    return walnutwing::standin::RunDemo();
  } catch (const std::exception& error) {
    std::cerr << "walnutwing-demo: " << error.what() << '\n';
    return 1;
  }
}
