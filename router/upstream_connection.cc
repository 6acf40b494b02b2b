#include "router/upstream_connection.h"

#include <algorithm>
#include <array>
#include <exception>
#include <limits>
#include <utility>

#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "router/socket_options.h"
#include "walnutwing/relay/response_status.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

// Within a region a connection is established in a few milliseconds. A lost
// packet costs a second, which is longer than trying another upstream takes.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr std::size_t kReadBufferBytes = 8U << 10U;
// Of the responses that precede the one to the request. The response to an
// earlier request can be as long as any; more bytes have no end.
constexpr std::uint64_t kMaxSkippedBytes = 1U << 20U;
// Not boost::none: with it Boost.Beast rejects a response whose head arrives
// without a part of its body.
constexpr std::uint64_t kNoBodyLimit =
  std::numeric_limits<std::uint64_t>::max();
// A connection with so many refusals is not reused.
constexpr std::size_t kMaxRefusedIds = 32;

} // namespace

UpstreamConnection::UpstreamConnection(Loop& aLoop,
                                       Tcp::endpoint aEndpoint,
                                       OnReusable aOnReusable,
                                       OnClosed aOnClosed)
  : m_socket(aLoop.get_executor())
  , m_timer(aLoop.get_executor())
  , m_endpoint(std::move(aEndpoint))
  , m_onReusable(std::move(aOnReusable))
  , m_onClosed(std::move(aOnClosed))
{
}

UpstreamConnection::~UpstreamConnection() = default;

void
UpstreamConnection::Send(UpstreamRequest aRequest, ResponseReceiver& aReceiver)
{
  ++m_generation;
  m_request = std::move(aRequest);
  m_receiver = &aReceiver;
  m_keepAlive.reset();
  m_framing = BodyFraming::Unknown;
  m_bodyBytes = 0;
  m_skippedBytes = 0;
  m_paused = false;
  NewParser();
  if (!m_connected) {
    m_stage = SendStage::NotConnected;
    Connect();
    return;
  }
  m_timer.cancel();
  m_socket.cancel(); // the wait of WatchIdle
  Write();
}

void
UpstreamConnection::NewParser()
{
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(kMaxUnparsedBytes);
  m_parser->body_limit(kNoBodyLimit);
  m_parser->skip(m_request.m_headOnly);
  m_headParsed = false;
  m_skipResponse = false;
}

void
UpstreamConnection::Connect()
{
  m_timer.expires_after(kConnectTimeout);
  m_timer.async_wait([self = shared_from_this(),
                      generation = m_generation](const error_code& aError) {
    if (!aError && generation == self->m_generation && !self->m_connected) {
      self->Finish(SendStage::NotConnected, "connect timeout");
    }
  });
  m_socket.async_connect(
    m_endpoint,
    [self = shared_from_this(),
     generation = m_generation](const error_code& aError) {
      if (generation != self->m_generation || self->m_closed) {
        return;
      }
      if (aError) {
        self->Finish(SendStage::NotConnected, aError.message());
        return;
      }
      self->m_connected = true;
      self->m_timer.cancel();
      SetLivenessOptions(self->m_socket);
      self->m_receiver->OnConnected();
      if (generation == self->m_generation) {
        self->Write();
      }
    });
}

void
UpstreamConnection::Write()
{
  m_stage = SendStage::Sent;
  m_writing = true;
  m_writeFailed = false;
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(m_request.m_head),
    m_request.m_body == nullptr ? asio::const_buffer()
                                : asio::buffer(*m_request.m_body)
  };
  asio::async_write(m_socket,
                    buffers,
                    [self = shared_from_this(), generation = m_generation](
                      const error_code& aError, std::size_t) {
                      if (generation != self->m_generation || self->m_closed) {
                        return;
                      }
                      self->m_writing = false;
                      // An upstream may respond and close before it has read a
                      // long body. Its response is still to be read.
                      self->m_writeFailed = static_cast<bool>(aError);
                    });
  Read();
}

void
UpstreamConnection::Read()
{
  if (m_reading || m_paused || m_closed) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    m_input.PrepareUpTo(kReadBufferBytes),
    [self = shared_from_this(),
     generation = m_generation](const error_code& aError, std::size_t aBytes) {
      self->m_reading = false;
      if (generation == self->m_generation && !self->m_closed) {
        self->OnRead(aError, aBytes);
      }
    });
}

void
UpstreamConnection::OnRead(const error_code& aError, std::size_t aBytes)
{
  m_input.commit(aBytes);
  if (aError) {
    OnPeerClosed(aError);
    return;
  }
  try {
    if (Parse()) {
      Read();
    }
  } catch (const std::exception& error) {
    Finish(m_stage, std::string("unexpected error: ") + error.what());
  }
}

bool
UpstreamConnection::Parse()
{
  const std::uint64_t generation = m_generation;
  while (m_input.size() != 0) {
    error_code error;
    const std::size_t used = m_parser->put(m_input.data(), error);
    m_input.consume(used);
    if (error == http::error::need_more) {
      error = {};
    }
    if (!error && m_parser->is_header_done() && !m_headParsed) {
      if (!OnResponseHead()) {
        return false;
      }
    }
    std::string& body = m_parser->get().body();
    if (!body.empty() && !m_skipResponse) {
      m_bodyBytes += body.size();
      m_receiver->OnBody(body);
      if (generation != m_generation || m_receiver == nullptr) {
        return false;
      }
    }
    body.clear();
    if (error) {
      Finish(m_stage, "malformed HTTP response: " + error.message());
      return false;
    }
    if (m_skipResponse) {
      m_skippedBytes += used;
      if (m_skippedBytes > kMaxSkippedBytes) {
        Finish(m_stage, "no response to the request among the first bytes");
        return false;
      }
    }
    if (m_parser->is_done()) {
      if (!OnResponseComplete()) {
        return false;
      }
      continue;
    }
    if (used == 0) {
      break;
    }
  }
  if (m_input.IsFull()) {
    Finish(m_stage, "malformed HTTP response: line or trailers too long");
    return false;
  }
  return true;
}

bool
UpstreamConnection::OnResponseHead()
{
  m_headParsed = true;
  const auto& head = m_parser->get();
  const StatusKind kind = KindOf(head.result_int());
  if (kind == StatusKind::Invalid) {
    Finish(m_stage, "status " + std::to_string(head.result_int()));
    return false;
  }
  if (kind == StatusKind::Interim) {
    m_skipResponse = true;
    return true;
  }
  const platform::ResponseFacts facts = platform::DecodeResponse(head);
  if (facts.m_isMerged) {
    Finish(m_stage, "two responses in one head");
    return false;
  }
  if (facts.m_attemptId.empty() && facts.m_notExecuted) {
    Finish(m_stage, "\"not executed\" without an attempt id");
    return false;
  }
  if (facts.m_attemptId != m_request.m_attemptId) {
    m_skipResponse = true;
    return true;
  }
  if (facts.m_notExecuted) {
    m_refusedIds.push_back(m_request.m_attemptId);
  }
  m_keepAlive = facts.m_keepAlive;
  m_framing = Framing();
  m_stage = SendStage::HeadReceived;
  const std::uint64_t generation = m_generation;
  m_receiver->OnHead(head, facts);
  return generation == m_generation && m_receiver != nullptr;
}

BodyFraming
UpstreamConnection::Framing() const
{
  if (m_request.m_headOnly ||
      KindOf(m_parser->get().result_int()) == StatusKind::FinalWithoutBody) {
    return BodyFraming::None;
  }
  if (m_parser->chunked()) {
    return BodyFraming::Chunked;
  }
  return m_parser->content_length() ? BodyFraming::Length
                                    : BodyFraming::UntilClose;
}

// Returns whether the response to the current request is still to come, because
// the complete one was skipped.
bool
UpstreamConnection::OnResponseComplete()
{
  if (m_skipResponse) {
    NewParser();
    return true;
  }
  const bool keepOpen = m_parser->get().keep_alive() && m_input.size() == 0 &&
                        !m_writing && m_refusedIds.size() < kMaxRefusedIds;
  const bool requestTaken =
    m_framing != BodyFraming::UntilClose || IsRequestTaken();
  ResponseReceiver* receiver = std::exchange(m_receiver, nullptr);
  ++m_generation;
  const auto self = shared_from_this();
  m_reused = true;
  if (keepOpen) {
    m_onReusable(self, m_keepAlive);
  } else {
    Close();
  }
  receiver->OnEnd(
    { SendStage::Complete, "", m_framing, m_bodyBytes, requestTaken });
  return false;
}

// A reset that a write has reported looks like an orderly close to the next
// read, so the write's result counts too. Bytes that the upstream's host has
// not acknowledged when the upstream closes will never be read.
bool
UpstreamConnection::IsRequestTaken()
{
  int unacknowledged = 0;
  const bool known =
    ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return !m_writing && !m_writeFailed && (!known || unacknowledged == 0);
}

// A response without a length ends with the connection. It is complete only if
// the connection was closed in an orderly way rather than reset.
void
UpstreamConnection::OnPeerClosed(const error_code& aError)
{
  if (aError == asio::error::eof && m_headParsed && !m_skipResponse) {
    error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      static_cast<void>(OnResponseComplete());
      return;
    }
  }
  Finish(m_stage, aError.message());
}

void
UpstreamConnection::Finish(SendStage aStage, std::string aError)
{
  ResponseReceiver* receiver = std::exchange(m_receiver, nullptr);
  ++m_generation;
  const auto self = shared_from_this();
  Close();
  if (receiver != nullptr) {
    receiver->OnEnd({ aStage, std::move(aError), m_framing, m_bodyBytes });
  }
}

void
UpstreamConnection::Cancel()
{
  m_receiver = nullptr;
  ++m_generation;
  Close();
}

void
UpstreamConnection::Pause()
{
  m_paused = true;
}

void
UpstreamConnection::Resume()
{
  if (std::exchange(m_paused, false) && m_receiver != nullptr) {
    Read();
  }
}

bool
UpstreamConnection::HasRefused(const std::string& aAttemptId) const
{
  return std::find(m_refusedIds.begin(), m_refusedIds.end(), aAttemptId) !=
         m_refusedIds.end();
}

void
UpstreamConnection::WatchIdle(Duration aMaxIdle)
{
  m_request = {};
  m_parser.reset();
  m_timer.expires_after(aMaxIdle);
  const auto close = [self = shared_from_this(),
                      generation = m_generation](const error_code& aError) {
    if (aError != asio::error::operation_aborted &&
        generation == self->m_generation) {
      self->Close();
    }
  };
  m_timer.async_wait(close);
  m_socket.async_wait(Socket::wait_read, close);
}

void
UpstreamConnection::Close()
{
  if (std::exchange(m_closed, true)) {
    return;
  }
  const auto self = shared_from_this();
  m_timer.cancel();
  error_code ignored; // a socket that cannot be closed cannot be used either
  m_socket.close(ignored);
  m_connected = false;
  m_onClosed();
}

} // namespace walnutwing::router
