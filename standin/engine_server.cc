// EngineModel schedules the tokens; this file writes its outputs as server-sent
// events and applies the faults. The text of a token depends only on the
// request's body and the token's index, so no generated text is stored.

#include "standin/engine_server.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "standin/http_reply.h"

namespace walnutwing::standin {

namespace {

constexpr Duration kClosedCallerCheckInterval{ 50 };
constexpr std::string_view kStateHeader = "walnutwing-engine-state";
// The request id and request body that EngineFault::WrongId answers.
constexpr std::string_view kOtherRequestId = "another-request";
constexpr std::string_view kOtherBody = R"({"max_tokens":1000000})";

std::string
FormatChunk(const std::string& aRequestId,
            std::size_t aToken,
            std::string aText)
{
  const nlohmann::json chunk = {
    { "id", aRequestId },
    { "object", "chat.completion.chunk" },
    { "choices",
      { { { "index", 0 }, { "delta", { { "content", std::move(aText) } } } } } }
  };
  return "id: " + std::to_string(aToken) + "\ndata: " + chunk.dump() + "\n\n";
}

std::string
FormatCompletion(const std::string& aRequestId, const std::string& aText)
{
  const nlohmann::json completion = {
    { "id", aRequestId },
    { "object", "chat.completion" },
    { "choices",
      { { { "index", 0 },
          { "finish_reason", "stop" },
          { "message", { { "role", "assistant" }, { "content", aText } } } } } }
  };
  return completion.dump() + "\n";
}

// Returns how many tokens the caller has received already: Last-Event-ID is the
// index of the last one, from 0. Without a valid Last-Event-ID, returns 0.
std::size_t
CountReceivedTokens(const SeenCall& aSeen)
{
  const std::string& text = aSeen.m_resumedAfter;
  std::size_t last = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), last);
  return error == std::errc() && end != text.data() ? last + 1 : 0;
}

SeenCall
MakeSeenCall(const net::HttpRequest& aRequest, const ChatRequest& aChat)
{
  SeenCall seen;
  seen.m_requestId = aRequest.m_headers.Get("x-request-id");
  seen.m_orderKey = aRequest.m_headers.Get("idempotency-key");
  seen.m_chat = aRequest.m_headers.Get("walnutwing-chat");
  if (seen.m_chat.empty()) {
    seen.m_chat = aChat.m_user;
  }
  seen.m_resumedAfter = aRequest.m_headers.Get("last-event-id");
  seen.m_bodyHash = XXH64(aRequest.m_body.data(), aRequest.m_body.size(), 0);
  return seen;
}

} // namespace

EngineServer::EngineServer(net::EventLoop& aLoop,
                           net::HttpClient& aClient,
                           const Options& aOptions)
  : m_loop(aLoop)
  , m_model(aOptions.m_engine, aOptions.m_seed, aLoop.Now())
  , m_registration(aLoop, aClient, aOptions.m_platform, aOptions.m_entry)
  , m_coldTime(std::max(aOptions.m_engine.m_coldTime, Duration(1000)))
  , m_server(aLoop, aOptions.m_listen, {}, [this](const Exchange& aExchange) {
    Handle(aExchange);
  })
{
  m_loop.Every(kClosedCallerCheckInterval,
               [this] { CancelJobsOfClosedCallers(); });
}

void
EngineServer::Handle(const Exchange& aExchange)
{
  const std::string& path = aExchange->Request().m_path;
  if (path == "/v1/chat/completions") {
    HandleChat(aExchange);
  } else if (path == "/load") {
    HandleLoad(*aExchange);
  } else if (path == "/cache_events") {
    HandleCacheEvents(*aExchange);
  } else if (path == "/order") {
    HandleOrder(aExchange);
  } else if (path == "/fault") {
    HandleFault(aExchange);
  } else if (path == "/record") {
    ReplyJson(*aExchange, 200, m_record.ToJson() + "\n");
  } else if (path == "/stats") {
    HandleStats(*aExchange);
  } else if (path == "/leave" || path == "/stay") {
    m_registration.SetLeaving(path == "/leave");
    ReplyJson(*aExchange, 200, "{}\n");
  } else if (path == "/healthz") {
    aExchange->Respond(200, {}, "ok\n");
  } else {
    ReplyError(*aExchange, 404, "no such path");
  }
}

void
EngineServer::HandleChat(const Exchange& aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  const ChatRequest chat = ParseChatRequest(request.m_body);
  SeenCall seen = MakeSeenCall(request, chat);
  const std::uint64_t callNumber = m_record.AddCall(seen);
  if (request.m_method != "POST" || !chat.m_valid) {
    ReplyError(*aExchange, 400, "not a chat completion request");
    return;
  }
  const EngineFault fault = m_faults.Take();
  if (fault == EngineFault::Refuse) {
    Refuse(*aExchange, SubmitResult::RefusedFull);
    return;
  }
  if (fault == EngineFault::Cold) {
    m_model.TurnCold(m_coldTime, m_loop.Now());
    Refuse(*aExchange, SubmitResult::RefusedCold);
    return;
  }
  const bool answersOwnRequest = fault != EngineFault::WrongId;
  Answer answer(aExchange,
                answersOwnRequest ? request.m_body : std::string(kOtherBody));
  answer.m_requestId =
    answersOwnRequest ? seen.m_requestId : std::string(kOtherRequestId);
  const auto completion = request.m_headers.Find("x-completion-id");
  answer.m_completionId = answersOwnRequest && completion
                            ? std::string(*completion)
                            : answer.m_requestId;
  answer.m_fault = fault;
  answer.m_streams = chat.m_stream;
  answer.m_callNumber = callNumber;
  EngineJob job;
  job.m_id = ++m_lastJob;
  job.m_chat = seen.m_chat;
  job.m_priority = chat.m_priority;
  job.m_tokenCount = chat.m_maxTokens;
  job.m_nextToken = std::min(CountReceivedTokens(seen), job.m_tokenCount);
  const SubmitResult submitted =
    m_model.Submit(job, m_loop.Now(), answer.m_cached);
  if (submitted != SubmitResult::Accepted) {
    Refuse(*aExchange, submitted);
    return;
  }
  Accept(job.m_id, std::move(answer));
  ScheduleStep();
}

void
EngineServer::Accept(JobId aJob, Answer aAnswer)
{
  m_record.SetState(aAnswer.m_callNumber, CallState::Running);
  if (aAnswer.m_cached) {
    m_record.SetCached(aAnswer.m_callNumber);
  }
  const Exchange exchange = aAnswer.m_exchange;
  exchange->OnCallerGone([this, aJob] { Cancel(aJob); });
  if (aAnswer.m_streams && aAnswer.m_fault != EngineFault::Silent) {
    exchange->Start(200,
                    { { "content-type", "text/event-stream" },
                      { "cache-control", "no-cache" },
                      { "x-request-id", aAnswer.m_requestId },
                      { "x-completion-id", aAnswer.m_completionId },
                      { "walnutwing-cached", aAnswer.m_cached ? "1" : "0" } });
  }
  m_answers.emplace(aJob, std::move(aAnswer));
}

void
EngineServer::Refuse(net::Exchange& aExchange, SubmitResult aReason)
{
  const bool cold = aReason == SubmitResult::RefusedCold;
  const std::string requestId(
    aExchange.Request().m_headers.Get("x-request-id"));
  aExchange.Respond(
    503,
    { { "content-type", "application/json" },
      { "x-request-id", requestId },
      { "retry-after", "1" },
      { std::string(kStateHeader), cold ? "cold" : "full" } },
    R"({"error":{"message":"the engine takes no more requests"}})");
}

void
EngineServer::ScheduleStep()
{
  if (m_stepScheduled || !m_model.IsBusy()) {
    return;
  }
  m_stepScheduled = true;
  const Duration wait =
    std::max(Duration(0), m_model.NextStepTime() - m_loop.Now());
  m_loop.After(wait, [this] {
    m_stepScheduled = false;
    RunSteps();
    ScheduleStep();
  });
}

void
EngineServer::RunSteps()
{
  m_outputs.clear();
  m_model.Step(m_loop.Now(), m_outputs);
  const std::vector<EngineOutput> outputs = m_outputs;
  for (const EngineOutput& output : outputs) {
    Deliver(output);
  }
}

void
EngineServer::Deliver(const EngineOutput& aOutput)
{
  const auto found = m_answers.find(aOutput.m_job);
  if (found == m_answers.end()) {
    return;
  }
  Answer& answer = found->second;
  if (answer.m_fault == EngineFault::Silent) {
    return;
  }
  const bool endsEarly = answer.m_fault == EngineFault::BreakMidway ||
                         answer.m_fault == EngineFault::Truncate;
  if (endsEarly && aOutput.m_token >= answer.m_text.TokenCount() / 2) {
    EndEarly(aOutput.m_job, answer);
    return;
  }
  if (aOutput.m_finished) {
    // Erased first: ending the response may report that the caller is gone,
    // which would cancel the job.
    Answer finished = std::move(answer);
    m_answers.erase(found);
    Finish(finished);
    return;
  }
  WriteToken(answer, aOutput.m_token);
}

void
EngineServer::WriteToken(Answer& aAnswer, std::size_t aToken)
{
  if (!aAnswer.m_streams) {
    return; // Finish writes the complete text
  }
  const std::string chunk =
    FormatChunk(aAnswer.m_completionId, aToken, aAnswer.m_text.Token(aToken));
  const Exchange exchange = aAnswer.m_exchange;
  if (aAnswer.m_fault == EngineFault::Reorder && aAnswer.m_heldChunk.empty()) {
    aAnswer.m_heldChunk = chunk;
    return;
  }
  const std::string held = std::exchange(aAnswer.m_heldChunk, {});
  const bool twice = aAnswer.m_fault == EngineFault::Duplicate;
  exchange->Write(chunk + (twice ? chunk : "") + held);
}

void
EngineServer::Finish(Answer& aAnswer)
{
  m_record.SetState(aAnswer.m_callNumber, CallState::Completed);
  net::Exchange& exchange = *aAnswer.m_exchange;
  if (aAnswer.m_streams) {
    exchange.Write(aAnswer.m_heldChunk +
                   "id: " + std::to_string(aAnswer.m_text.TokenCount()) +
                   "\ndata: [DONE]\n\n");
    exchange.End();
    return;
  }
  exchange.Respond(
    200,
    { { "content-type", "application/json" },
      { "x-request-id", aAnswer.m_requestId },
      { "walnutwing-cached", aAnswer.m_cached ? "1" : "0" } },
    FormatCompletion(aAnswer.m_completionId, aAnswer.m_text.FullText()));
}

void
EngineServer::EndEarly(JobId aJob, Answer& aAnswer)
{
  const Answer answer = std::move(aAnswer);
  m_answers.erase(aJob);
  m_model.Cancel(aJob, m_loop.Now());
  m_record.SetState(answer.m_callNumber, CallState::Broken);
  if (!answer.m_streams) {
    AbortResponse(*answer.m_exchange);
  } else if (answer.m_fault == EngineFault::Truncate) {
    answer.m_exchange->End();
  } else {
    answer.m_exchange->Abort();
  }
}

void
EngineServer::CancelJobsOfClosedCallers()
{
  std::vector<JobId> closed;
  for (const auto& [job, answer] : m_answers) {
    if (answer.m_exchange->CallerClosed()) {
      closed.push_back(job);
    }
  }
  for (const JobId job : closed) {
    Cancel(job);
  }
}

void
EngineServer::Cancel(JobId aJob)
{
  const auto found = m_answers.find(aJob);
  if (found == m_answers.end()) {
    return;
  }
  const Answer answer = std::move(found->second);
  m_answers.erase(found);
  m_record.SetState(answer.m_callNumber, CallState::Cancelled);
  m_model.Cancel(aJob, m_loop.Now());
  if (answer.m_streams && answer.m_fault != EngineFault::Silent) {
    answer.m_exchange->Abort();
  } else {
    AbortResponse(*answer.m_exchange);
  }
}

void
EngineServer::HandleLoad(net::Exchange& aExchange)
{
  const EngineLoad load = m_model.Load(m_loop.Now());
  const WallTime asOf = m_loop.WallNow() - (m_loop.Now() - load.m_asOf);
  const nlohmann::json json = { { "running", load.m_running },
                                { "waiting", load.m_waiting },
                                { "slots", m_model.Options().m_slots },
                                { "cold", load.m_cold },
                                { "as_of_ms",
                                  asOf.time_since_epoch().count() } };
  ReplyJson(aExchange, 200, json.dump() + "\n");
}

void
EngineServer::HandleCacheEvents(net::Exchange& aExchange)
{
  const std::uint64_t from =
    QueryNumber(aExchange.Request().m_query, "from", 1);
  nlohmann::json events = nlohmann::json::array();
  for (const PrefixCache::Event& event :
       m_model.Cache().Events(from, m_loop.Now())) {
    events.push_back({ { "sequence", event.m_sequence },
                       { "kind", event.m_stored ? "stored" : "evicted" },
                       { "chat", event.m_chat } });
  }
  ReplyJson(
    aExchange, 200, nlohmann::json{ { "events", events } }.dump() + "\n");
}

void
EngineServer::HandleOrder(const Exchange& aExchange)
{
  const nlohmann::json order =
    nlohmann::json::parse(aExchange->Request().m_body, nullptr, false);
  if (!order.is_object() || !order.contains("fencing") ||
      !order["fencing"].is_number_unsigned()) {
    ReplyError(*aExchange, 400, "an order needs a fencing number");
    return;
  }
  const auto fencing = order["fencing"].get<std::uint64_t>();
  if (m_registration.Entry().checks_fencing() && fencing < m_highestFencing) {
    ++m_ordersRefused;
    ReplyError(*aExchange, 409, "old fencing number");
    return;
  }
  m_highestFencing = std::max(m_highestFencing, fencing);
  ++m_ordersTaken;
  if (order.contains("model") && order["model"].is_string()) {
    m_model.TurnCold(m_coldTime, m_loop.Now());
    m_registration.SetModel(order["model"].get<std::string>());
  }
  ReplyJson(*aExchange, 200, "{}\n");
}

void
EngineServer::HandleFault(const Exchange& aExchange)
{
  const std::string& query = aExchange->Request().m_query;
  const auto fault = ParseEngineFault(QueryText(query, "kind"));
  if (!fault) {
    ReplyError(*aExchange, 400, "no such fault");
    return;
  }
  m_faults.Set(*fault, QueryNumber(query, "count", 0));
  ReplyJson(*aExchange, 200, "{}\n");
}

void
EngineServer::HandleStats(net::Exchange& aExchange)
{
  const EngineStats& stats = m_model.Stats();
  const nlohmann::json json = { { "accepted", stats.m_accepted },
                                { "refused_cold", stats.m_refusedCold },
                                { "refused_full", stats.m_refusedFull },
                                { "cached_starts", stats.m_cachedStarts },
                                { "uncached_starts", stats.m_uncachedStarts },
                                { "tokens", stats.m_tokens },
                                { "cancelled", stats.m_cancelled },
                                { "peak_jobs", stats.m_peakJobs },
                                { "peak_cold_jobs", stats.m_peakColdJobs },
                                { "model", m_registration.Entry().model() },
                                { "fencing", m_highestFencing },
                                { "orders_taken", m_ordersTaken },
                                { "orders_refused", m_ordersRefused } };
  ReplyJson(aExchange, 200, json.dump() + "\n");
}

} // namespace walnutwing::standin
