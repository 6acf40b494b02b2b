#include "cli/run_cli.h"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "cli/commands.h"
#include "walnutwing/config/test_configs.h"

namespace walnutwing {
namespace {

// A fault that is injected into an append.
enum class AppendFault
{
  None,
  ResponseLost,              // after the record was appended
  RequestLost,               // the record is never appended
  ResponseLostAppendDelayed, // until after the next read
  ResponseLostAppendDuplicated,
  Refused,
};

// Fakes the platform and daemons in memory, on a clock that Sleep advances.
class FakeAccess
{
public:
  std::optional<proto::ReadResponse> ReadLog(std::uint64_t aFrom)
  {
    if (m_platformDown || m_clock.Now() < m_downUntil) {
      return std::nullopt;
    }
    proto::ReadResponse response;
    response.set_first_offset(m_firstOffset);
    response.set_next_offset(m_bodies.size() + 1);
    for (std::uint64_t offset = std::max(aFrom, m_firstOffset);
         offset <= m_bodies.size();
         ++offset) {
      proto::LogRecord* record = response.add_records();
      record->set_offset(offset);
      record->set_at_ms(1'000);
      record->set_body(m_bodies[offset - 1]);
    }
    for (std::string& delayed : std::exchange(m_delayedBodies, {})) {
      m_bodies.push_back(std::move(delayed));
    }
    return response;
  }

  AppendOutcome Append(const std::string& aBody)
  {
    ++m_appendCount;
    if (m_beforeAppend) {
      m_beforeAppend();
    }
    switch (m_fault) {
      case AppendFault::None:
        m_bodies.push_back(aBody);
        return AppendOutcome::Appended;
      case AppendFault::Refused:
        return AppendOutcome::NotAppended;
      case AppendFault::RequestLost:
        return AppendOutcome::Unknown;
      case AppendFault::ResponseLostAppendDelayed:
        m_delayedBodies.push_back(aBody);
        return AppendOutcome::Unknown;
      case AppendFault::ResponseLostAppendDuplicated:
        m_bodies.push_back(aBody);
        [[fallthrough]];
      case AppendFault::ResponseLost:
        m_bodies.push_back(aBody);
        m_downUntil = m_clock.Now() + Duration(2'000);
        return AppendOutcome::Unknown;
    }
    throw std::logic_error("no such fault");
  }

  std::optional<proto::VmList> ListVms()
  {
    proto::VmList list;
    for (const std::string zone : { "a", "b" }) {
      list.add_vms()->set_zone(zone);
    }
    return list;
  }

  std::optional<PageResponse> GetPage(const std::string& aAddress,
                                      const std::string& /*aPath*/)
  {
    const auto page = m_pages.find(aAddress);
    if (page == m_pages.end()) {
      return std::nullopt;
    }
    return PageResponse{ 200, page->second };
  }

  Time Now() const { return m_clock.Now(); }
  WallTime WallNow() const { return m_clock.WallNow(); }
  void Sleep(Duration aDelay)
  {
    m_clock.Advance(aDelay);
    if (m_onSleep) {
      m_onSleep();
    }
  }

  // The state of a daemon that has read the whole log.
  ConfigState State() const
  {
    ConfigState state(TestKeys());
    std::vector<ConfigVerdict> verdicts;
    for (std::size_t i = 0; i < m_bodies.size(); ++i) {
      proto::ConfigRecord record;
      record.ParseFromString(m_bodies[i]);
      state.Apply(i + 1, 1'000, record, &verdicts);
    }
    return state;
  }

  void AppendChange(proto::ConfigRecord aChange)
  {
    m_bodies.push_back(Signed(State().Config(), "other", std::move(aChange))
                         .SerializeAsString());
  }

  AppendFault m_fault = AppendFault::None;
  bool m_platformDown = false;
  std::uint64_t m_firstOffset = 1;
  std::vector<std::string> m_bodies;
  std::vector<std::string> m_delayedBodies;
  int m_appendCount = 0;
  std::map<std::string, std::string> m_pages;
  std::function<void()> m_beforeAppend;
  std::function<void()> m_onSleep;

private:
  PausedClock m_clock;
  Time m_downUntil{};
};

struct CliResult
{
  int m_status;
  std::string m_out;
  std::string m_err;
};

// Runs a command line on aAccess as RunCli does over HTTP.
CliResult
RunCommandLine(FakeAccess& aAccess, std::vector<std::string> aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  int status = 0;
  try {
    const CliFlags flags = ReadFlags(aArguments);
    status = RunCommand(aAccess, flags, out, err);
  } catch (const CommandLineError& error) {
    status = ReportError(ResultCode::CommandLine, error.what(), err);
  }
  return { status, out.str(), err.str() };
}

std::vector<std::string>
WithOperator(std::vector<std::string> aArguments)
{
  const std::string path = testing::TempDir() + "/operator.key";
  std::ofstream(path) << ToHex(TestKeys().m_keys.at(kTestOperator)) << "\n";
  aArguments.insert(
    aArguments.end(),
    { "--operator", kTestOperator, "--operator_key_file=" + path });
  return aArguments;
}

FakeAccess
MakeFleetWithConfig()
{
  FakeAccess access;
  access.AppendChange(ReplaceAll(TestConfig()));
  return access;
}

TEST(RunCli, MistypedCommandLineExitsWith2)
{
  const std::vector<std::vector<std::string>> cases = {
    {},
    { "presets" },
    { "preset" },
    { "preset", "swich", "night" },
    { "preset", "switch" },
    { "preset", "switch", "a", "b" },
    { "preset", "list", "--jsn" },
    { "preset", "list", "-x" },
    { "preset", "list", "--flagfile=x" }, // a flag of gflags itself
    { "preset", "list", "--timeout_s=soon" },
    { "preset", "list", "--timeout_s" },
    { "preset", "list", "--platform=localhost" },
    { "config", "wait", "soon", "--admin=127.0.0.1:1" },
    { "config", "wait", "1" },
  };
  for (const std::vector<std::string>& arguments : cases) {
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(2, RunCli(arguments, out, err)) << err.str();
    EXPECT_NE(std::string::npos, err.str().find("error 5006 command_line"))
      << err.str();
  }
}

TEST(RunCli, HelpOfEachCommandContainsItsDescription)
{
  for (const CommandRow& row : CommandTable()) {
    std::vector<std::string> arguments;
    std::istringstream words{ std::string(row.m_words) };
    for (std::string word; words >> word;) {
      arguments.push_back(word);
    }
    arguments.emplace_back("--help");
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(0, RunCli(arguments, out, err));
    EXPECT_NE(std::string::npos, out.str().find(row.m_help)) << row.m_words;
  }
}

TEST(RunCli, SubmitReportsOutcomeFromLogAndAppendsOnce)
{
  const auto concurrentChange = [](FakeAccess& aAccess) {
    aAccess.m_beforeAppend = [&aAccess] { aAccess.AppendChange(ZoneOut("a")); };
  };
  const auto concurrentChangeAfterAppend = [](FakeAccess& aAccess) {
    aAccess.m_onSleep = [&aAccess] {
      aAccess.m_onSleep = nullptr;
      aAccess.AppendChange(ZoneOut("a"));
    };
  };
  const auto doNothing = [](FakeAccess&) {};
  const struct
  {
    const char* m_name;
    AppendFault m_fault;
    std::function<void(FakeAccess&)> m_prepare;
    int m_status;
    const char* m_text;
    const char* m_preset; // in force afterwards
  } cases[] = {
    { "plain", AppendFault::None, doNothing, 0, "accepted", "night" },
    { "race",
      AppendFault::None,
      concurrentChange,
      1,
      "take zone a out",
      "ordinary" },
    { "refused", AppendFault::Refused, doNothing, 1, "4006", "ordinary" },
    { "lost after effect",
      AppendFault::ResponseLost,
      doNothing,
      0,
      "accepted",
      "night" },
    { "lost, twice",
      AppendFault::ResponseLostAppendDuplicated,
      doNothing,
      0,
      "accepted",
      "night" },
    { "lost, late",
      AppendFault::ResponseLostAppendDelayed,
      doNothing,
      0,
      "accepted",
      "night" },
    { "lost for good",
      AppendFault::RequestLost,
      doNothing,
      3,
      "4003",
      "ordinary" },
    { "lost after effect, race",
      AppendFault::ResponseLost,
      concurrentChange,
      1,
      "4001",
      "ordinary" },
    { "lost for good, then another",
      AppendFault::RequestLost,
      concurrentChangeAfterAppend,
      1,
      "4001",
      "ordinary" },
  };
  for (const auto& test : cases) {
    FakeAccess access = MakeFleetWithConfig();
    access.m_fault = test.m_fault;
    test.m_prepare(access);
    const CliResult result =
      RunCommandLine(access, WithOperator({ "preset", "switch", "night" }));
    EXPECT_EQ(test.m_status, result.m_status) << test.m_name << result.m_err;
    EXPECT_NE(std::string::npos,
              (result.m_out + result.m_err).find(test.m_text))
      << test.m_name << ": " << result.m_out << result.m_err;
    EXPECT_EQ(1, access.m_appendCount) << test.m_name;
    EXPECT_EQ(test.m_preset, access.State().Config().active_preset())
      << test.m_name;
  }
}

TEST(RunCli, InvalidChangesAreNotAppended)
{
  const struct
  {
    std::vector<std::string> m_arguments;
    std::string m_text;
  } cases[] = {
    { { "preset", "switch", "peak" }, "unknown_preset" },
    { { "zone", "back", "a" }, "zone_not_out" },
    { { "zone", "out", "c" }, "unknown_zone" },
    { { "customer", "put", "pilot", "--share=1" }, "bad_key_digest" },
    { { "customer", "put", "customer-0", "--share=0" }, "bad_share" },
    { { "customer", "delete", "pilot" }, "unknown_customer" },
    { { "service", "put", "valves", "--kind=plain" }, "bad_deadline" },
  };
  for (const auto& test : cases) {
    FakeAccess access = MakeFleetWithConfig();
    const CliResult result =
      RunCommandLine(access, WithOperator(test.m_arguments));
    EXPECT_EQ(1, result.m_status) << result.m_err;
    EXPECT_NE(std::string::npos, result.m_err.find(test.m_text))
      << result.m_err;
    EXPECT_EQ(0, access.m_appendCount);
  }
  FakeAccess access = MakeFleetWithConfig();
  EXPECT_NE(
    std::string::npos,
    RunCommandLine(access, { "preset", "switch", "night" }).m_err.find("4004"));
  access.m_platformDown = true;
  EXPECT_NE(std::string::npos,
            RunCommandLine(access, { "preset", "list" }).m_err.find("4006"));
  EXPECT_EQ(0, access.m_appendCount);
}

TEST(RunCli, ShowsAcceptedChanges)
{
  FakeAccess access = MakeFleetWithConfig();
  const auto runAccepted = [&](std::vector<std::string> aArguments) {
    const CliResult result =
      RunCommandLine(access, WithOperator(std::move(aArguments)));
    EXPECT_EQ(0, result.m_status) << result.m_err;
    return result.m_out;
  };
  EXPECT_EQ(
    "customer customer-0 share: 100 -> 7\n"
    "1 differences to version 1; nothing was changed\n",
    runAccepted({ "customer", "put", "customer-0", "--share=7", "--dry_run" }));
  EXPECT_EQ(0, access.m_appendCount);
  runAccepted({ "customer", "put", "customer-0", "--share=7" });
  runAccepted({ "zone", "out", "a" });
  runAccepted({ "preset", "switch", "night" });
  runAccepted({ "service",
                "put",
                "valves",
                "--kind=plain",
                "--idempotent=no",
                "--default_deadline_ms=5000" });
  EXPECT_EQ(5U, access.State().Version());
  EXPECT_NE(
    std::string::npos,
    runAccepted({ "customer", "show", "customer-0" }).find("share = 7"));
  EXPECT_EQ("version 5\na\n", runAccepted({ "zone", "status" }));
  EXPECT_EQ("version 5\n* night\n  ordinary\n",
            runAccepted({ "preset", "list" }));
  EXPECT_EQ("{\"items\":[\"night\"],\"version\":5}\n",
            runAccepted({ "preset", "status", "--json" }));
  EXPECT_NE(std::string::npos,
            runAccepted({ "config", "history" })
              .find("accepted  petra  take zone a out"));

  const std::string path = testing::TempDir() + "/fleet.ini";
  std::ofstream(path) << runAccepted({ "config", "show" });
  EXPECT_NE(std::string::npos,
            runAccepted({ "config", "check", path }).find("sound"));
  EXPECT_EQ("0 differences to version 5; nothing was changed\n",
            runAccepted({ "config", "apply", path, "--dry_run" }));
}

TEST(RunCli, ApplyToTruncatedLogRequiresOverride)
{
  const std::string path = testing::TempDir() + "/fleet.ini";
  std::ofstream(path) << RenderFleetConfig(TestConfig(3));
  FakeAccess access = MakeFleetWithConfig();
  access.AppendChange(ZoneOut("a"));
  access.m_firstOffset = 2; // the first record has expired, without a snapshot
  CliResult result =
    RunCommandLine(access, WithOperator({ "config", "apply", path }));
  EXPECT_EQ(1, result.m_status);
  EXPECT_NE(std::string::npos, result.m_err.find("--override"));
  result = RunCommandLine(
    access, WithOperator({ "config", "apply", path, "--override" }));
  EXPECT_EQ(0, result.m_status) << result.m_err;
  EXPECT_EQ(3, access.State().Config().customers_size());
}

TEST(RunCli, WaitListsDaemonsWithOlderVersions)
{
  FakeAccess access = MakeFleetWithConfig();
  access.m_pages["127.0.0.1:1"] =
    R"({"daemon":"e1","config_version":7,"members":[
        {"daemon":"e2","config_version":6,"up":true},
        {"daemon":"e3","config_version":1,"up":false}]})";
  const std::vector<std::string> wait = {
    "config", "wait", "7", "--admin=127.0.0.1:1"
  };
  const CliResult result = RunCommandLine(access, wait);
  EXPECT_EQ(1, result.m_status);
  EXPECT_EQ("e2 has version 6\n"
            "error 4005 config_not_in_force: the version is not yet in force "
            "everywhere\n",
            result.m_err);
  access.m_onSleep = [&] {
    access.m_pages["127.0.0.1:1"] = R"({"daemon":"e1","config_version":7,
        "members":[{"daemon":"e2","config_version":7,"up":true}]})";
  };
  EXPECT_EQ(0, RunCommandLine(access, wait).m_status);
  access.m_onSleep = nullptr;
  access.m_pages.clear();
  EXPECT_NE(std::string::npos,
            RunCommandLine(access, wait).m_err.find("no known version"));
}

TEST(RunCli, OrderStatusComesFromReachableDaemon)
{
  FakeAccess access;
  access.m_pages["127.0.0.1:2"] =
    R"({"code":3001,"name":"order_running","ran":"unknown","meaning":"m",
        "current":false})";
  const CliResult result =
    RunCommandLine(access,
                   { "order",
                     "status",
                     "K",
                     "--customer=crews",
                     "--admin=127.0.0.1:1,127.0.0.1:2" });
  EXPECT_EQ(0, result.m_status) << result.m_err;
  EXPECT_EQ("K  3001 order_running  ran: unknown  m  (may be out of date)\n",
            result.m_out);
}

} // namespace
} // namespace walnutwing
