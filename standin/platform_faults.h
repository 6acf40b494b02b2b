#ifndef WALNUTWING_STANDIN_PLATFORM_FAULTS_H_
#define WALNUTWING_STANDIN_PLATFORM_FAULTS_H_

// The faults set on the stand-in platform. Each can be limited to a time, a
// stream of the log, a zone of the callers and a number of calls.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

enum class PlatformFault
{
  Down,        // closes the connection; the call has no effect
  Slow,        // takes effect and responds after m_delay
  LoseAnswers, // takes effect at once, then closes the connection
  Late,        // responds 503 at once and takes effect after m_delay
  Stale,       // reads omit all that was appended after the fault was set
};

// Returns nullopt for a name other than "down", "slow", "lose_answers", "late"
// and "stale".
std::optional<PlatformFault>
ParsePlatformFault(std::string_view aName);

struct ActiveFault
{
  PlatformFault m_kind = PlatformFault::Down;
  std::optional<Time> m_until; // none: until cleared
  Duration m_delay{ 0 };
  std::string m_stream; // empty: every stream, VM list and weights
  std::string m_zone;   // empty: callers of every zone
  std::uint64_t m_remainingCalls = 0; // calls left; 0: no limit
};

class PlatformFaults
{
public:
  void Add(ActiveFault aFault) { m_faults.push_back(std::move(aFault)); }
  void Clear() { m_faults.clear(); }

  // Returns the first fault of aKind that applies to a call for aStream from
  // aZone now, and counts the call against its limit. aStream is empty for
  // calls that are not for the log.
  std::optional<ActiveFault> TakeFault(PlatformFault aKind,
                                       std::string_view aStream,
                                       std::string_view aZone,
                                       Time aNow);

private:
  std::vector<ActiveFault> m_faults;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_PLATFORM_FAULTS_H_
