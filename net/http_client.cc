// h2o's HTTP/1.1 client calls back when it has connected, received the head,
// received a piece of the body, or failed. The user's handle and h2o share
// ownership of a CallState, so that either may release it first. After the user
// has cancelled the call, the callbacks return the value that makes h2o close
// the connection.
//
// h2o's client reads a head, interim responses and the frames of chunks for as
// long as the server sends any, and keeps a head in memory meanwhile. So after
// each iteration of the loop the heads that are being read are checked, and
// regularly what a connection has received is compared with what of it was a
// body. Calls whose server sends too much else are ended.

#include "net/http_client.h"

#include <array>
#include <charconv>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "net/h2o.h"
#include "net/socket_bytes.h"

namespace walnutwing::net {
namespace {

// Callers enforce their own deadlines; this only bounds calls that have none.
constexpr std::uint64_t kIoTimeoutMs = 600'000;
constexpr std::uint64_t kPoolIdleTimeoutMs = 5'000;
constexpr std::size_t kPoolMaxConnections = 4096;
constexpr std::string_view kMissingLengthError =
  "the response declares no length";
constexpr std::string_view kNoResponseError = "bytes that are no response";
// What the kernel may hold for a connection, and so what one read brings.
constexpr int kReceiveBufferBytes = 256 * 1024;
constexpr std::size_t kMaxHeadBytes = std::size_t{ 64 } * 1024;
constexpr Duration kInputCheckInterval = std::chrono::milliseconds(10);
// What a response may have beside its body: heads, trailers, and for each byte
// of the body the frame of a chunk of its own.
constexpr std::uint64_t kMaxOtherBytes = 256U << 10U;
constexpr std::uint64_t kMaxFrameFactor = 8;

constexpr std::array<std::string_view, 4> kStageNames = { "not sent",
                                                          "sent",
                                                          "head seen",
                                                          "complete" };

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

std::string
SerializeRequest(const CallRequest& aRequest)
{
  std::string serialized =
    aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
  serialized += "host: " + aRequest.m_endpoint.ToString() + "\r\n";
  for (const Header& header : aRequest.m_headers.All()) {
    serialized += header.m_name + ": " + header.m_value + "\r\n";
  }
  if (aRequest.m_freshConnection) {
    serialized += "connection: close\r\n";
  }
  if (!aRequest.m_body.empty() || aRequest.m_method == "POST") {
    serialized +=
      "content-length: " + std::to_string(aRequest.m_body.size()) + "\r\n";
  }
  serialized += "\r\n";
  serialized += aRequest.m_body;
  return serialized;
}

class CallState
{
public:
  CallState(CallRequest aRequest, CallCallbacks aCallbacks)
    : m_request(std::move(aRequest))
    , m_callbacks(std::move(aCallbacks))
    , m_requestBytes(SerializeRequest(m_request))
  {
  }

  const CallRequest& Request() const { return m_request; }

  // Connects. m_self keeps this state alive for h2o until the call has ended.
  void Connect(std::shared_ptr<CallState> aSelf,
               h2o_http1client_ctx_t* aContext,
               h2o_socketpool_t* aPool)
  {
    m_self = std::move(aSelf);
    if (aPool != nullptr) {
      h2o_http1client_connect_with_pool(
        &m_client, this, aContext, aPool, OnConnect);
      return;
    }
    const h2o_iovec_t host = h2o_iovec_init(m_request.m_endpoint.m_ip.data(),
                                            m_request.m_endpoint.m_ip.size());
    h2o_http1client_connect(&m_client,
                            this,
                            aContext,
                            host,
                            m_request.m_endpoint.m_port,
                            0,
                            OnConnect);
  }

  void Cancel()
  {
    m_cancelled = true;
    if (m_insideCallback || m_client == nullptr) {
      return;
    }
    h2o_http1client_cancel(std::exchange(m_client, nullptr));
    m_self.reset();
  }

  bool Cancelled() const { return m_cancelled; }
  bool Connected() const { return m_connected; }

  // Ends the call if the head that it is reading is too long.
  void CheckHead()
  {
    if (m_client == nullptr || !m_connected || m_headSeen ||
        m_client->sock->input->size <= kMaxHeadBytes) {
      return;
    }
    EndForWantOfResponse();
  }

  // Ends the call if its server has sent too much that is no response.
  void CheckInput()
  {
    if (m_client == nullptr || !m_connected || m_paused) {
      return;
    }
    const auto read = BytesRead(h2o_socket_get_fd(m_client->sock));
    const std::uint64_t mostForBody = m_delivered * (1 + kMaxFrameFactor);
    if (!read || *read - m_readBefore <= kMaxOtherBytes + mostForBody) {
      return;
    }
    EndForWantOfResponse();
  }

  void Pause()
  {
    m_paused = true;
    if (m_client == nullptr || m_client->sock == nullptr ||
        !h2o_socket_is_reading(m_client->sock)) {
      return;
    }
    m_readCallback = m_client->sock->_cb.read;
    h2o_socket_read_stop(m_client->sock);
  }

  void Resume()
  {
    m_paused = false;
    if (m_client == nullptr || m_readCallback == nullptr) {
      return;
    }
    h2o_socket_read_start(m_client->sock,
                          std::exchange(m_readCallback, nullptr));
  }

private:
  static CallState& StateOf(h2o_http1client_t* aClient)
  {
    return *static_cast<CallState*>(aClient->data);
  }

  // Runs a user callback. A Cancel from within it only sets m_cancelled, so
  // that h2o's client and this object stay valid until the h2o callback
  // returns.
  template<typename Function>
  void RunCallback(Function aFunction)
  {
    m_insideCallback = true;
    aFunction();
    m_insideCallback = false;
  }

  void EndForWantOfResponse()
  {
    h2o_http1client_cancel(std::exchange(m_client, nullptr));
    EndCall(m_headSeen ? CallStage::HeadSeen : CallStage::Sent,
            std::string(kNoResponseError));
  }

  // Runs the last callback. h2o frees the client when its own callback returns.
  void EndCall(CallStage aStage, std::string aError)
  {
    const std::shared_ptr<CallState> self = std::move(m_self);
    m_client = nullptr;
    if (m_cancelled) {
      return;
    }
    RunCallback([&] { m_callbacks.m_onEnd({ aStage, std::move(aError) }); });
  }

  // For h2o callbacks whose return value makes h2o close the connection after a
  // cancel.
  void ReleaseClient()
  {
    m_client = nullptr;
    m_self.reset();
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* aClient,
                                           const char* aError,
                                           h2o_iovec_t** aBuffers,
                                           std::size_t* aCount,
                                           int* aMethodIsHead)
  {
    CallState& state = StateOf(aClient);
    if (aError != nullptr) {
      state.EndCall(CallStage::NotSent, aError);
      return nullptr;
    }
    if (state.m_callbacks.m_onConnected) {
      state.RunCallback([&] { state.m_callbacks.m_onConnected(); });
    }
    if (state.m_cancelled) {
      state.ReleaseClient();
      return nullptr;
    }
    state.m_connected = true;
    const int descriptor = h2o_socket_get_fd(aClient->sock);
    setsockopt(descriptor,
               SOL_SOCKET,
               SO_RCVBUF,
               &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    state.m_readBefore = BytesRead(descriptor).value_or(0);
    state.m_buffer =
      h2o_iovec_init(state.m_requestBytes.data(), state.m_requestBytes.size());
    *aBuffers = &state.m_buffer;
    *aCount = 1;
    *aMethodIsHead = state.m_request.m_method == "HEAD" ? 1 : 0;
    return OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* aClient,
                                        const char* aError,
                                        int,
                                        int aStatus,
                                        h2o_iovec_t,
                                        h2o_header_t* aHeaders,
                                        std::size_t aCount,
                                        int)
  {
    CallState& state = StateOf(aClient);
    const bool ended = aError == h2o_http1client_error_is_eos;
    if (aError != nullptr && !ended) {
      state.EndCall(CallStage::Sent, aError);
      return nullptr;
    }
    const Headers headers = state.ReadHead(aHeaders, aCount);
    state.m_headSeen = true;
    state.RunCallback([&] { state.m_callbacks.m_onHead(aStatus, headers); });
    if (state.m_cancelled) {
      state.ReleaseClient();
      return nullptr;
    }
    if (ended) {
      state.EndCall(CallStage::Complete, "");
      return nullptr;
    }
    return OnBody;
  }

  static int OnBody(h2o_http1client_t* aClient, const char* aError)
  {
    CallState& state = StateOf(aClient);
    h2o_buffer_t* input = aClient->sock->input;
    const bool ended = aError == h2o_http1client_error_is_eos;
    if ((aError == nullptr || ended) && input->size != 0) {
      const std::string_view piece(input->bytes, input->size);
      state.m_delivered += piece.size();
      state.RunCallback([&] { state.m_callbacks.m_onBody(piece); });
      h2o_buffer_consume(&aClient->sock->input, piece.size());
    }
    if (state.m_cancelled) {
      state.ReleaseClient();
      return -1;
    }
    if (ended && state.m_hasLength) {
      state.EndCall(CallStage::Complete, "");
    } else if (ended) {
      state.EndCall(CallStage::HeadSeen, std::string(kMissingLengthError));
    } else if (aError != nullptr) {
      state.EndCall(CallStage::HeadSeen, aError);
    } else if (state.m_paused) {
      // Applies a pause that was requested in m_onHead, since h2o starts to
      // read the body only after that callback.
      state.Pause();
    }
    return 0;
  }

  Headers ReadHead(const h2o_header_t* aHeaders, std::size_t aCount)
  {
    Headers headers;
    for (std::size_t i = 0; i < aCount; ++i) {
      const h2o_iovec_t& name = *aHeaders[i].name;
      const h2o_iovec_t& value = aHeaders[i].value;
      headers.Add(LowerCase({ name.base, name.len }),
                  std::string(value.base, value.len));
    }
    // h2o reads a body in any other transfer encoding until the end of the
    // connection.
    m_hasLength = headers.Find("content-length") ||
                  headers.Find("transfer-encoding") == "chunked";
    return headers;
  }

  CallRequest m_request;
  CallCallbacks m_callbacks;
  std::string m_requestBytes;
  h2o_iovec_t m_buffer{};
  h2o_http1client_t* m_client = nullptr;
  h2o_socket_cb m_readCallback = nullptr;
  std::shared_ptr<CallState> m_self; // the reference that h2o holds
  std::uint64_t m_readBefore = 0;    // on the connection, before this call
  std::uint64_t m_delivered = 0;     // of the body
  bool m_insideCallback = false;
  bool m_cancelled = false;
  bool m_connected = false;
  bool m_headSeen = false;
  bool m_paused = false;
  bool m_hasLength = false;
};

class CallHandle : public Call
{
public:
  explicit CallHandle(std::shared_ptr<CallState> aState)
    : m_state(std::move(aState))
  {
  }
  ~CallHandle() override { m_state->Cancel(); }
  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;

  void Pause() override { m_state->Pause(); }
  void Resume() override { m_state->Resume(); }
  bool HasSent() const override { return m_state->Connected(); }

private:
  std::shared_ptr<CallState> m_state;
};

} // namespace

std::string_view
NameOf(CallStage aStage)
{
  return kStageNames.at(static_cast<std::size_t>(aStage));
}

class HttpClient::Impl
{
public:
  explicit Impl(EventLoop& aLoop)
    : m_loop(aLoop)
  {
    h2o_timeout_init(m_loop.Raw(), &m_ioTimeout, kIoTimeoutMs);
    m_context.loop = m_loop.Raw();
    m_context.io_timeout = &m_ioTimeout;
    m_loop.AfterEachIteration([this] { CheckHeads(); });
  }

  std::unique_ptr<Call> Start(CallRequest aRequest, CallCallbacks aCallbacks)
  {
    auto state =
      std::make_shared<CallState>(std::move(aRequest), std::move(aCallbacks));
    m_calls.push_back(state);
    if (m_inputCheck == 0) {
      m_inputCheck =
        m_loop.Every(kInputCheckInterval, [this] { CheckInputs(); });
    }
    m_loop.After(Duration::zero(), [this, state] {
      if (state->Cancelled()) {
        return;
      }
      const CallRequest& request = state->Request();
      state->Connect(state,
                     &m_context,
                     request.m_freshConnection
                       ? nullptr
                       : GetOrCreatePool(request.m_endpoint));
    });
    return std::make_unique<CallHandle>(std::move(state));
  }

private:
  void CheckHeads()
  {
    ForEachCall([](CallState& aCall) { aCall.CheckHead(); });
  }

  void CheckInputs()
  {
    std::erase_if(m_calls, [](const auto& aCall) { return aCall.expired(); });
    if (m_calls.empty()) {
      m_loop.Cancel(std::exchange(m_inputCheck, 0));
      return;
    }
    ForEachCall([](CallState& aCall) { aCall.CheckInput(); });
  }

  // By index, as callbacks may start further calls.
  template<typename Function>
  void ForEachCall(Function aFunction)
  {
    for (std::size_t i = 0; i < m_calls.size(); ++i) {
      if (const std::shared_ptr<CallState> call = m_calls[i].lock()) {
        aFunction(*call);
      }
    }
  }

  h2o_socketpool_t* GetOrCreatePool(const Endpoint& aEndpoint)
  {
    std::unique_ptr<h2o_socketpool_t>& pool = m_pools[aEndpoint];
    if (pool == nullptr) {
      pool = std::make_unique<h2o_socketpool_t>();
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(aEndpoint.m_port);
      inet_pton(AF_INET, aEndpoint.m_ip.c_str(), &address.sin_addr);
      h2o_socketpool_init_by_address(pool.get(),
                                     reinterpret_cast<sockaddr*>(&address),
                                     sizeof(address),
                                     0,
                                     kPoolMaxConnections);
      h2o_socketpool_set_timeout(pool.get(), m_loop.Raw(), kPoolIdleTimeoutMs);
    }
    return pool.get();
  }

  EventLoop& m_loop;
  std::vector<std::weak_ptr<CallState>> m_calls;
  TimerId m_inputCheck = 0; // runs while there are calls
  h2o_timeout_t m_ioTimeout{};
  h2o_http1client_ctx_t m_context{};
  std::map<Endpoint, std::unique_ptr<h2o_socketpool_t>> m_pools;
};

HttpClient::HttpClient(EventLoop& aLoop)
  : m_impl(std::make_unique<Impl>(aLoop))
{
}

// Leaks m_impl on purpose: its pools and timeout are linked into h2o's loop,
// which exists until the process ends.
HttpClient::~HttpClient()
{
  static_cast<void>(m_impl.release());
}

std::unique_ptr<Call>
HttpClient::Start(CallRequest aRequest, CallCallbacks aCallbacks)
{
  return m_impl->Start(std::move(aRequest), std::move(aCallbacks));
}

namespace {

// Buffers one response; ends the call on a timeout or if the body is too large.
class BufferedCall : public Call
{
public:
  BufferedCall(HttpClient& aClient,
               EventLoop& aLoop,
               CallRequest aRequest,
               Duration aTimeout,
               std::size_t aMaxBytes,
               std::function<void(HttpResponse)> aDone)
    : m_loop(aLoop)
    , m_maxBytes(aMaxBytes)
    , m_done(std::move(aDone))
  {
    m_timer = m_loop.After(aTimeout, [this] { EndEarly("timeout"); });
    m_call =
      aClient.Start(std::move(aRequest),
                    { [this](int aStatus, const Headers& aHeaders) {
                       m_response.m_status = aStatus;
                       m_response.m_headers = aHeaders;
                       m_response.m_end.m_stage = CallStage::HeadSeen;
                     },
                      [this](std::string_view aPiece) { OnBody(aPiece); },
                      [this](const CallEnd& aEnd) {
                        m_response.m_end = aEnd;
                        Report();
                      } });
  }

  ~BufferedCall() override { m_loop.Cancel(m_timer); }
  BufferedCall(const BufferedCall&) = delete;
  BufferedCall& operator=(const BufferedCall&) = delete;

  void Pause() override { m_call->Pause(); }
  void Resume() override { m_call->Resume(); }
  bool HasSent() const override { return m_call->HasSent(); }

private:
  void OnBody(std::string_view aPiece)
  {
    if (m_response.m_body.size() + aPiece.size() > m_maxBytes) {
      EndEarly("response too large");
      return;
    }
    m_response.m_body.append(aPiece);
  }

  // It is not known here whether any byte was sent, so the stage is at least
  // Sent.
  void EndEarly(const char* aError)
  {
    m_call.reset();
    m_response.m_end.m_error = aError;
    if (m_response.m_end.m_stage == CallStage::NotSent) {
      m_response.m_end.m_stage = CallStage::Sent;
    }
    Report();
  }

  // The callback may destroy this object.
  void Report()
  {
    m_loop.Cancel(m_timer);
    const std::function<void(HttpResponse)> done = std::move(m_done);
    done(std::move(m_response));
  }

  EventLoop& m_loop;
  std::size_t m_maxBytes;
  std::function<void(HttpResponse)> m_done;
  HttpResponse m_response;
  TimerId m_timer = 0;
  std::unique_ptr<Call> m_call;
};

} // namespace

std::unique_ptr<Call>
FetchResponse(HttpClient& aClient,
              EventLoop& aLoop,
              CallRequest aRequest,
              Duration aTimeout,
              std::size_t aMaxBytes,
              std::function<void(HttpResponse)> aDone)
{
  return std::make_unique<BufferedCall>(
    aClient, aLoop, std::move(aRequest), aTimeout, aMaxBytes, std::move(aDone));
}

} // namespace walnutwing::net
