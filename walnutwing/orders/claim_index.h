#ifndef WALNUTWING_ORDERS_CLAIM_INDEX_H_
#define WALNUTWING_ORDERS_CLAIM_INDEX_H_

// State of one partition of the order log: for each order key, which claim
// holds it and how its order ended. The state depends only on the records in
// offset order, so all daemons agree on it.
//
// Rules for the records of one (customer, key):
// - The first valid claim becomes the holder of the key.
// - A claim is invalid for good, including later copies of it, if it is read
//   while another claim holds the key or after its void.
// - A claim also does not become the holder if the log's clock at its append is
//   outside the time in which the key may be used.
// - A void invalidates its own claim, whether that was read before or is read
//   later. Voiding the holder frees the key for claims that follow the void.
// - An outcome counts only if it belongs to the holder. The first outcome is
//   kept, except that a known outcome replaces an unknown one.
//
// A claim never expires: only the daemon that wrote it decides that its order
// will not be sent, and then voids it.

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

// Identifies a claim uniquely across all daemons and their restarts.
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
  // The order ran, but the body of its answer was not kept.
  bool m_bodyTooLarge = false;
  // The order was sent without an answer: it is not known whether it ran.
  bool m_unknown = false;

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
  // How much longer than its key may be used an entry is kept: the longest
  // deadline of an order.
  Duration m_grace = std::chrono::minutes(5);
  // Largest total of recorded bodies. Beyond it the oldest bodies are dropped,
  // and m_bodyTooLarge is set in their results.
  std::size_t m_maxBodyBytes = std::size_t{ 4 } << 20;
};

class ClaimIndex
{
public:
  explicit ClaimIndex(const ClaimIndexOptions& aOptions);

  // Applies the next record. Offsets must ascend. A record that cannot be
  // parsed only advances the log time and is counted in UnreadableRecords.
  void Apply(const proto::LogRecord& aRecord);

  // Returns the claim that holds the key, or null. Valid until the next Apply.
  const KeyHolder* Find(const CustomerId& aCustomer,
                        const OrderKey& aKey) const;

  // Returns the state of a claim. A claim whose entry was dropped, or that was
  // read outside the time in which its key may be used, is Unseen.
  ClaimState StateOf(const CustomerId& aCustomer,
                     const OrderKey& aKey,
                     const ClaimId& aClaim) const;

  // The latest time of the log's clock in the records applied so far.
  WallTime LogTime() const { return m_logTime; }

  std::size_t KeyCount() const { return m_entries.size(); }
  std::uint64_t UnreadableRecords() const { return m_unreadableRecords; }

  // Estimated memory in use, in bytes.
  std::size_t MemoryBytes() const;

private:
  struct Entry
  {
    std::unique_ptr<KeyHolder> m_holder;
    // Voided, or read while another claim held the key.
    std::vector<ClaimId> m_invalidClaims;
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
  // Keys of recorded bodies, oldest first.
  std::deque<std::string> m_bodyKeysByAge;
  WallTime m_logTime{};
  std::size_t m_entryBytes = 0;
  std::size_t m_bodyBytes = 0;
  std::uint64_t m_unreadableRecords = 0;
};

} // namespace walnutwing

#endif // WALNUTWING_ORDERS_CLAIM_INDEX_H_
