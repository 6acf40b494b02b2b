// Every request has a unique text, from which the expected answer follows, so
// that an answer to another request is recognized as wrong.

#include "standin/caller_request.h"

#include <array>
#include <ctime>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "standin/answer_check.h"
#include "standin/enum_names.h"

namespace walnutwing::standin {

namespace {

constexpr std::array<EnumName<Scenario>, 3> kScenarioNames{ {
  { Scenario::Chats, "chats" },
  { Scenario::Lookups, "lookups" },
  { Scenario::Orders, "orders" },
} };

constexpr std::array<EnumName<Outcome>, 7> kOutcomeNames{ {
  { Outcome::Complete, "whole" },
  { Outcome::Refused, "refused" },
  { Outcome::Failed, "failed" },
  { Outcome::ErrorWithoutCode, "unnumbered" },
  { Outcome::Broken, "broken" },
  { Outcome::Unreachable, "unreachable" },
  { Outcome::Wrong, "wrong" },
} };

std::string
MakeChatBody(const RequestOptions& aOptions, std::uint64_t aNumber)
{
  const std::string text =
    aOptions.m_runId + " asks " + std::to_string(aNumber);
  const nlohmann::json body = {
    { "model", aOptions.m_model },
    { "stream", aOptions.m_scenario == Scenario::Chats },
    { "max_tokens", aOptions.m_maxTokens },
    { "messages", { { { "role", "user" }, { "content", text } } } }
  };
  return body.dump();
}

bool
IsAnswerToOrder(const net::CallRequest& aRequest, std::string_view aAnswer)
{
  const nlohmann::json json = nlohmann::json::parse(aAnswer, nullptr, false);
  const std::uint64_t hash =
    XXH64(aRequest.m_body.data(), aRequest.m_body.size(), 0);
  return json.is_object() && json.value("done", false) &&
         json.value("body_hash", std::uint64_t{ 0 }) == hash &&
         json.value("order_key", "") ==
           aRequest.m_headers.Get("idempotency-key");
}

} // namespace

std::optional<Scenario>
ParseScenario(std::string_view aName)
{
  return ValueIn<Scenario>(kScenarioNames, aName);
}

std::string_view
NameOf(Scenario aScenario)
{
  return NameIn<Scenario>(kScenarioNames, aScenario);
}

std::string_view
NameOf(Outcome aOutcome)
{
  return NameIn<Outcome>(kOutcomeNames, aOutcome);
}

net::CallRequest
MakeRequest(const RequestOptions& aOptions,
            std::uint64_t aNumber,
            WallTime aNow)
{
  net::CallRequest request;
  request.m_method = "POST";
  request.m_headers.Add("authorization", "Bearer " + aOptions.m_customerKey);
  request.m_headers.Add("content-type", "application/json");
  request.m_headers.Add("walnutwing-deadline-ms",
                        std::to_string(aOptions.m_deadline.count()));
  if (aOptions.m_scenario == Scenario::Orders) {
    const std::string id = aOptions.m_runId + "-" + std::to_string(aNumber);
    request.m_target = "/v1/orders/" + aOptions.m_service;
    request.m_headers.Add("idempotency-key", MakeOrderKey(aNow, id));
    request.m_body = nlohmann::json{ { "order", id } }.dump();
    return request;
  }
  request.m_target = "/v1/chat/completions";
  request.m_headers.Add("walnutwing-service", aOptions.m_service);
  if (aOptions.m_scenario == Scenario::Chats && aOptions.m_chats != 0) {
    request.m_headers.Add("walnutwing-chat",
                          "chat-" + std::to_string(aNumber % aOptions.m_chats));
  }
  request.m_body = MakeChatBody(aOptions, aNumber);
  return request;
}

std::string
MakeOrderKey(WallTime aNow, const std::string& aId)
{
  const std::time_t seconds = std::chrono::system_clock::to_time_t(aNow);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y%m%dT%H%M%SZ", &parts);
  return std::string(text.data()) + "-" + aId;
}

Outcome
ClassifyResponse(Scenario aScenario,
                 const net::CallRequest& aRequest,
                 const net::HttpResponse& aResponse)
{
  if (aResponse.m_end.m_stage == net::CallStage::NotSent) {
    return Outcome::Unreachable;
  }
  if (aResponse.m_end.m_stage != net::CallStage::Complete) {
    return Outcome::Broken;
  }
  if (aResponse.m_status != 200) {
    return ClassifyError(aResponse.m_headers, aResponse.m_body);
  }
  const bool correct = aScenario == Scenario::Orders
                         ? IsAnswerToOrder(aRequest, aResponse.m_body)
                         : IsCorrectAnswer(aRequest.m_body, aResponse.m_body);
  return correct ? Outcome::Complete : Outcome::Wrong;
}

Outcome
ClassifyStream(const StreamCheck& aCheck, const net::CallEnd& aEnd)
{
  if (aEnd.m_stage == net::CallStage::NotSent) {
    return Outcome::Unreachable;
  }
  switch (aCheck.Result()) {
    case Verdict::Complete:
      return Outcome::Complete;
    case Verdict::ErrorWithCode:
      return Outcome::Failed;
    case Verdict::Wrong:
      return Outcome::Wrong;
    case Verdict::Unfinished:
      // A response that ends regularly before the answer does hides that the
      // answer is truncated, so it is wrong and not just broken.
      return aEnd.m_stage == net::CallStage::Complete ? Outcome::Wrong
                                                      : Outcome::Broken;
  }
  return Outcome::Wrong;
}

Outcome
ClassifyError(const net::Headers& aHeaders, std::string_view aBody)
{
  const nlohmann::json json = nlohmann::json::parse(aBody, nullptr, false);
  const int code = ErrorCodeIn(aBody);
  if (code == 0 || aHeaders.Get("walnutwing-code") != std::to_string(code)) {
    return Outcome::ErrorWithoutCode;
  }
  const nlohmann::json::json_pointer ran("/error/ran");
  const bool notRun = json.contains(ran) && json[ran] == "not run";
  return notRun ? Outcome::Refused : Outcome::Failed;
}

} // namespace walnutwing::standin
