#ifndef WALNUTWING_ROUTER_STABLE_TEXT_H_
#define WALNUTWING_ROUTER_STABLE_TEXT_H_

// Tells a file that was written completely from one that is being written.
//
// A settings file has no mark at its end, and half of it may be valid: keys
// that are missing have defaults. So a changed text counts only once it was
// read twice in a row; the reader leaves time for the writer between the two.

#include <string>

namespace walnutwing::router {

// What to do with a text that was read.
enum class TextChange
{
  None,     // the text in force
  Unstable, // a new text; read again
  Stable,   // a new text that was read twice, in force from now on
};

class StableText
{
public:
  explicit StableText(std::string aInForce)
    : m_inForce(std::move(aInForce))
    , m_last(m_inForce)
  {
  }

  TextChange OnRead(const std::string& aText)
  {
    if (aText != m_last) {
      m_last = aText;
      return aText == m_inForce ? TextChange::None : TextChange::Unstable;
    }
    if (aText == m_inForce) {
      return TextChange::None;
    }
    m_inForce = aText;
    return TextChange::Stable;
  }

private:
  std::string m_inForce;
  std::string m_last; // the text read last
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STABLE_TEXT_H_
