#ifndef WALNUTWING_BASE_ID_H_
#define WALNUTWING_BASE_ID_H_

// Strong types for identifiers. Each kind of identifier is a separate type, so
// that the compiler rejects one kind where another is expected.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace walnutwing {

// A text identifier. Tag makes each kind a distinct type, so that an UpstreamId
// cannot be passed as a DaemonId. Compares and hashes like its text.
template<typename Tag>
class TextId
{
public:
  TextId() = default;
  explicit TextId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool Empty() const { return m_value.empty(); }

  auto operator<=>(const TextId&) const = default;

  friend std::ostream& operator<<(std::ostream& aStream, const TextId& aId)
  {
    return aStream << aId.m_value;
  }

private:
  std::string m_value;
};

// A numeric identifier. It has an order but no arithmetic.
template<typename Tag>
class NumberId
{
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t aValue)
    : m_value(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return m_value; }

  auto operator<=>(const NumberId&) const = default;

  friend std::ostream& operator<<(std::ostream& aStream, const NumberId& aId)
  {
    return aStream << aId.m_value;
  }

private:
  std::uint64_t m_value = 0;
};

using DaemonId = TextId<struct DaemonIdTag>;
using UpstreamId =
  TextId<struct UpstreamIdTag>; // a model engine or the VM of another service
using ZoneId = TextId<struct ZoneIdTag>; // an availability zone
using RegionId = TextId<struct RegionIdTag>;
using CustomerId = TextId<struct CustomerIdTag>;
using ServiceId = TextId<struct ServiceIdTag>;
using SoftwareVersion =
  TextId<struct SoftwareVersionTag>; // of an upstream; empty if it states none
using PresetId = TextId<struct PresetIdTag>;
using ChatId = TextId<struct ChatIdTag>;
using OrderKey = TextId<struct OrderKeyTag>;
// Something that requests may have in common and that may make them crash
// upstreams, such as a part of their prompts.
using TraitId = TextId<struct TraitIdTag>;

using RequestId =
  NumberId<struct RequestIdTag>; // unique within one daemon process
using LogOffset =
  NumberId<struct LogOffsetTag>; // position in a stream of the platform log

} // namespace walnutwing

template<typename Tag>
struct std::hash<walnutwing::TextId<Tag>>
{
  std::size_t operator()(const walnutwing::TextId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<typename Tag>
struct std::hash<walnutwing::NumberId<Tag>>
{
  std::size_t operator()(const walnutwing::NumberId<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>()(aId.Value());
  }
};

#endif // WALNUTWING_BASE_ID_H_
