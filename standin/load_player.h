#ifndef WALNUTWING_STANDIN_LOAD_PLAYER_H_
#define WALNUTWING_STANDIN_LOAD_PLAYER_H_

// Open-loop load generator: sends the requests of a load plan to daemons. Every
// request starts when it is due, whether or not earlier ones have ended, and
// its answer is checked.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/answer_check.h"
#include "standin/caller_request.h"
#include "standin/load_plan.h"
#include "standin/load_report.h"

namespace walnutwing::standin {

struct LoadPlayerOptions
{
  LoadPlanOptions m_plan;
  std::vector<net::Endpoint> m_targets;    // used round-robin
  std::vector<std::string> m_customerKeys; // by number of the customer
  std::string m_service = "assistant";
  std::string m_orderService = "valves";
  std::string m_model = "m1";
  std::string m_runId = "run"; // makes order keys unique
};

class LoadPlayer
{
public:
  // aDone is called once, when the last request has ended.
  LoadPlayer(net::EventLoop& aLoop,
             net::HttpClient& aClient,
             LoadPlayerOptions aOptions,
             std::function<void()> aDone);

  void Start();

  const LoadReport& Report() const { return m_report; }

private:
  struct Attempt
  {
    const PlannedRequest* m_planned = nullptr;
    net::CallRequest m_request;
    std::unique_ptr<net::Call> m_call;
    std::unique_ptr<StreamCheck> m_check; // only for chats
    net::HttpResponse m_response; // its body: other kinds and errors only
    Time m_startedAt;
    std::optional<Time> m_firstByteAt;
  };

  void StartDueRequests();
  void StartRequest(const PlannedRequest& aPlanned, std::uint64_t aNumber);
  net::CallRequest BuildRequest(const PlannedRequest& aPlanned,
                                std::uint64_t aNumber) const;
  LoadKind KindOf(const PlannedRequest& aPlanned) const;
  void OnEnd(std::uint64_t aNumber, const net::CallEnd& aEnd);
  Outcome Classify(const Attempt& aAttempt) const;

  net::EventLoop& m_loop;
  net::HttpClient& m_client;
  LoadPlayerOptions m_options;
  std::function<void()> m_done;
  std::vector<PlannedRequest> m_plan;
  std::size_t m_nextIndex = 0;
  Time m_startedAt;
  std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> m_attempts;
  LoadReport m_report;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LOAD_PLAYER_H_
