#include "soak/soak_caller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "soak/proxy.h"
#include "soak/roles.h"

namespace walnutwing::soak {

namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPatience(9000);
constexpr std::uint64_t kLongestPauseMs = 60;
constexpr std::uint64_t kOlderVersionPercent = 20;

std::string
WholeStream(const std::string& aId)
{
  std::string text;
  for (int i = 1; i <= kStreamEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: " + EventOf(i, aId) + "\n\n";
  }
  return text;
}

} // namespace

Ending
JudgeAnswer(const Asked& aAsked, unsigned aStatus, const std::string& aBody)
{
  const bool streamed =
    aAsked.m_kind == AskKind::Stream || aAsked.m_kind == AskKind::Resumable;
  if (aStatus == 200) {
    const std::string whole =
      streamed ? WholeStream(aAsked.m_id) : AnswerTo(aAsked.m_id);
    return aBody == whole ? Ending::Whole : Ending::Wrong;
  }
  if (aStatus == 404) {
    return Ending::NoRoute;
  }
  if (aBody.find(R"("code":)") == std::string::npos) {
    return Ending::Wrong; // every error of the router is numbered
  }
  return aBody.find(R"("ran":"not run")") == std::string::npos ? Ending::Failed
                                                               : Ending::NotRun;
}

SoakCaller::SoakCaller(boost::asio::io_context& aLoop,
                       SoakCallerOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_socket(aLoop)
  , m_pause(aLoop)
  , m_patience(aLoop)
{
}

void
SoakCaller::Start()
{
  Next();
}

void
SoakCaller::Next()
{
  if (m_stopping) {
    Close();
    m_ended = true;
    return;
  }
  m_pause.expires_after(milliseconds(5 + m_random() % kLongestPauseMs));
  m_pause.async_wait([this](const error_code&) {
    ++m_turn;
    m_asked = {};
    m_asked.m_id = m_options.m_name + "-" + std::to_string(m_count++);
    m_asked.m_kind = kAskKinds[m_random() % std::size(kAskKinds)];
    if (m_connected) {
      Send();
    } else {
      Connect();
    }
  });
}

void
SoakCaller::Connect()
{
  m_router =
    static_cast<std::uint32_t>(m_random() % m_options.m_routers.size());
  m_asked.m_at = SteadyClock().Now();
  m_asked.m_router = m_router;
  m_input.clear();
  SetPatience();
  m_socket.async_connect(EndpointOf(m_options.m_routers[m_router]),
                         [this](const error_code& aError) {
                           if (aError) {
                             Finish(Ending::Unreachable, false);
                             return;
                           }
                           m_connected = true;
                           m_asked.m_fresh = true;
                           Send();
                         });
}

void
SoakCaller::Send()
{
  m_asked.m_at = SteadyClock().Now();
  m_asked.m_router = m_router;
  std::string target = PathOf(m_asked.m_kind);
  if (m_asked.m_kind == AskKind::OnlyVersion) {
    const auto [newest, before] = m_options.m_versions();
    const bool older = m_random() % 100 < kOlderVersionPercent;
    m_asked.m_version = older ? before : newest;
    target += std::to_string(m_asked.m_version) + "/";
  }
  m_request = "POST " + target + " HTTP/1.1\r\nHost: h.example\r\n" +
              "X-Attempt-Id: " + m_asked.m_id +
              "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody";
  SetPatience();
  const auto turn = m_turn;
  boost::asio::async_write(m_socket,
                           boost::asio::buffer(m_request),
                           [this, turn](const error_code& aError, std::size_t) {
                             if (aError && turn == m_turn) {
                               Finish(Ending::Broken, false);
                             }
                           });
  Read();
}

void
SoakCaller::Read()
{
  m_parser.emplace();
  const auto turn = m_turn;
  http::async_read(m_socket,
                   m_input,
                   *m_parser,
                   [this, turn](const error_code& aError, std::size_t) {
                     if (turn == m_turn) {
                       OnRead(aError);
                     }
                   });
}

void
SoakCaller::OnRead(const error_code& aError)
{
  if (aError) {
    Finish(Ending::Broken, false);
    return;
  }
  const auto& answer = m_parser->get();
  Finish(JudgeAnswer(m_asked, answer.result_int(), answer.body()),
         m_parser->keep_alive());
}

void
SoakCaller::Finish(Ending aEnding, bool aKeep)
{
  ++m_turn; // callbacks of this request say nothing more
  m_patience.cancel();
  if (!aKeep) {
    Close();
  }
  m_options.m_onAnswer(m_asked, aEnding, SteadyClock().Now());
  Next();
}

void
SoakCaller::Close()
{
  error_code ignored; // it may be closed already
  m_socket.close(ignored);
  m_connected = false;
}

// A caller that has waited for too long goes away. That it gave up breaks no
// promise: the ending counts as Unreachable.
void
SoakCaller::SetPatience()
{
  m_patience.expires_after(kPatience);
  const auto turn = m_turn;
  m_patience.async_wait([this, turn](const error_code& aError) {
    if (!aError && turn == m_turn) {
      Finish(Ending::Unreachable, false);
    }
  });
}

} // namespace walnutwing::soak
