// A hash map from customer and key to the holder and the invalid claims.
// Invalid claims are remembered because the log may contain the same record
// twice: otherwise the second copy of an invalid claim could become the holder.
//
// Entries are dropped by the log's clock alone, in the order of their creation,
// when the lifetime of a key plus skew and grace has passed since then. Every
// claim that is read later is outside the time in which its key may be used and
// therefore invalid, so that dropping the entry changes no decision.

#include "walnutwing/orders/claim_index.h"

#include <algorithm>
#include <optional>

namespace walnutwing {
namespace {

// Sizes in the C library's allocator and the C++ library's containers, for the
// estimate of the memory in use.
constexpr std::size_t kAllocationOverheadBytes = 16; // per heap block
constexpr std::size_t kBucketBytes = sizeof(void*);
constexpr std::size_t kInlineStringBytes = 15; // longer strings use the heap

std::size_t
HeapBytesOf(const std::string& aText)
{
  return aText.size() <= kInlineStringBytes
           ? 0
           : aText.size() + kAllocationOverheadBytes;
}

// The separator does not occur in a valid key, so different pairs give
// different texts.
std::string
MapKey(const std::string& aCustomer, const std::string& aKey)
{
  std::string text;
  text.reserve(aCustomer.size() + 1 + aKey.size());
  return text.append(aCustomer).append(1, '/').append(aKey);
}

bool
Contains(const std::vector<ClaimId>& aClaims, const ClaimId& aClaim)
{
  return std::find(aClaims.begin(), aClaims.end(), aClaim) != aClaims.end();
}

void
AddOnce(std::vector<ClaimId>* aClaims, const ClaimId& aClaim)
{
  if (!Contains(*aClaims, aClaim)) {
    aClaims->push_back(aClaim);
  }
}

std::size_t
BodyBytesOf(const KeyHolder* aHolder)
{
  return aHolder != nullptr && aHolder->m_result
           ? aHolder->m_result->m_body.size()
           : 0;
}

} // namespace

proto::ClaimId
ToProto(const ClaimId& aClaim)
{
  proto::ClaimId claim;
  claim.set_daemon(aClaim.m_daemon.Value());
  claim.set_incarnation(aClaim.m_incarnation);
  claim.set_sequence(aClaim.m_sequence);
  return claim;
}

ClaimId
FromProto(const proto::ClaimId& aClaim)
{
  return { DaemonId(aClaim.daemon()), aClaim.incarnation(), aClaim.sequence() };
}

ClaimIndex::ClaimIndex(const ClaimIndexOptions& aOptions)
  : m_options(aOptions)
{
}

void
ClaimIndex::Apply(const proto::LogRecord& aRecord)
{
  m_logTime = std::max(m_logTime, WallTime(Duration(aRecord.at_ms())));
  DropOldEntries();
  proto::OrderRecord record;
  if (!record.ParseFromString(aRecord.body())) {
    ++m_unreadableRecords;
    return;
  }
  switch (record.record_case()) {
    case proto::OrderRecord::kClaim:
      ApplyClaim(record.claim());
      return;
    case proto::OrderRecord::kVoid:
      ApplyVoid(record.void_());
      return;
    case proto::OrderRecord::kOutcome:
      ApplyOutcome(record.outcome());
      return;
    case proto::OrderRecord::RECORD_NOT_SET:
      ++m_unreadableRecords;
      return;
  }
}

void
ClaimIndex::ApplyClaim(const proto::OrderClaim& aClaim)
{
  if (CheckOrderKey(OrderKey(aClaim.key()), m_logTime, m_options.m_key) !=
      ResultCode::Ok) {
    return; // invalid; needs no entry, since it affects no other claim
  }
  const ClaimId claim = FromProto(aClaim.claim());
  const std::string key = MapKey(aClaim.customer(), aClaim.key());
  Entry& entry = GetOrCreate(key);
  if (Contains(entry.m_invalidClaims, claim)) {
    return;
  }
  m_entryBytes -= BytesOf(key, entry);
  if (!entry.m_holder) {
    entry.m_holder =
      std::make_unique<KeyHolder>(KeyHolder{ claim,
                                             aClaim.body_sha256(),
                                             ServiceId(aClaim.service()),
                                             m_logTime,
                                             nullptr });
  } else if (entry.m_holder->m_claim != claim) {
    entry.m_invalidClaims.push_back(claim);
  }
  m_entryBytes += BytesOf(key, entry);
}

void
ClaimIndex::ApplyVoid(const proto::OrderVoid& aVoid)
{
  const ClaimId claim = FromProto(aVoid.claim());
  const std::string key = MapKey(aVoid.customer(), aVoid.key());
  Entry& entry = GetOrCreate(key);
  m_entryBytes -= BytesOf(key, entry);
  AddOnce(&entry.m_invalidClaims, claim);
  if (entry.m_holder && entry.m_holder->m_claim == claim) {
    m_bodyBytes -= BodyBytesOf(entry.m_holder.get());
    entry.m_holder.reset();
  }
  m_entryBytes += BytesOf(key, entry);
}

void
ClaimIndex::ApplyOutcome(const proto::OrderOutcome& aOutcome)
{
  const std::string key = MapKey(aOutcome.customer(), aOutcome.key());
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || !found->second.m_holder ||
      found->second.m_holder->m_claim != FromProto(aOutcome.claim())) {
    return;
  }
  Entry& entry = found->second;
  const auto& earlier = entry.m_holder->m_result;
  if (earlier && (!earlier->m_unknown || aOutcome.unknown())) {
    return;
  }
  m_entryBytes -= BytesOf(key, entry);
  SetResult(key, &entry, aOutcome);
  m_entryBytes += BytesOf(key, entry);
  DropOldBodies();
}

void
ClaimIndex::SetResult(const std::string& aMapKey,
                      Entry* aEntry,
                      const proto::OrderOutcome& aOutcome)
{
  m_bodyBytes -= BodyBytesOf(aEntry->m_holder.get());
  aEntry->m_holder->m_result = std::make_shared<const OrderResult>(
    OrderResult{ static_cast<int>(aOutcome.http_status()),
                 aOutcome.content_type(),
                 aOutcome.body(),
                 aOutcome.body_too_large(),
                 aOutcome.unknown() });
  if (!aOutcome.body().empty()) {
    m_bodyBytes += aOutcome.body().size();
    m_bodyKeysByAge.push_back(aMapKey);
  }
}

ClaimIndex::Entry&
ClaimIndex::GetOrCreate(const std::string& aMapKey)
{
  const auto [position, created] = m_entries.try_emplace(aMapKey);
  if (created) {
    m_entriesByAge.push_back({ m_logTime, &position->first });
    m_entryBytes += BytesOf(aMapKey, position->second);
  }
  return position->second;
}

const KeyHolder*
ClaimIndex::Find(const CustomerId& aCustomer, const OrderKey& aKey) const
{
  const auto found = m_entries.find(MapKey(aCustomer.Value(), aKey.Value()));
  return found == m_entries.end() ? nullptr : found->second.m_holder.get();
}

ClaimState
ClaimIndex::StateOf(const CustomerId& aCustomer,
                    const OrderKey& aKey,
                    const ClaimId& aClaim) const
{
  const auto found = m_entries.find(MapKey(aCustomer.Value(), aKey.Value()));
  if (found == m_entries.end()) {
    return ClaimState::Unseen;
  }
  const Entry& entry = found->second;
  if (entry.m_holder && entry.m_holder->m_claim == aClaim) {
    return ClaimState::Holder;
  }
  return Contains(entry.m_invalidClaims, aClaim) ? ClaimState::Invalid
                                                 : ClaimState::Unseen;
}

void
ClaimIndex::DropOldEntries()
{
  const Duration retention =
    m_options.m_key.m_lifetime + m_options.m_key.m_maxSkew + m_options.m_grace;
  while (!m_entriesByAge.empty() &&
         m_entriesByAge.front().m_created + retention < m_logTime) {
    const auto found = m_entries.find(*m_entriesByAge.front().m_key);
    m_bodyBytes -= BodyBytesOf(found->second.m_holder.get());
    m_entryBytes -= BytesOf(found->first, found->second);
    m_entries.erase(found);
    m_entriesByAge.pop_front();
  }
  DropOldBodies();
}

// Removes the keys of bodies that no longer exist from the front of
// m_bodyKeysByAge, and drops the oldest bodies while their total size exceeds
// m_maxBodyBytes.
void
ClaimIndex::DropOldBodies()
{
  while (!m_bodyKeysByAge.empty()) {
    const auto found = m_entries.find(m_bodyKeysByAge.front());
    const bool bodyGone = found == m_entries.end() ||
                          BodyBytesOf(found->second.m_holder.get()) == 0;
    if (!bodyGone && m_bodyBytes <= m_options.m_maxBodyBytes) {
      return;
    }
    m_bodyKeysByAge.pop_front();
    if (!bodyGone) {
      DropBody(found->first, &found->second);
    }
  }
}

void
ClaimIndex::DropBody(const std::string& aMapKey, Entry* aEntry)
{
  KeyHolder& holder = *aEntry->m_holder;
  m_entryBytes -= BytesOf(aMapKey, *aEntry);
  m_bodyBytes -= BodyBytesOf(&holder);
  OrderResult trimmed = *holder.m_result;
  trimmed.m_body = std::string();
  trimmed.m_bodyTooLarge = true;
  holder.m_result = std::make_shared<const OrderResult>(std::move(trimmed));
  m_entryBytes += BytesOf(aMapKey, *aEntry);
}

// Estimated bytes of an entry and its holder, including the body of the result.
// The copy of the key in m_bodyKeysByAge is counted by MemoryBytes.
std::size_t
ClaimIndex::BytesOf(const std::string& aMapKey, const Entry& aEntry)
{
  std::size_t bytes = sizeof(EntryMap::value_type) + sizeof(EntryAge) +
                      kBucketBytes + 2 * kAllocationOverheadBytes +
                      HeapBytesOf(aMapKey) +
                      aEntry.m_invalidClaims.capacity() * sizeof(ClaimId);
  if (aEntry.m_holder) {
    bytes += sizeof(KeyHolder) + kAllocationOverheadBytes +
             HeapBytesOf(aEntry.m_holder->m_bodySha256);
    if (aEntry.m_holder->m_result) {
      const OrderResult& result = *aEntry.m_holder->m_result;
      bytes += sizeof(OrderResult) + 2 * kAllocationOverheadBytes +
               HeapBytesOf(result.m_contentType) + HeapBytesOf(result.m_body);
    }
  }
  return bytes;
}

std::size_t
ClaimIndex::MemoryBytes() const
{
  constexpr std::size_t kBodyKeyBytes = 96; // a std::string and its heap block
  return sizeof(*this) + m_entryBytes + m_bodyKeysByAge.size() * kBodyKeyBytes;
}

} // namespace walnutwing
