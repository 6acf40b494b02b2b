#ifndef WALNUTWING_ROUTING_LOAD_BOUND_H_
#define WALNUTWING_ROUTING_LOAD_BOUND_H_

// The load up to which an upstream gets requests, from the loads of all that
// may get them. A request goes to the first of them in its order whose load is
// below the bound.

#include <cstddef>
#include <vector>

namespace walnutwing {

struct LoadBoundOptions
{
  // Load bound for the upstream that a request prefers: this multiple of the
  // mean load of the candidates plus a slack in requests, because means are
  // small.
  double m_affinityLoadFactor = 1.8;
  double m_affinityLoadSlack = 3.0;
  // The same where the load bound depends on a part of the upstreams only, as
  // the others state request limits: this multiple of the mean of all.
  double m_unlimitedLoadFactor = 4.0;
  // Limit on the load of an upstream: this multiple of the mean over all listed
  // upstreams of the service, including those that are skipped, plus a slack in
  // requests. Only m_usedLoadFraction of the limit is used, because loads are
  // known with a delay.
  double m_loadFactor = 2.0;
  double m_loadFactorSlack = 3.0;
  double m_usedLoadFraction = 0.85;
};

struct CandidateLoad
{
  double m_load = 0;
  bool m_limited = false; // the upstream states a request limit
};

struct LoadBound
{
  double m_meanLoad = 0;
  double m_bound = 0;
};

// aOtherLoad: requests at upstreams of the service that are no candidates, as
// the request may not go to their versions. aListed: upstreams of the service,
// candidates or not. Upstreams with a request limit do not count unless all
// have one, as the others have to take what they do not.
LoadBound
ComputeLoadBound(const LoadBoundOptions& aOptions,
                 const std::vector<CandidateLoad>& aCandidates,
                 double aOtherLoad,
                 std::size_t aListed);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_LOAD_BOUND_H_
