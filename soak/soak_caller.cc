#include "soak/soak_caller.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "soak/proxy.h"
#include "soak/roles.h"

namespace walnutwing::soak {

namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

// Statuses by which callers take a request for one that has not run and never
// will.
constexpr std::array<unsigned, 4> kPromiseStatuses = { 408, 421, 429, 503 };
constexpr milliseconds kRequestTimeout(9000);
constexpr std::uint64_t kPauseJitterMs = 60;
constexpr std::uint64_t kOlderVersionPercent = 20;
constexpr std::uint64_t kChunkedPercent = 25; // of requests
constexpr std::uint64_t kMaxChunkPauseMs = 1500;

std::string
CompleteStream(const std::string& aId, const std::string& aVersion)
{
  std::string text;
  for (int i = 1; i <= kStreamEvents; ++i) {
    text += "id: " + std::to_string(i) +
            "\ndata: " + EventData(i, aId, aVersion) + "\n\n";
  }
  return text;
}

// The version that wrote the first event.
std::string
VersionOf(const std::string& aStream)
{
  const std::size_t at = aStream.find(" by ");
  return at == std::string::npos ? "" : aStream.substr(at + 4, 2);
}

// aStream up to its last whole event.
std::string
WholeEvents(const std::string& aStream)
{
  const std::size_t end = aStream.rfind("\n\n");
  return end == std::string::npos ? "" : aStream.substr(0, end + 2);
}

std::string
LastEventId(const std::string& aEvents)
{
  const std::size_t at = aEvents.rfind("id: ");
  return aEvents.substr(at + 4, aEvents.find('\n', at) - at - 4);
}

} // namespace

RequestOutcome
ClassifyResponse(const SoakRequest& aRequest,
                 unsigned aStatus,
                 const std::string& aBody)
{
  const bool streamed = aRequest.m_kind == RequestKind::Stream ||
                        aRequest.m_kind == RequestKind::Resumable ||
                        aRequest.m_kind == RequestKind::Long;
  if (aStatus == 200) {
    const std::string complete =
      streamed ? CompleteStream(StreamIdOf(aRequest), VersionOf(aBody))
               : AnswerBody(aRequest.m_id);
    return aBody == complete ? RequestOutcome::Complete : RequestOutcome::Wrong;
  }
  if (aStatus == 404) {
    return RequestOutcome::NoRoute;
  }
  if (aBody.find(R"("code":)") == std::string::npos) {
    return RequestOutcome::Wrong; // every error of a router has a result code
  }
  return aBody.find(R"("ran":"not run")") == std::string::npos
           ? RequestOutcome::Failed
           : RequestOutcome::NotRun;
}

SoakCaller::SoakCaller(boost::asio::io_context& aLoop,
                       SoakCallerOptions aOptions)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_socket(aLoop)
  , m_pauseTimer(aLoop)
  , m_timeoutTimer(aLoop)
{
}

void
SoakCaller::Start()
{
  ScheduleNextRequest();
}

void
SoakCaller::ScheduleNextRequest()
{
  if (m_stopping) {
    Close();
    m_ended = true;
    return;
  }
  m_pauseTimer.expires_after(milliseconds(5 + m_random() % kPauseJitterMs));
  m_pauseTimer.async_wait([this](const error_code&) { BeginRequest(); });
}

void
SoakCaller::BeginRequest()
{
  ++m_generation;
  if (!m_taken.empty()) {
    BeginTakeUp();
  } else if (!std::exchange(m_repeatsOrder, false)) {
    m_currentRequest = {};
    m_currentRequest.m_id =
      m_options.m_name + "-" + std::to_string(m_requestCount++);
    // Most of the callers' time would go by in long streams.
    const std::size_t kinds =
      std::size(kRequestKinds) - (m_options.m_longStreams ? 0 : 1);
    m_currentRequest.m_kind = kRequestKinds[m_random() % kinds];
  }
  if (m_connected) {
    Send();
  } else {
    Connect();
  }
}

// The same stream once more, under a new attempt id and at any router.
void
SoakCaller::BeginTakeUp()
{
  SoakRequest request;
  request.m_kind = m_currentRequest.m_kind;
  request.m_streamId = StreamIdOf(m_currentRequest);
  request.m_id = m_options.m_name + "-" + std::to_string(m_requestCount++);
  m_currentRequest = request;
}

void
SoakCaller::Connect()
{
  m_router =
    static_cast<std::uint32_t>(m_random() % m_options.m_routers.size());
  m_currentRequest.m_sentAt = SteadyClock().Now();
  m_currentRequest.m_router = m_router;
  m_input.clear();
  StartTimeout();
  m_socket.async_connect(ParseEndpoint(m_options.m_routers[m_router]),
                         [this](const error_code& aError) {
                           if (aError) {
                             Finish(RequestOutcome::Unreachable, false);
                             return;
                           }
                           m_connected = true;
                           m_currentRequest.m_firstOnConnection = true;
                           Send();
                         });
}

void
SoakCaller::Send()
{
  m_currentRequest.m_router = m_router;
  std::string target = PathPrefixOf(m_currentRequest.m_kind);
  if (m_currentRequest.m_kind == RequestKind::OnlyVersion) {
    const auto [newest, previous] = m_options.m_versions();
    const bool older = m_random() % 100 < kOlderVersionPercent;
    m_currentRequest.m_version = older ? previous : newest;
    target += std::to_string(m_currentRequest.m_version) + "/";
  }
  m_requestText = "POST " + target + " HTTP/1.1\r\nHost: h.example\r\n" +
                  "X-Attempt-Id: " + m_currentRequest.m_id +
                  "\r\nAuthorization: Bearer k1\r\n";
  if (!m_taken.empty()) {
    m_requestText += "Last-Event-Id: " + LastEventId(m_taken) +
                     "\r\nResumes: " + m_currentRequest.m_streamId + "\r\n";
  }
  StartTimeout();
  if (m_random() % 100 >= kChunkedPercent) {
    Write(m_requestText + "Content-Length: 4\r\n\r\nbody");
  } else {
    Write(m_requestText + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n");
    WriteLater("2\r\ndy\r\n0\r\n\r\n");
  }
  Read();
}

void
SoakCaller::Write(std::string aText)
{
  m_currentRequest.m_sentAt = SteadyClock().Now();
  m_requestText = std::move(aText);
  const auto generation = m_generation;
  boost::asio::async_write(
    m_socket,
    boost::asio::buffer(m_requestText),
    [this, generation](const error_code& aError, std::size_t) {
      if (aError && generation == m_generation) {
        Finish(RequestOutcome::Broken, false);
      }
    });
}

// Writes the rest of a body after a while, as a slow caller does.
void
SoakCaller::WriteLater(const std::string& aText)
{
  m_pauseTimer.expires_after(milliseconds(m_random() % kMaxChunkPauseMs));
  const auto generation = m_generation;
  m_pauseTimer.async_wait([this, generation, aText](const error_code& aError) {
    if (!aError && generation == m_generation) {
      Write(aText);
    }
  });
}

void
SoakCaller::Read()
{
  m_parser.emplace();
  const auto generation = m_generation;
  http::async_read(m_socket,
                   m_input,
                   *m_parser,
                   [this, generation](const error_code& aError, std::size_t) {
                     if (generation == m_generation) {
                       OnRead(aError);
                     }
                   });
}

void
SoakCaller::OnRead(const error_code& aError)
{
  if (aError) {
    m_repeatsOrder = m_options.m_repeatsResetOrders &&
                     m_currentRequest.m_kind == RequestKind::Order &&
                     aError == boost::asio::error::connection_reset &&
                     !m_parser->got_some();
    const bool resumable = m_currentRequest.m_kind == RequestKind::Resumable ||
                           m_currentRequest.m_kind == RequestKind::Long;
    if (resumable && m_parser->get().result_int() == 200) {
      m_taken += WholeEvents(m_parser->get().body());
    }
    Finish(RequestOutcome::Broken, false);
    return;
  }
  const auto& response = m_parser->get();
  m_currentRequest.m_promisedNotRun =
    std::find(kPromiseStatuses.begin(),
              kPromiseStatuses.end(),
              response.result_int()) != kPromiseStatuses.end();
  m_currentRequest.m_refusedForVersion =
    response.body().find(R"("code":2016)") != std::string::npos;
  const std::string before = std::exchange(m_taken, {});
  if (response.result_int() == 200 && response["X-Response-Seal"].empty()) {
    Finish(RequestOutcome::Wrong, m_parser->keep_alive());
    return;
  }
  Finish(ClassifyResponse(m_currentRequest,
                          response.result_int(),
                          response.result_int() == 200
                            ? before + response.body()
                            : response.body()),
         m_parser->keep_alive());
}

void
SoakCaller::Finish(RequestOutcome aOutcome, bool aKeepConnection)
{
  ++m_generation; // pending callbacks of this request are ignored
  m_timeoutTimer.cancel();
  if (!aKeepConnection) {
    Close();
  }
  m_options.m_onRequestEnd(m_currentRequest, aOutcome, SteadyClock().Now());
  ScheduleNextRequest();
}

void
SoakCaller::Close()
{
  error_code ignored; // it may be closed already
  m_socket.close(ignored);
  m_connected = false;
}

// Gives up a request after kRequestTimeout. A caller that gives up violates no
// guarantee, so the outcome is Unreachable.
void
SoakCaller::StartTimeout()
{
  m_timeoutTimer.expires_after(kRequestTimeout);
  const auto generation = m_generation;
  m_timeoutTimer.async_wait([this, generation](const error_code& aError) {
    if (!aError && generation == m_generation) {
      Finish(RequestOutcome::Unreachable, false);
    }
  });
}

} // namespace walnutwing::soak
