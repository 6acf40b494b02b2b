#include "router/peer_state.h"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace walnutwing::router {
namespace {

// The end of the peer's side is behind the unread bytes, where a read does not
// see it; the connection's state shows it.
bool
HasEndArrived(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool known =
    getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known &&
         (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

} // namespace

PeerState
PeerStateOf(Socket& aSocket)
{
  const int descriptor = aSocket.native_handle();
  char byte = 0;
  const ssize_t received =
    recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return HasEndArrived(descriptor) ? PeerState::Closed : PeerState::Unread;
  }
  const bool open =
    received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return open ? PeerState::Open : PeerState::Closed;
}

} // namespace walnutwing::router
