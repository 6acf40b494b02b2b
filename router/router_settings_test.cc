#include "router/router_settings.h"

#include <fstream>

#include <gtest/gtest.h>

namespace walnutwing::router {
namespace {

constexpr const char* kValidSettings = "[router]\n"
                                       "name = d1\n"
                                       "zone = z1\n"
                                       "listen = 10.0.0.1:80\n"
                                       "ready_listen = 10.0.0.1:81\n"
                                       "peer_listen = 10.0.0.1:82\n"
                                       "weight = 0.25\n"
                                       "[platform]\n"
                                       "address = 10.9.9.9:90\n"
                                       "[bounds]\n"
                                       "stop_limit_s = 8\n"
                                       "repeat_ratio = 0.2\n"
                                       "cold_factor =\n";

std::vector<IniProblem>
ProblemsOf(const std::string& aText)
{
  try {
    ParseRouterSettings(aText, "f.ini");
  } catch (const SettingsError& error) {
    return error.Problems();
  }
  return {};
}

TEST(RouterSettings, ReadsValuesAndDefaults)
{
  const RouterSettings settings = ParseRouterSettings(kValidSettings, "f.ini");
  EXPECT_EQ("d1", settings.m_name.Value());
  EXPECT_EQ(0.25, settings.m_weight);
  EXPECT_EQ(std::chrono::seconds(8), settings.m_stopLimit);
  EXPECT_EQ(0.2, settings.m_repeatRatio);
  EXPECT_EQ(1.5, settings.m_coldFactor); // left empty: the default
  EXPECT_EQ(9464U, settings.m_metricsPort);
}

TEST(RouterSettings, ReportsEachProblemWithItsCodeAndKey)
{
  const struct
  {
    const char* m_original;
    const char* m_replacement;
    ResultCode m_code;
    const char* m_key;
  } cases[] = {
    { "name = d1\n", "", ResultCode::SettingsKeyMissing, "name" },
    { "10.0.0.1:80\n", "here\n", ResultCode::SettingsBadValue, "listen" },
    { "= 0.2\n", "= much\n", ResultCode::SettingsBadValue, "repeat_ratio" },
    { "= 0.2\n", "= -1\n", ResultCode::SettingsBadValue, "repeat_ratio" },
    { "= 0.2\n", "= nan\n", ResultCode::SettingsBadValue, "repeat_ratio" },
    { "zone = z1",
      "zone = z1\nzone = z2",
      ResultCode::SettingsBadValue,
      "zone" },
    { "zone = z1",
      "colour = red\nzone = z1",
      ResultCode::SettingsUnknownKey,
      "colour" },
  };
  for (const auto& testCase : cases) {
    std::string text = kValidSettings;
    text.replace(text.find(testCase.m_original),
                 std::string(testCase.m_original).size(),
                 testCase.m_replacement);
    const auto problems = ProblemsOf(text);
    ASSERT_EQ(1U, problems.size()) << testCase.m_key;
    EXPECT_EQ(testCase.m_code, problems[0].m_code) << testCase.m_key;
    EXPECT_EQ(testCase.m_key, problems[0].m_key);
  }
  EXPECT_EQ(6U, ProblemsOf("").size()); // all required keys at once
}

TEST(RouterSettings, DocumentationListsEveryKey)
{
  std::ifstream page(WALNUTWING_DOCS_DIR "/ROUTER.md");
  const std::string text((std::istreambuf_iterator<char>(page)), {});
  for (const SettingDescription& key : DescribeRouterSettings()) {
    const std::string line = "| " + key.m_section + " | " + key.m_key + " | " +
                             key.m_unit + " | " + key.m_allowed + " | " +
                             key.m_default.value_or("required") + " | " +
                             key.m_doc + " |\n";
    EXPECT_NE(std::string::npos, text.find(line)) << line;
  }
}

// Guards against a daemon that announces an address on which it does not
// listen, or another zone than the one by which its peers and upstreams were
// chosen.
TEST(RouterSettings, ReloadKeepsIdentityAndAddresses)
{
  const RouterSettings inForce = ParseRouterSettings(kValidSettings, "f.ini");
  const RouterSettings other =
    ParseRouterSettings("[router]\n"
                        "name = d2\n"
                        "zone = z2\n"
                        "listen = 10.0.0.2:180\n"
                        "ready_listen = 10.0.0.2:181\n"
                        "peer_listen = 10.0.0.2:182\n"
                        "weight = 0.5\n"
                        "metrics_port = 99\n"
                        "[platform]\n"
                        "address = 10.9.9.8:90\n"
                        "[bounds]\n"
                        "repeat_window_s = 3\n"
                        "repeat_ratio = 0.3\n",
                        "f.ini");
  const RouterSettings settings = ApplyReload(inForce, other);
  EXPECT_EQ("d1", settings.m_name.Value());
  EXPECT_EQ("z1", settings.m_zone.Value());
  EXPECT_EQ("10.0.0.1:80", settings.m_listen);
  EXPECT_EQ("10.0.0.1:81", settings.m_readyListen);
  EXPECT_EQ("10.0.0.1:82", settings.m_peerListen);
  EXPECT_EQ("10.9.9.9:90", settings.m_storeAddress);
  EXPECT_EQ(9464U, settings.m_metricsPort);
  EXPECT_EQ(inForce.m_repeatWindow, settings.m_repeatWindow);
  EXPECT_EQ(0.5, settings.m_weight);
  EXPECT_EQ(0.3, settings.m_repeatRatio);
}

} // namespace
} // namespace walnutwing::router
