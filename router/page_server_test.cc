#include "router/page_server.h"

#include <chrono>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

// While it lives, the process cannot open further descriptors.
class NoDescriptorsLeft
{
public:
  NoDescriptorsLeft()
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const int next = fcntl(0, F_DUPFD, 0);
    close(next);
    rlimit none = m_before;
    none.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptorsLeft() { setrlimit(RLIMIT_NOFILE, &m_before); }
  NoDescriptorsLeft(const NoDescriptorsLeft&) = delete;
  NoDescriptorsLeft& operator=(const NoDescriptorsLeft&) = delete;

private:
  rlimit m_before{};
};

// Guards against a process that spins: when descriptors ran out, each failed
// accept was repeated at once for as long as a connection waited.
TEST(PageServer, FailedAcceptIsRepeatedAfterADelay)
{
  Loop loop(1);
  // An address of its own, so that tests that run at the same time don't
  // conflict.
  const auto pid = static_cast<std::uint32_t>(getpid());
  const asio::ip::address_v4 ip(0x7F7F0000U + (pid & 0xFFFFU));
  const Tcp::endpoint endpoint(ip, 18081);
  std::size_t failures = 0;
  PageServer server(
    loop,
    endpoint,
    [](std::string_view) { return Page(); },
    [&](const error_code&) { ++failures; });
  Socket client(loop);
  client.connect(endpoint);
  asio::write(client, asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
  {
    const NoDescriptorsLeft none;
    constexpr std::size_t kMaxHandlers = 20; // in 200 ms
    EXPECT_GT(kMaxHandlers, loop.run_for(std::chrono::milliseconds(200)));
  }
  EXPECT_LT(0U, failures);
  loop.restart();
  loop.run_for(std::chrono::milliseconds(200));
  EXPECT_LT(0U, client.available());
}

} // namespace
} // namespace walnutwing::router
