// Case 6. Ordinary clients have orders at work on kept channels. One more
// client sends two requests on one channel without waiting for the first
// answer. The second has a prompt whose list of parts is longer than 64 KiB,
// within the limit of the configuration. With TROUBLE=0 it is shorter.
//
// LOST is broken if more than three of the kept channels end without an
// answer. Exit status: 1 broken, 0 held, 2 the case could not run.

#include "review/standin-2/fleet.h"

#include <chrono>
#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

constexpr std::size_t kOrders = 10;
constexpr std::size_t kMaxLost = 3; // RULES.md, LOST, "more than three times"
constexpr Duration kWork{ 1500 };
constexpr std::size_t kMaxHeaderBytes = 131072;
constexpr std::size_t kLongPrompt = 70'000;
constexpr std::size_t kShorterPrompt = 50'000;

std::string
MakePrompt()
{
  const std::size_t bytes = WithTrouble() ? kLongPrompt : kShorterPrompt;
  std::string parts = "5c1e07a2:800";
  for (int i = 0; parts.size() < bytes; ++i) {
    parts += "," + std::to_string(10'000'000 + i) + ":1";
  }
  return parts;
}

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = 1, .m_maxHeaderBytes = kMaxHeaderBytes },
              aRecordFile);
  struct Work
  {
    std::shared_ptr<UpstreamExchange> m_exchange;
    Time m_endsAt;
    bool m_ended = false;
  };
  std::vector<Work> work;
  const auto now = [] {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
  };
  fleet.SetHandler(
    [&](std::size_t, const std::shared_ptr<UpstreamExchange>& aExchange) {
      const auto& request = aExchange->Request();
      if (request.target() == "/order/x") {
        work.push_back({ aExchange, now() + kWork });
      } else {
        aExchange->Write(standin::MakeUpstreamResponse(request, 200, "done"));
      }
    });
  const auto runFor = [&](Duration aTime) {
    constexpr Duration kStep{ 20 };
    for (Duration left = aTime; left > Duration::zero(); left -= kStep) {
      fleet.RunFor(kStep);
      for (Work& item : work) {
        if (!item.m_ended && now() >= item.m_endsAt) {
          item.m_ended = true;
          item.m_exchange->Write(standin::MakeUpstreamResponse(
            item.m_exchange->Request(), 200, "done"));
        }
      }
    }
  };

  constexpr Duration kUntilInTouch{ 3500 };
  runFor(kUntilInTouch);

  std::vector<std::unique_ptr<CallerStandin>> clients;
  // A request that is answered first, so that the channels are kept ones.
  for (std::size_t i = 0; i < kOrders; ++i) {
    clients.push_back(fleet.Connect(0));
    clients.back()->Send(
      MakeHead("GET", "/lookup/x", "before-" + std::to_string(i), ""));
  }
  constexpr Duration kUntilAnswered{ 500 };
  runFor(kUntilAnswered);
  std::vector<std::size_t> answered;
  for (std::size_t i = 0; i < kOrders; ++i) {
    answered.push_back(clients[i]->Received().size());
    if (answered.back() == 0 || clients[i]->Ended()) {
      std::cout << "a channel was not kept\n";
      return 2;
    }
    clients[i]->Send(MakeHead("POST",
                              "/order/x",
                              "order-" + std::to_string(i),
                              "Content-Length: 0\r\n"));
  }
  constexpr Duration kUntilAtWork{ 400 };
  runFor(kUntilAtWork);
  if (work.size() != kOrders) {
    std::cout << "only " << work.size() << " orders reached an engine\n";
    return 2;
  }
  fleet.GetRecord().Add(std::to_string(kOrders) +
                        " orders are at work, on kept channels");

  const auto other = fleet.Connect(0);
  other->Send(MakeHead("GET", "/lookup/x", "first", "") +
              MakeHead("GET",
                       "/lookup/x",
                       "second",
                       "X-Prompt-Prefix: " + MakePrompt() + "\r\n"));
  fleet.GetRecord().Add(
    "a client sends two requests on one channel; the second has a prompt of " +
    std::to_string(MakePrompt().size()) + " bytes");
  constexpr Duration kUntilAllEnded{ 5000 };
  runFor(kUntilAllEnded);

  std::size_t lost = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const std::string received = clients[i]->Received().substr(answered[i]);
    const bool ended = clients[i]->Ended() && received.empty();
    lost += ended ? 1 : 0;
    fleet.GetRecord().Add("order-" + std::to_string(i) + " got " +
                          (received.empty()
                             ? (ended ? "a closed channel" : "nothing")
                             : received.substr(0, received.find('\r'))));
  }
  const auto status = fleet.Router(0).ExitStatus();
  const std::string result =
    "orders that ran and lost their answer: " + std::to_string(lost) + " of " +
    std::to_string(kOrders) + "; the router's process " +
    (status ? "ended by itself, status " + std::to_string(*status) : "runs");
  fleet.GetRecord().Add(result);
  std::cout << result << "\n";
  return lost > kMaxLost ? 1 : 0;
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
