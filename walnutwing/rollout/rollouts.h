#ifndef WALNUTWING_ROLLOUT_ROLLOUTS_H_
#define WALNUTWING_ROLLOUT_ROLLOUTS_H_

// Moves the traffic of services to the upstreams of another version, as their
// operators order, and back if that version is bad (docs/design/rollouts.md).
// One instance a router.
//
// Each router decides alone which requests go to the new version, within its
// own budget. All routers count answers by version, share the counts with their
// loads (load_exchange.h), and judge the version by the sums. A router that
// judges it bad stops at once and tells the others. The stages of a roll-out
// are records of the store, written under a condition by the router of the
// lowest rank; a stage takes effect when its record was accepted or is heard
// of, and none is ever taken back.
//
// Without an order nothing is sent, and no choice changes.

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/rollout/answer_pace.h"
#include "walnutwing/rollout/recent_sends.h"
#include "walnutwing/rollout/rollout_types.h"
#include "walnutwing/rollout/service_rollout.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing {

class Rollouts
{
public:
  // aExchange provides the other routers' counts. It must outlive this object.
  Rollouts(RolloutOptions aOptions, const LoadExchange& aExchange);

  // The newest order for its service was read from the store. An order that is
  // known or older changes nothing.
  void OnOrder(const RolloutOrder& aOrder, Time aNow);
  void OnOrderWithdrawn(const ServiceId& aService, Time aNow);

  // A status was read, for a known order or one that is still to be read.
  void OnStatus(const RolloutStatus& aStatus,
                Time aNow,
                StatusSource aSource = StatusSource::Store);

  // The store's statuses were read whole: what is missing does not exist. Until
  // then, no new version gets requests.
  void OnStatusesRead(Time aNow);

  // Another router judged a version bad.
  void OnBadVerdict(const ServiceId& aService,
                    const SoftwareVersion& aTo,
                    const RolloutOrderId& aOrder,
                    Time aNow);

  // Whether versions matter for requests of the service.
  bool IsActive(const ServiceId& aService) const;

  // Whether it is not decided yet to which version the requests go.
  bool IsInProgress(const ServiceId& aService) const;

  // To be called once a request, before its first attempt; counts the request.
  VersionRule RuleFor(const RolloutRequest& aRequest,
                      std::uint32_t aDaemons,
                      Time aNow);

  // For later attempts of a request, and for one that has waited since RuleFor.
  // Until the version is judged, these do not go to it.
  VersionRule RuleForRepeat(const RolloutRequest& aRequest, Time aNow) const;

  // A request, or an attempt of one, is about to be sent.
  void OnSent(const ServiceId& aService,
              const SoftwareVersion& aVersion,
              const UpstreamId& aUpstream,
              std::uint64_t aAffinity,
              Time aNow);
  void OnAnswer(const RolloutAnswer& aAnswer, Time aNow);

  // Adds this router's counters to the loads that it reports.
  void AddTo(UpstreamLoads& aLoads) const;

  // The services for which Tick is to be called.
  std::vector<ServiceId> Active() const;

  // To be called several times a second for each service. aWriterRank: the rank
  // of this router's zone; nullopt if this router may not write.
  void Tick(const ServiceId& aService,
            const RolloutFleetView& aView,
            std::optional<std::uint32_t> aWriterRank,
            Time aNow);

  // A status that is due, to be written only if the store's newest status of
  // the service is still the one that was read last. The caller then calls
  // OnWritten or OnWriteFailed; until then nothing else is due.
  std::optional<RolloutStatus> StatusToWrite(const ServiceId& aService,
                                             Time aNow);
  void OnWritten(const RolloutStatus& aStatus, Time aNow);
  // The store refused it, or gave no answer. What the store has is read before
  // the next attempt.
  void OnWriteFailed(const RolloutStatus& aStatus, Time aNow);

  // What other routers are to be told: the newest known status of each service,
  // and the versions that were judged bad.
  std::vector<RolloutStatus> News() const;
  std::vector<RolloutVerdict> BadVerdicts() const;

  std::vector<RolloutView> Views(Time aNow) const;

  // The changes since the last call, oldest first.
  std::vector<RolloutChange> TakeChanges();

private:
  ServiceRollout* Find(const ServiceId& aService);
  const ServiceRollout* Find(const ServiceId& aService) const;
  void Start(const RolloutOrder& aOrder, Time aNow);
  void CollectChanges(ServiceRollout& aRollout);

  RolloutOptions m_options;
  const LoadExchange& m_exchange;
  bool m_statusesRead = false;
  std::map<ServiceId, ServiceRollout> m_rollouts; // the newest of each service
  // Statuses of orders that were not read yet.
  std::map<ServiceId, std::pair<RolloutStatus, StatusSource>> m_early;
  AnswerPace m_pace;
  RecentSends m_sends;
  std::vector<RolloutChange> m_changes;
};

} // namespace walnutwing

#endif // WALNUTWING_ROLLOUT_ROLLOUTS_H_
