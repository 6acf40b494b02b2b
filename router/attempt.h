#ifndef WALNUTWING_ROUTER_ATTEMPT_H_
#define WALNUTWING_ROUTER_ATTEMPT_H_

// One attempt of a request: the request at one upstream, and what has been
// received of its response.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "router/trait_probe.h"
#include "router/upstream_connection.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/relay/body_end.h"
#include "walnutwing/routing/upstream_selector.h"

namespace walnutwing::router {

struct Attempt
{
  // Tells the request which of its attempts receives something.
  std::unique_ptr<ResponseReceiver> m_receiver;
  std::shared_ptr<UpstreamConnection> m_connection; // null: it has ended
  Choice m_choice;
  Time m_sentAt;
  bool m_reusedConnection = false;
  bool m_headReceived = false;
  bool m_notExecuted = false; // the upstream reported that it did not run it
  // Why its response is not forwarded; "" if it is.
  std::string_view m_discardReason{};
  std::uint64_t m_discardedBytes = 0;
  bool m_isEventStream = false; // its response is a stream of events
  // If it goes on with a stream: the id of the last event before it.
  std::optional<std::string> m_resumedAfter{};
  BodyEnd m_bodyEnd;
  // When its response began; that of a stream, with its first event.
  std::optional<Time> m_firstByteAt{};
  std::uint32_t m_events = 0;             // of a stream
  TraitProbe::Progress m_traitProgress{}; // while it is set aside

  bool InFlight() const { return m_connection != nullptr; }
  bool Discards() const { return !m_discardReason.empty(); }
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_ATTEMPT_H_
