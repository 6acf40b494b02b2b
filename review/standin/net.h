#ifndef WALNUTWING_REVIEW_STANDIN_NET_H_
#define WALNUTWING_REVIEW_STANDIN_NET_H_

// Blocking TCP and a minimal HTTP/1.1, for the stand-ins of the review. One
// thread serves one connection.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

// A TCP connection that closes its socket when it is destroyed.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to "IP:port". Returns null if that fails.
  static std::unique_ptr<Connection> Open(const std::string& aAddress);

  bool Send(std::string_view aBytes) const;

  // Waits for more bytes, for aTimeoutMs at most. Returns false after the end
  // of the connection, an error or the timeout; TimedOut tells which.
  bool Receive(int aTimeoutMs);
  bool TimedOut() const { return m_timedOut; }

  // Received bytes that are not consumed yet.
  std::string& Input() { return m_input; }

private:
  int m_descriptor;
  std::string m_input;
  bool m_timedOut = false;
};

struct Message
{
  std::string m_startLine;
  std::map<std::string, std::string> m_fields; // names in lower case
  std::string m_body;

  // The value of a field; "" if there is none.
  std::string Field(const std::string& aName) const;
};

// Reads one request with a length or without a body. Returns nothing at the end
// of the connection.
std::optional<Message>
ReadRequest(Connection& aConnection);

enum class ResponseEnd
{
  Complete,
  Broken,   // the connection ended before the response
  TimedOut, // nothing came for the given time
};

struct Response
{
  ResponseEnd m_end = ResponseEnd::Broken;
  int m_status = 0; // 0: no head has arrived
  Message m_message;

  bool CloseStated() const
  {
    return m_message.Field("connection").find("close") != std::string::npos;
  }
};

// Reads one response with a length or in chunks. Stops early, as after a break
// of the connection, once aStop holds.
Response
ReadResponse(Connection& aConnection,
             int aSilenceMs,
             const std::function<bool()>& aStop = nullptr);

// Accepts connections at an address and serves each in a thread of its own.
class Server
{
public:
  using Serve = std::function<void(Connection&)>;
  Server(std::string aAddress, Serve aServe);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Listening() const { return m_descriptor >= 0; }

private:
  std::string m_address;
  Serve m_serve;
  int m_descriptor = -1;
};

// Whether nothing listens at "IP:port".
bool
IsFree(const std::string& aAddress);

} // namespace review

#endif // WALNUTWING_REVIEW_STANDIN_NET_H_
