// Events are ordered by offset, not by arrival: the only event that can be
// forwarded is the one at m_nextOffset with the completion id of this answer.
// Any other event is dropped or ends the attempt, and the next attempt resumes
// from the last forwarded event. A plain answer is buffered until it is
// complete, so that the caller never receives a part of it.
//
// A stream is complete only when `[DONE]` arrives at the next offset. `[DONE]`
// carries no completion id. If chunks contain "finish_reason", a chunk must
// have set it before `[DONE]`, so that the end of another stream cannot end
// this one.

#include "walnutwing/relay/answer_stream.h"

#include <charconv>
#include <utility>

#include "walnutwing/relay/chunk_scanner.h"
#include "walnutwing/relay/response_status.h"

namespace walnutwing {
namespace {

constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kErrorType = "error";
constexpr int kFirstServerErrorStatus = 500;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kOkStatus = 200;

std::optional<std::uint64_t>
ParseOffset(std::string_view aText)
{
  std::uint64_t offset = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, offset);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return offset;
}

bool
IsUpstreamFailure(int aStatus)
{
  return aStatus >= kFirstServerErrorStatus ||
         aStatus == kTooManyRequestsStatus;
}

} // namespace

AnswerStream::AnswerStream(AnswerOptions aOptions)
  : m_options(aOptions)
  , m_parser(aOptions.m_parser)
{
}

bool
AnswerStream::IsCurrent(const AttemptId& aAttempt) const
{
  return m_currentInFlight && aAttempt == m_current;
}

void
AnswerStream::OnAttemptStarted(const AttemptId& aAttempt,
                               AnswerActions& aActions)
{
  if (Finished()) {
    aActions.emplace_back(CancelAttempt{ aAttempt });
    return;
  }
  CancelCurrentAttempt(aActions);
  ++m_attempts;
  m_current = aAttempt;
  m_currentInFlight = true;
  m_head = {};
  m_parser = SseParser(m_options.m_parser);
  m_plainBody.clear();
  m_overlapConfirmed = !m_headForwarded;
  m_lastChunkMatches = true;
  m_state = State::AwaitHead;
  if (!m_headForwarded) {
    ResetAnswer();
  }
}

void
AnswerStream::ResetAnswer()
{
  m_nextOffset = 0;
  m_completionId.clear();
  m_heldEvent.clear();
  m_finishReasonUsed = false;
  m_finishReasonSet = false;
}

void
AnswerStream::OnAttemptRefused(ResultCode aCode, AnswerActions& aActions)
{
  if (m_state != State::NoAttempt) {
    return;
  }
  Fail(FinalCode(aCode), aActions);
}

void
AnswerStream::OnHead(const AttemptId& aAttempt,
                     const AnswerHead& aHead,
                     AnswerActions& aActions)
{
  if (Finished() || !IsCurrent(aAttempt) || m_state != State::AwaitHead) {
    ++m_counters.m_staleInputs;
    return;
  }
  m_mayHaveRun = true;
  if (aHead.m_requestId != aAttempt.Value()) {
    ++m_counters.m_mismatchedHeads;
    GiveUpAttempt(ResultCode::AnswerMismatch, aActions);
    return;
  }
  m_head = aHead;
  const StatusKind kind = aHead.m_status < 0
                            ? StatusKind::Invalid
                            : KindOf(static_cast<unsigned>(aHead.m_status));
  if (kind == StatusKind::Invalid || kind == StatusKind::Interim) {
    ++m_counters.m_malformed;
    GiveUpAttempt(ResultCode::UpstreamFailed, aActions);
    return;
  }
  if (aHead.m_status == kOkStatus && aHead.m_eventStream) {
    m_state = State::Streaming;
    if (!m_headForwarded) {
      m_completionId = aHead.m_completionId;
    }
    return;
  }
  const bool failed =
    m_options.m_idempotent && IsUpstreamFailure(aHead.m_status);
  if (m_headForwarded || failed) {
    GiveUpAttempt(ResultCode::UpstreamFailed, aActions);
    return;
  }
  if (kind == StatusKind::FinalWithoutBody) {
    FinishWithoutBody(aActions);
    return;
  }
  m_state = State::Plain;
}

// The head is the whole answer. What may follow belongs to no answer, so the
// connection is closed.
void
AnswerStream::FinishWithoutBody(AnswerActions& aActions)
{
  CancelCurrentAttempt(aActions);
  m_headForwarded = true;
  m_state = State::Finished;
  aActions.emplace_back(ForwardHead{ m_current, m_head.m_status, false });
  aActions.emplace_back(FinishComplete{});
}

void
AnswerStream::OnPiece(const AttemptId& aAttempt,
                      std::string_view aBytes,
                      AnswerActions& aActions)
{
  if (Finished() || !IsCurrent(aAttempt)) {
    ++m_counters.m_staleInputs;
    return;
  }
  if (m_state == State::Streaming) {
    m_parser.Feed(aBytes);
    ProcessEvents(aActions);
  } else if (m_state == State::Plain) {
    AppendPlainBody(aBytes, aActions);
  } else {
    ++m_counters.m_malformed;
    GiveUpAttempt(ResultCode::UpstreamFailed, aActions);
  }
}

void
AnswerStream::ProcessEvents(AnswerActions& aActions)
{
  std::string forwarded;
  bool done = false;
  Verdict verdict = Verdict::Drop;
  SseEvent event;
  while (!done && verdict != Verdict::GiveUp && m_parser.Next(event)) {
    verdict = CheckEvent(event, done);
    if (verdict == Verdict::Forward) {
      AppendOrHoldEvent(event.m_raw, done, forwarded);
    }
  }
  if (!forwarded.empty()) {
    ForwardEvents(std::move(forwarded), aActions);
  }
  if (done) {
    m_state = State::Finished;
    aActions.emplace_back(FinishComplete{});
    return;
  }
  if (m_parser.Error() != SseError::None) {
    ++m_counters.m_malformed;
    verdict = Verdict::GiveUp;
  }
  if (verdict == Verdict::GiveUp) {
    GiveUpAttempt(ResultCode::AnswerMismatch, aActions);
  }
}

// Appends an event to aForwarded. The first event is held instead if the head
// did not name the completion: the event may then be of another answer.
void
AnswerStream::AppendOrHoldEvent(std::string_view aRaw,
                                bool aDone,
                                std::string& aForwarded)
{
  const bool hold =
    m_nextOffset == 0 && m_head.m_completionId.empty() && !aDone;
  ++m_nextOffset;
  if (hold) {
    m_heldEvent = aRaw;
    return;
  }
  if (!m_heldEvent.empty()) {
    aForwarded.append(m_heldEvent);
    m_heldEvent.clear();
  }
  aForwarded.append(aRaw);
}

// Decides what to do with an event. Sets aDone if it completes the answer.
AnswerStream::Verdict
AnswerStream::CheckEvent(const SseEvent& aEvent, bool& aDone)
{
  const std::optional<std::uint64_t> offset =
    aEvent.m_hasOwnId ? ParseOffset(aEvent.m_id) : std::nullopt;
  if (!offset.has_value() || aEvent.m_type == kErrorType) {
    ++m_counters.m_malformed;
    return Verdict::GiveUp;
  }
  if (aEvent.m_data != kDone) {
    return CheckChunk(*offset, aEvent.m_data);
  }
  const Verdict verdict = CheckDone(*offset);
  aDone = verdict == Verdict::Forward;
  return verdict;
}

AnswerStream::Verdict
AnswerStream::CheckOffset(std::uint64_t aOffset)
{
  if (aOffset < m_nextOffset) {
    ++m_counters.m_duplicates;
    m_overlapConfirmed |= aOffset + 1 == m_nextOffset;
    return Verdict::Drop;
  }
  if (aOffset > m_nextOffset || !m_overlapConfirmed) {
    ++m_counters.m_gaps;
    return Verdict::GiveUp;
  }
  return Verdict::Forward;
}

AnswerStream::Verdict
AnswerStream::CheckDone(std::uint64_t aOffset)
{
  if (aOffset < m_nextOffset) {
    ++m_counters.m_duplicates;
    return Verdict::Drop;
  }
  const Verdict verdict = CheckOffset(aOffset);
  if (verdict != Verdict::Forward) {
    return verdict;
  }
  const bool unfinished = m_finishReasonUsed && !m_finishReasonSet;
  if (unfinished || !m_lastChunkMatches || m_nextOffset == 0) {
    ++m_counters.m_mismatchedEvents;
    return Verdict::GiveUp;
  }
  return Verdict::Forward;
}

AnswerStream::Verdict
AnswerStream::CheckChunk(std::uint64_t aOffset, std::string_view aData)
{
  const ChunkFacts facts = ScanChunk(aData);
  if (!facts.m_complete || facts.m_id.empty()) {
    ++m_counters.m_malformed;
    return Verdict::GiveUp;
  }
  m_lastChunkMatches = m_completionId.empty() || facts.m_id == m_completionId;
  if (!m_lastChunkMatches) {
    ++m_counters.m_mismatchedEvents;
    // The held first event and this one differ in their completion ids, and
    // either may be of another answer.
    return m_heldEvent.empty() ? Verdict::Drop : Verdict::GiveUp;
  }
  const Verdict verdict = CheckOffset(aOffset);
  if (verdict != Verdict::Forward) {
    return verdict;
  }
  if (m_completionId.empty()) {
    m_completionId = facts.m_id;
  }
  m_finishReasonUsed |= facts.m_finish != FinishReason::Absent;
  m_finishReasonSet |= facts.m_finish == FinishReason::Set;
  return Verdict::Forward;
}

void
AnswerStream::ForwardEvents(std::string aBytes, AnswerActions& aActions)
{
  if (!m_headForwarded) {
    m_headForwarded = true;
    aActions.emplace_back(ForwardHead{ m_current, m_head.m_status, true });
  }
  aActions.emplace_back(Forward{ std::move(aBytes) });
}

void
AnswerStream::AppendPlainBody(std::string_view aBytes, AnswerActions& aActions)
{
  if (m_plainBody.size() + aBytes.size() > m_options.m_maxPlainBytes) {
    ++m_counters.m_malformed;
    GiveUpAttempt(ResultCode::UpstreamFailed, aActions);
    return;
  }
  m_plainBody.append(aBytes);
}

bool
AnswerStream::IsPlainAnswerComplete(AttemptEnd aEnd) const
{
  if (aEnd != AttemptEnd::Complete) {
    return false;
  }
  if (m_head.m_contentLength.has_value()) {
    return *m_head.m_contentLength == m_plainBody.size();
  }
  return m_head.m_chunked;
}

void
AnswerStream::FinishPlainAnswer(AttemptEnd aEnd, AnswerActions& aActions)
{
  if (!IsPlainAnswerComplete(aEnd)) {
    ++m_counters.m_truncated;
    RequestNextAttempt(ResultCode::UpstreamFailed, aActions);
    return;
  }
  m_headForwarded = true;
  m_state = State::Finished;
  aActions.emplace_back(ForwardHead{ m_current, m_head.m_status, false });
  aActions.emplace_back(Forward{ std::move(m_plainBody) });
  aActions.emplace_back(FinishComplete{});
}

void
AnswerStream::OnEnd(const AttemptId& aAttempt,
                    AttemptEnd aEnd,
                    AnswerActions& aActions)
{
  if (Finished() || !IsCurrent(aAttempt)) {
    return;
  }
  m_currentInFlight = false;
  if (aEnd == AttemptEnd::NotSent) {
    RequestNextAttempt(ResultCode::UpstreamUnreachable, aActions);
    return;
  }
  m_mayHaveRun = true;
  if (m_state == State::Plain) {
    FinishPlainAnswer(aEnd, aActions);
    return;
  }
  ++m_counters.m_truncated;
  RequestNextAttempt(ResultCode::UpstreamFailed, aActions);
}

void
AnswerStream::OnDeadline(AnswerActions& aActions)
{
  if (Finished()) {
    return;
  }
  const bool sent = m_mayHaveRun || m_currentInFlight;
  CancelCurrentAttempt(aActions);
  Fail(sent ? ResultCode::DeadlinePassed : ResultCode::DeadlineTooShort,
       aActions);
}

void
AnswerStream::OnCallerGone(AnswerActions& aActions)
{
  if (Finished()) {
    return;
  }
  CancelCurrentAttempt(aActions);
  m_state = State::Finished;
}

void
AnswerStream::CancelCurrentAttempt(AnswerActions& aActions)
{
  if (m_currentInFlight) {
    // The request has been sent or is about to be sent, so it may run.
    m_mayHaveRun = true;
    aActions.emplace_back(CancelAttempt{ m_current });
  }
  m_currentInFlight = false;
}

void
AnswerStream::GiveUpAttempt(ResultCode aCode, AnswerActions& aActions)
{
  CancelCurrentAttempt(aActions);
  RequestNextAttempt(aCode, aActions);
}

// Requests another attempt, or fails with aCode if none is allowed.
void
AnswerStream::RequestNextAttempt(ResultCode aCode, AnswerActions& aActions)
{
  m_state = State::NoAttempt;
  if (!m_options.m_idempotent || m_attempts >= m_options.m_maxAttempts) {
    Fail(FinalCode(aCode), aActions);
    return;
  }
  if (!m_headForwarded) {
    ++m_counters.m_retries;
    aActions.emplace_back(RetryAttempt{});
    return;
  }
  const bool atSameUpstream =
    m_sameUpstreamResumes < m_options.m_maxSameUpstreamResumes;
  m_sameUpstreamResumes = atSameUpstream ? m_sameUpstreamResumes + 1 : 0;
  ++m_counters.m_resumes;
  ResumeAttempt resume;
  resume.m_target =
    atSameUpstream ? AttemptTarget::SameUpstream : AttemptTarget::OtherUpstream;
  if (m_nextOffset >= 2) {
    resume.m_afterOffset = m_nextOffset - 2;
  }
  aActions.emplace_back(resume);
}

// The result code for the caller if the last attempt ended with aCode.
ResultCode
AnswerStream::FinalCode(ResultCode aCode) const
{
  if (aCode == ResultCode::AnswerMismatch) {
    return aCode;
  }
  if (m_headForwarded) {
    return ResultCode::StreamBroken;
  }
  return m_mayHaveRun ? ResultCode::UpstreamFailed : aCode;
}

void
AnswerStream::Fail(ResultCode aCode, AnswerActions& aActions)
{
  m_state = State::Finished;
  aActions.emplace_back(FinishWithError{ aCode, m_headForwarded });
}

std::string
ErrorBody(ResultCode aCode)
{
  const ResultCodeRow& row = RowOf(aCode);
  std::string body = R"({"error":{"code":)";
  body += std::to_string(static_cast<int>(aCode));
  body += R"(,"name":")" + std::string(row.m_name);
  body += R"(","ran":")" + std::string(NameOf(row.m_ran));
  body += R"(","repeat":")" + std::string(NameOf(row.m_repeat));
  body += R"(","message":")" + std::string(row.m_text) + R"("}})";
  return body;
}

std::string
ErrorEvent(ResultCode aCode)
{
  return "event: error\ndata: " + ErrorBody(aCode) + "\n\n";
}

} // namespace walnutwing
