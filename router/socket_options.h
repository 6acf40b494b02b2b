#ifndef WALNUTWING_ROUTER_SOCKET_OPTIONS_H_
#define WALNUTWING_ROUTER_SOCKET_OPTIONS_H_

// Makes the kernel detect peers that vanished without closing the connection:
// unacknowledged bytes and unanswered keep-alive probes end it.

#include "router/asio.h"

namespace walnutwing::router {

// Probes start after kProbeIdleS seconds without traffic and are sent every
// kProbeIntervalS seconds; kProbeCount lost probes end the connection.
inline constexpr int kProbeIdleS = 1;
inline constexpr int kProbeIntervalS = 1;
inline constexpr int kProbeCount = 2;
// Bytes that are unacknowledged for this long end the connection.
inline constexpr unsigned kUserTimeoutMs = 2500;

// Failures are ignored: the connection works without these options, but its
// loss is detected later.
void
SetLivenessOptions(Socket& aSocket);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_SOCKET_OPTIONS_H_
