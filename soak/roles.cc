#include "soak/roles.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/store_codec.h"
#include "router/store_channel.h"
#include "soak/fault_plan.h"
#include "soak/proxy.h"
#include "standin/router_harness.h"

namespace walnutwing::soak {
namespace {

namespace asio = boost::asio;
using standin::UpstreamExchange;
using Exchange = std::shared_ptr<UpstreamExchange>;
using std::chrono::milliseconds;

constexpr milliseconds kExpiryCheckInterval(200);
constexpr milliseconds kStoreCopyInterval(1000);
constexpr milliseconds kRegisterInterval(600);
constexpr milliseconds kStoreTimeout(1500);
constexpr milliseconds kEventInterval(15);
// Of long streams, which pause once, in front of kPausedEvent.
constexpr milliseconds kLongEventInterval(180);
constexpr milliseconds kLongPause(1600);
constexpr int kPausedEvent = 10;
const std::string kEventStart = "id: ";
const std::string kEventEnd = "\n\n";
constexpr std::uint64_t kMinRunMs = 3;
constexpr std::uint64_t kRunJitterMs = 40;
constexpr milliseconds kSlowRun(3000); // of kSlowPercent of the orders
constexpr std::uint64_t kSlowPercent = 4;
constexpr std::uint64_t kRefusedPercent = 3;
constexpr std::uint64_t kRefusedPercentOfBreak = 20; // during kAnswerBreakTime
constexpr milliseconds kRefusalPause(20);            // inside a refusal
// Of requests a second, that an upstream states during kAnswerBreakTime, so
// that routers ask each other for permits.
constexpr int kStatedLimit = 20;
constexpr std::uint64_t kUnframedPercent = 50;
constexpr std::uint64_t kBrokenPercent = 60; // during kAnswerBreakTime
constexpr std::uint64_t kOddPercent = 25;    // of requests, during the same

// Without repeats each of them would fail a caller's request, except while
// faults of upstreams are on anyway.
std::uint64_t
RefusedPercent(std::uint64_t aSeed, bool aBreaks)
{
  if (aBreaks) {
    return kRefusedPercentOfBreak;
  }
  return HasTightRepeatBudget(aSeed) ? 0 : kRefusedPercent;
}

// How an upstream answers a request that runs, in a way that looks sound.
enum class OddAnswer
{
  RefusalWithoutId, // "not executed" about no request in particular
  SuccessWithoutMac,
  EmptyRest,         // of a stream that a router goes on with
  StatusOfARefusal,  // 408, 429 or 503 without "not executed"
  CopyOfARefusal,    // of an earlier request, before the right answer
  CutCopyOfARefusal, // the same, cut inside a field
  InterimRefusal,    // an interim response that says "not executed"
};

constexpr std::array<OddAnswer, 7> kOddAnswers{ {
  OddAnswer::RefusalWithoutId,
  OddAnswer::SuccessWithoutMac,
  OddAnswer::EmptyRest,
  OddAnswer::StatusOfARefusal,
  OddAnswer::CopyOfARefusal,
  OddAnswer::CutCopyOfARefusal,
  OddAnswer::InterimRefusal,
} };

constexpr std::array<int, 3> kRefusalStatuses = { 408, 429, 503 };
const std::string kInterimRefusal = "HTTP/1.1 102 Processing\r\n"
                                    "X-Not-Executed: 1\r\n\r\n";

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
    , m_signals(m_loop, SIGUSR1, SIGUSR2)
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
    WaitForSignal();
    Register();
  }

  [[noreturn]] void Run()
  {
    m_loop.run();
    std::abort(); // not reached: a registration is always pending
  }

private:
  // How one answer is sent.
  struct Answer
  {
    Exchange m_exchange;
    std::string m_id;
    std::string m_streamId; // the attempt that brought a stream's first event
    bool m_long = false;    // a stream of seconds
    bool m_unframed = false;
    bool m_breaks = false;
    bool m_reset = false; // breaks with a reset rather than an orderly close
    int m_breaksAt = 0;   // number of the event inside which it breaks
  };

  static Time Now() { return SteadyClock().Now(); }

  void WaitForSignal()
  {
    m_signals.async_wait([this](const boost::system::error_code&, int aSignal) {
      if (aSignal == SIGUSR1) {
        m_draining = true;
      } else {
        m_breakUntil = Now() + kAnswerBreakTime;
      }
      WaitForSignal();
    });
  }

  Answer DrawAnswer(const Exchange& aExchange, const std::string& aId)
  {
    Answer answer;
    answer.m_exchange = aExchange;
    answer.m_id = aId;
    answer.m_unframed = m_random() % 100 < kUnframedPercent;
    answer.m_breaks = Now() < m_breakUntil && m_random() % 100 < kBrokenPercent;
    answer.m_reset = m_random() % 2 == 0;
    answer.m_breaksAt = 1 + static_cast<int>(m_random() % kStreamEvents);
    return answer;
  }

  void WriteRecord(Time aAt, std::string_view aWhat, std::string_view aId)
  {
    // std::endl flushes, so that the line survives a SIGKILL.
    m_record << aAt.time_since_epoch().count() << ' ' << aWhat << ' '
             << m_options.m_name << ' ' << aId << std::endl;
  }

  bool SaysItLeaves() const
  {
    return m_draining && m_options.m_defect != Defect::Drain;
  }

  std::string MakeEntry() const
  {
    const bool announcesCold = m_options.m_defect != Defect::Cold;
    const auto coldRemainingMs =
      announcesCold ? std::max<Duration::rep>(0, (m_coldUntil - Now()).count())
                    : 0;
    return R"({"service":"s","address":")" + m_options.m_address +
           R"(","zone":")" + m_options.m_zone + R"(","version":")" +
           m_options.m_version + R"(","slots":8,"state":")" +
           (SaysItLeaves() ? "draining" : "ready") + R"(","coldRemainingMs":)" +
           std::to_string(coldRemainingMs) + R"(,"born":)" +
           std::to_string(m_bornWallMs) + "}";
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
    const bool breaks = Now() < m_breakUntil;
    if (m_random() % 100 < RefusedPercent(m_options.m_seed, breaks)) {
      if (m_options.m_defect == Defect::FalseNotExecuted) {
        WriteRecord(Now(), "run", id);
      }
      Refuse(aExchange, breaks);
      return;
    }
    WriteRecord(Now(), "run", id);
    if (breaks && m_random() % 100 < kOddPercent && AnswerOddly(aExchange)) {
      return;
    }
    AnswerSoundly(aExchange, id);
  }

  // A refusal is true. While answers break it also comes in two pieces and
  // states a limit.
  void Refuse(const Exchange& aExchange, bool aBreaks)
  {
    const std::string limit =
      aBreaks ? "Server-Limit: " + std::to_string(kStatedLimit) + "\r\n" : "";
    const std::string refusal =
      "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + limit +
      "Content-Length: 4\r\nX-Attempt-Id: " +
      std::string(aExchange->Request()["X-Attempt-Id"]) + "\r\n\r\nfull";
    m_earlierRefusal = refusal;
    if (!aBreaks) {
      aExchange->Write(refusal);
      return;
    }
    const std::size_t cut = m_random() % refusal.size();
    aExchange->Write(refusal.substr(0, cut));
    ScheduleAfter(kRefusalPause, [aExchange, rest = refusal.substr(cut)] {
      aExchange->Write(rest);
    });
  }

  void AnswerSoundly(const Exchange& aExchange, const std::string& aId)
  {
    const auto& request = aExchange->Request();
    const std::string target(request.target());
    if (m_options.m_defect == Defect::Twice && target.starts_with("/order/")) {
      WriteRecord(Now(), "run", aId);
    }
    Answer answer = DrawAnswer(aExchange, aId);
    answer.m_long = target.starts_with("/long/");
    const std::string resumed(request["Resumes"]);
    answer.m_streamId = resumed.empty() ? aId : resumed;
    if (answer.m_long || target.starts_with("/stream/") ||
        target.starts_with("/resume/")) {
      StartStream(answer);
      return;
    }
    const bool slow =
      target.starts_with("/order/") && m_random() % 100 < kSlowPercent;
    ScheduleAfter(slow ? kSlowRun
                       : milliseconds(kMinRunMs + m_random() % kRunJitterMs),
                  [this, answer] { SendBody(answer); });
  }

  // Answers a request that runs. Returns whether the answer is complete; if
  // not, the right one follows.
  bool AnswerOddly(const Exchange& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string id =
      "X-Attempt-Id: " + std::string(request["X-Attempt-Id"]) + "\r\n";
    switch (kOddAnswers[m_random() % kOddAnswers.size()]) {
      case OddAnswer::RefusalWithoutId:
        aExchange->Write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        return true;
      case OddAnswer::SuccessWithoutMac:
        aExchange->Write("HTTP/1.1 200 OK\r\n" + id +
                         "Content-Length: 2\r\n\r\nno");
        return true;
      case OddAnswer::EmptyRest:
        return WriteEmptyRest(aExchange, id);
      case OddAnswer::StatusOfARefusal:
        aExchange->Write(
          "HTTP/1.1 " +
          std::to_string(
            kRefusalStatuses[m_random() % kRefusalStatuses.size()]) +
          " Later\r\n" + id + "Content-Length: 0\r\n\r\n");
        return true;
      case OddAnswer::CopyOfARefusal:
        aExchange->Write(m_earlierRefusal);
        return false;
      case OddAnswer::CutCopyOfARefusal:
        aExchange->Write(CutInAField(m_earlierRefusal));
        return false;
      case OddAnswer::InterimRefusal:
        aExchange->Write(kInterimRefusal);
        return false;
    }
    return false;
  }

  // Up to a random place in the value of one of its fields, so that the field
  // goes on with the status line of what is written next.
  std::string CutInAField(const std::string& aHead)
  {
    constexpr std::string_view kValueStart = ": ";
    std::vector<std::size_t> values;
    for (std::size_t at = aHead.find(kValueStart); at != std::string::npos;
         at = aHead.find(kValueStart, at + 1)) {
      values.push_back(at + kValueStart.size());
    }
    return aHead.substr(0, values[m_random() % values.size()] + m_random() % 2);
  }

  // A stream that its caller takes up gets no empty rest: that is how a true
  // end looks, too.
  bool WriteEmptyRest(const Exchange& aExchange, const std::string& aIdField)
  {
    const auto& request = aExchange->Request();
    if (request["Last-Event-Id"].empty() || !request["Resumes"].empty()) {
      return false;
    }
    if (m_random() % 2 == 0) {
      aExchange->Write("HTTP/1.1 204 None\r\n" + aIdField +
                       "X-Response-Seal: seal\r\n\r\n");
    } else {
      aExchange->Write(standin::MakeStreamHead(request) + "0\r\n\r\n");
    }
    return true;
  }

  // An orderly close completes a body without a length, so that one breaks with
  // a reset.
  void SendBody(const Answer& aAnswer)
  {
    const bool altered = m_options.m_defect == Defect::Altered;
    const std::string body =
      altered ? AnswerBody("nobody") : AnswerBody(aAnswer.m_id);
    const auto& request = aAnswer.m_exchange->Request();
    const std::string response =
      aAnswer.m_unframed
        ? standin::MakeUnframedHead(request) + body
        : standin::MakeUpstreamResponse(
            request, 200, body, SaysItLeaves() ? "Server-Leaving: 1\r\n" : "");
    if (aAnswer.m_breaks) {
      aAnswer.m_exchange->Write(response.substr(0, response.size() - 3));
      Break(aAnswer, aAnswer.m_unframed || aAnswer.m_reset);
      return;
    }
    aAnswer.m_exchange->Write(response);
    if (aAnswer.m_unframed) {
      aAnswer.m_exchange->Close();
    }
  }

  void StartStream(const Answer& aAnswer)
  {
    const auto& request = aAnswer.m_exchange->Request();
    const std::string after(request["Last-Event-Id"]);
    const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    if (aAnswer.m_unframed) {
      aAnswer.m_exchange->Write(standin::MakeUnframedStreamHead(request) +
                                (first <= kStreamEvents ? kEventStart : ""));
    } else {
      aAnswer.m_exchange->Write(standin::MakeStreamHead(request));
    }
    SendEvent(aAnswer, first);
  }

  void SendEvent(const Answer& aAnswer, int aNumber)
  {
    UpstreamExchange& exchange = *aAnswer.m_exchange;
    if (aNumber > kStreamEvents) {
      if (aAnswer.m_unframed) {
        exchange.Close();
      } else {
        exchange.Write("0\r\n\r\n");
      }
      return;
    }
    std::string event = EventText(aAnswer, aNumber);
    const bool breaks = aAnswer.m_breaks && aNumber >= aAnswer.m_breaksAt;
    if (breaks) {
      event.resize(m_random() % event.size());
      if (event.ends_with(kEventEnd)) {
        event.pop_back(); // see EventText
      }
    }
    const bool omitted = m_options.m_defect == Defect::Gap && aNumber == 7;
    if (!omitted && !event.empty()) {
      exchange.Write(aAnswer.m_unframed ? event : standin::MakeChunk(event));
    }
    if (breaks) {
      Break(aAnswer, aAnswer.m_reset);
      return;
    }
    ScheduleAfter(
      TimeUntilEvent(aAnswer, aNumber + 1),
      [this, aAnswer, aNumber] { SendEvent(aAnswer, aNumber + 1); });
  }

  static milliseconds TimeUntilEvent(const Answer& aAnswer, int aNumber)
  {
    if (!aAnswer.m_long) {
      return kEventInterval;
    }
    return aNumber == kPausedEvent ? kLongPause : kLongEventInterval;
  }

  // An unframed stream is always inside an event until its end: each event
  // comes with the start of the next one. If the upstream is killed, its
  // connections are closed in an orderly way, and between two events nobody
  // could tell that from the end of the stream.
  std::string EventText(const Answer& aAnswer, int aNumber) const
  {
    const std::string rest =
      std::to_string(aNumber) +
      "\ndata: " + EventData(aNumber, aAnswer.m_streamId, m_options.m_version) +
      kEventEnd;
    if (!aAnswer.m_unframed) {
      return kEventStart + rest;
    }
    return aNumber < kStreamEvents ? rest + kEventStart : rest;
  }

  static void Break(const Answer& aAnswer, bool aReset)
  {
    if (aReset) {
      aAnswer.m_exchange->Reset();
    } else {
      aAnswer.m_exchange->Close();
    }
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
  std::int64_t m_bornWallMs =
    SteadyClock().WallNow().time_since_epoch().count();
  Time m_breakUntil;
  // The last one, of any request.
  std::string m_earlierRefusal{ "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\nX-Attempt-Id: "
                                "none\r\n\r\n" };
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
EventData(int aNumber, std::string_view aId, std::string_view aVersion)
{
  return "event " + std::to_string(aNumber) + " of " + std::string(aId) +
         " by " + std::string(aVersion);
}

void
RunStoreRole(const StoreRoleOptions& aOptions)
{
  asio::io_context loop;
  standin::StoreStandin store(loop, aOptions.m_ip, aOptions.m_port);
  store.SetEra(1);
  store.TakeCopy();
  asio::signal_set signals(loop, SIGUSR1, SIGUSR2);
  std::function<void()> waitForSignal = [&] {
    signals.async_wait([&](const boost::system::error_code&, int aSignal) {
      waitForSignal();
      if (aSignal == SIGUSR2) {
        store.RestoreCopy();
        return;
      }
      for (const std::string_view topic : { platform::kOperatorTopic,
                                            platform::kUpstreamTopic,
                                            platform::kMemberTopic }) {
        store.DropHistory(std::string(topic));
      }
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
  asio::steady_timer copyTimer(loop);
  std::function<void()> copy = [&] {
    store.TakeCopy();
    copyTimer.expires_after(kStoreCopyInterval);
    copyTimer.async_wait([&](const boost::system::error_code&) { copy(); });
  };
  copy();
  loop.run();
  std::abort(); // not reached: an expiry check is always pending
}

void
RunUpstreamRole(const UpstreamRoleOptions& aOptions)
{
  UpstreamRole(aOptions).Run();
}

} // namespace walnutwing::soak
