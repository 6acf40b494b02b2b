#ifndef WALNUTWING_CONFIG_CONFIG_LOG_H_
#define WALNUTWING_CONFIG_CONFIG_LOG_H_

// Which of the operators' changes are in force: a pure function of the log.
//
// The version of a configuration is the offset of the record that made it. A
// change names the version that it was made against and is accepted only if
// that version is in force when the record's turn comes, if an operator's key
// signed it and if its result is valid. Of racing changes the first in the log
// wins; the version only ever grows.
//
// Log records expire. A snapshot carries the configuration as of an offset, its
// "through": all records up to there are accounted for. A reader whose log
// begins at offset F may start from a snapshot with through >= F - 1, wherever
// in the log the snapshot stands, and then evaluates the records after through,
// also those that stand before the snapshot itself. So a snapshot that lands
// late cannot hide a change. A reader that has seen every record ignores
// snapshots. A reader that lacks records and has found no such snapshot is
// "unanchored": it keeps what it has in force and judges nothing.

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

// Offset of the record that made a configuration; 0 is "no configuration yet".
using ConfigVersion = std::uint64_t;

// Keys that operators sign with.
struct OperatorKeys
{
  std::map<std::string, std::string> m_keys; // name -> secret bytes
  // Whether to believe signatures of operators that are not in m_keys. Only the
  // operators' client, which knows just its own key, may do so.
  bool m_trustUnknownOperators = false;

  // Whether aProof was signed by the operator that it names.
  bool Verify(const proto::ChangeProof& aProof) const;
};

enum class VerdictKind
{
  Accepted,
  RejectedStaleBase,
  RejectedInvalid,
  RejectedSignature,
  SnapshotIgnored,  // sound, but this reader needs none
  SnapshotUnusable, // does not verify, or cannot anchor this reader
  SnapshotAdopted,
  AlreadySeen,
  Unanchored, // judged later, once a snapshot is found
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

// The configuration that aRecord's change makes of aConfig, normalized and
// without version, author and proof. nullopt if the change has no sound
// meaning; aFindings then says why.
std::optional<proto::FleetConfig>
ApplyChange(const proto::FleetConfig& aConfig,
            const proto::ConfigRecord& aRecord,
            std::vector<ConfigFinding>* aFindings);

// "switch preset to night", "put customer dispatch" and so on.
std::string
DescribeChange(const proto::ConfigRecord& aRecord);

// Completes a change that is to be appended: base version, digest of the result
// and signature. The record's change, change_id, operator_name and at_ms are
// set already. Returns what is wrong with the change, empty if it may be
// appended.
std::vector<ConfigFinding>
SignChange(const proto::FleetConfig& aBase,
           std::string_view aOperatorKey,
           proto::ConfigRecord* aRecord);

// Signs aRecord as it stands, sound or not.
void
SetSignature(std::string_view aOperatorKey, proto::ConfigRecord* aRecord);

// What of aRecord is signed, with its signature.
proto::ChangeProof
ProofOf(const proto::ConfigRecord& aRecord);

// Whether aConfig says what its proof was signed for.
bool
VerifyConfig(const proto::FleetConfig& aConfig, const OperatorKeys& aKeys);

class ConfigState
{
public:
  explicit ConfigState(OperatorKeys aKeys);

  // Judges the next record of the log. Appends a verdict on it, and on earlier
  // records if it is the snapshot that they waited for. Offsets that were seen
  // are AlreadySeen; an offset beyond NextOffset() is a programming error and
  // throws std::invalid_argument.
  void Apply(std::uint64_t aOffset,
             std::int64_t aAtMs,
             const proto::ConfigRecord& aRecord,
             std::vector<ConfigVerdict>* aVerdicts);

  // Says that the log keeps no record before aFirstOffset.
  void OnTruncated(std::uint64_t aFirstOffset);

  // Takes a complete configuration from a peer if it is newer and verifies.
  // True if it is now in force.
  bool AdoptFromPeer(const proto::FleetConfig& aConfig);

  // Takes an accepted change from a peer if it follows the version in force and
  // would be accepted here. True if it is now in force.
  bool AdoptFromPeer(const proto::ConfigLogEntry& aEntry);

  // In force; its version is 0 while there is none.
  const proto::FleetConfig& Config() const { return m_config; }
  ConfigVersion Version() const { return m_config.version(); }

  const OperatorKeys& Keys() const { return m_keys; }

  // The offset to read the log from.
  std::uint64_t NextOffset() const { return m_nextOffset; }

  // Whether every record before NextOffset() is accounted for.
  bool Anchored() const { return m_nextOffset == m_throughOffset + 1; }

  // Records that wait for a snapshot.
  std::size_t PendingRecords() const { return m_pending.size(); }

  // A record that keeps the state from expiring. Call only when Anchored() and
  // Version() > 0.
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
  std::uint64_t m_throughOffset = 0; // all records up to here are accounted for
  std::uint64_t m_nextOffset = 1;    // the next record to read
  std::uint64_t m_firstAfterGap = 1; // first record read since the last gap
  std::vector<PendingRecord>
    m_pending; // from m_firstAfterGap, while unanchored
};

} // namespace walnutwing

#endif // WALNUTWING_CONFIG_CONFIG_LOG_H_
