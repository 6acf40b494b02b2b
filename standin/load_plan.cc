#include "standin/load_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace walnutwing::standin {
namespace {

constexpr double kBurstFactor = 2;
constexpr double kHotKeyShare = 0.66;
// Shares of popular parts fall with their place to this power.
constexpr double kPopularity = 0.5;
// Tokens vary up to this many means.
constexpr double kMostMeans = 4;

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
NameIn(const std::array<Name<T>, N>& aTable, T aValue)
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
ValueIn(const std::array<Name<T>, N>& aTable, std::string_view aName)
{
  for (const Name<T>& row : aTable) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

// Random numbers of our own making: those of the standard library's
// distributions differ from one library to the next.
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

  double Unit() // from 0, below 1
  {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

  double Exponential(double aMean) { return -aMean * std::log(1 - Unit()); }

  std::uint32_t Tokens(std::uint32_t aMean)
  {
    const double drawn = std::min(Exponential(aMean), kMostMeans * aMean);
    return std::max(1U, static_cast<std::uint32_t>(drawn));
  }

  // One of aCount, the first ones more often.
  std::uint32_t Popular(std::uint32_t aCount)
  {
    const double place = std::pow(Unit(), 1 / (1 - kPopularity)) * aCount;
    return std::min(aCount - 1, static_cast<std::uint32_t>(place));
  }

private:
  std::uint64_t m_state;
};

void
Check(const LoadPlanOptions& aOptions)
{
  bool sound = aOptions.m_requestsPerSecond > 0 &&
               aOptions.m_length.count() > 0 && aOptions.m_customers > 0 &&
               !aOptions.m_classes.empty();
  for (const LoadClass& one : aOptions.m_classes) {
    sound = sound && one.m_weight > 0;
    for (const SharedPart& part : one.m_parts) {
      sound = sound && part.m_count > 0;
    }
  }
  if (!sound) {
    throw std::invalid_argument(
      "a load plan needs classes, and positive rates, lengths and counts");
  }
}

class Planner
{
public:
  explicit Planner(const LoadPlanOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
  {
    for (const LoadClass& one : aOptions.m_classes) {
      m_weights += one.m_weight;
    }
  }

  std::vector<PlannedRequest> Make()
  {
    std::vector<PlannedRequest> plan;
    const double end = static_cast<double>(m_options.m_length.count());
    double at = 0;
    while (true) {
      // Drawn at the highest rate; those of calmer times are dropped.
      at += m_random.Exponential(1000 / HighestRate());
      if (at >= end) {
        return plan;
      }
      const bool middle = at >= end / 3 && at < end * 2 / 3;
      if (m_random.Unit() * HighestRate() < RateAt(middle)) {
        plan.push_back(Draw(at, middle));
      }
    }
  }

private:
  bool Is(LoadPattern aPattern) const
  {
    return m_options.m_pattern == aPattern;
  }

  double HighestRate() const
  {
    const bool more = Is(LoadPattern::Burst) || Is(LoadPattern::HotCustomer);
    return m_options.m_requestsPerSecond * (more ? kBurstFactor : 1);
  }

  double RateAt(bool aMiddle) const
  {
    return aMiddle ? HighestRate() : m_options.m_requestsPerSecond;
  }

  std::size_t DrawClass()
  {
    double left = m_random.Unit() * m_weights;
    for (std::size_t i = 0; i + 1 < m_options.m_classes.size(); ++i) {
      left -= m_options.m_classes[i].m_weight;
      if (left < 0) {
        return i;
      }
    }
    return m_options.m_classes.size() - 1;
  }

  PlannedRequest Draw(double aAt, bool aMiddle)
  {
    PlannedRequest request;
    request.m_at = Duration(static_cast<Duration::rep>(aAt));
    request.m_class = DrawClass();
    const bool hotCustomer =
      aMiddle && Is(LoadPattern::HotCustomer) && m_random.Unit() < 0.5;
    request.m_customer =
      hotCustomer
        ? 0
        : static_cast<std::uint32_t>(m_random.Next() % m_options.m_customers);
    const bool hotKey =
      aMiddle && Is(LoadPattern::HotKey) && m_random.Unit() < kHotKeyShare;
    const LoadClass& one = m_options.m_classes[request.m_class];
    std::uint64_t key = request.m_class + 1;
    for (const SharedPart& part : one.m_parts) {
      const std::uint32_t place = hotKey ? 0 : m_random.Popular(part.m_count);
      key = Random(key * 1'000'003 + place).Next();
      request.m_parts.push_back({ key, part.m_tokens });
    }
    if (one.m_uniqueTokens > 0) {
      request.m_uniqueTokens = m_random.Tokens(one.m_uniqueTokens);
    }
    request.m_answerTokens = m_random.Tokens(one.m_answerTokens);
    return request;
  }

  const LoadPlanOptions& m_options;
  Random m_random;
  double m_weights = 0;
};

} // namespace

std::string_view
NameOf(LoadKind aKind)
{
  return NameIn(kKinds, aKind);
}

std::optional<LoadKind>
ParseLoadKind(std::string_view aName)
{
  return ValueIn(kKinds, aName);
}

std::span<const LoadPattern>
AllLoadPatterns()
{
  return kAllPatterns;
}

std::string_view
NameOf(LoadPattern aPattern)
{
  return NameIn(kPatterns, aPattern);
}

std::optional<LoadPattern>
ParseLoadPattern(std::string_view aName)
{
  return ValueIn(kPatterns, aName);
}

std::vector<PlannedRequest>
MakeLoadPlan(const LoadPlanOptions& aOptions)
{
  Check(aOptions);
  return Planner(aOptions).Make();
}

} // namespace walnutwing::standin
