// XOR allows a digest to be updated in constant time. 32 bits per bucket are
// enough: a collision hides a difference only until the next change of any
// member of that bucket, and digests only decide whether views are
// synchronized.

#include "walnutwing/membership/view_digest.h"

#include "walnutwing/membership/stable_hash.h"

namespace walnutwing {

std::size_t
ViewDigest::BucketOf(std::string_view aDaemon)
{
  return StableHash(aDaemon) % kBuckets;
}

std::uint32_t
ViewDigest::HashOf(const proto::MemberState& aState)
{
  if (aState.incarnation() == 0 ||
      aState.status() == proto::MemberState::DEAD) {
    return 0;
  }
  const std::uint64_t leaving =
    aState.status() == proto::MemberState::LEAVING ? 1 : 0;
  const std::uint64_t seed = aState.incarnation() * 4 +
                             std::uint64_t{ aState.refutation() } * 2 + leaving;
  const auto hash =
    static_cast<std::uint32_t>(StableHash(aState.daemon(), seed + 1));
  return hash == 0 ? 1 : hash;
}

void
ViewDigest::Toggle(std::string_view aDaemon, std::uint32_t aHash)
{
  m_buckets[BucketOf(aDaemon)] ^= aHash;
}

std::uint64_t
ViewDigest::Combined() const
{
  std::uint64_t combined = 0;
  for (const std::uint32_t bucket : m_buckets) {
    combined = MixBits(combined ^ bucket) + 1;
  }
  return combined;
}

} // namespace walnutwing
