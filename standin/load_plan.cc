// Arrivals are a Poisson process of varying rate, drawn by thinning: candidates
// come at the maximum rate and are dropped with the probability that gives the
// rate of their time.

#include "standin/load_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace walnutwing::standin {
namespace {

constexpr double kBurstFactor = 2;
constexpr double kHotKeyShare = 0.66;
// The frequency of a part's variant is proportional to
// rank^-kPopularityExponent.
constexpr double kPopularityExponent = 0.5;
// Token counts are capped at this multiple of their mean.
constexpr double kMaxMeanMultiple = 4;

template<typename T>
struct Name
{
  T m_value;
  std::string_view m_name;
};

constexpr std::array<Name<LoadKind>, 3> kKinds{ {
  { LoadKind::Chat, "chat" },
  { LoadKind::Lookup, "lookup" },
  { LoadKind::Order, "order" },
} };

constexpr std::array<LoadPattern, 4> kAllPatterns{ LoadPattern::Steady,
                                                   LoadPattern::Burst,
                                                   LoadPattern::HotKey,
                                                   LoadPattern::HotCustomer };

constexpr std::array<Name<LoadPattern>, 4> kPatterns{ {
  { LoadPattern::Steady, "steady" },
  { LoadPattern::Burst, "burst" },
  { LoadPattern::HotKey, "hot_key" },
  { LoadPattern::HotCustomer, "hot_customer" },
} };

template<typename T, std::size_t N>
std::string_view
FindName(const std::array<Name<T>, N>& aTable, T aValue)
{
  for (const Name<T>& row : aTable) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "unknown";
}

template<typename T, std::size_t N>
std::optional<T>
FindValue(const std::array<Name<T>, N>& aTable, std::string_view aName)
{
  for (const Name<T>& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

// A portable generator: the distributions of the standard library give
// different numbers in different implementations.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_state(aSeed)
  {
  }

  std::uint64_t Next() // SplitMix64
  {
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t value = m_state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
  }

  double NextUnit() // in [0, 1)
  {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

  double NextExponential(double aMean)
  {
    return -aMean * std::log(1 - NextUnit());
  }

  std::uint32_t NextTokens(std::uint32_t aMean)
  {
    const double drawn =
      std::min(NextExponential(aMean), kMaxMeanMultiple * aMean);
    return std::max(1U, static_cast<std::uint32_t>(drawn));
  }

  // An index below aCount; low indices are more frequent.
  std::uint32_t NextPopular(std::uint32_t aCount)
  {
    const double index =
      std::pow(NextUnit(), 1 / (1 - kPopularityExponent)) * aCount;
    return std::min(aCount - 1, static_cast<std::uint32_t>(index));
  }

private:
  std::uint64_t m_state;
};

void
ValidateOptions(const LoadPlanOptions& aOptions)
{
  bool valid = aOptions.m_requestsPerSecond > 0 &&
               aOptions.m_length.count() > 0 && aOptions.m_customers > 0 &&
               !aOptions.m_classes.empty();
  for (const LoadClass& loadClass : aOptions.m_classes) {
    valid = valid && loadClass.m_weight > 0;
    for (const SharedPart& part : loadClass.m_parts) {
      valid = valid && part.m_count > 0;
    }
  }
  if (!valid) {
    throw std::invalid_argument(
      "a load plan needs at least one class, and a positive rate, length, "
      "weights and counts");
  }
}

class PlanGenerator
{
public:
  explicit PlanGenerator(const LoadPlanOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    for (const LoadClass& loadClass : aOptions.m_classes) {
      m_totalWeight += loadClass.m_weight;
    }
  }

  std::vector<PlannedRequest> Generate()
  {
    std::vector<PlannedRequest> plan;
    const double end = static_cast<double>(m_options.m_length.count());
    double at = 0;
    while (true) {
      // Thinning: candidates are drawn at the maximum rate.
      at += m_random.NextExponential(1000 / MaxRate());
      if (at >= end) {
        return plan;
      }
      const bool middleThird = at >= end / 3 && at < end * 2 / 3;
      if (m_random.NextUnit() * MaxRate() < RateAt(middleThird)) {
        plan.push_back(DrawRequest(at, middleThird));
      }
    }
  }

private:
  bool HasPattern(LoadPattern aPattern) const
  {
    return m_options.m_pattern == aPattern;
  }

  double MaxRate() const
  {
    const bool raisesRate =
      HasPattern(LoadPattern::Burst) || HasPattern(LoadPattern::HotCustomer);
    return m_options.m_requestsPerSecond * (raisesRate ? kBurstFactor : 1);
  }

  double RateAt(bool aMiddleThird) const
  {
    return aMiddleThird ? MaxRate() : m_options.m_requestsPerSecond;
  }

  std::size_t DrawClass()
  {
    double remaining = m_random.NextUnit() * m_totalWeight;
    for (std::size_t i = 0; i + 1 < m_options.m_classes.size(); ++i) {
      remaining -= m_options.m_classes[i].m_weight;
      if (remaining < 0) {
        return i;
      }
    }
    return m_options.m_classes.size() - 1;
  }

  PlannedRequest DrawRequest(double aAt, bool aMiddleThird)
  {
    PlannedRequest request;
    request.m_at = Duration(static_cast<Duration::rep>(aAt));
    request.m_class = DrawClass();
    const bool hotCustomer = aMiddleThird &&
                             HasPattern(LoadPattern::HotCustomer) &&
                             m_random.NextUnit() < 0.5;
    request.m_customer =
      hotCustomer
        ? 0
        : static_cast<std::uint32_t>(m_random.Next() % m_options.m_customers);
    const bool hotKey = aMiddleThird && HasPattern(LoadPattern::HotKey) &&
                        m_random.NextUnit() < kHotKeyShare;
    const LoadClass& loadClass = m_options.m_classes[request.m_class];
    std::uint64_t key = request.m_class + 1;
    for (const SharedPart& part : loadClass.m_parts) {
      const std::uint32_t index =
        hotKey ? 0 : m_random.NextPopular(part.m_count);
      key = Random(key * 1'000'003 + index).Next();
      request.m_parts.push_back({ key, part.m_tokens });
    }
    if (loadClass.m_uniqueTokens > 0) {
      request.m_uniqueTokens = m_random.NextTokens(loadClass.m_uniqueTokens);
    }
    request.m_answerTokens = m_random.NextTokens(loadClass.m_answerTokens);
    return request;
  }

  const LoadPlanOptions& m_options;
  Random m_random;
  double m_totalWeight = 0;
};

} // namespace

std::string_view
NameOf(LoadKind aKind)
{
  return FindName(kKinds, aKind);
}

std::optional<LoadKind>
ParseLoadKind(std::string_view aName)
{
  return FindValue(kKinds, aName);
}

std::span<const LoadPattern>
AllLoadPatterns()
{
  return kAllPatterns;
}

std::string_view
NameOf(LoadPattern aPattern)
{
  return FindName(kPatterns, aPattern);
}

std::optional<LoadPattern>
ParseLoadPattern(std::string_view aName)
{
  return FindValue(kPatterns, aName);
}

std::vector<PlannedRequest>
MakeLoadPlan(const LoadPlanOptions& aOptions)
{
  ValidateOptions(aOptions);
  return PlanGenerator(aOptions).Generate();
}

} // namespace walnutwing::standin
