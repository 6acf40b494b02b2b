#include "standin/raw_socket.h"

#include <utility>

#include <boost/asio/write.hpp>

namespace walnutwing::standin {

Tcp::acceptor
Listen(asio::io_context& aLoop, const std::string& aIp, std::uint16_t aPort)
{
  return Tcp::acceptor(aLoop,
                       Tcp::endpoint(asio::ip::make_address_v4(aIp), aPort));
}

std::string
AddressOf(const Tcp::acceptor& aAcceptor)
{
  const Tcp::endpoint endpoint = aAcceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
WriteUntilClosed(std::shared_ptr<void> aOwner,
                 Tcp::socket& aSocket,
                 std::shared_ptr<const std::string> aPiece,
                 std::function<void()> aOnEnd)
{
  const asio::const_buffer buffer = asio::buffer(*aPiece);
  asio::async_write(
    aSocket,
    buffer,
    [owner = std::move(aOwner),
     &aSocket,
     piece = std::move(aPiece),
     onEnd = std::move(aOnEnd)](const error_code& aError, std::size_t) {
      if (aError) {
        onEnd();
        return;
      }
      WriteUntilClosed(owner, aSocket, piece, onEnd);
    });
}

std::shared_ptr<const std::string>
RepeatedText(const std::string& aText)
{
  constexpr std::size_t kEndlessPieceBytes = 64U << 10U;
  std::string piece;
  while (piece.size() < kEndlessPieceBytes) {
    piece += aText;
  }
  return std::make_shared<const std::string>(std::move(piece));
}

} // namespace walnutwing::standin
