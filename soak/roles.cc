#include "soak/roles.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <random>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/store_codec.h"
#include "router/store_channel.h"
#include "soak/proxy.h"
#include "standin/router_harness.h"

namespace walnutwing::soak {
namespace {

namespace asio = boost::asio;
using Exchange = std::shared_ptr<standin::UpstreamExchange>;
using std::chrono::milliseconds;

constexpr milliseconds kExpiryCheckInterval(200);
constexpr milliseconds kRegisterInterval(600);
constexpr milliseconds kStoreTimeout(1500);
constexpr milliseconds kEventInterval(15);
constexpr std::uint64_t kMinRunMs = 3;
constexpr std::uint64_t kRunJitterMs = 40;
constexpr std::uint64_t kRefusedPercent = 3;

struct DefectName
{
  Defect m_defect;
  std::string_view m_name;
};

constexpr std::array<DefectName, 12> kDefects{ {
  { Defect::None, "none" },
  { Defect::Twice, "twice" },
  { Defect::FalseNotExecuted, "false_promise" },
  { Defect::Altered, "altered" },
  { Defect::Gap, "gap" },
  { Defect::Drain, "drain" },
  { Defect::Config, "config" },
  { Defect::Backward, "backward" },
  { Defect::Stop, "stop" },
  { Defect::Repeats, "repeats" },
  { Defect::Cold, "cold" },
  { Defect::Recover, "recover" },
} };

// Registers with the store at a fixed interval and answers requests.
class UpstreamRole
{
public:
  explicit UpstreamRole(const UpstreamRoleOptions& aOptions)
    : m_options(aOptions)
    , m_record(aOptions.m_record, std::ios::app)
    , m_standin(m_loop, aOptions.m_ip, aOptions.m_port)
    , m_store(
        std::make_shared<router::StoreChannel>(m_loop,
                                               ParseEndpoint(aOptions.m_store)))
    , m_signals(m_loop, SIGUSR1)
    , m_registerTimer(m_loop)
    , m_random(aOptions.m_seed)
    , m_coldUntil(Now() + aOptions.m_cold)
  {
    m_standin.SetRecordsExchanges(false);
    m_standin.SetHandler(
      [this](const Exchange& aExchange) { Serve(aExchange); });
    if (aOptions.m_cold > Duration::zero()) {
      WriteRecord(m_coldUntil, "cold", "-");
    }
    m_signals.async_wait(
      [this](const boost::system::error_code&, int) { m_draining = true; });
    Register();
  }

  [[noreturn]] void Run()
  {
    m_loop.run();
    std::abort(); // not reached: a registration is always pending
  }

private:
  static Time Now() { return SteadyClock().Now(); }

  void WriteRecord(Time aAt, std::string_view aWhat, std::string_view aId)
  {
    // std::endl flushes, so that the line survives a SIGKILL.
    m_record << aAt.time_since_epoch().count() << ' ' << aWhat << ' '
             << m_options.m_name << ' ' << aId << std::endl;
  }

  std::string MakeEntry() const
  {
    const bool announcesDrain =
      m_draining && m_options.m_defect != Defect::Drain;
    const bool announcesCold = m_options.m_defect != Defect::Cold;
    const auto coldRemainingMs =
      announcesCold ? std::max<Duration::rep>(0, (m_coldUntil - Now()).count())
                    : 0;
    return R"({"service":"s","address":")" + m_options.m_address +
           R"(","zone":")" + m_options.m_zone + R"(","slots":8,"state":")" +
           (announcesDrain ? "draining" : "ready") + R"(","coldRemainingMs":)" +
           std::to_string(coldRemainingMs) + "}";
  }

  void Register()
  {
    const bool announcedDrain = m_draining;
    m_store->Call(
      platform::EncodePutRequest(
        platform::kUpstreamTopic, m_options.m_name, MakeEntry()),
      kStoreTimeout,
      [this, announcedDrain](const router::StoreResponse& aResponse) {
        if (announcedDrain && !m_drainRecorded && aResponse.m_status == 200) {
          m_drainRecorded = true;
          WriteRecord(Now(), "drain", "-");
        }
        m_registerTimer.expires_after(kRegisterInterval);
        m_registerTimer.async_wait(
          [this](const boost::system::error_code&) { Register(); });
      });
  }

  void Serve(const Exchange& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string id(request["X-Attempt-Id"]);
    if (request["X-Expect-Instance"] != m_options.m_name) {
      aExchange->Write(standin::MakeUpstreamResponse(request, 421, ""));
      return;
    }
    WriteRecord(Now(), "arrive", id);
    if (m_options.m_defect == Defect::Repeats) {
      WriteRecord(Now(), "arrive", id);
      WriteRecord(Now(), "arrive", id);
    }
    if (m_random() % 100 < kRefusedPercent) {
      if (m_options.m_defect == Defect::FalseNotExecuted) {
        WriteRecord(Now(), "run", id);
      }
      aExchange->Write(standin::MakeUpstreamResponse(
        request, 503, "full", "X-Not-Executed: 1\r\n"));
      return;
    }
    WriteRecord(Now(), "run", id);
    const std::string target(request.target());
    if (m_options.m_defect == Defect::Twice && target.starts_with("/order/")) {
      WriteRecord(Now(), "run", id);
    }
    if (target.starts_with("/stream/") || target.starts_with("/resume/")) {
      aExchange->Write(standin::MakeStreamHead(request));
      const std::string after(request["Last-Event-Id"]);
      SendEvent(
        aExchange, after.empty() ? 1 : std::atoi(after.c_str()) + 1, id);
      return;
    }
    AnswerLater(aExchange, id);
  }

  void AnswerLater(const Exchange& aExchange, const std::string& aId)
  {
    const bool altered = m_options.m_defect == Defect::Altered;
    const std::string body = altered ? AnswerBody("nobody") : AnswerBody(aId);
    ScheduleAfter(
      milliseconds(kMinRunMs + m_random() % kRunJitterMs), [aExchange, body] {
        aExchange->Write(
          standin::MakeUpstreamResponse(aExchange->Request(), 200, body));
      });
  }

  void SendEvent(const Exchange& aExchange, int aNumber, const std::string& aId)
  {
    if (aNumber > kStreamEvents) {
      aExchange->Write("0\r\n\r\n");
      return;
    }
    const bool omitted = m_options.m_defect == Defect::Gap && aNumber == 7;
    if (!omitted) {
      aExchange->Write(standin::MakeChunk("id: " + std::to_string(aNumber) +
                                          "\ndata: " + EventData(aNumber, aId) +
                                          "\n\n"));
    }
    ScheduleAfter(kEventInterval, [this, aExchange, aNumber, aId] {
      SendEvent(aExchange, aNumber + 1, aId);
    });
  }

  template<typename Action>
  void ScheduleAfter(milliseconds aTime, Action aAction)
  {
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, aTime);
    timer->async_wait(
      [timer, aAction](const boost::system::error_code&) { aAction(); });
  }

  UpstreamRoleOptions m_options;
  asio::io_context m_loop;
  std::ofstream m_record;
  standin::UpstreamStandin m_standin;
  std::shared_ptr<router::StoreChannel> m_store;
  asio::signal_set m_signals;
  asio::steady_timer m_registerTimer;
  std::mt19937_64 m_random;
  Time m_coldUntil;
  bool m_draining = false;
  bool m_drainRecorded = false;
};

} // namespace

std::string_view
NameOf(Defect aDefect)
{
  for (const DefectName& row : kDefects) {
    if (row.m_defect == aDefect) {
      return row.m_name;
    }
  }
  return "unknown";
}

std::optional<Defect>
ParseDefect(std::string_view aName)
{
  for (const DefectName& row : kDefects) {
    if (row.m_name == aName) {
      return row.m_defect;
    }
  }
  return std::nullopt;
}

std::string
AnswerBody(std::string_view aId)
{
  return "answer to " + std::string(aId);
}

std::string
EventData(int aNumber, std::string_view aId)
{
  return "event " + std::to_string(aNumber) + " of " + std::string(aId);
}

void
RunStoreRole(const StoreRoleOptions& aOptions)
{
  asio::io_context loop;
  standin::StoreStandin store(loop, aOptions.m_ip, aOptions.m_port);
  asio::signal_set signals(loop, SIGUSR1);
  std::function<void()> waitForSignal = [&] {
    signals.async_wait([&](const boost::system::error_code&, int) {
      for (const std::string_view topic : { platform::kOperatorTopic,
                                            platform::kUpstreamTopic,
                                            platform::kMemberTopic }) {
        store.DropHistory(std::string(topic));
      }
      waitForSignal();
    });
  };
  waitForSignal();
  asio::steady_timer timer(loop);
  std::function<void()> expire = [&] {
    store.DropKeysOlderThan(std::string(platform::kUpstreamTopic),
                            kRegistrationLifetime);
    timer.expires_after(kExpiryCheckInterval);
    timer.async_wait([&](const boost::system::error_code&) { expire(); });
  };
  expire();
  loop.run();
  std::abort(); // not reached: an expiry check is always pending
}

void
RunUpstreamRole(const UpstreamRoleOptions& aOptions)
{
  UpstreamRole(aOptions).Run();
}

} // namespace walnutwing::soak
