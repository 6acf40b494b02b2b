#ifndef WALNUTWING_SOAK_ROLES_H_
#define WALNUTWING_SOAK_ROLES_H_

// The stand-ins of the soak, each a process of its own: the platform's store
// and the upstreams. An upstream writes what it sees to a record file before it
// answers, so that the record survives a SIGKILL.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "walnutwing/base/clock.h"

namespace walnutwing::soak {

// Deliberate defects, at most one per run, to verify that each guarantee is
// checked.
enum class Defect
{
  None,
  Twice,            // an upstream runs each order twice
  FalseNotExecuted, // an upstream runs a request and answers "not executed"
  Altered,          // an upstream answers with another body
  Gap,              // an upstream omits an event of each stream
  Drain,            // an upstream drains without telling the routers
  Config,           // operators report a configuration as written that is not
  Backward,         // a new configuration version has an old one's content
  Stop,             // a planned stop of a router is a SIGKILL
  Repeats,          // an upstream records each arrival three times
  Cold,             // an upstream does not report that it is cold
  Recover,          // all upstreams are paused after the last fault
};

std::string_view
NameOf(Defect aDefect);

std::optional<Defect>
ParseDefect(std::string_view aName);

// Number of events in a stream.
inline constexpr int kStreamEvents = 20;

// The body of a complete plain answer, and the data of an event of a stream, to
// the request with the attempt id aId.
std::string
AnswerBody(std::string_view aId);
std::string
EventData(int aNumber, std::string_view aId, std::string_view aVersion);

// The store drops registrations of upstreams that were not renewed for so long.
inline constexpr Duration kRegistrationLifetime{ 2000 };

struct StoreRoleOptions
{
  std::string m_ip;
  std::uint16_t m_port = 0;
};

// Serves as the store until the process is killed. SIGUSR1 drops the history of
// all topics; SIGUSR2 restores the store from its last copy, in the next era.
[[noreturn]] void
RunStoreRole(const StoreRoleOptions& aOptions);

struct UpstreamRoleOptions
{
  std::string m_name; // of this incarnation
  std::string m_zone;
  std::string m_version; // of its software
  std::string m_ip;
  std::uint16_t m_port = 0;
  std::string m_address; // that it registers: its proxy's
  std::string m_store;   // "IP:port"
  std::string m_record;  // path of its record file
  Duration m_cold{ 0 };  // how long it stays cold after its start
  std::uint64_t m_seed = 1;
  Defect m_defect = Defect::None;
};

// How long an upstream breaks off answers after SIGUSR2.
inline constexpr Duration kAnswerBreakTime{ 1500 };

// Serves as an upstream until the process is killed. After SIGUSR1 it announces
// that it is draining. After SIGUSR2 it breaks off answers for a while. Half of
// its answers have neither a length nor chunks and end with their connection.
//
// Its record has one line per event: TIME WHAT UPSTREAM ID, with TIME in ms of
// the machine's steady clock and WHAT one of
//   arrive  a request for this incarnation arrived
//   run     it runs the request
//   drain   the store has acknowledged that it is draining
//   cold    it is cold until TIME
[[noreturn]] void
RunUpstreamRole(const UpstreamRoleOptions& aOptions);

} // namespace walnutwing::soak

#endif // WALNUTWING_SOAK_ROLES_H_
