#ifndef WALNUTWING_ROUTER_STREAM_VERSION_STORE_H_
#define WALNUTWING_ROUTER_STREAM_VERSION_STORE_H_

// Keeps in the platform's store which services have had one software version of
// their upstreams only, and since when. The hubs write a record a service in
// the members' topic when that changes; every daemon reads them there when it
// starts. So a fleet whose processes were all killed at once still knows the
// version of streams that began before.

#include <map>
#include <memory>
#include <set>

#include "platform/store_codec.h"
#include "router/context.h"
#include "router/store_channel.h"
#include "walnutwing/routing/load_exchange.h"

namespace walnutwing::router {

class StreamVersionStore
{
public:
  StreamVersionStore(Context& aContext, const LoadExchange& aExchange);
  StreamVersionStore(const StreamVersionStore&) = delete;
  StreamVersionStore& operator=(const StreamVersionStore&) = delete;

  // Must be called several times a second.
  void Tick(Time aNow);

  // Whether a record of the members' topic is one of a service's version; if
  // so, it is taken over.
  bool OnMemberRecord(const platform::StoreRecord& aRecord);

  // Reads the topic if it was not read yet, as a daemon that has just started
  // does so late. Calls aOnRead afterwards, or at once, in any case.
  void ReadIfUnread(std::function<void()> aOnRead);

  // The complete topic was read.
  void OnMemberSnapshot() { m_topicRead = true; }

  // The store was restored from an older copy, which may lack records.
  void OnStoreRestored() { m_written.clear(); }

  const StoreChannel& Channel() const { return *m_channel; }
  const StoreChannel& ReadChannel() const { return *m_readChannel; }

private:
  void OnNewest(const StoreResponse& aResponse);
  void NoteNewServices(Time aNow);
  void WriteNext(Time aNow);
  void Write(const ServiceId& aService,
             const std::optional<OnlyVersion>& aOnly,
             Time aNow);

  Context& m_context;
  const LoadExchange& m_exchange;
  std::shared_ptr<StoreChannel> m_channel;
  std::shared_ptr<StoreChannel> m_readChannel;
  std::vector<std::function<void()>> m_reading; // wait for a read
  // The versions in the records, as far as they were read or written here;
  // nothing for services with several versions.
  std::map<ServiceId, std::optional<SoftwareVersion>> m_written;
  std::set<ServiceId> m_noted; // services that have been listed here
  bool m_topicRead = false;
  bool m_writing = false;
  Time m_nextWriteAt;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STREAM_VERSION_STORE_H_
