// The soak itself, as CI runs it: short runs with fixed seeds, and stand-ins
// that lie, which it must notice. Regression cases of soak/seeds are played
// too.

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "standin/child_process.h"

namespace walnutwing::soak {
namespace {

// Exit status of one run.
int
SoakStatus(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(),
                    WALNUTWING_BUILD_DIR "/soak/walnutwing-soak");
  standin::ChildProcess soak(aArguments, "/dev/null");
  while (!soak.ExitStatus()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return *soak.ExitStatus();
}

TEST(Soak, GuaranteesHoldUnderAShortPlan)
{
  EXPECT_EQ(0, SoakStatus({ "--seed=1", "--seconds=6", "--machines=3" }));
}

struct Variant
{
  const char* m_break;
  const char* m_only; // faults that bring it out
};

class SoakVariant : public testing::TestWithParam<Variant>
{};

TEST_P(SoakVariant, IsDetected)
{
  const Variant& variant = GetParam();
  EXPECT_EQ(1,
            SoakStatus({ "--seed=5",
                         "--seconds=8",
                         "--machines=3",
                         std::string("--break=") + variant.m_break,
                         std::string("--only=") + variant.m_only }));
}

INSTANTIATE_TEST_SUITE_P(Variants,
                         SoakVariant,
                         testing::Values(Variant{ "twice", "router_reload" },
                                         Variant{ "gap", "router_reload" },
                                         Variant{ "drain", "upstream_drain" },
                                         Variant{ "config", "config_change" }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_break);
                         });

TEST(Soak, InvalidFlagsExitWithUsageStatus)
{
  EXPECT_EQ(2, SoakStatus({ "--only=flood" }));
  EXPECT_EQ(2, SoakStatus({ "--machines=0" }));
  EXPECT_EQ(2, SoakStatus({ "--break=everything" }));
  EXPECT_EQ(2, SoakStatus({ "--plan=/nowhere" }));
}

// Plans that once failed.
TEST(Soak, RegressionPlansPass)
{
  for (const auto& entry :
       std::filesystem::directory_iterator(WALNUTWING_SEEDS_DIR)) {
    if (entry.path().extension() != ".plan") {
      continue;
    }
    EXPECT_EQ(
      0,
      SoakStatus(
        { "--plan=" + entry.path().string(), "--machines=6", "--seconds=20" }))
      << entry.path();
  }
}

} // namespace
} // namespace walnutwing::soak
