#ifndef WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_
#define WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_

// The budget of bytes that a daemon sends to its peers: one token bucket, with
// a reserve for each more important class of traffic. Every peer message is
// charged here before it leaves, packet headers included.

#include <cstddef>
#include <cstdint>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// What a daemon adds to each envelope it sends, as an estimate for ZeroMQ over
// TCP: IP header 20, TCP header with timestamps 32, ZeroMQ frame 2, and half of
// the 52 bytes of a TCP acknowledgement that carries no data (an answer carries
// the acknowledgement of its question; every second message needs one of its
// own).
constexpr std::size_t kPacketOverheadBytes = 80;

// Classes of peer traffic, the most important first.
enum class Traffic
{
  Probe,  // pings and acknowledgements: without them members seem dead
  Permit, // leave to send a request to an engine, and configuration
  Gossip, // everything that may wait
};

struct ByteBudgetOptions
{
  // Sent by one daemon. As much is received on average, so that twice this is
  // what a daemon spends in both directions.
  std::uint32_t m_bytesPerSecond = 2000;
  std::uint32_t m_burstBytes = 6000;
  // Shares of the burst that lower classes leave to higher ones, in percent.
  std::uint32_t m_permitReservePercent = 15; // kept by Permit for Probe
  std::uint32_t m_gossipReservePercent = 40; // kept by Gossip for the others
};

class ByteBudget
{
public:
  ByteBudget(ByteBudgetOptions aOptions, Time aNow);

  // Spends aBytes if the class may, or spends nothing and returns false. Bytes
  // are the envelope's size plus kPacketOverheadBytes.
  bool TrySpend(Traffic aClass, std::size_t aBytes, Time aNow);

  // Bytes that the class may spend now.
  std::size_t Available(Traffic aClass, Time aNow);

  // Spent and refused since the start.
  std::uint64_t SpentBytes() const { return m_spentBytes; }
  std::uint64_t RefusedSpends() const { return m_refusedSpends; }

private:
  void Refill(Time aNow);
  std::uint64_t ReserveOf(Traffic aClass) const;

  ByteBudgetOptions m_options;
  Time m_lastRefill;
  std::uint64_t
    m_milliBytes; // thousandths of a byte, so that no refill is lost
  std::uint64_t m_spentBytes = 0;
  std::uint64_t m_refusedSpends = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_
