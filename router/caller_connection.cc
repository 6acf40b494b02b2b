#include "router/caller_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <random>
#include <utility>

#include <boost/asio/write.hpp>

#include "platform/field_text.h"
#include "router/input_guard.h"
#include "router/peer_state.h"
#include "router/socket_options.h"
#include "walnutwing/relay/response_status.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 4U << 10U;
// How long a caller may take to close the connection after the final response.
constexpr Duration kLingerTime = std::chrono::milliseconds(1000);
// Between two queries of a connection that is not read during a response.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(100);
// A caller connects in order to send a request, which arrives soon after.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(500);
// A caller that sends more than this meanwhile does not read the response.
constexpr std::size_t kMaxLingerBytes = 1U << 20U;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp11 = 11;
// What a connection costs beside its buffers: its objects, the system's, and
// those of the connection to an upstream.
constexpr std::uint64_t kConnectionCost = 8U << 10U;
// What a field of a head costs beside its text.
constexpr std::uint64_t kFieldCost = 112;
// Buffers of a connection that waits for its next request are kept up to this
// size.
constexpr std::size_t kMaxIdleBufferBytes = 4U << 10U;
// The most that a body may take on the wire, as a multiple of the limit of
// bodies: chunks of one byte without extensions take six times their content.
constexpr std::uint64_t kMaxWireFactor = 8;
// Retry-After of requests that are given up for want of memory; a random part
// of up to the same time is added.
constexpr Duration kMemoryRetryAfter = std::chrono::milliseconds(1000);

// Whether responses with that status line have no body.
bool
IsBodylessStatus(std::string_view aHead)
{
  constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t kStatusDigits = 3;
  const std::string_view text = aHead.substr(kStatusAt, kStatusDigits);
  unsigned status = 0;
  std::from_chars(text.data(), text.data() + text.size(), status);
  return KindOf(status) == StatusKind::FinalWithoutBody;
}

} // namespace

CallerConnection::CallerConnection(Context& aContext,
                                   Socket aSocket,
                                   std::function<void()> aOnClosed)
  : m_context(aContext)
  , m_socket(std::move(aSocket))
  , m_timer(aContext.m_loop)
  , m_onClosed(std::move(aOnClosed))
  , m_acceptedAt(Now())
  , m_owner(aContext.m_memory.Add(*this))
  , m_charge(aContext.m_memory.Ledger(), m_owner)
{
  UpdateCharge();
}

CallerConnection::~CallerConnection()
{
  m_context.m_memory.Remove(m_owner);
}

const CallerLimits&
CallerConnection::Limits() const
{
  static const CallerLimits kDefaults;
  return m_context.m_routes == nullptr ? kDefaults
                                       : m_context.m_routes->Config().m_limits;
}

void
CallerConnection::Start()
{
  SetLivenessOptions(m_socket);
  SetTimer(Limits().m_idleTimeout);
  Read();
}

// A full buffer holds requests that the caller has sent ahead of responses.
bool
CallerConnection::MayRead()
{
  return !m_waitsForMemory && !m_input.IsFull() &&
         (m_state == State::Lingering || MayGrow());
}

void
CallerConnection::Read()
{
  if (m_reading || m_state == State::Closed) {
    return;
  }
  if (!MayRead()) {
    WatchForClose();
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    m_input.PrepareUpTo(kReadBufferBytes),
    [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
      self->m_reading = false;
      if (self->m_state != State::Closed) {
        self->OnRead(aError, aBytes);
      }
    });
}

void
CallerConnection::OnRead(const error_code& aError, std::size_t aBytes)
{
  if (aError) {
    OnConnectionLost();
    return;
  }
  m_input.commit(aBytes);
  if (m_state == State::Lingering) {
    m_input.consume(m_input.size());
    m_lingeredBytes += aBytes;
    if (m_lingeredBytes > kMaxLingerBytes) {
      Close();
      return;
    }
  } else if (m_state != State::Responding && !ParseWhenAllowed()) {
    OnConnectionLost();
    return;
  }
  UpdateCharge();
  Read();
}

// What has been read is parsed only when its body may grow. Returns false if
// the input cannot be handled.
bool
CallerConnection::ParseWhenAllowed()
{
  return !MayGrow() || ParseGuarded();
}

// Returns false if the input cannot be handled because of an unexpected error.
bool
CallerConnection::ParseGuarded()
{
  return RunGuarded(
    m_context.m_log, m_context.m_metrics, "caller", Now(), [this] { Parse(); });
}

void
CallerConnection::BeginRequest()
{
  m_state = State::Receiving;
  m_hadRequest = true;
  m_headParsed = false;
  m_headCost = 0;
  m_wireBytes = 0;
  m_receivingSince = Now();
  m_heldBody = std::make_shared<HeldBody>(m_context.m_memory.Ledger(), m_owner);
  m_heldBody->m_charge.SetUse(MemoryUse::Receiving, m_receivingSince);
  m_parser.emplace();
  m_parser->eager(false); // stop behind the head, which is validated first
  m_parser->header_limit(Limits().m_maxHeaderBytes);
  m_input.AllowHead(Limits().m_maxHeaderBytes);
  m_parser->body_limit(Limits().m_maxBodyBytes);
  SetTimer(Limits().m_headerTimeout);
}

void
CallerConnection::Parse()
{
  while (m_input.size() != 0) {
    if (m_state == State::Idle) {
      BeginRequest();
    }
    error_code error;
    const std::size_t used = FeedParser(error);
    if (m_parser->is_header_done() && !m_headParsed && !OnRequestHead()) {
      return;
    }
    if (error) {
      OnParseError(error);
      return;
    }
    if (m_wireBytes > MaxWireBytes()) {
      Reject(ResultCode::RequestTooLarge);
      return;
    }
    if (m_parser->is_done()) {
      OnRequest();
      return;
    }
    m_heldBody->m_charge.Set(m_headCost + m_parser->get().body().capacity());
    if (used == 0) {
      break;
    }
  }
  if (m_input.IsFull()) {
    Reject(ResultCode::BadRequest); // a line before a chunk, or trailers
  }
}

// Gives the parser what has been read; returns the bytes that it has taken.
std::size_t
CallerConnection::FeedParser(error_code& aError)
{
  const std::size_t used = m_parser->put(m_input.data(), aError);
  if (!m_headParsed) {
    m_headText.append(static_cast<const char*>(m_input.data().data()), used);
  }
  m_input.consume(used);
  m_wireBytes += used;
  if (aError == http::error::need_more) {
    aError = {};
  }
  return used;
}

bool
CallerConnection::OnRequestHead()
{
  m_headParsed = true;
  m_parser->eager(true);
  if (!ValidateHead()) {
    return false;
  }
  SetTimer(Limits().m_idleTimeout); // for the body
  const auto& head = m_parser->get();
  for (const auto& field : head) {
    m_headCost +=
      kFieldCost + field.name_string().size() + field.value().size();
  }
  if (m_parser->chunked()) {
    m_headBeforeTrailers = head.base();
    m_headCost *= 2;
  }
  if (!m_parser->is_done() &&
      boost::beast::iequals(head[http::field::expect], "100-continue")) {
    m_pending += kContinueResponse;
    Flush();
  }
  return true;
}

// Rejects the request and returns false if its head is invalid.
bool
CallerConnection::ValidateHead()
{
  const std::string text = std::exchange(m_headText, {});
  const auto result = ParseRequestHead(text);
  if (const auto* error = std::get_if<HeadError>(&result)) {
    Reject(RowOf(*error).m_code, RowOf(*error).m_name);
    return false;
  }
  const RequestHead& head = std::get<RequestHead>(result);
  if (!HasSameFraming(head)) {
    Reject(ResultCode::BadRequest, "parser");
    return false;
  }
  if (platform::View(m_parser->get().target()) != head.m_target) {
    m_parser->get().target(head.m_target);
  }
  return true;
}

// Whether the parser finds the end of the body in the same way. If it did not,
// a part of the body could be run as another request.
bool
CallerConnection::HasSameFraming(const RequestHead& aHead) const
{
  const bool isChunked = aHead.m_framing == RequestFraming::Chunked;
  const bool hasLength = aHead.m_framing == RequestFraming::Length;
  const boost::optional<std::uint64_t> length = m_parser->content_length();
  return isChunked == m_parser->chunked() && hasLength == length.has_value() &&
         (!hasLength || *length == aHead.m_length);
}

void
CallerConnection::OnRequest()
{
  m_state = State::Responding;
  m_timer.Cancel();
  auto received = m_parser->release();
  m_parser.reset();
  std::shared_ptr<const std::string> body =
    TakeBody(std::move(received.body()));
  if (m_headBeforeTrailers) {
    received.base() = *std::exchange(m_headBeforeTrailers, std::nullopt);
  }
  CallerRequest request(std::move(received.base()));
  m_keepAlive = request.keep_alive();
  m_isHttp10 = request.version() < kHttp11;
  m_headRequest = request.method() == http::verb::head;
  m_responseEnded = false;
  m_aborted = false;
  m_flow = std::make_shared<RequestFlow>(
    m_context, std::move(request), std::move(body), ++m_requests, *this);
  m_flow->Start();
}

// The charge of the request that is complete lives as long as its body, which
// an order may need longer than its caller is connected.
std::shared_ptr<const std::string>
CallerConnection::TakeBody(std::string aText)
{
  const std::shared_ptr<HeldBody> held = std::exchange(m_heldBody, nullptr);
  held->m_text = std::move(aText);
  held->m_charge.Set(m_headCost + held->m_text.capacity());
  held->m_charge.SetUse(MemoryUse::Held, Now());
  return { held, &held->m_text };
}

std::uint64_t
CallerConnection::MaxWireBytes() const
{
  return Limits().m_maxHeaderBytes + kMaxWireFactor * Limits().m_maxBodyBytes;
}

bool
CallerConnection::MayGrow()
{
  m_waitsForMemory = !m_context.m_memory.MayGrow(m_owner);
  return !m_waitsForMemory;
}

std::uint64_t
CallerConnection::OwnBytes() const
{
  return m_input.capacity() + m_headText.capacity() +
         (m_heldBody == nullptr ? 0 : m_heldBody->m_charge.Bytes());
}

void
CallerConnection::OnMayGrow()
{
  const auto self = shared_from_this();
  m_waitsForMemory = false;
  if (m_state == State::Closed) {
    return;
  }
  const bool receives = m_state == State::Idle || m_state == State::Receiving;
  if (receives && !ParseGuarded()) {
    OnConnectionLost();
    return;
  }
  UpdateCharge();
  Read();
}

// A request that has not arrived whole is refused. Of the others only those end
// whose callers take nothing of their answers.
void
CallerConnection::GiveUp()
{
  const auto self = shared_from_this();
  m_waitsForMemory = false;
  switch (m_state) {
    case State::Receiving:
      Reject(ResultCode::MemoryShort);
      return;
    case State::Responding:
      if (m_charge.Use() == MemoryUse::Sending &&
          Now() - m_writingSince >= kMinUnreadTime) {
        ++m_context.m_metrics.Counter("unread_answers_cut_total");
        ResetOnClose();
        OnConnectionLost();
      } else {
        Read();
      }
      return;
    case State::Idle:
      if (m_input.size() == 0) {
        Close();
        return;
      }
      BeginRequest(); // it was read and is not parsed
      Reject(ResultCode::MemoryShort);
      return;
    case State::Lingering:
      Close();
      return;
    case State::Closed:
      return;
  }
}

// To be called whenever a buffer or the state has changed.
void
CallerConnection::UpdateCharge()
{
  if (m_state == State::Closed) {
    m_charge.Set(0);
    return;
  }
  m_charge.Set(kConnectionCost + m_input.capacity() + m_headText.capacity() +
               m_pending.capacity() + m_writing.capacity() + m_keptBytes);
  if (m_state == State::Responding) {
    m_charge.SetUse(m_writing.empty() ? MemoryUse::Held : MemoryUse::Sending,
                    m_writingSince);
  } else {
    m_charge.SetUse(MemoryUse::Receiving,
                    m_state == State::Receiving ? m_receivingSince
                                                : IdleSince());
  }
  m_context.m_memory.OnChanged();
}

void
CallerConnection::FreeBuffers()
{
  if (m_pending.capacity() > kMaxIdleBufferBytes) {
    m_pending = std::string(); // an empty list would keep the capacity
  }
  if (m_writing.capacity() > kMaxIdleBufferBytes) {
    m_writing = std::string();
  }
  if (!m_reading && m_input.capacity() > kMaxIdleBufferBytes) {
    m_input.shrink_to_fit();
  }
}

std::size_t
CallerConnection::MaxKeptBytes() const
{
  return m_context.m_memory.MaxAnswerBytes(kMaxKeptBytes);
}

void
CallerConnection::OnKept(std::size_t aBytes)
{
  m_keptBytes = aBytes;
  UpdateCharge();
}

void
CallerConnection::OnParseError(const error_code& aError)
{
  if (aError == http::error::header_limit) {
    Reject(ResultCode::HeadersTooLarge);
  } else if (aError == http::error::body_limit) {
    Reject(ResultCode::RequestTooLarge);
  } else {
    Reject(ResultCode::BadRequest);
  }
}

// Responds to an invalid or incomplete request with an error. The start of a
// next request could not be found after it, so the connection is closed.
void
CallerConnection::Reject(ResultCode aCode, std::string_view aHeadError)
{
  EventLog::Line(m_context.m_log, Event::CallerRejected, Now())
    .Add("code", static_cast<std::int64_t>(aCode))
    .Add("why", RowOf(aCode).m_name)
    .Add("head_error", aHeadError);
  ++m_context.m_metrics.Counter(
    "callers_rejected_total",
    "code=\"" + std::to_string(static_cast<int>(aCode)) + "\"");
  m_state = State::Responding;
  m_timer.Cancel();
  m_parser.reset();
  m_heldBody.reset();
  m_headText = std::string();
  m_headBeforeTrailers.reset();
  m_keepAlive = false;
  m_headRequest = false; // not known; the connection is closed
  m_responseEnded = false;
  WriteRefusal(*this,
               NotRun::OfIncompleteRequest(),
               aCode,
               aCode == ResultCode::MemoryShort
                 ? std::optional(RetryAfterMemory())
                 : std::nullopt);
}

Duration
CallerConnection::RetryAfterMemory()
{
  std::uniform_int_distribution<Duration::rep> jitter(
    0, kMemoryRetryAfter.count());
  return kMemoryRetryAfter + Duration(jitter(m_context.m_random));
}

void
CallerConnection::SetTimer(Duration aTime)
{
  m_timer.Start(aTime, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->m_state != State::Closed) {
      self->OnTimer();
    }
  });
}

void
CallerConnection::OnTimer()
{
  if (m_state == State::Receiving) {
    Reject(ResultCode::RequestTimeout);
  } else if (m_state != State::Responding) {
    Close();
  } else if (!m_reading) {
    CheckCaller();
    WatchForClose();
  }
}

// Finds out that the caller has left while its connection is not read.
void
CallerConnection::WatchForClose()
{
  if (m_state == State::Responding) {
    SetTimer(kCloseCheckInterval);
  }
}

void
CallerConnection::CheckCaller()
{
  if (m_state == State::Responding &&
      PeerStateOf(m_socket.native_handle()) == PeerState::Closed) {
    OnConnectionLost();
  }
}

void
CallerConnection::Begin(std::string aHead, std::optional<std::uint64_t> aLength)
{
  m_keepAlive = m_keepAlive && !m_context.m_stop.IsStopping();
  m_bodyless = m_headRequest || IsBodylessStatus(aHead);
  m_chunked = !aLength && !m_isHttp10 && !m_bodyless;
  m_pending += aHead;
  if (m_bodyless) {
    // Neither a length nor chunks: the empty line ends the response.
  } else if (aLength) {
    m_pending += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  } else if (m_chunked) {
    m_pending += "Transfer-Encoding: chunked\r\n";
  } else {
    m_keepAlive = false; // closing the connection ends the body
  }
  if (!m_keepAlive) {
    m_pending += "Connection: close\r\n";
  }
  m_pending += "\r\n";
  Flush();
}

void
CallerConnection::Write(std::string_view aPiece)
{
  if (aPiece.empty() || m_bodyless) {
    return;
  }
  if (!m_chunked) {
    m_pending += aPiece;
  } else {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", aPiece.size());
    m_pending += size.data();
    m_pending += aPiece;
    m_pending += "\r\n";
  }
  UpdateCharge();
  Flush();
}

void
CallerConnection::End()
{
  if (m_chunked) {
    m_pending += "0\r\n\r\n";
  }
  m_responseEnded = true;
  Flush();
}

// A chunked response is left without its last chunk. Any other response is
// ended by a connection reset, as an orderly close could be taken for its end.
void
CallerConnection::Abort()
{
  m_aborted = true;
  m_responseEnded = true;
  m_keepAlive = false;
  if (!m_chunked) {
    ResetOnClose();
    Close();
    return;
  }
  Flush();
}

void
CallerConnection::ResetOnClose()
{
  error_code ignored; // the connection is closed in any case
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

std::size_t
CallerConnection::PendingBytes() const
{
  return m_pending.size() + m_writing.size();
}

// Defers the write to the next iteration of the loop and writes all that is
// pending by then, so that the head and the first piece are sent together.
void
CallerConnection::Flush()
{
  if (m_state == State::Closed || !m_writing.empty()) {
    return;
  }
  if (m_pending.empty()) {
    if (m_responseEnded) {
      OnResponseSent();
    }
    return;
  }
  m_writing.swap(m_pending);
  m_writingSince = Now();
  m_takenBytes = 0;
  UpdateCharge();
  asio::post(m_context.m_loop, [self = shared_from_this()] {
    if (self->m_state == State::Closed) {
      return;
    }
    self->m_writing += std::exchange(self->m_pending, {});
    asio::async_write(
      self->m_socket,
      asio::buffer(self->m_writing),
      [self](const error_code& aError, std::size_t aTaken) {
        self->OnTaken(aTaken);
        return asio::transfer_all()(aError, aTaken);
      },
      [self](const error_code& aError, std::size_t) {
        self->OnFlushed(aError);
      });
  });
}

// A caller that takes its answer, however slowly, is not one that reads
// nothing.
void
CallerConnection::OnTaken(std::size_t aBytes)
{
  if (aBytes <= m_takenBytes) {
    return;
  }
  m_takenBytes = aBytes;
  m_writingSince = Now();
  UpdateCharge();
}

void
CallerConnection::OnFlushed(const error_code& aError)
{
  m_writing.clear();
  if (m_state == State::Closed) {
    return;
  }
  UpdateCharge();
  if (aError) {
    OnConnectionLost();
    return;
  }
  if (m_pending.empty() && m_flow != nullptr && !m_responseEnded) {
    m_flow->OnDrained();
  }
  Flush();
}

void
CallerConnection::OnResponseSent()
{
  if (m_state != State::Responding) {
    return;
  }
  m_responseEnded = false;
  m_flow.reset();
  m_keptBytes = 0;
  FreeBuffers();
  if (m_aborted) {
    Close();
    return;
  }
  if (!m_keepAlive) {
    Linger();
    return;
  }
  m_state = State::Idle;
  m_idleSince = Now();
  UpdateCharge();
  SetTimer(Limits().m_idleTimeout);
  Parse();
  UpdateCharge();
  Read();
}

// Closing a socket with unread bytes would reset the connection, and the caller
// could lose the response. So the sending side is shut down first, and input is
// discarded until the caller closes.
void
CallerConnection::Linger()
{
  m_state = State::Lingering;
  m_idleSince = Now();
  m_waitsForMemory = false;
  m_input.consume(m_input.size());
  UpdateCharge();
  error_code ignored; // a failure shows in the next read
  m_socket.shutdown(Socket::shutdown_send, ignored);
  SetTimer(kLingerTime);
  Read();
}

void
CallerConnection::OnConnectionLost()
{
  const auto self = shared_from_this();
  const auto flow = std::exchange(m_flow, nullptr);
  Close();
  if (flow != nullptr) {
    flow->OnCallerGone();
  }
}

void
CallerConnection::CloseUnlessReadable()
{
  error_code ignored; // a broken connection has nothing to read
  if (m_socket.available(ignored) == 0) {
    Close();
  }
}

void
CallerConnection::CloseIfIdle()
{
  if (!IsIdle()) {
    return;
  }
  const bool isNew = !m_hadRequest && Now() - m_acceptedAt < kFirstRequestTime;
  const bool wasBusy = Now() - m_idleSince < PlannedStop::kIdleTime;
  if (!isNew && !wasBusy) {
    CloseUnlessReadable();
  }
}

void
CallerConnection::Terminate()
{
  const auto self = shared_from_this();
  if (m_flow != nullptr) {
    m_flow->Terminate();
  }
  if (m_state != State::Closed && PendingBytes() == 0) {
    Close();
  }
}

void
CallerConnection::LogUnsent() const
{
  if (PendingBytes() == 0) {
    return;
  }
  EventLog::Line(m_context.m_log, Event::AnswerUnsent, Now())
    .Add("id", m_flow == nullptr ? "" : m_flow->AttemptId())
    .Add("bytes", static_cast<std::int64_t>(PendingBytes()));
}

void
CallerConnection::Close()
{
  if (m_state == State::Closed) {
    return;
  }
  const auto self = shared_from_this();
  m_state = State::Closed;
  m_heldBody.reset();
  UpdateCharge();
  m_timer.Cancel();
  error_code ignored; // nothing more is done with the socket
  m_socket.close(ignored);
  m_onClosed();
}

} // namespace walnutwing::router
