#ifndef WALNUTWING_STANDIN_ANSWER_CHECK_H_
#define WALNUTWING_STANDIN_ANSWER_CHECK_H_

// Checks that a caller got the complete answer to its own request: parses
// server-sent events as they arrive and compares them with AnswerText.

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
    std::string m_type; // empty: "message"
    std::string m_id;
    std::string m_data;
  };

  void Feed(std::string_view aPiece) { m_buffer += aPiece; }

  // Sets aEvent to the next complete event; false if there is none yet.
  bool Next(Event& aEvent);

private:
  std::string m_buffer;
  std::size_t m_readOffset = 0;
};

enum class Verdict
{
  Unfinished,    // neither [DONE] nor an error event yet
  Complete,      // the complete answer and nothing else
  ErrorWithCode, // an error event with a code; correct up to there
  Wrong,         // an unexpected token or event
};

class StreamCheck
{
public:
  // aBody: the body of the request as the caller sent it.
  explicit StreamCheck(std::string_view aBody)
    : m_expected(aBody)
  {
  }

  void Feed(std::string_view aPiece);
  Verdict Result() const { return m_verdict; }

  std::size_t Tokens() const { return m_tokens; }        // correct ones so far
  int ErrorCode() const { return m_errorCode; }          // if ErrorWithCode
  const std::string& Reason() const { return m_reason; } // if Wrong

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

// Returns N of {"error":{"code":N}}, or 0 if aJson has none.
int
ErrorCodeIn(std::string_view aJson);

// Whether aAnswer, a chat completion that was not streamed, holds the expected
// text for the request aBody.
bool
IsCorrectAnswer(std::string_view aBody, std::string_view aAnswer);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ANSWER_CHECK_H_
