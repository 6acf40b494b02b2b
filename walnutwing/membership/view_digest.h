#ifndef WALNUTWING_MEMBERSHIP_VIEW_DIGEST_H_
#define WALNUTWING_MEMBERSHIP_VIEW_DIGEST_H_

// Digests by which two daemons see whether, and roughly where, their views
// differ: members fall into buckets by the hash of their ids, and a bucket's
// digest is the XOR of hashes over its members' states.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "peer.pb.h"

namespace walnutwing {

class ViewDigest
{
public:
  static constexpr std::size_t kBuckets = 32;

  static std::size_t BucketOf(std::string_view aDaemon);

  // What a state contributes: nothing (0) for the dead and for members that no
  // one has heard of; a suspect counts as alive.
  static std::uint32_t HashOf(const proto::MemberState& aState);

  // Puts a state's hash in, or takes the same hash out again.
  void Toggle(std::string_view aDaemon, std::uint32_t aHash);

  std::uint64_t Combined() const;
  const std::array<std::uint32_t, kBuckets>& Buckets() const
  {
    return m_buckets;
  }

private:
  std::array<std::uint32_t, kBuckets> m_buckets{};
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_VIEW_DIGEST_H_
