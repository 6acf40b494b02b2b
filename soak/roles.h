#ifndef WALNUTWING_SOAK_ROLES_H_
#define WALNUTWING_SOAK_ROLES_H_

// The stand-ins of the soak, each a process of its own: the platform's store
// and upstreams. What an upstream sees it writes to a file before it answers,
// so that the record outlives its SIGKILL.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

// Ways in which a stand-in lies, so that each promise is seen to be checked.
enum class Defect
{
  None,
  Twice,            // an upstream runs each order twice
  FalseNotExecuted, // an upstream says "not executed" and has run
  Altered,          // an upstream answers something else
  Gap,              // an upstream leaves an event of a stream out
  Drain,            // an upstream does not tell the routers that it leaves
  Config,           // the operator does not write what it reports as written
  Backward,         // the store shows an old configuration under a new version
  Stop,             // a planned stop is a SIGKILL
  Repeats,          // an upstream counts each request three times
  Cold,             // an upstream does not tell that it is cold
  Recover,          // no upstream comes back after the last fault
};

std::string_view
NameOf(Defect aDefect);

std::optional<Defect>
ParseDefect(std::string_view aName);

// Events of a stream.
inline constexpr int kStreamEvents = 20;

// The body of a whole answer, and the data of a stream's event.
std::string
AnswerBody(std::string_view aId);
std::string
EventData(int aNumber, std::string_view aId);

// Upstreams whose registration is this old are dropped from the list.
inline constexpr Duration kRegistrationLifetime{ 2000 };

struct StoreRoleOptions
{
  std::string m_ip;
  std::uint16_t m_port = 0;
};

// SIGUSR1 drops the history of all topics. Runs until it is killed.
[[noreturn]] void
RunStoreRole(const StoreRoleOptions& aOptions);

struct UpstreamRoleOptions
{
  std::string m_name; // of this incarnation
  std::string m_zone;
  std::string m_ip;
  std::uint16_t m_port = 0;
  std::string m_address; // that it registers: a proxy's
  std::string m_store;   // "IP:port"
  std::string m_record;  // file
  Duration m_cold{ 0 };
  std::uint64_t m_seed = 1;
  Defect m_defect = Defect::None;
};

// Its record has a line for each thing that it sees: TIME WHAT UPSTREAM ID,
// with the time in ms of the machine's steady clock, and WHAT one of
//   arrive  a request meant for it
//   run     it runs the request
//   drain   the store has acknowledged that it leaves (after SIGUSR1)
//   cold    it is cold until TIME
[[noreturn]] void
RunUpstreamRole(const UpstreamRoleOptions& aOptions);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_ROLES_H_
