#ifndef WALNUTWING_STANDIN_ANSWER_CHECK_H_
#define WALNUTWING_STANDIN_ANSWER_CHECK_H_

// Checks that a caller's answer is the whole answer to its own request: reads
// server-sent events piece by piece and compares them with AnswerText.

#include <cstddef>
#include <string>
#include <string_view>

#include "standin/answer_text.h"

namespace walnutwing::standin {

// Splits a stream into server-sent events.
class SseReader
{
public:
  struct Event
  {
    std::string m_event; // empty: "message"
    std::string m_id;
    std::string m_data;
  };

  void Feed(std::string_view aPiece) { m_buffer += aPiece; }

  // The next whole event, if there is one.
  bool Next(Event& aEvent);

private:
  std::string m_buffer;
  std::size_t m_readOffset = 0;
};

enum class Verdict
{
  Unfinished,    // neither [DONE] nor an error event has come
  Complete,      // the whole answer and nothing else
  ErrorWithCode, // an error event, after a correct beginning
  Wrong,         // a token that is not the next one, or a wrong end
};

class StreamCheck
{
public:
  // aBody is the request as the caller sent it.
  explicit StreamCheck(std::string_view aBody)
    : m_expected(aBody)
  {
  }

  void Feed(std::string_view aPiece);
  Verdict Result() const { return m_verdict; }

  std::size_t Tokens() const { return m_tokens; }        // received and correct
  int ErrorCode() const { return m_errorCode; }          // with ErrorWithCode
  const std::string& Reason() const { return m_reason; } // with Wrong

private:
  void HandleEvent(const SseReader::Event& aEvent);
  void CheckToken(const std::string& aText);
  void Fail(std::string aReason);

  AnswerText m_expected;
  SseReader m_reader;
  Verdict m_verdict = Verdict::Unfinished;
  std::size_t m_tokens = 0;
  int m_errorCode = 0;
  std::string m_reason;
};

// The number in {"error":{"code":N}}, or 0.
int
ErrorCodeIn(std::string_view aJson);

// Whether a whole (not streamed) chat completion carries the text of aBody.
bool
IsCorrectAnswer(std::string_view aBody, std::string_view aAnswer);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ANSWER_CHECK_H_
