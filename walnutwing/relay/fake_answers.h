#ifndef WALNUTWING_RELAY_FAKE_ANSWERS_H_
#define WALNUTWING_RELAY_FAKE_ANSWERS_H_

// A fake upstream and caller for the test and the benchmark of AnswerStream. A
// history runs one request whose attempts fail at random in every way that
// AnswerStream must tolerate, and compares the received bytes with the expected
// answer. The seed determines the history.
//
// Stream is AnswerStream or a broken variant, whose wrong answers must be
// detected.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "walnutwing/relay/answer_stream.h"

namespace walnutwing {

enum class AnswerVerdict
{
  Complete, // the caller received exactly its own answer
  Error,    // it received a prefix that ends after an event, and a result code
  Wrong,    // anything else
  Stuck,    // it received an error although a fault-free attempt remained
};

template<typename Stream>
class AnswerHistory
{
public:
  explicit AnswerHistory(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_sendsFinishReason(Chance(2))
    , m_sendsCompletionIdHeader(Chance(2))
    , m_plain(Chance(5))
    , m_events(MakeEvents("chatcmpl-own", 1 + Draw(12)))
    , m_faultyAttempts(Draw(6))
    , m_stream(m_options)
  {
    for (const std::string& event : m_events) {
      m_expectedBody += event;
    }
  }

  AnswerVerdict Run()
  {
    StartAttempt(0);
    while (!m_finished) {
      Step();
    }
    // Input after the end must be ignored.
    const std::string received = m_received;
    for (int i = 0; i < 3; ++i) {
      DeliverStale();
    }
    if (m_wrong || received != m_received || !IsBodyValid()) {
      return AnswerVerdict::Wrong;
    }
    const bool mustSucceed = m_faultyAttempts < m_options.m_maxAttempts;
    if (!m_complete && mustSucceed) {
      return AnswerVerdict::Stuck;
    }
    return m_complete ? AnswerVerdict::Complete : AnswerVerdict::Error;
  }

  std::size_t PiecesFed() const { return m_piecesFed; }

private:
  struct Piece
  {
    AttemptId m_attempt;
    std::string m_bytes;
  };
  // What the upstream sends for one attempt.
  struct Script
  {
    AttemptId m_attempt;
    AnswerHead m_head;
    std::deque<std::string> m_pieces;
    AttemptEnd m_end = AttemptEnd::Complete;
    bool m_headSent = false;
  };
  enum class Fault
  {
    NotSent,
    MismatchedHead,
    ServerError,
    Broken,
    TruncatedBody, // but the end of the response looks normal
    Drop,
    Duplicate,
    Swap,
    MismatchedEvent, // an event of another completion is inserted
    MismatchedDone,  // the `[DONE]` of another stream is inserted
    TruncatedEvent,
    NoOffset,
    OtherCompletion, // regenerated with another completion id and text
    Count,
  };

  // A random number from 0 to aBelow - 1.
  std::uint64_t Draw(std::uint64_t aBelow) { return m_random() % aBelow; }
  bool Chance(std::uint64_t aOneIn) { return Draw(aOneIn) == 0; }

  std::string MakeEvent(const std::string& aId, std::size_t aOffset, bool aLast)
  {
    static const std::vector<std::string> kTexts = {
      "valve", "\\\"id\\\":\\\"chatcmpl-x\\\"", "[DONE]", "}]}", "\\\\",
      "\u00e9"
    };
    std::string event =
      "id: " + std::to_string(aOffset) + "\ndata: {\"id\":\"" + aId +
      "\",\"choices\":[{\"delta\":{\"content\":\"" +
      kTexts[Draw(kTexts.size())] + std::to_string(Draw(1000)) + "\"}";
    if (m_sendsFinishReason) {
      event +=
        aLast ? R"(,"finish_reason":"stop")" : R"(,"finish_reason":null)";
    }
    return event + "}]}\n\n";
  }

  static std::string DoneEvent(std::size_t aOffset)
  {
    return "id: " + std::to_string(aOffset) + "\ndata: [DONE]\n\n";
  }

  std::vector<std::string> MakeEvents(const std::string& aId,
                                      std::size_t aCount)
  {
    std::vector<std::string> events;
    for (std::size_t i = 0; i < aCount; ++i) {
      events.push_back(MakeEvent(aId, i, i + 1 == aCount));
    }
    events.push_back(DoneEvent(aCount));
    return events;
  }

  // Applies a fault to one of the events from offset aFirst on.
  void InjectEventFault(Fault aFault,
                        std::size_t aFirst,
                        std::vector<std::string>& aEvents)
  {
    const std::size_t at = aFirst + Draw(aEvents.size() - aFirst);
    const auto position = aEvents.begin() + static_cast<std::ptrdiff_t>(at);
    const std::string otherId = "chatcmpl-" + std::to_string(Draw(1000));
    switch (aFault) {
      case Fault::Drop:
        aEvents.erase(position);
        break;
      case Fault::Duplicate:
        aEvents.insert(position, aEvents[at]);
        break;
      case Fault::Swap:
        std::swap(aEvents[at],
                  aEvents[at == aFirst ? aEvents.size() - 1 : at - 1]);
        break;
      case Fault::MismatchedEvent:
        aEvents.insert(position,
                       MakeEvent(otherId, Chance(2) ? at : Draw(12), false));
        break;
      case Fault::MismatchedDone:
        // `[DONE]` has no completion id; without "finish_reason", the one of
        // another stream cannot be detected.
        if (m_sendsFinishReason) {
          aEvents.insert(position, DoneEvent(at));
        }
        break;
      case Fault::TruncatedEvent:
        aEvents[at].resize(Draw(aEvents[at].size() - 1));
        aEvents[at] += "\n\n";
        break;
      case Fault::NoOffset:
        aEvents[at].erase(0, aEvents[at].find('\n') + 1);
        break;
      default:
        break;
    }
  }

  void StartAttempt(std::size_t aFirst)
  {
    const bool faulty = m_attempts < m_faultyAttempts;
    const Fault fault =
      faulty
        ? static_cast<Fault>(Draw(static_cast<std::uint64_t>(Fault::Count)))
        : Fault::Count;
    ++m_attempts;
    for (const std::string& piece : m_script.m_pieces) {
      m_stalePieces.push_back({ m_script.m_attempt, piece });
    }
    m_script = Script();
    m_script.m_attempt = AttemptId("own-" + std::to_string(m_attempts));
    m_script.m_head.m_status = 200;
    m_script.m_head.m_requestId = m_script.m_attempt.Value();
    m_script.m_head.m_eventStream = !m_plain;
    BuildScript(fault, aFirst);
    m_stream.OnAttemptStarted(m_script.m_attempt, m_actions);
    CarryOutActions();
  }

  // Fills m_script for an attempt that starts at offset aFirst.
  void BuildScript(Fault aFault, std::size_t aFirst)
  {
    std::vector<std::string> events = m_events;
    AnswerHead& head = m_script.m_head;
    head.m_completionId = m_sendsCompletionIdHeader ? "chatcmpl-own" : "";
    if (aFault == Fault::OtherCompletion && !m_received.empty()) {
      events = MakeEvents("chatcmpl-new", events.size() - 1 - Draw(2));
      head.m_completionId = m_sendsCompletionIdHeader ? "chatcmpl-new" : "";
    }
    if (aFault == Fault::MismatchedHead) {
      events = MakeEvents("chatcmpl-old", events.size() - 1);
      head.m_requestId = Chance(2) ? "other-1" : "";
    }
    std::size_t first = std::min(aFirst, events.size() - 1);
    if (Chance(4)) {
      first = 0; // the engine ignores Last-Event-ID
    }
    if (!m_plain) {
      InjectEventFault(aFault, first, events);
    }
    std::string bytes;
    for (std::size_t i = first; i < events.size(); ++i) {
      bytes += events[i];
    }
    if (aFault == Fault::ServerError) {
      head.m_status = Chance(2) ? 503 : 429;
      head.m_eventStream = false;
    }
    if (m_plain || !head.m_eventStream) {
      head.m_contentLength = bytes.size();
    }
    const bool truncated =
      aFault == Fault::Broken || aFault == Fault::TruncatedBody;
    if (truncated) {
      bytes.resize(Draw(bytes.size()));
      // With TruncatedBody even an empty body ends normally, and must not pass
      // as a complete answer.
      m_script.m_end =
        aFault == Fault::Broken ? AttemptEnd::Broken : AttemptEnd::Complete;
    }
    if (aFault == Fault::NotSent) {
      m_script.m_end = AttemptEnd::NotSent;
      bytes.clear();
      m_script.m_headSent = true;
    }
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = 1 + Draw(Chance(2) ? 20 : 400);
      m_script.m_pieces.push_back(bytes.substr(at, size));
      at += size;
    }
  }

  void Step()
  {
    if (Chance(5)) {
      DeliverStale();
    }
    if (m_finished) {
      return;
    }
    if (m_nextAttempt != Next::Nothing) {
      StartNextAttempt();
      return;
    }
    const AttemptId attempt = m_script.m_attempt;
    if (!m_script.m_headSent) {
      m_script.m_headSent = true;
      m_stream.OnHead(attempt, m_script.m_head, m_actions);
    } else if (!m_script.m_pieces.empty()) {
      const std::string piece = m_script.m_pieces.front();
      m_script.m_pieces.pop_front();
      ++m_piecesFed;
      m_stream.OnPiece(attempt, piece, m_actions);
    } else {
      m_stream.OnEnd(attempt, m_script.m_end, m_actions);
    }
    CarryOutActions();
  }

  // Delivers a piece of an abandoned attempt, or of one that never existed.
  void DeliverStale()
  {
    Piece piece{ AttemptId("other-7"), m_events.back() };
    if (!m_stalePieces.empty()) {
      piece = m_stalePieces.front();
      m_stalePieces.pop_front();
    }
    m_stream.OnPiece(piece.m_attempt, piece.m_bytes, m_actions);
    CarryOutActions();
  }

  void StartNextAttempt()
  {
    const std::size_t first =
      m_nextAttempt == Next::Resume && m_resumeAfter ? *m_resumeAfter + 1 : 0;
    m_nextAttempt = Next::Nothing;
    StartAttempt(first);
  }

  // Applies the pending actions as the caller and the driver, and checks them.
  void CarryOutActions()
  {
    for (AnswerAction& action : std::exchange(m_actions, {})) {
      m_wrong |= m_finished && !std::holds_alternative<CancelAttempt>(action);
      if (auto* forward = std::get_if<Forward>(&action)) {
        m_wrong |= m_headsForwarded != 1;
        m_received += forward->m_bytes;
      } else if (std::holds_alternative<ForwardHead>(action)) {
        ++m_headsForwarded;
      } else if (auto* resume = std::get_if<ResumeAttempt>(&action)) {
        m_nextAttempt = Next::Resume;
        m_resumeAfter = resume->m_afterOffset;
      } else if (std::holds_alternative<RetryAttempt>(action)) {
        m_nextAttempt = Next::Retry;
        m_wrong |= !m_received.empty();
      } else if (std::holds_alternative<FinishComplete>(action)) {
        m_finished = m_complete = true;
      } else if (auto* error = std::get_if<FinishWithError>(&action)) {
        m_finished = true;
        m_wrong |= error->m_inStream != (m_headsForwarded == 1);
      }
    }
  }

  // Whether the received bytes are the answer or a prefix that ends after an
  // event, as the outcome requires.
  bool IsBodyValid() const
  {
    if (m_complete) {
      return m_received == m_expectedBody;
    }
    std::string prefix;
    bool fits = m_received.empty();
    for (const std::string& event : m_events) {
      prefix += event;
      fits |= m_received == prefix;
    }
    return fits && m_received.size() < m_expectedBody.size();
  }

  enum class Next
  {
    Nothing,
    Retry,
    Resume,
  };

  AnswerOptions m_options;
  std::mt19937_64 m_random;
  bool m_sendsFinishReason;
  bool m_sendsCompletionIdHeader;
  bool m_plain;
  std::vector<std::string> m_events;
  std::uint64_t m_faultyAttempts;
  std::string m_expectedBody;
  Stream m_stream;
  AnswerActions m_actions;
  Script m_script;
  std::deque<Piece> m_stalePieces;
  std::uint64_t m_attempts = 0;
  Next m_nextAttempt = Next::Nothing;
  std::optional<std::uint64_t> m_resumeAfter;
  std::string m_received;
  std::size_t m_piecesFed = 0;
  int m_headsForwarded = 0;
  bool m_finished = false;
  bool m_complete = false;
  bool m_wrong = false;
};

// Broken variants: each lacks one check.

// Accepts any response on the connection as its own.
class StreamWithoutHeadCheck : public AnswerStream
{
public:
  using AnswerStream::AnswerStream;

  void OnHead(const AttemptId& aAttempt,
              AnswerHead aHead,
              AnswerActions& aActions)
  {
    aHead.m_requestId = aAttempt.Value();
    AnswerStream::OnHead(aAttempt, aHead, aActions);
  }
};

// Accepts the bytes of any attempt as those of the current one.
class StreamWithoutAttemptCheck : public AnswerStream
{
public:
  using AnswerStream::AnswerStream;

  void OnAttemptStarted(const AttemptId& aAttempt, AnswerActions& aActions)
  {
    m_attempt = aAttempt;
    AnswerStream::OnAttemptStarted(aAttempt, aActions);
  }

  void OnPiece(const AttemptId& /*aAttempt*/,
               std::string_view aBytes,
               AnswerActions& aActions)
  {
    AnswerStream::OnPiece(m_attempt, aBytes, aActions);
  }

private:
  AttemptId m_attempt;
};

// Forwards bytes as they arrive and trusts the HTTP framing.
class StreamWithoutOffsets
{
public:
  explicit StreamWithoutOffsets(AnswerOptions /*aOptions*/) {}

  void OnAttemptStarted(const AttemptId& aAttempt, AnswerActions& /*aActions*/)
  {
    m_attempt = aAttempt;
  }

  void OnHead(const AttemptId& aAttempt,
              const AnswerHead& aHead,
              AnswerActions& aActions)
  {
    if (!m_headSent && aAttempt == m_attempt) {
      m_headSent = true;
      aActions.emplace_back(ForwardHead{ aAttempt, aHead.m_status, true });
    }
  }

  void OnPiece(const AttemptId& aAttempt,
               std::string_view aBytes,
               AnswerActions& aActions)
  {
    if (aAttempt == m_attempt && !m_finished) {
      aActions.emplace_back(Forward{ std::string(aBytes) });
    }
  }

  void OnEnd(const AttemptId& aAttempt,
             AttemptEnd aEnd,
             AnswerActions& aActions)
  {
    if (aAttempt != m_attempt || m_finished) {
      return;
    }
    m_finished = true;
    if (aEnd == AttemptEnd::Complete) {
      aActions.emplace_back(FinishComplete{});
    } else {
      aActions.emplace_back(
        FinishWithError{ ResultCode::UpstreamFailed, m_headSent });
    }
  }

private:
  AttemptId m_attempt;
  bool m_headSent = false;
  bool m_finished = false;
};

} // namespace walnutwing

#endif // WALNUTWING_RELAY_FAKE_ANSWERS_H_
