#ifndef WALNUTWING_STANDIN_ROUTER_HARNESS_H_
#define WALNUTWING_STANDIN_ROUTER_HARNESS_H_

// A router process with small stand-ins in the test's process: the platform's
// store, upstreams and callers. Upstreams and callers send raw bytes, so that
// tests control each of them. All share one event loop; each wait ends after
// kHarnessWaitTimeout.

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "standin/child_process.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

inline constexpr Duration kHarnessWaitTimeout{ 20'000 };

// Stand-in for the platform's store, without its limits and prices: per topic,
// a log of records and the newest value of each key. Reads wait for records.
class StoreStandin
{
public:
  // If aPort is 0, the system chooses a free port.
  explicit StoreStandin(asio::io_context& aLoop,
                        const std::string& aIp,
                        std::uint16_t aPort = 0);

  // Sets a key, or deletes it without a value, and wakes waiting reads.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // Drops all records of the log; the newest value of each key stays.
  void DropHistory(const std::string& aTopic);

  // Keeps a copy of all topics.
  void TakeCopy() { m_copy = m_topics; }
  // Restores the store from that copy, in the next era. Waiting reads end.
  void RestoreCopy();
  // States the era in all responses; 0: no longer.
  void SetEra(std::uint64_t aEra) { m_era = aEra; }

  // Deletes the keys of a topic that have not been set for more than aAge.
  void DropKeysOlderThan(const std::string& aTopic, Duration aAge);

  // From now on requests get no response (0) or only this status; nullopt ends
  // the outage.
  void SetOutage(std::optional<int> aStatus);

  // Sends responses in up to aPieces pieces with aPause between them, as over a
  // slow link.
  void SetPieces(std::size_t aPieces, Duration aPause = Duration(400))
  {
    m_pieces = aPieces;
    m_piecePause = aPause;
  }

  // The next response begins with aHead, and aPiece follows without end: as
  // fast as possible, or each after aPause. Later responses are as usual.
  void AnswerEndlessly(const std::string& aHead,
                       const std::string& aPiece,
                       Duration aPause = Duration(0))
  {
    m_endlessHead = aHead;
    m_endlessPiece = aPiece;
    m_endlessPause = aPause;
  }
  // Whether such a response has begun, and the router has ended it.
  bool EndlessAnswerEnded() const
  {
    return m_endlessAnswerEnded.value_or(false);
  }

  std::string Address() const;
  // Number of requests for the newest records of a topic.
  std::size_t CountNewestRequests(const std::string& aTopic) const
  {
    const auto found = m_newestRequests.find(aTopic);
    return found == m_newestRequests.end() ? 0 : found->second;
  }

  // Number of requests to append to a topic.
  std::size_t CountAppends(const std::string& aTopic) const
  {
    const auto found = m_appends.find(aTopic);
    return found == m_appends.end() ? 0 : found->second;
  }

private:
  struct Topic
  {
    std::uint64_t m_firstOffset = 0;
    std::vector<std::string> m_records; // from m_firstOffset on
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest;
    std::map<std::string, Time> m_lastSetAt; // by key
    std::vector<std::function<void()>> m_waitingReads;
  };
  class Connection;

  void Accept();
  static void Append(Topic& aTopic, const std::string& aRecord);

  asio::io_context& m_loop;
  Tcp::acceptor m_acceptor;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Topic> m_copy; // of TakeCopy
  std::uint64_t m_era = 0;
  std::optional<int> m_outage;
  std::map<std::string, std::size_t> m_newestRequests; // by topic
  std::map<std::string, std::size_t> m_appends;        // by topic
  std::size_t m_pieces = 1;
  Duration m_piecePause{ 0 };
  std::string m_endlessHead; // of AnswerEndlessly
  std::string m_endlessPiece;
  Duration m_endlessPause{ 0 };
  std::optional<bool> m_endlessAnswerEnded; // empty until it has begun
};

// One request at an upstream, and the connection that it came on.
class UpstreamExchange
{
public:
  virtual ~UpstreamExchange() = default;
  virtual const http::request<http::string_body>& Request() const = 0;
  // Writes raw bytes.
  virtual void Write(const std::string& aBytes) = 0;
  // Writes aPiece again and again until the router closes the connection.
  virtual void WriteEndlessly(const std::string& aPiece) = 0;
  virtual void Close() = 0; // orderly, without a reset
  virtual void Reset() = 0;
  virtual bool PeerClosed() const = 0;
};

// A complete response with the headers that the platform requires of upstreams.
std::string
MakeUpstreamResponse(const http::request<http::string_body>& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aExtraFields = "");

// The head of a chunked stream of server-sent events.
std::string
MakeStreamHead(const http::request<http::string_body>& aRequest);

// Heads of a body and of a stream of events with neither a length nor chunks,
// which end with their connection.
std::string
MakeUnframedHead(const http::request<http::string_body>& aRequest);
std::string
MakeUnframedStreamHead(const http::request<http::string_body>& aRequest);

std::string
MakeChunk(const std::string& aText);

std::string
MakeEventChunk(int aId);

class UpstreamStandin
{
public:
  using Handler = std::function<void(std::shared_ptr<UpstreamExchange>)>;

  // If aPort is 0, the system chooses a free port.
  UpstreamStandin(asio::io_context& aLoop,
                  const std::string& aIp,
                  std::uint16_t aPort = 0);

  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }
  std::string Address() const;
  // Whether Exchanges records requests; each entry keeps its connection open.
  void SetRecordsExchanges(bool aRecords) { m_recordsExchanges = aRecords; }
  // All requests received while recording was on.
  const std::vector<std::shared_ptr<UpstreamExchange>>& Exchanges() const
  {
    return m_exchanges;
  }

private:
  class Connection;
  void Accept();

  Tcp::acceptor m_acceptor;
  Handler m_handler;
  std::vector<std::shared_ptr<UpstreamExchange>> m_exchanges;
  bool m_recordsExchanges = true;
};

// A caller's connection, which collects what it receives.
class CallerStandin
{
public:
  CallerStandin(asio::io_context& aLoop, const std::string& aAddress);
  ~CallerStandin();
  CallerStandin(const CallerStandin&) = delete;
  CallerStandin& operator=(const CallerStandin&) = delete;

  void Send(const std::string& aBytes);
  // Sends aPiece again and again until the router closes the connection.
  void SendEndlessly(const std::string& aPiece);
  void Close();

  const std::string& Received() const { return m_state->m_received; }
  // Whether the router has ended the connection.
  bool Ended() const { return m_state->m_ended; }
  // Whether it has ended it with a reset.
  bool WasReset() const { return m_state->m_reset; }

private:
  // Shared with the pending read, whose handler may run after the destructor.
  struct State
  {
    explicit State(asio::io_context& aLoop)
      : m_socket(aLoop)
    {
    }

    Tcp::socket m_socket;
    std::array<char, 16384> m_input{};
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
  };

  static void Read(const std::shared_ptr<State>& aState);

  std::shared_ptr<State> m_state;
};

struct HarnessOptions
{
  std::size_t m_upstreams = 2;
  bool m_startWithConfig = true; // published before the router starts
  int m_stopLimitSeconds = 8; // setting stop_limit_s: from SIGTERM to the exit
  // Pause in the middle of each response of the store.
  Duration m_storeResponsePause{ 0 };
  bool m_waitUntilReady = true; // see the constructor
  std::string m_extraBounds{};  // more lines of [bounds] in the settings
};

class RouterHarness
{
public:
  // Starts the stand-ins and the router. If m_waitUntilReady, waits until its
  // readiness page has status 200, or 503 if there is no configuration; throws
  // std::runtime_error if it does not in time.
  explicit RouterHarness(const HarnessOptions& aOptions);
  explicit RouterHarness(std::size_t aUpstreams = 2)
    : RouterHarness(HarnessOptions{ .m_upstreams = aUpstreams })
  {
  }
  ~RouterHarness();
  RouterHarness(const RouterHarness&) = delete;
  RouterHarness& operator=(const RouterHarness&) = delete;

  // Runs the event loop until aCondition holds; false after
  // kHarnessWaitTimeout.
  bool WaitUntil(const std::function<bool()>& aCondition);
  void RunLoopFor(Duration aTime);

  // Publishes a configuration with fixed routes; aOrderPrefix is the path
  // prefix of the route for orders.
  void PutConfig(int aVersion, const std::string& aOrderPrefix = "/order/");
  // aStartWallMs identifies the upstream's incarnation; 0: not stated.
  void RegisterUpstream(std::size_t aIndex,
                        const std::string& aState = "ready",
                        std::int64_t aStartWallMs = 0);

  std::unique_ptr<CallerStandin> Connect();
  // Connects to the router's readiness page.
  std::unique_ptr<CallerStandin> ConnectToReadyPage();
  // Retries while the router does not listen; null after kHarnessWaitTimeout.
  std::unique_ptr<CallerStandin> ConnectOnceItListens();

  // Sends one request on a new connection and returns all bytes received until
  // the router closes it, as the request's Connection: close asks.
  std::string Fetch(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aExtraFields = "",
                    const std::string& aBody = "");

  // Status of the router's readiness page; 0 without a response.
  int ReadyStatus();
  // The router's peak memory so far, in bytes.
  std::size_t RouterPeakMemory() const;
  // The router's metrics page.
  std::string MetricsText();

  StoreStandin& Store() { return *m_store; }
  UpstreamStandin& Upstream(std::size_t aIndex)
  {
    return *m_upstreams.at(aIndex);
  }
  std::size_t Upstreams() const { return m_upstreams.size(); }
  ChildProcess& Router() { return *m_router; }
  // Number of requests recorded at all upstreams.
  std::size_t CountExchanges() const;
  std::string LogText() const;
  // Rewrites the settings file, with aExtra as further lines of [bounds].
  void WriteSettings(const std::string& aExtra = "");
  void RemoveSettings();

private:
  http::response<http::string_body> FetchPage(std::uint16_t aPort,
                                              const std::string& aPath);
  std::unique_ptr<CallerStandin> ConnectTo(std::uint16_t aPort);

  std::string m_ip;
  HarnessOptions m_options;
  std::string m_directory;
  asio::io_context m_loop;
  std::unique_ptr<StoreStandin> m_store;
  std::vector<std::unique_ptr<UpstreamStandin>> m_upstreams;
  std::unique_ptr<ChildProcess> m_router;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ROUTER_HARNESS_H_
