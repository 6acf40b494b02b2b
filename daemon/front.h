#ifndef WALNUTWING_DAEMON_FRONT_H_
#define WALNUTWING_DAEMON_FRONT_H_

// HTTP server for callers: validates each request, admits it by its customer's
// share and starts its RequestFlow. docs/CALLERS.md lists the paths and
// headers.

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <variant>

#include "config.pb.h"
#include "daemon/context.h"
#include "daemon/request_flow.h"
#include "net/http_server.h"
#include "net/owned_timer.h"
#include "walnutwing/admission/customer_shares.h"
#include "walnutwing/placement/chat_hint.h"

namespace walnutwing {

class Front
{
public:
  // Starts to listen. Throws std::system_error if the address cannot be bound.
  explicit Front(Context& aContext);
  ~Front();

  // Stops accepting connections; requests in progress continue.
  void StopAccepting();

  // Terminates all requests in progress; returns their number.
  std::size_t TerminateAll();

  std::size_t InProgressCount() const { return m_flows.size(); }

private:
  // An error answer to a request for which no flow is started.
  struct Refusal
  {
    ResultCode m_code;
    Duration m_retryAfter{ 0 };
  };
  using CheckResult = std::variant<FlowRequest, Refusal>;

  void OnRequest(const std::shared_ptr<net::Exchange>& aExchange);
  CheckResult Check(const net::HttpRequest& aRequest) const;
  std::optional<Refusal> CheckWithoutConfig(
    const net::HttpRequest& aRequest) const;
  bool ReadChat(const net::HttpRequest& aRequest, FlowRequest& aFlow) const;
  std::optional<ResultCode> CheckOrder(const net::HttpRequest& aRequest,
                                       FlowRequest& aFlow) const;
  void StartFlow(FlowRequest aRequest,
                 const std::shared_ptr<net::Exchange>& aExchange);
  void Refuse(net::Exchange& aExchange, const Refusal& aRefusal);
  void RefreshShares();

  Context& m_context;
  CustomerShares m_shares;
  std::unordered_set<std::shared_ptr<RequestFlow>> m_flows;
  std::shared_ptr<const proto::FleetConfig>
    m_sharesConfig; // the configuration that m_shares was set from
  net::OwnedTimer m_refreshTimer;
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_FRONT_H_
