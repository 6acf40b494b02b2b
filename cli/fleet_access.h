#ifndef WALNUTWING_CLI_FLEET_ACCESS_H_
#define WALNUTWING_CLI_FLEET_ACCESS_H_

// The external interfaces that the operators' client uses: the platform's log
// and VM list, the daemons' admin pages, and time. HttpAccess (http_access.h)
// implements them for production; tests use a fake.

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "platform.pb.h"

#include "walnutwing/base/clock.h"

namespace walnutwing {

// What is known about an append when its call has ended.
enum class AppendOutcome
{
  Appended,
  NotAppended, // and it will not be later
  Unknown,     // no usable response: the record may be in the log, now or later
};

struct PageResponse
{
  int m_status = 0;
  std::string m_body;
};

template<typename T>
concept FleetAccess = requires(T& aAccess,
                               std::uint64_t aFrom,
                               const std::string& aText,
                               Duration aDelay)
{
  // Reads the log "config" from offset aFrom on; nullopt if the platform sends
  // no usable response.
  {
    aAccess.ReadLog(aFrom)
    } -> std::same_as<std::optional<proto::ReadResponse>>;
  // Appends one record to the log "config".
  {
    aAccess.Append(aText)
    } -> std::same_as<AppendOutcome>;
  {
    aAccess.ListVms()
    } -> std::same_as<std::optional<proto::VmList>>;
  // Gets an admin page of a daemon, given "IP:port" and path; nullopt if the
  // daemon sends no complete response.
  {
    aAccess.GetPage(aText, aText)
    } -> std::same_as<std::optional<PageResponse>>;
  {
    aAccess.Now()
    } -> std::same_as<Time>;
  {
    aAccess.WallNow()
    } -> std::same_as<WallTime>;
  aAccess.Sleep(aDelay);
};

} // namespace walnutwing

#endif // WALNUTWING_CLI_FLEET_ACCESS_H_
