#include "walnutwing/placement/permit_client.h"

#include <string>

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

using std::chrono::milliseconds;

const RequestId kRequest(7);

// A request with the targets e1, e2, ..., owned by aOwners in this order.
PlacementRequest
MakePlacementRequest(const std::vector<std::string>& aOwners,
                     std::uint32_t aSelfPermitLimit = 0)
{
  PlacementRequest placementRequest;
  placementRequest.m_request = kRequest;
  placementRequest.m_deadline = PausedClock().Now() + std::chrono::seconds(30);
  int number = 0;
  for (const std::string& owner : aOwners) {
    placementRequest.m_targets.push_back(
      { UpstreamId("e" + std::to_string(++number)),
        DaemonId(owner),
        aSelfPermitLimit });
  }
  return placementRequest;
}

// Drives a client by its public events and describes its actions as text:
// "ask e1 d1", "wait e1 d1", "release e1 d1", "report e1 d1 7", "ready e1",
// "self e1", "refused 2004".
class ClientDriver
{
public:
  void Begin(PlacementRequest aPlacementRequest)
  {
    m_client.OnRequest(std::move(aPlacementRequest), m_clock.Now(), m_actions);
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
  void AdvanceTime(Duration aTime)
  {
    m_clock.Advance(aTime);
    m_client.OnTick(m_clock.Now(), m_actions);
  }
  std::string TakeActions()
  {
    std::string text;
    for (const PermitClientAction& action : m_actions) {
      text += text.empty() ? "" : ", ";
      text +=
        std::visit([](const auto& aAction) { return ToText(aAction); }, action);
    }
    m_actions.clear();
    return text;
  }

  PausedClock m_clock;
  PermitClient m_client;
  PermitClientActions m_actions;

private:
  static std::string ToText(const SendToOwner& aSend)
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
    std::string text = "report " + report.upstream() + owner;
    for (const std::uint64_t id : report.request_ids()) {
      text += " " + std::to_string(id);
    }
    return text;
  }
  static std::string ToText(const PermitReady& aReady)
  {
    return (aReady.m_selfPermitted ? "self " : "ready ") +
           aReady.m_upstream.Value();
  }
  static std::string ToText(const PermitRefused& aRefused)
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
    EXPECT_EQ(expected, driver.TakeActions());
  }
  EXPECT_FALSE(driver.m_client.NextTimeout());
}

TEST(PermitClient, AsksOwnersInOrderThenWaitsAtFirstFull)
{
  RunSteps(
    { { [](auto& aDriver) {
         aDriver.Begin(MakePlacementRequest({ "d1", "d2" }));
       },
        "ask e1 d1" },
      { [](auto& aDriver) { aDriver.Deny("e1", "d1", ResultCode::QueueFull); },
        "ask e2 d2" },
      { [](auto& aDriver) { aDriver.Deny("e2", "d2", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d1"); }, "ready e1" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d1"); }, "" }, // duplicate
      { [](auto& aDriver) {
         aDriver.m_client.OnFinished(kRequest, false, false, aDriver.m_actions);
       },
        "release e1 d1" } });
}

// The permit request is lost if the owner's connection is not established yet
// or the owner loses its queue. If it were not sent again, the request would
// wait until its wait timeout.
TEST(PermitClient, ResendsPermitRequestWhileWaiting)
{
  RunSteps(
    { { [](auto& aDriver) { aDriver.Begin(MakePlacementRequest({ "d1" })); },
        "ask e1 d1" },
      { [](auto& aDriver) { aDriver.Deny("e1", "d1", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aDriver) {
         aDriver.m_client.OnOwnerChanged(UpstreamId("e1"),
                                         DaemonId("d2"),
                                         aDriver.m_clock.Now(),
                                         aDriver.m_actions);
       },
        "release e1 d1, wait e1 d2" },
      { [](auto& aDriver) { aDriver.AdvanceTime(milliseconds(499)); }, "" },
      { [](auto& aDriver) { aDriver.AdvanceTime(milliseconds(1)); },
        "wait e1 d2" },
      // The new owner does not know yet that it owns the upstream.
      { [](auto& aDriver) {
         aDriver.Deny("e1", "d2", ResultCode::PermitTimeout);
       },
        "" },
      { [](auto& aDriver) { aDriver.AdvanceTime(milliseconds(500)); },
        "wait e1 d2" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d2"); }, "ready e1" },
      { [](auto& aDriver) {
         aDriver.m_client.OnFinished(kRequest, false, false, aDriver.m_actions);
       },
        "release e1 d2" } });
}

// Sending the permit request again does not extend the wait timeout.
TEST(PermitClient, ResendingDoesNotExtendWaitTimeout)
{
  ClientDriver driver;
  driver.Begin(MakePlacementRequest({ "d1" }));
  driver.Deny("e1", "d1", ResultCode::QueueFull);
  driver.TakeActions();
  for (int i = 0; i < 19; ++i) {
    driver.AdvanceTime(milliseconds(500));
    EXPECT_EQ("wait e1 d1", driver.TakeActions());
  }
  driver.AdvanceTime(milliseconds(500));
  EXPECT_EQ("release e1 d1, refused 2010", driver.TakeActions());
  EXPECT_FALSE(driver.m_client.NextTimeout());
}

TEST(PermitClient, DenialWhileWaitingRefusesTheRequest)
{
  RunSteps(
    { { [](auto& aDriver) { aDriver.Begin(MakePlacementRequest({ "d1" })); },
        "ask e1 d1" },
      { [](auto& aDriver) { aDriver.Deny("e1", "d1", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aDriver) {
         aDriver.Deny("e1", "d1", ResultCode::OverCustomerShare);
       },
        "refused 2003" } });
}

TEST(PermitClient, WaitingRequestTriesOthersWhenUpstreamLeaves)
{
  RunSteps(
    { { [](auto& aDriver) {
         aDriver.Begin(MakePlacementRequest({ "d1", "d2" }));
       },
        "ask e1 d1" },
      { [](auto& aDriver) { aDriver.Deny("e1", "d1", ResultCode::QueueFull); },
        "ask e2 d2" },
      { [](auto& aDriver) { aDriver.Deny("e2", "d2", ResultCode::QueueFull); },
        "wait e1 d1" },
      { [](auto& aDriver) { aDriver.Deny("e1", "d1", ResultCode::NoUpstream); },
        "ask e2 d2" },
      { [](auto& aDriver) { aDriver.Deny("e2", "d2", ResultCode::NoUpstream); },
        "refused 2002" } });
}

TEST(PermitClient, UnresponsiveOwnerIsSkippedAndItsLateGrantReleased)
{
  RunSteps(
    { { [](auto& aDriver) {
         aDriver.Begin(MakePlacementRequest({ "d1", "d2" }));
       },
        "ask e1 d1" },
      { [](auto& aDriver) { aDriver.AdvanceTime(milliseconds(249)); }, "" },
      { [](auto& aDriver) { aDriver.AdvanceTime(milliseconds(1)); },
        "release e1 d1, ask e2 d2" },
      { [](auto& aDriver) { aDriver.Grant("e2", "d2"); }, "ready e2" },
      { [](auto& aDriver) {
         PlacementRequest next = MakePlacementRequest({ "d1", "d2" });
         next.m_request = RequestId(8);
         aDriver.Begin(next);
       },
        "ask e2 d2" }, // the owner in backoff is skipped
      { [](auto& aDriver) {
         aDriver.m_client.OnCancel(
           RequestId(8), aDriver.m_clock.Now(), aDriver.m_actions);
       },
        "release e2 d2" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d1"); }, "release e1 d1" } });
}

TEST(PermitClient, SelfPermitsWithoutOwnersAreLimited)
{
  ClientDriver driver;
  for (std::uint64_t i = 0; i < 6; ++i) {
    PlacementRequest placementRequest = MakePlacementRequest({ "", "" }, 2);
    placementRequest.m_request = RequestId(i);
    driver.Begin(placementRequest);
  }
  EXPECT_EQ("self e1, self e1, self e2, self e2, refused 2010, refused 2010",
            driver.TakeActions());
  // A new owner gets a report of the self-permits, and later their releases.
  driver.m_client.OnOwnerChanged(
    UpstreamId("e1"), DaemonId("d9"), driver.m_clock.Now(), driver.m_actions);
  EXPECT_EQ("report e1 d9 0 1", driver.TakeActions());
  driver.m_client.OnFinished(RequestId(1), false, false, driver.m_actions);
  EXPECT_EQ("release e1 d9", driver.TakeActions());
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("report e1 d9 0", driver.TakeActions());
}

TEST(PermitClient, UnreachableUpstreamIsFollowedByTheNextTarget)
{
  const auto unreachable = [](auto& aDriver) {
    aDriver.m_client.OnUnreachable(
      kRequest, aDriver.m_clock.Now(), aDriver.m_actions);
  };
  RunSteps({ { [](auto& aDriver) {
                aDriver.Begin(MakePlacementRequest({ "d1", "" }, 1));
              },
               "ask e1 d1" },
             { [](auto& aDriver) { aDriver.Grant("e1", "d1"); }, "ready e1" },
             { unreachable, "release e1 d1, self e2" },
             { unreachable, "refused 2009" } });
}

TEST(PermitClient, OwnerChangeRedirectsPendingRequest)
{
  const auto changed = [](auto& aDriver) {
    aDriver.m_client.OnOwnerChanged(UpstreamId("e1"),
                                    DaemonId("d3"),
                                    aDriver.m_clock.Now(),
                                    aDriver.m_actions);
  };
  RunSteps(
    { { [](auto& aDriver) { aDriver.Begin(MakePlacementRequest({ "d1" })); },
        "ask e1 d1" },
      { changed, "release e1 d1, ask e1 d3" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d1"); }, "release e1 d1" },
      { [](auto& aDriver) { aDriver.Grant("e1", "d3"); }, "ready e1" },
      { changed, "" } });
}

TEST(PermitClient, DeadlineRefusesRequestWithoutOwnerBackoff)
{
  ClientDriver driver;
  PlacementRequest placementRequest = MakePlacementRequest({ "d1" });
  placementRequest.m_deadline = driver.m_clock.Now() + milliseconds(100);
  driver.Begin(placementRequest);
  driver.AdvanceTime(milliseconds(100));
  EXPECT_EQ("ask e1 d1, release e1 d1, refused 2005", driver.TakeActions());
  driver.Begin(MakePlacementRequest({ "d1" }));
  EXPECT_EQ("ask e1 d1", driver.TakeActions());
  EXPECT_THROW(driver.Begin(MakePlacementRequest({ "d1" })),
               std::invalid_argument);
}

TEST(PermitClient, ReportsUpstreamWithoutPermitsOnce)
{
  ClientDriver driver;
  driver.Begin(MakePlacementRequest({ "d1" }));
  driver.Grant("e1", "d1");
  driver.m_client.OnFinished(kRequest, false, false, driver.m_actions);
  driver.TakeActions();
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("report e1 d1", driver.TakeActions());
  driver.m_client.ReportHeldPermits(driver.m_actions);
  EXPECT_EQ("", driver.TakeActions());
}

} // namespace
} // namespace walnutwing
