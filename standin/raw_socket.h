#ifndef WALNUTWING_STANDIN_RAW_SOCKET_H_
#define WALNUTWING_STANDIN_RAW_SOCKET_H_

// Sockets of the stand-ins that send raw bytes.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>

namespace walnutwing::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

// Listens on a port, or on a free one if aPort is 0.
Tcp::acceptor
Listen(asio::io_context& aLoop, const std::string& aIp, std::uint16_t aPort);

std::string
AddressOf(const Tcp::acceptor& aAcceptor);

// Writes aPiece again and again until the peer closes the connection, and then
// calls aOnEnd. aOwner keeps aSocket alive meanwhile.
void
WriteUntilClosed(std::shared_ptr<void> aOwner,
                 Tcp::socket& aSocket,
                 std::shared_ptr<const std::string> aPiece,
                 std::function<void()> aOnEnd);

// Repetitions of aText, long enough for a few system calls to write much.
std::shared_ptr<const std::string>
RepeatedText(const std::string& aText);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_RAW_SOCKET_H_
