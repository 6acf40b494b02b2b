#ifndef WALNUTWING_STANDIN_VM_LIST_H_
#define WALNUTWING_STANDIN_VM_LIST_H_

// The platform's list of live and leaving VMs. Readers see it with a lag.

#include <deque>
#include <map>
#include <string>

#include "platform.pb.h"
#include "walnutwing/base/clock.h"

namespace walnutwing::standin {

class VmList
{
public:
  explicit VmList(Duration aLag)
    : m_lag(aLag)
  {
  }

  // Adds a VM or replaces its entry.
  void Put(const proto::VmEntry& aEntry, WallTime aNow);

  // Removes a VM; does nothing if it is not listed.
  void Remove(const std::string& aId, WallTime aNow);

  // Returns the list as it was m_lag before aNow, ordered by id.
  proto::VmList LaggedList(WallTime aNow);

private:
  struct Version
  {
    WallTime m_at;
    std::map<std::string, proto::VmEntry> m_vms;
  };

  Version& AddVersion(WallTime aNow);

  Duration m_lag;
  std::deque<Version> m_versions; // oldest first, current one last
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_VM_LIST_H_
