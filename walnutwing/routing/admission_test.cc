#include "walnutwing/routing/admission.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr std::uint32_t kSlots = 10;
constexpr Duration kTarget{ 300 };

AdmissionRequest
MakeRequest(double aLoad,
            std::uint32_t aPriority = 0,
            const char* aCustomer = "")
{
  AdmissionRequest request;
  request.m_load = aLoad;
  request.m_priority = aPriority;
  request.m_slots = kSlots;
  request.m_target = kTarget;
  request.m_customer = CustomerId(aCustomer);
  return request;
}

// Requests hold their places for 100 ms, and are answered as they end.
AdmissionControl
MakeMeasuredControl(AdmissionOptions aOptions = {})
{
  AdmissionControl admission(aOptions);
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(100), Duration(100), 5, kSlots);
  }
  return admission;
}

TEST(AdmissionControl, NothingIsRefusedWhilePlacesAreFree)
{
  AdmissionControl admission = MakeMeasuredControl();
  AdmissionControl unmeasured({});
  for (double load = 0; load < kSlots; ++load) {
    EXPECT_TRUE(admission.Decide(MakeRequest(load, 9)).m_admitted) << load;
    EXPECT_TRUE(unmeasured.Decide(MakeRequest(load, 9)).m_admitted) << load;
  }
}

// Of the target, 270 ms are used; 100 of them go to the work itself.
TEST(AdmissionControl, RefusesWhatWouldBeLate)
{
  AdmissionControl admission = MakeMeasuredControl();
  const AdmissionDecision decision = admission.Decide(MakeRequest(26));
  EXPECT_EQ(Duration(170), decision.m_wait);
  EXPECT_NEAR(170, decision.m_maxWait.count(), 1);
  EXPECT_TRUE(admission.Decide(MakeRequest(25)).m_admitted);
  EXPECT_FALSE(admission.Decide(MakeRequest(28)).m_admitted);
}

TEST(AdmissionControl, TimeSpentWaitingIsNotTakenForWork)
{
  AdmissionControl admission({});
  // Twenty at ten places: half of the 200 ms was spent in the queue.
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(200), Duration(200), 19, kSlots);
  }
  EXPECT_NEAR(100, admission.Decide(MakeRequest(19)).m_wait.count(), 2);
}

// Also when the less urgent kind has the longer target.
TEST(AdmissionControl, LessUrgentIsRefusedFirst)
{
  AdmissionControl admission = MakeMeasuredControl();
  AdmissionRequest lessUrgent = MakeRequest(0, 1);
  lessUrgent.m_target = Duration(900);
  EXPECT_TRUE(admission.Decide(lessUrgent).m_admitted);
  for (double load = 0; load < 120; ++load) {
    lessUrgent.m_load = load;
    const bool urgent = admission.Decide(MakeRequest(load, 0)).m_admitted;
    const bool middle = admission.Decide(lessUrgent).m_admitted;
    const bool least = admission.Decide(MakeRequest(load, 5)).m_admitted;
    EXPECT_TRUE(urgent || !middle) << load;
    EXPECT_TRUE(middle || !least) << load;
  }
  EXPECT_FALSE(admission.Decide(MakeRequest(119, 0)).m_admitted);
}

// A less urgent route that had a long target is gone with its configuration.
TEST(AdmissionControl, TargetsOfAnOlderConfigurationDoNotCount)
{
  AdmissionControl admission = MakeMeasuredControl();
  AdmissionRequest lessUrgent = MakeRequest(0, 1);
  lessUrgent.m_target = Duration(2000);
  EXPECT_TRUE(admission.Decide(lessUrgent).m_admitted);
  EXPECT_TRUE(admission.Decide(MakeRequest(60)).m_admitted);
  admission.ClearTargets();
  EXPECT_FALSE(admission.Decide(MakeRequest(60)).m_admitted);
}

// One customer with most of the work is refused before all others.
TEST(AdmissionControl, CustomerOverItsShareWaitsLeast)
{
  AdmissionControl admission = MakeMeasuredControl();
  for (const char* customer : { "a", "b", "c" }) {
    admission.OnSent(CustomerId(customer));
  }
  for (int i = 0; i < 20; ++i) {
    admission.OnSent(CustomerId("hot"));
  }
  EXPECT_TRUE(admission.Decide(MakeRequest(20, 0, "a")).m_admitted);
  EXPECT_FALSE(admission.Decide(MakeRequest(20, 0, "hot")).m_admitted);
  EXPECT_TRUE(admission.Decide(MakeRequest(9, 0, "hot")).m_admitted);
  for (int i = 0; i < 20; ++i) {
    admission.OnEnded(CustomerId("hot"));
  }
  EXPECT_TRUE(admission.Decide(MakeRequest(20, 0, "hot")).m_admitted);
}

TEST(AdmissionControl, LoneCustomerHasNoShareToExceed)
{
  AdmissionControl admission = MakeMeasuredControl();
  for (int i = 0; i < 50; ++i) {
    admission.OnSent(CustomerId("only"));
  }
  EXPECT_TRUE(admission.Decide(MakeRequest(20, 0, "only")).m_admitted);
}

} // namespace
} // namespace walnutwing
