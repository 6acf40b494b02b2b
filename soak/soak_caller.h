#ifndef WALNUTWING_SOAK_SOAK_CALLER_H_
#define WALNUTWING_SOAK_SOAK_CALLER_H_

// A caller of the soak. It sends one request at a time, keeps its connection
// for as long as the router does, and checks every response.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "soak/guarantee_checker.h"

namespace walnutwing::soak {

struct SoakCallerOptions
{
  std::string m_name;                 // unique; the prefix of its attempt ids
  std::vector<std::string> m_routers; // addresses, "IP:port"
  std::uint64_t m_seed = 1;
  bool m_longStreams = false; // whether it asks for them too
  // Whether it sends an order again, under the same id and to any router, if
  // its connection was reset before a byte of the answer came: as a caller does
  // that takes it for unread. Only where nothing but a router resets.
  bool m_repeatsResetOrders = false;
  // Returns the newest configuration version and the one before it, for
  // OnlyVersion requests.
  std::function<std::pair<std::uint64_t, std::uint64_t>()> m_versions;
  std::function<void(const SoakRequest&, RequestOutcome, Time)> m_onRequestEnd;
};

class SoakCaller
{
public:
  SoakCaller(boost::asio::io_context& aLoop, SoakCallerOptions aOptions);

  void Start();
  // Ends after the request in progress.
  void Stop() { m_stopping = true; }
  bool Ended() const { return m_ended; }

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ScheduleNextRequest();
  void BeginRequest();
  void BeginTakeUp();
  void Connect();
  void Send();
  void Write(std::string aText);
  void WriteLater(const std::string& aText);
  void Read();
  void OnRead(const boost::system::error_code& aError);
  RequestOutcome Classify() const;
  void Finish(RequestOutcome aOutcome, bool aKeepConnection);
  void Close();
  void StartTimeout();

  boost::asio::io_context& m_loop;
  SoakCallerOptions m_options;
  std::mt19937_64 m_random;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_pauseTimer;
  boost::asio::steady_timer m_timeoutTimer;
  bool m_connected = false;
  bool m_stopping = false;
  bool m_repeatsOrder = false; // the next request is the order that was reset
  bool m_ended = false;
  std::uint32_t m_router = 0;
  std::uint64_t m_requestCount = 0;
  std::uint64_t m_generation = 0; // of the request; older callbacks are ignored
  SoakRequest m_currentRequest;
  std::string m_taken; // whole events of a stream that is to be taken up
  std::string m_requestText;
  boost::beast::flat_buffer m_input;
  std::optional<Parser> m_parser;
};

// The outcome of a response to aRequest. Public for tests.
RequestOutcome
ClassifyResponse(const SoakRequest& aRequest,
                 unsigned aStatus,
                 const std::string& aBody);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_SOAK_CALLER_H_
