#ifndef WALNUTWING_ROUTER_STREAM_JOURNAL_H_
#define WALNUTWING_ROUTER_STREAM_JOURNAL_H_

// A journal in the platform's store of which version began which stream, for
// streams that are taken up after the daemons that knew it are gone. A daemon
// appends the streams that it has begun while a service has several versions,
// as soon as its share of the store's calls allows. It is read only when a
// stream is taken up whose version no daemon knows.

#include <deque>
#include <memory>
#include <string>

#include "router/context.h"
#include "router/store_channel.h"
#include "router/topic_tail.h"

namespace walnutwing::router {

class StreamJournal
{
public:
  explicit StreamJournal(Context& aContext);
  StreamJournal(const StreamJournal&) = delete;
  StreamJournal& operator=(const StreamJournal&) = delete;

  // There are streams to append, soon.
  void OnStreamsBegun();

  // Must be called several times a second. aTrims: whether this daemon is one
  // of the few that drop what is too old.
  void Tick(bool aTrims, Time aNow);

  // Reads what was written since the last read into
  // Context::m_streamVersions.
  void Read(TopicTail::OnRead aOnRead) { m_tail.Read(std::move(aOnRead)); }

  std::uint64_t StoreCalls() const
  {
    return m_channel->Calls() + m_tail.Channel().Calls();
  }
  std::uint64_t StoreBytesRead() const
  {
    return m_channel->BytesRead() + m_tail.Channel().BytesRead();
  }

private:
  // A record of this daemon, by which it knows what is too old.
  struct Written
  {
    std::uint64_t m_offset = 0;
    Time m_at;
  };

  void AppendIfDue(Time aNow);
  void Append(Time aNow);
  void OnAppended(const StoreResponse& aResponse);
  void SetStoreAvailable(bool aAvailable, const StoreResponse& aResponse);
  void Trim(std::uint64_t aBefore);
  void OnRecords(const std::vector<platform::StoreRecord>& aRecords);

  Context& m_context;
  std::shared_ptr<StoreChannel> m_channel;
  Timer m_appendTimer;
  TopicTail m_tail;
  bool m_appendScheduled = false;
  bool m_calling = false;
  bool m_storeAvailable = true;          // for appends
  std::vector<StreamRecord> m_appending; // kept in case it has to be repeated
  Time m_nextAppendAt;
  Time m_nextTrimAt;
  std::deque<Written> m_written;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STREAM_JOURNAL_H_
