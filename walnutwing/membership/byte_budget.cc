// A token bucket in thousandths of a byte: bytes per second times elapsed
// milliseconds is the refill, without a division. A class can spend only what
// exceeds its reserve, so gossip is refused first and probes last.

#include "walnutwing/membership/byte_budget.h"

#include <algorithm>

namespace walnutwing {
namespace {

constexpr std::uint64_t kMilliBytesPerByte = 1000;
constexpr std::uint64_t kPercent = 100;

} // namespace

ByteBudget::ByteBudget(ByteBudgetOptions aOptions, Time aNow)
  : m_options(aOptions)
  , m_lastRefill(aNow)
  , m_milliBytes(aOptions.m_burstBytes * kMilliBytesPerByte)
{
}

void
ByteBudget::Refill(Time aNow)
{
  if (aNow <= m_lastRefill) {
    return;
  }
  const auto elapsed =
    static_cast<std::uint64_t>((aNow - m_lastRefill).count());
  const std::uint64_t full = m_options.m_burstBytes * kMilliBytesPerByte;
  m_milliBytes =
    std::min(full, m_milliBytes + elapsed * m_options.m_bytesPerSecond);
  m_lastRefill = aNow;
}

std::uint64_t
ByteBudget::ReserveOf(Traffic aClass) const
{
  const std::uint64_t full = m_options.m_burstBytes * kMilliBytesPerByte;
  switch (aClass) {
    case Traffic::Probe:
      return 0;
    case Traffic::Permit:
      return full * m_options.m_permitReservePercent / kPercent;
    case Traffic::Gossip:
      return full * m_options.m_gossipReservePercent / kPercent;
  }
  return full;
}

std::size_t
ByteBudget::Available(Traffic aClass, Time aNow)
{
  Refill(aNow);
  const std::uint64_t reserve = ReserveOf(aClass);
  return m_milliBytes <= reserve
           ? 0
           : (m_milliBytes - reserve) / kMilliBytesPerByte;
}

bool
ByteBudget::TrySpend(Traffic aClass, std::size_t aBytes, Time aNow)
{
  if (Available(aClass, aNow) < aBytes) {
    ++m_refusedSpends;
    return false;
  }
  m_milliBytes -= aBytes * kMilliBytesPerByte;
  m_spentBytes += aBytes;
  return true;
}

} // namespace walnutwing
