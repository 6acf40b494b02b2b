#ifndef WALNUTWING_ROUTING_STREAM_VERSIONS_H_
#define WALNUTWING_ROUTING_STREAM_VERSIONS_H_

// Which software version of its upstreams began a stream. A stream that is
// resumed may go on only at an upstream of that version, and the caller may
// resume it at any daemon.
//
// A daemon that begins a stream tells two others, which follow from the
// stream's key by rendezvous hashing: one of its own zone, so that the zone
// knows the stream when it is cut off, and one of another. A daemon at which a
// stream is resumed asks one of each zone. That costs a few datagrams a stream,
// whatever the size of the fleet.
//
// It tells them also while the upstreams of a service have one version only,
// when every daemon knows the version of every stream without a record: that
// knowledge ends at the moment at which another version is listed, and a daemon
// that is then frozen, gone or cut off can tell nobody what it has begun.
//
// The records die with the daemons, so while there are several versions each
// daemon also hands the streams that it begins to a journal outside, which is
// read if no daemon knows a stream. When a second version appears, it hands
// over the streams that it has in progress.
//
// What the daemons of a zone answer is combined by VersionPoll.
//
// That a daemon sees one version only says something about a stream that
// another daemon began only if its list is not older than any version in use.
// So a version that is new gets no streams for kVersionDelay while others have
// free slots, and a list counts as up to date if it was confirmed within the
// shorter time kFreshListAge. Even then it counts only where no record can be
// missing: the daemons that would have it have answered, or the journal was
// read.
//
// A version that joins while no daemon is running ends the only version with
// nobody there to write down the streams that had begun. The daemons that start
// then find the record of the only version and a list that does not fit it.
// Nobody has sent a stream to the new version yet, and what they send there is
// recorded, so a stream without a record is one of the old version, as long as
// all daemons that would know otherwise have been running since.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/fleet_roster.h"
#include "walnutwing/routing/version_poll.h"

namespace walnutwing {

// Identifies a stream by the attempt of its caller that brought its first
// event. The same at every daemon.
using StreamKey = std::uint64_t;

StreamKey
StreamKeyOf(std::string_view aAttemptId);

// The longest time from the first event of a stream until it is resumed.
inline constexpr Duration kStreamLifetime = std::chrono::minutes(2);

// How long a version that is listed for the first time gets no streams, unless
// no upstream of another version has a free slot.
inline constexpr Duration kVersionDelay = std::chrono::milliseconds(1500);

// A list of upstreams that was confirmed this long ago, or later, has every
// version that has begun a stream.
inline constexpr Duration kFreshListAge = std::chrono::milliseconds(1200);

// A stream that another daemon is to remember.
struct StreamRecord
{
  StreamKey m_stream = 0;
  SoftwareVersion m_version;
};

// The only version of a service's upstreams, and since when.
struct OnlyVersion
{
  SoftwareVersion m_version;
  Time m_since;
};

class StreamVersions
{
public:
  StreamVersions(DaemonId aSelf, ZoneId aZone)
    : m_self(std::move(aSelf))
    , m_zone(std::move(aZone))
  {
  }
  StreamVersions(const StreamVersions&) = delete;
  StreamVersions& operator=(const StreamVersions&) = delete;

  void SetMembers(std::vector<RosterMember> aMembers)
  {
    m_members = std::move(aMembers);
  }

  // The versions of all listed upstreams of a service. An empty list, as in an
  // outage, says nothing about versions.
  void SetListed(const ServiceId& aService,
                 const std::set<SoftwareVersion>& aVersions,
                 Time aNow);

  // The versions that are too new to begin streams; see kVersionDelay.
  std::set<SoftwareVersion> NewVersions(const ServiceId& aService,
                                        Time aNow) const;

  // An upstream of this version may have served, though it was not listed here.
  void OnVersionSeen(const ServiceId& aService,
                     const SoftwareVersion& aVersion,
                     Time aNow);

  // The fleet has seen several versions; they may have left before they were
  // listed here.
  void OnSeveralVersions(const ServiceId& aService, Time aNow);

  // The fleet has seen only this version since a time before this daemon
  // started. Ignored unless it is the one that is listed.
  void OnOnlyVersion(const ServiceId& aService, const OnlyVersion& aOnly);

  // The same, as this daemon finds it at its start. If another version is
  // listed, that one has joined while no daemon was running, and streams that
  // began before are of the version in the record; see
  // VersionOpinion::m_before. Ignored if the record is younger than
  // kStreamLifetime: it says nothing about streams that began earlier.
  void OnOnlyVersionAtStart(const ServiceId& aService,
                            const OnlyVersion& aOnly,
                            Time aNow);

  // The only listed version; nullopt if there are several, or none was listed.
  std::optional<OnlyVersion> OnlyListed(const ServiceId& aService) const;

  std::vector<ServiceId> Services() const;

  // The caller has got the first event of a stream at this daemon, from an
  // upstream of this version.
  void OnBegun(StreamKey aStream,
               const ServiceId& aService,
               const SoftwareVersion& aVersion,
               Time aNow);

  // The stream is complete and cannot be resumed.
  void OnCompleted(StreamKey aStream);

  // What other daemons are to be told now, by their addresses.
  std::map<std::string, std::vector<StreamRecord>> TakeRecords();
  bool HasRecords() const { return !m_untold.empty(); }

  bool HasUnwritten() const { return !m_unwritten.empty(); }

  // The streams that this daemon has begun and that the journal lacks.
  std::vector<StreamRecord> TakeUnwritten()
  {
    return std::exchange(m_unwritten, {});
  }

  // Another daemon tells of a stream.
  void OnRecord(const StreamRecord& aRecord, Time aNow);

  // The addresses of the daemons to be asked for a stream.
  std::vector<std::string> Keepers(StreamKey aStream) const;

  // aFresh: whether this daemon's list of upstreams is up to date.
  VersionOpinion Opinion(StreamKey aStream,
                         const ServiceId& aService,
                         bool aFresh,
                         Time aNow) const;

  // Must be called regularly.
  void DropExpired(Time aNow);

private:
  struct Remembered
  {
    SoftwareVersion m_version;
    ServiceId m_service; // empty if another daemon began the stream
    Time m_at;
  };
  struct ServiceVersions
  {
    std::set<SoftwareVersion> m_listed;
    std::map<SoftwareVersion, Time> m_listedSince; // of these
    Time m_changedAt; // from then on the list was as it is
    // See VersionOpinion::m_before; m_since is when this daemon learned it.
    std::optional<OnlyVersion> m_before;
  };
  using Memory = std::unordered_map<StreamKey, Remembered>;

  void Tell(const StreamRecord& aRecord);
  void WriteDown(const StreamRecord& aRecord);
  bool IsOnlyVersion(const ServiceVersions& aVersions, Time aNow) const;
  std::vector<const RosterMember*> RankKeepers(StreamKey aStream) const;

  DaemonId m_self;
  ZoneId m_zone;
  std::vector<RosterMember> m_members;
  std::map<ServiceId, ServiceVersions> m_services;
  Memory m_own;  // streams that were begun or resumed here
  Memory m_told; // streams that other daemons told of
  std::deque<StreamRecord> m_untold;
  std::vector<StreamRecord> m_unwritten;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_STREAM_VERSIONS_H_
