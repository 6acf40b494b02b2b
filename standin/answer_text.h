#ifndef WALNUTWING_STANDIN_ANSWER_TEXT_H_
#define WALNUTWING_STANDIN_ANSWER_TEXT_H_

// The text that every stand-in engine answers to a request: a function of the
// request's body alone. So a caller can tell that an answer is whole and its
// own, and another engine can continue a stream that broke off.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walnutwing::standin {

// What the body of a chat completion request asks for.
struct ChatRequest
{
  bool m_valid = false; // the body is a JSON object
  bool m_stream = false;
  std::size_t m_maxTokens = 32; // "max_tokens"
  std::int64_t m_priority = 0;  // "priority", the smallest goes first
  std::string m_user;           // "user", the chat where no header names one
  std::string m_model;
};

ChatRequest
ParseChatRequest(std::string_view aBody);

class AnswerText
{
public:
  // aBody as the engine received it, byte for byte.
  explicit AnswerText(std::string_view aBody);

  std::size_t TokenCount() const { return m_tokenCount; } // tokens
  std::string Token(std::size_t aIndex) const;            // from 0
  std::string FullText() const;

private:
  std::uint64_t m_seed;
  std::size_t m_tokenCount;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ANSWER_TEXT_H_
