#ifndef WALNUTWING_BASE_RESULT_CODE_H_
#define WALNUTWING_BASE_RESULT_CODE_H_

// Numbered result codes: everything that walnutwing can tell a caller, an
// operator or a process manager about how something ended. docs/ERRORS.md holds
// the same table, and result_code_test compares the two.

#include <span>
#include <string_view>

namespace walnutwing {

// The numbers are part of the interface and never change their meaning.
// 1xxx the request itself; 2xxx refused before it ran; 3xxx it ran or may have
// run; 4xxx operators' configuration; 5xxx settings and process start.
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

  SettingsFileMissing = 5001,
  SettingsSyntax = 5002,
  SettingsUnknownKey = 5003,
  SettingsBadValue = 5004,
  SettingsKeyMissing = 5005,
  CommandLine = 5006,
  AddressInUse = 5007,
  StopCutRequests = 5008,
};

// What a result says about the work that was asked for.
enum class Ran
{
  NotRun,  // no upstream has run it, and none will for this request
  Yes,     // an upstream ran it
  Unknown, // an upstream may have run it, may be running it or may run it yet
};

// Whether the caller may send the same request again.
enum class Repeat
{
  No,         // the same request would end the same way
  AfterDelay, // yes, after the delay in Retry-After
  SameKey,    // yes, with the same order key: a repeat never runs twice
};

struct ResultCodeRow
{
  ResultCode m_code;
  std::string_view m_name;
  int m_httpStatus; // 0 where the code never reaches HTTP
  Ran m_ran;
  Repeat m_repeat;
  std::string_view m_text;
};

// All codes in ascending order.
std::span<const ResultCodeRow>
ResultCodeTable();

// The row of a code. A code that is not in the table is a programming error
// and throws std::out_of_range.
const ResultCodeRow&
RowOf(ResultCode aCode);

// The words used on the wire and in the docs: "not run", "run", "unknown".
std::string_view
NameOf(Ran aRan);

// "no", "after delay", "same key".
std::string_view
NameOf(Repeat aRepeat);

// The exit status of a command that ends with this code: 0 for Ok, 2 for bad
// usage or settings, 3 where the outcome is unknown, 1 for everything else.
int
ExitStatusOf(ResultCode aCode);

} // namespace walnutwing

#endif // WALNUTWING_BASE_RESULT_CODE_H_
