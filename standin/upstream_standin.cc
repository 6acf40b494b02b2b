#include "standin/upstream_standin.h"

#include <cstdio>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace walnutwing::standin {
namespace {

// aFields: further fields.
std::string
MakeSealedHead(const http::request<http::string_body>& aRequest,
               const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
         std::string(aRequest["X-Attempt-Id"]) +
         "\r\nX-Response-Seal: seal\r\n" + aFields + "\r\n";
}

} // namespace

std::string
MakeUpstreamResponse(const http::request<http::string_body>& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aExtraFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nX-Attempt-Id: " + std::string(aRequest["X-Attempt-Id"]) +
         "\r\nX-Response-Seal: seal." + aBody +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aExtraFields + "\r\n" + aBody;
}

std::string
MakeStreamHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest,
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n");
}

std::string
MakeUnframedHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest, "");
}

std::string
MakeUnframedStreamHead(const http::request<http::string_body>& aRequest)
{
  return MakeSealedHead(aRequest, "Content-Type: text/event-stream\r\n");
}

std::string
MakeChunk(const std::string& aText)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

std::string
MakeEventChunk(int aId)
{
  return MakeChunk("id: " + std::to_string(aId) + "\ndata: e" +
                   std::to_string(aId) + "\n\n");
}

class UpstreamStandin::Connection
  : public std::enable_shared_from_this<UpstreamStandin::Connection>
{
public:
  Connection(UpstreamStandin& aUpstream, Tcp::socket aSocket)
    : m_upstream(aUpstream)
    , m_socket(std::move(aSocket))
  {
  }

  void Read()
  {
    if (m_upstream.m_readsHeadsOnly) {
      ReadHead();
      return;
    }
    m_request = {};
    http::async_read(
      m_socket,
      m_input,
      m_request,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (aError) {
          self->m_peerClosed = true;
          return;
        }
        self->Handle(std::move(self->m_request));
        self->Read();
      });
  }

  void ReadHead()
  {
    m_parser.emplace();
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(
      m_socket,
      m_input,
      *m_parser,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (aError) {
          self->m_peerClosed = true;
          return;
        }
        self->Handle(self->m_parser->get());
      });
  }

  void Handle(http::request<http::string_body> aRequest)
  {
    auto exchange =
      std::make_shared<Exchange>(shared_from_this(), std::move(aRequest));
    if (m_upstream.m_recordsExchanges) {
      m_upstream.m_exchanges.push_back(exchange);
    }
    m_upstream.m_handler(exchange);
  }

  void Shutdown()
  {
    error_code ignored; // the peer may have closed it
    m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
  }

private:
  class Exchange : public UpstreamExchange
  {
  public:
    Exchange(std::shared_ptr<Connection> aConnection,
             http::request<http::string_body> aRequest)
      : m_connection(std::move(aConnection))
      , m_request(std::move(aRequest))
    {
    }
    const http::request<http::string_body>& Request() const override
    {
      return m_request;
    }
    void Write(const std::string& aBytes) override
    {
      error_code ignored; // PeerClosed reports a closed connection
      asio::write(m_connection->m_socket, asio::buffer(aBytes), ignored);
    }
    void WriteEndlessly(const std::string& aPiece) override
    {
      WriteUntilClosed(
        m_connection,
        m_connection->m_socket,
        RepeatedText(aPiece),
        [connection = m_connection] { connection->m_peerClosed = true; });
    }
    void Close() override { m_connection->Shutdown(); }
    void HalfClose() override
    {
      error_code ignored; // the peer may have closed it
      m_connection->m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    }
    void CloseSocket() override
    {
      error_code ignored; // the test is done with it
      m_connection->m_socket.close(ignored);
    }
    void Reset() override
    {
      error_code ignored; // the test is done with it
      m_connection->m_socket.set_option(asio::socket_base::linger(true, 0),
                                        ignored);
      m_connection->m_socket.close(ignored);
    }
    bool PeerClosed() const override { return m_connection->m_peerClosed; }

  private:
    std::shared_ptr<Connection> m_connection;
    http::request<http::string_body> m_request;
  };

  UpstreamStandin& m_upstream;
  Tcp::socket m_socket;
  boost::beast::flat_buffer m_input;
  http::request<http::string_body> m_request;
  std::optional<http::request_parser<http::string_body>> m_parser;
  bool m_peerClosed = false;
};

UpstreamStandin::UpstreamStandin(asio::io_context& aLoop,
                                 const std::string& aIp,
                                 std::uint16_t aPort)
  : m_loop(aLoop)
  , m_acceptor(Listen(aLoop, aIp, aPort))
  , m_endpoint(m_acceptor.local_endpoint())
  , m_handler([](const std::shared_ptr<UpstreamExchange>& aExchange) {
    aExchange->Write(MakeUpstreamResponse(aExchange->Request(), 200, "done"));
  })
{
  Accept();
}

void
UpstreamStandin::Accept()
{
  m_acceptor.async_accept([this](const error_code& aError,
                                 Tcp::socket aSocket) {
    if (!aError) {
      auto connection = std::make_shared<Connection>(*this, std::move(aSocket));
      std::erase_if(m_connections,
                    [](const auto& aOld) { return aOld.expired(); });
      m_connections.push_back(connection);
      connection->Read();
      Accept();
    }
  });
}

void
UpstreamStandin::Crash()
{
  error_code ignored; // it is closed either way
  m_acceptor.close(ignored);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Shutdown();
    }
  }
  m_connections.clear();
}

void
UpstreamStandin::Restart()
{
  m_acceptor =
    Listen(m_loop, m_endpoint.address().to_string(), m_endpoint.port());
  Accept();
}

std::string
UpstreamStandin::Address() const
{
  return m_endpoint.address().to_string() + ":" +
         std::to_string(m_endpoint.port());
}

} // namespace walnutwing::standin
