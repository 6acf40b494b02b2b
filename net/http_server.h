#ifndef WALNUTWING_NET_HTTP_SERVER_H_
#define WALNUTWING_NET_HTTP_SERVER_H_

// An HTTP server over h2o: hands every request to one function, which answers
// through an Exchange, at once or later, whole or in pieces.

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

// One request and its answer. Answers that are written after the caller has
// gone are dropped.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Answers whole. Call once, instead of Start.
  virtual void Respond(int aStatus, Headers aHeaders, std::string aBody) = 0;

  // Begins an answer in pieces: Start, then Write any number of times, then End
  // or Abort.
  virtual void Start(int aStatus, Headers aHeaders) = 0;
  virtual void Write(std::string_view aPiece) = 0;
  virtual void End() = 0;
  // Breaks the connection off, so that the caller sees an answer that is not
  // whole.
  virtual void Abort() = 0;

  // Bytes written here that the caller's connection has not taken yet.
  virtual std::size_t PendingBytes() const = 0;

  // Called whenever PendingBytes falls to zero.
  virtual void OnDrained(std::function<void()> aCallback) = 0;

  // Called once if the caller goes away before the answer has ended.
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;

  // Whether the caller has closed its side. Asks the socket, since h2o does not
  // read from it while an answer is being prepared.
  virtual bool CallerClosed() const = 0;
};

using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

struct HttpServerOptions
{
  std::size_t m_maxBodyBytes = 8U << 20U;
  Duration m_requestTimeout =
    std::chrono::seconds(10); // for a whole request to arrive
};

class HttpServer
{
public:
  // Listens at once. Throws std::system_error if the address cannot be bound.
  HttpServer(EventLoop& aLoop,
             const Endpoint& aEndpoint,
             HttpServerOptions aOptions,
             RequestHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Accepts no further connections and closes idle ones; requests in progress
  // go on.
  void StopAccepting();

  // Connections that are open.
  std::size_t OpenConnections() const;

  // The port that was bound; useful when the endpoint named port 0.
  std::uint16_t Port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace walnutwing::net

#endif // WALNUTWING_NET_HTTP_SERVER_H_
