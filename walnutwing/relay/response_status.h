#ifndef WALNUTWING_RELAY_RESPONSE_STATUS_H_
#define WALNUTWING_RELAY_RESPONSE_STATUS_H_

// What the status of an upstream's response says of it: whether it is an answer
// at all, and whether it can have a body (RFC 9110, 15; RFC 9112, 4 and 6.3).

namespace walnutwing {

enum class StatusKind
{
  // Outside 100 to 599, or 101: nobody asks an upstream to switch protocols.
  // The response is not an answer.
  Invalid,
  // Another response follows. There is no body, whatever the fields say.
  Interim,
  Final,
  // Final, and without a body, whatever the fields say.
  FinalWithoutBody,
};

StatusKind
KindOf(unsigned aStatus);

// Whether the status is 2xx.
bool
IsSuccess(unsigned aStatus);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_RESPONSE_STATUS_H_
