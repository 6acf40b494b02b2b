// Calls are kept in a deque, indexed by their number. The counts are kept
// beside it, so that they include calls that have been dropped.

#include "standin/call_record.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "standin/enum_names.h"

namespace walnutwing::standin {

namespace {

constexpr std::array<EnumName<CallState>, 5> kStateNames{ {
  { CallState::Refused, "refused" },
  { CallState::Running, "running" },
  { CallState::Completed, "completed" },
  { CallState::Cancelled, "cancelled" },
  { CallState::Broken, "broken" },
} };

nlohmann::json
ToJsonObject(const SeenCall& aCall)
{
  return { { "number", aCall.m_number },
           { "request_id", aCall.m_requestId },
           { "order_key", aCall.m_orderKey },
           { "chat", aCall.m_chat },
           { "resumed_after", aCall.m_resumedAfter },
           { "body_hash", aCall.m_bodyHash },
           { "cached", aCall.m_cached },
           { "ran", aCall.m_state != CallState::Refused },
           { "state", NameIn<CallState>(kStateNames, aCall.m_state) } };
}

} // namespace

std::uint64_t
CallRecord::AddCall(SeenCall aCall)
{
  aCall.m_number = ++m_lastNumber;
  aCall.m_state = CallState::Refused;
  ++m_callsByState[CallState::Refused];
  m_calls.push_back(std::move(aCall));
  if (m_calls.size() > m_maxCalls) {
    m_calls.pop_front();
  }
  return m_lastNumber;
}

void
CallRecord::SetState(std::uint64_t aNumber, CallState aState)
{
  SeenCall* call = Find(aNumber);
  if (call == nullptr || call->m_state == aState) {
    return;
  }
  if (call->m_state == CallState::Refused) {
    ++m_runCount;
    if (!call->m_orderKey.empty()) {
      ++m_runsByKey[call->m_orderKey];
    }
  }
  --m_callsByState[call->m_state];
  ++m_callsByState[aState];
  call->m_state = aState;
}

void
CallRecord::SetCached(std::uint64_t aNumber)
{
  if (SeenCall* call = Find(aNumber)) {
    call->m_cached = true;
  }
}

std::uint64_t
CallRecord::RunCount(const std::string& aOrderKey) const
{
  const auto found = m_runsByKey.find(aOrderKey);
  return found == m_runsByKey.end() ? 0 : found->second;
}

std::string
CallRecord::ToJson() const
{
  std::uint64_t maxRuns = 0;
  for (const auto& [key, runs] : m_runsByKey) {
    maxRuns = std::max(maxRuns, runs);
  }
  nlohmann::json json = { { "seen", m_lastNumber },
                          { "ran", m_runCount },
                          { "most_runs_of_a_key", maxRuns },
                          { "runs", m_runsByKey },
                          { "calls", nlohmann::json::array() } };
  for (const EnumName<CallState>& row : kStateNames) {
    const auto found = m_callsByState.find(row.m_value);
    json[std::string(row.m_name)] =
      found == m_callsByState.end() ? 0 : found->second;
  }
  for (const SeenCall& call : m_calls) {
    json["calls"].push_back(ToJsonObject(call));
  }
  return json.dump();
}

SeenCall*
CallRecord::Find(std::uint64_t aNumber)
{
  if (m_calls.empty() || aNumber < m_calls.front().m_number ||
      aNumber > m_lastNumber) {
    return nullptr;
  }
  return &m_calls[aNumber - m_calls.front().m_number];
}

} // namespace walnutwing::standin
