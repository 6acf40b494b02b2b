#ifndef WALNUTWING_STANDIN_VM_LIST_H_
#define WALNUTWING_STANDIN_VM_LIST_H_

// The platform's list of live and leaving VMs, which shows what was true some
// time ago.

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

  // Registers a VM, or replaces its entry.
  void Put(const proto::VmEntry& aEntry, WallTime aNow);

  // Forgets a VM; harmless when it is not listed.
  void Remove(const std::string& aId, WallTime aNow);

  // The list as of aNow minus the lag, by id.
  proto::VmList LaggedList(WallTime aNow);

private:
  struct Version
  {
    WallTime m_at;
    std::map<std::string, proto::VmEntry> m_vms;
  };

  Version& NewVersion(WallTime aNow);

  Duration m_lag;
  std::deque<Version> m_versions; // oldest first; the newest is the truth
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_VM_LIST_H_
