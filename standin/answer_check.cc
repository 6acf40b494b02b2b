// Each content chunk must be exactly the next token, so that a chunk which is
// duplicated, missing, of another answer or after the end is detected at once.
// An error event must have a code. If the connection just closes, the result
// stays Unfinished.

#include "standin/answer_check.h"

#include <nlohmann/json.hpp>

namespace walnutwing::standin {

namespace {

// Sets aValue to the value of the line "NAME: VALUE"; false for other lines.
bool
ParseField(std::string_view aLine, std::string_view aName, std::string& aValue)
{
  if (!aLine.starts_with(aName) || aLine.size() <= aName.size() ||
      aLine[aName.size()] != ':') {
    return false;
  }
  aLine.remove_prefix(aName.size() + 1);
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  aValue = aLine;
  return true;
}

} // namespace

bool
SseReader::Next(Event& aEvent)
{
  const std::size_t end = m_buffer.find("\n\n", m_readOffset);
  if (end == std::string::npos) {
    m_buffer.erase(0, m_readOffset);
    m_readOffset = 0;
    return false;
  }
  aEvent = {};
  std::string_view block(m_buffer.data() + m_readOffset, end - m_readOffset);
  m_readOffset = end + 2;
  while (!block.empty()) {
    const std::string_view line = block.substr(0, block.find('\n'));
    block.remove_prefix(std::min(block.size(), line.size() + 1));
    std::string data;
    if (ParseField(line, "event", aEvent.m_type) ||
        ParseField(line, "id", aEvent.m_id) ||
        !ParseField(line, "data", data)) {
      continue;
    }
    aEvent.m_data += (aEvent.m_data.empty() ? "" : "\n") + data;
  }
  return true;
}

void
StreamCheck::Feed(std::string_view aPiece)
{
  m_reader.Feed(aPiece);
  SseReader::Event event;
  while (m_verdict != Verdict::Wrong && m_reader.Next(event)) {
    HandleEvent(event);
  }
}

void
StreamCheck::HandleEvent(const SseReader::Event& aEvent)
{
  if (aEvent.m_data.empty()) {
    return; // a comment, or an event without data
  }
  if (m_verdict != Verdict::Unfinished) {
    Fail("event after the end of the answer: " + aEvent.m_data);
    return;
  }
  if (aEvent.m_type == "error") {
    m_errorCode = ErrorCodeIn(aEvent.m_data);
    m_verdict = Verdict::ErrorWithCode;
    if (m_errorCode == 0) {
      Fail("an error without a number: " + aEvent.m_data);
    }
    return;
  }
  if (aEvent.m_data == "[DONE]") {
    m_verdict = Verdict::Complete;
    if (m_tokens != m_expected.TokenCount()) {
      Fail("[DONE] after " + std::to_string(m_tokens) + " of " +
           std::to_string(m_expected.TokenCount()) + " tokens");
    }
    return;
  }
  const nlohmann::json chunk =
    nlohmann::json::parse(aEvent.m_data, nullptr, false);
  const nlohmann::json::json_pointer content("/choices/0/delta/content");
  if (!chunk.is_object() || !chunk.contains(content) ||
      !chunk[content].is_string()) {
    Fail("not a completion chunk: " + aEvent.m_data);
    return;
  }
  CheckToken(chunk[content].get<std::string>());
}

void
StreamCheck::CheckToken(const std::string& aText)
{
  if (m_tokens >= m_expected.TokenCount() ||
      aText != m_expected.Token(m_tokens)) {
    Fail("token " + std::to_string(m_tokens) + " is \"" + aText + "\"");
    return;
  }
  ++m_tokens;
}

void
StreamCheck::Fail(std::string aReason)
{
  m_verdict = Verdict::Wrong;
  m_reason = std::move(aReason);
}

int
ErrorCodeIn(std::string_view aJson)
{
  const nlohmann::json json = nlohmann::json::parse(aJson, nullptr, false);
  const nlohmann::json::json_pointer code("/error/code");
  const bool hasCode =
    json.is_object() && json.contains(code) && json[code].is_number_integer();
  return hasCode ? json[code].get<int>() : 0;
}

bool
IsCorrectAnswer(std::string_view aBody, std::string_view aAnswer)
{
  const nlohmann::json json = nlohmann::json::parse(aAnswer, nullptr, false);
  const nlohmann::json::json_pointer content("/choices/0/message/content");
  return json.is_object() && json.contains(content) &&
         json[content] == AnswerText(aBody).FullText();
}

} // namespace walnutwing::standin
