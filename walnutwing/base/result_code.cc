// The table of result codes. RowOf uses binary search, so the rows must be in
// ascending order; result_code_test checks that.

#include "walnutwing/base/result_code.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace walnutwing {
namespace {

using enum ResultCode;

// clang-format off
constexpr auto kTable = std::to_array<ResultCodeRow>({
  { Ok, "ok", 200, Ran::Yes, Repeat::No,
    "done" },
  { BadRequest, "bad_request", 400, Ran::NotRun, Repeat::No,
    "the request cannot be read" },
  { Unauthorized, "unauthorized", 401, Ran::NotRun, Repeat::No,
    "the customer key is missing or unknown" },
  { UnknownService, "unknown_service", 404, Ran::NotRun, Repeat::No,
    "the preset in force has no such service" },
  { RequestTooLarge, "request_too_large", 413, Ran::NotRun, Repeat::No,
    "the request body exceeds the limit" },
  { OrderKeyMissing, "order_key_missing", 400, Ran::NotRun, Repeat::No,
    "an order needs an Idempotency-Key header" },
  { OrderKeyMalformed, "order_key_malformed", 400, Ran::NotRun, Repeat::No,
    "the order key must be YYYYMMDDThhmmssZ-ID, issued in the past" },
  { OrderKeyReused, "order_key_reused", 422, Ran::NotRun, Repeat::No,
    "this order key was used with another body; this request did not run" },
  { NotFound, "not_found", 404, Ran::NotRun, Repeat::No,
    "nothing is served at this path" },
  { PeerOnly, "peer_only", 403, Ran::NotRun, Repeat::No,
    "this path is open to operators and peers only" },
  { HeadersTooLarge, "headers_too_large", 431, Ran::NotRun, Repeat::No,
    "the request's header fields exceed the limit" },
  { RequestTimeout, "request_timeout", 408, Ran::NotRun, Repeat::AfterDelay,
    "the request did not arrive whole in time" },
  { TransferCodingUnsupported, "transfer_coding_unsupported", 501, Ran::NotRun, Repeat::No,
    "the request's body has a transfer coding other than chunked" },
  { NoConfiguration, "no_configuration", 503, Ran::NotRun, Repeat::AfterDelay,
    "this daemon has no configuration yet" },
  { NoUpstream, "no_upstream", 503, Ran::NotRun, Repeat::AfterDelay,
    "no upstream can take this service now" },
  { OverCustomerShare, "over_customer_share", 429, Ran::NotRun, Repeat::AfterDelay,
    "the customer has used its share" },
  { QueueFull, "queue_full", 503, Ran::NotRun, Repeat::AfterDelay,
    "the queue for this service is full" },
  { DeadlineTooShort, "deadline_too_short", 504, Ran::NotRun, Repeat::AfterDelay,
    "the request cannot start before its deadline" },
  { Stopping, "stopping", 503, Ran::NotRun, Repeat::AfterDelay,
    "this daemon is stopping" },
  { ClaimsUnavailable, "claims_unavailable", 503, Ran::NotRun, Repeat::SameKey,
    "orders cannot be claimed while the platform's log is away" },
  { RetryBudgetSpent, "retry_budget_spent", 503, Ran::NotRun, Repeat::AfterDelay,
    "the upstream refused and the retry budget is spent" },
  { UpstreamUnreachable, "upstream_unreachable", 503, Ran::NotRun, Repeat::AfterDelay,
    "no connection to the upstream could be made" },
  { PermitTimeout, "permit_timeout", 503, Ran::NotRun, Repeat::AfterDelay,
    "the upstream's owner did not answer in time" },
  { OrderVoided, "order_voided", 503, Ran::NotRun, Repeat::SameKey,
    "the order was withdrawn before it was sent" },
  { PromptPartBlocked, "prompt_part_blocked", 503, Ran::NotRun, Repeat::AfterDelay,
    "upstreams have crashed whenever they began to answer a part of this prompt" },
  { RequestLimitsReached, "request_limits_reached", 503, Ran::NotRun, Repeat::AfterDelay,
    "the service's upstreams take no more requests a second" },
  { RequestBlocked, "request_blocked", 503, Ran::NotRun, Repeat::AfterDelay,
    "upstreams have crashed whenever they began to run this request" },
  { RequestSuspected, "request_suspected", 503, Ran::NotRun, Repeat::AfterDelay,
    "several upstreams have crashed with this request; its attempts run one at a time" },
  { StreamVersionUnknown, "stream_version_unknown", 503, Ran::NotRun, Repeat::AfterDelay,
    "no daemon knows which version of the upstreams began the stream" },
  { StreamVersionGone, "stream_version_gone", 503, Ran::NotRun, Repeat::AfterDelay,
    "no upstream has the version that began the stream" },
  { MemoryShort, "memory_short", 503, Ran::NotRun, Repeat::AfterDelay,
    "this daemon has no memory for the request now" },
  { OrderRunning, "order_running", 409, Ran::Unknown, Repeat::SameKey,
    "the order is already running" },
  { OrderOutcomeUnknown, "order_outcome_unknown", 409, Ran::Unknown, Repeat::SameKey,
    "the order was sent and its outcome is not known" },
  { OrderKeyExpired, "order_key_expired", 409, Ran::Unknown, Repeat::No,
    "the order key is older than the record of orders" },
  { UpstreamFailed, "upstream_failed", 502, Ran::Unknown, Repeat::AfterDelay,
    "the upstream failed before it answered" },
  { StreamBroken, "stream_broken", 502, Ran::Unknown, Repeat::AfterDelay,
    "the answer broke off and could not be resumed" },
  { DeadlinePassed, "deadline_passed", 504, Ran::Unknown, Repeat::AfterDelay,
    "the deadline passed while the upstream was working" },
  { AnswerMismatch, "answer_mismatch", 502, Ran::Unknown, Repeat::AfterDelay,
    "the upstream sent an answer to another request" },
  { CallerGone, "caller_gone", 0, Ran::Unknown, Repeat::No,
    "the caller closed the connection" },
  { ConfigBaseStale, "config_base_stale", 409, Ran::NotRun, Repeat::No,
    "another change was accepted first" },
  { ConfigInvalid, "config_invalid", 422, Ran::NotRun, Repeat::No,
    "the configuration has no sound meaning" },
  { ConfigOutcomeUnknown, "config_outcome_unknown", 0, Ran::Unknown, Repeat::No,
    "it is not known whether the change was accepted" },
  { ConfigUnauthorized, "config_unauthorized", 401, Ran::NotRun, Repeat::No,
    "the operator's key is missing or unknown" },
  { ConfigNotInForce, "config_not_in_force", 0, Ran::NotRun, Repeat::AfterDelay,
    "the version is not yet in force everywhere" },
  { PlatformUnavailable, "platform_unavailable", 503, Ran::NotRun, Repeat::AfterDelay,
    "the platform's service does not answer" },
  { RolloutUnreadable, "rollout_unreadable", 0, Ran::NotRun, Repeat::No,
    "the order of a roll-out cannot be read" },
  { RolloutInvalid, "rollout_invalid", 0, Ran::NotRun, Repeat::No,
    "the order of a roll-out has no sound meaning" },
  { RolloutServiceUnknown, "rollout_service_unknown", 0, Ran::NotRun, Repeat::No,
    "a roll-out is ordered for a service that nobody has; it waits for one" },
  { RolloutStatusForeign, "rollout_status_foreign", 0, Ran::NotRun, Repeat::No,
    "the status of a roll-out was written by something else" },
  { SettingsFileMissing, "settings_file_missing", 0, Ran::NotRun, Repeat::No,
    "the settings file cannot be read" },
  { SettingsSyntax, "settings_syntax", 0, Ran::NotRun, Repeat::No,
    "the line is not INI" },
  { SettingsUnknownKey, "settings_unknown_key", 0, Ran::NotRun, Repeat::No,
    "no such section or key" },
  { SettingsBadValue, "settings_bad_value", 0, Ran::NotRun, Repeat::No,
    "the value is outside its range" },
  { SettingsKeyMissing, "settings_key_missing", 0, Ran::NotRun, Repeat::No,
    "a required key is missing" },
  { CommandLine, "command_line", 0, Ran::NotRun, Repeat::No,
    "the command line cannot be read" },
  { AddressInUse, "address_in_use", 0, Ran::NotRun, Repeat::No,
    "the address cannot be bound" },
  { StopCutRequests, "stop_cut_requests", 502, Ran::Unknown, Repeat::No,
    "the stop cut requests in progress" },
});
// clang-format on

constexpr int kExitUsage = 2;
constexpr int kExitUnknown = 3;
constexpr int kFirstSettingsCode = 5001;
constexpr int kLastUsageCode = 5006;

} // namespace

std::span<const ResultCodeRow>
ResultCodeTable()
{
  return kTable;
}

const ResultCodeRow&
RowOf(ResultCode aCode)
{
  const auto* row =
    std::lower_bound(kTable.begin(),
                     kTable.end(),
                     aCode,
                     [](const ResultCodeRow& aRow, ResultCode aWanted) {
                       return aRow.m_code < aWanted;
                     });
  if (row == kTable.end() || row->m_code != aCode) {
    throw std::out_of_range("no result code " +
                            std::to_string(static_cast<int>(aCode)));
  }
  return *row;
}

std::string_view
NameOf(Ran aRan)
{
  switch (aRan) {
    case Ran::NotRun:
      return "not run";
    case Ran::Yes:
      return "run";
    case Ran::Unknown:
      return "unknown";
  }
  throw std::out_of_range("no such Ran");
}

std::string_view
NameOf(Repeat aRepeat)
{
  switch (aRepeat) {
    case Repeat::No:
      return "no";
    case Repeat::AfterDelay:
      return "after delay";
    case Repeat::SameKey:
      return "same key";
  }
  throw std::out_of_range("no such Repeat");
}

int
ExitStatusOf(ResultCode aCode)
{
  if (aCode == Ok) {
    return 0;
  }
  const int number = static_cast<int>(aCode);
  if (number >= kFirstSettingsCode && number <= kLastUsageCode) {
    return kExitUsage;
  }
  return aCode == ConfigOutcomeUnknown ? kExitUnknown : 1;
}

} // namespace walnutwing
