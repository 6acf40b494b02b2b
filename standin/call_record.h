#ifndef WALNUTWING_STANDIN_CALL_RECORD_H_
#define WALNUTWING_STANDIN_CALL_RECORD_H_

// Records the calls that a stand-in engine or plain service received and ran.
// Tests read it to check that something ran once or did not run.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace walnutwing::standin {

enum class CallState
{
  Refused,   // the initial state; it did not run
  Running,   // it has begun to run
  Completed, // it ran and the complete answer was written
  Cancelled, // the caller disconnected while it ran
  Broken,    // it ran and a fault broke off its answer
};

struct SeenCall
{
  std::uint64_t m_number = 0; // consecutive from 1, in order of arrival
  std::string m_requestId;
  std::string m_orderKey;
  std::string m_chat;
  std::string m_resumedAfter; // Last-Event-ID
  std::uint64_t m_bodyHash = 0;
  bool m_cached = false;
  CallState m_state = CallState::Refused;
};

class CallRecord
{
public:
  // Keeps the newest aMaxCalls calls for reading; the counts cover all calls.
  explicit CallRecord(std::size_t aMaxCalls = 100'000)
    : m_maxCalls(aMaxCalls)
  {
  }

  // Adds a call and returns its number.
  std::uint64_t AddCall(SeenCall aCall);

  // Sets the state of a call that is still kept. The first change from Refused
  // counts as a run of its order key.
  void SetState(std::uint64_t aNumber, CallState aState);

  // Records that the prefix of the call's chat was in the cache.
  void SetCached(std::uint64_t aNumber);

  // Returns how many calls with this order key have begun to run.
  std::uint64_t RunCount(const std::string& aOrderKey) const;

  // {"seen","ran","refused","cancelled","broken","completed","most_runs_of_a_key",
  //  "runs":{KEY:COUNT},"calls":[{"number","request_id","order_key","chat",
  //  "resumed_after","body_hash","cached","ran","state"}]}
  std::string ToJson() const;

private:
  SeenCall* Find(std::uint64_t aNumber);

  std::size_t m_maxCalls;
  std::uint64_t m_lastNumber = 0;
  std::uint64_t m_runCount = 0;
  std::deque<SeenCall> m_calls;
  std::map<std::string, std::uint64_t> m_runsByKey;
  std::map<CallState, std::uint64_t> m_callsByState;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALL_RECORD_H_
