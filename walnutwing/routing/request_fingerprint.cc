// A hash of the fields' lengths and texts. The lengths keep apart contents that
// differ only in where one field ends and the next begins.

#include "walnutwing/routing/request_fingerprint.h"

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

#include "walnutwing/placement/rendezvous.h"

namespace walnutwing {
namespace {

// No name of a prompt part starts with it.
constexpr char kMark = '=';
// As much as fits into a string without an allocation.
constexpr int kDigits = 14;
constexpr unsigned kUnusedBits = 64 - 4 * kDigits;

void
AddField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

TraitId
FingerprintOf(const RequestContent& aContent)
{
  std::string text;
  AddField(text, aContent.m_method);
  AddField(text, aContent.m_target);
  AddField(text, aContent.m_customer.Value());
  const std::string_view body =
    aContent.m_body.empty() ? aContent.m_prompt : aContent.m_body;
  AddField(text, std::to_string(StableHash(body))); // bodies may be large
  char digits[kDigits + 2];
  std::snprintf(digits,
                sizeof(digits),
                "%c%0*" PRIx64,
                kMark,
                kDigits,
                StableHash(text) >> kUnusedBits);
  return TraitId(digits);
}

bool
IsFingerprint(const TraitId& aTrait)
{
  return aTrait.Value().starts_with(kMark);
}

} // namespace walnutwing
