// Makes two passes over the lines in order of time. The first finds the daemons
// and upstreams that the request's lines name. The second tracks the latest
// state lines of these daemons and prints those that are new before each line
// of the request.

#include "cli/explain.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include <rapidjson/document.h>

#include "walnutwing/base/result_code.h"

namespace walnutwing {
namespace {

constexpr int kFirstStateEvent = 200;
constexpr int kFirstRequestEvent = 300;

struct LogLine
{
  std::int64_t m_wallMs = 0;
  int m_event = 0;
  std::string m_daemon;
  std::string m_id;       // of the request, or empty
  std::string m_upstream; // or empty
  std::string m_topic;    // of the store, or empty
  std::string m_text;     // the event's name and the other fields
};

std::string
FormatValue(const rapidjson::Value& aValue)
{
  if (aValue.IsString()) {
    return aValue.GetString();
  }
  if (aValue.IsInt64()) {
    return std::to_string(aValue.GetInt64());
  }
  if (aValue.IsDouble()) {
    std::string text = std::to_string(aValue.GetDouble());
    text.resize(text.find('.') + 3);
    return text;
  }
  return "?";
}

std::string
FormatMember(const rapidjson::Value& aJson, const char* aName)
{
  const auto found = aJson.FindMember(aName);
  return found == aJson.MemberEnd() ? "" : FormatValue(found->value);
}

// Returns false if aText is not a log line.
bool
ParseLine(const std::string& aText, LogLine& aLine)
{
  // The platform may prefix the JSON object with text of its own.
  const std::size_t start = aText.find('{');
  if (start == std::string::npos) {
    return false;
  }
  rapidjson::Document json;
  json.Parse<rapidjson::kParseIterativeFlag>(aText.c_str() + start);
  if (json.HasParseError() || !json.IsObject() || !json.HasMember("event") ||
      !json["event"].IsInt() || !json.HasMember("wall_ms") ||
      !json["wall_ms"].IsInt64()) {
    return false;
  }
  aLine.m_wallMs = json["wall_ms"].GetInt64();
  aLine.m_event = json["event"].GetInt();
  aLine.m_daemon = FormatMember(json, "daemon");
  aLine.m_id = FormatMember(json, "id");
  aLine.m_upstream = FormatMember(json, "upstream");
  aLine.m_topic = FormatMember(json, "topic");
  aLine.m_text = FormatMember(json, "name");
  for (auto member = json.MemberBegin(); member < json.MemberEnd(); ++member) {
    const std::string name = member->name.GetString();
    if (name == "wall_ms" || name == "event" || name == "name" ||
        name == "daemon" || name == "id") {
      continue;
    }
    aLine.m_text += " " + name + "=" + FormatValue(member->value);
  }
  return true;
}

// What a state line is about. A later line on the same subject replaces it.
std::string
SubjectOf(const LogLine& aLine)
{
  if (!aLine.m_upstream.empty()) {
    return "upstream " + aLine.m_upstream;
  }
  if (!aLine.m_topic.empty()) {
    return "store " + aLine.m_topic;
  }
  return std::to_string(aLine.m_event);
}

void
Print(const LogLine& aLine,
      std::int64_t aStart,
      const char* aMark,
      std::ostream& aOut)
{
  aOut << aMark << " " << aLine.m_wallMs - aStart << " ms " << aLine.m_daemon
       << " " << aLine.m_text << "\n";
}

} // namespace

bool
Explain(const std::string& aId,
        const std::vector<std::istream*>& aLogs,
        std::ostream& aOut)
{
  std::vector<LogLine> lines;
  std::size_t unreadableCount = 0;
  for (std::istream* log : aLogs) {
    for (std::string text; std::getline(*log, text);) {
      LogLine line;
      if (ParseLine(text, line)) {
        lines.push_back(std::move(line));
      } else {
        ++unreadableCount;
      }
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_wallMs < aRight.m_wallMs;
    });
  std::set<std::string> daemons;
  std::set<std::string> upstreams;
  std::int64_t start = 0;
  for (const LogLine& line : lines) {
    if (line.m_id != aId || line.m_event < kFirstRequestEvent) {
      continue;
    }
    start = daemons.empty() ? line.m_wallMs : start;
    daemons.insert(line.m_daemon);
    upstreams.insert(line.m_upstream);
  }
  aOut << "request " << aId << ": ";
  if (daemons.empty()) {
    aOut << "no line speaks of it (" << lines.size() << " lines read, "
         << unreadableCount << " not readable)\n";
    return false;
  }
  aOut
    << "times from its first line; = what the daemon believed, > what it did\n";
  // By daemon and subject; null once printed.
  std::map<std::pair<std::string, std::string>, const LogLine*> latestStates;
  for (const LogLine& line : lines) {
    if (line.m_id == aId && line.m_event >= kFirstRequestEvent) {
      for (auto& [key, state] : latestStates) {
        if (key.first == line.m_daemon && state != nullptr) {
          Print(*std::exchange(state, nullptr), start, "  =", aOut);
        }
      }
      Print(line, start, ">", aOut);
      continue;
    }
    const bool ofUpstream = !line.m_upstream.empty();
    if (line.m_event >= kFirstStateEvent && line.m_event < kFirstRequestEvent &&
        daemons.contains(line.m_daemon) &&
        (!ofUpstream || upstreams.contains(line.m_upstream))) {
      latestStates[{ line.m_daemon, SubjectOf(line) }] = &line;
    }
  }
  return true;
}

int
RunExplain(const std::vector<std::string>& aArguments,
           std::istream& aIn,
           std::ostream& aOut,
           std::ostream& aErr)
{
  if (aArguments.empty() || aArguments[0].starts_with("-")) {
    aErr << "usage: walnutwing explain ID [LOGFILE...]\n"
            "Tells the story of one request from routers' log lines; reads "
            "standard input without files.\n";
    return ExitStatusOf(ResultCode::CommandLine);
  }
  std::vector<std::unique_ptr<std::ifstream>> files;
  std::vector<std::istream*> logs;
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    files.push_back(std::make_unique<std::ifstream>(aArguments[i]));
    if (!*files.back()) {
      aErr << aArguments[i] << ": cannot be read\n";
      return ExitStatusOf(ResultCode::CommandLine);
    }
    logs.push_back(files.back().get());
  }
  if (logs.empty()) {
    logs.push_back(&aIn);
  }
  return Explain(aArguments[0], logs, aOut) ? 0 : 1;
}

} // namespace walnutwing
