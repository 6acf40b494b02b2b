#ifndef WALNUTWING_ROUTING_SEND_LIMITER_H_
#define WALNUTWING_ROUTING_SEND_LIMITER_H_

// Keeps the requests that all daemons together send to an upstream within the
// limit that the upstream states.
//
// The hub of the upstream's zone grants permits, one a request, from a token
// bucket for each limited upstream. A daemon asks for a permit before it sends;
// if none is left it is told how long that will last, and does not ask again
// meanwhile. Equal shares of the limit would need no messages, but a limit of a
// few requests a second divided by hundreds of daemons leaves each of them one
// request in minutes, and requests come to daemons unevenly.
//
// A hub that does not answer is replaced by the next candidate, which grants
// permits only if it is the hub by its own view. While neither answers, each
// daemon uses an equal share of a part of the limit; that part and one hub that
// still grants permits stay within one and a half times the limit together.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/routing/fleet_roster.h"
#include "walnutwing/routing/request_limits.h"

namespace walnutwing {

struct SendPermitRequest
{
  std::uint32_t m_upstream = 0; // its LoadKey
  std::uint32_t m_number = 0;   // identifies the request at its sender
  double m_perSecond = 0;       // the limit as the sender knows it
  bool m_spareOnly = false;     // only if there are permits to spare
};

enum class SendPermitOutcome
{
  Granted,
  Denied,   // none is left
  NotOwner, // another daemon grants permits
};

struct SendPermitReply
{
  std::uint32_t m_number = 0;
  SendPermitOutcome m_outcome = SendPermitOutcome::Denied;
  Duration m_wait{}; // if denied: until the next permit
};

// The result of asking for a permit.
struct SendPermitAnswer
{
  SendPermitOutcome m_outcome = SendPermitOutcome::Denied;
  // Set if another daemon has to be asked; m_outcome means nothing then.
  std::optional<SendPermitRequest> m_request;
  std::string m_to; // its address
};

class SendLimiter
{
public:
  explicit SendLimiter(DaemonId aSelf)
    : m_self(std::move(aSelf))
  {
  }
  SendLimiter(const SendLimiter&) = delete;
  SendLimiter& operator=(const SendLimiter&) = delete;

  // The daemons of the fleet.
  void SetMembers(const std::vector<RosterMember>& aMembers);

  RequestLimits& Limits() { return m_limits; }
  const RequestLimits& Limits() const { return m_limits; }

  // Asks for a permit to send a request to an upstream with a limit.
  // aSpareOnly: only if there are permits to spare. aIsHub: whether this daemon
  // is the hub of its zone. If another daemon has to be asked, its reply or its
  // silence must be reported.
  SendPermitAnswer Ask(std::uint32_t aUpstream,
                       const ZoneId& aZone,
                       double aPerSecond,
                       bool aSpareOnly,
                       bool aIsHub,
                       Time aNow);

  // The reply to a permit request of this daemon. Returns whether it is
  // granted; nullopt if the request is not known, as it was given up.
  std::optional<bool> OnReply(const SendPermitReply& aReply, Time aNow);
  // There was no reply in time.
  void OnNoReply(std::uint32_t aNumber, Time aNow);

  // Another daemon's request. Throws std::invalid_argument if the limit in it
  // is none.
  SendPermitReply Reply(const SendPermitRequest& aRequest,
                        bool aIsHub,
                        Time aNow);

  // Until when there are no permits for an upstream, or none to spare; not in
  // the future if there may be some.
  Time ExhaustedUntil(std::uint32_t aUpstream, bool aSpareOnly) const;

  // Must be called regularly.
  void DropExpired(Time aNow);

private:
  struct Bucket
  {
    double m_tokens = 0;
    Time m_updatedAt;
  };
  using Buckets = std::map<std::uint32_t, Bucket>;
  struct PendingRequest
  {
    std::uint32_t m_upstream = 0;
    bool m_spareOnly = false;
    ZoneId m_zone; // whose hub was asked
    Time m_sentAt;
  };
  // The hub candidates of a zone, and which of them is asked.
  struct ZoneHubs
  {
    std::vector<RosterMember> m_candidates;
    std::size_t m_index = 0;
    Time m_indexSince;
  };

  ZoneHubs* HubsFor(const ZoneId& aZone, Time aNow);
  void UseNextHub(const ZoneId& aZone, Time aNow);
  // Takes a token. Returns the time until there is one, 0 if it was taken. A
  // new bucket has aInitialTokens. aSpareOnly: only if there are many.
  static Duration TakeToken(Buckets& aBuckets,
                            std::uint32_t aUpstream,
                            double aPerSecond,
                            double aInitialTokens,
                            bool aSpareOnly,
                            Time aNow);
  SendPermitAnswer AnswerAfter(Duration aWait,
                               std::uint32_t aUpstream,
                               bool aSpareOnly,
                               Time aNow);
  void SetExhausted(std::uint32_t aUpstream,
                    bool aSpareOnly,
                    Duration aWait,
                    Time aNow);

  DaemonId m_self;
  RequestLimits m_limits;
  std::size_t m_members = 1;
  std::map<ZoneId, ZoneHubs> m_hubs;
  Buckets m_buckets;      // of permits that this daemon grants as a hub
  Buckets m_shareBuckets; // of its own share
  std::map<std::uint32_t, PendingRequest> m_pending; // by number
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, Time> m_exhaustedUntil; // by upstream
  std::map<std::uint32_t, Time> m_spareExhaustedUntil;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SEND_LIMITER_H_
