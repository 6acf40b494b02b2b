#include "router/trait_news_codec.h"

#include <algorithm>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "platform/json_value.h"

namespace walnutwing::router {
namespace {

std::uint32_t
AgeMs(Time aAt, Time aNow)
{
  return static_cast<std::uint32_t>(
    std::max(aNow - aAt, Duration::zero()).count());
}

Time
TimeOfAge(std::uint32_t aAgeMs, Time aNow)
{
  return aNow - Duration(aAgeMs);
}

UpstreamCrash
DecodeCrash(const proto::UpstreamCrash& aCrash, Time aNow)
{
  UpstreamCrash crash;
  crash.m_incarnation = aCrash.incarnation();
  crash.m_service = aCrash.service();
  crash.m_at = TimeOfAge(aCrash.age_ms(), aNow);
  for (const proto::BrokenRequest& request : aCrash.requests()) {
    BrokenRequest broken;
    broken.m_request = request.request();
    broken.m_customer = request.customer();
    for (const std::string& trait : request.traits()) {
      broken.m_traits.emplace_back(trait);
    }
    crash.m_requests.push_back(std::move(broken));
  }
  return crash;
}

} // namespace

void
EncodeTraitNews(const TraitNews& aNews,
                Time aNow,
                proto::RouterPeerMessage& aMessage)
{
  for (const UpstreamCrash& crash : aNews.m_crashes) {
    proto::UpstreamCrash& added = *aMessage.add_crashes();
    added.set_incarnation(crash.m_incarnation);
    added.set_service(crash.m_service);
    added.set_age_ms(AgeMs(crash.m_at, aNow));
    for (const BrokenRequest& request : crash.m_requests) {
      proto::BrokenRequest& broken = *added.add_requests();
      broken.set_request(request.m_request);
      broken.set_customer(request.m_customer);
      for (const TraitId& trait : request.m_traits) {
        broken.add_traits(trait.Value());
      }
    }
  }
  for (const ServedTrait& served : aNews.m_served) {
    proto::ServedTrait& added = *aMessage.add_served_traits();
    added.set_trait(served.m_trait.Value());
    added.set_age_ms(AgeMs(served.m_at, aNow));
  }
  for (const BlockedTrait& blocked : aNews.m_blocked) {
    proto::BlockedTrait& added = *aMessage.add_blocked_traits();
    added.set_trait(blocked.m_trait.Value());
    added.set_age_ms(AgeMs(blocked.m_since, aNow));
    added.set_trials(blocked.m_trials);
    added.set_all_customers(blocked.m_allCustomers);
    for (const std::uint32_t customer : blocked.m_customers) {
      added.add_customers(customer);
    }
  }
}

TraitNews
DecodeTraitNews(const proto::RouterPeerMessage& aMessage, Time aNow)
{
  TraitNews news;
  for (const proto::UpstreamCrash& crash : aMessage.crashes()) {
    news.m_crashes.push_back(DecodeCrash(crash, aNow));
  }
  for (const proto::ServedTrait& served : aMessage.served_traits()) {
    news.m_served.push_back(
      { TraitId(served.trait()), TimeOfAge(served.age_ms(), aNow) });
  }
  for (const proto::BlockedTrait& blocked : aMessage.blocked_traits()) {
    news.m_blocked.push_back(
      { TraitId(blocked.trait()),
        TimeOfAge(blocked.age_ms(), aNow),
        blocked.trials(),
        { blocked.customers().begin(), blocked.customers().end() },
        blocked.all_customers() });
  }
  return news;
}

std::string
EncodeBlockedTrait(const BlockedTrait& aBlocked, Time aNow, WallTime aWallNow)
{
  const Duration since =
    aWallNow.time_since_epoch() - (aNow - aBlocked.m_since);
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  writer.Key("since_wall_ms");
  writer.Uint64(static_cast<std::uint64_t>(since.count()));
  writer.Key("trials");
  writer.Uint(aBlocked.m_trials);
  writer.Key("all_customers");
  writer.Bool(aBlocked.m_allCustomers);
  writer.Key("customers");
  writer.StartArray();
  for (const std::uint32_t customer : aBlocked.m_customers) {
    writer.Uint(customer);
  }
  writer.EndArray();
  writer.EndObject();
  return { text.GetString(), text.GetSize() };
}

std::optional<BlockedTrait>
DecodeBlockedTrait(std::string_view aTrait,
                   std::string_view aJson,
                   Time aNow,
                   WallTime aWallNow)
{
  rapidjson::Document json;
  if (!platform::ParseJson(aJson, json) || !json.IsObject()) {
    return std::nullopt;
  }
  const auto since = platform::WallMsAt(json, "since_wall_ms");
  const auto trials = platform::CountAt(json, "trials");
  const rapidjson::Value* customers = platform::ArrayAt(json, "customers");
  if (aTrait.empty() || !since || !trials || customers == nullptr) {
    return std::nullopt;
  }
  // A clock that was set forward when the record was written makes no age
  // negative.
  const Duration age = std::max<Duration>(
    aWallNow.time_since_epoch() - Duration(*since), Duration::zero());
  BlockedTrait blocked;
  blocked.m_trait = TraitId(std::string(aTrait));
  blocked.m_since = aNow - age;
  blocked.m_trials = static_cast<std::uint32_t>(*trials);
  blocked.m_allCustomers = platform::FlagAt(json, "all_customers");
  for (const rapidjson::Value& customer : customers->GetArray()) {
    if (!customer.IsUint()) {
      return std::nullopt;
    }
    blocked.m_customers.insert(customer.GetUint());
  }
  return blocked;
}

} // namespace walnutwing::router
