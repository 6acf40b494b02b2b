#ifndef WALNUTWING_CLI_FLEET_ACCESS_H_
#define WALNUTWING_CLI_FLEET_ACCESS_H_

// What the operators' client needs of the outside: the platform's log and list,
// the daemons' admin pages, and time. HttpAccess (http_access.h) is the real
// one; tests have a fake.

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "platform.pb.h"

#include "walnutwing/base/clock.h"

namespace walnutwing {

// What is known of an append once its call has ended.
enum class AppendOutcome
{
  Appended,
  NotAppended, // certainly not, now or later
  Unknown,     // the answer was lost: it may be in the log, now or later
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
  // Records of the stream "config" from an offset on; nothing without answer.
  {
    aAccess.ReadLog(aFrom)
    } -> std::same_as<std::optional<proto::ReadResponse>>;
  // Appends one record to it.
  {
    aAccess.Append(aText)
    } -> std::same_as<AppendOutcome>;
  {
    aAccess.ListVms()
    } -> std::same_as<std::optional<proto::VmList>>;
  // GET of a daemon's admin page: "IP:port" and path.
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
