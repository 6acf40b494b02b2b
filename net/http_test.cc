#include "net/http_client.h"
#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace walnutwing::net {
namespace {

constexpr int kMaxIterations = 20'000;

// Runs the loop until aCondition holds or kMaxIterations have passed.
bool
RunUntil(EventLoop& aLoop, const std::function<bool()>& aCondition)
{
  for (int i = 0; i < kMaxIterations && !aCondition(); ++i) {
    aLoop.RunOnce(std::chrono::milliseconds(1));
  }
  return aCondition();
}

Endpoint
Loopback(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

struct ClientAndServer
{
  explicit ClientAndServer(RequestHandler aHandler)
    : m_server(m_loop, Loopback(0), {}, std::move(aHandler))
    , m_client(m_loop)
  {
  }

  CallRequest RequestTo(std::string aTarget)
  {
    CallRequest request;
    request.m_endpoint = Loopback(m_server.Port());
    request.m_target = std::move(aTarget);
    return request;
  }

  HttpResponse Fetch(CallRequest aRequest)
  {
    HttpResponse response;
    bool done = false;
    const std::unique_ptr<Call> call =
      FetchResponse(m_client,
                    m_loop,
                    std::move(aRequest),
                    std::chrono::seconds(20),
                    1U << 26U,
                    [&](HttpResponse aResponse) {
                      response = std::move(aResponse);
                      done = true;
                    });
    EXPECT_TRUE(RunUntil(m_loop, [&] { return done; }));
    return response;
  }

  EventLoop m_loop;
  HttpServer m_server;
  HttpClient m_client;
};

TEST(Endpoint, ParseAcceptsOnlyIpv4AddressAndPort)
{
  const struct
  {
    std::string_view m_text;
    bool m_valid;
  } cases[] = {
    { "127.0.0.1:80", true }, { "127.0.0.1", false },
    { "host:80", false },     { "127.0.0.1:", false },
    { "127.0.0.1:x", false }, { "127.0.0.1:70000", false },
  };
  for (const auto& test : cases) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(test.m_text);
    EXPECT_EQ(test.m_valid, endpoint.has_value()) << test.m_text;
    if (endpoint) {
      EXPECT_EQ(test.m_text, endpoint->ToString());
    }
  }
}

TEST(QueryValue, FindsTheNamedValue)
{
  EXPECT_EQ("2", QueryValue("a=1&b=2", "b"));
  EXPECT_EQ("", QueryValue("a=&b", "b"));
  EXPECT_EQ(std::nullopt, QueryValue("a=1", "b"));
  EXPECT_EQ(std::nullopt, QueryValue("", "b"));
}

TEST(Http, RoundTripKeepsMethodTargetHeadersAndBody)
{
  ClientAndServer pair([](const std::shared_ptr<Exchange>& aExchange) {
    const HttpRequest& request = aExchange->Request();
    aExchange->Respond(
      201,
      { { "x-echo", std::string(request.m_headers.Get("x-ask")) } },
      request.m_method + request.m_path + "?" + request.m_query +
        request.m_body);
  });
  CallRequest request = pair.RequestTo("/p?q=1");
  request.m_method = "POST";
  request.m_headers.Add("x-ask", "v");
  request.m_body = "body";
  const HttpResponse response = pair.Fetch(request);
  EXPECT_EQ(CallStage::Complete, response.m_end.m_stage)
    << response.m_end.m_error;
  EXPECT_EQ(201, response.m_status);
  EXPECT_EQ("v", response.m_headers.Get("x-echo"));
  EXPECT_EQ("POST/p?q=1body", response.m_body);
}

TEST(Http, ReusesPooledConnectionUnlessFreshIsRequested)
{
  ClientAndServer pair([](const std::shared_ptr<Exchange>& aExchange) {
    aExchange->Respond(200, {}, "x");
  });
  EXPECT_EQ(CallStage::Complete, pair.Fetch(pair.RequestTo("/")).m_end.m_stage);
  EXPECT_EQ(CallStage::Complete, pair.Fetch(pair.RequestTo("/")).m_end.m_stage);
  EXPECT_EQ(1U, pair.m_server.OpenConnections());
  CallRequest fresh = pair.RequestTo("/");
  fresh.m_freshConnection = true;
  EXPECT_EQ(CallStage::Complete, pair.Fetch(fresh).m_end.m_stage);
  EXPECT_TRUE(RunUntil(pair.m_loop,
                       [&] { return pair.m_server.OpenConnections() == 1; }));
}

TEST(Http, RefusedConnectionEndsAsNotSent)
{
  std::uint16_t port = 0;
  EventLoop loop;
  {
    HttpServer closedServer(
      loop, Loopback(0), {}, [](const std::shared_ptr<Exchange>&) {});
    port = closedServer.Port();
  }
  ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
  for (const bool fresh : { false, true }) {
    CallRequest request;
    request.m_endpoint = Loopback(port);
    request.m_freshConnection = fresh;
    EXPECT_EQ(CallStage::NotSent, pair.Fetch(request).m_end.m_stage) << fresh;
  }
}

TEST(Http, RequestAfterServerDestructionGets503)
{
  EventLoop loop;
  HttpClient client(loop);
  int handled = 0;
  auto server = std::make_unique<HttpServer>(
    loop,
    Loopback(0),
    HttpServerOptions(),
    [&](const std::shared_ptr<Exchange>& aExchange) {
      ++handled;
      aExchange->Respond(200, {}, "x");
    });
  CallRequest request;
  request.m_endpoint = Loopback(server->Port());
  std::vector<int> statuses;
  for (int i = 0; i < 2; ++i) {
    bool done = false;
    const std::unique_ptr<Call> call =
      FetchResponse(client,
                    loop,
                    request,
                    std::chrono::seconds(20),
                    100,
                    [&](const HttpResponse& aResponse) {
                      statuses.push_back(aResponse.m_status);
                      done = true;
                    });
    EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
    server.reset();
  }
  EXPECT_EQ((std::vector<int>{ 200, 503 }), statuses);
  EXPECT_EQ(1, handled);
}

TEST(Http, AddressInUseThrows)
{
  ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
  EXPECT_THROW(HttpServer(pair.m_loop,
                          Loopback(pair.m_server.Port()),
                          {},
                          [](const std::shared_ptr<Exchange>&) {}),
               std::system_error);
}

TEST(Http, StreamArrivesCompleteAndInOrder)
{
  std::string expected;
  ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
    aExchange->Start(200, { { "content-type", "text/event-stream" } });
    for (int i = 0; i < 5000; ++i) {
      const std::string piece = "data: " + std::to_string(i) + "\n\n";
      expected += piece;
      aExchange->Write(piece);
    }
    aExchange->End();
  });
  const HttpResponse response = pair.Fetch(pair.RequestTo("/"));
  EXPECT_EQ(CallStage::Complete, response.m_end.m_stage)
    << response.m_end.m_error;
  EXPECT_EQ(expected, response.m_body);
}

TEST(Http, AbortedStreamIsNotComplete)
{
  ClientAndServer pair([](const std::shared_ptr<Exchange>& aExchange) {
    aExchange->Start(200, {});
    aExchange->Write("part");
    aExchange->Abort();
  });
  const HttpResponse response = pair.Fetch(pair.RequestTo("/"));
  EXPECT_NE(CallStage::Complete, response.m_end.m_stage);
  EXPECT_FALSE(response.m_end.m_error.empty());
}

// Accepts one connection on a loopback port, reads the request and sends raw
// bytes, then closes the connection.
class RawServer
{
public:
  RawServer()
    : m_listener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t size = sizeof(address);
    EXPECT_EQ(0, bind(m_listener, reinterpret_cast<sockaddr*>(&address), size));
    EXPECT_EQ(0, listen(m_listener, 1));
    EXPECT_EQ(
      0, getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size));
    m_port = ntohs(address.sin_port);
  }
  ~RawServer() { close(m_listener); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t Port() const { return m_port; }

  void Answer(const std::string& aBytes) const
  {
    const int connection = accept(m_listener, nullptr, nullptr);
    char request[4096];
    EXPECT_LT(0, read(connection, request, sizeof(request)));
    EXPECT_EQ(static_cast<ssize_t>(aBytes.size()),
              write(connection, aBytes.data(), aBytes.size()));
    close(connection);
  }

  // Sends aBegin, and then aPiece again and again until the client closes.
  void AnswerEndlessly(const std::string& aBegin,
                       const std::string& aPiece) const
  {
    constexpr std::size_t kWriteBytes = 64U << 10U;
    std::string pieces;
    while (pieces.size() < kWriteBytes) {
      pieces += aPiece;
    }
    const int connection = accept(m_listener, nullptr, nullptr);
    char request[4096];
    EXPECT_LT(0, read(connection, request, sizeof(request)));
    for (std::string bytes = aBegin + pieces;
         send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
         bytes = pieces) {
    }
    close(connection);
  }

private:
  int m_listener;
  std::uint16_t m_port = 0;
};

// The memory of this process, in bytes.
std::size_t
ResidentMemory()
{
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  std::size_t resident = 0;
  file >> pages >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Guards against a response that is cut short and looks complete: h2o reports
// the end of a body without a length alike after an end and after a reset, and
// only chunked encoding gives it another end, not any Transfer-Encoding.
TEST(Http, ResponseThatEndsWithItsConnectionIsNotComplete)
{
  for (const char* framing : { "", "Transfer-Encoding: identity\r\n" }) {
    const RawServer server;
    ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
    CallRequest request;
    request.m_endpoint = Loopback(server.Port());
    std::thread answering([&] {
      server.Answer(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\nhalf");
    });
    const HttpResponse response = pair.Fetch(std::move(request));
    answering.join();
    EXPECT_EQ(CallStage::HeadSeen, response.m_end.m_stage) << framing;
    EXPECT_EQ("half", response.m_body) << framing;
  }
}

struct EndlessResponse
{
  const char* m_name;
  std::string m_begin;
  std::string m_piece; // repeated without end
};

// Without it GoogleTest prints the bytes of the object.
void
PrintTo(const EndlessResponse& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class BytesThatAreNoResponse : public testing::TestWithParam<EndlessResponse>
{};

// Guards against a report, LOST: a faulty server sends bytes without end, which
// the client keeps until the system ends its process.
TEST_P(BytesThatAreNoResponse, EndTheCallAtOnce)
{
  constexpr std::size_t kMaxMemoryGrowth = 8U << 20U;
  const RawServer server;
  ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
  CallRequest request;
  request.m_endpoint = Loopback(server.Port());
  std::thread answering(
    [&] { server.AnswerEndlessly(GetParam().m_begin, GetParam().m_piece); });
  const std::size_t before = ResidentMemory();
  std::optional<CallEnd> end;
  std::unique_ptr<Call> call =
    pair.m_client.Start(request,
                        { [](int, const Headers&) {},
                          [](std::string_view) {},
                          [&](const CallEnd& aEnd) { end = aEnd; } });
  std::size_t most = before;
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (!end && std::chrono::steady_clock::now() < deadline) {
    pair.m_loop.RunOnce(std::chrono::milliseconds(1));
    most = std::max(most, ResidentMemory());
  }
  EXPECT_TRUE(end);
  EXPECT_LT(most - before, kMaxMemoryGrowth);
  call.reset();
  RunUntil(pair.m_loop,
           [iterations = 0]() mutable { return ++iterations > 5; });
  answering.join();
}

const std::string kOkLine = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead = kOkLine + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  Http,
  BytesThatAreNoResponse,
  testing::Values(
    EndlessResponse{ "StatusLine", "HTTP/1.1 200 ", "x" },
    EndlessResponse{ "FieldName", kOkLine, "x" },
    EndlessResponse{ "FieldValue", kOkLine + "X-Long: ", "x" },
    EndlessResponse{ "Fields", kOkLine, "X-Field: 1\r\n" },
    EndlessResponse{ "InterimResponses",
                     "",
                     "HTTP/1.1 103 Early Hints\r\n\r\n" },
    EndlessResponse{ "ChunkSize", kChunkedHead, "0" },
    EndlessResponse{ "ChunkExtension", kChunkedHead + "4;", "x" },
    EndlessResponse{ "TrailerValue", kChunkedHead + "0\r\nX-Long: ", "x" },
    EndlessResponse{ "Trailers", kChunkedHead + "0\r\n", "X-Field: 1\r\n" },
    EndlessResponse{ "NoHttp", "", std::string(16, '\0') }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a report, MIXED: a part of the answer to a long upload that
// looks complete, as its server closed with bytes unread.
TEST(Http, EarlyAnswerToALongUploadIsNotComplete)
{
  const RawServer server;
  ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
  CallRequest request;
  request.m_endpoint = Loopback(server.Port());
  request.m_method = "POST";
  request.m_body = std::string(std::size_t{ 12 } << 20U, 'x');
  std::thread answering(
    [&] { server.Answer("HTTP/1.1 200 OK\r\n\r\na part of the body"); });
  const HttpResponse response = pair.Fetch(std::move(request));
  answering.join();
  EXPECT_NE(CallStage::Complete, response.m_end.m_stage);
}

// Guards against reports, MIXED: a status that is none is handed on as another
// one. Which of them are answers is for AnswerStream to judge.
TEST(Http, StatusIsHandedOnAsItWasSent)
{
  const struct
  {
    std::string m_text;
    int m_status; // 0: none, or that one
  } rows[] = { { "000", 0 },   { "001", 1 },   { "099", 99 }, { "204", 204 },
               { "600", 600 }, { "999", 999 }, { "20", 0 },   { "2000", 0 },
               { "+20", 0 },   { "-20", 0 },   { "0x2", 0 },  { "2e2", 0 } };
  for (const auto& row : rows) {
    const RawServer server;
    ClientAndServer pair([](const std::shared_ptr<Exchange>&) {});
    CallRequest request;
    request.m_endpoint = Loopback(server.Port());
    std::thread answering([&] {
      server.Answer("HTTP/1.1 " + row.m_text +
                    " Status\r\nContent-Length: 4\r\n\r\ndone");
    });
    const HttpResponse response = pair.Fetch(std::move(request));
    answering.join();
    EXPECT_EQ(row.m_status, response.m_status) << row.m_text;
  }
}

// Guards against bytes behind a response that has no body: a client takes them
// for the next response.
TEST(Http, ResponseWithoutABodyEndsAtItsHead)
{
  for (const int status : { 204, 304 }) {
    ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
      aExchange->Start(status, {});
      aExchange->End();
    });
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(pair.m_server.Port());
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(0,
              connect(connection,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)));
    constexpr std::string_view kRequest =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    ASSERT_EQ(static_cast<ssize_t>(kRequest.size()),
              write(connection, kRequest.data(), kRequest.size()));
    std::string received;
    EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
      char bytes[4096];
      const ssize_t count =
        recv(connection, bytes, sizeof(bytes), MSG_DONTWAIT);
      received.append(bytes,
                      static_cast<std::size_t>(std::max<ssize_t>(0, count)));
      return count == 0;
    }));
    close(connection);
    EXPECT_TRUE(received.ends_with("\r\n\r\n")) << received;
    EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos) << received;
    EXPECT_EQ(received.find("chunked"), std::string::npos) << received;
  }
}

// A connection that sends raw bytes, whose sending side can be closed alone.
class RawCaller
{
public:
  explicit RawCaller(std::uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(0,
              connect(m_socket,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)));
  }
  ~RawCaller() { close(m_socket); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& aBytes)
  {
    EXPECT_EQ(static_cast<ssize_t>(aBytes.size()),
              send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
  }

  void HalfClose() { EXPECT_EQ(0, shutdown(m_socket, SHUT_WR)); }

  // Reads what has come. Returns whether the server has ended the connection.
  bool Ended()
  {
    std::array<char, 4096> bytes{};
    const ssize_t count =
      recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      m_received.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  const std::string& Received() const { return m_received; }

private:
  int m_socket;
  std::string m_received;
};

// Guards against review/11, UNASKED, at walnutwing daemon: a request whose end
// can be read in two ways, with another one behind it, as the first one on its
// connection or not. The caller gets a numbered error, but for what h2o
// rejects.
TEST(Http, InvalidHeadsReachNoHandler)
{
  const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string hidden = valid + "Content-Length: 0\r\n\r\n";
  const std::string code = "walnutwing-code: 1001";
  const std::pair<std::string, std::string> cases[] = {
    { valid + "Transfer-Encoding: gzip\r\n\r\n", "" },
    { valid + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n",
      code },
    { valid + "Content-Length: 0\r\nContent-Length: 48\r\n\r\n", code },
    { valid + "Host: x\r\n\r\n", code },
    { "POST /a HTTP/1.1\r\nHost: h/b\r\n\r\n", code },
    { "POST /a HTTP/1.1\r\n\r\n", code },
    { valid + "X-Name: a\r\n Content-Length: 5\r\n\r\n", code },
  };
  for (const bool isFirst : { true, false }) {
    for (const auto& [bytes, expected] : cases) {
      std::size_t handled = 0;
      ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
        ++handled;
        aExchange->Respond(200, {}, "ok");
      });
      RawCaller caller(pair.m_server.Port());
      std::string input = isFirst ? "" : hidden;
      input += bytes;
      input += hidden;
      caller.Send(input);
      EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return caller.Ended(); }))
        << bytes;
      EXPECT_EQ(isFirst ? 0U : 1U, handled) << bytes;
      const std::string& received = caller.Received();
      EXPECT_NE(std::string::npos, received.find("HTTP/1.1 400")) << received;
      EXPECT_NE(std::string::npos, received.find(expected)) << received;
    }
  }
}

// Guards against valid requests that are rejected: with a body of each framing,
// sent at once and in pieces, one behind the other.
TEST(Http, ValidHeadsReachTheHandler)
{
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string body(20'000, 'b');
  std::string bytes = head + "\r\n";
  bytes += head + "Content-Length: 20000\r\n\r\n" + body;
  bytes += head + "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + body;
  bytes += "\r\n0\r\n\r\n" + head + "Connection: close\r\n\r\n";
  for (const std::size_t piece : { std::size_t{ 1000 }, bytes.size() }) {
    std::vector<std::size_t> bodies;
    ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
      bodies.push_back(aExchange->Request().m_body.size());
      aExchange->Respond(200, {}, "ok");
    });
    RawCaller caller(pair.m_server.Port());
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      caller.Send(bytes.substr(at, piece));
      pair.m_loop.RunOnce(std::chrono::milliseconds(1));
    }
    EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return caller.Ended(); }));
    EXPECT_EQ((std::vector<std::size_t>{ 0, 20'000, 20'000, 0 }), bodies)
      << caller.Received();
  }
}

// Guards against issue 67, GONE, at walnutwing daemon: a caller that had sent
// more bytes before it disconnected was never found to have gone, and its
// upstream worked on.
TEST(Http, CallerClosedIsSeenBehindUnreadBytes)
{
  std::shared_ptr<Exchange> exchange;
  ClientAndServer pair(
    [&](const std::shared_ptr<Exchange>& aExchange) { exchange = aExchange; });
  RawCaller caller(pair.m_server.Port());
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  caller.Send(request);
  ASSERT_TRUE(RunUntil(pair.m_loop, [&] { return exchange != nullptr; }));
  caller.Send(request);
  EXPECT_FALSE(exchange->CallerClosed());
  caller.HalfClose();
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return exchange->CallerClosed(); }));
}

TEST(Http, CancelledCallClosesConnectionToServer)
{
  std::shared_ptr<Exchange> exchange;
  bool callerGone = false;
  ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
    exchange = aExchange;
    aExchange->OnCallerGone([&] { callerGone = true; });
    aExchange->Start(200, {});
    aExchange->Write("first");
  });
  std::unique_ptr<Call> call;
  bool ended = false;
  call = pair.m_client.Start(pair.RequestTo("/"),
                             { [](int, const Headers&) {},
                               [&](std::string_view) { call.reset(); },
                               [&](const CallEnd&) { ended = true; } });
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return call == nullptr; }));
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return exchange->CallerClosed(); }));
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] {
    exchange->Write("more");
    return callerGone;
  }));
  EXPECT_FALSE(ended);
}

TEST(Http, PausedCallAppliesBackpressureToServer)
{
  constexpr std::size_t kPieceBytes = 64U << 10U;
  constexpr std::size_t kBytesToFillBuffers = 64U << 20U;
  constexpr std::size_t kMaxReadAheadBytes = 1U << 20U;
  std::shared_ptr<Exchange> exchange;
  ClientAndServer pair([&](const std::shared_ptr<Exchange>& aExchange) {
    exchange = aExchange;
    aExchange->Start(200, {});
  });
  std::size_t received = 0;
  bool ended = false;
  std::unique_ptr<Call> call = pair.m_client.Start(
    pair.RequestTo("/"),
    { [&](int, const Headers&) { call->Pause(); },
      [&](std::string_view aPiece) { received += aPiece.size(); },
      [&](const CallEnd&) { ended = true; } });
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return exchange != nullptr; }));
  std::size_t written = 0;
  for (; written < kBytesToFillBuffers; written += kPieceBytes) {
    exchange->Write(std::string(kPieceBytes, 'x'));
    pair.m_loop.RunOnce(Duration::zero());
  }
  EXPECT_GT(exchange->PendingBytes(), 0U);
  EXPECT_LE(received, kMaxReadAheadBytes);
  call->Resume();
  exchange->End();
  EXPECT_TRUE(RunUntil(pair.m_loop, [&] { return ended; }));
  EXPECT_EQ(written, received);
}

// Sends a request from a blocking socket outside the loop, so that only the
// server's own work can wake the loop.
int
ConnectAndSendRequest(std::uint16_t aPort)
{
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(
    0, connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
  EXPECT_EQ(static_cast<ssize_t>(request.size()),
            send(client, request.data(), request.size(), 0));
  return client;
}

// Guards against writes of a timer's callback being sent only after the loop's
// next poll has ended. A poll may wait ten minutes here, so the test would
// hang.
TEST(EventLoop, WritesOfTimerCallbackAreSentImmediately)
{
  EventLoop loop;
  std::shared_ptr<Exchange> exchange;
  bool written = false;
  HttpServer server(
    loop, Loopback(0), {}, [&](const std::shared_ptr<Exchange>& aExchange) {
      exchange = aExchange;
      loop.After(Duration(2), [&] {
        exchange->Start(200, {});
        exchange->Write("first");
        exchange->Write("second, which waits until h2o has taken the first");
        written = true;
      });
    });
  const int client = ConnectAndSendRequest(server.Port());
  while (!written || exchange->PendingBytes() > 0) {
    loop.RunOnce(std::chrono::minutes(10));
  }
  close(client);
}

TEST(EventLoop, CancelledTimersDoNotFire)
{
  EventLoop loop;
  std::vector<int> fired;
  loop.After(Duration::zero(), [&] { fired.push_back(1); });
  const TimerId cancelled =
    loop.After(Duration::zero(), [&] { fired.push_back(2); });
  TimerId repeating = 0;
  int repeats = 0;
  repeating = loop.Every(Duration(1), [&] {
    if (++repeats == 3) {
      loop.Cancel(repeating);
    }
  });
  loop.Cancel(cancelled);
  EXPECT_TRUE(RunUntil(loop, [&] { return repeats == 3; }));
  loop.RunOnce(Duration(5));
  EXPECT_EQ(std::vector<int>{ 1 }, fired);
  EXPECT_EQ(3, repeats);
}

} // namespace
} // namespace walnutwing::net
