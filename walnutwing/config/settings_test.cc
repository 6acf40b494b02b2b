#include "walnutwing/config/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr const char* kValidSettings = R"([daemon]
id = entry-1
zone = brno-1
region = brno
listen = 127.0.0.1:8080
admin_listen = 127.0.0.1:8081
peer_listen = 127.0.0.1:8082
stop_limit_s = 30
[platform]
address = 127.0.0.1:9000 ; the log
[peers]
seeds = 127.0.0.1:8082,
  127.0.0.1:8083
[operators]
petra = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
[log]
level = debug
)";

// Returns kValidSettings with aLine replaced by aNew, or removed if that is "".
std::string
ReplaceLine(const std::string& aLine, const std::string& aNew)
{
  std::string text = kValidSettings;
  const std::size_t at = text.find(aLine + "\n");
  return text.replace(at, aLine.size() + 1, aNew.empty() ? "" : aNew + "\n");
}

std::vector<IniProblem>
ProblemsOf(const std::string& aText)
{
  try {
    ParseDaemonSettings(aText, "daemon.ini");
  } catch (const SettingsError& error) {
    return error.Problems();
  }
  return {};
}

TEST(Settings, ReadsEveryKindOfValue)
{
  const DaemonSettings settings =
    ParseDaemonSettings(kValidSettings, "daemon.ini");
  EXPECT_EQ("entry-1", settings.m_id.Value());
  EXPECT_EQ(std::chrono::seconds(30), settings.m_stopLimit);
  EXPECT_EQ("127.0.0.1:9000", settings.m_platformAddress);
  EXPECT_EQ((std::vector<std::string>{ "127.0.0.1:8082", "127.0.0.1:8083" }),
            settings.m_peerSeeds);
  EXPECT_EQ("00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
            ToHex(settings.m_operatorKeys.at("petra")));
  EXPECT_EQ(LogLevel::Debug, settings.m_logLevel);
  EXPECT_EQ(4096U, settings.m_controlBytesPerSecond);
}

TEST(Settings, ProblemsNameLineKeyAndAllowedValues)
{
  const std::string longLine = "id = " + std::string(300, 'x');
  const struct
  {
    std::string m_text;
    ResultCode m_code;
    int m_line;
    std::string m_key;
    std::string m_allowed;
  } cases[] = {
    { ReplaceLine("stop_limit_s = 30", "stop_limit_s = 0"),
      ResultCode::SettingsBadValue,
      8,
      "stop_limit_s",
      "1 to 3600" },
    { ReplaceLine("stop_limit_s = 30", "stop_limit_s = 30s"),
      ResultCode::SettingsBadValue,
      8,
      "stop_limit_s",
      "1 to 3600" },
    { ReplaceLine("stop_limit_s = 30", "stop_limit_s = -1"),
      ResultCode::SettingsBadValue,
      8,
      "stop_limit_s",
      "1 to 3600" },
    { ReplaceLine("stop_limit_s = 30", "stop_limits = 30"),
      ResultCode::SettingsUnknownKey,
      8,
      "stop_limits",
      "stop_limit_s" },
    { ReplaceLine("stop_limit_s = 30", "zone = brno-2"),
      ResultCode::SettingsBadValue,
      8,
      "zone",
      "once" },
    { ReplaceLine("listen = 127.0.0.1:8080", "listen = localhost:8080"),
      ResultCode::SettingsBadValue,
      5,
      "listen",
      "IP:port" },
    { ReplaceLine("listen = 127.0.0.1:8080", "listen = [::1]:8080"),
      ResultCode::SettingsBadValue,
      5,
      "listen",
      "IP:port" },
    { ReplaceLine("listen = 127.0.0.1:8080", "listen = 127.0.0.1:0"),
      ResultCode::SettingsBadValue,
      5,
      "listen",
      "1 to 65535" },
    { ReplaceLine("id = entry-1", ""),
      ResultCode::SettingsKeyMissing,
      0,
      "id",
      "1 to 64" },
    { ReplaceLine("id = entry-1", "id entry-1"),
      ResultCode::SettingsSyntax,
      2,
      "",
      "" },
    { ReplaceLine("id = entry-1", longLine),
      ResultCode::SettingsSyntax,
      2,
      "",
      "" },
    { ReplaceLine("[log]", "[logs]"),
      ResultCode::SettingsUnknownKey,
      16,
      "",
      "operators, log" },
    { ReplaceLine("level = debug", "[empty]"),
      ResultCode::SettingsUnknownKey,
      17,
      "",
      "operators, log" },
    { ReplaceLine("level = debug", "level = loud"),
      ResultCode::SettingsBadValue,
      17,
      "level",
      "debug, info" },
    { ReplaceLine("[operators]", "[operators]\nmilan = 0011"),
      ResultCode::SettingsBadValue,
      15,
      "milan",
      "64 hex" },
    { ReplaceLine("[peers]",
                  "[peers]\ncurve_public_key = " + std::string(40, 'a')),
      ResultCode::SettingsKeyMissing,
      0,
      "curve_secret_key_file",
      "both" },
  };
  for (const auto& test : cases) {
    const std::vector<IniProblem> problems = ProblemsOf(test.m_text);
    ASSERT_FALSE(problems.empty()) << test.m_text;
    const IniProblem& first = problems.front();
    EXPECT_EQ(test.m_code, first.m_code) << first.ToString();
    EXPECT_EQ(test.m_line, first.m_line) << first.ToString();
    EXPECT_EQ(test.m_key, first.m_key) << first.ToString();
    EXPECT_NE(std::string::npos, first.m_allowed.find(test.m_allowed))
      << first.ToString();
    EXPECT_EQ(0U, first.ToString().find("daemon.ini:")) << first.ToString();
  }
}

TEST(Settings, ListsAllProblemsWithoutSecrets)
{
  const std::vector<IniProblem> problems =
    ProblemsOf("[daemon]\nid = a b\nfoo = 1\n[operators]\npetra = deadbeef\n");
  EXPECT_LE(8U, problems.size()); // 3 invalid entries, 5 missing keys
  for (const IniProblem& problem : problems) {
    EXPECT_EQ(std::string::npos, problem.ToString().find("deadbeef"));
  }
}

TEST(Settings, MissingFileThrows)
{
  try {
    LoadDaemonSettings("/nonexistent/daemon.ini");
    FAIL() << "no error";
  } catch (const SettingsError& error) {
    EXPECT_EQ(ResultCode::SettingsFileMissing, error.Code());
    EXPECT_EQ(2, ExitStatusOf(error.Code()));
  }
}

TEST(Settings, ExampleIsValid)
{
  const DaemonSettings settings =
    LoadDaemonSettings(WALNUTWING_DOCS_DIR "/examples/daemon.ini");
  EXPECT_EQ("entry-brno1-1", settings.m_id.Value());
  EXPECT_EQ(3U, settings.m_peerSeeds.size());
}

TEST(Settings, DocumentMatchesSettingTable)
{
  std::ifstream stream(WALNUTWING_DOCS_DIR "/SETTINGS.md");
  ASSERT_TRUE(stream);
  std::vector<std::string> documented;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("| `")) {
      documented.push_back(line);
    }
  }
  std::vector<std::string> declared;
  for (const SettingDescription& row : DescribeSettings()) {
    std::ostringstream line;
    line << "| `" << row.m_section << "` | `" << row.m_key << "` | "
         << (row.m_unit.empty() ? "-" : row.m_unit) << " | " << row.m_allowed
         << " | "
         << (!row.m_default           ? "required"
             : row.m_default->empty() ? "none"
                                      : *row.m_default)
         << " | " << row.m_doc << " |";
    declared.push_back(line.str());
  }
  EXPECT_EQ(declared, documented);
}

} // namespace
} // namespace walnutwing
