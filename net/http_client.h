#ifndef WALNUTWING_NET_HTTP_CLIENT_H_
#define WALNUTWING_NET_HTTP_CLIENT_H_

// An HTTP/1.1 client on top of h2o's. A response body is delivered in pieces.
// Reading can be paused, which applies backpressure from a slow caller to its
// upstream. A server that sends heads, trailers or frames of chunks without end
// ends its call.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace walnutwing::net {

// How far a call got before it ended. Only NotSent proves that the server has
// not processed the request and will not do so.
enum class CallStage
{
  NotSent,  // no connection was made, so no byte of the request was sent
  Sent,     // the server may have received the request or a part of it
  HeadSeen, // the head of the response was received
  Complete, // the complete response was received
};

std::string_view
NameOf(CallStage aStage);

struct CallEnd
{
  CallStage m_stage = CallStage::NotSent;
  std::string m_error; // empty when Complete
};

// m_onEnd is the last callback and runs exactly once, unless the call is
// cancelled. Any callback may cancel the call.
struct CallCallbacks
{
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  std::function<void(std::string_view aPiece)> m_onBody;
  std::function<void(const CallEnd& aEnd)> m_onEnd;
  // Optional: the connection is made, and no byte of the request was sent yet.
  std::function<void()> m_onConnected{};
};

struct CallRequest
{
  Endpoint m_endpoint;
  std::string m_method = "GET";
  std::string m_target = "/"; // path and query
  Headers m_headers;          // host and content-length are added
  std::string m_body;
  // Whether to open a connection for this request alone and close it
  // afterwards. A pooled connection may be dead or hold the response to an
  // earlier request, which an order must not depend on.
  bool m_freshConnection = false;
};

// A call in progress. Destroying it cancels the call: the connection is closed
// and no further callback runs.
class Call
{
public:
  virtual ~Call() = default;
  // Stops reading from the connection until Resume. A piece that was already
  // read may still be delivered.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
  // Whether bytes of the request may have been sent.
  virtual bool HasSent() const = 0;
};

class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. Callbacks run from the event loop, never from within Start.
  std::unique_ptr<Call> Start(CallRequest aRequest, CallCallbacks aCallbacks);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// A response that is buffered in memory, for small bodies.
struct HttpResponse
{
  CallEnd m_end;
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
};

// Starts a call and passes its response to aDone once, unless the call is
// cancelled. The call fails with the error "response too large" if the body
// exceeds aMaxBytes, and with "timeout" after aTimeout.
std::unique_ptr<Call>
FetchResponse(HttpClient& aClient,
              EventLoop& aLoop,
              CallRequest aRequest,
              Duration aTimeout,
              std::size_t aMaxBytes,
              std::function<void(HttpResponse)> aDone);

} // namespace walnutwing::net

#endif // WALNUTWING_NET_HTTP_CLIENT_H_
