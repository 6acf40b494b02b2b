#include "router/part_news_codec.h"

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
    broken.m_prompt = request.prompt();
    broken.m_customer = request.customer();
    for (const std::string& part : request.parts()) {
      broken.m_parts.emplace_back(part);
    }
    crash.m_requests.push_back(std::move(broken));
  }
  return crash;
}

} // namespace

void
EncodePartNews(const PartNews& aNews,
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
      broken.set_prompt(request.m_prompt);
      broken.set_customer(request.m_customer);
      for (const PromptPartId& part : request.m_parts) {
        broken.add_parts(part.Value());
      }
    }
  }
  for (const ServedPart& served : aNews.m_served) {
    proto::ServedPart& added = *aMessage.add_served_parts();
    added.set_part(served.m_part.Value());
    added.set_age_ms(AgeMs(served.m_at, aNow));
  }
  for (const BlockedPart& blocked : aNews.m_blocked) {
    proto::BlockedPart& added = *aMessage.add_blocked_parts();
    added.set_part(blocked.m_part.Value());
    added.set_age_ms(AgeMs(blocked.m_since, aNow));
    added.set_trials(blocked.m_trials);
    added.set_all_customers(blocked.m_allCustomers);
    for (const std::uint32_t customer : blocked.m_customers) {
      added.add_customers(customer);
    }
  }
}

PartNews
DecodePartNews(const proto::RouterPeerMessage& aMessage, Time aNow)
{
  PartNews news;
  for (const proto::UpstreamCrash& crash : aMessage.crashes()) {
    news.m_crashes.push_back(DecodeCrash(crash, aNow));
  }
  for (const proto::ServedPart& served : aMessage.served_parts()) {
    news.m_served.push_back(
      { PromptPartId(served.part()), TimeOfAge(served.age_ms(), aNow) });
  }
  for (const proto::BlockedPart& blocked : aMessage.blocked_parts()) {
    news.m_blocked.push_back(
      { PromptPartId(blocked.part()),
        TimeOfAge(blocked.age_ms(), aNow),
        blocked.trials(),
        { blocked.customers().begin(), blocked.customers().end() },
        blocked.all_customers() });
  }
  return news;
}

std::string
EncodeBlockedPart(const BlockedPart& aBlocked, Time aNow, WallTime aWallNow)
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

std::optional<BlockedPart>
DecodeBlockedPart(std::string_view aPart,
                  std::string_view aJson,
                  Time aNow,
                  WallTime aWallNow)
{
  rapidjson::Document json;
  json.Parse(aJson.data(), aJson.size());
  if (json.HasParseError() || !json.IsObject()) {
    return std::nullopt;
  }
  const auto since = platform::CountAt(json, "since_wall_ms");
  const auto trials = platform::CountAt(json, "trials");
  const rapidjson::Value* customers = platform::ArrayAt(json, "customers");
  if (aPart.empty() || !since || !trials || customers == nullptr) {
    return std::nullopt;
  }
  // A clock that was set forward when the record was written makes no age
  // negative.
  const Duration age = std::max<Duration>(
    aWallNow.time_since_epoch() - Duration(static_cast<Duration::rep>(*since)),
    Duration::zero());
  BlockedPart blocked;
  blocked.m_part = PromptPartId(std::string(aPart));
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
