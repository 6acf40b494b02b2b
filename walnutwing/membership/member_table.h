#ifndef WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_
#define WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_

// The members that one daemon knows, and the order by which updates about a
// member supersede each other. An update is a MemberState received from a peer
// or made by this daemon. Internal to membership/.

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

// What was last reported to the driver about a member.
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
  Time m_statusChangedAt;             // last change of status or incarnation
  std::optional<Time> m_suspectUntil; // declared dead at this time
  bool m_suspectedLocally = false;    // this daemon raised the suspicion
  FlapDamper m_damper;
  Announced m_announced = Announced::Nothing;
  std::uint64_t m_announcedIncarnation = 0;
  std::uint32_t m_digestHash = 0; // its contribution to the view digest
};

// Whether aUpdate is newer than aKnown, both about the same daemon. Compares
// the incarnation, then the refutation, then the status (in the order alive,
// suspect, leaving, dead).
bool
Supersedes(const proto::MemberState& aUpdate, const proto::MemberState& aKnown);

enum class MergeResult
{
  Nothing,     // already known, outdated, or of an unknown member without zone
  VersionOnly, // only the configuration version became larger
  Changed,
};

class MemberTable
{
public:
  MemberTable(FlapDamperOptions aFlap, std::uint32_t aRelaysPerZone);

  // Applies an update if it supersedes the known state or has a larger
  // configuration version. Adds an unknown member if the update has a zone.
  MergeResult Merge(const proto::MemberState& aUpdate, Time aNow);

  // Replaces a member's state unconditionally. Adds the member if it is
  // unknown.
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

  // Increases with each change of any member.
  std::uint64_t Version() const { return m_version; }

  // The zones that have a member that is not dead.
  const std::vector<ZoneId>& Zones() const;

  // The relays of a zone, chosen by rendezvous hashing: its running members
  // with the largest hashes, except those that the platform's list names as
  // leaving. All daemons with the same view and list choose the same relays,
  // and one member's change replaces at most one relay.
  const std::vector<DaemonId>& RelaysOf(const ZoneId& aZone) const;

private:
  void UpdateDigest(Member& aMember);
  void RefreshZonesAndRelays() const;

  FlapDamperOptions m_flap;
  std::uint32_t m_relaysPerZone;
  std::map<DaemonId, Member> m_members;
  ViewDigest m_digest;
  std::uint64_t m_version = 1;

  // Caches, recomputed when m_version has changed.
  mutable std::vector<ZoneId> m_zones;
  mutable std::map<ZoneId, std::vector<DaemonId>> m_relays;
  mutable std::uint64_t m_zonesAndRelaysVersion = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_MEMBERSHIP_MEMBER_TABLE_H_
