#include "walnutwing/placement/permit_client.h"

#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

const RequestId kRequest(7);

// A request with the targets e1, e2, ..., owned by aOwners in this order.
PlacementRequest
Ask(const std::vector<std::string>& aOwners, std::uint32_t aSelfPermitLimit = 0)
{
  PlacementRequest ask;
  ask.m_request = kRequest;
  ask.m_deadline = PausedClock().Now() + std::chrono::seconds(30);
  int number = 0;
  for (const std::string& owner : aOwners) {
    ask.m_targets.push_back({ UpstreamId("e" + std::to_string(++number)),
                              DaemonId(owner),
                              aSelfPermitLimit });
  }
  return ask;
}

// Drives a client by its public events and describes its actions as text:
// "ask e1 d1", "wait e1 d1", "release e1 d1", "report e1 d1 7", "ready e1",
// "self e1", "refused 2004".
class ClientDriver
{
public:
  void Begin(PlacementRequest aAsk)
  {
    m_client.OnRequest(std::move(aAsk), m_clock.Now(), m_actions);
  }
  void Grant(const std::string& aUpstream, const std::string& aOwner)
  {
    proto::PermitGrant grant;
    grant.set_request_id(kRequest.Value());
    grant.set_upstream(aUpstream);
    m_client.OnGrant(DaemonId(aOwner), grant, m_clock.Now(), m_actions);
  }
  void Deny(const std::string& aUpstream,
            const std::string& aOwner,
            ResultCode aCode)
  {
    proto::PermitDeny deny;
    deny.set_request_id(kRequest.Value());
    deny.set_upstream(aUpstream);
    deny.set_code(static_cast<std::uint32_t>(aCode));
    deny.set_retry_after_ms(1500);
    m_client.OnDeny(DaemonId(aOwner), deny, m_clock.Now(), m_actions);
  }
  void Pass(Duration aTime)
  {
    m_clock.Advance(aTime);
    m_client.OnTick(m_clock.Now(), m_actions);
  }
  std::string Done()
  {
    std::string words;
    for (const PermitClientAction& action : m_actions) {
      words += words.empty() ? "" : ", ";
      words +=
        std::visit([](const auto& aAction) { return Words(aAction); }, action);
    }
    m_actions.clear();
    return words;
  }

  PausedClock m_clock;
  PermitClient m_client;
  PermitClientActions m_actions;

private:
  static std::string Words(const SendToOwner& aSend)
  {
    const std::string owner = " " + aSend.m_owner.Value();
    if (aSend.m_message.has_permit_request()) {
      const auto& request = aSend.m_message.permit_request();
      return (request.may_wait() ? "wait " : "ask ") + request.upstream() +
             owner;
    }
    if (aSend.m_message.has_permit_release()) {
      return "release " + aSend.m_message.permit_release().upstream() + owner;
    }
    const auto& report = aSend.m_message.permit_report();
    std::string words = "report " + report.upstream() + owner;
    for (const std::uint64_t id : report.request_ids()) {
      words += " " + std::to_string(id);
    }
    return words;
  }
  static std::string Words(const PermitReady& aReady)
  {
    return (aReady.m_selfPermitted ? "self " : "ready ") +
           aReady.m_upstream.Value();
  }
  static std::string Words(const PermitRefused& aRefused)
  {
    return "refused " + std::to_string(static_cast<int>(aRefused.m_code));
  }
};

using Steps = std::vector<std::pair<void (*)(ClientDriver&), const char*>>;

void
RunSteps(const Steps& aSteps)
{
  ClientDriver driver;
  for (const auto& [step, expected] : aSteps) {
    step(driver);
    EXPECT_EQ(expected, driver.Done());
  }
  EXPECT_FALSE(driver.m_client.NextTimeout());
}

TEST(PermitClient, TriesInOrderThenWaitsAtTheFirst)
{
  RunSteps({ { [](auto& aC) {
                aC.Begin(Ask({ "d1", "d2" }));
              },
               "ask e1 d1" },
             { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::QueueFull); },
               "ask e2 d2" },
             { [](auto& aC) { aC.Deny("e2", "d2", ResultCode::QueueFull); },
               "wait e1 d1" },
             { [](auto& aC) { aC.Grant("e1", "d1"); }, "ready e1" },
             { [](auto& aC) { aC.Grant("e1", "d1"); }, "" }, // duplicate
             { [](auto& aC) {
                aC.m_client.OnFinished(kRequest, false, false, aC.m_actions);
              },
               "release e1 d1" } });
}

// The permit request is lost if the owner's connection is not established yet
// or the owner loses its queue. If it were not sent again, the request would
// wait until its wait timeout.
TEST(PermitClient, WaitingAskThatIsLostIsRepeated)
{
  RunSteps(
    { { [](auto& aC) { aC.Begin(Ask({ "d1" })); }, "ask e1 d1" },
      { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aC) {
         aC.m_client.OnOwnerChanged(
           UpstreamId("e1"), DaemonId("d2"), aC.m_clock.Now(), aC.m_actions);
       },
        "release e1 d1, wait e1 d2" },
      { [](auto& aC) { aC.Pass(milliseconds(499)); }, "" },
      { [](auto& aC) { aC.Pass(milliseconds(1)); }, "wait e1 d2" },
      // The new owner does not know yet that it owns the upstream.
      { [](auto& aC) { aC.Deny("e1", "d2", ResultCode::PermitTimeout); }, "" },
      { [](auto& aC) { aC.Pass(milliseconds(500)); }, "wait e1 d2" },
      { [](auto& aC) { aC.Grant("e1", "d2"); }, "ready e1" },
      { [](auto& aC) {
         aC.m_client.OnFinished(kRequest, false, false, aC.m_actions);
       },
        "release e1 d2" } });
}

// Sending the permit request again does not extend the wait timeout.
TEST(PermitClient, WaitingEndsAtItsTimeout)
{
  ClientDriver driver;
  driver.Begin(Ask({ "d1" }));
  driver.Deny("e1", "d1", ResultCode::QueueFull);
  driver.Done();
  for (int i = 0; i < 19; ++i) {
    driver.Pass(milliseconds(500));
    EXPECT_EQ("wait e1 d1", driver.Done());
  }
  driver.Pass(milliseconds(500));
  EXPECT_EQ("release e1 d1, refused 2010", driver.Done());
  EXPECT_FALSE(driver.m_client.NextTimeout());
}

TEST(PermitClient, DenialInTheQueueEndsIt)
{
  RunSteps(
    { { [](auto& aC) { aC.Begin(Ask({ "d1" })); }, "ask e1 d1" },
      { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::OverCustomerShare); },
        "refused 2003" } });
}

TEST(PermitClient, WaiterOfALeavingUpstreamGoesOn)
{
  RunSteps({ { [](auto& aC) {
                aC.Begin(Ask({ "d1", "d2" }));
              },
               "ask e1 d1" },
             { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::QueueFull); },
               "ask e2 d2" },
             { [](auto& aC) { aC.Deny("e2", "d2", ResultCode::QueueFull); },
               "wait e1 d1" },
             { [](auto& aC) { aC.Deny("e1", "d1", ResultCode::NoUpstream); },
               "ask e2 d2" },
             { [](auto& aC) { aC.Deny("e2", "d2", ResultCode::NoUpstream); },
               "refused 2002" } });
}

TEST(PermitClient, FrozenOwnerCostsOneTimeoutAndItsLateGrantGoesBack)
{
  RunSteps({ { [](auto& aC) {
                aC.Begin(Ask({ "d1", "d2" }));
              },
               "ask e1 d1" },
             { [](auto& aC) { aC.Pass(milliseconds(249)); }, "" },
             { [](auto& aC) { aC.Pass(milliseconds(1)); },
               "release e1 d1, ask e2 d2" },
             { [](auto& aC) { aC.Grant("e2", "d2"); }, "ready e2" },
             { [](auto& aC) {
                PlacementRequest next = Ask({ "d1", "d2" });
                next.m_request = RequestId(8);
                aC.Begin(next);
              },
               "ask e2 d2" }, // the owner in backoff is skipped
             { [](auto& aC) {
                aC.m_client.OnCancel(
                  RequestId(8), aC.m_clock.Now(), aC.m_actions);
              },
               "release e2 d2" },
             { [](auto& aC) { aC.Grant("e1", "d1"); }, "release e1 d1" } });
}

TEST(PermitClient, SelfPermitsAreBoundedAndOnlyWithoutAnyOwner)
{
  ClientDriver driver;
  for (std::uint64_t i = 0; i < 6; ++i) {
    PlacementRequest ask = Ask({ "", "" }, 2);
    ask.m_request = RequestId(i);
    driver.Begin(ask);
  }
  EXPECT_EQ("self e1, self e1, self e2, self e2, refused 2010, refused 2010",
            driver.Done());
  // A new owner gets a report of the self-permits, and later their releases.
  driver.m_client.OnOwnerChanged(
    UpstreamId("e1"), DaemonId("d9"), driver.m_clock.Now(), driver.m_actions);
  EXPECT_EQ("report e1 d9 0 1", driver.Done());
  driver.m_client.OnFinished(RequestId(1), false, false, driver.m_actions);
  EXPECT_EQ("release e1 d9", driver.Done());
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("report e1 d9 0", driver.Done());
}

TEST(PermitClient, UnreachableUpstreamIsLeftForTheNext)
{
  const auto unreachable = [](auto& aC) {
    aC.m_client.OnUnreachable(kRequest, aC.m_clock.Now(), aC.m_actions);
  };
  RunSteps({ { [](auto& aC) {
                aC.Begin(Ask({ "d1", "" }, 1));
              },
               "ask e1 d1" },
             { [](auto& aC) { aC.Grant("e1", "d1"); }, "ready e1" },
             { unreachable, "release e1 d1, self e2" },
             { unreachable, "refused 2009" } });
}

TEST(PermitClient, OwnerChangeMovesAskingAndHeldRequests)
{
  const auto changed = [](auto& aC) {
    aC.m_client.OnOwnerChanged(
      UpstreamId("e1"), DaemonId("d3"), aC.m_clock.Now(), aC.m_actions);
  };
  RunSteps({ { [](auto& aC) { aC.Begin(Ask({ "d1" })); }, "ask e1 d1" },
             { changed, "release e1 d1, ask e1 d3" },
             { [](auto& aC) { aC.Grant("e1", "d1"); }, "release e1 d1" },
             { [](auto& aC) { aC.Grant("e1", "d3"); }, "ready e1" },
             { changed, "" } });
}

TEST(PermitClient, GivesUpAtTheDeadlineWithoutBlamingTheOwner)
{
  ClientDriver driver;
  PlacementRequest ask = Ask({ "d1" });
  ask.m_deadline = driver.m_clock.Now() + milliseconds(100);
  driver.Begin(ask);
  driver.Pass(milliseconds(100));
  EXPECT_EQ("ask e1 d1, release e1 d1, refused 2005", driver.Done());
  driver.Begin(Ask({ "d1" }));
  EXPECT_EQ("ask e1 d1", driver.Done());
  EXPECT_THROW(driver.Begin(Ask({ "d1" })), std::invalid_argument);
}

TEST(PermitClient, ReportsAnEmptiedUpstreamOnce)
{
  ClientDriver driver;
  driver.Begin(Ask({ "d1" }));
  driver.Grant("e1", "d1");
  driver.m_client.OnFinished(kRequest, false, false, driver.m_actions);
  driver.Done();
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("report e1 d1", driver.Done());
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("", driver.Done());
}

} // namespace
} // namespace walnutwing
