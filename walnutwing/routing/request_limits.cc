#include "walnutwing/routing/request_limits.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace walnutwing {
namespace {

// A limit that no response has stated for this long has ended. Longer than the
// time between two requests to an upstream that takes very few.
constexpr Duration kLimitLifetime = std::chrono::seconds(10);
// How long a statement is repeated to other daemons, and how often one that
// still holds is repeated again.
constexpr Duration kTellDuration = std::chrono::milliseconds(700);
constexpr Duration kTellInterval = std::chrono::seconds(3);

} // namespace

void
CheckRequestLimit(double aPerSecond)
{
  if (!std::isfinite(aPerSecond) || aPerSecond < 0) {
    throw std::invalid_argument("not a request limit: " +
                                std::to_string(aPerSecond));
  }
}

bool
RequestLimits::IsExpired(const Entry& aEntry, Time aNow)
{
  return aNow - aEntry.m_statement.m_statedAt > kLimitLifetime;
}

bool
RequestLimits::OnResponse(std::uint32_t aUpstream,
                          std::optional<double> aPerSecond,
                          Time aSentAt,
                          Time aNow)
{
  if (!aPerSecond) {
    const auto entry = m_entries.find(aUpstream);
    const bool ends = entry != m_entries.end() &&
                      entry->second.m_statement.m_perSecond &&
                      aSentAt > entry->second.m_statement.m_statedAt;
    if (!ends) {
      return false;
    }
  }
  return Update({ aUpstream, aPerSecond, aNow }, aNow);
}

bool
RequestLimits::OnStatement(const LimitStatement& aStatement, Time aNow)
{
  if (aStatement.m_perSecond) {
    CheckRequestLimit(*aStatement.m_perSecond);
  }
  const auto entry = m_entries.find(aStatement.m_upstream);
  if (entry == m_entries.end()
        ? aNow - aStatement.m_statedAt > kLimitLifetime
        : aStatement.m_statedAt <= entry->second.m_statement.m_statedAt) {
    return false;
  }
  return Update(aStatement, aNow);
}

// Takes over a statement that is newer than the known one.
bool
RequestLimits::Update(const LimitStatement& aStatement, Time aNow)
{
  const auto [found, added] = m_entries.try_emplace(aStatement.m_upstream);
  Entry& entry = found->second;
  const bool changed = added || IsExpired(entry, aNow) ||
                       entry.m_statement.m_perSecond != aStatement.m_perSecond;
  entry.m_statement = aStatement;
  if (changed || aNow - entry.m_toldSince >= kTellInterval) {
    entry.m_toldSince = aNow;
  }
  return changed;
}

std::optional<double>
RequestLimits::LimitOf(std::uint32_t aUpstream, Time aNow) const
{
  const auto entry = m_entries.find(aUpstream);
  return entry == m_entries.end() || IsExpired(entry->second, aNow)
           ? std::nullopt
           : entry->second.m_statement.m_perSecond;
}

std::vector<LimitStatement>
RequestLimits::News(Time aNow) const
{
  std::vector<LimitStatement> news;
  for (const auto& [upstream, entry] : m_entries) {
    if (aNow - entry.m_toldSince < kTellDuration) {
      news.push_back(entry.m_statement);
    }
  }
  return news;
}

void
RequestLimits::DropExpired(Time aNow)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return IsExpired(aEntry.second, aNow);
  });
}

} // namespace walnutwing
