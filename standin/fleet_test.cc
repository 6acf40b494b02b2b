// Tests of a fleet of real processes under faults. They check outcomes, never
// timings. The binaries come from the build directory that CMake names.

#include "standin/fleet_fixture.h"

#include <csignal>
#include <fstream>

#include <gtest/gtest.h>

#include "standin/blackhole_address.h"

namespace walnutwing::standin {
namespace {

std::unique_ptr<Fleet>
StartFleet(Fleet::Options aOptions = {})
{
  aOptions.m_binDirectory = WALNUTWING_BUILD_DIR;
  return std::make_unique<Fleet>(std::move(aOptions));
}

// Retries an order, as a caller does, until its answer is final, that is, no
// status 503, result code 3001 or broken connection. Returns the final status.
int
SendOrderUntilFinal(Fleet& aFleet, std::size_t aDaemon, const std::string& aKey)
{
  int status = 0;
  const bool final = aFleet.WaitUntil([&] {
    const auto call = aFleet.StartOrder(aDaemon, aKey);
    EXPECT_TRUE(aFleet.WaitFor(*call));
    status = call->m_status;
    const int code = call->Code();
    const bool shouldRetry = status == 503 || code == 3001 || status == 0;
    if (shouldRetry) {
      aFleet.RunLoopFor(Duration(100));
    }
    return !shouldRetry;
  });
  EXPECT_TRUE(final);
  return status;
}

// Starts aCount distinct chats, over the daemons round-robin.
std::vector<std::unique_ptr<OpenCall>>
StartChats(Fleet& aFleet,
           const std::string& aName,
           std::size_t aCount,
           std::uint64_t aTokens)
{
  std::vector<std::unique_ptr<OpenCall>> chats(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    chats[i] =
      aFleet.StartChat(i % kFleetDaemons, aName + std::to_string(i), aTokens);
  }
  return chats;
}

TEST(Fleet, ServesChatsAndOrders)
{
  const auto fleet = StartFleet();
  for (std::size_t i = 0; i < kFleetDaemons; ++i) {
    const auto chat = fleet->StartChat(i, "chat", 20);
    ASSERT_TRUE(fleet->WaitFor(*chat));
    EXPECT_TRUE(chat->IsComplete()) << chat->m_status << chat->m_body;
    const std::string key = fleet->NewOrderKey();
    EXPECT_EQ(SendOrderUntilFinal(*fleet, i, key), 200);
    EXPECT_EQ(SendOrderUntilFinal(*fleet, (i + 1) % kFleetDaemons, key), 200);
    EXPECT_EQ(fleet->CountRuns(key), 1U);
  }
}

// Sends one chat through every daemon; returns how many of these requests found
// no cached prefix.
std::size_t
CountCacheMisses(Fleet& aFleet, const std::string& aChat)
{
  std::size_t uncached = 0;
  for (std::size_t daemon = 0; daemon < kFleetDaemons; ++daemon) {
    const auto chat = aFleet.StartChat(daemon, aChat, 5);
    EXPECT_TRUE(aFleet.WaitFor(*chat));
    EXPECT_TRUE(chat->IsComplete()) << chat->m_body;
    uncached += chat->m_headers.Get("walnutwing-cached") == "1" ? 0 : 1;
  }
  return uncached;
}

// A new owner of an engine grants few permits until its predecessor must have
// stopped, so chats spill over to other engines at first. Afterwards every
// daemon sends a chat to the same engine.
TEST(Fleet, RoutesChatToTheEngineThatCachesItsPrefix)
{
  const auto fleet = StartFleet();
  int chats = 0;
  const auto onlyFirstUncached = [&] {
    return CountCacheMisses(*fleet, "returning" + std::to_string(++chats)) == 1;
  };
  ASSERT_TRUE(fleet->WaitUntil(onlyFirstUncached));
  int reused = 0;
  ASSERT_TRUE(fleet->WaitUntil([&] {
    reused = onlyFirstUncached() ? reused + 1 : 0;
    return reused == 10; // consecutive chats
  }))
    << chats;
}

TEST(Fleet, RunsOrderOnceWhenAllDaemonsReceiveItAtOnce)
{
  const auto fleet = StartFleet({ "", 50, 2 });
  for (int round = 0; round < 10; ++round) {
    const std::string key = fleet->NewOrderKey();
    std::vector<std::unique_ptr<OpenCall>> calls;
    for (std::size_t i = 0; i < kFleetDaemons; ++i) {
      calls.push_back(fleet->StartOrder(i, key));
    }
    for (const auto& call : calls) {
      ASSERT_TRUE(fleet->WaitFor(*call));
      EXPECT_TRUE(call->m_status == 200 || call->Code() != 0) << call->m_body;
    }
    EXPECT_EQ(SendOrderUntilFinal(*fleet, 0, key), 200);
    EXPECT_EQ(fleet->CountRuns(key), 1U);
  }
}

// An order's append may take effect although its response is lost, comes after
// the timeout, or was a 503 before the append.
TEST(Fleet, RunsOrderAtMostOnceWhenAppendResponseIsLostOrLate)
{
  const auto fleet = StartFleet();
  for (const char* fault : { "kind=lose_answers&count=1",
                             "kind=late&count=1&delay_ms=300",
                             "kind=slow&count=1&delay_ms=2500" }) {
    fleet->SetFault(fleet->Platform(), fault);
    const std::string key = fleet->NewOrderKey();
    const int status = SendOrderUntilFinal(*fleet, 0, key);
    EXPECT_LE(fleet->CountRuns(key), 1U) << fault;
    EXPECT_EQ(fleet->CountRuns(key) == 1, status == 200) << fault << status;
    fleet->SetFault(fleet->Platform(), "kind=none");
    fleet->RunLoopFor(Duration(500));
    EXPECT_LE(fleet->CountRuns(key), 1U) << fault;
  }
}

TEST(Fleet, RefusesOrdersAndServesChatsWhilePlatformIsDown)
{
  const auto fleet = StartFleet();
  fleet->SetFault(fleet->Platform(), "kind=down");
  for (std::size_t i = 0; i < kFleetDaemons; ++i) {
    const std::string key = fleet->NewOrderKey();
    const auto order = fleet->StartOrder(i, key);
    const auto chat = fleet->StartChat(i, "outage", 20);
    ASSERT_TRUE(fleet->WaitFor(*order));
    ASSERT_TRUE(fleet->WaitFor(*chat));
    EXPECT_EQ(order->RunState(), "not run") << order->m_body;
    EXPECT_TRUE(order->m_headers.Find("retry-after"));
    EXPECT_TRUE(chat->IsComplete()) << chat->m_body;
    EXPECT_EQ(fleet->CountRuns(key), 0U);
  }
  fleet->SetFault(fleet->Platform(), "kind=none");
  fleet->RunLoopFor(Duration(1500));
  EXPECT_EQ(fleet->FetchJson(fleet->ServiceAddress(), "/record")["ran"], 0);
  EXPECT_EQ(SendOrderUntilFinal(*fleet, 0, fleet->NewOrderKey()), 200);
}

TEST(Fleet, RunsOrderAtMostOnceWhenDaemonIsKilled)
{
  const auto fleet = StartFleet({ "", 40, 2 });
  for (const int delay : { 0, 5, 10, 20, 40, 60 }) {
    const std::string key = fleet->NewOrderKey();
    const auto call = fleet->StartOrder(1, key);
    fleet->RunLoopFor(Duration(delay));
    fleet->Daemon(1).Kill();
    ASSERT_TRUE(fleet->WaitFor(*call));
    const auto repeat = fleet->StartOrder(2, key);
    ASSERT_TRUE(fleet->WaitFor(*repeat));
    EXPECT_TRUE(repeat->m_status == 200 || repeat->Code() != 0);
    fleet->RestartDaemon(1);
    const auto last = fleet->StartOrder(1, key);
    ASSERT_TRUE(fleet->WaitFor(*last));
    EXPECT_LE(fleet->CountRuns(key), 1U) << "killed after " << delay << " ms";
    if (last->RunState() == "not run") {
      EXPECT_EQ(fleet->CountRuns(key), 0U) << last->m_body;
    }
  }
}

TEST(Fleet, RunsOrderAtMostOnceWhenDaemonIsFrozen)
{
  const auto fleet = StartFleet({ "", 20, 2 });
  for (const int delay : { 0, 5, 10, 20 }) {
    const std::string key = fleet->NewOrderKey();
    const auto call = fleet->StartOrder(1, key);
    fleet->RunLoopFor(Duration(delay));
    fleet->Daemon(1).Signal(SIGSTOP);
    std::unique_ptr<OpenCall> repeat;
    for (int i = 0; i < 6; ++i) { // 3 s, longer than the platform's timeout
      repeat = fleet->StartOrder(2, key);
      ASSERT_TRUE(fleet->WaitFor(*repeat));
      fleet->RunLoopFor(Duration(500));
    }
    fleet->Daemon(1).Signal(SIGCONT);
    ASSERT_TRUE(fleet->WaitFor(*call));
    EXPECT_LE(fleet->CountRuns(key), 1U) << "frozen after " << delay << " ms";
    if (call->m_status == 200 || repeat->m_status == 200) {
      EXPECT_EQ(fleet->CountRuns(key), 1U);
    }
  }
}

TEST(Fleet, ChatsCompleteOrFailWithCodeWhenEngineIsKilled)
{
  const auto fleet = StartFleet({ "", 0, 10 });
  const auto chats = StartChats(*fleet, "k", 12, 100);
  ASSERT_TRUE(fleet->WaitUntil([&] {
    for (const auto& chat : chats) {
      if (chat->m_check->Tokens() < 3 && !chat->m_ended) {
        return false;
      }
    }
    return true;
  }));
  fleet->Engine(0).Kill();
  for (const auto& chat : chats) {
    ASSERT_TRUE(fleet->WaitFor(*chat));
    EXPECT_TRUE(chat->IsComplete() || chat->Code() != 0) << chat->m_body;
    EXPECT_NE(chat->m_check->Result(), Verdict::Wrong)
      << chat->m_check->Reason();
  }
}

TEST(Fleet, NeverForwardsWrongAnswer)
{
  const auto fleet = StartFleet();
  for (const char* fault :
       { "break_midway", "wrong_id", "truncate", "duplicate", "reorder" }) {
    for (std::size_t i = 0; i < kFleetEngines; ++i) {
      fleet->SetFault(fleet->EngineAddress(i),
                      std::string("count=1&kind=") + fault);
    }
    for (std::size_t i = 0; i < 8; ++i) {
      const auto chat =
        fleet->StartChat(i % kFleetDaemons, fault + std::to_string(i), 20);
      ASSERT_TRUE(fleet->WaitFor(*chat));
      EXPECT_TRUE(chat->IsComplete() || chat->Code() != 0)
        << fault << ": " << chat->m_body;
    }
  }
}

TEST(Fleet, GracefulStopCompletesRequestInFlight)
{
  const auto fleet = StartFleet({ "", 0, 10 });
  const auto chat = fleet->StartChat(3, "long", 200);
  ASSERT_TRUE(fleet->WaitUntil([&] { return chat->m_check->Tokens() > 3; }));
  fleet->Daemon(3).Signal(SIGTERM);
  ASSERT_TRUE(fleet->WaitFor(*chat));
  EXPECT_TRUE(chat->IsComplete()) << chat->m_body;
  ASSERT_TRUE(fleet->WaitUntil(
    [&] { return fleet->Daemon(3).ExitStatus().has_value(); }));
  EXPECT_EQ(fleet->Daemon(3).ExitStatus(), 0);
}

// Guards against issue 47, LOST: a daemon that stood still when it was told to
// stop counted its time from when it read the signal, and would have been
// killed with an order in progress and no answer to it.
TEST(Fleet, LateStopAnswersOrdersWithinTheLimit)
{
  constexpr int kLimitSeconds = 3;
  constexpr std::uint64_t kOrderRunMs = 10'000;
  constexpr Duration kPause(1500);
  constexpr Duration kSlack(500); // less than kPause
  const auto fleet = StartFleet({ "", kOrderRunMs, 2, 8, 2, kLimitSeconds });
  const std::string key = fleet->NewOrderKey();
  const auto order = fleet->StartOrder(1, key);
  ASSERT_TRUE(fleet->WaitUntil([&] { return fleet->CountRuns(key) == 1; }));
  fleet->Daemon(1).Signal(SIGSTOP);
  fleet->Daemon(1).Signal(SIGTERM);
  fleet->RunLoopFor(kPause);
  fleet->Daemon(1).Signal(SIGCONT);
  fleet->RunLoopFor(std::chrono::seconds(kLimitSeconds) - kPause + kSlack);
  EXPECT_TRUE(order->m_ended);
  EXPECT_EQ(502, order->m_status) << order->m_body;
}

TEST(Fleet, SendsNoNewRequestsToZoneThatIsOut)
{
  const auto fleet = StartFleet({ "", 0, 10 });
  const auto inProgress = StartChats(*fleet, "z", 8, 60);
  fleet->TakeZoneOut("z2");
  fleet->RunLoopFor(Duration(1000));
  const auto countZone2Requests = [&] {
    std::uint64_t count = 0;
    for (const std::size_t engine : { 2U, 3U }) {
      count += fleet->FetchJson(fleet->EngineAddress(engine), "/record")["seen"]
                 .get<std::uint64_t>();
    }
    return count;
  };
  const std::uint64_t before = countZone2Requests();
  const auto afterZoneOut = StartChats(*fleet, "y", 8, 5);
  for (const auto* chats : { &inProgress, &afterZoneOut }) {
    for (const auto& chat : *chats) {
      ASSERT_TRUE(fleet->WaitFor(*chat));
      EXPECT_TRUE(chat->IsComplete()) << chat->m_body;
    }
  }
  EXPECT_EQ(countZone2Requests(), before);
  fleet->TakeZoneBack("z2");
  EXPECT_TRUE(fleet->WaitUntil([&] {
    const auto chat = fleet->StartChat(2, fleet->NewOrderKey(), 5);
    EXPECT_TRUE(fleet->WaitFor(*chat));
    EXPECT_TRUE(chat->IsComplete()) << chat->m_body;
    return countZone2Requests() > before;
  }));
}

TEST(Fleet, CancelsUpstreamCallWhenCallerDisconnects)
{
  const auto fleet = StartFleet({ "", 0, 10 });
  const auto chat = fleet->StartChat(0, "gone", 100'000);
  ASSERT_TRUE(fleet->WaitUntil([&] { return chat->m_check->Tokens() > 3; }));
  chat->m_call.reset();
  EXPECT_TRUE(fleet->WaitUntil([&] {
    std::uint64_t cancelled = 0;
    for (std::size_t i = 0; i < kFleetEngines; ++i) {
      cancelled +=
        fleet->FetchJson(fleet->EngineAddress(i), "/record")["cancelled"]
          .get<std::uint64_t>();
    }
    return cancelled == 1;
  }));
}

// Guards against review/15, GONE, at walnutwing daemon: an order went on after
// its caller had left, though no connection to the service could be made yet.
TEST(Fleet, OrderThatWasNotSentEndsWithItsCaller)
{
  constexpr Duration kPatience(300);
  constexpr Duration kSettleTime(3000); // in which the order would run
  const auto fleet = StartFleet();
  const std::string key = fleet->NewOrderKey();
  const net::Endpoint service = fleet->ServiceAddress();
  asio::io_context loop;
  fleet->KillService();
  auto blackhole = std::make_unique<BlackholeAddress>(
    loop,
    Tcp::endpoint(asio::ip::make_address_v4(service.m_ip), service.m_port));
  const auto order = fleet->StartOrder(1, key);
  fleet->RunLoopFor(kPatience);
  order->m_call.reset();
  fleet->RunLoopFor(kPatience);
  blackhole.reset();
  fleet->StartService();
  fleet->RunLoopFor(kSettleTime);
  EXPECT_EQ(0U, fleet->CountRuns(key));
}

// Guards against a key that stays taken: the order whose caller left before it
// was sent counted as running, and repeats got 409 until the key expired.
TEST(Fleet, KeyOfAnOrderThatWasNotSentCanBeUsedAgain)
{
  constexpr std::uint64_t kOrderRunMs = 3000;
  constexpr std::uint32_t kSlots = 1;
  constexpr Duration kPatience(300);
  const auto fleet = StartFleet({ "", kOrderRunMs, 2, kSlots, kSlots });
  const std::string firstKey = fleet->NewOrderKey();
  const auto first = fleet->StartOrder(1, firstKey);
  ASSERT_TRUE(
    fleet->WaitUntil([&] { return fleet->CountRuns(firstKey) == 1; }));
  const std::string key = fleet->NewOrderKey();
  const auto waiting = fleet->StartOrder(1, key);
  fleet->RunLoopFor(kPatience);
  waiting->m_call.reset();
  fleet->RunLoopFor(kPatience);
  EXPECT_EQ(200, SendOrderUntilFinal(*fleet, 1, key));
  EXPECT_EQ(1U, fleet->CountRuns(key));
}

TEST(Fleet, ExitsWithStatus2WhenSettingsAreInvalid)
{
  const std::string directory = testing::TempDir();
  const std::string file =
    directory + "/broken" + std::to_string(getpid()) + ".ini";
  std::ofstream(file) << "[daemon]\nid = d1\ncolour = red\n";
  const std::string log = file + ".log";
  ChildProcess daemon(
    { WALNUTWING_BUILD_DIR "/daemon/walnutwing", "daemon", "--config", file },
    log);
  for (int i = 0; i < 6000 && !daemon.ExitStatus(); ++i) {
    usleep(10'000);
  }
  EXPECT_EQ(daemon.ExitStatus(), 2);
  std::ifstream in(log);
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  EXPECT_NE(text.find("colour"), std::string::npos) << text;
  std::remove(file.c_str());
  std::remove(log.c_str());
}

} // namespace
} // namespace walnutwing::standin
