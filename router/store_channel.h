#ifndef WALNUTWING_ROUTER_STORE_CHANNEL_H_
#define WALNUTWING_ROUTER_STORE_CHANNEL_H_

// A persistent HTTP connection to the platform's store, with one call at a
// time. A call that times out closes the connection: its response may be lost,
// and then nothing further arrives on that connection.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/parser.hpp>

#include "platform/store_codec.h"
#include "router/asio.h"
#include "router/input_buffer.h"
#include "router/piece_body.h"

namespace walnutwing::router {

struct StoreResponse
{
  int m_status = 0; // 0: no response; the call may still take effect
  std::string m_body;
  std::string m_error;                // why there is no response
  std::optional<std::uint64_t> m_era; // of the store, if it states one
};

class StoreChannel : public std::enable_shared_from_this<StoreChannel>
{
public:
  using Callback = std::function<void(StoreResponse)>;

  StoreChannel(Loop& aLoop, Tcp::endpoint aStore);
  StoreChannel(const StoreChannel&) = delete;
  StoreChannel& operator=(const StoreChannel&) = delete;

  // Must not be called while a call is in flight. aCallback is never called
  // from within Call. aTimeout bounds the time without any progress of the
  // response. A response that is too long, or takes too long once it has begun,
  // fails.
  void Call(const platform::StoreRequest& aCall,
            Duration aTimeout,
            Callback aCallback);

  // Calls made and bytes received since the start.
  std::uint64_t Calls() const { return m_calls; }
  std::uint64_t BytesRead() const { return m_bytesRead; }

private:
  void SetTimeout();
  void Connect();
  void Write();
  void Read();
  void OnRead(const error_code& aError, std::size_t aBytes);
  void OnComplete();
  void SetResponseTimer();
  void KeepBody();
  void Finish(StoreResponse aResponse, bool aKeepOpen);

  Socket m_socket;
  Timer m_timer;
  Timer m_connectTimer;
  Timer m_responseTimer; // from the first byte on
  Tcp::endpoint m_store;
  bool m_connected = false;
  std::string m_request;
  Duration m_timeout{}; // without receiving a byte
  InputBuffer m_input;
  std::optional<boost::beast::http::response_parser<PieceBody>> m_parser;
  // In pieces, as a string that grows needs twice its memory for a moment.
  std::vector<std::string> m_body;
  bool m_responseBegun = false;
  Callback m_callback;
  std::uint64_t m_generation = 0; // handlers of earlier calls do nothing
  std::uint64_t m_calls = 0;
  std::uint64_t m_bytesRead = 0;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STORE_CHANNEL_H_
