#ifndef WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_
#define WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_

// The members that one daemon knows, and the rule by which words about them
// supersede each other. Internal to membership/.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peer.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/membership/flap_damper.h"
#include "walnutwing/membership/view_digest.h"

namespace walnutwing {

// What the driver was last told of a member.
enum class Announced
{
  Nothing,
  Up,
  Leaving,
  Down,
};

struct Member
{
  proto::MemberState m_state; // incarnation 0: from the platform's list only
  bool m_listed = false;      // in the platform's last list
  bool m_listedLeaving = false;
  Time m_statusChangedAt;             // when the status last changed
  std::optional<Time> m_suspectUntil; // then it is declared dead
  bool m_suspectedLocally = false;    // this daemon raised the suspicion
  FlapDamper m_damper;
  Announced m_announced = Announced::Nothing;
  std::uint64_t m_announcedIncarnation = 0;
  std::uint32_t m_digestHash = 0; // its part of the digest
};

// Whether aUpdate says something newer than aKnown about the same daemon: by
// incarnation, then refutation, then status (alive, suspect, leaving, dead).
bool
Supersedes(const proto::MemberState& aUpdate, const proto::MemberState& aKnown);

enum class MergeResult
{
  Nothing,     // known already, or outdated, or too short to add a member
  VersionOnly, // a larger configuration version, nothing else
  Changed,
};

class MemberTable
{
public:
  MemberTable(FlapDamperOptions aFlap, std::uint32_t aRelaysPerZone);

  MergeResult Merge(const proto::MemberState& aUpdate, Time aNow);

  // Replaces a state whatever it was. Adds the member when it is unknown.
  Member& Set(const proto::MemberState& aState, Time aNow);

  void SetStatus(Member& aMember,
                 proto::MemberState::Status aStatus,
                 Time aNow);

  void Remove(const DaemonId& aDaemon);

  Member* Find(const DaemonId& aDaemon);
  const Member* Find(const DaemonId& aDaemon) const;

  std::map<DaemonId, Member>& All() { return m_members; }
  const std::map<DaemonId, Member>& All() const { return m_members; }

  const ViewDigest& Digest() const { return m_digest; }

  // Grows with each change of any member.
  std::uint64_t Version() const { return m_version; }

  // The zones of all members that are not dead.
  const std::vector<ZoneId>& Zones() const;

  // The relays of a zone: its members with the largest hashes, so that all
  // daemons with one view pick the same, and a change moves one relay at most.
  const std::vector<DaemonId>& RelaysOf(const ZoneId& aZone) const;

private:
  void UpdateDigest(Member& aMember);
  void RefreshZonesAndRelays() const;

  FlapDamperOptions m_flap;
  std::uint32_t m_relaysPerZone;
  std::map<DaemonId, Member> m_members;
  ViewDigest m_digest;
  std::uint64_t m_version = 1;

  // Worked out again when m_version has grown.
  mutable std::vector<ZoneId> m_zones;
  mutable std::map<ZoneId, std::vector<DaemonId>> m_relays;
  mutable std::uint64_t m_zonesAndRelaysVersion = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_
