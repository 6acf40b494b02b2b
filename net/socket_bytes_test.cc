#include "net/socket_bytes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace walnutwing::net {
namespace {

// Guards against bytes that wait in the kernel and count as read: a connection
// whose reading is paused would look as if its peer sent without end.
TEST(SocketBytes, CountsWhatWasReadOnly)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  ASSERT_EQ(0, bind(listener, generic, size));
  ASSERT_EQ(0, listen(listener, 1));
  ASSERT_EQ(0, getsockname(listener, generic, &size));
  const int sender = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(0, connect(sender, generic, size));
  const int receiver = accept(listener, nullptr, nullptr);
  EXPECT_EQ(0U, BytesRead(receiver));
  char bytes[100] = {};
  ASSERT_EQ(100, write(sender, bytes, sizeof(bytes)));
  ASSERT_EQ(40, recv(receiver, bytes, 40, MSG_WAITALL));
  EXPECT_EQ(40U, BytesRead(receiver));
  ASSERT_EQ(60, recv(receiver, bytes, 60, MSG_WAITALL));
  EXPECT_EQ(100U, BytesRead(receiver));
  close(receiver);
  close(sender);
  close(listener);
}

TEST(SocketBytes, KnowsNothingOfOtherDescriptors)
{
  EXPECT_FALSE(BytesRead(-1));
}

} // namespace
} // namespace walnutwing::net
