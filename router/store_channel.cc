#include "router/store_channel.h"

#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "router/socket_options.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

// A store that does not take connections is tried again sooner than one that
// does not answer.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr std::uint64_t kLongestAnswer = 64U << 20U;

std::string
WireForm(const platform::StoreRequest& aCall, const Tcp::endpoint& aStore)
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
  , m_store(std::move(aStore))
{
}

void
StoreChannel::Call(const platform::StoreRequest& aCall,
                   Duration aTimeout,
                   Done aDone)
{
  ++m_turn;
  ++m_calls;
  m_done = std::move(aDone);
  m_request = WireForm(aCall, m_store);
  m_parser.emplace();
  m_parser->body_limit(kLongestAnswer);
  m_parser->eager(true);
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
  m_timer.async_wait(
    [self = shared_from_this(), turn = m_turn](const error_code& aError) {
      if (!aError && turn == self->m_turn) {
        self->End({ 0, "", "timeout" }, false);
      }
    });
}

void
StoreChannel::Connect()
{
  m_input.clear();
  m_connectTimer.expires_after(kConnectTimeout);
  m_connectTimer.async_wait(
    [self = shared_from_this(), turn = m_turn](const error_code& aError) {
      if (!aError && turn == self->m_turn) {
        self->End({ 0, "", "connect timeout" }, false);
      }
    });
  m_socket.async_connect(
    m_store,
    [self = shared_from_this(), turn = m_turn](const error_code& aError) {
      if (turn != self->m_turn) {
        return;
      }
      if (aError) {
        self->End({ 0, "", aError.message() }, false);
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
                    [self = shared_from_this(),
                     turn = m_turn](const error_code& aError, std::size_t) {
                      if (turn == self->m_turn && aError) {
                        self->End({ 0, "", aError.message() }, false);
                      }
                    });
  Read();
}

void
StoreChannel::Read()
{
  http::async_read_some(
    m_socket,
    m_input,
    *m_parser,
    [self = shared_from_this(), turn = m_turn](const error_code& aError,
                                               std::size_t aBytes) {
      if (turn != self->m_turn) {
        return;
      }
      self->m_bytesRead += aBytes;
      if (aError) {
        self->End({ 0, "", aError.message() }, false);
        return;
      }
      if (!self->m_parser->is_done()) {
        self->SetTimeout();
        self->Read();
        return;
      }
      auto& answer = self->m_parser->get();
      const bool keep = answer.keep_alive() && self->m_input.size() == 0;
      self->End(
        { static_cast<int>(answer.result_int()), std::move(answer.body()), "" },
        keep);
    });
}

void
StoreChannel::End(StoreAnswer aAnswer, bool aKeep)
{
  ++m_turn;
  m_timer.cancel();
  m_connectTimer.cancel();
  if (!aKeep) {
    error_code ignored; // the socket is not used again
    m_socket.close(ignored);
    m_connected = false;
  }
  const Done done = std::exchange(m_done, nullptr);
  done(std::move(aAnswer));
}

} // namespace walnutwing::router
