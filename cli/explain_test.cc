#include "cli/explain.h"

#include <sstream>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr const char* kLog =
  R"(noise
{"wall_ms":1000,"event":203,"name":"config_in_force","daemon":"d1","version":6}
{"wall_ms":1500,"event":203,"name":"config_in_force","daemon":"d1","version":7}
{"wall_ms":1600,"event":203,"name":"config_in_force","daemon":"d2","version":7}
{"wall_ms":1700,"event":205,"name":"upstream_listed","daemon":"d1","upstream":"e1","draining":0}
{"wall_ms":1710,"event":205,"name":"upstream_listed","daemon":"d1","upstream":"e2","draining":0}
   3.1 d1 {"wall_ms":2000,"event":301,"name":"request_sent","daemon":"d1","id":"a1","upstream":"e1","load":1.50}
{"wall_ms":2001,"event":301,"name":"request_sent","daemon":"d1","id":"a2","upstream":"e2","load":2.0}
{"wall_ms":2100,"event":206,"name":"upstream_gone","daemon":"d1","upstream":"e1"}
{"wall_ms":2200,"event":304,"name":"request_failed","daemon":"d1","id":"a1","code":3004,"upstream":"e1"}
)";

std::string
ExplainRequest(const char* aId)
{
  std::istringstream log(kLog);
  std::ostringstream out;
  Explain(aId, { &log }, out);
  return out.str();
}

TEST(Explain, PrintsRequestLinesPrecededByDaemonState)
{
  EXPECT_EQ(
    "request a1: times from its first line; = what the daemon believed, > what "
    "it did\n"
    "  = -500 ms d1 config_in_force version=7\n"
    "  = -300 ms d1 upstream_listed upstream=e1 draining=0\n"
    "> 0 ms d1 request_sent upstream=e1 load=1.50\n"
    "  = 100 ms d1 upstream_gone upstream=e1\n"
    "> 200 ms d1 request_failed code=3004 upstream=e1\n",
    ExplainRequest("a1"));
}

TEST(Explain, ReportsRequestWithoutLogLines)
{
  EXPECT_EQ("request a9: no line speaks of it (9 lines read, 1 not readable)\n",
            ExplainRequest("a9"));
}

TEST(Explain, CommandReadsStandardInputOrFiles)
{
  std::istringstream in(kLog);
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(0, RunExplain({ "a2" }, in, out, err));
  EXPECT_NE(std::string::npos, out.str().find("upstream=e2 load=2.00"));
  EXPECT_EQ(2, RunExplain({}, in, out, err));
  EXPECT_EQ(2, RunExplain({ "a2", "/no/such/file" }, in, out, err));
  std::istringstream empty;
  EXPECT_EQ(1, RunExplain({ "a2" }, empty, out, err));
}

} // namespace
} // namespace walnutwing
