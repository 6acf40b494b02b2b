// Measures membership at the fleet sizes of the product: control bytes per
// second of each daemon in both directions, detection time of a dead daemon and
// of a lost zone, memory and CPU time. Virtual time, production encoding, fixed
// seeds.
//
// The size of a message is its encoded envelope plus kPacketOverheadBytes (IP
// 20, TCP 32, ZeroMQ 2, and half of a bare TCP acknowledgement of 52). Permit
// traffic is not included.
//
// The number of upstreams scales with the number of daemons (600 for 390
// daemons). Their owners report a load that changes at random every second.
//
// Prints CSV: measure,variant,value,unit.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "walnutwing/membership/fake_peer_network.h"

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using walnutwing::ByteBudgetOptions;
using walnutwing::Duration;
using walnutwing::FakePeerNetwork;
using walnutwing::MembershipOptions;
using walnutwing::ZoneId;

constexpr std::uint64_t kSeed = 20261203;
constexpr int kMeanLoad = 95;              // requests in progress on one engine
constexpr int kMaxDaemonReplacements = 20; // one every three seconds
constexpr int kMaxLoadStep = 10; // change of an engine's load in a second
constexpr int kUpstreamsPer1000Daemons = 1538; // 600 upstreams for 390 daemons

struct Size
{
  int m_daemons;
  int m_zones;
};

void
PrintRow(const std::string& aMeasure,
         const std::string& aVariant,
         double aValue,
         const std::string& aUnit)
{
  std::cout << aMeasure << ',' << aVariant << ',' << aValue << ',' << aUnit
            << std::endl;
}

class Fleet
{
public:
  explicit Fleet(Size aSize)
    : m_net(MembershipOptions(), ByteBudgetOptions(), kSeed)
    , m_random(kSeed)
  {
    for (int i = 0; i < aSize.m_daemons; ++i) {
      const char zone = static_cast<char>('a' + i % aSize.m_zones);
      const char region = static_cast<char>('x' + i % aSize.m_zones % 3);
      m_net.Add(std::string(1, zone), std::string(1, region));
    }
    const int upstreams = aSize.m_daemons * kUpstreamsPer1000Daemons / 1000;
    m_load.assign(static_cast<std::size_t>(upstreams), kMeanLoad);
    m_net.DeliverVmList(m_net.MakeVmList());
  }

  FakePeerNetwork& Net() { return m_net; }

  // Runs for aTime; every upstream reports a changed load each second.
  void Run(Duration aTime)
  {
    for (Duration done{ 0 }; done < aTime; done += seconds(1)) {
      for (std::size_t i = 0; i < m_load.size(); ++i) {
        ReportLoad(i);
      }
      m_net.Run(seconds(1));
    }
  }

  void ClearBytes()
  {
    for (const auto& node : m_net.Nodes()) {
      node->m_sentBytes = node->m_receivedBytes = node->m_sentMessages = 0;
    }
    m_clearedAt = m_net.Now();
  }

  // Bytes per second and daemon since ClearBytes, in both directions, over the
  // running daemons.
  void PrintBytes(const std::string& aVariant)
  {
    const double elapsed =
      std::chrono::duration<double>(m_net.Now() - m_clearedAt).count();
    std::vector<double> rates;
    double messages = 0;
    for (const auto& node : m_net.Nodes()) {
      if (!node->m_running) {
        continue;
      }
      rates.push_back(
        static_cast<double>(node->m_sentBytes + node->m_receivedBytes) /
        elapsed);
      messages += static_cast<double>(node->m_sentMessages) / elapsed;
    }
    std::sort(rates.begin(), rates.end());
    double sum = 0;
    for (const double rate : rates) {
      sum += rate;
    }
    m_meanRate = sum / static_cast<double>(rates.size());
    PrintRow("control_bytes_mean", aVariant, m_meanRate, "bytes/s");
    PrintRow("control_bytes_p50", aVariant, rates[rates.size() / 2], "bytes/s");
    PrintRow("control_bytes_max", aVariant, rates.back(), "bytes/s");
    PrintRow("control_messages_sent",
             aVariant,
             messages / static_cast<double>(rates.size()),
             "messages/s");
  }

  double MeanRate() const { return m_meanRate; }

private:
  // Changes the load of an upstream; its owner, a fixed daemon, reports it.
  void ReportLoad(std::size_t aUpstream)
  {
    const int step =
      static_cast<int>(m_random() % (2 * kMaxLoadStep + 1)) - kMaxLoadStep;
    // Mean-reverting random walk, like the load of independent arrivals.
    m_load[aUpstream] += step + (kMeanLoad - m_load[aUpstream]) / 8;
    auto& owner = *m_net.Nodes()[aUpstream % m_net.Nodes().size()];
    if (!owner.m_running) {
      return;
    }
    walnutwing::proto::UpstreamState state;
    state.set_upstream("engine-" + std::to_string(aUpstream));
    state.set_in_progress(static_cast<std::uint32_t>(m_load[aUpstream]));
    state.set_window(kMeanLoad * 5 / 4);
    owner.m_membership->SetUpstreamState(state, m_net.Now());
  }

  FakePeerNetwork m_net;
  std::mt19937_64 m_random;
  std::vector<int> m_load;
  walnutwing::Time m_clearedAt{};
  double m_meanRate = 0;
};

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the mean control bytes per second and daemon without churn.
double
Measure(Size aSize)
{
  const std::string name = std::to_string(aSize.m_daemons);
  const double daemons = aSize.m_daemons;
  const double heapBefore = HeapBytes();
  Fleet fleet(aSize);
  FakePeerNetwork& net = fleet.Net();
  fleet.Run(minutes(2));
  PrintRow("views_differ_after_start",
           name,
           static_cast<double>(net.CountDifferences()),
           "facts");

  fleet.ClearBytes();
  const double cpu = CpuSeconds();
  fleet.Run(minutes(1));
  fleet.PrintBytes("quiet_" + name);
  const double quiet = fleet.MeanRate();
  // An upper bound: it includes the CPU time of the fake network.
  PrintRow("membership_cpu",
           name,
           (CpuSeconds() - cpu) / ToSeconds(minutes(1)) / daemons * 100,
           "percent_of_a_core");
  PrintRow("membership_memory",
           name,
           (HeapBytes() - heapBefore) / daemons / 1024,
           "KiB/daemon");

  // A far higher rate than the 90 replacements of a day.
  fleet.ClearBytes();
  for (int i = 0; i < std::min(kMaxDaemonReplacements, aSize.m_daemons / 4);
       ++i) {
    auto& node = *net.Nodes()[static_cast<std::size_t>(i) * 3];
    net.Kill(node);
    fleet.Run(seconds(2));
    net.Start(node);
    fleet.Run(seconds(1));
  }
  fleet.PrintBytes("churn_" + name);
  fleet.Run(minutes(1));

  auto& victim = *net.Nodes()[1];
  net.Kill(victim);
  PrintRow("detection_one_death",
           name,
           ToSeconds(net.RunUntilConverged(minutes(2))),
           "s");
  net.Start(victim);
  PrintRow("detection_one_return",
           name,
           ToSeconds(net.RunUntilConverged(minutes(2))),
           "s");
  fleet.Run(minutes(1));

  fleet.ClearBytes();
  const ZoneId lost("a");
  for (const auto& node : net.Nodes()) {
    if (node->m_self.m_zone == lost) {
      net.Kill(*node);
    }
  }
  PrintRow("detection_zone_loss",
           name,
           ToSeconds(net.RunUntilConverged(minutes(2))),
           "s");
  fleet.Run(seconds(30));
  fleet.PrintBytes("zone_loss_" + name);
  return quiet;
}

} // namespace

int
main()
{
  std::cout << "measure,variant,value,unit\n";
  PrintRow("seed", "all", static_cast<double>(kSeed), "seed");
  const Size sizes[] = { { 8, 3 }, { 56, 7 }, { 390, 7 } };
  std::vector<double> quiet;
  for (const Size& size : sizes) {
    quiet.push_back(Measure(size));
  }
  PrintRow("control_bytes_slope",
           "56_to_390",
           (quiet[2] - quiet[1]) / (sizes[2].m_daemons - sizes[1].m_daemons),
           "bytes/s_per_daemon");
  return 0;
}
