#include "router/member_record.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "platform/json_value.h"

namespace walnutwing::router {

std::string
EncodeMember(const RosterMember& aMember)
{
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  writer.Key("zone");
  writer.String(aMember.m_zone.Value().c_str());
  writer.Key("address");
  writer.String(aMember.m_address.c_str());
  writer.Key("weight");
  writer.Double(aMember.m_weight);
  writer.Key("announcement");
  writer.Uint64(aMember.m_announcementId);
  writer.EndObject();
  return { text.GetString(), text.GetSize() };
}

std::optional<RosterMember>
DecodeMember(const DaemonId& aName, std::string_view aJson)
{
  rapidjson::Document json;
  if (!platform::ParseJson(aJson, json) || !json.IsObject()) {
    return std::nullopt;
  }
  const auto zone = platform::TextAt(json, "zone");
  const auto address = platform::TextAt(json, "address");
  const auto weight = platform::NumberAt(json, "weight");
  const auto announced = platform::CountAt(json, "announcement");
  if (!zone || !address || !weight || !announced) {
    return std::nullopt;
  }
  return RosterMember{ aName, ZoneId(*zone), *address, *weight, *announced };
}

} // namespace walnutwing::router
