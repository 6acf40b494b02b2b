#ifndef WALNUTWING_ROUTER_PIECE_BODY_H_
#define WALNUTWING_ROUTER_PIECE_BODY_H_

// The body of a message that is passed on while it is received. The parser
// appends what it reads to a string, which its owner empties after each read.
//
// Unlike the string_body of Boost.Beast it reserves no memory for the stated
// Content-Length: that is whatever the sender claims, and a reservation that
// fails throws.

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace walnutwing::router {

// Meets Boost.Beast's requirements of a Body with a BodyReader, which include
// these names.
// NOLINTBEGIN(readability-identifier-naming)
struct PieceBody
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

    void init(const boost::optional<std::uint64_t>& /*aLength*/,
              boost::beast::error_code& aError)
    {
      aError = {};
    }

    template<class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& aBuffers,
                    boost::beast::error_code& aError)
    {
      aError = {};
      std::size_t size = 0;
      for (const boost::asio::const_buffer buffer :
           boost::beast::buffers_range_ref(aBuffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
  };
};
// NOLINTEND(readability-identifier-naming)

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_PIECE_BODY_H_
