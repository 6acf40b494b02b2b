#ifndef WALNUTWING_BASE_RESULT_CODE_H_
#define WALNUTWING_BASE_RESULT_CODE_H_

// Numbered result codes: the outcomes that walnutwing reports to callers,
// operators and process managers. docs/ERRORS.md holds the same table, and
// result_code_test compares the two.

#include <span>
#include <string_view>

namespace walnutwing {

// The numbers are part of the interface and never change their meaning.
// 1xxx: invalid request; 2xxx: refused before it ran; 3xxx: it ran or may have
// run; 4xxx: operators' configuration; 5xxx: settings, process start and stop.
enum class ResultCode : int
{
  Ok = 0,

  BadRequest = 1001,
  Unauthorized = 1002,
  UnknownService = 1003,
  RequestTooLarge = 1004,
  OrderKeyMissing = 1005,
  OrderKeyMalformed = 1006,
  OrderKeyReused = 1007,
  NotFound = 1008,
  PeerOnly = 1009,
  HeadersTooLarge = 1010,
  RequestTimeout = 1011,
  TransferCodingUnsupported = 1012,

  NoConfiguration = 2001,
  NoUpstream = 2002,
  OverCustomerShare = 2003,
  QueueFull = 2004,
  DeadlineTooShort = 2005,
  Stopping = 2006,
  ClaimsUnavailable = 2007,
  RetryBudgetSpent = 2008,
  UpstreamUnreachable = 2009,
  PermitTimeout = 2010,
  OrderVoided = 2011,
  PromptPartBlocked = 2012,
  RequestLimitsReached = 2013,
  RequestBlocked = 2014,
  RequestSuspected = 2015,
  StreamVersionUnknown = 2016,
  StreamVersionGone = 2017,
  MemoryShort = 2018,

  OrderRunning = 3001,
  OrderOutcomeUnknown = 3002,
  OrderKeyExpired = 3003,
  UpstreamFailed = 3004,
  StreamBroken = 3005,
  DeadlinePassed = 3006,
  AnswerMismatch = 3007,
  CallerGone = 3008,

  ConfigBaseStale = 4001,
  ConfigInvalid = 4002,
  ConfigOutcomeUnknown = 4003,
  ConfigUnauthorized = 4004,
  ConfigNotInForce = 4005,
  PlatformUnavailable = 4006,
  RolloutUnreadable = 4007,
  RolloutInvalid = 4008,
  RolloutServiceUnknown = 4009,
  RolloutStatusForeign = 4010,

  SettingsFileMissing = 5001,
  SettingsSyntax = 5002,
  SettingsUnknownKey = 5003,
  SettingsBadValue = 5004,
  SettingsKeyMissing = 5005,
  CommandLine = 5006,
  AddressInUse = 5007,
  StopCutRequests = 5008,
};

// Whether the request was executed, as far as the result tells.
enum class Ran
{
  NotRun,  // no upstream has run it or will run it
  Yes,     // an upstream ran it
  Unknown, // an upstream may have run it, may be running it or may still run it
};

// Whether the caller may retry the same request.
enum class Repeat
{
  No,         // no: a retry would have the same result
  AfterDelay, // yes, after the delay in Retry-After
  SameKey,    // yes, with the same order key, which makes the order idempotent
};

struct ResultCodeRow
{
  ResultCode m_code;
  std::string_view m_name;
  int m_httpStatus; // 0 if the code is never sent in an HTTP response
  Ran m_ran;
  Repeat m_repeat;
  std::string_view m_text;
};

// All codes in ascending order.
std::span<const ResultCodeRow>
ResultCodeTable();

// The row of a code. Throws std::out_of_range for a code that is not in the
// table, which is a programming error.
const ResultCodeRow&
RowOf(ResultCode aCode);

// The text on the wire and in the documentation: "not run", "run", "unknown".
// Throws std::out_of_range for other values.
std::string_view
NameOf(Ran aRan);

// "no", "after delay", "same key". Throws std::out_of_range for other values.
std::string_view
NameOf(Repeat aRepeat);

// The exit status of a command that ends with this code: 0 for Ok, 2 for
// invalid usage or settings, 3 for ConfigOutcomeUnknown, 1 for all others.
int
ExitStatusOf(ResultCode aCode);

} // namespace walnutwing

#endif // WALNUTWING_BASE_RESULT_CODE_H_
