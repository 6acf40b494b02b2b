#ifndef WALNUTWING_NET_HTTP_CLIENT_H_
#define WALNUTWING_NET_HTTP_CLIENT_H_

// An HTTP/1.1 client over h2o's. An answer arrives piece by piece; reading can
// be paused, so that a slow caller holds its upstream back.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace walnutwing::net {

// How far a call got before it ended. What follows from it: NotSent is a
// certain "not run"; anything later is not.
enum class CallStage
{
  NotSent,  // no connection was made: no byte of the request has left
  Sent,     // the request, or part of it, may have arrived
  HeadSeen, // the answer had begun
  Complete, // the answer arrived whole
};

std::string_view
NameOf(CallStage aStage);

struct CallEnd
{
  CallStage m_stage = CallStage::NotSent;
  std::string m_error; // empty when Complete
};

// What a call reports. OnEnd is the last call and is made once, unless the call
// was cancelled. Any of these may cancel the call.
struct CallCallbacks
{
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  std::function<void(std::string_view aPiece)> m_onBody;
  std::function<void(const CallEnd& aEnd)> m_onEnd;
};

struct CallRequest
{
  Endpoint m_endpoint;
  std::string m_method = "GET";
  std::string m_target = "/"; // path and query
  Headers m_headers;          // host and content-length are added
  std::string m_body;
  // A connection of its own, closed afterwards. A pooled connection may be
  // dead, or hold an answer to an earlier request; an order must not depend on
  // it.
  bool m_freshConnection = false;
};

// A call in progress. Destroying it cancels it: the connection is closed and no
// callback follows.
class Call
{
public:
  virtual ~Call() = default;
  // Stops reading from the connection until Resume. A piece that has been read
  // already may still be reported.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. Callbacks come from later turns of the loop, never from
  // within Start.
  std::unique_ptr<Call> Start(CallRequest aRequest, CallCallbacks aCallbacks);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// A whole answer, for calls whose body is small.
struct HttpResponse
{
  CallEnd m_end;
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
};

// Starts a call and reports its whole answer once. Bodies over aMaxBytes end
// the call with the error "answer too large". aTimeout ends it with "timeout".
std::unique_ptr<Call>
FetchResponse(HttpClient& aClient,
              EventLoop& aLoop,
              CallRequest aRequest,
              Duration aTimeout,
              std::size_t aMaxBytes,
              std::function<void(HttpResponse)> aDone);

} // namespace walnutwing::net

#endif // WALNUTWING_NET_HTTP_CLIENT_H_
