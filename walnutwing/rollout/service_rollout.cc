#include "walnutwing/rollout/service_rollout.h"

#include <algorithm>
#include <utility>

namespace walnutwing {
namespace {

// Without the fleet's sums for longer, nothing goes to an unjudged version.
constexpr Duration kMaxSumsAge = std::chrono::milliseconds(1500);
// The end of a roll-out is told to other routers for this long, and a bad
// version gets nothing, if there is no other.
constexpr Duration kSettleTime = std::chrono::seconds(60);
// The old version's upstreams stop, but are listed for a while.
constexpr Duration kStopTime = std::chrono::seconds(10);
// A writer waits for this long per rank. The one that wrote last does not, as
// those before it are probably dead.
constexpr Duration kRankDelay = std::chrono::milliseconds(700);
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
// After the store came back older: until what the others know was heard.
constexpr Duration kRestoreWait = std::chrono::milliseconds(1500);
// A write whose outcome was never reported.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
// The old version's requests must be 0 for over two periods of the loads.
constexpr Duration kEmptyTime = std::chrono::milliseconds(700);
// By then every router in touch has heard of Drain.
constexpr Duration kDrainSpread = std::chrono::seconds(1);

constexpr std::uint64_t kMinAnswers = 30;
constexpr std::uint64_t kMinAnswersOfRoute = 4;
// Routes with a smaller share of the answers are not waited for.
constexpr double kMinRouteShare = 0.05;
// In Trial, to tell a bad version from a bad upstream.
constexpr std::size_t kMinTrialUpstreams = 2;
constexpr Duration kMinRateTime = std::chrono::seconds(1);
// The duration may be over, and requests come all the same.
constexpr Duration kMinTimeLeft = std::chrono::seconds(10);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

ServiceRollout::ServiceRollout(RolloutOrder aOrder,
                               RolloutOptions aOptions,
                               const LoadExchange& aExchange,
                               bool aStatusesRead,
                               bool aHasStatus,
                               Time aNow)
  : m_order(std::move(aOrder))
  , m_options(aOptions)
  , m_exchange(aExchange)
  , m_startedAt(aNow)
  , m_stageAt(aNow)
  , m_sawStart(aStatusesRead && !aHasStatus)
  , m_known(aStatusesRead)
  , m_budget(aOptions)
  , m_split(aOptions.m_phase)
  , m_evidence(m_order.m_service, m_order.m_to)
{
  m_changes.push_back({ m_order.m_service,
                        m_order.m_to,
                        std::nullopt,
                        m_stage,
                        RolloutReason::Ordered,
                        {},
                        {} });
}

bool
ServiceRollout::IsFor(const SoftwareVersion& aTo,
                      const RolloutOrderId& aOrder) const
{
  // A restored store has another era.
  return aTo == m_order.m_to && aOrder.m_offset == m_order.m_id.m_offset;
}

void
ServiceRollout::OnReplaced(Time aNow)
{
  if (!IsFinal(m_stage)) {
    Enter(RolloutStage::RolledBack, RolloutReason::Replaced, "", aNow);
  }
}

void
ServiceRollout::TakeOverFrom(const ServiceRollout& aFormer, Time aNow)
{
  m_abandoned = aFormer.m_abandoned;
  if (aFormer.m_stage != RolloutStage::Completed) {
    m_abandoned.insert(aFormer.m_order.m_to);
  }
  m_abandoned.erase(m_order.m_to);
  m_view.m_usableVersions = aFormer.m_view.m_usableVersions;
  m_completedBefore = aFormer.m_stage == RolloutStage::Completed &&
                      aFormer.m_order.m_to == m_order.m_to;
  if (aFormer.m_bad) {
    m_strictUntil = aNow + kSettleTime;
  }
}

void
ServiceRollout::OnRepeated(const RolloutOrder& aOrder, Time aNow)
{
  if (aOrder.m_id.m_era != m_order.m_id.m_era) {
    m_retryAt = aNow + kRestoreWait;
  }
  if (aOrder.m_id.m_offset != m_order.m_id.m_offset) {
    m_stored.reset();
  }
  m_order = aOrder;
}

void
ServiceRollout::OnWithdrawn(Time aNow)
{
  if (!IsFinal(m_stage)) {
    Enter(RolloutStage::RolledBack, RolloutReason::Withdrawn, "", aNow);
  }
}

void
ServiceRollout::Enter(RolloutStage aStage,
                      RolloutReason aWhy,
                      const std::string& aRoute,
                      Time aNow)
{
  const auto all = m_sums.m_routes.find(aRoute);
  m_changes.push_back(
    { m_order.m_service,
      m_order.m_to,
      m_stage,
      aStage,
      aWhy,
      aRoute,
      all == m_sums.m_routes.end() ? RolloutEvidence() : all->second });
  m_stage = aStage;
  m_stageAt = aNow;
  m_next.reset();
  m_emptySince.reset();
  m_settled = false;
  if (IsFinal(aStage)) {
    m_strictUntil =
      aNow + (aStage == RolloutStage::Completed ? kStopTime : kSettleTime);
  }
}

// A stage that the store has accepted or that another router knows.
void
ServiceRollout::AdoptStage(RolloutStage aStage, StatusSource aSource, Time aNow)
{
  if (aStage == RolloutStage::Completed && IsRolledBack() &&
      m_stored != RolloutStage::RolledBack) {
    m_bad = false; // the old upstreams are gone
    Enter(aStage, RolloutReason::Told, "", aNow);
    return;
  }
  if (IsFinal(m_stage) || aStage <= m_stage) {
    return;
  }
  m_wroteLast = false;
  // A status does not say why it was rolled back; routers tell verdicts apart.
  m_bad = aStage == RolloutStage::RolledBack && aSource == StatusSource::Store;
  Enter(aStage,
        m_next == aStage ? RolloutReason::Due : RolloutReason::Told,
        "",
        aNow);
}

void
ServiceRollout::OnStatus(const RolloutStatus& aStatus,
                         StatusSource aSource,
                         Time aNow)
{
  const bool sameVersion = aStatus.m_to == m_order.m_to;
  if (sameVersion && aStatus.m_stage == RolloutStage::Completed &&
      aStatus.m_order.m_offset < m_order.m_id.m_offset) {
    m_completedBefore = true;
  }
  if (aStatus.m_stage == RolloutStage::Completed) {
    m_abandoned.erase(aStatus.m_to); // it was replaced too late
  }
  if (!IsFor(aStatus.m_to, aStatus.m_order)) {
    return;
  }
  const bool wasOpen = !IsFinal(m_stage);
  m_known = true;
  if (!m_sawStart) {
    m_startedAt = std::min(m_startedAt, aStatus.m_startedAt);
  }
  const RolloutStage before = m_stage;
  AdoptStage(aStatus.m_stage, aSource, aNow);
  if (aSource == StatusSource::Router && m_stage != before &&
      m_stage != RolloutStage::RolledBack) {
    m_stored = m_stage; // others know these only from the store
  }
  if (aSource == StatusSource::Store) {
    if (m_stored > aStatus.m_stage) {
      m_retryAt = aNow + kRestoreWait;
    }
    m_stored = aStatus.m_stage;
    m_storedSeen = true;
  }
  const Duration age = aNow - m_startedAt;
  if (!m_sawStart && wasOpen && IsFinal(m_stage) &&
      age > m_order.m_duration + kSettleTime) {
    // It ended long before this router started.
    m_strictUntil = aNow;
    m_stageAt = aNow - kSettleTime - Duration(1);
    m_settled = m_stored == m_stage;
  }
}

void
ServiceRollout::OnStatusesRead(Time aNow)
{
  if (!m_known) {
    m_known = true;
    m_stageAt = aNow;
  }
  if (!m_storedSeen && m_stored) {
    m_stored.reset();
    m_retryAt = aNow + kRestoreWait;
  }
  m_storedSeen = false;
}

void
ServiceRollout::OnBadVerdict(const RolloutOrderId& aOrder, Time aNow)
{
  if (!IsFor(m_order.m_to, aOrder) || m_bad ||
      m_stage == RolloutStage::Completed) {
    return;
  }
  m_known = true;
  m_bad = true;
  if (IsRolledBack()) {
    m_strictUntil = aNow + kSettleTime;
    return;
  }
  Enter(RolloutStage::RolledBack, RolloutReason::VerdictHeard, "", aNow);
}

// Whether a version that is not judged yet may get requests.
bool
ServiceRollout::MayProbe(Time aNow) const
{
  return m_freshAt && aNow - *m_freshAt <= kMaxSumsAge;
}

// Whether a request that cannot go where it should is better refused.
bool
ServiceRollout::IsStrict(Time aNow) const
{
  switch (m_stage) {
    case RolloutStage::Drain:
      return m_view.m_newWarmSlots != 0;
    case RolloutStage::Completed:
      return aNow < m_strictUntil;
    case RolloutStage::RolledBack:
      return m_bad && aNow < m_strictUntil;
    default:
      return aNow < m_strictUntil; // of a bad version that was replaced
  }
}

VersionRule
ServiceRollout::OnlyNew(Time aNow) const
{
  VersionRule rule;
  rule.m_only = { m_order.m_to };
  rule.m_exclude = m_abandoned;
  rule.m_strict = m_stage >= RolloutStage::Drain && IsStrict(aNow);
  return rule;
}

bool
ServiceRollout::HasOtherVersion() const
{
  const std::set<SoftwareVersion>& usable = m_view.m_usableVersions;
  return std::any_of(usable.begin(), usable.end(), [&](const auto& aVersion) {
    return aVersion != m_order.m_to && !m_abandoned.contains(aVersion);
  });
}

// If an operator orders the version that serves, to give up another one, only
// the other one is left out.
VersionRule
ServiceRollout::NotNew(Time aNow) const
{
  VersionRule rule;
  rule.m_exclude = m_abandoned;
  if (m_abandoned.empty() || HasOtherVersion()) {
    rule.m_exclude.insert(m_order.m_to);
  }
  rule.m_strict = IsStrict(aNow);
  return rule;
}

// A stream goes on with its version, or not at all.
VersionRule
ServiceRollout::StreamRule(const SoftwareVersion& aVersion, Time aNow) const
{
  VersionRule rule;
  rule.m_strict = true;
  if (aVersion == m_order.m_to && m_bad && IsStrict(aNow)) {
    rule.m_exclude = { aVersion };
    return rule;
  }
  rule.m_only = { aVersion };
  return rule;
}

VersionRule
ServiceRollout::RuleFor(const RolloutRequest& aRequest,
                        std::uint32_t aDaemons,
                        Time aNow)
{
  m_budget.OnRequest();
  if (aRequest.m_streamVersion) {
    return StreamRule(*aRequest.m_streamVersion, aNow);
  }
  if (m_stage == RolloutStage::Drain || m_stage == RolloutStage::Completed) {
    return OnlyNew(aNow);
  }
  const double share = Share(aNow);
  if (share <= 0 || !m_split.Takes(aRequest.m_affinity, share)) {
    return NotNew(aNow);
  }
  if (m_stage != RolloutStage::Switch) {
    if (!m_budget.MayOffer(aDaemons, aNow)) {
      return NotNew(aNow);
    }
    m_budget.OnOffered(aNow);
  }
  VersionRule rule = OnlyNew(aNow);
  rule.m_focus = Focus();
  return rule;
}

VersionRule
ServiceRollout::RuleForRepeat(const RolloutRequest& aRequest, Time aNow) const
{
  if (aRequest.m_streamVersion) {
    return StreamRule(*aRequest.m_streamVersion, aNow);
  }
  switch (m_stage) {
    case RolloutStage::Switch: {
      VersionRule rule;
      rule.m_exclude = m_abandoned;
      return rule;
    }
    case RolloutStage::Drain:
    case RolloutStage::Completed:
      return OnlyNew(aNow);
    default:
      return NotNew(aNow);
  }
}

void
ServiceRollout::OnSent(const SoftwareVersion& aVersion,
                       const UpstreamId& aUpstream)
{
  if (aVersion == m_order.m_to) {
    m_budget.OnSent();
    m_evidence.AddUpstream(aUpstream);
  }
}

bool
ServiceRollout::IsOld(const SoftwareVersion& aVersion) const
{
  const bool isNew =
    aVersion == m_order.m_to && m_stage != RolloutStage::Completed;
  return !isNew && !m_abandoned.contains(aVersion);
}

void
ServiceRollout::OnAnswer(const RolloutAnswer& aAnswer,
                         std::optional<bool> aSlow)
{
  const bool isNew = aAnswer.m_version == m_order.m_to;
  if (!IsFinal(m_stage) && (isNew || IsOld(aAnswer.m_version))) {
    m_evidence.OnAnswer(aAnswer, isNew, aSlow);
  }
  if (!isNew && m_stage < RolloutStage::Surge) {
    m_longest = std::max(m_longest, aAnswer.m_total.value_or(Duration(0)));
  }
}

void
ServiceRollout::AddTo(UpstreamLoads& aLoads) const
{
  if (!IsFinal(m_stage)) {
    m_evidence.AddTo(aLoads);
  }
}

RolloutTimes
ServiceRollout::Times() const
{
  return PlanRollout(m_order.m_duration, m_longest);
}

double
ServiceRollout::Share(Time aNow) const
{
  if (!m_known) {
    return 0;
  }
  const RolloutTimes times = Times();
  switch (m_stage) {
    case RolloutStage::Trial: {
      if (!MayProbe(aNow)) {
        return 0;
      }
      const auto all = m_sums.m_routes.find("");
      const Duration time = aNow - m_stageAt;
      if (all == m_sums.m_routes.end() || time < kMinRateTime) {
        return TrialShare(0, times, m_options);
      }
      const auto answers = static_cast<double>(all->second.m_old.m_answers);
      return TrialShare(answers / Seconds(time), times, m_options);
    }
    case RolloutStage::Surge:
      return MayProbe(aNow) ? SurgeShare(m_options) : 0;
    case RolloutStage::Switch:
      return std::min(
        SwitchShare(aNow - m_stageAt, times),
        CapacityShare(m_view, aNow - m_startedAt >= times.m_drain));
    case RolloutStage::Drain:
    case RolloutStage::Completed:
      return 1;
    default:
      return 0;
  }
}

std::size_t
ServiceRollout::Focus() const
{
  switch (m_stage) {
    case RolloutStage::Trial:
      return FocusOf(
        m_view, TrialShare(0, Times(), m_options), kMinTrialUpstreams);
    case RolloutStage::Surge:
      return FocusOf(m_view, SurgeShare(m_options), 1);
    default:
      return 0;
  }
}

void
ServiceRollout::Tick(const RolloutFleetView& aView,
                     std::optional<std::uint32_t> aWriterRank,
                     Time aNow)
{
  m_view = aView;
  for (const UpstreamId& id : aView.m_newUpstreamIds) {
    m_evidence.AddUpstream(id);
  }
  m_rank = aWriterRank;
  if (aView.m_fresh) {
    m_freshAt = aNow;
  } else {
    m_emptySince.reset();
  }
  m_settled = IsFinal(m_stage) && (m_stored == m_stage || !m_rank) &&
              aNow - m_stageAt > kSettleTime;
  if (m_writingSince && aNow - *m_writingSince > kWriteTimeout) {
    OnWriteFailed(aNow);
  }
  if (!IsFinal(m_stage)) {
    Judge(aNow);
  }
  m_next = NextStage(aNow);
  const std::optional<RolloutStage> target = StageToWrite();
  if (target != m_target) {
    m_target = target;
    m_targetAt = aNow;
  }
}

void
ServiceRollout::Judge(Time aNow)
{
  m_sums = m_evidence.Sums(m_exchange, aNow);
  const std::uint64_t oldAnswers = m_sums.m_routes[""].m_old.m_answers;
  if (oldAnswers < m_oldAnswers) {
    m_sumsFellAt = aNow;
  }
  m_oldAnswers = oldAnswers;
  const bool moving = m_stage >= RolloutStage::Switch;
  const auto bad = m_judge.Update(m_sums, m_view.m_newUpstreams, moving, aNow);
  if (bad) {
    m_bad = true;
    Enter(RolloutStage::RolledBack, bad->m_why, bad->m_route, aNow);
  }
}

bool
ServiceRollout::HasEvidence() const
{
  const auto all = m_sums.m_routes.find("");
  if (all == m_sums.m_routes.end() ||
      all->second.m_new.m_answers < kMinAnswers) {
    return false;
  }
  const double least =
    kMinRouteShare * static_cast<double>(all->second.m_old.m_answers);
  return std::all_of(
    m_sums.m_routes.begin(), m_sums.m_routes.end(), [&](const auto& aEntry) {
      const RolloutEvidence& route = aEntry.second;
      return static_cast<double>(route.m_old.m_answers) < least ||
             route.m_new.m_answers >= kMinAnswersOfRoute;
    });
}

// Notes why the roll-out stands still.
bool
ServiceRollout::Hold(RolloutHold aHold, bool aIf)
{
  if (aIf) {
    m_heldBy = aHold;
  }
  return aIf;
}

std::optional<RolloutStage>
ServiceRollout::NextStage(Time aNow)
{
  m_heldBy = RolloutHold::None;
  if (IsFinal(m_stage) || Hold(RolloutHold::StatusUnknown, !m_known) ||
      Hold(RolloutHold::NoUpstreams, m_view.m_newUpstreams == 0) ||
      Hold(RolloutHold::FleetUnknown, !m_view.m_fresh) ||
      Hold(RolloutHold::Store, !m_stored)) {
    return std::nullopt;
  }
  if (m_completedBefore && m_view.m_oldUpstreams == 0) {
    return RolloutStage::Completed;
  }
  if (aNow - m_stageAt < MinTimeIn(m_stage, Times())) {
    return std::nullopt;
  }
  switch (m_stage) {
    case RolloutStage::Trial:
      return AfterTrial(aNow);
    case RolloutStage::Surge:
      return AfterSurge(aNow);
    case RolloutStage::Switch:
      return AfterSwitch(aNow);
    default:
      return AfterDrain(aNow);
  }
}

std::optional<RolloutStage>
ServiceRollout::AfterTrial(Time aNow)
{
  const RolloutTimes times = Times();
  const Duration time = aNow - m_startedAt;
  if (time < times.m_surge) {
    return std::nullopt;
  }
  if (HasEvidence()) {
    return RolloutStage::Surge;
  }
  if (Hold(RolloutHold::Evidence,
           time < times.m_evidence || m_judge.InDoubt())) {
    return std::nullopt;
  }
  return AllowanceCovers(aNow) ? RolloutStage::Switch : RolloutStage::Surge;
}

// Whether all requests of the time that is left are within the allowance, so
// that a version may be switched to without evidence.
bool
ServiceRollout::AllowanceCovers(Time aNow) const
{
  const auto all = m_sums.m_routes.find("");
  const std::uint64_t answers =
    all == m_sums.m_routes.end()
      ? 0
      : all->second.m_old.m_answers + all->second.m_new.m_answers;
  const Duration time = std::max(aNow - m_startedAt, Duration(1));
  const Duration left = std::max(m_order.m_duration - time, kMinTimeLeft);
  return static_cast<double>(answers) * Seconds(left) <=
         m_options.m_exposureAllowance * Seconds(time);
}

std::optional<RolloutStage>
ServiceRollout::AfterSurge(Time aNow)
{
  const RolloutTimes times = Times();
  const Duration time = aNow - m_startedAt;
  if (time < times.m_switch) {
    return std::nullopt;
  }
  const bool isKnown = HasEvidence() || AllowanceCovers(aNow);
  if (Hold(RolloutHold::Evidence, !isKnown || m_judge.InDoubt())) {
    return std::nullopt;
  }
  return RolloutStage::Switch;
}

std::optional<RolloutStage>
ServiceRollout::AfterSwitch(Time aNow)
{
  const Duration time = aNow - m_startedAt;
  const bool late = time >= Times().m_drain;
  if (Hold(RolloutHold::Capacity, late && CapacityShare(m_view, true) < 1) ||
      !late) {
    return std::nullopt;
  }
  return RolloutStage::Drain;
}

std::optional<RolloutStage>
ServiceRollout::AfterDrain(Time aNow)
{
  if (m_view.m_oldRequests != 0U) {
    m_emptySince.reset();
  } else {
    m_emptySince = m_emptySince.value_or(aNow);
  }
  // Sums that have fallen lack a router, whose requests are not seen.
  const bool whole = !m_sumsFellAt || aNow - *m_sumsFellAt >= kMaxSumsAge;
  const bool empty =
    whole && m_emptySince && aNow - *m_emptySince >= kEmptyTime;
  // All requests in flight then have ended, as their callers were told.
  const bool over =
    aNow - m_stageAt > m_view.m_maxTimeout + kDrainSpread && IsStrict(aNow);
  if (Hold(RolloutHold::OldRequests, !empty && !over)) {
    return std::nullopt;
  }
  return RolloutStage::Completed;
}

RolloutStatus
ServiceRollout::StatusOf(RolloutStage aStage) const
{
  return { m_order.m_service, m_order.m_to, aStage, m_order.m_id, m_startedAt };
}

std::optional<RolloutStage>
ServiceRollout::StageToWrite() const
{
  if (!m_known || (m_stored && IsFinal(*m_stored))) {
    return std::nullopt;
  }
  if (!m_stored || *m_stored < m_stage) {
    return m_stage;
  }
  return m_next;
}

std::optional<RolloutStatus>
ServiceRollout::StatusToWrite(Time aNow)
{
  // The verdict may have come since the last Tick.
  const std::optional<RolloutStage> target = StageToWrite();
  if (!target || target != m_target || !m_rank || m_writingSince ||
      aNow < m_retryAt) {
    return std::nullopt;
  }
  if (!m_wroteLast && aNow - m_targetAt < *m_rank * kRankDelay) {
    return std::nullopt;
  }
  m_writingSince = aNow;
  return StatusOf(*target);
}

void
ServiceRollout::OnWritten(const RolloutStatus& aStatus, Time aNow)
{
  m_writingSince.reset();
  OnStatus(aStatus, StatusSource::Store, aNow);
  m_wroteLast = m_wroteLast || IsFor(aStatus.m_to, aStatus.m_order);
}

void
ServiceRollout::OnWriteFailed(Time aNow)
{
  m_writingSince.reset();
  m_retryAt = aNow + kRetryDelay;
}

std::optional<RolloutStatus>
ServiceRollout::News() const
{
  if (!m_known || IsSettled()) {
    return std::nullopt;
  }
  return StatusOf(m_stage);
}

std::optional<RolloutVerdict>
ServiceRollout::Verdict() const
{
  if (!m_bad || IsSettled()) {
    return std::nullopt;
  }
  return RolloutVerdict{ m_order.m_service, m_order.m_to, m_order.m_id };
}

RolloutView
ServiceRollout::View(Time aNow) const
{
  RolloutView view;
  view.m_order = m_order;
  view.m_stage = m_stage;
  view.m_share = Share(aNow);
  const auto all = m_sums.m_routes.find("");
  if (all != m_sums.m_routes.end()) {
    view.m_evidence = all->second;
  }
  const bool writing = m_rank && m_target && m_stored != m_target;
  view.m_heldBy = writing ? RolloutHold::Store : m_heldBy;
  view.m_requests = m_budget.Requests();
  view.m_sentToNew = m_budget.Sent();
  return view;
}

std::vector<RolloutChange>
ServiceRollout::TakeChanges()
{
  return std::exchange(m_changes, {});
}

} // namespace walnutwing
