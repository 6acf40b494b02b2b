#ifndef WALNUTWING_ROUTING_LIMIT_SHARES_H_
#define WALNUTWING_ROUTING_LIMIT_SHARES_H_

// Divides a service's requests among its upstreams when some of them state
// request limits. A limit counts requests, whatever their size, so a limited
// upstream serves the largest prompts, and smaller ones move to the upstreams
// without a limit, where they cost little. The result is used as weights of
// rendezvous hashing: a prompt that moves does so for as long as the limits
// hold. Sending requests wherever a permit can be had instead would make each
// upstream read all prompts.

#include <optional>
#include <span>
#include <vector>

namespace walnutwing {

// aLimits: requests a second that each upstream takes; nullopt: any number.
// aDemands: requests a second to the service by class, the largest prompts
// first. Returns the weights of the upstreams, above 0 and at most 1, for
// requests of the last of these classes.
std::vector<double>
LimitWeights(std::span<const std::optional<double>> aLimits,
             std::span<const double> aDemands);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_LIMIT_SHARES_H_
