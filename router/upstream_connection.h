#ifndef WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_
#define WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_

// One HTTP/1.1 connection to an upstream, with one request at a time. The
// answer is parsed by Boost.Beast and handed on piece by piece.
//
// An answer belongs to the request only if it names its attempt id: an answer
// to an earlier request may lie on a kept connection, and is skipped. Bytes
// beyond an answer end the connection.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "platform/answer_codec.h"
#include "router/asio.h"

namespace walnutwing::router {

struct UpstreamRequest
{
  std::string m_head; // with its empty line
  std::string m_body;
  std::string m_attemptId;
  bool m_headOnly = false; // the method is HEAD: the answer has no body
};

// How far a request got.
enum class SendStage
{
  NotConnected, // no byte has left: it has not run
  Sent,         // it may have arrived
  HeadSeen,     // its answer has begun
  Complete,     // its answer is whole
};

struct UpstreamEnd
{
  SendStage m_stage = SendStage::NotConnected;
  std::string m_error; // "" when complete
};

// Takes the answer. OnEnd is the last call; none follows a Cancel.
class AnswerReceiver
{
public:
  virtual ~AnswerReceiver() = default;
  virtual void OnHead(const platform::HttpResponseHead& aHead,
                      const platform::ResponseFacts& aFacts) = 0;
  virtual void OnBody(std::string_view aPiece) = 0;
  virtual void OnEnd(const UpstreamEnd& aEnd) = 0;
};

class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  // aOnFree is called when a request has ended and the connection may carry the
  // next one, with how long the upstream keeps it idle (nothing if not told);
  // aOnClosed, once, when it may not.
  using OnFree = std::function<void(std::shared_ptr<UpstreamConnection>,
                                    std::optional<Duration>)>;
  using OnClosed = std::function<void()>;

  UpstreamConnection(Loop& aLoop,
                     Tcp::endpoint aEndpoint,
                     OnFree aOnFree,
                     OnClosed aOnClosed);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Sends a request, connecting first if need be. The receiver must live until
  // OnEnd or Cancel; it is not called from within.
  void Send(UpstreamRequest aRequest, AnswerReceiver& aReceiver);

  // Gives the request up: closes the connection, so that the upstream stops.
  void Cancel();

  // Stops reading, and goes on: lets a slow caller hold the upstream back.
  void Pause();
  void Resume();

  // While idle: ends the connection when the upstream sends or closes, or after
  // aLongest.
  void WatchIdle(Duration aLongest);

  // Whether the connection, idle until now, is still clean. Asks the socket.
  bool StillClean();

  void Close();
  bool Open() const { return !m_closed; }

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Write();
  void Read();
  void OnRead(const error_code& aError, std::size_t aBytes);
  // Parses what has come. Returns false when the answer has ended.
  bool Parse();
  void OnAnswerHead();
  bool OnAnswerDone();
  void OnPeerClosed(const error_code& aError);
  void NewParser();
  void End(SendStage aStage, std::string aError);

  Socket m_socket;
  Timer m_timer;
  Tcp::endpoint m_endpoint;
  OnFree m_onFree;
  OnClosed m_onClosed;
  UpstreamRequest m_request;
  AnswerReceiver* m_receiver = nullptr;
  boost::beast::flat_buffer m_input;
  std::optional<Parser> m_parser;
  std::optional<Duration> m_keepAlive;
  SendStage m_stage = SendStage::NotConnected;
  bool m_connected = false;
  bool m_closed = false;
  bool m_writing = false;
  bool m_reading = false;
  bool m_paused = false;
  bool m_headSeen = false;  // of the parser's answer
  bool m_skipping = false;  // that answer is another request's
  std::uint64_t m_turn = 0; // of the connection's use; old handlers do nothing
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_
