// Case 8. Another writer than the engine leaves an entry in the list of
// engines that lacks most fields: under the id and with the address of a model
// engine (service pool), but with the name of the other service (app).
//
// ROUTE is broken if an engine of pool runs an order, whose route has only
// ever led to app. Exit status: 1 broken, 0 held, 2 the case could not run.

#include "review/standin-2/fleet.h"

#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

constexpr std::size_t kModelEngine = 1;
constexpr int kEntries = 3;
constexpr int kOrdersPerEntry = 12;

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = 1 }, aRecordFile);
  Record& record = fleet.GetRecord();
  int strayed = 0;
  int right = 0;
  std::vector<std::shared_ptr<UpstreamExchange>> atWork;
  fleet.SetHandler([&](std::size_t aEngine,
                       const std::shared_ptr<UpstreamExchange>& aExchange) {
    (fleet.ServiceOf(aEngine) == "app" ? right : strayed) += 1;
    atWork.push_back(aExchange);
  });
  int number = 0;
  for (int i = 0; i < kEntries; ++i) {
    if (WithTrouble()) {
      fleet.PutForeignEntry(kModelEngine, "app");
    }
    constexpr Duration kUntilRead{ 300 };
    fleet.RunFor(kUntilRead);
    std::vector<std::unique_ptr<CallerStandin>> clients;
    for (int k = 0; k < kOrdersPerEntry; ++k) {
      clients.push_back(fleet.Connect(0));
      clients.back()->Send(MakeHead("POST",
                                    "/order/x",
                                    "order-" + std::to_string(number++),
                                    "Content-Length: 0\r\n"));
    }
    constexpr Duration kWork{ 200 };
    fleet.RunFor(kWork);
    for (const auto& exchange : atWork) {
      exchange->Write(
        standin::MakeUpstreamResponse(exchange->Request(), 200, "done"));
    }
    atWork.clear();
    constexpr Duration kPause{ 1500 }; // the engine writes its own entry again
    fleet.RunFor(kPause);
    for (const auto& client : clients) {
      const std::string& answer = client->Received();
      record.Add("an order got " + answer.substr(0, answer.find('\r')));
    }
  }
  const std::string result =
    "orders run by the service of their route: " + std::to_string(right) +
    ", by another one: " + std::to_string(strayed);
  record.Add(result);
  std::cout << result << "\n";
  if (right == 0) {
    return 2;
  }
  return strayed != 0 ? 1 : 0;
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
