#ifndef WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_
#define WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_

// The byte budget for a daemon's messages to its peers: one token bucket, of
// which each traffic class leaves a reserve to the more important classes.
// Every peer message is charged before it is sent, packet headers included.

#include <cstddef>
#include <cstdint>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// Estimated overhead of an envelope sent by ZeroMQ over TCP, in bytes: IP
// header 20, TCP header with timestamps 32, ZeroMQ frame 2, and half of a TCP
// acknowledgement without data (52). Half, because a reply carries the TCP
// acknowledgement of its request, so that only every second message needs a
// separate one.
constexpr std::size_t kPacketOverheadBytes = 80;

// Classes of peer traffic, most important first.
enum class Traffic
{
  Probe,  // pings and acks; a member that answers none is declared dead
  Permit, // permits to send a request to an upstream, and configuration
  Gossip, // everything that can be delayed
};

struct ByteBudgetOptions
{
  // Limit on the bytes that one daemon sends. It receives as much on average,
  // so its traffic in both directions is up to about twice this.
  std::uint32_t m_bytesPerSecond = 2000;
  std::uint32_t m_burstBytes = 6000; // capacity of the bucket
  // Percentage of the burst that a class leaves to the more important classes.
  std::uint32_t m_permitReservePercent = 15; // left by Permit to Probe
  std::uint32_t m_gossipReservePercent = 40; // left by Gossip to the others
};

class ByteBudget
{
public:
  ByteBudget(ByteBudgetOptions aOptions, Time aNow);

  // Spends aBytes and returns true if they are available to the class;
  // otherwise spends nothing and returns false. aBytes is the envelope's size
  // plus kPacketOverheadBytes.
  bool TrySpend(Traffic aClass, std::size_t aBytes, Time aNow);

  // Bytes that the class can spend at aNow.
  std::size_t Available(Traffic aClass, Time aNow);

  // Since construction: the bytes spent, and the TrySpend calls refused.
  std::uint64_t SpentBytes() const { return m_spentBytes; }
  std::uint64_t RefusedSpends() const { return m_refusedSpends; }

private:
  void Refill(Time aNow);
  std::uint64_t ReserveOf(Traffic aClass) const;

  ByteBudgetOptions m_options;
  Time m_lastRefill;
  // Available, in thousandths of a byte, so that no refill is rounded away.
  std::uint64_t m_milliBytes;
  std::uint64_t m_spentBytes = 0;
  std::uint64_t m_refusedSpends = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_BYTE_BUDGET_H_
