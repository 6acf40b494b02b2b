#ifndef WALNUTWING_STANDIN_PLATFORM_SERVER_H_
#define WALNUTWING_STANDIN_PLATFORM_SERVER_H_

// HTTP server of the stand-in platform: log, VM list and weight store.
// docs/STANDINS.md lists its paths and faults.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "standin/platform_faults.h"
#include "standin/platform_log.h"
#include "standin/token_bucket.h"
#include "standin/vm_list.h"

namespace walnutwing::standin {

class PlatformServer
{
public:
  struct Options
  {
    net::Endpoint m_listen;
    PlatformLog::Options m_log;
    Duration m_listLag{ 0 };
    std::uint32_t m_appendsPerSecond = 0; // calls; 0: no limit
    std::uint32_t m_weightsPerSecond = 0; // calls; 0: no limit
    std::size_t m_weightBytes = 1U << 16U;
  };

  PlatformServer(net::EventLoop& aLoop, const Options& aOptions);

private:
  using Exchange = std::shared_ptr<net::Exchange>;

  void Handle(const Exchange& aExchange);
  void HandleLog(const Exchange& aExchange, const std::string& aStream);
  void Append(const Exchange& aExchange, const std::string& aStream);
  void Read(const Exchange& aExchange, const std::string& aStream);
  void HandleVms(const Exchange& aExchange);
  void HandleWeights(const Exchange& aExchange);
  void HandleFault(const Exchange& aExchange);
  void HandleStats(const Exchange& aExchange);

  // Calls aFunction after aDelay, or at once if aDelay is 0.
  void RunAfter(Duration aDelay, std::function<void()> aFunction);

  std::optional<ActiveFault> TakeFault(PlatformFault aKind,
                                       const net::Exchange& aExchange,
                                       const std::string& aStream);

  net::EventLoop& m_loop;
  Options m_options;
  PlatformLog m_log;
  VmList m_vms;
  PlatformFaults m_faults;
  std::map<std::string, std::uint64_t>
    m_staleEndOffsets; // by stream, for PlatformFault::Stale
  TokenBucket m_appendLimit;
  TokenBucket m_weightLimit;
  std::uint64_t m_vmReads = 0;
  std::uint64_t m_weightReads = 0;
  std::uint64_t m_rateLimitedCalls = 0; // that got 429
  std::uint64_t m_faultedCalls = 0;     // that a fault applied to
  net::HttpServer m_server;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_PLATFORM_SERVER_H_
