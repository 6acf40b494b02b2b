#ifndef WALNUTWING_ROUTER_CALLER_BODY_H_
#define WALNUTWING_ROUTER_CALLER_BODY_H_

// The body of a caller's request while it is received. Its memory grows with
// what has arrived, whatever length the caller has stated, and by half at a
// time, so that what it costs stays close to what it holds.

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace walnutwing::router {

// Makes room for aSize bytes in all. aLength: how long the body will be, if it
// is known.
inline void
GrowBody(std::string& aBody,
         std::size_t aSize,
         const boost::optional<std::uint64_t>& aLength)
{
  constexpr std::size_t kMinCapacity = 1U << 10U;
  if (aSize <= aBody.capacity()) {
    return;
  }
  std::size_t capacity =
    std::max({ aSize, aBody.capacity() + aBody.capacity() / 2, kMinCapacity });
  if (aLength && *aLength >= aSize) {
    capacity = std::min<std::uint64_t>(capacity, *aLength);
  }
  std::string grown; // reserve of a longer string would double it at least
  grown.reserve(capacity);
  grown += aBody;
  aBody = std::move(grown);
}

// Meets Boost.Beast's requirements of a Body with a BodyReader, which include
// these names.
// NOLINTBEGIN(readability-identifier-naming)
struct CallerBody
{
  using value_type = std::string;

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*aHead*/,
           value_type& aBody)
      : m_body(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength,
              boost::beast::error_code& aError)
    {
      m_length = aLength;
      aError = {};
    }

    template<class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& aBuffers,
                    boost::beast::error_code& aError)
    {
      aError = {};
      const std::size_t size = boost::asio::buffer_size(aBuffers);
      GrowBody(m_body, m_body.size() + size, m_length);
      for (const boost::asio::const_buffer buffer :
           boost::beast::buffers_range_ref(aBuffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return size;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
    boost::optional<std::uint64_t> m_length;
  };
};
// NOLINTEND(readability-identifier-naming)

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_CALLER_BODY_H_
