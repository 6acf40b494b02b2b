#ifndef WALNUTWING_STANDIN_ROUTER_HARNESS_H_
#define WALNUTWING_STANDIN_ROUTER_HARNESS_H_

// A router as a process of its own, with small stand-ins around it in the
// test's process: the platform's store, upstreams and callers. Upstreams and
// callers speak raw bytes, so that tests decide about every one of them. All
// wait on one loop; each wait ends after kHarnessWaitTimeout.

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

// The platform's store as its page describes it, without limits or prices.
class StoreStandin
{
public:
  // aPort 0: any.
  explicit StoreStandin(asio::io_context& aLoop,
                        const std::string& aIp,
                        std::uint16_t aPort = 0);

  // Sets or drops a key; readers that wait are answered.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // Forgets all records; the newest of each key stays.
  void DropHistory(const std::string& aTopic);

  // Drops the keys of a topic that have not been set for so long.
  void DropKeysOlderThan(const std::string& aTopic, Duration aAge);

  // What calls are answered with from now on: nothing (0: they get no answer)
  // or a status; nullopt answers them.
  void SetOutage(std::optional<int> aStatus);

  // Answers leave in this many pieces, with pauses, as over a slow link.
  void SetPieces(std::size_t aPieces, Duration aPause = Duration(400))
  {
    m_pieces = aPieces;
    m_piecePause = aPause;
  }

  std::string Address() const;
  // Calls for the newest records of a topic.
  std::size_t CountNewestRequests(const std::string& aTopic) const
  {
    const auto found = m_newestRequests.find(aTopic);
    return found == m_newestRequests.end() ? 0 : found->second;
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
  std::optional<int> m_outage;
  std::map<std::string, std::size_t> m_newestRequests; // by topic
  std::size_t m_pieces = 1;
  Duration m_piecePause{ 0 };
};

// One request at an upstream, and the connection that it came on.
class UpstreamExchange
{
public:
  virtual ~UpstreamExchange() = default;
  virtual const http::request<http::string_body>& Request() const = 0;
  // Writes raw bytes.
  virtual void Write(const std::string& aBytes) = 0;
  virtual void Close() = 0; // orderly
  virtual void Reset() = 0;
  virtual bool PeerClosed() const = 0;
};

// A whole answer of an upstream, with the fields that the platform names.
std::string
MakeUpstreamResponse(const http::request<http::string_body>& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aExtraFields = "");

// The head of a stream of events.
std::string
MakeStreamHead(const http::request<http::string_body>& aRequest);

std::string
MakeChunk(const std::string& aText);

std::string
MakeEventChunk(int aId);

class UpstreamStandin
{
public:
  using Handler = std::function<void(std::shared_ptr<UpstreamExchange>)>;

  // aPort 0: any.
  UpstreamStandin(asio::io_context& aLoop,
                  const std::string& aIp,
                  std::uint16_t aPort = 0);

  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }
  std::string Address() const;
  // Whether Exchanges grows; each entry keeps its connection open.
  void SetRecordsExchanges(bool aRecords) { m_recordsExchanges = aRecords; }
  // Everything that reached it.
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

// A caller's connection; collects what it receives.
class CallerStandin
{
public:
  CallerStandin(asio::io_context& aLoop, const std::string& aAddress);

  void Send(const std::string& aBytes);
  void Close();

  const std::string& Received() const { return m_received; }
  bool Ended() const { return m_ended; } // the connection has ended

private:
  void Read();

  Tcp::socket m_socket;
  std::array<char, 16384> m_input{};
  std::string m_received;
  bool m_ended = false;
};

struct HarnessOptions
{
  std::size_t m_upstreams = 2;
  bool m_startWithConfig = true; // in place before the router starts
  int m_stopLimitSeconds = 8;    // from SIGTERM until a router must be gone
  Duration m_storeResponsePause{
    0
  };                            // in the middle of each answer of the store
  bool m_waitUntilReady = true; // until the router is ready, or runs
  std::string m_extraBounds{};  // lines of the settings' [bounds]
};

class RouterHarness
{
public:
  // Starts the stand-ins and the router; waits until it is ready, or without a
  // configuration until it runs.
  explicit RouterHarness(const HarnessOptions& aOptions);
  explicit RouterHarness(std::size_t aUpstreams = 2)
    : RouterHarness(HarnessOptions{ .m_upstreams = aUpstreams })
  {
  }
  ~RouterHarness();
  RouterHarness(const RouterHarness&) = delete;
  RouterHarness& operator=(const RouterHarness&) = delete;

  // Turns the loop until aCondition holds; false when it did not in time.
  bool WaitUntil(const std::function<bool()>& aCondition);
  void RunLoopFor(Duration aTime);

  // Writes a configuration with the routes of ConfigText.
  void PutConfig(int aVersion, const std::string& aOrderPrefix = "/order/");
  void RegisterUpstream(std::size_t aIndex,
                        const std::string& aState = "ready");

  std::unique_ptr<CallerStandin> Connect();
  // Tries again while nothing listens there.
  std::unique_ptr<CallerStandin> ConnectOnceItListens();

  // Sends one request on a connection of its own, and waits for its whole
  // answer (until the router closes, since the request asks for it).
  std::string Fetch(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aExtraFields = "",
                    const std::string& aBody = "");

  // Status of the router's own page of readiness; 0 without an answer.
  int ReadyStatus();
  // The router's page of metrics.
  std::string MetricsText();

  StoreStandin& Store() { return *m_store; }
  UpstreamStandin& Upstream(std::size_t aIndex)
  {
    return *m_upstreams.at(aIndex);
  }
  std::size_t Upstreams() const { return m_upstreams.size(); }
  ChildProcess& Router() { return *m_router; }
  // All requests that reached any upstream.
  std::size_t CountExchanges() const;
  std::string LogText() const;
  // Writes the settings file anew, with one more line in [bounds].
  void WriteSettings(const std::string& aExtra = "");
  void RemoveSettings();

private:
  http::response<http::string_body> FetchPage(std::uint16_t aPort,
                                              const std::string& aPath);

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
