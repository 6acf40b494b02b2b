#ifndef WALNUTWING_ROUTER_ASIO_H_
#define WALNUTWING_ROUTER_ASIO_H_

// Aliases for the Boost.Asio types that the router uses. All sockets and timers
// run on one io_context, which one thread runs, so no locking is needed.

#include <chrono>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "walnutwing/base/clock.h"

namespace walnutwing::router {

namespace asio = boost::asio;
using boost::system::error_code;

using Tcp = asio::ip::tcp;
using Loop = asio::io_context;
using Executor = Loop::executor_type;
using Socket = asio::basic_stream_socket<Tcp, Executor>;
using Timer =
  asio::basic_waitable_timer<std::chrono::steady_clock,
                             asio::wait_traits<std::chrono::steady_clock>,
                             Executor>;

// The current monotonic time.
inline Time
Now()
{
  return SteadyClock().Now();
}

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ASIO_H_
