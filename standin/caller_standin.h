#ifndef WALNUTWING_STANDIN_CALLER_STANDIN_H_
#define WALNUTWING_STANDIN_CALLER_STANDIN_H_

// A caller that sends raw bytes.

#include <array>
#include <memory>
#include <string>

#include "standin/raw_socket.h"

namespace walnutwing::standin {

// A caller's connection, which collects what it receives.
class CallerStandin
{
public:
  CallerStandin(asio::io_context& aLoop, const std::string& aAddress);
  ~CallerStandin();
  CallerStandin(const CallerStandin&) = delete;
  CallerStandin& operator=(const CallerStandin&) = delete;

  void Send(const std::string& aBytes);
  // Sends aPiece again and again until the router closes the connection.
  void SendEndlessly(const std::string& aPiece);
  void Close();
  // Closes its sending side only.
  void HalfClose();
  // Ends the connection with a reset.
  void Reset();

  const std::string& Received() const { return m_state->m_received; }
  // Whether the router has ended the connection.
  bool Ended() const { return m_state->m_ended; }
  // Whether it has ended it with a reset.
  bool WasReset() const { return m_state->m_reset; }

private:
  // Shared with the pending read, whose handler may run after the destructor.
  struct State
  {
    explicit State(asio::io_context& aLoop)
      : m_socket(aLoop)
    {
    }

    Tcp::socket m_socket;
    std::array<char, 16384> m_input{};
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
  };

  static void Read(const std::shared_ptr<State>& aState);

  std::shared_ptr<State> m_state;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALLER_STANDIN_H_
