// Case 7. The store turns one router away and serves the others. Meanwhile an
// engine crashes, starts again under its id with another software version and
// registers, and crashes once more with streams at work.
//
// ORDER is broken if more than two streams hold events of two versions. Exit
// status: 1 broken, 0 held, 2 the case could not run.

#include "review/standin-2/fleet.h"

#include <chrono>
#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

constexpr std::size_t kRouters = 3;
constexpr std::size_t kEngines = 6;
constexpr std::size_t kCutRouter = 2;
constexpr int kStreams = 180;
constexpr int kMaxMixed = 2; // LETTER-7.md, ORDER, "more than two streams"
constexpr Duration kCutBefore{ 500 };
constexpr Duration kDown{ 800 };
constexpr Duration kWork{ 1500 };
constexpr Duration kUntilBegin{ 2000 };
constexpr Duration kCutAfter{ 500 };
constexpr Duration kMaxCut{ 9000 }; // the site's platform_down
constexpr Duration kUntilEnded{ 7500 };

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = kRouters, .m_engines = kEngines }, aRecordFile);
  Record& record = fleet.GetRecord();
  constexpr Duration kQuiet{ 1500 };
  fleet.RunFor(kQuiet);
  const auto cutAt = std::chrono::steady_clock::now();
  if (WithTrouble()) {
    fleet.CutFromStore(kCutRouter, true);
  }
  fleet.RunFor(kCutBefore);
  fleet.CrashEngine(0);
  fleet.RunFor(kDown);
  fleet.RestartEngine(0, "v2");
  fleet.RunFor(kUntilBegin);
  std::vector<std::unique_ptr<CallerStandin>> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(fleet.Connect(static_cast<std::size_t>(i) % kRouters));
    clients.back()->Send(MakeStreamRequest("a" + std::to_string(i), i, ""));
    constexpr Duration kBetween{ 10 };
    fleet.RunFor(kBetween);
  }
  fleet.RunFor(kWork);
  fleet.CrashEngine(0);
  fleet.RunFor(kDown);
  fleet.RestartEngine(0, "v2");
  fleet.RunFor(kCutAfter);
  if (WithTrouble()) {
    fleet.CutFromStore(kCutRouter, false);
  }
  if (std::chrono::steady_clock::now() - cutAt > kMaxCut) {
    std::cout << "the machine is too slow: the cut took too long\n";
    return 2;
  }
  fleet.RunFor(kUntilEnded);

  int mixed = 0;
  int begun = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string& received = clients[i]->Received();
    const bool first = received.find("data: v1-") != std::string::npos;
    const bool second = received.find("data: v2-") != std::string::npos;
    begun += first || second ? 1 : 0;
    mixed += first && second ? 1 : 0;
    record.Add("a" + std::to_string(i) + " at router " +
               std::to_string(static_cast<std::size_t>(i) % kRouters + 1) +
               " got events up to " + std::to_string(LastEventOf(received)) +
               (first ? " of v1" : "") + (first && second ? " and" : "") +
               (second ? " of v2" : "") +
               (received.ends_with("0\r\n\r\n") ? ", complete" : ""));
  }
  const std::string result = "of " + std::to_string(begun) + " streams " +
                             std::to_string(mixed) +
                             " hold events of two versions";
  record.Add(result);
  std::cout << result << "\n";
  if (begun < kStreams / 2) {
    return 2;
  }
  return mixed > kMaxMixed ? 1 : 0;
}

} // namespace
} // namespace walnutwing::review

int
main(int aCount, char** aArguments)
{
  try {
    return aCount == 2 ? walnutwing::review::Run(aArguments[1]) : 2;
  } catch (const std::exception& error) {
    std::cout << "the case could not run: " << error.what() << "\n";
    return 2;
  }
}
