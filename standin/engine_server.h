#ifndef WALNUTWING_STANDIN_ENGINE_SERVER_H_
#define WALNUTWING_STANDIN_ENGINE_SERVER_H_

// HTTP server of the stand-in engine. docs/STANDINS.md lists its paths, headers
// and faults.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standin/answer_text.h"
#include "standin/call_faults.h"
#include "standin/call_record.h"
#include "standin/engine_model.h"
#include "standin/registration.h"

namespace walnutwing::standin {

class EngineServer
{
public:
  struct Options
  {
    net::Endpoint m_listen;
    std::optional<net::Endpoint> m_platform;
    proto::VmEntry m_entry;
    EngineOptions m_engine;
    std::uint64_t m_seed = 1;
  };

  EngineServer(net::EventLoop& aLoop,
               net::HttpClient& aClient,
               const Options& aOptions);

private:
  using Exchange = std::shared_ptr<net::Exchange>;

  // One answer in progress.
  struct Answer
  {
    Answer(Exchange aExchange, std::string_view aBody)
      : m_exchange(std::move(aExchange))
      , m_text(aBody)
    {
    }

    Exchange m_exchange;
    AnswerText m_text;
    std::string m_requestId;    // echoed in the response headers
    std::string m_completionId; // written in the chunks
    EngineFault m_fault = EngineFault::None;
    bool m_streams = false;
    bool m_cached = false;
    std::uint64_t m_callNumber = 0; // number in m_record
    std::string m_heldChunk;        // chunk that Reorder delays
  };

  void Handle(const Exchange& aExchange);
  void HandleChat(const Exchange& aExchange);
  void HandleOrder(const Exchange& aExchange);
  void HandleFault(const Exchange& aExchange);
  void HandleLoad(net::Exchange& aExchange);
  void HandleCacheEvents(net::Exchange& aExchange);
  void HandleStats(net::Exchange& aExchange);

  // Responds 503 to a call that a fault or the model refuses.
  void Refuse(net::Exchange& aExchange, SubmitResult aReason);

  void Accept(JobId aJob, Answer aAnswer);
  void RunSteps();
  void Deliver(const EngineOutput& aOutput);
  void WriteToken(Answer& aAnswer, std::size_t aToken);
  void Finish(Answer& aAnswer);
  // Ends an unfinished answer in the way that its fault prescribes.
  void EndEarly(JobId aJob, Answer& aAnswer);
  void ScheduleStep();
  // Cancels the jobs whose callers have closed their connections. Writing a
  // token detects this too, but a job that waits or has the fault Silent writes
  // nothing.
  void CancelJobsOfClosedCallers();
  void Cancel(JobId aJob);

  net::EventLoop& m_loop;
  EngineModel m_model;
  Registration m_registration;
  Duration m_coldTime; // of a cold start after an order or a fault
  CallFaults<EngineFault> m_faults;
  CallRecord m_record;
  std::map<JobId, Answer> m_answers;
  JobId m_lastJob = 0;
  std::vector<EngineOutput> m_outputs; // outputs of one step
  bool m_stepScheduled = false;
  std::uint64_t m_highestFencing = 0; // highest number received
  std::uint64_t m_ordersTaken = 0;
  std::uint64_t m_ordersRefused = 0;
  net::HttpServer m_server;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ENGINE_SERVER_H_
