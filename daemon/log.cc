// Uses one synchronous sink, since the process has one thread and logs few
// lines.

#include "daemon/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace walnutwing {
namespace {

namespace expr = boost::log::expressions;

boost::log::sources::severity_logger<LogLevel>&
Logger()
{
  static boost::log::sources::severity_logger<LogLevel> sLogger;
  return sLogger;
}

// Quotes and escapes values that are empty or contain separators. Line breaks
// and tabs become spaces, so that an event stays on one line.
std::string
QuoteIfNeeded(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"\n\t=") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '\n' || c == '\t') {
      quoted += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  return quoted + "\"";
}

} // namespace

void
StartLog(LogLevel aLevel)
{
  const auto core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  const auto sink = boost::log::add_console_log(std::clog);
  sink->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << ' ' << expr::smessage);
  sink->locked_backend()->auto_flush(true);
  core->set_filter(expr::attr<LogLevel>("Severity") >= aLevel);
}

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  BOOST_LOG_SEV(Logger(), aLevel)
    << NameOf(aLevel) << " event=" << aEvent << [&] {
         std::string line;
         for (const LogField& field : aFields) {
           line += ' ';
           line += field.m_key;
           line += '=';
           line += QuoteIfNeeded(field.m_value);
         }
         return line;
       }();
}

} // namespace walnutwing
