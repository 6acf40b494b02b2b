#ifndef WALNUTWING_DAEMON_LOG_H_
#define WALNUTWING_DAEMON_LOG_H_

// Structured log lines through Boost.Log, on standard error, one for each
// change of state:
//   2026-12-03T21:14:27.123Z info event=config_in_force version=17 preset=peak
// What happens for each request is counted (metrics.h), not logged.

#include <initializer_list>
#include <string>
#include <string_view>

#include "walnutwing/config/settings.h"

namespace walnutwing {

struct LogField
{
  std::string_view m_key;
  std::string m_value; // quoted in the line when it has spaces
};

// Sets up the sink. Lines below aLevel are dropped.
void
StartLog(LogLevel aLevel);

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_LOG_H_
