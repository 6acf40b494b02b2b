#ifndef WALNUTWING_CLI_HTTP_ACCESS_H_
#define WALNUTWING_CLI_HTTP_ACCESS_H_

// FleetAccess over HTTP. Every call blocks, running the loop until it has
// ended.

#include <optional>
#include <string>

#include "cli/fleet_access.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace walnutwing {

class HttpAccess
{
public:
  // aPlatform is "IP:port"; aCallTimeout applies to each call.
  HttpAccess(const std::string& aPlatform, Duration aCallTimeout);

  std::optional<proto::ReadResponse> ReadLog(std::uint64_t aFrom);
  AppendOutcome Append(const std::string& aBody);
  std::optional<proto::VmList> ListVms();
  std::optional<PageResponse> GetPage(const std::string& aAddress,
                                      const std::string& aPath);
  Time Now() const { return m_loop.Now(); }
  WallTime WallNow() const { return m_loop.WallNow(); }
  void Sleep(Duration aDelay);

private:
  net::HttpResponse Fetch(const std::string& aAddress,
                          const std::string& aMethod,
                          const std::string& aTarget,
                          std::string aBody);

  net::EventLoop m_loop;
  net::HttpClient m_client;
  std::string m_platform;
  Duration m_callTimeout;
};

static_assert(FleetAccess<HttpAccess>);

} // namespace walnutwing

#endif // WALNUTWING_CLI_HTTP_ACCESS_H_
