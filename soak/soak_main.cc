// walnutwing-soak: runs real routers under faults derived from a seed and
// checks the guarantees of the product.
//
//   walnutwing-soak --seed=7 --seconds=20
//
// Exit status: 0 if all guarantees held, 1 if one was violated or the run
// failed, 2 for invalid flags.

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <gflags/gflags.h>

#include "soak/fault_plan.h"
#include "soak/roles.h"
#include "soak/soak_report.h"
#include "soak/soak_run.h"

DEFINE_uint64(seed, 1, "determines the plan of faults and the callers");
DEFINE_uint64(seconds, 20, "length of the plan");
DEFINE_uint32(machines,
              6,
              "how many routers, and how many upstreams: 1 to 100");
DEFINE_uint32(callers, 3, "callers per router");
DEFINE_string(only, "", "only faults of this kind");
DEFINE_string(plan, "", "file with a fault plan, instead of the seed's");
DEFINE_bool(shrink, false, "shorten the plan for as long as it still fails");
DEFINE_string(break,
              "none",
              "deliberate defect, to verify that a guarantee is checked");
DEFINE_string(keep,
              "",
              "directory for settings, logs and records, which is kept");
DEFINE_string(router,
              WALNUTWING_BUILD_DIR "/router/walnutwing-router",
              "router program to start");
DEFINE_string(json, "", "file for the report as JSON");
DEFINE_string(svg, "", "file for the histogram of recoveries");

DEFINE_string(role, "", "store or upstream; used by the soak itself");
DEFINE_string(ip, "", "role: address to listen at");
DEFINE_uint32(port, 0, "role: port to listen at");
DEFINE_string(name, "", "upstream: its name");
DEFINE_string(zone, "", "upstream: its zone");
DEFINE_string(software, "v0", "upstream: version of its software");
DEFINE_string(address, "", "upstream: the address to register");
DEFINE_string(store, "", "upstream: the store's address");
DEFINE_string(record, "", "upstream: file in which it writes what it sees");
DEFINE_uint64(cold_ms, 0, "upstream: how long it stays cold");

namespace walnutwing::soak {
namespace {

constexpr int kFailureExit = 1;
constexpr int kUsageExit = 2;
constexpr std::uint32_t kMaxMachines = 100;

class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// The directory for the files of a run: aKept, or, if that is empty, a
// temporary directory that is removed on destruction.
class Directory
{
public:
  explicit Directory(std::string aKept)
    : m_path(std::move(aKept))
    , m_kept(!m_path.empty())
  {
    if (m_kept) {
      std::filesystem::create_directories(m_path);
      return;
    }
    std::string pattern =
      (std::filesystem::temp_directory_path() / "walnutwing-soak-XXXXXX")
        .string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary directory");
    }
    m_path = pattern;
  }
  ~Directory()
  {
    if (!m_kept) {
      std::error_code ignored; // best effort: it is in the temporary directory
      std::filesystem::remove_all(m_path, ignored);
    }
  }
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
  bool m_kept;
};

Defect
RequireDefect(const std::string& aName)
{
  const auto defect = ParseDefect(aName);
  if (!defect) {
    throw UsageError("invalid defect: " + aName);
  }
  return *defect;
}

FaultPlanOptions
PlanOptionsFromFlags()
{
  FaultPlanOptions options;
  options.m_seed = FLAGS_seed;
  options.m_length = std::chrono::seconds(FLAGS_seconds);
  options.m_routers = FLAGS_machines;
  options.m_upstreams = FLAGS_machines;
  if (FLAGS_machines < 1 || FLAGS_machines > kMaxMachines) {
    throw UsageError("machines must be 1 to 100");
  }
  if (!FLAGS_only.empty()) {
    options.m_onlyKind = ParseFaultKind(FLAGS_only);
    if (!options.m_onlyKind) {
      throw UsageError("invalid kind of fault: " + FLAGS_only);
    }
  }
  return options;
}

FaultPlan
LoadOrMakePlan(const FaultPlanOptions& aOptions)
{
  if (FLAGS_plan.empty()) {
    return MakeFaultPlan(aOptions);
  }
  std::ifstream file(FLAGS_plan);
  if (!file) {
    throw UsageError("cannot read " + FLAGS_plan);
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return ParseFaultPlan(text.str());
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
}

// aKept: directory for the files of the run; "" for a temporary one.
SoakResult
RunOnce(SoakOptions aOptions, const FaultPlan& aPlan, const std::string& aKept)
{
  const Directory directory(aKept);
  aOptions.m_directory = directory.Path();
  return RunSoak(aOptions, aPlan);
}

// Removes halves, quarters and so on of the plan as long as it still fails.
FaultPlan
Shrink(const SoakOptions& aOptions, FaultPlan aPlan)
{
  for (std::size_t part = aPlan.size() / 2; part > 0; part /= 2) {
    for (std::size_t from = 0; from < aPlan.size();) {
      FaultPlan shorter = aPlan;
      const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(from);
      const std::size_t count = std::min(part, shorter.size() - from);
      shorter.erase(begin, begin + static_cast<std::ptrdiff_t>(count));
      const bool fails = !shorter.empty() &&
                         !RunOnce(aOptions, shorter, "").m_violations.empty();
      if (fails) {
        aPlan = std::move(shorter);
      } else {
        from += part;
      }
      std::cerr << "shrinking: " << aPlan.size() << " faults\n";
    }
  }
  return aPlan;
}

void
WriteFile(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return;
  }
  std::ofstream file(aPath);
  file << aText;
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

int
RunAndReport(const char* aSelf)
{
  SoakOptions options;
  options.m_plan = PlanOptionsFromFlags();
  options.m_callersPerRouter = FLAGS_callers;
  options.m_defect = RequireDefect(FLAGS_break);
  options.m_self = std::filesystem::canonical(aSelf).string();
  options.m_router = FLAGS_router;
  // The records of two runs in one directory would count as those of one.
  std::error_code missing; // it is created then
  if (!FLAGS_keep.empty() && std::filesystem::exists(FLAGS_keep, missing) &&
      !std::filesystem::is_empty(FLAGS_keep)) {
    throw UsageError("--keep needs an empty directory: " + FLAGS_keep);
  }
  FaultPlan plan = LoadOrMakePlan(options.m_plan);
  if (plan.empty()) {
    throw UsageError("the plan has no fault: more seconds are needed");
  }
  if (FLAGS_shrink) {
    plan = Shrink(options, plan);
  }
  const SoakResult result = RunOnce(options, plan, FLAGS_keep);
  std::cout << "seed " << FLAGS_seed << ", " << ToText(result);
  if (!result.m_violations.empty()) {
    std::cout << "plan:\n" << ToText(plan);
  }
  WriteFile(FLAGS_json, ToJson(result));
  WriteFile(FLAGS_svg, ToSvg(result, "seed " + std::to_string(FLAGS_seed)));
  return result.m_violations.empty() ? 0 : kFailureExit;
}

// Runs the stand-in that --role names, or the soak if it is empty.
int
RunRole(const char* aSelf)
{
  const auto port = static_cast<std::uint16_t>(FLAGS_port);
  if (FLAGS_role == "store") {
    RunStoreRole({ FLAGS_ip, port });
  }
  if (FLAGS_role == "upstream") {
    UpstreamRoleOptions options;
    options.m_name = FLAGS_name;
    options.m_zone = FLAGS_zone;
    options.m_version = FLAGS_software;
    options.m_ip = FLAGS_ip;
    options.m_port = port;
    options.m_address = FLAGS_address;
    options.m_store = FLAGS_store;
    options.m_record = FLAGS_record;
    options.m_cold = Duration(static_cast<Duration::rep>(FLAGS_cold_ms));
    options.m_seed = FLAGS_seed;
    options.m_defect = RequireDefect(FLAGS_break);
    RunUpstreamRole(options);
  }
  if (!FLAGS_role.empty()) {
    throw UsageError("invalid role: " + FLAGS_role);
  }
  return RunAndReport(aSelf);
}

} // namespace
} // namespace walnutwing::soak

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("[flags]: real routers under faults of a seed");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    return walnutwing::soak::RunRole(aValues[0]);
  } catch (const walnutwing::soak::UsageError& error) {
    std::cerr << "walnutwing-soak: " << error.what() << '\n';
    return walnutwing::soak::kUsageExit;
  } catch (const std::exception& error) {
    std::cerr << "walnutwing-soak: " << error.what() << '\n';
    return walnutwing::soak::kFailureExit;
  }
}
