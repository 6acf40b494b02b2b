// Consumers on kept channels read a part of a long answer, nothing for some
// seconds, and then the rest. The engine has given the whole answer at once.
// The routers' settings files change just before these requests are sent. LOST
// is broken if more than three of the channels end without the complete answer,
// long before the time budget has passed.

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

constexpr std::size_t kConsumers = 9;
constexpr std::size_t kMaxLost = 3; // by the rule
constexpr std::size_t kAnswerBytes = 200'000;
constexpr std::size_t kFirstPart = 16'384; // read before the pause
constexpr Duration kPause{ 3000 };
constexpr Duration kSettleTime{ 1500 };
constexpr Duration kLimit{ 15'000 };
constexpr const char* kBudget = "X-Deadline-Ms: 10000\r\n";

// A consumer that decides when it reads.
class Reader : public std::enable_shared_from_this<Reader>
{
public:
  Reader(Fleet& aFleet, std::string aName, std::size_t aRouter)
    : m_fleet(aFleet)
    , m_name(std::move(aName))
    , m_socket(aFleet.Loop())
    , m_timer(aFleet.Loop())
  {
    m_socket.connect(aFleet.Frontend(aRouter));
  }

  // A short request first, so that the channel is a kept one.
  void Start()
  {
    Send("/lookup/short", m_name + "-1");
    Read();
  }

  void SendLong()
  {
    Send("/lookup/long", m_name + "-2");
    Read();
  }

  bool Done() const { return m_done; }
  bool Complete() const { return m_complete; }
  bool KeptChannel() const { return m_answers != 0; }

private:
  void Send(const std::string& aPath, const std::string& aId)
  {
    boost::system::error_code ignored; // the read that follows reports it
    asio::write(m_socket,
                asio::buffer(MakeRequest("GET", aPath, aId, kBudget, "")),
                ignored);
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_input),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t aBytes) {
        self->m_received.append(self->m_input.data(), aBytes);
        self->OnRead(aError);
      });
  }

  void OnRead(const boost::system::error_code& aError)
  {
    if (aError) {
      m_done = true;
      m_fleet.Note(m_name + ": the channel ends after " +
                   std::to_string(m_received.size()) + " bytes, " +
                   aError.message());
      return;
    }
    if (IsComplete()) {
      OnAnswer();
      return;
    }
    const bool pauses = HasTrouble() && !m_paused && m_answers == 1 &&
                        m_received.size() >= kFirstPart;
    if (!pauses) {
      Read();
      return;
    }
    m_paused = true;
    m_fleet.Note(m_name + ": has read " + std::to_string(m_received.size()) +
                 " bytes and reads nothing for " +
                 std::to_string(kPause.count()) + " ms");
    m_timer.expires_after(kPause);
    m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aCancelled) {
        if (!aCancelled) {
          self->Read();
        }
      });
  }

  bool IsComplete() const
  {
    const std::string field = "Content-Length: ";
    const std::size_t head = m_received.find("\r\n\r\n");
    const std::size_t at = m_received.find(field);
    if (head == std::string::npos || at == std::string::npos || at > head) {
      return false;
    }
    const std::size_t bytes =
      std::strtoul(m_received.c_str() + at + field.size(), nullptr, 10);
    return m_received.size() >= head + 4 + bytes;
  }

  void OnAnswer()
  {
    const std::string status = m_received.substr(0, m_received.find('\r'));
    m_fleet.Note(m_name + ": a complete answer, " + status + ", " +
                 std::to_string(m_received.size()) + " bytes");
    m_received.clear();
    m_complete = m_answers++ != 0;
    m_done = m_complete;
  }

  Fleet& m_fleet;
  std::string m_name;
  Tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::array<char, 4096> m_input{};
  std::string m_received;
  std::size_t m_answers = 0;
  bool m_paused = false;
  bool m_complete = false;
  bool m_done = false;
};

int
RunCase(const std::string& aRecordFile)
{
  Fleet fleet(aRecordFile, { "z1", "z2", "z3" });
  fleet.PutConfig(
    MakeConfig(MakeRoute("/lookup/",
                         "idempotent",
                         "lookups",
                         R"("timeoutMs":10000,"targetLatencyMs":300,)"
                         R"("maxAttempts":1)"),
               { "lookups" }));
  for (const char* zone : { "z1", "z2", "z3" }) {
    const std::size_t index = fleet.AddEngine("lookups", zone, "v1");
    fleet.Server(index).SetHandler(
      [&fleet, name = fleet.EngineAt(index).m_id](
        const std::shared_ptr<standin::UpstreamExchange>& aExchange) {
        const auto& request = aExchange->Request();
        const bool isLong = request.target().ends_with("long");
        const std::size_t bytes = isLong ? kAnswerBytes : 800;
        aExchange->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                         std::string(request["X-Attempt-Id"]) +
                         "\r\nX-Response-Seal: seal\r\nContent-Length: " +
                         std::to_string(bytes) + "\r\n\r\n" +
                         std::string(bytes, 'x'));
        fleet.Note(name + " has answered " +
                   std::string(request["X-Attempt-Id"]) + " with " +
                   std::to_string(bytes) + " bytes");
      });
  }
  if (!fleet.Start()) {
    fleet.Note("the routers did not become ready");
    return kCouldNotRun;
  }
  fleet.RunFor(kSettleTime);
  std::vector<std::shared_ptr<Reader>> readers;
  for (std::size_t i = 0; i < kConsumers; ++i) {
    readers.push_back(std::make_shared<Reader>(
      fleet, "c" + std::to_string(i + 1), i % fleet.Routers()));
    readers.back()->Start();
  }
  const auto allKept = [&] {
    return std::all_of(readers.begin(), readers.end(), [](const auto& aReader) {
      return aReader->KeptChannel();
    });
  };
  if (!fleet.WaitUntil(allKept, kLimit)) {
    fleet.Note("the first requests are not answered");
    return kCouldNotRun;
  }
  fleet.ChangeSettings();
  for (const auto& reader : readers) {
    reader->SendLong();
  }
  const auto allDone = [&] {
    return std::all_of(readers.begin(), readers.end(), [](const auto& aReader) {
      return aReader->Done();
    });
  };
  if (!fleet.WaitUntil(allDone, kLimit)) {
    fleet.Note("some consumers wait longer than their time budget");
  }
  std::size_t lost = 0;
  for (const auto& reader : readers) {
    lost += reader->Complete() ? 0 : 1;
  }
  const bool broken = lost > kMaxLost;
  fleet.Note("consumers: " + std::to_string(readers.size()) +
             ", without their complete answer: " + std::to_string(lost));
  fleet.Note(broken ? "LOST is broken" : "LOST held");
  return broken ? kBroken : kHeld;
}

} // namespace
} // namespace walnutwing::review

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return walnutwing::review::kCouldNotRun;
  }
  try {
    return walnutwing::review::RunCase(aArguments[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return walnutwing::review::kCouldNotRun;
  }
}
