#ifndef WALNUTWING_ROUTER_SOCKET_OPTIONS_H_
#define WALNUTWING_ROUTER_SOCKET_OPTIONS_H_

// Makes the kernel notice peers that vanished without a word: unacknowledged
// bytes and unanswered keep-alive probes end the connection.

#include "router/asio.h"

namespace walnutwing::router {

// Probes start after kProbeIdleS without traffic, one each kProbeIntervalS;
// kProbeCount lost ones end the connection.
inline constexpr int kProbeIdleS = 1;
inline constexpr int kProbeIntervalS = 1;
inline constexpr int kProbeCount = 2;
// Bytes that are not acknowledged for so long end the connection.
inline constexpr unsigned kUserTimeoutMs = 2500;

// Failures are ignored: the connection works without, its loss shows later.
void
SetLivenessOptions(Socket& aSocket);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_SOCKET_OPTIONS_H_
