#ifndef WALNUTWING_MEMBERSHIP_VIEW_DIGEST_H_
#define WALNUTWING_MEMBERSHIP_VIEW_DIGEST_H_

// A digest of a daemon's view, by which two daemons find out whether their
// views differ, and in which part. Members are divided into buckets by the hash
// of their ids, and a bucket's digest is the XOR of the hashes of its members'
// states.

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

  // The contribution of a state: 0 for dead members and for those known only
  // from the platform's list (incarnation 0). A suspect counts as alive, and
  // the configuration version is left out.
  static std::uint32_t HashOf(const proto::MemberState& aState);

  // Adds a hash to the daemon's bucket, or removes it if it was added before.
  void Toggle(std::string_view aDaemon, std::uint32_t aHash);

  // One digest over all buckets.
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
