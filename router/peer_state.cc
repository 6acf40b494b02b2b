#include "router/peer_state.h"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace walnutwing::router {
namespace {

// Whether the peer has ended its side. A read does not see that while there are
// unread bytes before it, but the connection's state does. An unknown state
// counts as open, as the next read decides.
bool
HasEndArrived(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known =
    getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known &&
         (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

} // namespace

PeerState
PeerStateOf(int aSocket)
{
  char byte = 0;
  const ssize_t received =
    recv(aSocket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return HasEndArrived(aSocket) ? PeerState::Closed : PeerState::Unread;
  }
  const bool open =
    received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return open ? PeerState::Open : PeerState::Closed;
}

} // namespace walnutwing::router
