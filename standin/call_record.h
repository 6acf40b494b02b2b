#ifndef WALNUTWING_STANDIN_CALL_RECORD_H_
#define WALNUTWING_STANDIN_CALL_RECORD_H_

// What a stand-in engine or plain service has seen and run: the evidence that
// tests read when a promise says "ran once" or "nothing ran".

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace walnutwing::standin {

enum class CallState
{
  Refused,   // it did not run
  Running,   // it has begun to run
  Completed, // it ran and the whole answer was written
  Cancelled, // the caller went away while it ran
  Broken,    // it ran and a fault cut its answer
};

struct SeenCall
{
  std::uint64_t m_number = 0; // dense from 1, in order of arrival
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
  // Calls that are kept for reading. Older ones drop out; the counts stay.
  explicit CallRecord(std::size_t aMaxCalls = 100'000)
    : m_maxCalls(aMaxCalls)
  {
  }

  // Enters a call and returns its number.
  std::uint64_t AddCall(SeenCall aCall);

  // Sets the state of a call. The first change to Running counts as a run of
  // its order key.
  void SetState(std::uint64_t aNumber, CallState aState);

  // Notes that a call found its chat's prefix in the cache.
  void SetCached(std::uint64_t aNumber);

  // How often calls with this order key have begun to run.
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
