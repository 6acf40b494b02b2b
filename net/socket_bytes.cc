#include "net/socket_bytes.h"

#include <algorithm>
#include <cstddef>

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace walnutwing::net {

// What has arrived later than the first question counts as unread, so the
// result may be too low for a moment, and is never too high.
std::optional<std::uint64_t>
BytesRead(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size <= offsetof(tcp_info, tcpi_bytes_received)) {
    return std::nullopt;
  }
  int unread = 0;
  if (ioctl(aDescriptor, SIOCINQ, &unread) != 0) {
    return std::nullopt;
  }
  const std::uint64_t received = info.tcpi_bytes_received;
  return received - std::min<std::uint64_t>(received, unread);
}

} // namespace walnutwing::net
