#ifndef WALNUTWING_MEMBERSHIP_STABLE_HASH_H_
#define WALNUTWING_MEMBERSHIP_STABLE_HASH_H_

// A hash for short strings that is the same in every process and build: FNV-1a
// with the finalizer of MurmurHash3.

#include <cstdint>
#include <string_view>

namespace walnutwing {

constexpr std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 33;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  aValue ^= aValue >> 33;
  return aValue;
}

constexpr std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ MixBits(aSeed);
  for (const char byte : aText) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001b3ULL;
  }
  return MixBits(hash);
}

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_STABLE_HASH_H_
