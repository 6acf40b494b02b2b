#ifndef WALNUTWING_STANDIN_CALLER_REQUEST_H_
#define WALNUTWING_STANDIN_CALLER_REQUEST_H_

// Builds the requests of the load tool and classifies their answers.

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
  Chats,   // chat requests with streamed answers
  Lookups, // chat requests with answers that are not streamed
  Orders,  // orders, which must run at most once
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
  std::uint64_t m_chats = 100; // number of distinct chats, 0: none is named
  std::uint64_t m_maxTokens = 32;
  Duration m_deadline{ 30'000 };
  std::string m_runId = "run"; // makes order keys unique
};

// Builds request aNumber, without its endpoint. The same number gives the same
// request, except for an order's key, which contains aNow as its time of issue.
net::CallRequest
MakeRequest(const RequestOptions& aOptions,
            std::uint64_t aNumber,
            WallTime aNow);

// An order's idempotency key: YYYYMMDDThhmmssZ-ID, in UTC.
std::string
MakeOrderKey(WallTime aNow, const std::string& aId);

enum class Outcome
{
  Complete,         // the complete answer to this request
  Refused,          // an error with a result code that says "not run"
  Failed,           // an error with another result code
  ErrorWithoutCode, // an error without a result code
  Broken,           // the connection broke, which the caller notices
  Unreachable,      // no connection was made
  Wrong,            // truncated, altered or the answer to another request
};

std::string_view
NameOf(Outcome aOutcome);

// Classifies an answer to aRequest that is not streamed, or an error.
Outcome
ClassifyResponse(Scenario aScenario,
                 const net::CallRequest& aRequest,
                 const net::HttpResponse& aResponse);

// Classifies a streamed answer with status 200.
Outcome
ClassifyStream(const StreamCheck& aCheck, const net::CallEnd& aEnd);

// Classifies an answer with an error status.
Outcome
ClassifyError(const net::Headers& aHeaders, std::string_view aBody);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_CALLER_REQUEST_H_
