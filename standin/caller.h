#ifndef WALNUTWING_STANDIN_CALLER_H_
#define WALNUTWING_STANDIN_CALLER_H_

// Closed-loop load generator: a fixed number of slots, each with one request in
// flight, until the number of requests is reached or the time limit has passed.
// Every answer is checked.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/answer_check.h"
#include "standin/caller_request.h"
#include "standin/latency_histogram.h"

namespace walnutwing::standin {

class Caller
{
public:
  struct Options
  {
    RequestOptions m_request;
    std::vector<net::Endpoint> m_targets; // used round-robin
    std::uint64_t m_requests = 100;
    std::size_t m_concurrency = 10;
    Duration m_timeLimit{ 60'000 }; // no request starts after it
  };

  // aDone is called once, when the last request has ended.
  Caller(net::EventLoop& aLoop,
         net::HttpClient& aClient,
         Options aOptions,
         std::function<void()> aDone);

  void Start();

  std::uint64_t Count(Outcome aOutcome) const;
  // Result codes of refusals and errors, and the number of answers with each.
  const std::map<int, std::uint64_t>& Codes() const { return m_codes; }
  // The first wrong answers: the request's body and the reason.
  const std::vector<std::string>& WrongAnswers() const
  {
    return m_wrongAnswers;
  }

  // CSV lines "measure,variant,value,unit"; the variant is the scenario.
  void Print(std::ostream& aStream) const;

private:
  using Clock = std::chrono::steady_clock;

  // One request in flight.
  struct Attempt
  {
    net::CallRequest m_request;
    std::unique_ptr<net::Call> m_call;
    std::unique_ptr<StreamCheck> m_check; // only for streamed answers
    int m_status = 0;
    net::Headers m_headers;
    std::string m_errorBody;
    Clock::time_point m_start;
    Clock::time_point m_lastToken;
  };

  void StartNext(std::size_t aSlot);
  void StartStream(std::size_t aSlot);
  void StartBuffered(std::size_t aSlot);
  void OnBodyPiece(Attempt& aAttempt, std::string_view aPiece);
  Outcome ClassifyStream(const Attempt& aAttempt,
                         const net::CallEnd& aEnd) const;
  void Finish(std::size_t aSlot, Outcome aOutcome, int aCode);

  net::EventLoop& m_loop;
  net::HttpClient& m_client;
  Options m_options;
  std::function<void()> m_done;
  std::vector<std::unique_ptr<Attempt>> m_slots;
  std::uint64_t m_started = 0;
  std::size_t m_activeSlots = 0;
  Time m_latestStart;
  Clock::time_point m_startedAt;
  Clock::time_point m_endedAt;
  std::map<Outcome, std::uint64_t> m_outcomes;
  std::map<int, std::uint64_t> m_codes;
  std::vector<std::string> m_wrongAnswers;
  std::uint64_t m_tokens = 0;
  LatencyHistogram m_firstTokenLatency; // of streamed answers
  LatencyHistogram m_betweenTokensLatency;
  LatencyHistogram m_completeLatency; // of complete answers, streamed or not
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALLER_H_
