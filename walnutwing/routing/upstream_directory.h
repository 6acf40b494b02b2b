#ifndef WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_
#define WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_

// Which upstreams there are, by the platform's list. The list lags, forgets
// upstreams while its store is away, and gives an address that has become free
// to another upstream. An entry that vanishes while the store was away stays
// for a while, because a living upstream registers again soon after; any other
// entry that vanishes is gone at once.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

// One upstream as it registered itself.
struct UpstreamEntry
{
  UpstreamId m_id;
  ServiceId m_service;
  std::string m_address; // "IP:port"
  ZoneId m_zone;
  std::uint32_t m_slots = 1;      // requests that it runs at once
  bool m_draining = false;        // it leaves soon and takes no new work
  Duration m_coldRemaining{};     // how much longer it stays cold
  std::int64_t m_startWallMs = 0; // wall time of its start; 0 if not told
};

struct KnownUpstream
{
  UpstreamEntry m_entry;
  Time m_coldUntil;
  bool m_suspect = false; // missing from the list since the store was away
  Time m_suspectUntil;
};

enum class UpstreamChange
{
  None,
  Added,     // new, or started anew under its old id
  Updated,   // its state, slots or cold time changed, or it is back
  Suspected, // missing since the store was away
  Removed,
};

class UpstreamDirectory
{
public:
  // aReregistrationTime: by when an upstream that lives has registered again
  // after the store came back.
  explicit UpstreamDirectory(Duration aReregistrationTime)
    : m_reregistrationTime(aReregistrationTime)
  {
  }

  UpstreamChange OnEntry(const UpstreamEntry& aEntry, Time aNow);
  UpstreamChange OnRemoved(const UpstreamId& aId, Time aNow);

  // A whole list: whatever it lacks has been removed. Returns the changes.
  std::vector<std::pair<UpstreamId, UpstreamChange>> OnList(
    const std::vector<UpstreamEntry>& aEntries,
    Time aNow);

  // A call to the store failed, or was answered again.
  void OnStoreUnavailable(Time aNow);
  void OnStoreAvailable(Time aNow);

  // Drops entries that were in doubt for too long; their ids.
  std::vector<UpstreamId> OnTick(Time aNow);

  const std::map<UpstreamId, KnownUpstream>& All() const { return m_known; }
  const KnownUpstream* Find(const UpstreamId& aId) const;

private:
  bool StoreRecentlyUnavailable(Time aNow) const;

  Duration m_reregistrationTime;
  std::map<UpstreamId, KnownUpstream> m_known;
  bool m_storeUnavailable = false;
  bool m_storeEverUnavailable = false;
  Time m_storeAvailableSince;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_
