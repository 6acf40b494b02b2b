#ifndef WALNUTWING_ROUTER_PEER_STATE_H_
#define WALNUTWING_ROUTER_PEER_STATE_H_

// What the kernel knows of a connection's peer, without reading from it.

#include "router/asio.h"

namespace walnutwing::router {

enum class PeerState
{
  Open,   // it may send more, and has sent nothing that is unread
  Unread, // the same, with unread bytes
  Closed, // it has ended its side or the connection, whatever is unread
};

PeerState
PeerStateOf(Socket& aSocket);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PEER_STATE_H_
