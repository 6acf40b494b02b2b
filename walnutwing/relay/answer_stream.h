#ifndef WALNUTWING_RELAY_ANSWER_STREAM_H_
#define WALNUTWING_RELAY_ANSWER_STREAM_H_

// Assembles the answer to one request from one or more attempts.
//
// An attempt sends the request to one upstream. If an attempt fails, another
// one may resume its answer or repeat the request. Upstream data may be late,
// duplicated, reordered, truncated or part of another request's answer. The
// caller still receives either its own complete answer or an error with a
// result code, never a truncated answer that looks complete.
//
// An upstream must
//  - echo the request header `x-request-id`, which carries the attempt id, in
//    its response;
//  - stream a completion as Server-Sent Events. Each event has `id: N`, its
//    offset in the answer, starting at 0. The data of the last event is
//    `[DONE]`; the data of every other event is a JSON object whose top-level
//    "id" is the completion id;
//  - continue at offset N + 1 with the same completion id if the request has
//    the header `Last-Event-ID: N`;
//  - send any other answer (a "plain answer") with a content-length or chunked,
//    unless its status says that it has no body (response_status.h).
// If the response also names the completion in the header `x-completion-id`,
// its first event is forwarded immediately. Otherwise the first event is held
// until the second one arrives, which must name the same completion or be
// `[DONE]`.
//
// One AnswerStream serves one request. It has no clock and does no I/O: the
// driver reports events and carries out the actions appended to aActions.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "walnutwing/base/id.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/relay/sse_parser.h"

namespace walnutwing {

// The value of `x-request-id`. The driver makes it unique across all requests,
// attempts, daemons and restarts of a daemon.
using AttemptId = TextId<struct AttemptIdTag>;

struct AnswerOptions
{
  bool m_idempotent = true;        // false: one attempt, never repeated
  std::uint32_t m_maxAttempts = 4; // including the first
  // Consecutive resumptions at the upstream whose stream broke, before one at
  // another upstream.
  std::uint32_t m_maxSameUpstreamResumes = 1;
  SseParserOptions m_parser;
  std::size_t m_maxPlainBytes = std::size_t{ 1024 } * 1024; // body size limit
};

// The status and headers of an upstream's response, as read by the driver.
struct AnswerHead
{
  int m_status = 0;
  std::string m_requestId;    // `x-request-id`, empty if missing
  bool m_eventStream = false; // content-type is text/event-stream
  bool m_chunked = false;     // transfer-encoding is chunked
  std::optional<std::uint64_t> m_contentLength;
  std::string m_completionId; // `x-completion-id`, empty if missing
};

// How an attempt ended.
enum class AttemptEnd
{
  Complete, // the HTTP response is complete according to its framing
  Broken,   // the connection failed, or the driver gave the attempt up
  NotSent,  // no byte of the request was sent, so it certainly did not run
};

// Where the next attempt is sent.
enum class AttemptTarget
{
  SameUpstream,
  OtherUpstream,
};

// Actions.

// Send this status and the headers of this attempt's response to the caller.
// Emitted once, before the first Forward.
struct ForwardHead
{
  AttemptId m_attempt;
  int m_status = 0;
  bool m_eventStream = false;
};

// Send these bytes to the caller.
struct Forward
{
  std::string m_bytes;
};

// Start an attempt with `Last-Event-ID: m_afterOffset`, or without that header
// if there is none. Report OnAttemptStarted or OnAttemptRefused. The attempt
// repeats the last forwarded event; this overlap shows that it continues the
// same answer.
struct ResumeAttempt
{
  std::optional<std::uint64_t> m_afterOffset;
  AttemptTarget m_target = AttemptTarget::SameUpstream;
};

// Repeat the request at another upstream if the retry budget allows it. Nothing
// has been sent to the caller yet. Report OnAttemptStarted or OnAttemptRefused.
struct RetryAttempt
{};

// The answer is complete: end the response to the caller.
struct FinishComplete
{};

// End the response to the caller with an error. If m_inStream is set, the head
// has been sent and ErrorEvent(m_code) is the last event; otherwise respond
// with the HTTP status of the code.
struct FinishWithError
{
  ResultCode m_code = ResultCode::UpstreamFailed;
  bool m_inStream = false;
};

// Close this attempt's connection; its remaining data is not needed.
struct CancelAttempt
{
  AttemptId m_attempt;
};

using AnswerAction = std::variant<ForwardHead,
                                  Forward,
                                  ResumeAttempt,
                                  RetryAttempt,
                                  FinishComplete,
                                  FinishWithError,
                                  CancelAttempt>;
using AnswerActions = std::vector<AnswerAction>;

// Discarded input by reason, and further attempts.
struct AnswerCounters
{
  // Heads and pieces of an attempt that is not in flight, and repeated heads.
  std::uint64_t m_staleInputs = 0;
  // Heads that do not echo the attempt's id.
  std::uint64_t m_mismatchedHeads = 0;
  // Events of another completion, including a `[DONE]` that may be of one.
  std::uint64_t m_mismatchedEvents = 0;
  // Events whose offset was accepted before.
  std::uint64_t m_duplicates = 0;
  // Events ahead of the next offset, or without the overlap of a resumption.
  std::uint64_t m_gaps = 0;
  // Events that are truncated, too large, without an offset or of type "error";
  // pieces before the head; plain answers that are too large; heads whose
  // status is none.
  std::uint64_t m_malformed = 0;
  // Attempts that ended before their answer was complete.
  std::uint64_t m_truncated = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumes = 0;
};

class AnswerStream
{
public:
  explicit AnswerStream(AnswerOptions aOptions = {});

  // The driver has started an attempt: the first one, or the one requested by a
  // RetryAttempt or ResumeAttempt. It becomes the current attempt. A previous
  // attempt that is still in flight is cancelled, and its data is dropped.
  void OnAttemptStarted(const AttemptId& aAttempt, AnswerActions& aActions);

  // The requested attempt cannot be started. The caller receives aCode only if
  // no earlier attempt can have run; otherwise it receives a code that says
  // that the outcome is unknown.
  void OnAttemptRefused(ResultCode aCode, AnswerActions& aActions);

  // The head of an attempt's response has arrived.
  void OnHead(const AttemptId& aAttempt,
              const AnswerHead& aHead,
              AnswerActions& aActions);
  // The next body bytes of an attempt have arrived, split anywhere.
  void OnPiece(const AttemptId& aAttempt,
               std::string_view aBytes,
               AnswerActions& aActions);
  // An attempt has ended.
  void OnEnd(const AttemptId& aAttempt,
             AttemptEnd aEnd,
             AnswerActions& aActions);

  // The request's deadline has passed.
  void OnDeadline(AnswerActions& aActions);

  // The caller has closed its connection.
  void OnCallerGone(AnswerActions& aActions);

  // True after FinishComplete, FinishWithError or OnCallerGone. All later
  // events are ignored.
  bool Finished() const { return m_state == State::Finished; }

  // Whether ForwardHead has been emitted.
  bool HeadForwarded() const { return m_headForwarded; }

  // The offset of the next expected event.
  std::uint64_t NextOffset() const { return m_nextOffset; }

  const AnswerCounters& Counters() const { return m_counters; }

private:
  enum class State
  {
    NoAttempt, // before the first attempt, or while the next one is requested
    AwaitHead,
    Streaming, // reading the events of a stream
    Plain,     // buffering a plain answer
    Finished,
  };
  enum class Verdict
  {
    Forward,
    Drop,
    GiveUp, // no later event of the attempt can be trusted either
  };

  bool IsCurrent(const AttemptId& aAttempt) const;
  void ProcessEvents(AnswerActions& aActions);
  Verdict CheckEvent(const SseEvent& aEvent, bool& aDone);
  Verdict CheckDone(std::uint64_t aOffset);
  Verdict CheckChunk(std::uint64_t aOffset, std::string_view aData);
  Verdict CheckOffset(std::uint64_t aOffset);
  void AppendOrHoldEvent(std::string_view aRaw,
                         bool aDone,
                         std::string& aForwarded);
  void FinishWithoutBody(AnswerActions& aActions);
  void AppendPlainBody(std::string_view aBytes, AnswerActions& aActions);
  void FinishPlainAnswer(AttemptEnd aEnd, AnswerActions& aActions);
  bool IsPlainAnswerComplete(AttemptEnd aEnd) const;
  void ForwardEvents(std::string aBytes, AnswerActions& aActions);
  ResultCode FinalCode(ResultCode aCode) const;
  void GiveUpAttempt(ResultCode aCode, AnswerActions& aActions);
  void RequestNextAttempt(ResultCode aCode, AnswerActions& aActions);
  void CancelCurrentAttempt(AnswerActions& aActions);
  void Fail(ResultCode aCode, AnswerActions& aActions);

  void ResetAnswer();

  AnswerOptions m_options;
  AnswerCounters m_counters;
  State m_state = State::NoAttempt;
  bool m_headForwarded = false;
  bool m_mayHaveRun = false; // an attempt may have reached its upstream
  std::uint32_t m_attempts = 0;
  std::uint32_t m_sameUpstreamResumes = 0; // in a row

  // The current attempt.
  AttemptId m_current;
  bool m_currentInFlight = false;
  // Whether it may forward events: a resumed attempt must first repeat the last
  // forwarded event.
  bool m_overlapConfirmed = true;
  bool m_lastChunkMatches = true; // its last chunk was of this completion
  AnswerHead m_head;
  SseParser m_parser;
  std::string m_plainBody;

  // The answer so far.
  std::uint64_t m_nextOffset = 0;
  std::string m_completionId;
  std::string m_heldEvent; // the first event, until the second confirms it
  bool m_finishReasonUsed = false; // a chunk had a "finish_reason", maybe null
  bool m_finishReasonSet = false;  // a chunk had one that was a string
};

// The Server-Sent Event that ends a stream with an error:
//   event: error
//   data: {"error":{"code":3005,"name":"stream_broken","ran":"unknown",...}}
std::string
ErrorEvent(ResultCode aCode);

// The JSON object in the data of ErrorEvent; also the body of an error response
// that is not a stream.
std::string
ErrorBody(ResultCode aCode);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_ANSWER_STREAM_H_
