#ifndef WALNUTWING_ROUTER_STORE_CHANNEL_H_
#define WALNUTWING_ROUTER_STORE_CHANNEL_H_

// One kept connection to the platform's store, with one call at a time. A call
// that is not answered in time closes the connection: an answer may be lost,
// and then nothing further comes on it.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "platform/store_codec.h"
#include "router/asio.h"

namespace walnutwing::router {

struct StoreAnswer
{
  int m_status = 0; // 0: no answer, and the call may take effect yet
  std::string m_body;
  std::string m_error; // why there is none
};

class StoreChannel : public std::enable_shared_from_this<StoreChannel>
{
public:
  using Done = std::function<void(StoreAnswer)>;

  StoreChannel(Loop& aLoop, Tcp::endpoint aStore);
  StoreChannel(const StoreChannel&) = delete;
  StoreChannel& operator=(const StoreChannel&) = delete;

  // One call at a time. aDone comes from a later turn of the loop.
  void Call(const platform::StoreRequest& aCall, Duration aTimeout, Done aDone);

  std::uint64_t Calls() const { return m_calls; }
  std::uint64_t BytesRead() const { return m_bytesRead; }

private:
  void SetTimeout();
  void Connect();
  void Write();
  void Read();
  void End(StoreAnswer aAnswer, bool aKeep);

  Socket m_socket;
  Timer m_timer;
  Timer m_connectTimer;
  Tcp::endpoint m_store;
  bool m_connected = false;
  std::string m_request;
  Duration m_timeout{}; // without a byte
  boost::beast::flat_buffer m_input;
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::string_body>>
    m_parser;
  Done m_done;
  std::uint64_t m_turn = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_bytesRead = 0;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STORE_CHANNEL_H_
