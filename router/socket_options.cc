#include "router/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace walnutwing::router {

void
SetLivenessOptions(Socket& aSocket)
{
  const int descriptor = aSocket.native_handle();
  const int on = 1;
  const unsigned userTimeout = kUserTimeoutMs;
  const auto set = [descriptor](int aLevel, int aName, const auto& aValue) {
    static_cast<void>(
      setsockopt(descriptor, aLevel, aName, &aValue, sizeof(aValue)));
  };
  set(IPPROTO_TCP, TCP_NODELAY, on);
  set(SOL_SOCKET, SO_KEEPALIVE, on);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeout);
}

} // namespace walnutwing::router
