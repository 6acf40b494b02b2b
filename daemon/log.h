#ifndef WALNUTWING_DAEMON_LOG_H_
#define WALNUTWING_DAEMON_LOG_H_

// Structured log lines on standard error, written through Boost.Log. Each line
// records one change of state:
//   2026-12-03T21:14:27.123Z info event=config_in_force version=17 preset=peak
// Per-request events are counted in metrics (metrics.h) instead of logged.

#include <initializer_list>
#include <string>
#include <string_view>

#include "walnutwing/config/settings.h"

namespace walnutwing {

struct LogField
{
  std::string_view m_key;
  std::string m_value; // quoted in the line if empty or with separators
};

// Sets up the sink. Lines below aLevel are discarded.
void
StartLog(LogLevel aLevel);

// Logs aEvent with aFields as key=value pairs.
void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields);

} // namespace walnutwing

#endif // WALNUTWING_DAEMON_LOG_H_
