#ifndef WALNUTWING_NET_HTTP_SERVER_H_
#define WALNUTWING_NET_HTTP_SERVER_H_

// An HTTP server on top of h2o. It passes every request to one handler, which
// responds through an Exchange, synchronously or later, at once or in pieces.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace walnutwing::net {

struct HttpRequest
{
  std::string m_method;
  std::string m_path;  // without the query
  std::string m_query; // without '?'
  Headers m_headers;
  std::string m_body;
};

// One request and its response. Output is dropped once the caller has closed
// the connection.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Sends a complete response. Call it once, instead of Start.
  virtual void Respond(int aStatus, Headers aHeaders, std::string aBody) = 0;

  // Starts a response that is sent in pieces: Start, then any number of Write,
  // then End or Abort.
  virtual void Start(int aStatus, Headers aHeaders) = 0;
  virtual void Write(std::string_view aPiece) = 0;
  virtual void End() = 0;
  // Closes the connection without ending the response, so that the caller can
  // tell that it is incomplete.
  virtual void Abort() = 0;

  // Bytes written here that have not been written to the caller's connection
  // yet.
  virtual std::size_t PendingBytes() const = 0;

  // Sets the callback that runs whenever PendingBytes drops to zero.
  virtual void OnDrained(std::function<void()> aCallback) = 0;

  // Sets the callback that runs once if the connection closes before End or
  // Abort.
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;

  // Whether the caller has closed its side of the connection. Peeks at the
  // socket, since h2o does not read from it while a response is in progress.
  virtual bool CallerClosed() const = 0;
};

using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

struct HttpServerOptions
{
  std::size_t m_maxBodyBytes = 8U << 20U;
  Duration m_requestTimeout =
    std::chrono::seconds(10); // to receive a complete request
};

class HttpServer
{
public:
  // Starts to listen. Throws std::system_error if the address cannot be bound.
  HttpServer(EventLoop& aLoop,
             const Endpoint& aEndpoint,
             HttpServerOptions aOptions,
             RequestHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops accepting connections and closes idle ones. Requests in progress are
  // completed.
  void StopAccepting();

  std::size_t OpenConnections() const;

  // The bound port, which the system chooses if the endpoint has port 0.
  std::uint16_t Port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_HTTP_SERVER_H_
