#ifndef WALNUTWING_ROUTER_INPUT_BUFFER_H_
#define WALNUTWING_ROUTER_INPUT_BUFFER_H_

// The received bytes of a connection that its parser has not consumed yet.
//
// A parser consumes a body while it arrives, but needs all of a head, of the
// line before a chunk, or of the trailers at once, and their sender may never
// end them. So the buffer has a limit. A parser that needs more than a full
// buffer holds has received no HTTP message, and the connection is of no use.

#include <algorithm>
#include <cstddef>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace walnutwing::router {

// Also the limit of a response's head.
inline constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;

// A DynamicBuffer, as Boost.Beast's read functions require: they report
// buffer_overflow when it is full.
class InputBuffer : public boost::beast::flat_buffer
{
public:
  InputBuffer()
    : basic_flat_buffer(kMaxUnparsedBytes)
  {
  }

  // Raises the limit for a sender that may send longer heads.
  void AllowHead(std::size_t aBytes)
  {
    max_size(std::max(kMaxUnparsedBytes, aBytes));
  }

  bool IsFull() const { return size() >= max_size(); }

  // Space for up to aBytes more, as far as the limit allows.
  boost::asio::mutable_buffer PrepareUpTo(std::size_t aBytes)
  {
    return prepare(std::min(aBytes, max_size() - size()));
  }
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_INPUT_BUFFER_H_
