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

constexpr milliseconds kLapseCheck(200);
constexpr milliseconds kRegisterInterval(600);
constexpr milliseconds kStoreTimeout(1500);
constexpr milliseconds kEventGap(15);
constexpr std::uint64_t kShortestRunMs = 3;
constexpr std::uint64_t kRunSpreadMs = 40;
constexpr std::uint64_t kRefusedPercent = 3;

struct BreakageName
{
  Breakage m_breakage;
  std::string_view m_name;
};

constexpr std::array<BreakageName, 12> kBreakages{ {
  { Breakage::None, "none" },
  { Breakage::Twice, "twice" },
  { Breakage::FalsePromise, "false_promise" },
  { Breakage::Altered, "altered" },
  { Breakage::Gap, "gap" },
  { Breakage::Drain, "drain" },
  { Breakage::Config, "config" },
  { Breakage::Backward, "backward" },
  { Breakage::Stop, "stop" },
  { Breakage::Repeats, "repeats" },
  { Breakage::Cold, "cold" },
  { Breakage::Recover, "recover" },
} };

class UpstreamRole
{
public:
  explicit UpstreamRole(const UpstreamRoleOptions& aOptions)
    : m_options(aOptions)
    , m_record(aOptions.m_record, std::ios::app)
    , m_standin(m_loop, aOptions.m_ip, aOptions.m_port)
    , m_store(
        std::make_shared<router::StoreChannel>(m_loop,
                                               EndpointOf(aOptions.m_store)))
    , m_signals(m_loop, SIGUSR1)
    , m_register(m_loop)
    , m_random(aOptions.m_seed)
    , m_coldUntil(Now() + aOptions.m_cold)
  {
    m_standin.SetRecordsExchanges(false);
    m_standin.SetHandler(
      [this](const Exchange& aExchange) { Serve(aExchange); });
    if (aOptions.m_cold > Duration::zero()) {
      Write(m_coldUntil, "cold", "-");
    }
    m_signals.async_wait(
      [this](const boost::system::error_code&, int) { m_draining = true; });
    Register();
  }

  [[noreturn]] void Run()
  {
    m_loop.run();
    std::abort(); // there is always a registration to come
  }

private:
  static Time Now() { return SteadyClock().Now(); }

  void Write(Time aAt, std::string_view aWhat, std::string_view aId)
  {
    m_record << aAt.time_since_epoch().count() << ' ' << aWhat << ' '
             << m_options.m_name << ' ' << aId << std::endl; // flushed
  }

  std::string Entry() const
  {
    const bool says = m_draining && m_options.m_breakage != Breakage::Drain;
    const bool cold = m_options.m_breakage != Breakage::Cold;
    const auto left =
      cold ? std::max<Duration::rep>(0, (m_coldUntil - Now()).count()) : 0;
    return R"({"service":"s","address":")" + m_options.m_address +
           R"(","zone":")" + m_options.m_zone + R"(","slots":8,"state":")" +
           (says ? "draining" : "ready") + R"(","coldRemainingMs":)" +
           std::to_string(left) + "}";
  }

  void Register()
  {
    const bool drains = m_draining;
    m_store->Call(platform::EncodePutRequest(
                    platform::kUpstreamTopic, m_options.m_name, Entry()),
                  kStoreTimeout,
                  [this, drains](const router::StoreResponse& aAnswer) {
                    if (drains && !m_drainTold && aAnswer.m_status == 200) {
                      m_drainTold = true;
                      Write(Now(), "drain", "-");
                    }
                    m_register.expires_after(kRegisterInterval);
                    m_register.async_wait(
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
    Write(Now(), "arrive", id);
    if (m_options.m_breakage == Breakage::Repeats) {
      Write(Now(), "arrive", id);
      Write(Now(), "arrive", id);
    }
    if (m_random() % 100 < kRefusedPercent) {
      if (m_options.m_breakage == Breakage::FalsePromise) {
        Write(Now(), "run", id);
      }
      aExchange->Write(standin::MakeUpstreamResponse(
        request, 503, "full", "X-Not-Executed: 1\r\n"));
      return;
    }
    Write(Now(), "run", id);
    const std::string target(request.target());
    if (m_options.m_breakage == Breakage::Twice &&
        target.starts_with("/order/")) {
      Write(Now(), "run", id);
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
    const bool altered = m_options.m_breakage == Breakage::Altered;
    const std::string body = altered ? AnswerTo("nobody") : AnswerTo(aId);
    After(milliseconds(kShortestRunMs + m_random() % kRunSpreadMs),
          [aExchange, body] {
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
    const bool left = m_options.m_breakage == Breakage::Gap && aNumber == 7;
    if (!left) {
      aExchange->Write(standin::MakeChunk("id: " + std::to_string(aNumber) +
                                          "\ndata: " + EventOf(aNumber, aId) +
                                          "\n\n"));
    }
    After(kEventGap, [this, aExchange, aNumber, aId] {
      SendEvent(aExchange, aNumber + 1, aId);
    });
  }

  template<typename Do>
  void After(milliseconds aTime, Do aDo)
  {
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, aTime);
    timer->async_wait(
      [timer, aDo](const boost::system::error_code&) { aDo(); });
  }

  UpstreamRoleOptions m_options;
  asio::io_context m_loop;
  std::ofstream m_record;
  standin::UpstreamStandin m_standin;
  std::shared_ptr<router::StoreChannel> m_store;
  asio::signal_set m_signals;
  asio::steady_timer m_register;
  std::mt19937_64 m_random;
  Time m_coldUntil;
  bool m_draining = false;
  bool m_drainTold = false;
};

} // namespace

std::string_view
NameOf(Breakage aBreakage)
{
  for (const BreakageName& row : kBreakages) {
    if (row.m_breakage == aBreakage) {
      return row.m_name;
    }
  }
  return "unknown";
}

std::optional<Breakage>
ParseBreakage(std::string_view aName)
{
  for (const BreakageName& row : kBreakages) {
    if (row.m_name == aName) {
      return row.m_breakage;
    }
  }
  return std::nullopt;
}

std::string
AnswerTo(std::string_view aId)
{
  return "answer to " + std::string(aId);
}

std::string
EventOf(int aNumber, std::string_view aId)
{
  return "event " + std::to_string(aNumber) + " of " + std::string(aId);
}

void
RunStoreRole(const StoreRoleOptions& aOptions)
{
  asio::io_context loop;
  standin::StoreStandin store(loop, aOptions.m_ip, aOptions.m_port);
  asio::signal_set signals(loop, SIGUSR1);
  std::function<void()> wait = [&] {
    signals.async_wait([&](const boost::system::error_code&, int) {
      for (const std::string_view topic : { platform::kOperatorTopic,
                                            platform::kUpstreamTopic,
                                            platform::kMemberTopic }) {
        store.DropHistory(std::string(topic));
      }
      wait();
    });
  };
  wait();
  asio::steady_timer timer(loop);
  std::function<void()> lapse = [&] {
    store.DropKeysOlderThan(std::string(platform::kUpstreamTopic),
                            kRegistrationLifetime);
    timer.expires_after(kLapseCheck);
    timer.async_wait([&](const boost::system::error_code&) { lapse(); });
  };
  lapse();
  loop.run();
  std::abort(); // there is always a check to come
}

void
RunUpstreamRole(const UpstreamRoleOptions& aOptions)
{
  UpstreamRole(aOptions).Run();
}

} // namespace walnutwing::soak
