#ifndef WALNUTWING_STANDIN_CALL_FAULTS_H_
#define WALNUTWING_STANDIN_CALL_FAULTS_H_

// Faults that a stand-in engine or plain service shows to the next calls.

#include <cstdint>
#include <optional>
#include <string_view>

namespace walnutwing::standin {

enum class EngineFault
{
  None,
  BreakMidway, // closes the connection after half of the tokens
  WrongId,     // answers another request: its id and its text
  Truncate,    // ends after half of the tokens as if that were all
  Duplicate,   // sends every chunk twice
  Reorder,     // swaps each two neighbouring chunks
  Silent,      // runs, but never answers
  Cold,        // refuses as a cold engine does
  Refuse,      // answers 503 and does not run
};

// "none", "break_midway", "wrong_id", "truncate", "duplicate", "reorder",
// "silent", "cold", "refuse".
std::optional<EngineFault>
ParseEngineFault(std::string_view aName);

enum class ServiceFault
{
  None,
  LoseAnswer, // runs, then closes the connection
  Refuse,     // answers 503 and does not run
  Silent,     // runs, but never answers
};

// "none", "lose_answer", "refuse", "silent".
std::optional<ServiceFault>
ParseServiceFault(std::string_view aName);

// One fault for a number of calls. Fault is an enumeration with a value None.
template<typename Fault>
class CallFaults
{
public:
  // aCount 0: every call until the next Set.
  void Set(Fault aFault, std::uint64_t aCount)
  {
    m_fault = aFault;
    m_remainingCalls = aCount;
  }

  // The fault of the call that arrives now.
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
