#ifndef WALNUTWING_STANDIN_CALLER_CROWD_H_
#define WALNUTWING_STANDIN_CALLER_CROWD_H_

// Many callers that connect at once, send the same bytes without waiting for
// each other, and stay connected. No call blocks, so a router may leave any of
// them unread.

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "standin/raw_socket.h"

namespace walnutwing::standin {

// What each caller of a crowd does.
struct CrowdScript
{
  std::string m_head;  // sent first
  std::string m_piece; // then sent m_pieces times
  std::size_t m_pieces = 0;
  bool m_readsAnswer = true;   // otherwise nothing that arrives is read
  std::size_t m_comebacks = 0; // new connections after the first has ended
};

class CallerCrowd
{
public:
  // Connects aCallers callers and starts their scripts.
  CallerCrowd(asio::io_context& aLoop,
              const Tcp::endpoint& aRouter,
              const CrowdScript& aScript,
              std::size_t aCallers);
  // Closes all connections.
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  // Whether each caller has sent all or has no connection any more.
  bool IsSettled() const;
  // Callers whose connection is open.
  std::size_t Open() const;
  // Callers that have received an answer with that status.
  std::size_t Answered(const std::string& aStatus) const;

private:
  class Member;

  std::vector<std::shared_ptr<Member>> m_members;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALLER_CROWD_H_
