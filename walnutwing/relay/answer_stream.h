#ifndef WALNUTWING_RELAY_ANSWER_STREAM_H_
#define WALNUTWING_RELAY_ANSWER_STREAM_H_

// Makes exactly one whole answer to one request out of the attempts at it.
//
// A request is sent to an upstream as an attempt. When an attempt breaks off,
// another may resume it or repeat it. Whatever arrives late, twice, out of
// order, cut short or from another request's answer, the caller receives its
// own answer whole, or a numbered error; never a short answer that looks whole.
//
// What the upstream must do:
//  - echo the request header `x-request-id`, which carries the attempt's id, in
//    its answer;
//  - stream a completion as Server-Sent Events, each with `id: N`, the offset
//  of
//    the event in the answer: 0, 1, 2, ...; the data of the last is `[DONE]`,
//    of all others a JSON object whose top-level "id" names the completion;
//  - with the request header `Last-Event-ID: N`, go on at offset N + 1 with the
//    same completion id;
//  - give any other answer with a content-length or in chunks.
// An upstream that also names the completion in the header `x-completion-id`
// has its first event passed on at once; without it the first event waits for
// the second, which must name the same completion.
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

// The text that travels in `x-request-id`. The driver makes it unique over all
// requests and attempts of all daemons' lives.
using AttemptId = TextId<struct AttemptIdTag>;

struct AnswerOptions
{
  bool m_idempotent = true;        // false: one attempt, never repeated
  std::uint32_t m_maxAttempts = 4; // all attempts at this request
  std::uint32_t m_maxSameUpstreamResumes =
    1; // resumptions at the upstream that broke
       // off before going elsewhere
  SseParserOptions m_parser;
  std::size_t m_maxPlainBytes = std::size_t{ 1024 } * 1024; // of one answer
};

// What the driver reads from the head of an upstream's answer.
struct AnswerHead
{
  int m_status = 0;
  std::string m_requestId;    // `x-request-id`, empty when missing
  bool m_eventStream = false; // content-type is text/event-stream
  bool m_chunked = false;     // transfer-encoding is chunked
  std::optional<std::uint64_t> m_contentLength;
  std::string m_completionId; // `x-completion-id`, empty when missing
};

// How an attempt ended.
enum class AttemptEnd
{
  Complete, // the HTTP answer ended as its framing says
  Broken,   // the connection broke, or the driver gave the attempt up
  NotSent,  // no byte of the request left: a certain "not run"
};

// Where the next attempt goes.
enum class AttemptTarget
{
  SameUpstream,
  OtherUpstream,
};

// Actions.

// Send this status, and the headers of this attempt's answer, to the caller.
// Comes once, before the first Forward.
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
// when there is none. Report OnAttemptStarted or OnAttemptRefused. The last
// event that was forwarded is asked for once more: it shows that the attempt
// goes on with the same answer.
struct ResumeAttempt
{
  std::optional<std::uint64_t> m_afterOffset;
  AttemptTarget m_target = AttemptTarget::SameUpstream;
};

// Start the request anew elsewhere, if the retry budget allows. Nothing has
// reached the caller. Report OnAttemptStarted or OnAttemptRefused.
struct RetryAttempt
{};

// The answer is whole: end the answer to the caller.
struct FinishComplete
{};

// End the answer to the caller with an error. With m_inStream the head has been
// sent, and ErrorEvent(m_code) is the last event; otherwise answer with the
// code's HTTP status.
struct FinishWithError
{
  ResultCode m_code = ResultCode::UpstreamFailed;
  bool m_inStream = false;
};

// Close this attempt's connection. Nothing more of it is needed.
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

// What was dropped, and why.
struct AnswerCounters
{
  std::uint64_t m_staleInputs = 0;      // from an attempt that was given up
  std::uint64_t m_mismatchedHeads = 0;  // heads that echo another attempt's id
  std::uint64_t m_mismatchedEvents = 0; // events of another completion
  std::uint64_t m_duplicates = 0; // events whose offset was forwarded before
  std::uint64_t m_gaps = 0;       // events ahead of the next offset
  std::uint64_t m_malformed =
    0; // events without offset, cut short, or too large
  std::uint64_t m_truncated = 0; // attempts that ended before their answer did
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumes = 0;
};

class AnswerStream
{
public:
  explicit AnswerStream(AnswerOptions aOptions = {});

  // The driver has started an attempt: the first one, or the one that a
  // RetryAttempt or ResumeAttempt asked for. It becomes the current attempt; a
  // previous one that is still alive is cancelled, and its bytes are dropped.
  void OnAttemptStarted(const AttemptId& aAttempt, AnswerActions& aActions);

  // The attempt that was asked for cannot be started. aCode tells the caller
  // why, but only where no attempt can have run; otherwise the caller is told
  // that the outcome is unknown.
  void OnAttemptRefused(ResultCode aCode, AnswerActions& aActions);

  void OnHead(const AttemptId& aAttempt,
              const AnswerHead& aHead,
              AnswerActions& aActions);
  void OnPiece(const AttemptId& aAttempt,
               std::string_view aBytes,
               AnswerActions& aActions);
  void OnEnd(const AttemptId& aAttempt,
             AttemptEnd aEnd,
             AnswerActions& aActions);

  // The request's deadline has passed.
  void OnDeadline(AnswerActions& aActions);

  // The caller has closed its connection.
  void OnCallerGone(AnswerActions& aActions);

  // After FinishComplete, FinishWithError or OnCallerGone. All later events are
  // ignored.
  bool Finished() const { return m_state == State::Finished; }

  // Whether the status has been sent to the caller.
  bool HeadForwarded() const { return m_headForwarded; }

  // The offset of the event that is expected next.
  std::uint64_t NextOffset() const { return m_nextOffset; }

  const AnswerCounters& Counters() const { return m_counters; }

private:
  enum class State
  {
    NoAttempt, // before the first attempt, or while the next one is asked for
    AwaitHead,
    Streaming,
    Plain,
    Finished,
  };
  enum class Verdict
  {
    Forward,
    Drop,
    GiveUp, // the attempt cannot be trusted any further
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
  std::uint32_t m_sameUpstreamResumes = 0; // at the upstream of the last break

  // The current attempt.
  AttemptId m_current;
  bool m_currentInFlight = false;
  bool m_overlapConfirmed =
    true; // it has shown that it goes on with this answer
  bool m_lastChunkMatches = true; // its last chunk was of this completion
  AnswerHead m_head;
  SseParser m_parser;
  std::string m_plainBody;

  // The answer so far.
  std::uint64_t m_nextOffset = 0;
  std::string m_completionId;
  std::string m_heldEvent; // the first event, until the second confirms it
  bool m_finishReasonUsed = false;
  bool m_finishReasonSet = false;
};

// The event that ends a stream with an error:
//   event: error
//   data: {"error":{"code":3005,"name":"stream_broken","ran":"unknown",...}}
std::string
ErrorEvent(ResultCode aCode);

// The JSON object in that event's data, for answers that are no stream.
std::string
ErrorBody(ResultCode aCode);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_ANSWER_STREAM_H_
