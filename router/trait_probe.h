#ifndef WALNUTWING_ROUTER_TRAIT_PROBE_H_
#define WALNUTWING_ROUTER_TRAIT_PROBE_H_

// Connects one request with the breaker for traits that crash upstreams: asks
// it whether the request may be sent, and reports what each attempt shows of
// the request's traits (see trait_breaker.h).

#include <cstdint>
#include <optional>

#include "router/context.h"
#include "walnutwing/relay/body_end.h"

namespace walnutwing::router {

class TraitProbe
{
public:
  explicit TraitProbe(Context& aContext)
    : m_context(aContext)
  {
  }
  TraitProbe(const TraitProbe&) = delete;
  TraitProbe& operator=(const TraitProbe&) = delete;

  // What is known of the request once its route and customer are. Must be
  // called first.
  void SetRequest(RequestTraits aRequest) { m_request = std::move(aRequest); }

  // Whether the request may be sent now. If it tries a blocked trait again, it
  // must not be repeated.
  TraitVerdict Check();

  // Whether an attempt may start only with a permit, by the last Check.
  bool NeedsPermit() const { return !m_suspectTrait.Empty(); }

  // Asks for a permit. Returns the answer, or nullopt if aOnAnswer will be
  // called with it later.
  std::optional<bool> AskPermit(Context::OnPermitAnswer aOnAnswer) const;

  // An attempt starts with the permit.
  void UsePermit() { m_suspectTrait = {}; }

  // Whether the request may be sent to another upstream after a failure.
  bool MayRepeat();

  void OnAttemptStarted();
  // A whole event of a stream, or a part of another response, was received.
  void OnEvent(Time aNow);
  // The response is complete and successful. One that ends with its connection
  // proves nothing by that, as it may have been ended by a crash.
  void OnComplete(BodyFraming aFraming)
  {
    if (aFraming != BodyFraming::UntilClose) {
      OnProven();
    }
  }
  // The upstream has ended the connection in the middle of the attempt.
  void OnBroken(const Choice& aChoice);

  // Whether the attempt has received an event.
  bool HasBegun() const { return m_firstEventAt.has_value(); }

  // What the attempt has shown so far, to go on with it after another one.
  struct Progress
  {
    std::optional<Time> m_firstEventAt;
    bool m_proven = false;
  };
  Progress GetProgress() const { return { m_firstEventAt, m_proven }; }
  void SetProgress(const Progress& aProgress)
  {
    m_firstEventAt = aProgress.m_firstEventAt;
    m_proven = aProgress.m_proven;
  }

  // Whether the request may run at two upstreams at the same time: nothing
  // speaks against it.
  bool MayRunTwice() const
  {
    return m_triedTrait.Empty() && m_suspectTrait.Empty();
  }

  // The request has ended.
  void End();

private:
  void OnProven();
  void TellNews();

  Context& m_context;
  RequestTraits m_request;
  std::optional<Time> m_firstEventAt; // of the attempt
  bool m_proven = false;              // its upstream can answer the request
  TraitId m_triedTrait;               // empty if none is tried
  TraitId m_suspectTrait;             // not empty: it needs a permit
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TRAIT_PROBE_H_
