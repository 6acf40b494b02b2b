#ifndef WALNUTWING_CONFIG_CONFIG_LOG_H_
#define WALNUTWING_CONFIG_CONFIG_LOG_H_

// Evaluates the log of the operators' changes. The configuration in force is a
// pure function of the log.
//
// The version of a configuration is the offset of the record that created it. A
// change names the version that it is based on. It is accepted only if that
// version is in force when the record is evaluated, an operator's key signed it
// and its result is valid. Of several changes to the same version the first in
// the log wins; the version only increases.
//
// Log records expire. A snapshot contains the configuration as of an offset,
// its through offset, and accounts for all records up to there. A reader whose
// log begins at offset F may start from a snapshot whose through offset is at
// least F - 1, wherever the snapshot is in the log. It then evaluates all
// records after the through offset, including those before the snapshot record
// itself, so a snapshot that is appended late cannot hide a change. A reader
// that has seen every record ignores snapshots. A reader that lacks records and
// has found no such snapshot is "unanchored": it keeps the configuration it has
// and defers the evaluation of records. Only a replace_all that overrides its
// base is evaluated at once, as it does not depend on the missing records.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config.pb.h"

#include "walnutwing/config/fleet_config.h"

namespace walnutwing {

// Offset of the record that created a configuration; 0 means no configuration.
using ConfigVersion = std::uint64_t;

// The keys that operators sign changes with.
struct OperatorKeys
{
  std::map<std::string, std::string> m_keys; // name -> secret bytes
  // Whether to accept any signature of operators that are not in m_keys. Only
  // for the operators' client, which knows no key but its own.
  bool m_trustUnknownOperators = false;

  // Whether aProof was signed with the key of the operator that it names.
  bool Verify(const proto::ChangeProof& aProof) const;
};

enum class VerdictKind
{
  Accepted,
  RejectedStaleBase,
  RejectedInvalid,
  RejectedSignature,
  SnapshotIgnored,  // valid, but not needed as no records are missing
  SnapshotUnusable, // invalid, or cannot replace the missing records
  SnapshotAdopted,
  AlreadySeen,
  Unanchored, // deferred until the missing records are accounted for
};

// "accepted", "rejected_stale_base" and so on.
std::string_view
NameOf(VerdictKind aKind);

struct ConfigVerdict
{
  std::uint64_t m_offset = 0;
  VerdictKind m_kind = VerdictKind::AlreadySeen;
  std::string m_changeId{};
  ConfigVersion m_version = 0; // in force after the record
  std::vector<ConfigFinding> m_findings{};
};

// Returns the result of aRecord's change to aConfig, normalized and without
// version, author and proof. Returns nullopt and appends the reasons to
// aFindings if the change cannot be made or its result is invalid.
std::optional<proto::FleetConfig>
ApplyChange(const proto::FleetConfig& aConfig,
            const proto::ConfigRecord& aRecord,
            std::vector<ConfigFinding>* aFindings);

// One line for operators: "switch preset to night", "put customer dispatch".
std::string
DescribeChange(const proto::ConfigRecord& aRecord);

// Completes a record before it is appended: sets the base version, the digest
// of the result and the signature. The caller has set the record's change,
// change_id, operator_name and at_ms. Returns the findings that make the change
// invalid, in which case aRecord is unchanged; empty if it may be appended.
std::vector<ConfigFinding>
SignChange(const proto::FleetConfig& aBase,
           std::string_view aOperatorKey,
           proto::ConfigRecord* aRecord);

// Signs aRecord without validating it.
void
SetSignature(std::string_view aOperatorKey, proto::ConfigRecord* aRecord);

// Returns the fields of aRecord that are signed, the digest of its change and
// its signature.
proto::ChangeProof
ProofOf(const proto::ConfigRecord& aRecord);

// Whether aConfig is valid and its content is what its proof was signed for.
bool
VerifyConfig(const proto::FleetConfig& aConfig, const OperatorKeys& aKeys);

class ConfigState
{
public:
  explicit ConfigState(OperatorKeys aKeys);

  // Evaluates the next record of the log. Appends a verdict on it, preceded by
  // verdicts on deferred records if it is the snapshot that they need. An
  // offset before NextOffset() is AlreadySeen. Throws std::invalid_argument if
  // aOffset is beyond NextOffset(), which is a programming error.
  void Apply(std::uint64_t aOffset,
             std::int64_t aAtMs,
             const proto::ConfigRecord& aRecord,
             std::vector<ConfigVerdict>* aVerdicts);

  // Notes that the log has no records before aFirstOffset any more.
  void OnTruncated(std::uint64_t aFirstOffset);

  // Adopts a complete configuration from a peer if it is newer than all records
  // accounted for and verifies. Returns whether it is now in force.
  bool AdoptFromPeer(const proto::FleetConfig& aConfig);

  // Adopts an accepted change from a peer if it is newer than all records
  // accounted for and is accepted here too. Returns whether it is now in force.
  bool AdoptFromPeer(const proto::ConfigLogEntry& aEntry);

  // The configuration in force; its version is 0 while there is none.
  const proto::FleetConfig& Config() const { return m_config; }
  ConfigVersion Version() const { return m_config.version(); }

  const OperatorKeys& Keys() const { return m_keys; }

  // The offset to read the log from.
  std::uint64_t NextOffset() const { return m_nextOffset; }

  // Whether every record before NextOffset() is accounted for.
  bool Anchored() const { return m_nextOffset == m_throughOffset + 1; }

  // Number of records whose evaluation is deferred.
  std::size_t PendingRecords() const { return m_pending.size(); }

  // Returns a record that preserves the configuration when the records that led
  // to it expire. Throws std::logic_error unless Anchored() and Version() > 0.
  proto::ConfigRecord MakeSnapshot(std::string aChangeId,
                                   std::int64_t aAtMs) const;

private:
  struct PendingRecord
  {
    std::uint64_t m_offset;
    std::int64_t m_atMs;
    proto::ConfigRecord m_record;
  };

  ConfigVerdict Evaluate(std::uint64_t aOffset,
                         std::int64_t aAtMs,
                         const proto::ConfigRecord& aRecord);
  bool IsValidSnapshot(std::uint64_t aOffset,
                       const proto::ConfigRecord& aRecord) const;
  bool IsAnchorSnapshot(std::uint64_t aOffset,
                        const proto::ConfigRecord& aRecord) const;
  void ApplyUnanchored(std::uint64_t aOffset,
                       std::int64_t aAtMs,
                       const proto::ConfigRecord& aRecord,
                       std::vector<ConfigVerdict>* aVerdicts);
  void AnchorAt(std::uint64_t aThroughOffset,
                std::vector<ConfigVerdict>* aVerdicts);

  OperatorKeys m_keys;
  proto::FleetConfig m_config;
  std::uint64_t m_throughOffset = 0; // all up to here are accounted for
  std::uint64_t m_nextOffset = 1;    // the next record to read
  std::uint64_t m_firstAfterGap = 1; // first record read since the last gap
  // Records deferred while unanchored, from m_firstAfterGap.
  std::vector<PendingRecord> m_pending;
};

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_CONFIG_LOG_H_
