#ifndef WALNUTWING_STANDIN_SERVICE_SERVER_H_
#define WALNUTWING_STANDIN_SERVICE_SERVER_H_

// A stand-in plain service over HTTP: runs an order once for each call that it
// gets, and keeps count. docs/STANDINS.md lists its paths and its faults.

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
    Duration m_runTime{ 0 };   // from the call to its answer
    bool m_checksKeys = false; // answers a key that has run with 409
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
