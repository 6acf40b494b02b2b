#include "router/upstream_connection.h"

#include <stdexcept>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

class ThrowingReceiver : public ResponseReceiver
{
public:
  void OnConnected() override {}
  void OnHead(const platform::HttpResponseHead& /*aHead*/,
              const platform::ResponseFacts& /*aFacts*/) override
  {
    throw std::length_error("too long");
  }
  void OnBody(std::string_view /*aPiece*/) override {}
  void OnEnd(const UpstreamResult& aResult) override { m_result = aResult; }

  std::optional<UpstreamResult> m_result;
};

// Guards against a response that ends the process because its receiver throws:
// the attempt fails as one that may have run, and the connection is closed.
TEST(UpstreamConnection, ExceptionOfTheReceiverEndsTheAttemptOnly)
{
  Loop loop(1);
  asio::basic_socket_acceptor<Tcp, Executor> acceptor(
    loop.get_executor(), Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Socket upstream(loop.get_executor());
  const std::string response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                               "Content-Length: 0\r\n\r\n";
  acceptor.async_accept(upstream, [&](const error_code& aError) {
    if (!aError) {
      asio::write(upstream, asio::buffer(response));
    }
  });
  int closed = 0;
  ThrowingReceiver receiver;
  const auto connection = std::make_shared<UpstreamConnection>(
    loop,
    acceptor.local_endpoint(),
    [](const std::shared_ptr<UpstreamConnection>&, std::optional<Duration>) {},
    [&closed] { ++closed; });
  UpstreamRequest request;
  request.m_head = "GET / HTTP/1.1\r\n\r\n";
  request.m_attemptId = "a1";
  connection->Send(std::move(request), receiver);
  loop.run_for(std::chrono::seconds(5));
  ASSERT_TRUE(receiver.m_result);
  EXPECT_EQ(SendStage::HeadReceived, receiver.m_result->m_stage);
  EXPECT_EQ("unexpected error: too long", receiver.m_result->m_error);
  EXPECT_EQ(1, closed);
}

} // namespace
} // namespace walnutwing::router
