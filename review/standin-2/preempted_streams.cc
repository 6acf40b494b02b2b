// A router that has got SIGTERM has streams at work. The engines are full, and
// two of them preempt their newest streams for less time than clients bear.
//
// LOST is broken if a stream is cut. Exit status: 1 broken, 0 held, 2 the case
// could not run.

#include "review/standin-2/fleet.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

constexpr std::size_t kRouters = 7; // as on the site, for the shared budget
constexpr int kStreams = 24;
constexpr Duration kInTouch{ 1500 };
constexpr Duration kBegin{ 1700 };
constexpr Duration kUntilPause{ 300 }; // after SIGTERM
constexpr Duration kPause{ 1800 };     // clients bear 2.4 s, 8 pauses of 0.3 s
constexpr Duration kFull{ 2500 };
constexpr Duration kUntilEnded{ 4500 };

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = kRouters }, aRecordFile);
  Record& record = fleet.GetRecord();
  fleet.RunFor(kInTouch);
  std::vector<std::unique_ptr<CallerStandin>> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(fleet.Connect(0));
    clients.back()->Send(MakeStreamRequest("a" + std::to_string(i), i, ""));
  }
  fleet.RunFor(kBegin);
  fleet.SetPoolFull(true);
  fleet.Router(0).Signal(SIGTERM);
  record.Add("router 1 gets SIGTERM");
  fleet.RunFor(kUntilPause);
  if (WithTrouble()) {
    fleet.PauseStreams(0, kPause);
    fleet.PauseStreams(1, kPause);
  }
  fleet.RunFor(kFull);
  fleet.SetPoolFull(false);
  fleet.RunFor(kUntilEnded);

  int cut = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string& received = clients[i]->Received();
    if (LastEventOf(received) == 0) {
      std::cout << "a stream has not begun\n";
      return 2;
    }
    const bool complete = received.ends_with("0\r\n\r\n");
    cut += complete ? 0 : 1;
    record.Add("a" + std::to_string(i) + " got events up to " +
               std::to_string(LastEventOf(received)) +
               (complete ? ", complete" : ", and was cut"));
  }
  const std::string result = "streams that were cut: " + std::to_string(cut) +
                             " of " + std::to_string(kStreams);
  record.Add(result);
  std::cout << result << "\n";
  return cut != 0 ? 1 : 0;
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
