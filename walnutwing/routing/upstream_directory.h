#ifndef WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_
#define WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_

// The known upstreams, from the list in the platform's store. The list lags
// behind, loses upstreams while the store is unavailable, and may give the
// address of a stopped upstream to another one. An entry that disappears during
// or shortly after an outage of the store is kept as suspect for a while,
// because a running upstream registers again soon after the outage. Any other
// entry that disappears is removed at once.
//
// The store may also be restored from an older copy. Then upstreams that
// registered since are missing for a while, and entries of upstreams that have
// left are listed again. So an entry that appears only in the restored list is
// suspect until its upstream renews it, and an incarnation that was seen
// leaving stays so.

#include <cstdint>
#include <deque>
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
  SoftwareVersion m_version;
  std::uint32_t m_slots = 1;      // requests that it runs at once
  bool m_draining = false;        // it will leave and must get no new requests
  Duration m_coldRemaining{};     // how much longer it stays cold
  std::int64_t m_startWallMs = 0; // wall-clock time of its start; 0: unknown
};

struct KnownUpstream
{
  UpstreamEntry m_entry;
  Time m_coldUntil;
  bool m_suspect = false; // missing from the list since an outage of the store
  Time m_suspectUntil;
};

enum class UpstreamChange
{
  None,
  Added,     // new, or restarted with the same id
  Updated,   // an attribute changed, or it is no longer suspect
  Suspected, // missing from the list since an outage of the store
  Removed,
};

class UpstreamDirectory
{
public:
  // aReregistrationTime: time after an outage of the store within which every
  // running upstream has registered again.
  explicit UpstreamDirectory(Duration aReregistrationTime)
    : m_reregistrationTime(aReregistrationTime)
  {
  }

  // An entry of the list was read, or was removed from the list.
  UpstreamChange OnEntry(const UpstreamEntry& aEntry, Time aNow);
  UpstreamChange OnRemoved(const UpstreamId& aId, Time aNow);

  // The complete list was read: upstreams that it lacks have been removed from
  // it. Returns the changes.
  std::vector<std::pair<UpstreamId, UpstreamChange>> OnList(
    const std::vector<UpstreamEntry>& aEntries,
    Time aNow);

  // A call to the store failed, or was answered.
  void OnStoreUnavailable(Time aNow);
  void OnStoreAvailable(Time aNow);

  // The store was restored from an older copy.
  void OnStoreRestored(Time aNow);

  // An upstream is leaving by its own word. aStartWallMs identifies its
  // incarnation. Returns Updated if that was not known.
  UpstreamChange OnLeaving(const UpstreamId& aId, std::int64_t aStartWallMs);

  // Removes suspect entries whose time is over and returns their ids. Removes
  // none while the store is unavailable.
  std::vector<UpstreamId> OnTick(Time aNow);

  const std::map<UpstreamId, KnownUpstream>& All() const { return m_known; }
  const KnownUpstream* Find(const UpstreamId& aId) const;

private:
  bool StoreRecentlyUnavailable(Time aNow) const;
  bool HasLeft(const UpstreamEntry& aEntry) const;
  void RememberLeaving(const UpstreamId& aId, std::int64_t aStartWallMs);

  Duration m_reregistrationTime;
  std::map<UpstreamId, KnownUpstream> m_known;
  bool m_storeUnavailable = false;
  bool m_storeEverUnavailable = false;
  Time m_storeAvailableSince;
  Time m_restoredListUntil; // until then a list may be from an older copy
  // Start times of incarnations that were seen leaving, the newest of each id.
  std::map<UpstreamId, std::int64_t> m_left;
  std::deque<UpstreamId> m_leftOrder; // the oldest first
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_UPSTREAM_DIRECTORY_H_
