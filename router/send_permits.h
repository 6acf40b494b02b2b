#ifndef WALNUTWING_ROUTER_SEND_PERMITS_H_
#define WALNUTWING_ROUTER_SEND_PERMITS_H_

// Asks other daemons for permits to send requests to upstreams that state a
// request limit, and answers their permit requests, with one datagram each (see
// send_limiter.h). Permits for a request that is suspected to crash upstreams
// are granted in the same way, as if the request were an upstream.

#include <functional>
#include <map>
#include <memory>

#include "router/context.h"
#include "router_peer.pb.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class SendPermits
{
public:
  // Sends a message to a daemon's address.
  using SendMessage = std::function<void(const std::string& aAddress,
                                         proto::RouterPeerMessage aMessage)>;

  SendPermits(Context& aContext,
              const LoadExchange& aExchange,
              SendMessage aSendMessage);
  SendPermits(const SendPermits&) = delete;
  SendPermits& operator=(const SendPermits&) = delete;

  // See Context::m_askPermit and Context::m_askSuspectPermit.
  std::optional<bool> Ask(const Choice& aChoice,
                          Context::OnPermitAnswer aOnAnswer);
  std::optional<bool> AskForSuspect(const TraitId& aTrait,
                                    Context::OnPermitAnswer aOnAnswer);

  // Another daemon's permit requests and replies.
  void OnMessage(const proto::RouterPeerMessage& aMessage,
                 const std::string& aFromAddress);

private:
  struct Pending
  {
    Context::OnPermitAnswer m_onAnswer;
    std::unique_ptr<Timer> m_timer;
  };

  std::optional<bool> Handle(const SendPermitAnswer& aAnswer,
                             Context::OnPermitAnswer aOnAnswer);
  void OnReply(const SendPermitReply& aReply);
  void OnTimeout(std::uint32_t aNumber);

  Context& m_context;
  const LoadExchange& m_exchange;
  SendMessage m_sendMessage;
  std::map<std::uint32_t, Pending> m_pending; // by number
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_SEND_PERMITS_H_
