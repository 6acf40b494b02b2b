#include "standin/blackhole_address.h"

#include <sys/socket.h>

namespace walnutwing::standin {
namespace {

// A queue of length 0 takes one connection; more are for kernels that take two.
constexpr std::size_t kFillers = 3;

} // namespace

BlackholeAddress::BlackholeAddress(asio::io_context& aLoop,
                                   const Tcp::endpoint& aEndpoint)
  : m_acceptor(aLoop)
{
  m_acceptor.open(aEndpoint.protocol());
  m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
  m_acceptor.bind(aEndpoint);
  m_acceptor.listen(0);
  for (std::size_t i = 0; i < kFillers; ++i) {
    Tcp::socket& filler = m_fillers.emplace_back(aLoop, Tcp::v4());
    filler.native_non_blocking(true);
    // Not the socket's own connect, which would wait for the result.
    static_cast<void>(
      ::connect(filler.native_handle(), aEndpoint.data(), aEndpoint.size()));
  }
}

} // namespace walnutwing::standin
