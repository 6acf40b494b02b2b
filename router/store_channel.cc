#include "router/store_channel.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "platform/field_text.h"
#include "platform/http_names.h"
#include "router/socket_options.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

// Shorter than the timeout of a call, so that a store that accepts no
// connections is retried sooner than one that does not respond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// A page of the newest records and a read hold about 1 MB, or one larger
// record.
constexpr std::uint64_t kMaxResponseBytes = 7U << 20U;
constexpr Duration kMaxResponseTime = std::chrono::seconds(10);
constexpr std::size_t kBodyPieceBytes = 64U << 10U;

std::string
EncodeRequest(const platform::StoreRequest& aCall, const Tcp::endpoint& aStore)
{
  std::string wire = aCall.m_method + " " + aCall.m_target + " HTTP/1.1\r\n";
  wire += "Host: " + aStore.address().to_string() + ":" +
          std::to_string(aStore.port()) + "\r\n";
  if (aCall.m_method == "POST") {
    wire += "Content-Length: " + std::to_string(aCall.m_body.size()) + "\r\n";
  }
  wire += "\r\n";
  wire += aCall.m_body;
  return wire;
}

} // namespace

StoreChannel::StoreChannel(Loop& aLoop, Tcp::endpoint aStore)
  : m_socket(aLoop.get_executor())
  , m_timer(aLoop.get_executor())
  , m_connectTimer(aLoop.get_executor())
  , m_responseTimer(aLoop.get_executor())
  , m_store(std::move(aStore))
{
}

void
StoreChannel::Call(const platform::StoreRequest& aCall,
                   Duration aTimeout,
                   Callback aCallback)
{
  ++m_generation;
  ++m_calls;
  m_callback = std::move(aCallback);
  m_request = EncodeRequest(aCall, m_store);
  m_parser.emplace();
  m_parser->body_limit(kMaxResponseBytes);
  m_parser->eager(true);
  m_body.clear();
  m_responseBegun = false;
  m_timeout = aTimeout;
  SetTimeout();
  if (m_connected) {
    Write();
  } else {
    Connect();
  }
}

void
StoreChannel::SetTimeout()
{
  m_timer.expires_after(m_timeout);
  m_timer.async_wait([self = shared_from_this(),
                      generation = m_generation](const error_code& aError) {
    if (!aError && generation == self->m_generation) {
      self->Finish({ 0, "", "timeout", {} }, false);
    }
  });
}

void
StoreChannel::Connect()
{
  m_input.clear();
  m_connectTimer.expires_after(kConnectTimeout);
  m_connectTimer.async_wait(
    [self = shared_from_this(),
     generation = m_generation](const error_code& aError) {
      if (!aError && generation == self->m_generation) {
        self->Finish({ 0, "", "connect timeout", {} }, false);
      }
    });
  m_socket.async_connect(
    m_store,
    [self = shared_from_this(),
     generation = m_generation](const error_code& aError) {
      if (generation != self->m_generation) {
        return;
      }
      if (aError) {
        self->Finish({ 0, "", aError.message(), {} }, false);
        return;
      }
      self->m_connectTimer.cancel();
      self->m_connected = true;
      SetLivenessOptions(self->m_socket);
      self->Write();
    });
}

void
StoreChannel::Write()
{
  asio::async_write(m_socket,
                    asio::buffer(m_request),
                    [self = shared_from_this(), generation = m_generation](
                      const error_code& aError, std::size_t) {
                      if (generation == self->m_generation && aError) {
                        self->Finish({ 0, "", aError.message(), {} }, false);
                      }
                    });
  Read();
}

void
StoreChannel::Read()
{
  http::async_read_some(m_socket,
                        m_input,
                        *m_parser,
                        [self = shared_from_this(), generation = m_generation](
                          const error_code& aError, std::size_t aBytes) {
                          if (generation == self->m_generation) {
                            self->OnRead(aError, aBytes);
                          }
                        });
}

void
StoreChannel::OnRead(const error_code& aError, std::size_t aBytes)
{
  m_bytesRead += aBytes;
  KeepBody();
  if (aError) {
    Finish({ 0, "", aError.message(), {} }, false);
    return;
  }
  if (m_parser->is_done()) {
    OnComplete();
    return;
  }
  if (!std::exchange(m_responseBegun, true)) {
    SetResponseTimer();
  }
  SetTimeout();
  Read();
}

void
StoreChannel::OnComplete()
{
  const auto& response = m_parser->get();
  const bool keepOpen = response.keep_alive() && m_input.size() == 0;
  std::string body;
  for (const std::string& piece : m_body) {
    body += piece;
  }
  Finish(
    { static_cast<int>(response.result_int()),
      std::move(body),
      "",
      platform::DecodeEra(platform::FieldOf(response, platform::kStoreEra)) },
    keepOpen);
}

void
StoreChannel::SetResponseTimer()
{
  m_responseTimer.expires_after(kMaxResponseTime);
  m_responseTimer.async_wait(
    [self = shared_from_this(),
     generation = m_generation](const error_code& aError) {
      if (!aError && generation == self->m_generation) {
        self->Finish({ 0, "", "response takes too long", {} }, false);
      }
    });
}

// Takes over what the parser has read of the body.
void
StoreChannel::KeepBody()
{
  std::string& read = m_parser->get().body();
  if (m_body.empty() || m_body.back().size() + read.size() > kBodyPieceBytes) {
    m_body.push_back(std::move(read));
  } else {
    m_body.back() += read;
  }
  read.clear();
}

void
StoreChannel::Finish(StoreResponse aResponse, bool aKeepOpen)
{
  ++m_generation;
  m_timer.cancel();
  m_connectTimer.cancel();
  m_responseTimer.cancel();
  m_body.clear();
  if (!aKeepOpen) {
    error_code ignored; // the socket is not used again
    m_socket.close(ignored);
    m_connected = false;
  }
  const Callback callback = std::exchange(m_callback, nullptr);
  callback(std::move(aResponse));
}

} // namespace walnutwing::router
