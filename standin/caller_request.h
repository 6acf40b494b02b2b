#ifndef WALNUTWING_STANDIN_CALLER_REQUEST_H_
#define WALNUTWING_STANDIN_CALLER_REQUEST_H_

// The requests of the load tool, and what their answers are worth.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "standin/answer_check.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

enum class Scenario
{
  Chats,   // streamed answers to returning chats
  Lookups, // whole answers, no chat
  Orders,  // calls that must run at most once
};

// "chats", "lookups", "orders".
std::optional<Scenario>
ParseScenario(std::string_view aName);

std::string_view
NameOf(Scenario aScenario);

struct RequestOptions
{
  Scenario m_scenario = Scenario::Chats;
  std::string m_customerKey = "key";
  std::string m_service = "assistant";
  std::string m_model = "m1";
  std::uint64_t m_chats = 100; // that return
  std::uint64_t m_maxTokens = 32;
  Duration m_deadline{ 30'000 };
  std::string m_runId = "run"; // makes order keys unique
};

// Request aNumber, without its endpoint. The same number gives the same
// request, but for an order's key, which carries aNow as the time of issue.
net::CallRequest
MakeRequest(const RequestOptions& aOptions,
            std::uint64_t aNumber,
            WallTime aNow);

// A customer's key for an order: YYYYMMDDThhmmssZ-ID.
std::string
MakeOrderKey(WallTime aNow, const std::string& aId);

enum class Outcome
{
  Whole,            // the whole answer to this request
  Refused,          // an error with a result code that says "not run"
  Failed,           // an error with another result code
  ErrorWithoutCode, // an error without a result code
  Broken,           // the connection broke; the caller can see that
  Unreachable,      // no connection
  Wrong,            // an answer that is short, altered or another's
};

std::string_view
NameOf(Outcome aOutcome);

// What a whole (not streamed) answer to aRequest is worth.
Outcome
ClassifyResponse(Scenario aScenario,
                 const net::CallRequest& aRequest,
                 const net::WholeAnswer& aAnswer);

// What a streamed answer with status 200 is worth.
Outcome
ClassifyStream(const StreamCheck& aCheck, const net::CallEnd& aEnd);

// What an answer with an error status is worth.
Outcome
ClassifyError(const net::Headers& aHeaders, std::string_view aBody);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALLER_REQUEST_H_
