#ifndef WALNUTWING_STANDIN_STORE_STANDIN_H_
#define WALNUTWING_STANDIN_STORE_STANDIN_H_

// A stand-in for the platform's store, without its limits and prices.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standin/raw_socket.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

// Per topic, a log of records and the newest value of each key. Reads wait for
// records.
class StoreStandin
{
public:
  // If aPort is 0, the system chooses a free port.
  explicit StoreStandin(asio::io_context& aLoop,
                        const std::string& aIp,
                        std::uint16_t aPort = 0);

  // Sets a key, or deletes it without a value, and wakes waiting reads.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // All values that a key was set to, oldest first, as far as the log has them.
  std::vector<std::string> ValuesOf(const std::string& aTopic,
                                    const std::string& aKey) const;

  // Opens another address of the store, at which it can be cut off from those
  // that use it. Returns its number, from 1; the first address has 0.
  std::size_t AddAddress(const std::string& aIp);
  std::string AddressAt(std::size_t aNumber) const;
  // While an address is cut, its requests get no response.
  void SetCut(std::size_t aNumber, bool aCut);

  // Drops all records of the log; the newest value of each key stays.
  void DropHistory(const std::string& aTopic);

  // Keeps a copy of all topics.
  void TakeCopy() { m_copy = m_topics; }
  // Restores the store from that copy, in the next era. Waiting reads end.
  void RestoreCopy();
  // States the era in all responses; 0: no longer.
  void SetEra(std::uint64_t aEra) { m_era = aEra; }

  // Deletes the keys of a topic that have not been set for more than aAge.
  void DropKeysOlderThan(const std::string& aTopic, Duration aAge);

  // From now on requests get no response (0) or only this status; nullopt ends
  // the outage.
  void SetOutage(std::optional<int> aStatus);

  // Sends responses in up to aPieces pieces with aPause between them, as over a
  // slow link.
  void SetPieces(std::size_t aPieces, Duration aPause = Duration(400))
  {
    m_pieces = aPieces;
    m_piecePause = aPause;
  }

  // The next response begins with aHead, and aPiece follows without end: as
  // fast as possible, or each after aPause. Later responses are as usual.
  void AnswerEndlessly(const std::string& aHead,
                       const std::string& aPiece,
                       Duration aPause = Duration(0))
  {
    m_endlessHead = aHead;
    m_endlessPiece = aPiece;
    m_endlessPause = aPause;
  }
  // Whether such a response has begun, and the router has ended it.
  bool EndlessAnswerEnded() const
  {
    return m_endlessAnswerEnded.value_or(false);
  }

  std::string Address() const { return AddressAt(0); }
  // Number of requests for the newest records of a topic.
  std::size_t CountNewestRequests(const std::string& aTopic) const
  {
    const auto found = m_newestRequests.find(aTopic);
    return found == m_newestRequests.end() ? 0 : found->second;
  }

  // Number of requests to append to a topic.
  std::size_t CountAppends(const std::string& aTopic) const
  {
    const auto found = m_appends.find(aTopic);
    return found == m_appends.end() ? 0 : found->second;
  }

  // The address at which the last record of a topic was appended.
  std::optional<std::size_t> LastAppendedAt(const std::string& aTopic) const
  {
    const auto found = m_lastAppendedAt.find(aTopic);
    return found == m_lastAppendedAt.end() ? std::nullopt
                                           : std::optional(found->second);
  }

  // Number of requests to append a record of a key.
  std::size_t CountAppends(const std::string& aTopic,
                           const std::string& aKey) const
  {
    const auto found = m_appendsOfKeys.find({ aTopic, aKey });
    return found == m_appendsOfKeys.end() ? 0 : found->second;
  }

private:
  struct Topic
  {
    std::uint64_t m_firstOffset = 0;
    std::vector<std::string> m_records; // from m_firstOffset on
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest;
    std::map<std::string, Time> m_lastSetAt; // by key
    std::vector<std::function<void()>> m_waitingReads;
  };
  class Connection;
  struct Door
  {
    Tcp::acceptor m_acceptor;
    bool m_cut = false;
  };

  void Accept(std::size_t aDoor);
  static std::uint64_t EndOf(const Topic& aTopic)
  {
    return aTopic.m_firstOffset + aTopic.m_records.size();
  }
  static void Append(Topic& aTopic, const std::string& aRecord);

  asio::io_context& m_loop;
  std::deque<Door> m_doors; // accepting ones don't move
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Topic> m_copy; // of TakeCopy
  std::uint64_t m_era = 0;
  std::optional<int> m_outage;
  std::map<std::string, std::size_t> m_newestRequests; // by topic
  std::map<std::string, std::size_t> m_appends;        // by topic
  std::map<std::string, std::size_t> m_lastAppendedAt; // by topic
  // By topic and key.
  std::map<std::pair<std::string, std::string>, std::size_t> m_appendsOfKeys;
  std::size_t m_pieces = 1;
  Duration m_piecePause{ 0 };
  std::string m_endlessHead; // of AnswerEndlessly
  std::string m_endlessPiece;
  Duration m_endlessPause{ 0 };
  std::optional<bool> m_endlessAnswerEnded; // empty until it has begun
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_STORE_STANDIN_H_
