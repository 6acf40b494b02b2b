#include "standin/store_standin.h"

#include <algorithm>
#include <iterator>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace walnutwing::standin {
namespace {

std::string
Base64(const std::string& aBytes)
{
  using boost::archive::iterators::base64_from_binary;
  using boost::archive::iterators::transform_width;
  using Encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int i = aBytes - 1; i >= 0; --i) {
    bytes += static_cast<char>(aNumber >> (8 * i) & 255U);
  }
  return bytes;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> values;
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t equals = aTarget.find('=', at);
    const std::size_t next = aTarget.find('&', at + 1);
    if (equals == std::string::npos) {
      break;
    }
    values[aTarget.substr(at + 1, equals - at - 1)] =
      aTarget.substr(equals + 1, next - equals - 1);
    at = next;
  }
  return values;
}

// A record is the length of its key, the key and the value.
std::string
KeyOf(const std::string& aRecord)
{
  return aRecord.substr(1, static_cast<unsigned char>(aRecord.at(0)));
}

} // namespace

class StoreStandin::Connection
  : public std::enable_shared_from_this<StoreStandin::Connection>
{
public:
  Connection(StoreStandin& aStore, std::size_t aDoor, Tcp::socket aSocket)
    : m_store(aStore)
    , m_door(aDoor)
    , m_socket(std::move(aSocket))
    , m_longPollTimer(aStore.m_loop)
    , m_pieceTimer(aStore.m_loop)
  {
  }

  void Read()
  {
    m_request = {};
    http::async_read(
      m_socket,
      m_input,
      m_request,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (!aError) {
          self->OnRequest();
        }
      });
  }

private:
  void OnRequest()
  {
    if (m_store.m_doors[m_door].m_cut) {
      return;
    }
    if (m_store.m_outage) {
      if (*m_store.m_outage != 0) {
        SendResponse(*m_store.m_outage, "");
      }
      return;
    }
    if (!m_store.m_endlessPiece.empty()) {
      AnswerEndlessly();
      return;
    }
    const std::string target(m_request.target());
    m_query = ParseQuery(target);
    Topic& topic = m_store.m_topics[m_query["topic"]];
    if (target.starts_with("/api/log-newest")) {
      ++m_store.m_newestRequests[m_query["topic"]];
      SendResponse(200, EncodeNewest(topic));
    } else if (target.starts_with("/api/log-append")) {
      RespondToAppend(topic);
    } else {
      m_longPollTimer.expires_after(
        std::chrono::milliseconds(std::stoul(m_query["waitMs"])));
      m_longPollTimer.async_wait(
        [self = shared_from_this(),
         number = m_requestNumber](const error_code& aError) {
          if (!aError && number == self->m_requestNumber) {
            self->RespondToRead(true);
          }
        });
      RespondToRead(false);
    }
  }

  void RespondToAppend(Topic& aTopic)
  {
    const std::string record = m_request.body().substr(4);
    ++m_store.m_appends[m_query["topic"]];
    ++m_store.m_appendsOfKeys[{ m_query["topic"], KeyOf(record) }];
    const std::uint64_t offset = EndOf(aTopic);
    if (m_query.contains("at") && std::stoull(m_query["at"]) != offset) {
      SendResponse(412, R"({"endOffset":)" + std::to_string(offset) + "}");
      return;
    }
    Append(aTopic, record);
    m_store.m_lastAppendedAt[m_query["topic"]] = m_door;
    SendResponse(200,
                 R"({"offset":)" + std::to_string(offset) + R"(,"endOffset":)" +
                   std::to_string(offset + 1) + "}");
  }

  void AnswerEndlessly()
  {
    error_code ignored; // the write that follows reports a closed connection
    asio::write(m_socket, asio::buffer(m_store.m_endlessHead), ignored);
    m_store.m_endlessAnswerEnded = false;
    if (m_store.m_endlessPause > Duration::zero()) {
      Trickle(std::exchange(m_store.m_endlessPiece, {}));
      return;
    }
    WriteUntilClosed(shared_from_this(),
                     m_socket,
                     RepeatedText(std::exchange(m_store.m_endlessPiece, {})),
                     [&store = m_store] { store.m_endlessAnswerEnded = true; });
  }

  void Trickle(const std::string& aPiece)
  {
    error_code error;
    asio::write(m_socket, asio::buffer(aPiece), error);
    if (error) {
      m_store.m_endlessAnswerEnded = true;
      return;
    }
    m_pieceTimer.expires_after(m_store.m_endlessPause);
    m_pieceTimer.async_wait([self = shared_from_this(), aPiece](
                              const error_code&) { self->Trickle(aPiece); });
  }

  static std::string EncodeNewest(const Topic& aTopic)
  {
    std::string items;
    for (const auto& [key, value] : aTopic.m_newest) {
      items += items.empty() ? "" : ",";
      items += R"({"key":")" + key + R"(","value":")" + Base64(value.first) +
               R"(","offset":)" + std::to_string(value.second) + "}";
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"endOffset":)" +
           std::to_string(EndOf(aTopic)) + "}";
  }

  void RespondToRead(bool aAllowEmpty)
  {
    if (m_answeredNumber == m_requestNumber) {
      return;
    }
    Topic& topic = m_store.m_topics[m_query["topic"]];
    const std::uint64_t from = std::stoull(m_query["from"]);
    const std::uint64_t end = EndOf(topic);
    if (from < topic.m_firstOffset || from > end) {
      SendResponse(
        410, R"({"firstOffset":)" + std::to_string(topic.m_firstOffset) + "}");
      return;
    }
    if (from >= end && !aAllowEmpty) {
      topic.m_waitingReads.push_back(
        [self = shared_from_this(), number = m_requestNumber] {
          if (number == self->m_requestNumber) {
            self->RespondToRead(true);
          }
        });
      return;
    }
    std::string body = BigEndian(end, 8) + BigEndian(topic.m_firstOffset, 8);
    for (std::uint64_t i = from; i < end; ++i) {
      const std::string& record = topic.m_records[i - topic.m_firstOffset];
      body += BigEndian(record.size(), 4) + record;
    }
    SendResponse(200, body);
  }

  void SendResponse(int aStatus, const std::string& aBody)
  {
    m_answeredNumber = m_requestNumber;
    ++m_requestNumber;
    const std::string era =
      m_store.m_era == 0
        ? ""
        : "Store-Era: " + std::to_string(m_store.m_era) + "\r\n";
    m_output = "HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\n" + era +
               "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
               aBody;
    WritePiece(0);
  }

  // Writes the next piece of the response, then pauses before the following
  // one.
  void WritePiece(std::size_t aFrom)
  {
    const std::size_t size = m_output.size() / m_store.m_pieces + 1;
    const std::size_t end = std::min(aFrom + size, m_output.size());
    asio::async_write(
      m_socket,
      asio::buffer(m_output.data() + aFrom, end - aFrom),
      [self = shared_from_this(), end](const error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        if (end == self->m_output.size()) {
          self->Read();
          return;
        }
        self->m_pieceTimer.expires_after(self->m_store.m_piecePause);
        self->m_pieceTimer.async_wait(
          [self, end](const error_code&) { self->WritePiece(end); });
      });
  }

  StoreStandin& m_store;
  std::size_t m_door;
  Tcp::socket m_socket;
  asio::steady_timer m_longPollTimer;
  asio::steady_timer m_pieceTimer;
  boost::beast::flat_buffer m_input;
  http::request<http::string_body> m_request;
  std::map<std::string, std::string> m_query;
  std::string m_output;
  std::size_t m_requestNumber = 1;  // of the request in progress
  std::size_t m_answeredNumber = 0; // of the last request responded to
};

StoreStandin::StoreStandin(asio::io_context& aLoop,
                           const std::string& aIp,
                           std::uint16_t aPort)
  : m_loop(aLoop)
{
  m_doors.push_back({ Listen(aLoop, aIp, aPort) });
  Accept(0);
}

std::size_t
StoreStandin::AddAddress(const std::string& aIp)
{
  m_doors.push_back({ Listen(m_loop, aIp, 0) });
  Accept(m_doors.size() - 1);
  return m_doors.size() - 1;
}

std::string
StoreStandin::AddressAt(std::size_t aNumber) const
{
  return AddressOf(m_doors.at(aNumber).m_acceptor);
}

void
StoreStandin::SetCut(std::size_t aNumber, bool aCut)
{
  m_doors.at(aNumber).m_cut = aCut;
}

void
StoreStandin::Accept(std::size_t aDoor)
{
  m_doors[aDoor].m_acceptor.async_accept(
    [this, aDoor](const error_code& aError, Tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<Connection>(*this, aDoor, std::move(aSocket))->Read();
        Accept(aDoor);
      }
    });
}

// A record consists of the length of its key (one byte), the key and the value.
// An empty value deletes the key.
void
StoreStandin::Append(Topic& aTopic, const std::string& aRecord)
{
  const std::string key = KeyOf(aRecord);
  const std::string value = aRecord.substr(1 + key.size());
  const std::uint64_t offset = EndOf(aTopic);
  aTopic.m_records.push_back(aRecord);
  if (value.empty()) {
    aTopic.m_newest.erase(key);
  } else {
    aTopic.m_newest[key] = { value, offset };
    aTopic.m_lastSetAt[key] = SteadyClock().Now();
  }
  const auto waiting = std::exchange(aTopic.m_waitingReads, {});
  for (const auto& wake : waiting) {
    wake();
  }
}

void
StoreStandin::Put(const std::string& aTopic,
                  const std::string& aKey,
                  const std::optional<std::string>& aValue)
{
  std::string record(1, static_cast<char>(aKey.size()));
  record += aKey + aValue.value_or("");
  Append(m_topics[aTopic], record);
}

std::vector<std::string>
StoreStandin::ValuesOf(const std::string& aTopic, const std::string& aKey) const
{
  std::vector<std::string> values;
  const auto topic = m_topics.find(aTopic);
  if (topic == m_topics.end()) {
    return values;
  }
  for (const std::string& record : topic->second.m_records) {
    if (KeyOf(record) == aKey) {
      values.push_back(record.substr(1 + aKey.size()));
    }
  }
  return values;
}

void
StoreStandin::DropKeysOlderThan(const std::string& aTopic, Duration aAge)
{
  const Time now = SteadyClock().Now();
  std::vector<std::string> old;
  for (const auto& [key, record] : m_topics[aTopic].m_newest) {
    if (now - m_topics[aTopic].m_lastSetAt[key] > aAge) {
      old.push_back(key);
    }
  }
  for (const std::string& key : old) {
    Put(aTopic, key, std::nullopt);
  }
}

void
StoreStandin::DropHistory(const std::string& aTopic)
{
  Topic& topic = m_topics[aTopic];
  topic.m_firstOffset += topic.m_records.size();
  topic.m_records.clear();
}

void
StoreStandin::RestoreCopy()
{
  ++m_era;
  std::vector<std::function<void()>> waiting;
  for (auto& [name, topic] : m_topics) {
    std::move(topic.m_waitingReads.begin(),
              topic.m_waitingReads.end(),
              std::back_inserter(waiting));
  }
  m_topics = m_copy;
  for (auto& [name, topic] : m_topics) {
    topic.m_waitingReads.clear();
  }
  for (const auto& wake : waiting) {
    wake();
  }
}

void
StoreStandin::SetOutage(std::optional<int> aStatus)
{
  m_outage = aStatus;
}

} // namespace walnutwing::standin
