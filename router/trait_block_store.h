#ifndef WALNUTWING_ROUTER_TRAIT_BLOCK_STORE_H_
#define WALNUTWING_ROUTER_TRAIT_BLOCK_STORE_H_

// Logs which traits are blocked and cleared, and keeps the blocked ones in the
// platform's store. The hubs write them, one record a trait in the members'
// topic; every daemon reads them there when it starts. So a fleet whose
// processes were all killed at once still knows them.

#include <memory>
#include <set>

#include "platform/store_codec.h"
#include "router/context.h"
#include "router/store_channel.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class TraitBlockStore
{
public:
  TraitBlockStore(Context& aContext, const LoadExchange& aExchange);
  TraitBlockStore(const TraitBlockStore&) = delete;
  TraitBlockStore& operator=(const TraitBlockStore&) = delete;

  // Must be called several times a second.
  void Tick(Time aNow);

  // Whether a record of the members' topic is one of a blocked trait; if so, it
  // is taken over.
  bool OnMemberRecord(const platform::StoreRecord& aRecord);

  // The store was restored from an older copy, which may lack records.
  void OnStoreRestored();

  const StoreChannel& Channel() const { return *m_channel; }

private:
  void HandleChanges(Time aNow);
  void Log(const TraitChange& aChange, Time aNow);
  void WriteNext(Time aNow);

  Context& m_context;
  const LoadExchange& m_exchange;
  std::shared_ptr<StoreChannel> m_channel;
  std::set<TraitId> m_unwritten; // changed since the record was written
  bool m_writing = false;
  Time m_nextWriteAt;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_TRAIT_BLOCK_STORE_H_
