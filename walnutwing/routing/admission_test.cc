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

// After requests that used a slot for 100 ms and were answered at their end.
AdmissionControl
MakeMeasuredControl(AdmissionOptions aOptions = {})
{
  AdmissionControl admission(aOptions);
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(100), Duration(100), 5, kSlots);
  }
  return admission;
}

TEST(AdmissionControl, AdmitsEveryRequestWhileSlotsAreFree)
{
  AdmissionControl admission = MakeMeasuredControl();
  AdmissionControl unmeasured({});
  for (double load = 0; load < kSlots; ++load) {
    EXPECT_TRUE(admission.Decide(MakeRequest(load, 9)).m_admitted) << load;
    EXPECT_TRUE(unmeasured.Decide(MakeRequest(load, 9)).m_admitted) << load;
  }
}

// 270 ms of the 300 ms target may be used; 100 ms of them are the time to the
// first byte, so a request may wait 170 ms.
TEST(AdmissionControl, RefusesRequestsThatWouldMissTheirTarget)
{
  AdmissionControl admission = MakeMeasuredControl();
  const AdmissionDecision decision = admission.Decide(MakeRequest(26));
  EXPECT_EQ(Duration(170), decision.m_wait);
  EXPECT_NEAR(170, decision.m_maxWait.count(), 1);
  EXPECT_TRUE(admission.Decide(MakeRequest(25)).m_admitted);
  EXPECT_FALSE(admission.Decide(MakeRequest(28)).m_admitted);
}

TEST(AdmissionControl, WaitingTimeIsNotCountedAsSlotTime)
{
  AdmissionControl admission({});
  // 20 requests at 10 slots: half of the 200 ms was spent in the queue.
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(200), Duration(200), 19, kSlots);
  }
  EXPECT_NEAR(100, admission.Decide(MakeRequest(19)).m_wait.count(), 2);
}

// Load: all upstreams have twice their slots, but the counts by which requests
// were sent, some 100 ms old, say that only the slots are in use. Guards
// against a wait that counts in the slot time and again in the time to the
// first byte: half of the 300 ms target was refused, though 100 ms were free.
TEST(AdmissionControl, WaitBehindOldCountsIsNotCountedTwice)
{
  AdmissionControl admission({});
  // The upstream reports with its answers how many requests it has.
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(120), Duration(120), 11, 6);
  }
  AdmissionRequest request = MakeRequest(11);
  request.m_slots = 6;
  const AdmissionDecision decision = admission.Decide(request);
  EXPECT_NEAR(60, decision.m_wait.count(), 2);
  EXPECT_NEAR(210, decision.m_maxWait.count(), 2);
}

// This holds also when the less urgent requests have a longer target.
TEST(AdmissionControl, RefusesLessUrgentRequestsFirst)
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

// A less urgent route with a long target, removed by a new configuration, must
// not extend the wait of other requests.
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

// A customer with most of the requests in progress is refused before others.
TEST(AdmissionControl, CustomerOverItsShareMayWaitOnlyTheMinimum)
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

TEST(AdmissionControl, SingleCustomerHasNoShareLimit)
{
  AdmissionControl admission = MakeMeasuredControl();
  for (int i = 0; i < 50; ++i) {
    admission.OnSent(CustomerId("only"));
  }
  EXPECT_TRUE(admission.Decide(MakeRequest(20, 0, "only")).m_admitted);
}

} // namespace
} // namespace walnutwing
