#ifndef WALNUTWING_STANDIN_LOAD_PLAN_H_
#define WALNUTWING_STANDIN_LOAD_PLAN_H_

// What callers do over a span of time, drawn from a seed: when requests come,
// of which class, for which customer, and which parts their prompts share. The
// same options give the same plan on every machine. The load tool plays plans
// against a router, the routing bench against models of engines.
//
// Requests come independently of each other (a Poisson process); patterns
// change the rate or the mix for a part of the time.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

enum class LoadKind
{
  Chat,   // a stream of tokens to a prompt
  Lookup, // may be repeated
  Order,  // may not
};

std::string_view
NameOf(LoadKind aKind);

std::optional<LoadKind>
ParseLoadKind(std::string_view aName);

// A part that prompts share: one of m_count, the first ones more often.
struct SharedPart
{
  std::uint32_t m_tokens = 0;
  std::uint32_t m_count = 1;
};

struct LoadClass
{
  std::string m_name;
  LoadKind m_kind = LoadKind::Chat;
  double m_weight = 1;              // of the requests, against other classes
  std::vector<SharedPart> m_parts;  // of a chat's prompt, the common one first
  std::uint32_t m_uniqueTokens = 0; // mean of what no other prompt holds
  std::uint32_t m_answerTokens = 1; // mean
  std::uint32_t m_priority = 0;     // 0 is the most urgent
  Duration m_target{ 300 };         // to the first byte
  Duration m_deadline{ 8000 };      // to the last one
};

// What callers do out of the ordinary, in the middle third of the plan.
enum class LoadPattern
{
  Steady,
  Burst,       // twice as many requests
  HotKey,      // two thirds of the prompts share one part
  HotCustomer, // one customer sends as much as all others together
};

std::span<const LoadPattern>
AllLoadPatterns();

std::string_view
NameOf(LoadPattern aPattern);

std::optional<LoadPattern>
ParseLoadPattern(std::string_view aName);

struct LoadPlanOptions
{
  double m_requestsPerSecond = 100;
  Duration m_length{ 30'000 };
  LoadPattern m_pattern = LoadPattern::Steady;
  std::uint32_t m_customers = 12;
  std::uint64_t m_seed = 1;
  std::vector<LoadClass> m_classes;
};

struct PromptPart
{
  std::uint64_t m_key = 0; // the same for the same text
  std::uint32_t m_tokens = 0;
};

struct PlannedRequest
{
  Duration m_at{ 0 }; // since the start
  std::size_t m_class = 0;
  std::uint32_t m_customer = 0;
  std::vector<PromptPart> m_parts; // shared ones
  std::uint32_t m_uniqueTokens = 0;
  std::uint32_t m_answerTokens = 1;
};

// In the order of time. Throws std::invalid_argument without a class or with a
// rate, length, weight or count that is not positive.
std::vector<PlannedRequest>
MakeLoadPlan(const LoadPlanOptions& aOptions);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LOAD_PLAN_H_
