#include "walnutwing/routing/route_table.h"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

Route
MakeRoute(const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.m_name = aHost + aPrefix;
  route.m_host = aHost;
  route.m_pathPrefix = aPrefix;
  route.m_services = { { ServiceId("s"), 1 } };
  return route;
}

TEST(RouteTable, FindsTheLongestPrefixOfTheHost)
{
  RoutingConfig config;
  config.m_routes = { MakeRoute("a.example", "/"),
                      MakeRoute("a.example", "/x/"),
                      MakeRoute("a.example", "/x/y/"),
                      MakeRoute("b.example", "/x/") };
  const RouteTable table(config);
  const struct
  {
    const char* m_host;
    const char* m_path;
    const char* m_route; // "" for none
  } cases[] = {
    { "a.example", "/", "a.example/" },
    { "a.example", "/x", "a.example/" }, // prefixes end with a slash
    { "a.example", "/x/", "a.example/x/" },
    { "a.example", "/x/z", "a.example/x/" },
    { "a.example", "/x/y/z", "a.example/x/y/" },
    { "A.Example:8080", "/x/q", "a.example/x/" },
    { "b.example", "/x/y/z", "b.example/x/" },
    { "b.example", "/y/", "" },
    { "c.example", "/x/", "" },
    { "", "", "" },
    { "a.example", "", "" },
    { "a.example", "*", "" },
    // review/12, ROUTE: a part of the path in the host.
    { "a.example/x", "/y/z", "" },
    { "a.example/x/", "/", "" },
    { "a.example:80/x", "/", "" },
    { "a.example", "x/", "" },
  };
  for (const auto& testCase : cases) {
    const Route* route = table.Find(testCase.m_host, testCase.m_path);
    EXPECT_EQ(testCase.m_route, route == nullptr ? "" : route->m_name)
      << testCase.m_host << testCase.m_path;
  }
}

// Compares random lookups with a linear scan of all routes.
TEST(RouteTable, FindMatchesALinearScan)
{
  std::mt19937 random(7);
  const auto word = [&] {
    return std::string(1, static_cast<char>('a' + random() % 3));
  };
  for (int round = 0; round < 200; ++round) {
    RoutingConfig config;
    for (int i = 0; i < 12; ++i) {
      std::string prefix = "/";
      for (std::uint32_t depth = random() % 4; depth > 0; --depth) {
        prefix += word() + "/";
      }
      config.m_routes.push_back(MakeRoute(word() + ".example", prefix));
    }
    const RouteTable table(config);
    for (int i = 0; i < 50; ++i) {
      const std::string host = word() + ".example";
      std::string path = "/";
      for (std::uint32_t depth = random() % 5; depth > 0; --depth) {
        path += word() + (random() % 4 == 0 ? "" : "/");
      }
      const Route* best = nullptr;
      for (const Route& route : table.Config().m_routes) {
        const bool longer = best == nullptr || route.m_pathPrefix.size() >
                                                 best->m_pathPrefix.size();
        if (route.m_host == host && path.starts_with(route.m_pathPrefix) &&
            longer) {
          best = &route;
        }
      }
      EXPECT_EQ(best, table.Find(host, path)) << host << path;
    }
  }
}

TEST(RouteTable, FindsCustomersByTheirKeysAndRejectsUnknownKeys)
{
  RoutingConfig config;
  config.m_customers = { { CustomerId("c1"), { "k1", "k2" }, 3U },
                         { CustomerId("c2"), { "k3" }, std::nullopt } };
  const RouteTable table(config);
  EXPECT_EQ("c1", table.CustomerOf("k2")->m_id.Value());
  EXPECT_EQ("c2", table.CustomerOf("k3")->m_id.Value());
  EXPECT_EQ(nullptr, table.CustomerOf("k4"));
  EXPECT_EQ(nullptr, table.CustomerOf(""));
}

TEST(RouteTable, DistributesRequestsByWeight)
{
  Route route;
  route.m_services = { { ServiceId("a"), 90 }, { ServiceId("b"), 10 } };
  std::map<std::string, int> counts;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    ++counts[RouteTable::ServiceOf(route, hash)->Value()];
  }
  EXPECT_EQ(900, counts["a"]);
  EXPECT_EQ(100, counts["b"]);
  EXPECT_EQ(nullptr, RouteTable::ServiceOf(Route(), 1));
}

} // namespace
} // namespace walnutwing
