#ifndef WALNUTWING_ORDERS_CLAIM_INDEX_H_
#define WALNUTWING_ORDERS_CLAIM_INDEX_H_

// The state of one partition of the order log: for each order key, which claim
// holds it and how its order ended. The state is a function of the records in
// offset order and of nothing else, so that all daemons agree on it.
//
// Rules, for the records of one (customer, key):
// - The first claim that is not dead becomes the holder.
// - A claim is dead for ever if it is read while another claim holds the key,
//   if its void was read before it, or if the log's clock at its append lies
//   outside the time in which the key may be used.
// - A void ends its own claim, whether that was read before or comes later; a
//   holder that is voided frees the key for claims that come after the void.
// - An outcome counts only from the holder. The first one stays, but a known
//   outcome replaces one that says "unknown".
//
// A claim never lapses. Its writer alone decides that it is never sent for.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "orders.pb.h"
#include "platform.pb.h"
#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"
#include "walnutwing/orders/order_key.h"

namespace walnutwing {

// Names one claim over all daemons and restarts.
struct ClaimId
{
  DaemonId m_daemon;
  std::uint64_t m_incarnation = 0; // larger after each start of the daemon
  std::uint64_t m_sequence = 0;

  auto operator<=>(const ClaimId&) const = default;
};

proto::ClaimId
ToProto(const ClaimId& aClaim);

ClaimId
FromProto(const proto::ClaimId& aClaim);

// How an order ended.
struct OrderResult
{
  int m_httpStatus = 0;
  std::string m_contentType;
  std::string m_body;
  bool m_bodyTooLarge = false; // the order ran; its body was not kept
  bool m_unknown = false; // sent, but no answer: whether it ran is not known

  bool operator==(const OrderResult&) const = default;
};

// The claim that holds a key.
struct KeyHolder
{
  ClaimId m_claim;
  std::string m_bodySha256;
  ServiceId m_service;
  WallTime m_claimedAt;                        // by the log's clock
  std::shared_ptr<const OrderResult> m_result; // null until it is recorded
};

enum class ClaimState
{
  Unseen,  // not read yet
  Holder,  // it holds the key
  Invalid, // it does not hold the key and never will
};

struct ClaimIndexOptions
{
  OrderKeyLimits m_key;
  // How much longer than a key may be used its entry is kept: the longest
  // deadline of an order.
  Duration m_grace = std::chrono::minutes(5);
  // Bytes of recorded bodies; beyond, the oldest are dropped and the results
  // say m_bodyTooLarge.
  std::size_t m_maxBodyBytes = std::size_t{ 4 } << 20;
};

class ClaimIndex
{
public:
  explicit ClaimIndex(const ClaimIndexOptions& aOptions);

  // Takes the next record. Offsets must ascend. A record that cannot be read
  // changes nothing and is counted.
  void Apply(const proto::LogRecord& aRecord);

  // The claim that holds the key, or null. Valid until the next Apply.
  const KeyHolder* Find(const CustomerId& aCustomer,
                        const OrderKey& aKey) const;

  // What has become of a claim. A claim whose entry was dropped is Unseen.
  ClaimState StateOf(const CustomerId& aCustomer,
                     const OrderKey& aKey,
                     const ClaimId& aClaim) const;

  // The log's clock at the newest record.
  WallTime LogTime() const { return m_logTime; }

  std::size_t KeyCount() const { return m_entries.size(); }
  std::uint64_t UnreadableRecords() const { return m_unreadableRecords; }

  // Estimate of the memory in use.
  std::size_t MemoryBytes() const;

private:
  struct Entry
  {
    std::unique_ptr<KeyHolder> m_holder;
    std::vector<ClaimId>
      m_invalidClaims; // voided, or read while another one held
  };
  using EntryMap = std::unordered_map<std::string, Entry>;
  struct EntryAge
  {
    WallTime m_created; // by the log's clock
    const std::string* m_key;
  };

  static std::size_t BytesOf(const std::string& aMapKey, const Entry& aEntry);
  void ApplyClaim(const proto::OrderClaim& aClaim);
  void ApplyVoid(const proto::OrderVoid& aVoid);
  void ApplyOutcome(const proto::OrderOutcome& aOutcome);
  Entry& GetOrCreate(const std::string& aMapKey);
  void SetResult(const std::string& aMapKey,
                 Entry* aEntry,
                 const proto::OrderOutcome& aOutcome);
  void DropOldEntries();
  void DropOldBodies();
  void DropBody(const std::string& aMapKey, Entry* aEntry);

  ClaimIndexOptions m_options;
  EntryMap m_entries;
  std::deque<EntryAge> m_entriesByAge; // oldest first
  std::deque<std::string>
    m_bodyKeysByAge; // keys of recorded bodies, oldest first
  WallTime m_logTime{};
  std::size_t m_entryBytes = 0;
  std::size_t m_bodyBytes = 0;
  std::uint64_t m_unreadableRecords = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_CLAIM_INDEX_H_
