#ifndef WALNUTWING_STANDIN_CALL_FAULTS_H_
#define WALNUTWING_STANDIN_CALL_FAULTS_H_

// Faults that a stand-in engine or plain service injects into its next calls.

#include <cstdint>
#include <optional>
#include <string_view>

namespace walnutwing::standin {

enum class EngineFault
{
  None,
  BreakMidway, // closes the connection after half of the tokens
  WrongId,     // responds with the id and text of another request
  Truncate,    // ends a stream normally after half of the tokens
  Duplicate,   // sends every chunk twice
  Reorder,     // swaps each pair of adjacent chunks
  Silent,      // runs, but never responds
  Cold,        // begins a cold start and refuses the call
  Refuse,      // responds 503 and does not run
};

// Returns nullopt for a name other than "none", "break_midway", "wrong_id",
// "truncate", "duplicate", "reorder", "silent", "cold" and "refuse".
std::optional<EngineFault>
ParseEngineFault(std::string_view aName);

enum class ServiceFault
{
  None,
  LoseAnswer, // runs, then closes the connection
  Refuse,     // responds 503 and does not run
  Silent,     // runs, but never responds
};

// Returns nullopt for a name other than "none", "lose_answer", "refuse" and
// "silent".
std::optional<ServiceFault>
ParseServiceFault(std::string_view aName);

// A fault that a number of calls get. Fault is an enumeration with a value
// None.
template<typename Fault>
class CallFaults
{
public:
  // The next aCount calls get aFault; if aCount is 0, all calls until the next
  // Set.
  void Set(Fault aFault, std::uint64_t aCount)
  {
    m_fault = aFault;
    m_remainingCalls = aCount;
  }

  // Returns the fault for the call that arrives now, and counts the call.
  Fault Take()
  {
    const Fault fault = m_fault;
    if (m_remainingCalls != 0 && --m_remainingCalls == 0) {
      m_fault = Fault::None;
    }
    return fault;
  }

private:
  Fault m_fault = Fault::None;
  std::uint64_t m_remainingCalls = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALL_FAULTS_H_
