// Each harness has its own IP address within 127.128.0.0/9, derived from the
// process id and a counter, so that tests that run at the same time don't
// conflict.

#include "standin/router_harness.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <unistd.h>

namespace walnutwing::standin {
namespace {

using boost::system::error_code;

constexpr unsigned kReadyPort = 8081;
constexpr unsigned kListenPort = 8080;
constexpr unsigned kPeerPort = 8082;
constexpr unsigned kMetricsPort = 8083;

std::string
NextIp()
{
  static unsigned harnesses = 0;
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned number = pid * 64 + harnesses++;
  return "127." + std::to_string(128 + (number >> 16U & 127U)) + "." +
         std::to_string(number >> 8U & 255U) + "." +
         std::to_string(number & 255U);
}

Tcp::acceptor
Listen(asio::io_context& aLoop, const std::string& aIp, std::uint16_t aPort)
{
  return Tcp::acceptor(aLoop,
                       Tcp::endpoint(asio::ip::make_address_v4(aIp), aPort));
}

std::string
AddressOf(const Tcp::acceptor& aAcceptor)
{
  const Tcp::endpoint endpoint = aAcceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Writes aPiece again and again until the peer closes the connection, and then
// calls aOnEnd. aOwner keeps aSocket alive meanwhile.
void
WriteUntilClosed(std::shared_ptr<void> aOwner,
                 Tcp::socket& aSocket,
                 std::shared_ptr<const std::string> aPiece,
                 std::function<void()> aOnEnd)
{
  const asio::const_buffer buffer = asio::buffer(*aPiece);
  asio::async_write(
    aSocket,
    buffer,
    [owner = std::move(aOwner),
     &aSocket,
     piece = std::move(aPiece),
     onEnd = std::move(aOnEnd)](const error_code& aError, std::size_t) {
      if (aError) {
        onEnd();
        return;
      }
      WriteUntilClosed(owner, aSocket, piece, onEnd);
    });
}

// At least kEndlessPieceBytes of repetitions of aText, so that a few system
// calls write much.
std::shared_ptr<const std::string>
RepeatedText(const std::string& aText)
{
  constexpr std::size_t kEndlessPieceBytes = 64U << 10U;
  std::string piece;
  while (piece.size() < kEndlessPieceBytes) {
    piece += aText;
  }
  return std::make_shared<const std::string>(std::move(piece));
}

std::string
Base64(const std::string& aBytes)
{
  using boost::archive::iterators::base64_from_binary;
  using boost::archive::iterators::transform_width;
  using Encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes += static_cast<char>(aNumber >> (8 * i) & 255U);
  }
  return bytes;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> values;
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t equals = aTarget.find('=', at);
    const std::size_t next = aTarget.find('&', at + 1);
    if (equals == std::string::npos) {
      break;
    }
    values[aTarget.substr(at + 1, equals - at - 1)] =
      aTarget.substr(equals + 1, next - equals - 1);
    at = next;
  }
  return values;
}

} // namespace

// --- the store ---

class StoreStandin::Connection
  : public std::enable_shared_from_this<StoreStandin::Connection>
{
public:
  Connection(StoreStandin& aStore, Tcp::socket aSocket)
    : m_store(aStore)
    , m_socket(std::move(aSocket))
    , m_longPollTimer(aStore.m_loop)
    , m_pieceTimer(aStore.m_loop)
  {
  }

  void Read()
  {
    m_request = {};
    http::async_read(
      m_socket,
      m_input,
      m_request,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (!aError) {
          self->OnRequest();
        }
      });
  }

private:
  void OnRequest()
  {
    if (m_store.m_outage) {
      if (*m_store.m_outage != 0) {
        SendResponse(*m_store.m_outage, "");
      }
      return;
    }
    if (!m_store.m_endlessPiece.empty()) {
      AnswerEndlessly();
      return;
    }
    const std::string target(m_request.target());
    m_query = ParseQuery(target);
    Topic& topic = m_store.m_topics[m_query["topic"]];
    if (target.starts_with("/api/log-newest")) {
      ++m_store.m_newestRequests[m_query["topic"]];
      SendResponse(200, EncodeNewest(topic));
    } else if (target.starts_with("/api/log-append")) {
      ++m_store.m_appends[m_query["topic"]];
      Append(topic, m_request.body().substr(4));
      SendResponse(200, "{}");
    } else {
      m_longPollTimer.expires_after(
        std::chrono::milliseconds(std::stoul(m_query["waitMs"])));
      m_longPollTimer.async_wait(
        [self = shared_from_this(),
         number = m_requestNumber](const error_code& aError) {
          if (!aError && number == self->m_requestNumber) {
            self->RespondToRead(true);
          }
        });
      RespondToRead(false);
    }
  }

  void AnswerEndlessly()
  {
    error_code ignored; // the write that follows reports a closed connection
    asio::write(m_socket, asio::buffer(m_store.m_endlessHead), ignored);
    m_store.m_endlessAnswerEnded = false;
    if (m_store.m_endlessPause > Duration::zero()) {
      Trickle(std::exchange(m_store.m_endlessPiece, {}));
      return;
    }
    WriteUntilClosed(shared_from_this(),
                     m_socket,
                     RepeatedText(std::exchange(m_store.m_endlessPiece, {})),
                     [&store = m_store] { store.m_endlessAnswerEnded = true; });
  }

  void Trickle(const std::string& aPiece)
  {
    error_code error;
    asio::write(m_socket, asio::buffer(aPiece), error);
    if (error) {
      m_store.m_endlessAnswerEnded = true;
      return;
    }
    m_pieceTimer.expires_after(m_store.m_endlessPause);
    m_pieceTimer.async_wait([self = shared_from_this(), aPiece](
                              const error_code&) { self->Trickle(aPiece); });
  }

  static std::string EncodeNewest(const Topic& aTopic)
  {
    std::string items;
    for (const auto& [key, value] : aTopic.m_newest) {
      items += items.empty() ? "" : ",";
      items += R"({"key":")" + key + R"(","value":")" + Base64(value.first) +
               R"(","offset":)" + std::to_string(value.second) + "}";
    }
    const std::uint64_t end = aTopic.m_firstOffset + aTopic.m_records.size();
    return R"({"items":[)" + items + R"(],"hasMore":false,"endOffset":)" +
           std::to_string(end) + "}";
  }

  void RespondToRead(bool aAllowEmpty)
  {
    if (m_answeredNumber == m_requestNumber) {
      return;
    }
    Topic& topic = m_store.m_topics[m_query["topic"]];
    const std::uint64_t from = std::stoull(m_query["from"]);
    const std::uint64_t end = topic.m_firstOffset + topic.m_records.size();
    if (from < topic.m_firstOffset || from > end) {
      SendResponse(
        410, R"({"firstOffset":)" + std::to_string(topic.m_firstOffset) + "}");
      return;
    }
    if (from >= end && !aAllowEmpty) {
      topic.m_waitingReads.push_back(
        [self = shared_from_this(), number = m_requestNumber] {
          if (number == self->m_requestNumber) {
            self->RespondToRead(true);
          }
        });
      return;
    }
    std::string body = BigEndian(end, 8) + BigEndian(topic.m_firstOffset, 8);
    for (std::uint64_t i = from; i < end; ++i) {
      const std::string& record = topic.m_records[i - topic.m_firstOffset];
      body += BigEndian(record.size(), 4) + record;
    }
    SendResponse(200, body);
  }

  void SendResponse(int aStatus, const std::string& aBody)
  {
    m_answeredNumber = m_requestNumber;
    ++m_requestNumber;
    const std::string era =
      m_store.m_era == 0
        ? ""
        : "Store-Era: " + std::to_string(m_store.m_era) + "\r\n";
    m_output = "HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\n" + era +
               "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
               aBody;
    WritePiece(0);
  }

  // Writes the next piece of the response, then pauses before the following
  // one.
  void WritePiece(std::size_t aFrom)
  {
    const std::size_t size = m_output.size() / m_store.m_pieces + 1;
    const std::size_t end = std::min(aFrom + size, m_output.size());
    asio::async_write(
      m_socket,
      asio::buffer(m_output.data() + aFrom, end - aFrom),
      [self = shared_from_this(), end](const error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        if (end == self->m_output.size()) {
          self->Read();
          return;
        }
        self->m_pieceTimer.expires_after(self->m_store.m_piecePause);
        self->m_pieceTimer.async_wait(
          [self, end](const error_code&) { self->WritePiece(end); });
      });
  }

  StoreStandin& m_store;
  Tcp::socket m_socket;
  asio::steady_timer m_longPollTimer;
  asio::steady_timer m_pieceTimer;
  boost::beast::flat_buffer m_input;
  http::request<http::string_body> m_request;
  std::map<std::string, std::string> m_query;
  std::string m_output;
  std::size_t m_requestNumber = 1;  // of the request in progress
  std::size_t m_answeredNumber = 0; // of the last request responded to
};

StoreStandin::StoreStandin(asio::io_context& aLoop,
                           const std::string& aIp,
                           std::uint16_t aPort)
  : m_loop(aLoop)
  , m_acceptor(Listen(aLoop, aIp, aPort))
{
  Accept();
}

void
StoreStandin::Accept()
{
  m_acceptor.async_accept(
    [this](const error_code& aError, Tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<Connection>(*this, std::move(aSocket))->Read();
        Accept();
      }
    });
}

// A record consists of the length of its key (one byte), the key and the value.
// An empty value deletes the key.
void
StoreStandin::Append(Topic& aTopic, const std::string& aRecord)
{
  const std::size_t keySize = static_cast<unsigned char>(aRecord.at(0));
  const std::string key = aRecord.substr(1, keySize);
  const std::string value = aRecord.substr(1 + keySize);
  const std::uint64_t offset = aTopic.m_firstOffset + aTopic.m_records.size();
  aTopic.m_records.push_back(aRecord);
  if (value.empty()) {
    aTopic.m_newest.erase(key);
  } else {
    aTopic.m_newest[key] = { value, offset };
    aTopic.m_lastSetAt[key] = SteadyClock().Now();
  }
  const auto waiting = std::exchange(aTopic.m_waitingReads, {});
  for (const auto& wake : waiting) {
    wake();
  }
}

void
StoreStandin::Put(const std::string& aTopic,
                  const std::string& aKey,
                  const std::optional<std::string>& aValue)
{
  std::string record(1, static_cast<char>(aKey.size()));
  record += aKey + aValue.value_or("");
  Append(m_topics[aTopic], record);
}

void
StoreStandin::DropKeysOlderThan(const std::string& aTopic, Duration aAge)
{
  const Time now = SteadyClock().Now();
  std::vector<std::string> old;
  for (const auto& [key, record] : m_topics[aTopic].m_newest) {
    if (now - m_topics[aTopic].m_lastSetAt[key] > aAge) {
      old.push_back(key);
    }
  }
  for (const std::string& key : old) {
    Put(aTopic, key, std::nullopt);
  }
}

void
StoreStandin::DropHistory(const std::string& aTopic)
{
  Topic& topic = m_topics[aTopic];
  topic.m_firstOffset += topic.m_records.size();
  topic.m_records.clear();
}

void
StoreStandin::RestoreCopy()
{
  ++m_era;
  std::vector<std::function<void()>> waiting;
  for (auto& [name, topic] : m_topics) {
    std::move(topic.m_waitingReads.begin(),
              topic.m_waitingReads.end(),
              std::back_inserter(waiting));
  }
  m_topics = m_copy;
  for (auto& [name, topic] : m_topics) {
    topic.m_waitingReads.clear();
  }
  for (const auto& wake : waiting) {
    wake();
  }
}

void
StoreStandin::SetOutage(std::optional<int> aStatus)
{
  m_outage = aStatus;
}

std::string
StoreStandin::Address() const
{
  return AddressOf(m_acceptor);
}

// --- upstreams ---

std::string
MakeUpstreamResponse(const http::request<http::string_body>& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aExtraFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nX-Attempt-Id: " + std::string(aRequest["X-Attempt-Id"]) +
         "\r\nX-Response-Seal: seal." + aBody +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aExtraFields + "\r\n" + aBody;
}

// aFields: further fields.
static std::string
MakeSealedHead(const http::request<http::string_body>& aRequest,
               const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
         std::string(aRequest["X-Attempt-Id"]) +
         "\r\nX-Response-Seal: seal\r\n" + aFields + "\r\n";
}

std::string
MakeStreamHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest,
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n");
}

std::string
MakeUnframedHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest, "");
}

std::string
MakeUnframedStreamHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest, "Content-Type: text/event-stream\r\n");
}

std::string
MakeChunk(const std::string& aText)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

std::string
MakeEventChunk(int aId)
{
  return MakeChunk("id: " + std::to_string(aId) + "\ndata: e" +
                   std::to_string(aId) + "\n\n");
}

class UpstreamStandin::Connection
  : public std::enable_shared_from_this<UpstreamStandin::Connection>
{
public:
  Connection(UpstreamStandin& aUpstream, Tcp::socket aSocket)
    : m_upstream(aUpstream)
    , m_socket(std::move(aSocket))
  {
  }

  void Read()
  {
    m_request = {};
    http::async_read(
      m_socket,
      m_input,
      m_request,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (aError) {
          self->m_peerClosed = true;
          return;
        }
        auto exchange =
          std::make_shared<Exchange>(self, std::move(self->m_request));
        if (self->m_upstream.m_recordsExchanges) {
          self->m_upstream.m_exchanges.push_back(exchange);
        }
        self->m_upstream.m_handler(exchange);
        self->Read();
      });
  }

private:
  class Exchange : public UpstreamExchange
  {
  public:
    Exchange(std::shared_ptr<Connection> aConnection,
             http::request<http::string_body> aRequest)
      : m_connection(std::move(aConnection))
      , m_request(std::move(aRequest))
    {
    }
    const http::request<http::string_body>& Request() const override
    {
      return m_request;
    }
    void Write(const std::string& aBytes) override
    {
      error_code ignored; // PeerClosed reports a closed connection
      asio::write(m_connection->m_socket, asio::buffer(aBytes), ignored);
    }
    void WriteEndlessly(const std::string& aPiece) override
    {
      WriteUntilClosed(
        m_connection,
        m_connection->m_socket,
        RepeatedText(aPiece),
        [connection = m_connection] { connection->m_peerClosed = true; });
    }
    void Close() override
    {
      error_code ignored; // the test is done with it
      m_connection->m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }
    void Reset() override
    {
      error_code ignored; // the test is done with it
      m_connection->m_socket.set_option(asio::socket_base::linger(true, 0),
                                        ignored);
      m_connection->m_socket.close(ignored);
    }
    bool PeerClosed() const override { return m_connection->m_peerClosed; }

  private:
    std::shared_ptr<Connection> m_connection;
    http::request<http::string_body> m_request;
  };

  UpstreamStandin& m_upstream;
  Tcp::socket m_socket;
  boost::beast::flat_buffer m_input;
  http::request<http::string_body> m_request;
  bool m_peerClosed = false;
};

UpstreamStandin::UpstreamStandin(asio::io_context& aLoop,
                                 const std::string& aIp,
                                 std::uint16_t aPort)
  : m_acceptor(Listen(aLoop, aIp, aPort))
  , m_handler([](const std::shared_ptr<UpstreamExchange>& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "done"));
  })
{
  Accept();
}

void
UpstreamStandin::Accept()
{
  m_acceptor.async_accept(
    [this](const error_code& aError, Tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<Connection>(*this, std::move(aSocket))->Read();
        Accept();
      }
    });
}

std::string
UpstreamStandin::Address() const
{
  return AddressOf(m_acceptor);
}

// --- callers ---

CallerStandin::CallerStandin(asio::io_context& aLoop,
                             const std::string& aAddress)
  : m_state(std::make_shared<State>(aLoop))
{
  const std::size_t colon = aAddress.find(':');
  m_state->m_socket.connect(
    { asio::ip::make_address_v4(aAddress.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))) });
  Read(m_state);
}

CallerStandin::~CallerStandin()
{
  Close();
}

void
CallerStandin::Read(const std::shared_ptr<State>& aState)
{
  aState->m_socket.async_read_some(
    asio::buffer(aState->m_input),
    [aState](const error_code& aError, std::size_t aBytes) {
      aState->m_received.append(aState->m_input.data(), aBytes);
      if (!aError) {
        Read(aState);
        return;
      }
      aState->m_ended =
        aState->m_ended || aError != asio::error::operation_aborted;
      aState->m_reset =
        aState->m_reset || aError == asio::error::connection_reset;
    });
}

void
CallerStandin::Send(const std::string& aBytes)
{
  error_code ignored; // tests check what is received
  asio::write(m_state->m_socket, asio::buffer(aBytes), ignored);
}

void
CallerStandin::SendEndlessly(const std::string& aPiece)
{
  WriteUntilClosed(m_state, m_state->m_socket, RepeatedText(aPiece), [] {});
}

void
CallerStandin::Close()
{
  error_code ignored; // the test is done with it
  m_state->m_socket.close(ignored);
}

// --- the harness ---

RouterHarness::RouterHarness(const HarnessOptions& aOptions)
  : m_ip(NextIp())
  , m_options(aOptions)
  , m_store(std::make_unique<StoreStandin>(m_loop, m_ip))
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "walnutwing-router-XXXXXX")
      .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  m_directory = pattern;
  if (aOptions.m_storeResponsePause > Duration::zero()) {
    m_store->SetPieces(2, aOptions.m_storeResponsePause);
  }
  if (aOptions.m_startWithConfig) {
    PutConfig(1);
  }
  for (std::size_t i = 0; i < aOptions.m_upstreams; ++i) {
    m_upstreams.push_back(std::make_unique<UpstreamStandin>(m_loop, m_ip));
    RegisterUpstream(i);
  }
  WriteSettings();
  m_router = std::make_unique<ChildProcess>(
    std::vector<std::string>{ WALNUTWING_BUILD_DIR "/router/walnutwing-router",
                              "router",
                              "--config",
                              m_directory + "/router.ini" },
    m_directory + "/log");
  const int status = aOptions.m_startWithConfig ? 200 : 503;
  if (aOptions.m_waitUntilReady &&
      !WaitUntil([&] { return ReadyStatus() == status; })) {
    throw std::runtime_error("the router did not become ready: " + LogText());
  }
}

RouterHarness::~RouterHarness()
{
  m_router.reset();
  std::error_code ignored; // a temporary directory
  std::filesystem::remove_all(m_directory, ignored);
}

void
RouterHarness::WriteSettings(const std::string& aExtra)
{
  std::ofstream(m_directory + "/router.ini")
    << "[router]\nname = d1\nzone = z1\nlisten = " << m_ip << ":" << kListenPort
    << "\nready_listen = " << m_ip << ":" << kReadyPort
    << "\npeer_listen = " << m_ip << ":" << kPeerPort
    << "\nmetrics_port = " << kMetricsPort
    << "\n[platform]\naddress = " << m_store->Address()
    << "\n[bounds]\nstop_limit_s = " << m_options.m_stopLimitSeconds << "\n"
    << m_options.m_extraBounds << aExtra;
}

void
RouterHarness::RemoveSettings()
{
  std::filesystem::remove(m_directory + "/router.ini");
}

bool
RouterHarness::WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kHarnessWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    m_loop.run_for(std::chrono::milliseconds(5));
    m_loop.restart();
  }
  return true;
}

void
RouterHarness::RunLoopFor(Duration aTime)
{
  m_loop.run_for(aTime);
  m_loop.restart();
}

void
RouterHarness::PutConfig(int aVersion, const std::string& aOrderPrefix)
{
  const auto route = [](const std::string& aPrefix,
                        const std::string& aKind,
                        const std::string& aExtra) {
    return R"({"host":"h.example","pathPrefix":")" + aPrefix + R"(","kind":")" +
           aKind +
           R"(","service":"s","timeoutMs":8000,"targetLatencyMs":250,)" +
           aExtra + "}";
  };
  m_store->Put(
    "keyed.op",
    "config",
    R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
      route(aOrderPrefix, "non_idempotent", R"("maxAttempts":1)") + "," +
      route("/lookup/", "idempotent", R"("maxAttempts":2)") + "," +
      route("/public/", "idempotent", R"("public":true)") + "," +
      route("/stream/", "streaming", R"("maxAttempts":1)") + "," +
      route("/resume/",
            "streaming",
            R"("maxAttempts":2,"resumable":true,"targetGapMs":100)") +
      R"(],"services":[{"name":"s"}],)"
      R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,)"
      R"("headerTimeoutMs":300,"idleTimeoutMs":5000},)"
      R"("tenants":[{"name":"c1","apiKeys":["k1"],"priority":3}]})");
}

void
RouterHarness::RegisterUpstream(std::size_t aIndex,
                                const std::string& aState,
                                std::int64_t aStartWallMs)
{
  const std::string born =
    aStartWallMs == 0 ? "" : R"(,"born":)" + std::to_string(aStartWallMs);
  m_store->Put(
    "keyed.servers",
    "i-" + std::to_string(aIndex),
    R"({"service":"s","address":")" + m_upstreams.at(aIndex)->Address() +
      R"(","zone":"z1","slots":8,"state":")" + aState + "\"" + born + "}");
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectOnceItListens()
{
  std::unique_ptr<CallerStandin> caller;
  WaitUntil([&] {
    try {
      caller = Connect();
    } catch (const boost::system::system_error&) {
      return false; // it does not listen yet
    }
    return true;
  });
  return caller;
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectTo(std::uint16_t aPort)
{
  return std::make_unique<CallerStandin>(m_loop,
                                         m_ip + ":" + std::to_string(aPort));
}

std::unique_ptr<CallerStandin>
RouterHarness::Connect()
{
  return ConnectTo(kListenPort);
}

std::unique_ptr<CallerStandin>
RouterHarness::ConnectToReadyPage()
{
  return ConnectTo(kReadyPort);
}

std::string
RouterHarness::Fetch(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aExtraFields,
                     const std::string& aBody)
{
  const auto caller = Connect();
  const bool hasKey = aExtraFields.find("Authorization") != std::string::npos;
  caller->Send(
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n" +
    (hasKey ? "" : "Authorization: Bearer k1\r\n") +
    "Connection: close\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n" + aExtraFields + "\r\n" + aBody);
  WaitUntil([&] { return caller->Ended(); });
  return caller->Received();
}

// Returns status 0 if there was no response.
http::response<http::string_body>
RouterHarness::FetchPage(std::uint16_t aPort, const std::string& aPath)
{
  error_code error;
  Tcp::socket socket(m_loop);
  http::response<http::string_body> answer;
  answer.result(0U);
  socket.connect({ asio::ip::make_address_v4(m_ip), aPort }, error);
  if (error) {
    return answer;
  }
  asio::write(
    socket, asio::buffer("GET " + aPath + " HTTP/1.1\r\n\r\n"), error);
  boost::beast::flat_buffer input;
  http::response_parser<http::string_body> parser;
  http::read(socket, input, parser, error);
  return error ? answer : parser.release();
}

int
RouterHarness::ReadyStatus()
{
  return static_cast<int>(FetchPage(kReadyPort, "/api/readyz").result_int());
}

std::size_t
RouterHarness::RouterPeakMemory() const
{
  constexpr std::size_t kBytesPerKb = 1024;
  const std::string field = "VmHWM:";
  std::ifstream file("/proc/" + std::to_string(m_router->Pid()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(field)) {
      return std::stoul(line.substr(field.size())) * kBytesPerKb;
    }
  }
  throw std::runtime_error("the router has no peak memory: it has ended");
}

std::string
RouterHarness::MetricsText()
{
  return FetchPage(kMetricsPort, "/metrics").body();
}

std::size_t
RouterHarness::CountExchanges() const
{
  std::size_t count = 0;
  for (const auto& upstream : m_upstreams) {
    count += upstream->Exchanges().size();
  }
  return count;
}

std::string
RouterHarness::LogText() const
{
  std::ifstream file(m_directory + "/log");
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace walnutwing::standin
