#ifndef WALNUTWING_STANDIN_SERVICE_SERVER_H_
#define WALNUTWING_STANDIN_SERVICE_SERVER_H_

// HTTP server of the stand-in plain service: runs the order of each call that
// it accepts, once per call, and records the runs. docs/STANDINS.md lists its
// paths and faults.

#include <memory>
#include <optional>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standin/call_faults.h"
#include "standin/call_record.h"
#include "standin/registration.h"

namespace walnutwing::standin {

class ServiceServer
{
public:
  struct Options
  {
    net::Endpoint m_listen;
    std::optional<net::Endpoint> m_platform;
    proto::VmEntry m_entry;
    Duration m_runTime{ 0 };   // from a call to its response
    bool m_checksKeys = false; // responds 409 if the key has run
  };

  ServiceServer(net::EventLoop& aLoop,
                net::HttpClient& aClient,
                const Options& aOptions);

private:
  using Exchange = std::shared_ptr<net::Exchange>;

  void Handle(const Exchange& aExchange);
  void Run(const Exchange& aExchange);
  void SendResult(net::Exchange& aExchange, const SeenCall& aCall);
  void HandleFault(net::Exchange& aExchange);

  net::EventLoop& m_loop;
  Options m_options;
  Registration m_registration;
  CallFaults<ServiceFault> m_faults;
  CallRecord m_record;
  net::HttpServer m_server;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_SERVICE_SERVER_H_
