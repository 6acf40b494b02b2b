#include "router/upstream_connection.h"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include "router/socket_options.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

// Within a region a connection stands in a few ms; one lost packet costs a
// second, which is more than trying another upstream.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr std::size_t kReadBytes = 8U << 10U;
constexpr std::uint32_t kLongestHead = 64U << 10U;
constexpr unsigned kFirstFinalStatus = 200;

} // namespace

UpstreamConnection::UpstreamConnection(Loop& aLoop,
                                       Tcp::endpoint aEndpoint,
                                       OnFree aOnFree,
                                       OnClosed aOnClosed)
  : m_socket(aLoop.get_executor())
  , m_timer(aLoop.get_executor())
  , m_endpoint(std::move(aEndpoint))
  , m_onFree(std::move(aOnFree))
  , m_onClosed(std::move(aOnClosed))
{
}

UpstreamConnection::~UpstreamConnection() = default;

void
UpstreamConnection::Send(UpstreamRequest aRequest, AnswerReceiver& aReceiver)
{
  ++m_turn;
  m_request = std::move(aRequest);
  m_receiver = &aReceiver;
  m_keepAlive.reset();
  m_paused = false;
  NewParser();
  if (!m_connected) {
    m_stage = SendStage::NotConnected;
    Connect();
    return;
  }
  m_timer.cancel();
  m_socket.cancel(); // the idle watch
  Write();
}

void
UpstreamConnection::NewParser()
{
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(kLongestHead);
  m_parser->body_limit(boost::none);
  m_parser->skip(m_request.m_headOnly);
  m_headSeen = false;
  m_skipping = false;
}

void
UpstreamConnection::Connect()
{
  m_timer.expires_after(kConnectTimeout);
  m_timer.async_wait(
    [self = shared_from_this(), turn = m_turn](const error_code& aError) {
      if (!aError && turn == self->m_turn && !self->m_connected) {
        self->End(SendStage::NotConnected, "connect timeout");
      }
    });
  m_socket.async_connect(
    m_endpoint,
    [self = shared_from_this(), turn = m_turn](const error_code& aError) {
      if (turn != self->m_turn || self->m_closed) {
        return;
      }
      if (aError) {
        self->End(SendStage::NotConnected, aError.message());
        return;
      }
      self->m_connected = true;
      self->m_timer.cancel();
      SetLivenessOptions(self->m_socket);
      self->Write();
    });
}

void
UpstreamConnection::Write()
{
  m_stage = SendStage::Sent;
  m_writing = true;
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(m_request.m_head), asio::buffer(m_request.m_body)
  };
  asio::async_write(m_socket,
                    buffers,
                    [self = shared_from_this(),
                     turn = m_turn](const error_code& aError, std::size_t) {
                      if (turn != self->m_turn || self->m_closed) {
                        return;
                      }
                      self->m_writing = false;
                      // An upstream may answer and close before it has read a
                      // long body; what it sent is still to be read, so reading
                      // decides.
                      static_cast<void>(aError);
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
  m_socket.async_read_some(m_input.prepare(kReadBytes),
                           [self = shared_from_this(), turn = m_turn](
                             const error_code& aError, std::size_t aBytes) {
                             self->m_reading = false;
                             if (turn == self->m_turn && !self->m_closed) {
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
  if (Parse()) {
    Read();
  }
}

bool
UpstreamConnection::Parse()
{
  const std::uint64_t turn = m_turn;
  while (m_input.size() != 0) {
    error_code error;
    const std::size_t used = m_parser->put(m_input.data(), error);
    m_input.consume(used);
    if (error == http::error::need_more) {
      error = {};
    }
    if (!error && m_parser->is_header_done() && !m_headSeen) {
      OnAnswerHead();
      if (turn != m_turn || m_receiver == nullptr) {
        return false; // the receiver gave the request up
      }
    }
    std::string& body = m_parser->get().body();
    if (!body.empty() && !m_skipping) {
      m_receiver->OnBody(body);
      if (turn != m_turn || m_receiver == nullptr) {
        return false;
      }
    }
    body.clear();
    if (error) {
      End(m_stage, "not an HTTP answer: " + error.message());
      return false;
    }
    if (m_parser->is_done()) {
      if (!OnAnswerDone()) {
        return false;
      }
      continue;
    }
    if (used == 0) {
      break;
    }
  }
  return true;
}

void
UpstreamConnection::OnAnswerHead()
{
  m_headSeen = true;
  const auto& head = m_parser->get();
  if (head.result_int() < kFirstFinalStatus) {
    m_skipping = true; // an interim answer
    return;
  }
  const platform::ResponseFacts facts = platform::DecodeResponse(head);
  const bool unnamed = facts.m_attemptId.empty() && facts.m_notExecuted;
  if (facts.m_attemptId != m_request.m_attemptId && !unnamed) {
    m_skipping = true;
    return;
  }
  m_keepAlive = facts.m_keepAlive;
  m_stage = SendStage::HeadSeen;
  m_receiver->OnHead(head, facts);
}

// Whether the connection goes on with the same request.
bool
UpstreamConnection::OnAnswerDone()
{
  if (m_skipping) {
    NewParser();
    return true;
  }
  const bool keep =
    m_parser->get().keep_alive() && m_input.size() == 0 && !m_writing;
  AnswerReceiver* receiver = std::exchange(m_receiver, nullptr);
  ++m_turn;
  const auto self = shared_from_this();
  if (keep) {
    m_onFree(self, m_keepAlive);
  } else {
    Close();
  }
  receiver->OnEnd({ SendStage::Complete, "" });
  return false;
}

// An answer without a length ends with the connection, but only an orderly end
// makes it whole.
void
UpstreamConnection::OnPeerClosed(const error_code& aError)
{
  if (aError == asio::error::eof && m_headSeen && !m_skipping) {
    error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      static_cast<void>(OnAnswerDone());
      return;
    }
  }
  End(m_stage, aError.message());
}

void
UpstreamConnection::End(SendStage aStage, std::string aError)
{
  AnswerReceiver* receiver = std::exchange(m_receiver, nullptr);
  ++m_turn;
  const auto self = shared_from_this();
  Close();
  if (receiver != nullptr) {
    receiver->OnEnd({ aStage, std::move(aError) });
  }
}

void
UpstreamConnection::Cancel()
{
  m_receiver = nullptr;
  ++m_turn;
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

void
UpstreamConnection::WatchIdle(Duration aLongest)
{
  m_request = {};
  m_parser.reset();
  m_timer.expires_after(aLongest);
  const auto close = [self = shared_from_this(),
                      turn = m_turn](const error_code& aError) {
    if (aError != asio::error::operation_aborted && turn == self->m_turn) {
      self->Close();
    }
  };
  m_timer.async_wait(close);
  m_socket.async_wait(Socket::wait_read, close);
}

bool
UpstreamConnection::StillClean()
{
  char byte = 0;
  const ssize_t got = recv(
    m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
