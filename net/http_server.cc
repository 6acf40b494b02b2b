// h2o owns a request and its memory pool, and frees both when the response has
// been sent or the connection breaks. An Exchange may outlive them: a generator
// in the pool detaches it when the request is freed, and from then on it drops
// its output. h2o allows one h2o_send in flight, so pieces are buffered until
// h2o asks for more.

#include "net/http_server.h"

#include <cctype>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/h2o.h"
#include "router/peer_state.h"
#include "walnutwing/http/request_head.h"
#include "walnutwing/relay/answer_stream.h"

namespace walnutwing::net {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerIteration = 16;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

class ExchangeImpl;

// Allocated in the request's memory pool. m_super comes first, since h2o passes
// a pointer to it to the callbacks.
struct ExchangeGenerator
{
  h2o_generator_t m_super;
  std::shared_ptr<ExchangeImpl> m_exchange;
};

std::string
ToString(const h2o_iovec_t& aText)
{
  return { aText.base, aText.len };
}

std::string
LowerCase(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

HttpRequest
ReadRequest(const h2o_req_t& aRequest)
{
  HttpRequest request;
  request.m_method = ToString(aRequest.method);
  const std::string target = ToString(aRequest.path);
  const std::size_t queryMark = std::min(aRequest.query_at, target.size());
  request.m_path = target.substr(0, queryMark);
  request.m_query =
    queryMark < target.size() ? target.substr(queryMark + 1) : "";
  for (std::size_t i = 0; i < aRequest.headers.size; ++i) {
    const h2o_header_t& header = aRequest.headers.entries[i];
    request.m_headers.Add(LowerCase(ToString(*header.name)),
                          ToString(header.value));
  }
  request.m_body = ToString(aRequest.entity);
  return request;
}

// The bytes of the request's head, which h2o keeps in front of the connection's
// input until the response ends; "" if they are not there.
std::string_view
HeadTextOf(const h2o_req_t& aRequest)
{
  const h2o_buffer_t* input =
    aRequest.conn->callbacks->get_socket(aRequest.conn)->input;
  const std::string_view text(input->bytes, input->size);
  const std::size_t end = text.find(kHeadEnd);
  return end == std::string_view::npos ? std::string_view()
                                       : text.substr(0, end + kHeadEnd.size());
}

// The reason phrases of RFC 9110 for the statuses that this project sends.
const char*
ReasonPhrase(int aStatus)
{
  constexpr std::pair<int, const char*> kReasons[] = {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 409, "Conflict" },
    { 413, "Content Too Large" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 500, "Internal Server Error" },
    { 501, "Not Implemented" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  for (const auto& [status, reason] : kReasons) {
    if (status == aStatus) {
      return reason;
    }
  }
  return "Other";
}

class ExchangeImpl : public Exchange
{
public:
  explicit ExchangeImpl(h2o_req_t* aRequest)
    : m_request(aRequest)
    , m_requestCopy(ReadRequest(*aRequest))
  {
  }

  // Creates an exchange that is detached when h2o's request stops or is freed.
  static std::shared_ptr<ExchangeImpl> Attach(h2o_req_t* aRequest)
  {
    auto exchange = std::make_shared<ExchangeImpl>(aRequest);
    void* memory = h2o_mem_alloc_shared(
      &aRequest->pool, sizeof(ExchangeGenerator), [](void* aMemory) {
        auto* generator = static_cast<ExchangeGenerator*>(aMemory);
        generator->m_exchange->DetachRequest();
        generator->~ExchangeGenerator();
      });
    auto* generator = new (memory) ExchangeGenerator{ {}, exchange };
    generator->m_super.proceed = [](h2o_generator_t* aSelf, h2o_req_t*) {
      ExchangeOf(aSelf)->Proceed();
    };
    generator->m_super.stop = [](h2o_generator_t* aSelf, h2o_req_t*) {
      ExchangeOf(aSelf)->DetachRequest();
    };
    exchange->m_generator = generator;
    return exchange;
  }

  const HttpRequest& Request() const override { return m_requestCopy; }

  void Respond(int aStatus, Headers aHeaders, std::string aBody) override
  {
    if (m_request == nullptr) {
      return;
    }
    m_request->res.content_length = aBody.size();
    Start(aStatus, std::move(aHeaders));
    m_pending = std::move(aBody);
    End();
  }

  void Start(int aStatus, Headers aHeaders) override
  {
    if (m_request == nullptr) {
      return;
    }
    m_request->res.status = aStatus;
    m_request->res.reason = ReasonPhrase(aStatus);
    for (const Header& header : aHeaders.All()) {
      const h2o_iovec_t name = h2o_strdup(
        &m_request->pool, header.m_name.data(), header.m_name.size());
      const h2o_iovec_t value = h2o_strdup(
        &m_request->pool, header.m_value.data(), header.m_value.size());
      h2o_add_header_by_str(&m_request->pool,
                            &m_request->res.headers,
                            name.base,
                            name.len,
                            1,
                            nullptr,
                            value.base,
                            value.len);
    }
    h2o_start_response(m_request, &m_generator->m_super);
    m_started = true;
  }

  void Write(std::string_view aPiece) override
  {
    if (m_request == nullptr || m_end != EndState::Open) {
      return;
    }
    m_pending.append(aPiece);
    Flush();
  }

  void End() override { Finish(EndState::Ended); }
  void Abort() override { Finish(EndState::Aborted); }

  std::size_t PendingBytes() const override
  {
    return m_pending.size() + m_inFlight.size();
  }

  void OnDrained(std::function<void()> aCallback) override
  {
    m_onDrained = std::move(aCallback);
  }

  void OnCallerGone(std::function<void()> aCallback) override
  {
    m_onCallerGone = std::move(aCallback);
  }

  bool CallerClosed() const override
  {
    if (m_request == nullptr) {
      return true;
    }
    h2o_socket_t* socket =
      m_request->conn->callbacks->get_socket(m_request->conn);
    const int descriptor = h2o_socket_get_fd(socket);
    return router::PeerStateOf(descriptor) == router::PeerState::Closed;
  }

private:
  enum class EndState
  {
    Open,
    Ended,
    Aborted,
  };

  static ExchangeImpl* ExchangeOf(h2o_generator_t* aGenerator)
  {
    return reinterpret_cast<ExchangeGenerator*>(aGenerator)->m_exchange.get();
  }

  void Finish(EndState aEnd)
  {
    if (m_request == nullptr || m_end != EndState::Open) {
      return;
    }
    m_end = aEnd;
    Flush();
  }

  // Passes the buffered output to h2o unless a send is in flight.
  void Flush()
  {
    if (m_sending || m_request == nullptr || !m_started || m_finalSent) {
      return;
    }
    if (m_pending.empty() && m_end == EndState::Open) {
      return;
    }
    m_inFlight = std::exchange(m_pending, {});
    h2o_iovec_t buffer = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
    m_sending = true;
    m_finalSent = m_end != EndState::Open;
    h2o_send(m_request, &buffer, m_inFlight.empty() ? 0 : 1, SendState());
  }

  h2o_send_state_t SendState() const
  {
    switch (m_end) {
      case EndState::Open:
        return H2O_SEND_STATE_IN_PROGRESS;
      case EndState::Ended:
        return H2O_SEND_STATE_FINAL;
      case EndState::Aborted:
        return H2O_SEND_STATE_ERROR;
    }
    return H2O_SEND_STATE_ERROR;
  }

  void Proceed()
  {
    m_sending = false;
    m_inFlight.clear();
    Flush();
    if (!m_sending && m_onDrained) {
      m_onDrained();
    }
  }

  void DetachRequest()
  {
    if (m_request == nullptr) {
      return;
    }
    m_request = nullptr;
    m_pending.clear();
    m_onDrained = nullptr;
    const std::function<void()> callerGone =
      std::exchange(m_onCallerGone, nullptr);
    if (m_end == EndState::Open && callerGone) {
      callerGone();
    }
  }

  h2o_req_t* m_request; // null once h2o has stopped or freed it
  ExchangeGenerator* m_generator = nullptr;
  const HttpRequest m_requestCopy;
  std::string m_pending;  // not yet passed to h2o
  std::string m_inFlight; // passed to h2o, which reads it until Proceed
  bool m_started = false;
  bool m_sending = false;
  bool m_finalSent = false;
  EndState m_end = EndState::Open;
  std::function<void()> m_onDrained;
  std::function<void()> m_onCallerGone;
};

// Responds with an error and closes the connection if the request's head is
// invalid. Returns whether it has.
bool
RejectInvalidHead(h2o_req_t* aRequest)
{
  const auto result = ParseRequestHead(HeadTextOf(*aRequest));
  const auto* error = std::get_if<HeadError>(&result);
  if (error == nullptr) {
    return false;
  }
  const ResultCode code = RowOf(*error).m_code;
  aRequest->http1_is_persistent = 0;
  ExchangeImpl::Attach(aRequest)->Respond(
    RowOf(code).m_httpStatus,
    { { "content-type", "application/json" },
      { "walnutwing-code", std::to_string(static_cast<int>(code)) } },
    ErrorBody(code));
  return true;
}

struct Handler
{
  h2o_handler_t m_super;
  RequestHandler* m_requestHandler;
};

int
ListenOn(const Endpoint& aEndpoint)
{
  const int listener =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener < 0) {
    throw std::system_error(errno, std::generic_category(), "socket");
  }
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  inet_pton(AF_INET, aEndpoint.m_ip.c_str(), &address.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(listener, kListenBacklog) != 0) {
    const int error = errno;
    close(listener);
    throw std::system_error(
      error, std::generic_category(), aEndpoint.ToString());
  }
  return listener;
}

std::uint16_t
BoundPort(int aListener)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aListener, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(EventLoop& aLoop,
       const Endpoint& aEndpoint,
       const HttpServerOptions& aOptions,
       RequestHandler aHandler)
    : m_handler(std::move(aHandler))
  {
    const int listener = ListenOn(aEndpoint);
    m_port = BoundPort(listener);
    ConfigureH2o(aOptions);
    h2o_context_init(&m_context, aLoop.Raw(), &m_config);
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
    m_listener = h2o_evloop_socket_create(
      aLoop.Raw(), listener, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(
      m_listener, [](h2o_socket_t* aSocket, const char* aError) {
        if (aError == nullptr) {
          static_cast<Impl*>(aSocket->data)->AcceptConnections();
        }
      });
  }

  void StopAccepting()
  {
    if (m_listener == nullptr) {
      return;
    }
    h2o_socket_read_stop(m_listener);
    h2o_socket_close(std::exchange(m_listener, nullptr));
    h2o_context_request_shutdown(&m_context);
  }

  // Responds to all further requests with 503 instead of calling the handler,
  // whose owner may have been destroyed.
  void RefuseAll()
  {
    m_handler = [](const std::shared_ptr<Exchange>& aExchange) {
      aExchange->Respond(503, { { "retry-after", "1" } }, "");
    };
  }

  std::size_t OpenConnections() const { return m_connections; }
  std::uint16_t Port() const { return m_port; }

private:
  void ConfigureH2o(const HttpServerOptions& aOptions)
  {
    h2o_config_init(&m_config);
    m_config.max_request_entity_size = aOptions.m_maxBodyBytes;
    m_config.http1.req_timeout =
      static_cast<std::uint64_t>(aOptions.m_requestTimeout.count());
    m_config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host = h2o_config_register_host(
      &m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* handler =
      reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    handler->m_requestHandler = &m_handler;
    handler->m_super.on_req = [](h2o_handler_t* aSelf, h2o_req_t* aRequest) {
      if (RejectInvalidHead(aRequest)) {
        return 0;
      }
      (*reinterpret_cast<Handler*>(aSelf)->m_requestHandler)(
        ExchangeImpl::Attach(aRequest));
      return 0;
    };
  }

  void AcceptConnections()
  {
    for (int i = 0; i < kMaxAcceptsPerIteration && m_listener != nullptr; ++i) {
      h2o_socket_t* socket = h2o_evloop_socket_accept(m_listener);
      if (socket == nullptr) {
        return;
      }
      ++m_connections;
      socket->on_close.data = this;
      socket->on_close.cb = [](void* aSelf) {
        --static_cast<Impl*>(aSelf)->m_connections;
      };
      h2o_accept(&m_accept, socket);
    }
  }

  RequestHandler m_handler;
  h2o_globalconf_t m_config{};
  h2o_context_t m_context{};
  h2o_accept_ctx_t m_accept{};
  h2o_socket_t* m_listener = nullptr;
  std::size_t m_connections = 0;
  std::uint16_t m_port = 0;
};

HttpServer::HttpServer(EventLoop& aLoop,
                       const Endpoint& aEndpoint,
                       HttpServerOptions aOptions,
                       RequestHandler aHandler)
  : m_impl(
      std::make_unique<Impl>(aLoop, aEndpoint, aOptions, std::move(aHandler)))
{
}

// Leaks m_impl on purpose: h2o's context cannot be disposed of while
// connections are open. The listener is closed, and requests on the remaining
// connections get a 503 with retry-after.
HttpServer::~HttpServer()
{
  m_impl->StopAccepting();
  m_impl->RefuseAll();
  static_cast<void>(m_impl.release());
}

void
HttpServer::StopAccepting()
{
  m_impl->StopAccepting();
}

std::size_t
HttpServer::OpenConnections() const
{
  return m_impl->OpenConnections();
}

std::uint16_t
HttpServer::Port() const
{
  return m_impl->Port();
}

} // namespace walnutwing::net
