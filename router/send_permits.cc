#include "router/send_permits.h"

#include <utility>

namespace walnutwing::router {
namespace {

// A hub that has not replied by then is silent. The request waits meanwhile.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);

SendPermitReply
DecodeReply(const proto::SendPermitReply& aReply)
{
  const auto outcome = [&] {
    switch (aReply.outcome()) {
      case proto::SendPermitReply::GRANTED:
        return SendPermitOutcome::Granted;
      case proto::SendPermitReply::NOT_OWNER:
        return SendPermitOutcome::NotOwner;
      default:
        return SendPermitOutcome::Denied;
    }
  };
  return { aReply.number(), outcome(), Duration(aReply.wait_ms()) };
}

void
EncodeReply(const SendPermitReply& aReply, proto::SendPermitReply& aEncoded)
{
  aEncoded.set_number(aReply.m_number);
  aEncoded.set_wait_ms(static_cast<std::uint32_t>(aReply.m_wait.count()));
  switch (aReply.m_outcome) {
    case SendPermitOutcome::Granted:
      aEncoded.set_outcome(proto::SendPermitReply::GRANTED);
      return;
    case SendPermitOutcome::Denied:
      aEncoded.set_outcome(proto::SendPermitReply::DENIED);
      return;
    case SendPermitOutcome::NotOwner:
      aEncoded.set_outcome(proto::SendPermitReply::NOT_OWNER);
      return;
  }
}

} // namespace

SendPermits::SendPermits(Context& aContext,
                         const LoadExchange& aExchange,
                         SendMessage aSendMessage)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_sendMessage(std::move(aSendMessage))
{
}

std::optional<bool>
SendPermits::Ask(const Choice& aChoice, Context::OnPermitAnswer aOnAnswer)
{
  return Handle(m_context.m_sendLimiter.Ask(LoadKey(aChoice.m_upstream),
                                            aChoice.m_zone,
                                            aChoice.m_requestLimit.value_or(0),
                                            aChoice.m_needsSparePermit,
                                            m_exchange.IsHub(),
                                            Now()),
                std::move(aOnAnswer));
}

// Its key differs from those of upstreams, as a fingerprint is no name of one.
std::optional<bool>
SendPermits::AskForSuspect(const TraitId& aTrait,
                           Context::OnPermitAnswer aOnAnswer)
{
  return Handle(m_context.m_sendLimiter.Ask(LoadKey(UpstreamId(aTrait.Value())),
                                            ZoneId(),
                                            kSuspectsPerSecond,
                                            false,
                                            m_exchange.IsHub(),
                                            Now()),
                std::move(aOnAnswer));
}

std::optional<bool>
SendPermits::Handle(const SendPermitAnswer& aAnswer,
                    Context::OnPermitAnswer aOnAnswer)
{
  if (!aAnswer.m_request) {
    return aAnswer.m_outcome == SendPermitOutcome::Granted;
  }
  const std::uint32_t number = aAnswer.m_request->m_number;
  auto timer = std::make_unique<Timer>(m_context.m_loop.get_executor());
  timer->expires_after(kReplyTimeout);
  timer->async_wait([this, number](const error_code& aError) {
    if (!aError) {
      OnTimeout(number);
    }
  });
  m_pending[number] = { std::move(aOnAnswer), std::move(timer) };
  proto::RouterPeerMessage message;
  message.set_kind(proto::RouterPeerMessage::PERMITS);
  proto::SendPermitRequest& request = *message.add_permit_requests();
  request.set_upstream(aAnswer.m_request->m_upstream);
  request.set_number(number);
  request.set_per_second(aAnswer.m_request->m_perSecond);
  request.set_spare_only(aAnswer.m_request->m_spareOnly);
  m_sendMessage(aAnswer.m_to, std::move(message));
  ++m_context.m_metrics.Counter("permit_requests_total");
  return std::nullopt;
}

void
SendPermits::OnMessage(const proto::RouterPeerMessage& aMessage,
                       const std::string& aFromAddress)
{
  for (const proto::SendPermitReply& reply : aMessage.permit_replies()) {
    OnReply(DecodeReply(reply));
  }
  if (aMessage.permit_requests().empty()) {
    return;
  }
  proto::RouterPeerMessage replies;
  replies.set_kind(proto::RouterPeerMessage::PERMITS);
  for (const proto::SendPermitRequest& request : aMessage.permit_requests()) {
    const SendPermitReply reply =
      m_context.m_sendLimiter.Reply({ request.upstream(),
                                      request.number(),
                                      request.per_second(),
                                      request.spare_only() },
                                    m_exchange.IsHub(),
                                    Now());
    EncodeReply(reply, *replies.add_permit_replies());
  }
  m_sendMessage(aFromAddress, std::move(replies));
}

void
SendPermits::OnReply(const SendPermitReply& aReply)
{
  const std::optional<bool> granted =
    m_context.m_sendLimiter.OnReply(aReply, Now());
  const auto found = m_pending.find(aReply.m_number);
  if (!granted || found == m_pending.end()) {
    ++m_context.m_metrics.Counter("permit_replies_late_total");
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  pending.m_onAnswer(*granted);
}

void
SendPermits::OnTimeout(std::uint32_t aNumber)
{
  const auto found = m_pending.find(aNumber);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_context.m_sendLimiter.OnNoReply(aNumber, Now());
  ++m_context.m_metrics.Counter("permit_replies_missing_total");
  pending.m_onAnswer(false);
}

} // namespace walnutwing::router
