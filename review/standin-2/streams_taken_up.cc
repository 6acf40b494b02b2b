// Case 10. A router freezes while clients have streams there, and an engine of
// another software version joins meanwhile. The clients give up after the gap
// that PROTOCOL.md states and take their streams up at the other routers.
//
// LOST is broken if the share of streams that go on is under half of the share
// of new streams that begin. Exit status: 1 broken, 0 held, 2 it could not run.

#include "review/standin-2/fleet.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

constexpr std::size_t kRouters = 4;
constexpr int kStreams = 24; // the rule asks for 12 or more
constexpr Duration kBegin{ 1500 };
constexpr Duration kUntilJoin{ 1000 };      // after the freeze began
constexpr Duration kClientPatience{ 2500 }; // a gap of 2.4 s, 8 pauses of 0.3 s
constexpr Duration kFreeze{ 3800 };
constexpr Duration kUntilBegun{ 1200 };

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = kRouters }, aRecordFile);
  Record& record = fleet.GetRecord();
  std::vector<std::unique_ptr<CallerStandin>> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(fleet.Connect(0));
    clients.back()->Send(MakeStreamRequest("a" + std::to_string(i), i, ""));
  }
  fleet.RunFor(kBegin);
  if (WithTrouble()) {
    fleet.Router(0).Signal(SIGSTOP);
    record.Add("router 1 freezes");
  }
  fleet.RunFor(kUntilJoin);
  fleet.AddEngine("v2");
  fleet.RunFor(kClientPatience - kUntilJoin);

  std::vector<std::unique_ptr<CallerStandin>> takenUp;
  std::vector<std::unique_ptr<CallerStandin>> fresh;
  for (int i = 0; i < kStreams; ++i) {
    const int last = LastEventOf(clients[i]->Received());
    if (last == 0) {
      std::cout << "a stream has not begun\n";
      fleet.Router(0).Signal(SIGCONT);
      return 2;
    }
    clients[i]->Close();
    const std::size_t router = 1 + static_cast<std::size_t>(i) % 3;
    const std::string number = std::to_string(i);
    std::string line = "client a" + number + " has events 1 to ";
    line += std::to_string(last) + ", leaves, and takes the stream up at ";
    line += "router " + std::to_string(router + 1) + " as b" + number;
    record.Add(line);
    takenUp.push_back(fleet.Connect(router));
    takenUp.back()->Send(
      MakeStreamRequest("b" + number,
                        i,
                        "Last-Event-Id: " + std::to_string(last) +
                          "\r\nResumes: a" + number + "\r\n"));
    fresh.push_back(fleet.Connect(router));
    fresh.back()->Send(MakeStreamRequest("n" + number, kStreams + i, ""));
  }
  fleet.RunFor(kUntilBegun);
  if (WithTrouble()) {
    fleet.RunFor(kFreeze - kClientPatience - kUntilBegun);
    fleet.Router(0).Signal(SIGCONT);
    record.Add("router 1 goes on");
  }
  int wentOn = 0;
  int begun = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string& answer = takenUp[i]->Received();
    wentOn += LastEventOf(answer) != 0 ? 1 : 0;
    begun += LastEventOf(fresh[i]->Received()) != 0 ? 1 : 0;
    record.Add("b" + std::to_string(i) + " got " +
               answer.substr(0, answer.find('\r')));
  }
  const std::string result = "of " + std::to_string(kStreams) +
                             " streams taken up " + std::to_string(wentOn) +
                             " went on; of as many new streams " +
                             std::to_string(begun) + " began";
  record.Add(result);
  std::cout << result << "\n";
  if (begun == 0) {
    return 2;
  }
  return 2 * wentOn < begun ? 1 : 0;
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
