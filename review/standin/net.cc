#include "net.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <memory>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kBacklog = 256;
constexpr int kRequestTimeoutMs = 60'000;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool
ParseAddress(const std::string& aAddress, sockaddr_in& aParsed)
{
  const std::size_t colon = aAddress.rfind(':');
  aParsed = {};
  aParsed.sin_family = AF_INET;
  aParsed.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  return inet_pton(
           AF_INET, aAddress.substr(0, colon).c_str(), &aParsed.sin_addr) == 1;
}

sockaddr*
Generic(sockaddr_in& aAddress)
{
  return reinterpret_cast<sockaddr*>(&aAddress);
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

// Takes a head from the input. Returns false if it is not complete.
bool
TakeHead(std::string& aInput, Message& aMessage)
{
  const std::size_t end = aInput.find(kHeadEnd);
  if (end == std::string::npos) {
    return false;
  }
  std::size_t lineEnd = aInput.find("\r\n");
  aMessage.m_startLine = aInput.substr(0, lineEnd);
  while (lineEnd < end) {
    const std::size_t begin = lineEnd + 2;
    lineEnd = aInput.find("\r\n", begin);
    const std::string line = aInput.substr(begin, lineEnd - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.m_fields[Lower(line.substr(0, colon))] =
      value == std::string::npos ? "" : line.substr(value);
  }
  aInput.erase(0, end + kHeadEnd.size());
  return true;
}

// Receives until the input holds aBytes.
ResponseEnd
ReceiveBytes(Connection& aConnection, std::size_t aBytes, int aSilenceMs)
{
  while (aConnection.Input().size() < aBytes) {
    if (!aConnection.Receive(aSilenceMs)) {
      return aConnection.TimedOut() ? ResponseEnd::TimedOut
                                    : ResponseEnd::Broken;
    }
  }
  return ResponseEnd::Complete;
}

ResponseEnd
ReadChunks(Connection& aConnection,
           int aSilenceMs,
           const std::function<bool()>& aStop,
           std::string& aBody)
{
  while (true) {
    if (aStop && aStop()) {
      return ResponseEnd::Broken;
    }
    std::string& input = aConnection.Input();
    const std::size_t lineEnd = input.find("\r\n");
    if (lineEnd == std::string::npos) {
      const ResponseEnd end =
        ReceiveBytes(aConnection, input.size() + 1, aSilenceMs);
      if (end != ResponseEnd::Complete) {
        return end;
      }
      continue;
    }
    const std::size_t size = std::strtoul(input.c_str(), nullptr, 16);
    const ResponseEnd end =
      ReceiveBytes(aConnection, lineEnd + 2 + size + 2, aSilenceMs);
    if (end != ResponseEnd::Complete) {
      return end;
    }
    aBody += aConnection.Input().substr(lineEnd + 2, size);
    aConnection.Input().erase(0, lineEnd + 2 + size + 2);
    if (size == 0) {
      return ResponseEnd::Complete;
    }
  }
}

} // namespace

Connection::~Connection()
{
  close(m_descriptor);
}

std::unique_ptr<Connection>
Connection::Open(const std::string& aAddress)
{
  sockaddr_in address{};
  if (!ParseAddress(aAddress, address)) {
    return nullptr;
  }
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(descriptor);
  if (connect(descriptor, Generic(address), sizeof(address)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool
Connection::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
Connection::Receive(int aTimeoutMs)
{
  pollfd readable{ m_descriptor, POLLIN, 0 };
  m_timedOut = poll(&readable, 1, aTimeoutMs) == 0;
  if (m_timedOut) {
    return false;
  }
  std::vector<char> bytes(kReadBytes);
  const ssize_t received = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (received <= 0) {
    return false;
  }
  m_input.append(bytes.data(), static_cast<std::size_t>(received));
  return true;
}

std::string
Message::Field(const std::string& aName) const
{
  const auto found = m_fields.find(aName);
  return found == m_fields.end() ? "" : found->second;
}

std::optional<Message>
ReadRequest(Connection& aConnection)
{
  Message request;
  while (!TakeHead(aConnection.Input(), request)) {
    if (!aConnection.Receive(kRequestTimeoutMs)) {
      return std::nullopt;
    }
  }
  const std::string length = request.Field("content-length");
  const std::size_t size =
    length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  if (ReceiveBytes(aConnection, size, kRequestTimeoutMs) !=
      ResponseEnd::Complete) {
    return std::nullopt;
  }
  request.m_body = aConnection.Input().substr(0, size);
  aConnection.Input().erase(0, size);
  return request;
}

Response
ReadResponse(Connection& aConnection,
             int aSilenceMs,
             const std::function<bool()>& aStop)
{
  Response response;
  while (!TakeHead(aConnection.Input(), response.m_message)) {
    if (!aConnection.Receive(aSilenceMs)) {
      response.m_end =
        aConnection.TimedOut() ? ResponseEnd::TimedOut : ResponseEnd::Broken;
      return response;
    }
  }
  constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
  response.m_status =
    std::atoi(response.m_message.m_startLine.c_str() + kStatusAt);
  if (response.m_message.Field("transfer-encoding") == "chunked") {
    response.m_end =
      ReadChunks(aConnection, aSilenceMs, aStop, response.m_message.m_body);
    return response;
  }
  const std::size_t size = std::strtoul(
    response.m_message.Field("content-length").c_str(), nullptr, 10);
  response.m_end = ReceiveBytes(aConnection, size, aSilenceMs);
  if (response.m_end == ResponseEnd::Complete) {
    response.m_message.m_body = aConnection.Input().substr(0, size);
    aConnection.Input().erase(0, size);
  }
  return response;
}

Server::Server(std::string aAddress, Serve aServe)
  : m_address(std::move(aAddress))
  , m_serve(std::move(aServe))
{
  sockaddr_in address{};
  if (!ParseAddress(m_address, address)) {
    return;
  }
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(descriptor, Generic(address), sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return;
  }
  m_descriptor = descriptor;
  // The process ends without waiting for these threads.
  std::thread([descriptor, serve = m_serve] {
    while (true) {
      const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([accepted, serve] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  }).detach();
}

Server::~Server() = default;

bool
IsFree(const std::string& aAddress)
{
  sockaddr_in address{};
  if (!ParseAddress(aAddress, address)) {
    return false;
  }
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool isFree = bind(descriptor, Generic(address), sizeof(address)) == 0;
  close(descriptor);
  return isFree;
}

} // namespace review
