// Evaluates the log record by record. While no records are missing, a record is
// evaluated when it is read. After a gap, records are deferred until an anchor
// is found: a snapshot that accounts for all records of the gap, a change that
// overrides its base, or a peer's configuration whose version is not before the
// end of the gap. The deferred records after the anchor are then evaluated in
// order.

#include "walnutwing/config/config_log.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace walnutwing {
namespace {

using Change = proto::ConfigRecord::ChangeCase;

constexpr auto kVerdictNames =
  std::to_array<std::pair<VerdictKind, std::string_view>>({
    { VerdictKind::Accepted, "accepted" },
    { VerdictKind::RejectedStaleBase, "rejected_stale_base" },
    { VerdictKind::RejectedInvalid, "rejected_invalid" },
    { VerdictKind::RejectedSignature, "rejected_signature" },
    { VerdictKind::SnapshotIgnored, "snapshot_ignored" },
    { VerdictKind::SnapshotUnusable, "snapshot_unusable" },
    { VerdictKind::SnapshotAdopted, "snapshot_adopted" },
    { VerdictKind::AlreadySeen, "already_seen" },
    { VerdictKind::Unanchored, "unanchored" },
  });

std::string
HmacSha256(std::string_view aKey, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  if (HMAC(EVP_sha256(),
           aKey.data(),
           static_cast<int>(aKey.size()),
           reinterpret_cast<const unsigned char*>(aText.data()),
           aText.size(),
           digest.data(),
           &length) == nullptr) {
    throw std::runtime_error("HMAC-SHA256 failed");
  }
  return { digest.begin(), digest.begin() + length };
}

std::string
SignatureOf(proto::ChangeProof aProof, std::string_view aKey)
{
  aProof.clear_signature();
  return HmacSha256(aKey, aProof.SerializeAsString());
}

// Replaces the element of the same name by aItem, or appends aItem.
template<typename Range, typename Item>
void
PutByName(Range* aRange, const Item& aItem)
{
  for (Item& item : *aRange) {
    if (item.name() == aItem.name()) {
      item = aItem;
      return;
    }
  }
  *aRange->Add() = aItem;
}

// Removes the elements for which aMatches holds. Returns whether there were
// any.
template<typename Range, typename Matches>
bool
RemoveMatching(Range* aRange, Matches aMatches)
{
  const auto kept = std::remove_if(aRange->begin(), aRange->end(), aMatches);
  const bool found = kept != aRange->end();
  aRange->erase(kept, aRange->end());
  return found;
}

std::optional<ConfigFinding>
TakeZoneOut(proto::FleetConfig* aConfig, const std::string& aZone)
{
  if (IsZoneOut(*aConfig, aZone)) {
    return ConfigFinding{ FindingKind::ZoneAlreadyOut,
                          "fleet",
                          "zone " + aZone + " is already out" };
  }
  aConfig->add_zones_out(aZone);
  return std::nullopt;
}

std::optional<ConfigFinding>
BringZoneBack(proto::FleetConfig* aConfig, const std::string& aZone)
{
  const auto isZone = [&](const std::string& aOut) { return aOut == aZone; };
  if (!RemoveMatching(aConfig->mutable_zones_out(), isZone)) {
    return ConfigFinding{ FindingKind::ZoneNotOut,
                          "fleet",
                          "zone " + aZone + " is not out" };
  }
  return std::nullopt;
}

std::optional<ConfigFinding>
DeleteCustomer(proto::FleetConfig* aConfig, const std::string& aName)
{
  const auto isCustomer = [&](const proto::Customer& aCustomer) {
    return aCustomer.name() == aName;
  };
  if (!RemoveMatching(aConfig->mutable_customers(), isCustomer)) {
    return ConfigFinding{ FindingKind::UnknownCustomer,
                          "customer " + aName,
                          "there is no such customer" };
  }
  return std::nullopt;
}

// Makes aRecord's change to aConfig without validating the result. Returns a
// finding if the change cannot be made.
std::optional<ConfigFinding>
ApplyUnvalidated(const proto::ConfigRecord& aRecord,
                 proto::FleetConfig* aConfig)
{
  switch (aRecord.change_case()) {
    case Change::kPutCustomer:
      PutByName(aConfig->mutable_customers(), aRecord.put_customer());
      return std::nullopt;
    case Change::kPutService:
      PutByName(aConfig->mutable_services(), aRecord.put_service());
      return std::nullopt;
    case Change::kPutPreset:
      PutByName(aConfig->mutable_presets(), aRecord.put_preset());
      return std::nullopt;
    case Change::kSwitchPreset:
      aConfig->set_active_preset(aRecord.switch_preset());
      return std::nullopt;
    case Change::kZoneOut:
      return TakeZoneOut(aConfig, aRecord.zone_out());
    case Change::kZoneBack:
      return BringZoneBack(aConfig, aRecord.zone_back());
    case Change::kReplaceAll:
      *aConfig = aRecord.replace_all();
      return std::nullopt;
    case Change::kDeleteCustomer:
      return DeleteCustomer(aConfig, aRecord.delete_customer());
    case Change::kSnapshot:
    case Change::CHANGE_NOT_SET:
      break;
  }
  return ConfigFinding{ FindingKind::EmptyChange,
                        "record",
                        "is empty or cannot be parsed" };
}

bool
OverridesBase(const proto::ConfigRecord& aRecord)
{
  return aRecord.override_base() && aRecord.has_replace_all();
}

// Whether aResult is the result that aRecord's operator signed. Prevents
// program versions that interpret a change differently from both accepting it.
bool
ResultMatches(const proto::ConfigRecord& aRecord,
              const proto::FleetConfig& aResult)
{
  return aRecord.result_sha256() == ContentDigest(aResult);
}

} // namespace

bool
OperatorKeys::Verify(const proto::ChangeProof& aProof) const
{
  const auto key = m_keys.find(aProof.operator_name());
  if (key == m_keys.end()) {
    return m_trustUnknownOperators;
  }
  const std::string expected = SignatureOf(aProof, key->second);
  const std::string& actual = aProof.signature();
  return actual.size() == expected.size() &&
         CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0;
}

std::string_view
NameOf(VerdictKind aKind)
{
  for (const auto& [kind, name] : kVerdictNames) {
    if (kind == aKind) {
      return name;
    }
  }
  throw std::out_of_range("no such VerdictKind");
}

std::optional<proto::FleetConfig>
ApplyChange(const proto::FleetConfig& aConfig,
            const proto::ConfigRecord& aRecord,
            std::vector<ConfigFinding>* aFindings)
{
  proto::FleetConfig result = aConfig;
  if (const auto finding = ApplyUnvalidated(aRecord, &result)) {
    aFindings->push_back(*finding);
    return std::nullopt;
  }
  result.clear_version();
  result.clear_changed_by();
  result.clear_changed_at_ms();
  result.clear_proof();
  Normalize(&result);
  const std::vector<ConfigFinding> findings = Validate(result);
  aFindings->insert(aFindings->end(), findings.begin(), findings.end());
  if (!findings.empty()) {
    return std::nullopt;
  }
  return result;
}

std::string
DescribeChange(const proto::ConfigRecord& aRecord)
{
  switch (aRecord.change_case()) {
    case Change::kPutCustomer:
      return "put customer " + aRecord.put_customer().name();
    case Change::kPutService:
      return "put service " + aRecord.put_service().name();
    case Change::kPutPreset:
      return "put preset " + aRecord.put_preset().name();
    case Change::kSwitchPreset:
      return "switch preset to " + aRecord.switch_preset();
    case Change::kZoneOut:
      return "take zone " + aRecord.zone_out() + " out";
    case Change::kZoneBack:
      return "bring zone " + aRecord.zone_back() + " back";
    case Change::kReplaceAll:
      return aRecord.override_base() ? "replace all, overriding the base"
                                     : "replace all";
    case Change::kSnapshot:
      return "snapshot of version " +
             std::to_string(aRecord.snapshot().version());
    case Change::kDeleteCustomer:
      return "delete customer " + aRecord.delete_customer();
    case Change::CHANGE_NOT_SET:
      break;
  }
  return "nothing";
}

std::vector<ConfigFinding>
SignChange(const proto::FleetConfig& aBase,
           std::string_view aOperatorKey,
           proto::ConfigRecord* aRecord)
{
  std::vector<ConfigFinding> findings;
  const auto result = ApplyChange(aBase, *aRecord, &findings);
  if (!result) {
    return findings;
  }
  aRecord->set_base_version(aBase.version());
  aRecord->set_result_sha256(ContentDigest(*result));
  SetSignature(aOperatorKey, aRecord);
  return findings;
}

void
SetSignature(std::string_view aOperatorKey, proto::ConfigRecord* aRecord)
{
  aRecord->set_signature(SignatureOf(ProofOf(*aRecord), aOperatorKey));
}

proto::ChangeProof
ProofOf(const proto::ConfigRecord& aRecord)
{
  proto::ConfigRecord change = aRecord;
  change.clear_change_id();
  change.clear_base_version();
  change.clear_operator_name();
  change.clear_at_ms();
  change.clear_signature();
  change.clear_result_sha256();

  proto::ChangeProof proof;
  proof.set_change_id(aRecord.change_id());
  proof.set_base_version(aRecord.base_version());
  proof.set_operator_name(aRecord.operator_name());
  proof.set_at_ms(aRecord.at_ms());
  proof.set_change_sha256(Sha256(change.SerializeAsString()));
  proof.set_result_sha256(aRecord.result_sha256());
  proof.set_signature(aRecord.signature());
  return proof;
}

bool
VerifyConfig(const proto::FleetConfig& aConfig, const OperatorKeys& aKeys)
{
  return aConfig.version() > 0 &&
         aConfig.proof().result_sha256() == ContentDigest(aConfig) &&
         aKeys.Verify(aConfig.proof()) && Validate(aConfig).empty();
}

ConfigState::ConfigState(OperatorKeys aKeys)
  : m_keys(std::move(aKeys))
{
}

void
ConfigState::Apply(std::uint64_t aOffset,
                   std::int64_t aAtMs,
                   const proto::ConfigRecord& aRecord,
                   std::vector<ConfigVerdict>* aVerdicts)
{
  if (aOffset < m_nextOffset) {
    aVerdicts->push_back({ .m_offset = aOffset,
                           .m_kind = VerdictKind::AlreadySeen,
                           .m_changeId = aRecord.change_id(),
                           .m_version = Version() });
    return;
  }
  if (aOffset > m_nextOffset) {
    throw std::invalid_argument("records were skipped before offset " +
                                std::to_string(aOffset));
  }
  const bool anchored = Anchored();
  ++m_nextOffset;
  if (anchored) {
    aVerdicts->push_back(Evaluate(aOffset, aAtMs, aRecord));
    return;
  }
  ApplyUnanchored(aOffset, aAtMs, aRecord, aVerdicts);
}

void
ConfigState::OnTruncated(std::uint64_t aFirstOffset)
{
  if (aFirstOffset <= m_nextOffset) {
    return;
  }
  m_nextOffset = aFirstOffset;
  m_firstAfterGap = aFirstOffset;
  m_pending.clear();
}

// Evaluates a record when all records before it are accounted for.
ConfigVerdict
ConfigState::Evaluate(std::uint64_t aOffset,
                      std::int64_t aAtMs,
                      const proto::ConfigRecord& aRecord)
{
  m_throughOffset = aOffset;
  ConfigVerdict verdict{ .m_offset = aOffset,
                         .m_kind = VerdictKind::SnapshotIgnored,
                         .m_changeId = aRecord.change_id(),
                         .m_version = Version() };
  if (aRecord.has_snapshot()) {
    if (!IsValidSnapshot(aOffset, aRecord)) {
      verdict.m_kind = VerdictKind::SnapshotUnusable;
    }
    return verdict;
  }
  const proto::ChangeProof proof = ProofOf(aRecord);
  if (!m_keys.Verify(proof)) {
    verdict.m_kind = VerdictKind::RejectedSignature;
    return verdict;
  }
  if (aRecord.base_version() != Version() && !OverridesBase(aRecord)) {
    verdict.m_kind = VerdictKind::RejectedStaleBase;
    return verdict;
  }
  auto result = ApplyChange(m_config, aRecord, &verdict.m_findings);
  if (result && !ResultMatches(aRecord, *result)) {
    verdict.m_findings.push_back(
      { FindingKind::ResultMismatch,
        "record",
        "the change produces a configuration that was not signed" });
    result.reset();
  }
  if (!result) {
    verdict.m_kind = VerdictKind::RejectedInvalid;
    return verdict;
  }
  m_config = std::move(*result);
  m_config.set_version(aOffset);
  m_config.set_changed_by(aRecord.operator_name());
  m_config.set_changed_at_ms(aAtMs);
  *m_config.mutable_proof() = proof;
  verdict.m_kind = VerdictKind::Accepted;
  verdict.m_version = Version();
  return verdict;
}

bool
ConfigState::IsValidSnapshot(std::uint64_t aOffset,
                             const proto::ConfigRecord& aRecord) const
{
  return aRecord.snapshot().version() <= aRecord.snapshot_through() &&
         aRecord.snapshot_through() < aOffset &&
         VerifyConfig(aRecord.snapshot(), m_keys);
}

// Whether a snapshot is valid, accounts for all records of the gap and is not
// older than the configuration in force.
bool
ConfigState::IsAnchorSnapshot(std::uint64_t aOffset,
                              const proto::ConfigRecord& aRecord) const
{
  return aRecord.snapshot().version() >= Version() &&
         aRecord.snapshot_through() + 1 >= m_firstAfterGap &&
         IsValidSnapshot(aOffset, aRecord);
}

void
ConfigState::ApplyUnanchored(std::uint64_t aOffset,
                             std::int64_t aAtMs,
                             const proto::ConfigRecord& aRecord,
                             std::vector<ConfigVerdict>* aVerdicts)
{
  ConfigVerdict verdict{ .m_offset = aOffset,
                         .m_kind = VerdictKind::Unanchored,
                         .m_changeId = aRecord.change_id(),
                         .m_version = Version() };
  if (OverridesBase(aRecord)) {
    const std::uint64_t previousThrough = m_throughOffset;
    verdict = Evaluate(aOffset, aAtMs, aRecord);
    if (verdict.m_kind == VerdictKind::Accepted) {
      m_pending.clear();
    } else {
      m_throughOffset = previousThrough;
    }
    aVerdicts->push_back(std::move(verdict));
    return;
  }
  m_pending.push_back({ aOffset, aAtMs, aRecord });
  if (!aRecord.has_snapshot()) {
    aVerdicts->push_back(std::move(verdict));
    return;
  }
  if (!IsAnchorSnapshot(aOffset, aRecord)) {
    m_pending.back().m_record.mutable_snapshot()->Clear();
    verdict.m_kind = VerdictKind::SnapshotUnusable;
    aVerdicts->push_back(std::move(verdict));
    return;
  }
  m_pending.pop_back();
  m_config = aRecord.snapshot();
  AnchorAt(aRecord.snapshot_through(), aVerdicts);
  m_throughOffset = aOffset;
  verdict.m_kind = VerdictKind::SnapshotAdopted;
  verdict.m_version = Version();
  aVerdicts->push_back(std::move(verdict));
}

// Evaluates the deferred records after aThroughOffset, up to which all records
// are accounted for.
void
ConfigState::AnchorAt(std::uint64_t aThroughOffset,
                      std::vector<ConfigVerdict>* aVerdicts)
{
  m_throughOffset = aThroughOffset;
  const std::vector<PendingRecord> pending = std::exchange(m_pending, {});
  for (const PendingRecord& record : pending) {
    if (record.m_offset <= aThroughOffset) {
      continue;
    }
    aVerdicts->push_back(
      Evaluate(record.m_offset, record.m_atMs, record.m_record));
  }
}

bool
ConfigState::AdoptFromPeer(const proto::FleetConfig& aConfig)
{
  if (aConfig.version() <= m_throughOffset || !VerifyConfig(aConfig, m_keys)) {
    return false;
  }
  m_config = aConfig;
  const std::uint64_t version = aConfig.version();
  if (Anchored() || version + 1 >= m_firstAfterGap) {
    std::vector<ConfigVerdict> verdicts;
    AnchorAt(version, &verdicts);
    m_nextOffset = std::max(m_nextOffset, version + 1);
  }
  m_throughOffset = std::max(m_throughOffset, version);
  return true;
}

bool
ConfigState::AdoptFromPeer(const proto::ConfigLogEntry& aEntry)
{
  if (aEntry.offset() <= m_throughOffset || aEntry.record().has_snapshot()) {
    return false;
  }
  ConfigState trial = *this;
  trial.m_pending.clear();
  const ConfigVerdict verdict =
    trial.Evaluate(aEntry.offset(), aEntry.at_ms(), aEntry.record());
  return verdict.m_kind == VerdictKind::Accepted &&
         AdoptFromPeer(trial.m_config);
}

proto::ConfigRecord
ConfigState::MakeSnapshot(std::string aChangeId, std::int64_t aAtMs) const
{
  if (!Anchored() || Version() == 0) {
    throw std::logic_error("a snapshot requires an anchored configuration");
  }
  proto::ConfigRecord record;
  record.set_change_id(std::move(aChangeId));
  record.set_at_ms(aAtMs);
  *record.mutable_snapshot() = m_config;
  record.set_snapshot_through(m_throughOffset);
  return record;
}

} // namespace walnutwing
