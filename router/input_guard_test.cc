#include "router/input_guard.h"

#include <stdexcept>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace walnutwing::router {
namespace {

// Guards against a message that ends the process because its handler throws.
TEST(InputGuard, ExceptionOfAHandlerIsLoggedAndCounted)
{
  int pipeEnds[2];
  ASSERT_EQ(0, pipe(pipeEnds));
  EventLog log(pipeEnds[1], "d1", {});
  Metrics metrics;
  bool handled = false;
  EXPECT_TRUE(
    RunGuarded(log, metrics, "caller", Time(), [&] { handled = true; }));
  EXPECT_TRUE(handled);
  EXPECT_FALSE(RunGuarded(log, metrics, "caller", Time(), [] {
    throw std::length_error("too long");
  }));
  log.Flush(Time());
  char text[4096];
  const ssize_t size = read(pipeEnds[0], text, sizeof(text));
  ASSERT_GT(size, 0);
  const std::string line(text, static_cast<std::size_t>(size));
  EXPECT_NE(std::string::npos, line.find(R"("name":"input_failed")")) << line;
  EXPECT_NE(std::string::npos,
            line.find(R"("source":"caller","error":"too long")"))
    << line;
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

} // namespace
} // namespace walnutwing::router
