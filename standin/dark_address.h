#ifndef WALNUTWING_STANDIN_DARK_ADDRESS_H_
#define WALNUTWING_STANDIN_DARK_ADDRESS_H_

// The address of a machine without power: whoever connects to it gets no reply.
// The address is held by a socket whose queue of new connections is full, so
// that the kernel drops the packets that would open further ones.

#include <string>
#include <vector>

#include "standin/raw_socket.h"

namespace walnutwing::standin {

class DarkAddress
{
public:
  // aEndpoint: nothing listens there. Throws boost::system::system_error if it
  // is in use.
  DarkAddress(asio::io_context& aLoop, const Tcp::endpoint& aEndpoint);
  DarkAddress(const DarkAddress&) = delete;
  DarkAddress& operator=(const DarkAddress&) = delete;

private:
  Tcp::acceptor m_acceptor;
  std::vector<Tcp::socket> m_fillers; // of the queue
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_DARK_ADDRESS_H_
