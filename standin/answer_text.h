#ifndef WALNUTWING_STANDIN_ANSWER_TEXT_H_
#define WALNUTWING_STANDIN_ANSWER_TEXT_H_

// The answer that every stand-in engine gives to a request: a function of the
// request's body alone. A caller can therefore check that an answer is complete
// and belongs to its request, and another engine can resume a broken stream.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walnutwing::standin {

// The parsed body of a chat completion request.
struct ChatRequest
{
  bool m_valid = false; // the body is a JSON object
  bool m_stream = false;
  std::size_t m_maxTokens = 32; // "max_tokens"
  std::int64_t m_priority = 0;  // "priority", the smallest runs first
  std::string m_user;           // "user", the chat if no header names it
  std::string m_model;
};

ChatRequest
ParseChatRequest(std::string_view aBody);

class AnswerText
{
public:
  // aBody: the body of the request, byte for byte.
  explicit AnswerText(std::string_view aBody);

  std::size_t TokenCount() const { return m_tokenCount; }
  std::string Token(std::size_t aIndex) const; // from 0
  std::string FullText() const;

private:
  std::uint64_t m_bodyHash;
  std::size_t m_tokenCount;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_ANSWER_TEXT_H_
