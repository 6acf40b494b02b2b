#ifndef WALNUTWING_STANDIN_LOAD_PLAN_H_
#define WALNUTWING_STANDIN_LOAD_PLAN_H_

// A plan of requests over a span of time, drawn from a seed: when they arrive,
// of which class, for which customer, and which parts their prompts share. The
// same options give the same plan on every machine. The load tool sends the
// requests of a plan to daemons, the routing bench to models of engines.
//
// Arrivals are independent of each other (a Poisson process); patterns change
// the rate or the mix during the middle third of the plan.

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
  Chat,   // a prompt that is answered by a stream of tokens
  Lookup, // idempotent
  Order,  // not idempotent
};

std::string_view
NameOf(LoadKind aKind);

std::optional<LoadKind>
ParseLoadKind(std::string_view aName);

// A prompt part that prompts have in common: each prompt has one of m_count
// variants, the first ones more frequently.
struct SharedPart
{
  std::uint32_t m_tokens = 0;
  std::uint32_t m_count = 1;
};

struct LoadClass
{
  std::string m_name;
  LoadKind m_kind = LoadKind::Chat;
  double m_weight = 1;              // share of the requests, relative to others
  std::vector<SharedPart> m_parts;  // of a chat's prompt, the most common first
  std::uint32_t m_uniqueTokens = 0; // mean, of the part that is not shared
  std::uint32_t m_answerTokens = 1; // mean
  std::uint32_t m_priority = 0;     // 0 is the most urgent
  Duration m_target{ 300 };         // latency target of the first byte
  Duration m_deadline{ 8000 };      // of the last byte
};

// How the load differs from a steady one in the middle third of the plan.
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
  std::uint64_t m_key = 0; // equal for equal text
  std::uint32_t m_tokens = 0;
};

struct PlannedRequest
{
  Duration m_at{ 0 };      // since the start of the plan
  std::size_t m_class = 0; // index in LoadPlanOptions::m_classes
  std::uint32_t m_customer = 0;
  std::vector<PromptPart> m_parts; // the shared ones
  std::uint32_t m_uniqueTokens = 0;
  std::uint32_t m_answerTokens = 1;
};

// Returns the requests in order of time. Throws std::invalid_argument if there
// is no class, or a rate, length, weight or count is not positive.
std::vector<PlannedRequest>
MakeLoadPlan(const LoadPlanOptions& aOptions);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_LOAD_PLAN_H_
