#include "standin/caller_crowd.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>

namespace walnutwing::standin {

class CallerCrowd::Member : public std::enable_shared_from_this<Member>
{
public:
  Member(asio::io_context& aLoop,
         Tcp::endpoint aRouter,
         std::shared_ptr<const CrowdScript> aScript)
    : m_socket(aLoop)
    , m_router(std::move(aRouter))
    , m_script(std::move(aScript))
    , m_comebacks(m_script->m_comebacks)
  {
  }

  void Connect()
  {
    m_piecesSent = 0;
    m_sentAll = false;
    m_isOpen = true;
    m_socket.async_connect(
      m_router,
      [self = shared_from_this(),
       connection = ++m_connection](const error_code& aError) {
        if (connection != self->m_connection) {
          return;
        }
        if (aError) {
          self->OnEnd();
          return;
        }
        self->Read();
        self->Send(self->m_script->m_head);
      });
  }

  void Close()
  {
    m_comebacks = 0;
    ++m_connection;
    error_code ignored; // the test is done with it
    m_socket.close(ignored);
  }

  bool IsOpen() const { return m_isOpen; }
  bool IsSettled() const { return m_sentAll || !m_isOpen; }
  bool HasAnswer(const std::string& aStatus) const
  {
    return m_begin.starts_with("HTTP/1.1 " + aStatus);
  }

private:
  void Send(const std::string& aBytes)
  {
    asio::async_write(m_socket,
                      asio::buffer(aBytes),
                      [self = shared_from_this(), connection = m_connection](
                        const error_code& aError, std::size_t) {
                        if (connection != self->m_connection) {
                          return;
                        }
                        if (aError) {
                          self->OnEnd();
                          return;
                        }
                        self->SendNext();
                      });
  }

  void SendNext()
  {
    m_sentAll = m_piecesSent == m_script->m_pieces;
    if (m_sentAll) {
      return;
    }
    ++m_piecesSent;
    Send(m_script->m_piece);
  }

  void Read()
  {
    if (!m_script->m_readsAnswer) {
      return;
    }
    m_socket.async_read_some(
      asio::buffer(m_input),
      [self = shared_from_this(), connection = m_connection](
        const error_code& aError, std::size_t aBytes) {
        if (connection != self->m_connection) {
          return;
        }
        if (self->m_begin.empty()) {
          self->m_begin.assign(self->m_input.data(), aBytes);
        }
        if (aError) {
          self->OnEnd();
          return;
        }
        self->Read();
      });
  }

  void OnEnd()
  {
    m_isOpen = false;
    ++m_connection;
    error_code ignored; // nothing more is done with it
    m_socket.close(ignored);
    if (m_comebacks != 0) {
      --m_comebacks;
      Connect();
    }
  }

  Tcp::socket m_socket;
  Tcp::endpoint m_router;
  std::shared_ptr<const CrowdScript> m_script;
  std::size_t m_comebacks;
  std::size_t m_piecesSent = 0;
  std::uint64_t m_connection = 0; // handlers of earlier ones do nothing
  bool m_sentAll = false;
  bool m_isOpen = false;
  std::array<char, 512> m_input{};
  std::string m_begin; // of the first answer
};

CallerCrowd::CallerCrowd(asio::io_context& aLoop,
                         const Tcp::endpoint& aRouter,
                         const CrowdScript& aScript,
                         std::size_t aCallers)
{
  const auto script = std::make_shared<const CrowdScript>(aScript);
  for (std::size_t i = 0; i < aCallers; ++i) {
    m_members.push_back(std::make_shared<Member>(aLoop, aRouter, script));
    m_members.back()->Connect();
  }
}

CallerCrowd::~CallerCrowd()
{
  for (const auto& member : m_members) {
    member->Close();
  }
}

bool
CallerCrowd::IsSettled() const
{
  return std::all_of(m_members.begin(),
                     m_members.end(),
                     [](const auto& aMember) { return aMember->IsSettled(); });
}

std::size_t
CallerCrowd::Open() const
{
  return static_cast<std::size_t>(
    std::count_if(m_members.begin(), m_members.end(), [](const auto& aMember) {
      return aMember->IsOpen();
    }));
}

std::size_t
CallerCrowd::Answered(const std::string& aStatus) const
{
  return static_cast<std::size_t>(std::count_if(
    m_members.begin(), m_members.end(), [&aStatus](const auto& aMember) {
      return aMember->HasAnswer(aStatus);
    }));
}

} // namespace walnutwing::standin
