// Keeps every version of the list that is younger than the lag and the newest
// older one, which is the version that readers get.

#include "standin/vm_list.h"

namespace walnutwing::standin {

void
VmList::Put(const proto::VmEntry& aEntry, WallTime aNow)
{
  AddVersion(aNow).m_vms[aEntry.id()] = aEntry;
}

void
VmList::Remove(const std::string& aId, WallTime aNow)
{
  AddVersion(aNow).m_vms.erase(aId);
}

proto::VmList
VmList::LaggedList(WallTime aNow)
{
  const WallTime asOf = aNow - m_lag;
  while (m_versions.size() > 1 && m_versions[1].m_at <= asOf) {
    m_versions.pop_front();
  }
  proto::VmList list;
  list.set_as_of_ms(asOf.time_since_epoch().count());
  if (m_versions.empty() || m_versions.front().m_at > asOf) {
    return list;
  }
  for (const auto& [id, entry] : m_versions.front().m_vms) {
    *list.add_vms() = entry;
  }
  return list;
}

VmList::Version&
VmList::AddVersion(WallTime aNow)
{
  Version next{ aNow, {} };
  if (!m_versions.empty()) {
    next.m_vms = m_versions.back().m_vms;
  }
  return m_versions.emplace_back(std::move(next));
}

} // namespace walnutwing::standin
