#ifndef WALNUTWING_STANDIN_PLATFORM_FAULTS_H_
#define WALNUTWING_STANDIN_PLATFORM_FAULTS_H_

// The faults that the stand-in platform has been told to show, each limited to
// a time, a stream of the log and a zone of its callers.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

enum class PlatformFault
{
  Down,        // closes the connection; nothing takes effect
  Slow,        // takes effect, and answers, after m_delay
  LoseAnswers, // takes effect at once, then closes the connection
  Late,        // answers 503 at once and takes effect after m_delay
  Stale,       // reads see nothing appended since the fault was set
};

// "down", "slow", "lose_answers", "late", "stale".
std::optional<PlatformFault>
ParsePlatformFault(std::string_view aName);

struct ActiveFault
{
  PlatformFault m_kind = PlatformFault::Down;
  std::optional<Time> m_until; // none: until cleared
  Duration m_delay{ 0 };
  std::string m_stream; // empty: every stream, and the VM list
  std::string m_zone;   // empty: callers of every zone
  std::uint64_t m_remainingCalls =
    0; // calls that it still hits; 0: no such limit
};

class PlatformFaults
{
public:
  void Add(ActiveFault aFault) { m_faults.push_back(std::move(aFault)); }
  void Clear() { m_faults.clear(); }

  // The first fault of aKind that hits a call for aStream from aZone now, and
  // counts it as a hit. aStream is empty for what is not the log.
  std::optional<ActiveFault> TakeFault(PlatformFault aKind,
                                       std::string_view aStream,
                                       std::string_view aZone,
                                       Time aNow);

private:
  std::vector<ActiveFault> m_faults;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_PLATFORM_FAULTS_H_
