#ifndef WALNUTWING_CLI_LOG_VIEW_H_
#define WALNUTWING_CLI_LOG_VIEW_H_

// The operators' view of the configuration log: every retained record with the
// verdict that every reader derives for it, and the submission of a change.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/fleet_access.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/config/config_log.h"

namespace walnutwing {

struct LogEntry
{
  std::int64_t m_appendedAtMs = 0;
  proto::ConfigRecord m_record;
  ConfigVerdict m_verdict;
};

class LogView
{
public:
  // aKeys holds the operator's own key. Only the daemons can verify the
  // signatures of other operators.
  explicit LogView(OperatorKeys aKeys)
    : m_state(std::move(aKeys))
  {
  }

  // Reads new records up to the end of the log. Returns false if the log cannot
  // be read.
  template<FleetAccess Access>
  bool Update(Access& aAccess)
  {
    while (true) {
      const auto response = aAccess.ReadLog(m_state.NextOffset());
      if (!response) {
        return false;
      }
      const std::uint64_t before = m_state.NextOffset();
      ApplyRecords(*response);
      const bool atEnd = m_state.NextOffset() >= response->next_offset();
      if (atEnd || m_state.NextOffset() == before) {
        return true;
      }
    }
  }

  const ConfigState& State() const { return m_state; }
  const std::map<std::uint64_t, LogEntry>& Entries() const { return m_entries; }

  // Returns the first record with that change id, or nullptr.
  const LogEntry* Find(const std::string& aChangeId) const
  {
    for (const auto& [offset, entry] : m_entries) {
      if (entry.m_record.change_id() == aChangeId) {
        return &entry;
      }
    }
    return nullptr;
  }

private:
  void ApplyRecords(const proto::ReadResponse& aResponse)
  {
    m_state.OnTruncated(aResponse.first_offset());
    for (const proto::LogRecord& logged : aResponse.records()) {
      if (logged.offset() != m_state.NextOffset()) {
        continue;
      }
      LogEntry entry;
      entry.m_appendedAtMs = logged.at_ms();
      if (!entry.m_record.ParseFromString(logged.body())) {
        entry.m_record.Clear();
      }
      std::vector<ConfigVerdict> verdicts;
      m_state.Apply(logged.offset(), logged.at_ms(), entry.m_record, &verdicts);
      m_entries[logged.offset()] = std::move(entry);
      for (ConfigVerdict& verdict : verdicts) {
        m_entries[verdict.m_offset].m_verdict = std::move(verdict);
      }
    }
  }

  ConfigState m_state;
  std::map<std::uint64_t, LogEntry> m_entries; // by offset
};

struct SubmitResult
{
  ResultCode m_code = ResultCode::Ok;
  ConfigVersion m_version = 0; // created by the change, or 0 if not accepted
  std::string m_text;          // details of the outcome, may be empty
};

// Returns the outcome of the change aChangeId, which was made against aBase, or
// nullopt while it is undecided. A change that is not in the log yet counts as
// rejected once another change has been accepted against the same base, since
// it can no longer be accepted even if it is appended later. This does not hold
// if aOverrides, that is, if the change overrides its base.
inline std::optional<SubmitResult>
FindOutcome(const LogView& aView,
            const std::string& aChangeId,
            ConfigVersion aBase,
            bool aOverrides)
{
  const LogEntry* own = aView.Find(aChangeId);
  const auto winner = aView.Entries().find(aView.State().Version());
  std::string winnerText;
  if (winner != aView.Entries().end()) {
    winnerText = "version " + std::to_string(winner->first) + " by ";
    winnerText += winner->second.m_record.operator_name() + ": ";
    winnerText += DescribeChange(winner->second.m_record);
  }
  if (own == nullptr) {
    if (aView.State().Version() == aBase || aOverrides) {
      return std::nullopt;
    }
    return SubmitResult{ ResultCode::ConfigBaseStale, 0, winnerText };
  }
  switch (own->m_verdict.m_kind) {
    case VerdictKind::Accepted:
      return SubmitResult{ ResultCode::Ok, own->m_verdict.m_version, "" };
    case VerdictKind::RejectedStaleBase:
      return SubmitResult{ ResultCode::ConfigBaseStale, 0, winnerText };
    case VerdictKind::RejectedSignature:
      return SubmitResult{ ResultCode::ConfigUnauthorized, 0, "" };
    case VerdictKind::RejectedInvalid:
      return SubmitResult{ ResultCode::ConfigInvalid, 0, "" };
    default:
      return std::nullopt;
  }
}

// Appends a signed change and reads the log until its outcome is known or
// aTimeout has passed. Never retries the append, whose record may still appear
// in the log.
template<FleetAccess Access>
SubmitResult
SubmitChange(Access& aAccess,
             LogView& aView,
             const proto::ConfigRecord& aRecord,
             Duration aTimeout)
{
  constexpr Duration kPollInterval{ 200 };
  const Time deadline = aAccess.Now() + aTimeout;
  const bool overrides = aRecord.override_base();
  if (aAccess.Append(aRecord.SerializeAsString()) ==
      AppendOutcome::NotAppended) {
    return { ResultCode::PlatformUnavailable,
             0,
             "the change was not appended" };
  }
  while (true) {
    if (aView.Update(aAccess)) {
      const auto outcome = FindOutcome(
        aView, aRecord.change_id(), aRecord.base_version(), overrides);
      if (outcome) {
        return *outcome;
      }
    }
    if (aAccess.Now() >= deadline) {
      return { ResultCode::ConfigOutcomeUnknown,
               0,
               "look for change " + aRecord.change_id() +
                 " in `walnutwing config history` before you try again" };
    }
    aAccess.Sleep(kPollInterval);
  }
}

} // namespace walnutwing

#endif // WALNUTWING_CLI_LOG_VIEW_H_
