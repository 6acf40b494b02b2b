#include "standin/caller_standin.h"

#include <boost/asio/write.hpp>

namespace walnutwing::standin {

CallerStandin::CallerStandin(asio::io_context& aLoop,
                             const std::string& aAddress)
  : m_state(std::make_shared<State>(aLoop))
{
  const std::size_t colon = aAddress.find(':');
  m_state->m_socket.connect(
    { asio::ip::make_address_v4(aAddress.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))) });
  Read(m_state);
}

CallerStandin::~CallerStandin()
{
  Close();
}

void
CallerStandin::Read(const std::shared_ptr<State>& aState)
{
  aState->m_socket.async_read_some(
    asio::buffer(aState->m_input),
    [aState](const error_code& aError, std::size_t aBytes) {
      aState->m_received.append(aState->m_input.data(), aBytes);
      if (!aError) {
        Read(aState);
        return;
      }
      aState->m_ended =
        aState->m_ended || aError != asio::error::operation_aborted;
      aState->m_reset =
        aState->m_reset || aError == asio::error::connection_reset;
    });
}

void
CallerStandin::Send(const std::string& aBytes)
{
  error_code ignored; // tests check what is received
  asio::write(m_state->m_socket, asio::buffer(aBytes), ignored);
}

void
CallerStandin::SendEndlessly(const std::string& aPiece)
{
  WriteUntilClosed(m_state, m_state->m_socket, RepeatedText(aPiece), [] {});
}

void
CallerStandin::Close()
{
  error_code ignored; // the test is done with it
  m_state->m_socket.close(ignored);
}

void
CallerStandin::HalfClose()
{
  error_code ignored; // the router may have closed it
  m_state->m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void
CallerStandin::Reset()
{
  error_code ignored; // the test is done with it
  m_state->m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  m_state->m_socket.close(ignored);
}

} // namespace walnutwing::standin
