#ifndef WALNUTWING_ROUTING_REQUEST_FINGERPRINT_H_
#define WALNUTWING_ROUTING_REQUEST_FINGERPRINT_H_

// Identifies what a request asks for, across callers' retries, daemons and
// restarts. Two requests have the same fingerprint if their method, target,
// customer and body are equal; ids of attempts, deadlines and other fields
// differ from one retry to the next and do not count. If the body is empty, the
// prompt that the fields state stands in its place.

#include <string_view>

#include "walnutwing/base/id.h"

namespace walnutwing {

// The parts of a request that the fingerprint covers.
struct RequestContent
{
  std::string_view m_method;
  std::string_view m_target; // path and query
  CustomerId m_customer;     // empty if requests carry no keys
  std::string_view m_body;
  std::string_view m_prompt{}; // names of its parts
};

// Returns "=" and 14 hexadecimal digits, the same at every daemon.
TraitId
FingerprintOf(const RequestContent& aContent);

// Whether the trait is a fingerprint, which only the attempts of one request
// share, and not a part of prompts.
bool
IsFingerprint(const TraitId& aTrait);

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_REQUEST_FINGERPRINT_H_
