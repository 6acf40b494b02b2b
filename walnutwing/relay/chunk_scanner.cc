// Scans the bytes and keeps a stack of open brackets. Only a string that is
// followed by a colon is a key, so that text inside a completion is never taken
// for one. Fully parsing every chunk would cost microseconds, but the caller
// needs only two values and whether the text is truncated.

#include "walnutwing/relay/chunk_scanner.h"

#include <array>
#include <cstddef>
#include <cstring>

namespace walnutwing {
namespace {

constexpr std::size_t kMaxDepth = 64;

bool
IsSpace(char aByte)
{
  return aByte == ' ' || aByte == '\t' || aByte == '\r' || aByte == '\n';
}

class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : m_text(aText)
  {
  }

  ChunkFacts Run()
  {
    SkipSpace();
    if (Peek() != '{') {
      return m_facts;
    }
    while (m_position < m_text.size()) {
      if (!ScanToken()) {
        return m_facts;
      }
      if (m_depth == 0) {
        SkipSpace();
        m_facts.m_complete = m_position == m_text.size();
        return m_facts;
      }
    }
    return m_facts;
  }

private:
  char Peek() const
  {
    return m_position < m_text.size() ? m_text[m_position] : '\0';
  }

  void SkipSpace()
  {
    while (m_position < m_text.size() && IsSpace(m_text[m_position])) {
      ++m_position;
    }
  }

  // Consumes one string, bracket or other byte. False if the text is not JSON
  // or nested deeper than kMaxDepth.
  bool ScanToken()
  {
    const char byte = m_text[m_position];
    if (byte == '"') {
      return ScanString();
    }
    ++m_position;
    if (byte == '{' || byte == '[') {
      if (m_depth == kMaxDepth) {
        return false;
      }
      m_openBrackets[m_depth++] = byte;
    } else if (byte == '}' || byte == ']') {
      return m_openBrackets[--m_depth] == (byte == '}' ? '{' : '[');
    }
    return true;
  }

  // Consumes the string at the current position and sets aValue to its content.
  // False if it is unterminated.
  bool ReadString(std::string_view& aValue)
  {
    const std::size_t start = ++m_position;
    while (m_position < m_text.size()) {
      const char* from = m_text.data() + m_position;
      const void* found = std::memchr(from, '"', m_text.size() - m_position);
      if (found == nullptr) {
        return false;
      }
      const auto quote = static_cast<std::size_t>(
        static_cast<const char*>(found) - m_text.data());
      m_position = quote + 1;
      if (!IsEscaped(start, quote)) {
        aValue = m_text.substr(start, quote - start);
        return true;
      }
    }
    return false;
  }

  // Whether an odd number of backslashes precedes the quote.
  bool IsEscaped(std::size_t aStart, std::size_t aQuote) const
  {
    std::size_t position = aQuote;
    while (position > aStart && m_text[position - 1] == '\\') {
      --position;
    }
    return (aQuote - position) % 2 == 1;
  }

  // Consumes a string and, if it is one of the needed keys, reads its value.
  bool ScanString()
  {
    std::string_view key;
    if (!ReadString(key)) {
      return false;
    }
    SkipSpace();
    if (Peek() != ':') {
      return true;
    }
    ++m_position;
    SkipSpace();
    if (m_depth == 1 && key == "id" && Peek() == '"') {
      return ReadString(m_facts.m_id);
    }
    if (key == "finish_reason" && m_facts.m_finish != FinishReason::Set) {
      m_facts.m_finish = Peek() == '"' ? FinishReason::Set : FinishReason::Null;
    }
    return true;
  }

  std::string_view m_text;
  std::size_t m_position = 0;
  std::size_t m_depth = 0;
  std::array<char, kMaxDepth> m_openBrackets{};
  ChunkFacts m_facts;
};

} // namespace

ChunkFacts
ScanChunk(std::string_view aJson)
{
  return Scanner(aJson).Run();
}

} // namespace walnutwing
