#include "walnutwing/routing/admission.h"

#include <gtest/gtest.h>

namespace walnutwing {
namespace {

constexpr std::uint32_t kPlaces = 10;
constexpr Duration kTarget{ 300 };

AdmissionRequest
RequestAt(double aLoad, std::uint32_t aPriority = 0, const char* aCustomer = "")
{
  AdmissionRequest ask;
  ask.m_load = aLoad;
  ask.m_priority = aPriority;
  ask.m_slots = kPlaces;
  ask.m_target = kTarget;
  ask.m_customer = CustomerId(aCustomer);
  return ask;
}

// Requests hold their places for 100 ms, and are answered as they end.
AdmissionControl
Measured(AdmissionOptions aOptions = {})
{
  AdmissionControl admission(aOptions);
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(100), Duration(100), 5, kPlaces);
  }
  return admission;
}

TEST(AdmissionControl, NothingIsRefusedWhilePlacesAreFree)
{
  AdmissionControl admission = Measured();
  AdmissionControl unmeasured({});
  for (double load = 0; load < kPlaces; ++load) {
    EXPECT_TRUE(admission.Decide(RequestAt(load, 9)).m_admitted) << load;
    EXPECT_TRUE(unmeasured.Decide(RequestAt(load, 9)).m_admitted) << load;
  }
}

// Of the target, 270 ms are used; 100 of them go to the work itself.
TEST(AdmissionControl, RefusesWhatWouldBeLate)
{
  AdmissionControl admission = Measured();
  const AdmissionDecision answer = admission.Decide(RequestAt(26));
  EXPECT_EQ(Duration(170), answer.m_wait);
  EXPECT_NEAR(170, answer.m_maxWait.count(), 1);
  EXPECT_TRUE(admission.Decide(RequestAt(25)).m_admitted);
  EXPECT_FALSE(admission.Decide(RequestAt(28)).m_admitted);
}

TEST(AdmissionControl, TimeSpentWaitingIsNotTakenForWork)
{
  AdmissionControl admission({});
  // Twenty at ten places: half of the 200 ms was spent in the queue.
  for (int i = 0; i < 200; ++i) {
    admission.OnServed(Duration(200), Duration(200), 19, kPlaces);
  }
  EXPECT_NEAR(100, admission.Decide(RequestAt(19)).m_wait.count(), 2);
}

// Also when the less urgent kind has the longer target.
TEST(AdmissionControl, LessUrgentIsRefusedFirst)
{
  AdmissionControl admission = Measured();
  AdmissionRequest patient = RequestAt(0, 1);
  patient.m_target = Duration(900);
  EXPECT_TRUE(admission.Decide(patient).m_admitted);
  for (double load = 0; load < 120; ++load) {
    patient.m_load = load;
    const bool urgent = admission.Decide(RequestAt(load, 0)).m_admitted;
    const bool middle = admission.Decide(patient).m_admitted;
    const bool least = admission.Decide(RequestAt(load, 5)).m_admitted;
    EXPECT_TRUE(urgent || !middle) << load;
    EXPECT_TRUE(middle || !least) << load;
  }
  EXPECT_FALSE(admission.Decide(RequestAt(119, 0)).m_admitted);
}

// A less urgent route that had a long target is gone with its configuration.
TEST(AdmissionControl, TargetsOfAnOlderConfigurationDoNotCount)
{
  AdmissionControl admission = Measured();
  AdmissionRequest patient = RequestAt(0, 1);
  patient.m_target = Duration(2000);
  EXPECT_TRUE(admission.Decide(patient).m_admitted);
  EXPECT_TRUE(admission.Decide(RequestAt(60)).m_admitted);
  admission.ClearTargets();
  EXPECT_FALSE(admission.Decide(RequestAt(60)).m_admitted);
}

// One customer with most of the work is refused before all others.
TEST(AdmissionControl, CustomerOverItsShareWaitsLeast)
{
  AdmissionControl admission = Measured();
  for (const char* customer : { "a", "b", "c" }) {
    admission.OnSent(CustomerId(customer));
  }
  for (int i = 0; i < 20; ++i) {
    admission.OnSent(CustomerId("hot"));
  }
  EXPECT_TRUE(admission.Decide(RequestAt(20, 0, "a")).m_admitted);
  EXPECT_FALSE(admission.Decide(RequestAt(20, 0, "hot")).m_admitted);
  EXPECT_TRUE(admission.Decide(RequestAt(9, 0, "hot")).m_admitted);
  for (int i = 0; i < 20; ++i) {
    admission.OnEnded(CustomerId("hot"));
  }
  EXPECT_TRUE(admission.Decide(RequestAt(20, 0, "hot")).m_admitted);
}

TEST(AdmissionControl, LoneCustomerHasNoShareToExceed)
{
  AdmissionControl admission = Measured();
  for (int i = 0; i < 50; ++i) {
    admission.OnSent(CustomerId("only"));
  }
  EXPECT_TRUE(admission.Decide(RequestAt(20, 0, "only")).m_admitted);
}

} // namespace
} // namespace walnutwing
