#ifndef WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_
#define WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_

// One HTTP/1.1 connection to an upstream, with one request at a time. The
// response is parsed by Boost.Beast and delivered piece by piece.
//
// A response is matched to the request by its attempt id, because a reused
// connection may still deliver the response to an earlier request. That one is
// skipped, as are interim responses, up to a limit of bytes for each request. A
// head that was made of two responses, one of them broken off, ends the
// attempt, and so does a status that is none (response_status.h). A "not
// executed" response without an id is believed on no connection: nothing shows
// which request it is about, so the attempt fails as one that may have run. A
// connection with bytes beyond the response is closed rather than reused, and
// one with refusals gets no request with the id of a refused one: a copy of its
// refusal could not be told from the response.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/parser.hpp>

#include "platform/answer_codec.h"
#include "router/asio.h"
#include "router/input_buffer.h"
#include "router/peer_state.h"
#include "router/piece_body.h"
#include "walnutwing/relay/body_end.h"

namespace walnutwing::router {

struct UpstreamRequest
{
  std::string m_head;                        // including the empty line
  std::shared_ptr<const std::string> m_body; // null: none
  std::string m_attemptId;
  bool m_headOnly = false; // method HEAD: the response has no body
};

// How far a request has progressed.
enum class SendStage
{
  NotConnected, // nothing was sent: it has not run
  Sent,         // it may have arrived and run
  HeadReceived, // its response has begun
  Complete,     // its response is complete
};

struct UpstreamResult
{
  SendStage m_stage = SendStage::NotConnected;
  std::string m_error; // empty when complete
  BodyFraming m_framing = BodyFraming::Unknown;
  std::uint64_t m_bodyBytes = 0; // received
  // Whether the whole request had reached the upstream's host when the response
  // ended.
  bool m_requestTaken = true;
};

// Receives the response. OnEnd is the last call; there are no calls after
// Cancel.
class ResponseReceiver
{
public:
  virtual ~ResponseReceiver() = default;
  // The request has waited for its connection, which is made now; no byte of it
  // was sent yet. To have nothing sent, the receiver cancels the attempt.
  virtual void OnConnected() = 0;
  virtual void OnHead(const platform::HttpResponseHead& aHead,
                      const platform::ResponseFacts& aFacts) = 0;
  virtual void OnBody(std::string_view aPiece) = 0;
  virtual void OnEnd(const UpstreamResult& aResult) = 0;
};

class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  // aOnReusable is called when a response is complete and the connection can
  // take another request, with the keep-alive timeout that the upstream stated,
  // if any. aOnClosed is called once, when the connection is closed.
  using OnReusable = std::function<void(std::shared_ptr<UpstreamConnection>,
                                        std::optional<Duration>)>;
  using OnClosed = std::function<void()>;

  UpstreamConnection(Loop& aLoop,
                     Tcp::endpoint aEndpoint,
                     OnReusable aOnReusable,
                     OnClosed aOnClosed);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Sends a request, connecting first if necessary. The receiver must live
  // until OnEnd or Cancel. It is not called from within Send.
  void Send(UpstreamRequest aRequest, ResponseReceiver& aReceiver);

  // Abandons the request and closes the connection, so that the upstream stops
  // working on it.
  void Cancel();

  // Stop and continue reading, to apply a slow caller's backpressure to the
  // upstream.
  void Pause();
  void Resume();

  // Marks the connection as idle: closes it when the upstream sends anything or
  // closes it, or after aMaxIdle.
  void WatchIdle(Duration aMaxIdle);

  // Whether an idle connection is still open and has no unread bytes. Queries
  // the socket.
  bool IsIdleAndOpen()
  {
    return PeerStateOf(m_socket.native_handle()) == PeerState::Open;
  }

  void Close();
  bool IsOpen() const { return !m_closed; }

  // Whether a request with this attempt id was "not executed" on it.
  bool HasRefused(const std::string& aAttemptId) const;

  // Whether a response to an earlier request was completed on it.
  bool IsReused() const { return m_reused; }

  // Whether bytes of the request have been sent, so that it may run. Until then
  // it waits for the connection.
  bool HasSent() const { return m_stage != SendStage::NotConnected; }

private:
  using Parser = boost::beast::http::response_parser<PieceBody>;

  void Connect();
  void Write();
  void Read();
  void OnRead(const error_code& aError, std::size_t aBytes);
  // Parses the received bytes. Returns false if the request has ended.
  bool Parse();
  // Returns false if the request has ended.
  bool OnResponseHead();
  bool OnResponseComplete();
  void OnPeerClosed(const error_code& aError);
  bool IsRequestTaken();
  void NewParser();
  BodyFraming Framing() const;
  void Finish(SendStage aStage, std::string aError);

  Socket m_socket;
  Timer m_timer;
  Tcp::endpoint m_endpoint;
  OnReusable m_onReusable;
  OnClosed m_onClosed;
  UpstreamRequest m_request;
  std::vector<std::string> m_refusedIds;
  ResponseReceiver* m_receiver = nullptr;
  InputBuffer m_input;
  std::optional<Parser> m_parser;
  std::optional<Duration> m_keepAlive;
  BodyFraming m_framing = BodyFraming::Unknown;
  std::uint64_t m_bodyBytes = 0;    // received of the response to the request
  std::uint64_t m_skippedBytes = 0; // of responses that precede it
  SendStage m_stage = SendStage::NotConnected;
  bool m_connected = false;
  bool m_reused = false;
  bool m_closed = false;
  bool m_writing = false;
  bool m_writeFailed = false;
  bool m_reading = false;
  bool m_paused = false;
  bool m_headParsed = false;      // head of the response being parsed
  bool m_skipResponse = false;    // interim response, or of another request
  std::uint64_t m_generation = 0; // older handlers do nothing
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_UPSTREAM_CONNECTION_H_
