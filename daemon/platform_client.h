#ifndef WALNUTWING_DAEMON_PLATFORM_CLIENT_H_
#define WALNUTWING_DAEMON_PLATFORM_CLIENT_H_

// Client of the platform's HTTP interface (proto/platform.proto): its
// append-only log and its list of VMs. Each call returns a handle that cancels
// the call when destroyed, so that a component's calls end with the component.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "platform.pb.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// What is known about an append after its call has ended.
enum class AppendVerdict
{
  Appended, // the records have offsets
  Refused,  // certainly not appended: no byte was sent, or the log refused
  Unknown, // the response was lost; the records may be in the log, now or later
};

struct AppendResult
{
  AppendVerdict m_verdict = AppendVerdict::Unknown;
  LogOffset m_firstOffset; // only when Appended
};

class PlatformClient
{
public:
  PlatformClient(net::EventLoop& aLoop,
                 net::HttpClient& aClient,
                 net::Endpoint aPlatform,
                 ZoneId aZone,
                 Duration aTimeout);

  using CallHandle = std::unique_ptr<net::Call>;

  // Appends the bodies as records in the given order, all or none.
  CallHandle Append(const std::string& aStream,
                    std::vector<std::string> aBodies,
                    std::function<void(AppendResult)> aDone);

  // Reads at most aLimit records from offset aFrom on; std::nullopt if the log
  // did not answer.
  CallHandle Read(
    const std::string& aStream,
    LogOffset aFrom,
    std::uint32_t aLimit,
    std::function<void(std::optional<proto::ReadResponse>)> aDone);

  // Reads the platform's list of VMs, which lags behind the actual state;
  // std::nullopt if the platform did not answer.
  CallHandle ListVms(std::function<void(std::optional<proto::VmList>)> aDone);

private:
  net::CallRequest MakeRequest(std::string aMethod,
                               std::string aTarget,
                               std::string aBody) const;

  net::EventLoop& m_loop;
  net::HttpClient& m_client;
  net::Endpoint m_platform;
  ZoneId m_zone;
  Duration m_timeout;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_PLATFORM_CLIENT_H_
