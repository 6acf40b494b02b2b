#include "router/page_server.h"

#include <memory>
#include <utility>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "platform/field_text.h"
#include "router/input_buffer.h"
#include "router/socket_options.h"

namespace walnutwing::router {
namespace {

namespace http = boost::beast::http;

// A connection without a complete request is closed after this time.
constexpr Duration kIdleTimeout = std::chrono::seconds(30);

} // namespace

// One connection, kept alive by its pending handlers.
class PageServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(Loop& aLoop, Socket aSocket, const Handler& aHandler)
    : m_socket(std::move(aSocket))
    , m_timer(aLoop.get_executor())
    , m_handler(aHandler)
  {
  }

  void Read()
  {
    m_request = {};
    m_timer.expires_after(kIdleTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        error_code ignored; // the socket is not used again
        self->m_socket.close(ignored);
      }
    });
    http::async_read(
      m_socket,
      m_input,
      m_request,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->m_timer.cancel();
        if (!aError) {
          self->Respond();
        }
      });
  }

private:
  void Respond()
  {
    const std::string_view target = platform::View(m_request.target());
    Page page = m_handler(target.substr(0, target.find('?')));
    m_response = {};
    m_response.result(static_cast<unsigned>(page.m_status));
    m_response.set(http::field::content_type, page.m_type);
    m_response.body() = std::move(page.m_body);
    m_response.keep_alive(m_request.keep_alive());
    m_response.prepare_payload();
    http::async_write(
      m_socket,
      m_response,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (!aError && self->m_response.keep_alive()) {
          self->Read();
        }
      });
  }

  Socket m_socket;
  Timer m_timer;
  const Handler& m_handler;
  InputBuffer m_input;
  http::request<http::empty_body> m_request;
  http::response<http::string_body> m_response;
};

PageServer::PageServer(Loop& aLoop,
                       const Tcp::endpoint& aEndpoint,
                       Handler aHandler,
                       std::function<void(const error_code&)> aOnAcceptFailed)
  : m_loop(aLoop)
  , m_handler(std::move(aHandler))
  , m_acceptor(
      aLoop,
      aEndpoint,
      [this](Socket aSocket) {
        SetLivenessOptions(aSocket);
        std::make_shared<Session>(m_loop, std::move(aSocket), m_handler)
          ->Read();
      },
      std::move(aOnAcceptFailed))
{
  m_acceptor.Start();
}

} // namespace walnutwing::router
