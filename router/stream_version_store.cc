#include "router/stream_version_store.h"

#include <algorithm>
#include <string>
#include <utility>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "platform/json_value.h"
#include "router/input_guard.h"

namespace walnutwing::router {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kReadTimeout = std::chrono::milliseconds(600);
constexpr Duration kRetryInterval = std::chrono::milliseconds(2000);
// No daemon's name contains a slash.
constexpr std::string_view kKeyPrefix = "version/";

std::string
EncodeRecord(const std::optional<OnlyVersion>& aOnly, Time aNow)
{
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  if (aOnly) {
    const Duration age = aNow - aOnly->m_since;
    const Duration since = SteadyClock().WallNow().time_since_epoch() - age;
    const std::string& version = aOnly->m_version.Value();
    writer.Key("only");
    writer.String(version.data(),
                  static_cast<rapidjson::SizeType>(version.size()));
    writer.Key("since_wall_ms");
    writer.Int64(since.count());
  }
  writer.EndObject();
  return { text.GetString(), text.GetSize() };
}

// Returns nothing for a service with several versions, and for a record that
// cannot be read.
std::optional<OnlyVersion>
DecodeRecord(std::string_view aJson, Time aNow)
{
  rapidjson::Document json;
  if (!platform::ParseJson(aJson, json) || !json.IsObject()) {
    return std::nullopt;
  }
  const auto only = platform::TextAt(json, "only");
  const auto since = platform::WallMsAt(json, "since_wall_ms");
  if (!only || !since) {
    return std::nullopt;
  }
  // A wall clock that was set back makes no age negative.
  const Duration age = std::max<Duration>(
    SteadyClock().WallNow().time_since_epoch() - Duration(*since),
    Duration::zero());
  return OnlyVersion{ SoftwareVersion(*only), aNow - age };
}

} // namespace

StreamVersionStore::StreamVersionStore(Context& aContext,
                                       const LoadExchange& aExchange)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
  , m_readChannel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
{
}

void
StreamVersionStore::ReadIfUnread(std::function<void()> aOnRead)
{
  if (m_topicRead) {
    aOnRead();
    return;
  }
  m_reading.push_back(std::move(aOnRead));
  if (m_reading.size() > 1) {
    return; // the read in progress serves it too
  }
  m_readChannel->Call(
    platform::EncodeNewestRequest(platform::kMemberTopic, ""),
    kReadTimeout,
    [this](const StoreResponse& aResponse) { OnNewest(aResponse); });
}

// One page has the records of every fleet of a few hundred daemons. What is not
// in it stays unknown until the whole topic is read.
void
StreamVersionStore::OnNewest(const StoreResponse& aResponse)
{
  RunGuarded(m_context.m_log, m_context.m_metrics, "store", Now(), [&] {
    const auto page = aResponse.m_status == 200
                        ? platform::DecodeNewest(aResponse.m_body)
                        : std::nullopt;
    if (!page) {
      return;
    }
    for (const platform::StoreRecord& record : page->m_records) {
      OnMemberRecord(record);
    }
  });
  const auto reading = std::exchange(m_reading, {});
  for (const auto& onRead : reading) {
    onRead();
  }
}

void
StreamVersionStore::Tick(Time aNow)
{
  m_context.m_streamVersions.DropExpired(aNow);
  if (m_topicRead) {
    NoteNewServices(aNow);
    WriteNext(aNow);
  }
}

// A service that is listed for the first time and has no record has had no
// upstreams before, and so no streams.
void
StreamVersionStore::NoteNewServices(Time aNow)
{
  for (const ServiceId& service : m_context.m_streamVersions.Services()) {
    if (!m_noted.insert(service).second || m_written.contains(service)) {
      continue;
    }
    if (const auto only = m_context.m_streamVersions.OnlyListed(service)) {
      m_context.m_streamVersions.OnOnlyVersion(
        service, { only->m_version, aNow - kStreamLifetime });
    }
  }
}

// Writes one changed record, and the next one at the next call.
void
StreamVersionStore::WriteNext(Time aNow)
{
  if (m_writing || aNow < m_nextWriteAt || !m_exchange.IsHub()) {
    return;
  }
  for (const ServiceId& service : m_context.m_streamVersions.Services()) {
    const auto only = m_context.m_streamVersions.OnlyListed(service);
    const auto version =
      only ? std::optional(only->m_version) : std::optional<SoftwareVersion>();
    const auto written = m_written.find(service);
    if (written == m_written.end() || written->second != version) {
      Write(service, only, aNow);
      return;
    }
  }
}

void
StreamVersionStore::Write(const ServiceId& aService,
                          const std::optional<OnlyVersion>& aOnly,
                          Time aNow)
{
  const auto version =
    aOnly ? std::optional(aOnly->m_version) : std::optional<SoftwareVersion>();
  m_writing = true;
  m_channel->Call(
    platform::EncodePutRequest(platform::kMemberTopic,
                               std::string(kKeyPrefix) + aService.Value(),
                               EncodeRecord(aOnly, aNow)),
    kStoreTimeout,
    [this, aService, version](const StoreResponse& aResponse) {
      m_writing = false;
      if (aResponse.m_status == 200) {
        m_written[aService] = version;
      } else {
        m_nextWriteAt = Now() + kRetryInterval;
      }
    });
}

bool
StreamVersionStore::OnMemberRecord(const platform::StoreRecord& aRecord)
{
  if (!aRecord.m_key.starts_with(kKeyPrefix)) {
    return false;
  }
  const ServiceId service(aRecord.m_key.substr(kKeyPrefix.size()));
  const Time now = Now();
  const auto only = DecodeRecord(aRecord.m_value.value_or(""), now);
  m_written[service] =
    only ? std::optional(only->m_version) : std::optional<SoftwareVersion>();
  if (only && !m_topicRead) {
    m_context.m_streamVersions.OnOnlyVersionAtStart(service, *only, now);
  } else if (only) {
    m_context.m_streamVersions.OnOnlyVersion(service, *only);
  } else {
    m_context.m_streamVersions.OnSeveralVersions(service, now);
  }
  return true;
}

} // namespace walnutwing::router
