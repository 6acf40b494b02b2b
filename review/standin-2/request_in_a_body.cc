// Case 9. A client posts an order whose body is framed by a transfer coding
// other than "chunked" alone. The body holds the text of a second request.
//
// UNASKED is broken if an engine runs a request whose id no client sent as a
// request, or an order with another body than its client's. Exit status: 1
// broken, 0 held, 2 the case could not run.

#include "review/standin-2/fleet.h"

#include <exception>
#include <iostream>

namespace walnutwing::review {
namespace {

int
Run(const std::string& aRecordFile)
{
  Fleet fleet({ .m_routers = 1 }, aRecordFile);
  Record& record = fleet.GetRecord();
  int hidden = 0;
  int changed = 0;
  const std::string body = MakeHead("POST", "/order/x", "in-a-body", "");
  fleet.SetHandler(
    [&](std::size_t, const std::shared_ptr<UpstreamExchange>& aExchange) {
      const auto& request = aExchange->Request();
      const bool isHidden = request["X-Attempt-Id"] == "in-a-body";
      hidden += isHidden ? 1 : 0;
      changed += !isHidden && request.body() != body ? 1 : 0;
      aExchange->Write(standin::MakeUpstreamResponse(request, 200, "done"));
    });
  const std::string length =
    "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::vector<std::string> framings =
    WithTrouble()
      ? std::vector<std::string>{ "Transfer-Encoding: gzip\r\n",
                                  "Transfer-Encoding: chunked, identity\r\n",
                                  "Transfer-Encoding: xchunked\r\n" }
      : std::vector<std::string>{ length };
  int number = 0;
  for (const std::string& framing : framings) {
    const auto client = fleet.Connect(0);
    const std::string id = "order-" + std::to_string(number++);
    client->Send(MakeHead("POST", "/order/x", id, framing) + body);
    record.Add("a client sends " + id + " with " +
               framing.substr(0, framing.find('\r')) + " and a body of " +
               std::to_string(body.size()) + " bytes");
    constexpr Duration kUntilAnswered{ 1000 };
    fleet.RunFor(kUntilAnswered);
    std::size_t answers = 0;
    const std::string& received = client->Received();
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1)) {
      ++answers;
    }
    record.Add("it got " + std::to_string(answers) + " answers, the first: " +
               received.substr(0, received.find('\r')));
  }
  const std::string result =
    "requests run out of a body: " + std::to_string(hidden) +
    "; orders run with another body: " + std::to_string(changed);
  record.Add(result);
  std::cout << result << "\n";
  return hidden + changed != 0 ? 1 : 0;
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
