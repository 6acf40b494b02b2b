#include "walnutwing/routing/version_poll.h"

#include <algorithm>
#include <array>

namespace walnutwing {

std::string_view
NameOf(VersionSource aSource)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "none", "record", "only_version", "version_before"
  };
  return kNames.at(static_cast<std::size_t>(aSource));
}

std::string_view
NameOf(StoreRead aRead)
{
  constexpr std::array<std::string_view, 3> kNames = { "not_read",
                                                       "complete",
                                                       "incomplete" };
  return kNames.at(static_cast<std::size_t>(aRead));
}

VersionPoll::VersionPoll(const VersionOpinion& aOwn, std::size_t aAsked)
  : m_asked(aAsked)
  , m_missing(aAsked)
{
  Merge(aOwn);
}

void
VersionPoll::Add(const VersionOpinion& aOpinion)
{
  m_othersBefore.push_back(aOpinion.m_before);
  m_missing -= m_missing == 0 ? 0 : 1;
  Merge(aOpinion);
}

void
VersionPoll::Merge(const VersionOpinion& aOpinion)
{
  if (aOpinion.m_recorded && !m_recorded) {
    m_recorded = aOpinion.m_recorded;
  }
  if (!aOpinion.m_only) {
    m_unanimous = false;
    return;
  }
  m_conflict = m_conflict || (m_only && *m_only != *aOpinion.m_only);
  m_only = aOpinion.m_only;
  m_freshOnly = m_freshOnly || aOpinion.m_fresh;
}

bool
VersionPoll::IsDecided() const
{
  return m_missing == 0 || m_recorded;
}

std::optional<SoftwareVersion>
VersionPoll::Result() const
{
  if (m_recorded) {
    return m_recorded;
  }
  const bool proved =
    m_missing == 0 && (m_freshOnly || (m_unanimous && m_asked != 0));
  return proved && !m_conflict ? m_only : std::nullopt;
}

VersionFinding
VersionPoll::Finding() const
{
  VersionFinding finding;
  finding.m_version = Result();
  if (finding.m_version) {
    finding.m_source =
      m_recorded ? VersionSource::Record : VersionSource::OnlyVersion;
  }
  finding.m_asked = m_asked;
  finding.m_answered = m_asked - m_missing;
  return finding;
}

bool
VersionPoll::AllStateBefore(const SoftwareVersion& aVersion) const
{
  return m_missing == 0 &&
         std::all_of(m_othersBefore.begin(),
                     m_othersBefore.end(),
                     [&](const auto& aBefore) { return aBefore == aVersion; });
}

} // namespace walnutwing
