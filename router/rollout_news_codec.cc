#include "router/rollout_news_codec.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace walnutwing::router {
namespace {

// Adds what statuses and verdicts have in common.
template<typename News, typename Message>
void
EncodeSubject(const News& aNews, Message& aMessage)
{
  aMessage.set_service(aNews.m_service.Value());
  aMessage.set_to(aNews.m_to.Value());
  aMessage.set_order_era(aNews.m_order.m_era);
  aMessage.set_order_offset(aNews.m_order.m_offset);
}

} // namespace

void
EncodeRolloutNews(const Rollouts& aRollouts,
                  Time aNow,
                  proto::RouterPeerMessage& aMessage)
{
  for (const RolloutStatus& status : aRollouts.News()) {
    proto::RolloutNews& news = *aMessage.add_rollouts();
    EncodeSubject(status, news);
    news.set_stage(std::string(NameOf(status.m_stage)));
    news.set_age_ms(static_cast<std::uint64_t>(
      std::max(Duration::zero(), aNow - status.m_startedAt).count()));
  }
  for (const RolloutVerdict& verdict : aRollouts.BadVerdicts()) {
    EncodeSubject(verdict, *aMessage.add_bad_versions());
  }
}

void
ApplyRolloutNews(const proto::RouterPeerMessage& aMessage,
                 Time aNow,
                 Rollouts& aRollouts)
{
  for (const proto::BadVersion& bad : aMessage.bad_versions()) {
    aRollouts.OnBadVerdict(ServiceId(bad.service()),
                           SoftwareVersion(bad.to()),
                           { bad.order_era(), bad.order_offset() },
                           aNow);
  }
  for (const proto::RolloutNews& news : aMessage.rollouts()) {
    const auto stage = RolloutStageOf(news.stage());
    if (!stage) {
      continue;
    }
    const std::uint64_t ageMs = std::min(
      news.age_ms(), static_cast<std::uint64_t>(kMaxRolloutAge.count()));
    RolloutStatus status;
    status.m_service = ServiceId(news.service());
    status.m_to = SoftwareVersion(news.to());
    status.m_stage = *stage;
    status.m_order = { news.order_era(), news.order_offset() };
    status.m_startedAt = aNow - Duration(ageMs);
    aRollouts.OnStatus(status, aNow, StatusSource::Router);
  }
}

} // namespace walnutwing::router
