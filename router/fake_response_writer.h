#ifndef WALNUTWING_ROUTER_FAKE_RESPONSE_WRITER_H_
#define WALNUTWING_ROUTER_FAKE_RESPONSE_WRITER_H_

// A caller's side that keeps what it is given, for tests.

#include <optional>
#include <string>
#include <string_view>

#include "router/response_writer.h"

namespace walnutwing::router {

class FakeResponseWriter : public ResponseWriter
{
public:
  void Begin(std::string aHead, std::optional<std::uint64_t> aLength) override
  {
    m_head = std::move(aHead);
    m_length = aLength;
  }
  void Write(std::string_view aPiece) override { m_body += aPiece; }
  void End() override { m_ended = true; }
  void Abort() override { m_aborted = true; }
  std::size_t PendingBytes() const override { return m_pendingBytes; }

  std::string m_head; // "" until Begin
  std::optional<std::uint64_t> m_length;
  std::string m_body;
  bool m_ended = false;
  bool m_aborted = false;
  std::size_t m_pendingBytes = 0;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_FAKE_RESPONSE_WRITER_H_
