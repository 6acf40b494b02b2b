// Token i consists of i and a hash of the body and i, so that a token of
// another answer or at another position is recognized.

#include "standin/answer_text.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace walnutwing::standin {

namespace {

constexpr std::size_t kMaxAnswerTokens = 1'000'000;

std::size_t
GetMaxTokens(const nlohmann::json& aBody, std::size_t aDefault)
{
  const auto found = aBody.find("max_tokens");
  if (found == aBody.end() || !found->is_number_unsigned()) {
    return aDefault;
  }
  return std::min(found->get<std::size_t>(), kMaxAnswerTokens);
}

std::string
GetString(const nlohmann::json& aBody, const char* aName)
{
  const auto found = aBody.find(aName);
  const bool present = found != aBody.end() && found->is_string();
  return present ? found->get<std::string>() : std::string();
}

} // namespace

ChatRequest
ParseChatRequest(std::string_view aBody)
{
  ChatRequest request;
  const nlohmann::json body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return request;
  }
  request.m_valid = true;
  request.m_stream = body.contains("stream") && body["stream"] == true;
  request.m_maxTokens = GetMaxTokens(body, request.m_maxTokens);
  if (body.contains("priority") && body["priority"].is_number_integer()) {
    request.m_priority = body["priority"].get<std::int64_t>();
  }
  request.m_user = GetString(body, "user");
  request.m_model = GetString(body, "model");
  return request;
}

AnswerText::AnswerText(std::string_view aBody)
  : m_bodyHash(XXH64(aBody.data(), aBody.size(), 0))
  , m_tokenCount(ParseChatRequest(aBody).m_maxTokens)
{
}

std::string
AnswerText::Token(std::size_t aIndex) const
{
  const std::uint64_t hash = XXH64(&aIndex, sizeof(aIndex), m_bodyHash);
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%zu-%08x ",
                aIndex,
                static_cast<unsigned>(hash & 0xffffffffU));
  return text.data();
}

std::string
AnswerText::FullText() const
{
  std::string fullText;
  for (std::size_t i = 0; i < m_tokenCount; ++i) {
    fullText += Token(i);
  }
  return fullText;
}

} // namespace walnutwing::standin
