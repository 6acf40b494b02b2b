#ifndef WALNUTWING_ROLLOUT_SERVICE_ROLLOUT_H_
#define WALNUTWING_ROLLOUT_SERVICE_ROLLOUT_H_

// One order of a roll-out, as one router sees it: its stage, its share of the
// requests, and the status that is due to be written.
//
// The stage moves forward only, by a status that the store has accepted from
// this router or that was heard of. A version that is found bad is rolled back
// here at once, before the store knows. The store's answer decides only between
// Completed and RolledBack: if another router completed the roll-out first, the
// old upstreams are gone.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/rollout/exposure_budget.h"
#include "walnutwing/rollout/rollout_schedule.h"
#include "walnutwing/rollout/rollout_types.h"
#include "walnutwing/rollout/version_evidence.h"
#include "walnutwing/rollout/version_judge.h"
#include "walnutwing/rollout/version_split.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing {

class ServiceRollout
{
public:
  // aStatusesRead: the store's statuses are known. aHasStatus: this order has
  // one, so that it has not just begun. aExchange must outlive this object.
  ServiceRollout(RolloutOrder aOrder,
                 RolloutOptions aOptions,
                 const LoadExchange& aExchange,
                 bool aStatusesRead,
                 bool aHasStatus,
                 Time aNow);

  // Another order replaces this one.
  void OnReplaced(Time aNow);
  // This order replaces another one.
  void TakeOverFrom(const ServiceRollout& aFormer, Time aNow);
  // The same order was read again, or the operator ordered the same version
  // again while this is in progress, which goes on.
  void OnRepeated(const RolloutOrder& aOrder, Time aNow);
  void OnWithdrawn(Time aNow);

  void OnStatus(const RolloutStatus& aStatus, StatusSource aSource, Time aNow);
  void OnStatusesRead(Time aNow);
  void OnBadVerdict(const RolloutOrderId& aOrder, Time aNow);

  bool IsActive() const { return !IsSettled() || IsRolledBack(); }
  bool NeedsTicks() const { return !IsSettled(); }
  bool IsRolledBack() const { return m_stage == RolloutStage::RolledBack; }

  VersionRule RuleFor(const RolloutRequest& aRequest,
                      std::uint32_t aDaemons,
                      Time aNow);
  VersionRule RuleForRepeat(const RolloutRequest& aRequest, Time aNow) const;

  void OnSent(const SoftwareVersion& aVersion, const UpstreamId& aUpstream);
  void OnAnswer(const RolloutAnswer& aAnswer, std::optional<bool> aSlow);
  // Whether answers of this version are those that the new one is compared
  // with.
  bool IsOld(const SoftwareVersion& aVersion) const;

  void AddTo(UpstreamLoads& aLoads) const;
  void Tick(const RolloutFleetView& aView,
            std::optional<std::uint32_t> aWriterRank,
            Time aNow);

  std::optional<RolloutStatus> StatusToWrite(Time aNow);
  void OnWritten(const RolloutStatus& aStatus, Time aNow);
  void OnWriteFailed(Time aNow);

  const RolloutOrder& Order() const { return m_order; }
  RolloutStage Stage() const { return m_stage; }
  // The newest known status; nullopt if none is known or needed any more.
  std::optional<RolloutStatus> News() const;
  std::optional<RolloutVerdict> Verdict() const;
  RolloutView View(Time aNow) const;
  std::vector<RolloutChange> TakeChanges();

private:
  bool IsFor(const SoftwareVersion& aTo, const RolloutOrderId& aOrder) const;
  bool IsSettled() const { return m_settled; }
  bool MayProbe(Time aNow) const;
  bool IsStrict(Time aNow) const;
  double Share(Time aNow) const;
  std::size_t Focus() const;
  RolloutTimes Times() const;
  bool HasEvidence() const;
  bool AllowanceCovers(Time aNow) const;
  RolloutStatus StatusOf(RolloutStage aStage) const;

  bool HasOtherVersion() const;
  VersionRule OnlyNew(Time aNow) const;
  VersionRule NotNew(Time aNow) const;
  VersionRule StreamRule(const SoftwareVersion& aVersion, Time aNow) const;

  void Enter(RolloutStage aStage,
             RolloutReason aWhy,
             const std::string& aRoute,
             Time aNow);
  void AdoptStage(RolloutStage aStage, StatusSource aSource, Time aNow);
  void Judge(Time aNow);
  // The next stage if it is due; sets m_heldBy.
  std::optional<RolloutStage> NextStage(Time aNow);
  std::optional<RolloutStage> AfterTrial(Time aNow);
  std::optional<RolloutStage> AfterSurge(Time aNow);
  std::optional<RolloutStage> AfterSwitch(Time aNow);
  std::optional<RolloutStage> AfterDrain(Time aNow);
  // The stage that the store should have now.
  std::optional<RolloutStage> StageToWrite() const;
  bool Hold(RolloutHold aHold, bool aIf);

  RolloutOrder m_order;
  RolloutOptions m_options;
  const LoadExchange& m_exchange;

  RolloutStage m_stage = RolloutStage::Trial;
  Time m_startedAt; // of the roll-out, as far as known
  Time m_stageAt;   // when this router learned of the stage
  bool m_sawStart = false;
  // Whether the store may have a status that this router has not read.
  bool m_known = false;
  bool m_completedBefore = false;        // for the same version
  std::set<SoftwareVersion> m_abandoned; // of replaced orders
  bool m_bad = false;                    // judged, here or elsewhere
  Time m_strictUntil;
  bool m_settled = false; // its end is some time ago

  std::optional<RolloutStage> m_stored; // what the store has of this order
  bool m_storedSeen = false;            // since the last complete reading
  std::optional<RolloutStage> m_next;   // due
  std::optional<RolloutStage> m_target; // to be written
  Time m_targetAt;                      // since when
  std::optional<std::uint32_t> m_rank;
  bool m_wroteLast = false; // this router wrote the newest known stage
  std::optional<Time> m_writingSince;
  Time m_retryAt;

  ExposureBudget m_budget;
  VersionSplit m_split;
  VersionEvidence m_evidence;
  VersionJudge m_judge;
  EvidenceSums m_sums;
  std::uint64_t m_oldAnswers = 0;   // in the last sums
  std::optional<Time> m_sumsFellAt; // when they were last less than before
  RolloutFleetView m_view;
  // Of the requests of this router to the old version, in Trial.
  Duration m_longest{};
  std::optional<Time> m_freshAt;    // when the fleet's sums were known last
  std::optional<Time> m_emptySince; // nothing in flight at the old version
  RolloutHold m_heldBy = RolloutHold::None;
  std::vector<RolloutChange> m_changes;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_SERVICE_ROLLOUT_H_
