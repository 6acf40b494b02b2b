#ifndef WALNUTWING_ROUTING_VERSION_POLL_H_
#define WALNUTWING_ROUTING_VERSION_POLL_H_

// Combines what the daemons of a fleet know of the version that began a stream
// (see stream_versions.h). It never guesses: if nobody knows, the version is
// unknown.

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "walnutwing/base/id.h"

namespace walnutwing {

// What one daemon knows of the version that began a stream.
struct VersionOpinion
{
  std::optional<SoftwareVersion> m_recorded; // it was told, or began the stream
  // The only version of the service's upstreams for kStreamLifetime.
  std::optional<SoftwareVersion> m_only;
  // Whether its list of upstreams is up to date.
  bool m_fresh = false;
  // The only version until another one joined while no daemon was running.
  std::optional<SoftwareVersion> m_before{};
};

// What the version of a stream was taken from.
enum class VersionSource
{
  None, // it is unknown
  Record,
  OnlyVersion,
  VersionBefore, // VersionOpinion::m_before
};

// "none", "record", "only_version", "version_before".
std::string_view
NameOf(VersionSource aSource);

// Whether the store was read for the version of a stream.
enum class StoreRead
{
  NotRead,
  Complete,
  Incomplete, // a record may be missing
};

// "not_read", "complete", "incomplete".
std::string_view
NameOf(StoreRead aRead);

// The version that began a stream, and how it was found.
struct VersionFinding
{
  std::optional<SoftwareVersion> m_version; // nullopt: unknown
  VersionSource m_source = VersionSource::None;
  std::size_t m_asked = 0;    // other daemons
  std::size_t m_answered = 0; // of these
  StoreRead m_store = StoreRead::NotRead;
};

class VersionPoll
{
public:
  // aAsked: how many opinions of other daemons are expected.
  VersionPoll(const VersionOpinion& aOwn, std::size_t aAsked);

  // Another daemon's opinion.
  void Add(const VersionOpinion& aOpinion);

  // Whether further opinions cannot change the result.
  bool IsDecided() const;

  // The version, as far as the opinions show it; nullopt if it is unknown. A
  // record counts most. An only version counts if all that were asked have
  // answered and have no record, if a daemon with an up to date list states it,
  // or all state it, and if no other one is stated.
  std::optional<SoftwareVersion> Result() const;

  // Result, with the number of daemons that were asked.
  VersionFinding Finding() const;

  // Whether all daemons that were asked have answered and state aVersion as the
  // only one before another joined.
  bool AllStateBefore(const SoftwareVersion& aVersion) const;

private:
  void Merge(const VersionOpinion& aOpinion);

  std::size_t m_asked;
  std::size_t m_missing;
  bool m_unanimous = true; // about the only version
  bool m_conflict = false;
  bool m_freshOnly = false; // stated by a daemon with an up to date list
  std::optional<SoftwareVersion> m_recorded;
  std::optional<SoftwareVersion> m_only;
  std::vector<std::optional<SoftwareVersion>> m_othersBefore;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_VERSION_POLL_H_
