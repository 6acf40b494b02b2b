#ifndef WALNUTWING_ROUTER_PEER_STATE_H_
#define WALNUTWING_ROUTER_PEER_STATE_H_

// What the kernel knows of the peer of a TCP connection, without reading from
// it. Both programs use it.

namespace walnutwing::router {

enum class PeerState
{
  Open,   // it may send more, and has sent nothing that is unread
  Unread, // the same, with unread bytes
  Closed, // it has ended its side or the connection; bytes may be unread
};

PeerState
PeerStateOf(int aSocket);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PEER_STATE_H_
