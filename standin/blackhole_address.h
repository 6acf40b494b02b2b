#ifndef WALNUTWING_STANDIN_BLACKHOLE_ADDRESS_H_
#define WALNUTWING_STANDIN_BLACKHOLE_ADDRESS_H_

// An address that drops connections: whoever connects to it gets no reply, as
// from a VM without power.
// The address is held by a socket whose queue of new connections is full, so
// that the kernel drops the packets that would open further ones.

#include <string>
#include <vector>

#include "standin/raw_socket.h"

namespace walnutwing::standin {

class BlackholeAddress
{
public:
  // aEndpoint: nothing listens there. Throws boost::system::system_error if it
  // is in use.
  BlackholeAddress(asio::io_context& aLoop, const Tcp::endpoint& aEndpoint);
  BlackholeAddress(const BlackholeAddress&) = delete;
  BlackholeAddress& operator=(const BlackholeAddress&) = delete;

private:
  Tcp::acceptor m_acceptor;
  std::vector<Tcp::socket> m_fillers; // of the queue
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_BLACKHOLE_ADDRESS_H_
