#ifndef WALNUTWING_ROUTER_CALLER_CONNECTION_H_
#define WALNUTWING_ROUTER_CALLER_CONNECTION_H_

// One caller's HTTP/1.x connection. Requests are parsed by Boost.Beast and
// served one at a time. The socket is also read while a response is in
// progress, so that a disconnect is detected at once. If it may not be read
// then, as the buffer is full or memory is short, its state is queried instead.
// A caller that ends its sending side counts as one that has left.
//
// The bytes of each head are validated (request_head.h) before anything is
// taken from it, and the parser must find the same end of the body.
//
// All that it holds is charged to the process's MemoryGuard, which may have it
// read no further, or give up its request. Of a request these are the buffers,
// the head's fields and the body; of an answer what is not written yet.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/parser.hpp>

#include "router/caller_body.h"
#include "router/context.h"
#include "router/input_buffer.h"
#include "router/limit_timer.h"
#include "router/memory_guard.h"
#include "router/request_flow.h"
#include "walnutwing/http/request_head.h"

namespace walnutwing::router {

class CallerConnection
  : public ResponseWriter
  , public MemoryOwner
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  // aOnClosed is called exactly once, when the socket is closed.
  CallerConnection(Context& aContext,
                   Socket aSocket,
                   std::function<void()> aOnClosed);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();

  // Closes the connection if the caller has no request in progress and has sent
  // no part of one. It is given some time for its first and for its next one.
  void CloseIfIdle();

  // Ends the request in progress, because the process stops, and closes the
  // connection once the caller has taken what there is for it.
  void Terminate();

  // Logs how much of an answer the caller has not taken, if any.
  void LogUnsent() const;

  void Begin(std::string aHead, std::optional<std::uint64_t> aLength) override;
  void Write(std::string_view aPiece) override;
  void End() override;
  void Abort() override;
  std::size_t PendingBytes() const override;
  void CheckCaller() override;
  std::size_t MaxKeptBytes() const override;
  void OnKept(std::size_t aBytes) override;

  std::uint64_t OwnBytes() const override;
  void OnMayGrow() override;
  void GiveUp() override;

  // Whether it has no request in progress and no part of one, and since when.
  bool IsIdle() const { return m_state == State::Idle && m_input.size() == 0; }
  Time IdleSince() const { return m_hadRequest ? m_idleSince : m_acceptedAt; }
  // Closes it, unless the caller has sent something.
  void CloseUnlessReadable();

private:
  using Parser = boost::beast::http::request_parser<CallerBody>;
  // A body and the charge for it and its request's head, which end together.
  struct HeldBody
  {
    HeldBody(MemoryLedger& aLedger, MemoryLedger::OwnerId aOwner)
      : m_charge(aLedger, aOwner)
    {
    }
    std::string m_text;
    MemoryCharge m_charge;
  };
  enum class State
  {
    Idle,       // no byte of a request parsed
    Receiving,  // part of a request received
    Responding, // request complete, response in progress
    Lingering,  // response sent; waiting for the caller to close
    Closed,
  };

  void Close();
  void Read();
  bool MayRead();
  void WatchForClose();
  void OnRead(const error_code& aError, std::size_t aBytes);
  void Parse();
  bool ParseGuarded();
  bool ParseWhenAllowed();
  std::uint64_t MaxWireBytes() const;
  Duration RetryAfterMemory();
  void ResetOnClose();
  void BeginRequest();
  std::size_t FeedParser(error_code& aError);
  // Returns false if the head was rejected.
  bool OnRequestHead();
  bool ValidateHead();
  bool HasSameFraming(const RequestHead& aHead) const;
  void OnRequest();
  void OnParseError(const error_code& aError);
  // aHeadError: what is invalid in the head; "" if it is something else.
  void Reject(ResultCode aCode, std::string_view aHeadError = "");
  void SetTimer(Duration aTime);
  void OnTimer();
  void Flush();
  void OnTaken(std::size_t aBytes);
  void OnFlushed(const error_code& aError);
  void OnResponseSent();
  void Linger();
  void OnConnectionLost();
  bool MayGrow();
  void UpdateCharge();
  void FreeBuffers();
  std::shared_ptr<const std::string> TakeBody(std::string aText);
  const CallerLimits& Limits() const;

  Context& m_context;
  Socket m_socket;
  LimitTimer m_timer;
  std::function<void()> m_onClosed;
  Time m_acceptedAt;
  Time m_idleSince; // when the last response ended
  State m_state = State::Idle;
  InputBuffer m_input;
  std::optional<Parser> m_parser;
  std::string m_headText; // of the request that is received
  // Of a request in chunks: its head, without the trailers that the parser
  // adds.
  std::optional<boost::beast::http::request_header<>> m_headBeforeTrailers;
  MemoryLedger::OwnerId m_owner;
  MemoryCharge m_charge;                // of all but the request
  std::shared_ptr<HeldBody> m_heldBody; // of the request that is received
  std::uint64_t m_headCost = 0;         // of that request's fields
  std::uint64_t m_wireBytes = 0;        // of that request, consumed
  Time m_receivingSince;                // that request
  std::size_t m_keptBytes = 0;          // of the answer, elsewhere
  bool m_waitsForMemory = false;        // and is not read meanwhile
  bool m_reading = false;
  bool m_hadRequest = false;
  std::uint32_t m_requests = 0; // complete ones on this connection
  bool m_headParsed = false;
  bool m_keepAlive = true; // keep the connection open after this response
  bool m_isHttp10 = false; // without chunked encoding

  std::shared_ptr<RequestFlow> m_flow;
  std::string m_pending;        // buffered for the next write
  std::string m_writing;        // owned by the write in flight
  Time m_writingSince;          // or since the caller last took a part of it
  std::size_t m_takenBytes = 0; // of the write in flight
  bool m_headRequest = false;   // HEAD: responses have no body
  bool m_bodyless = false;      // this response has no body
  bool m_chunked = false;
  bool m_responseEnded = false;
  bool m_aborted = false;
  std::size_t m_lingeredBytes = 0; // discarded after the final response
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_CALLER_CONNECTION_H_
