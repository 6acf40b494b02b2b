#ifndef WALNUTWING_STANDIN_UPSTREAM_STANDIN_H_
#define WALNUTWING_STANDIN_UPSTREAM_STANDIN_H_

// An upstream whose responses a test writes byte by byte, and texts for them.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/beast/http/string_body.hpp>

#include "standin/raw_socket.h"

namespace walnutwing::standin {

// One request at an upstream, and the connection that it came on.
class UpstreamExchange
{
public:
  virtual ~UpstreamExchange() = default;
  virtual const http::request<http::string_body>& Request() const = 0;
  // Writes raw bytes.
  virtual void Write(const std::string& aBytes) = 0;
  // Writes aPiece again and again until the router closes the connection.
  virtual void WriteEndlessly(const std::string& aPiece) = 0;
  virtual void Close() = 0; // orderly, without a reset
  // Ends its own side in an orderly way; the other one stays open, unread.
  virtual void HalfClose() = 0;
  // Closes the socket; what was received and not read turns that into a reset.
  virtual void CloseSocket() = 0;
  virtual void Reset() = 0;
  virtual bool PeerClosed() const = 0;
};

// A complete response with the headers that the platform requires of upstreams.
std::string
MakeUpstreamResponse(const http::request<http::string_body>& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aExtraFields = "");

// The head of a chunked stream of server-sent events.
std::string
MakeStreamHead(const http::request<http::string_body>& aRequest);

// Heads of a body and of a stream of events with neither a length nor chunks,
// which end with their connection.
std::string
MakeUnframedHead(const http::request<http::string_body>& aRequest);
std::string
MakeUnframedStreamHead(const http::request<http::string_body>& aRequest);

std::string
MakeChunk(const std::string& aText);

std::string
MakeEventChunk(int aId);

class UpstreamStandin
{
public:
  using Handler = std::function<void(std::shared_ptr<UpstreamExchange>)>;

  // If aPort is 0, the system chooses a free port.
  UpstreamStandin(asio::io_context& aLoop,
                  const std::string& aIp,
                  std::uint16_t aPort = 0);

  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }
  std::string Address() const;
  const Tcp::endpoint& Endpoint() const { return m_endpoint; }

  // Ends all connections in an orderly way and accepts no more, like a process
  // that has crashed, until Restart.
  void Crash();
  // Listens at the same address again.
  void Restart();

  // Whether it reads only the head of a request, and a first piece of its body,
  // before its handler is called, and nothing after that.
  void SetReadsHeadsOnly(bool aHeadsOnly) { m_readsHeadsOnly = aHeadsOnly; }

  // Whether Exchanges records requests; each entry keeps its connection open.
  void SetRecordsExchanges(bool aRecords) { m_recordsExchanges = aRecords; }
  // All requests received while recording was on.
  const std::vector<std::shared_ptr<UpstreamExchange>>& Exchanges() const
  {
    return m_exchanges;
  }

private:
  class Connection;
  void Accept();

  asio::io_context& m_loop;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_endpoint;
  std::vector<std::weak_ptr<Connection>> m_connections;
  Handler m_handler;
  std::vector<std::shared_ptr<UpstreamExchange>> m_exchanges;
  bool m_recordsExchanges = true;
  bool m_readsHeadsOnly = false;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_UPSTREAM_STANDIN_H_
