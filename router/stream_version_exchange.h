#ifndef WALNUTWING_ROUTER_STREAM_VERSION_EXCHANGE_H_
#define WALNUTWING_ROUTER_STREAM_VERSION_EXCHANGE_H_

// Tells other daemons which version of its upstreams began a stream, asks them
// for that of a stream that a caller resumes, and answers their questions, with
// datagrams (see stream_versions.h).

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "router/context.h"
#include "router_peer.pb.h"
#include "walnutwing/routing/stream_versions.h"

namespace walnutwing::router {

class StreamVersionExchange
{
public:
  // Sends a message to a daemon's address.
  using SendMessage = std::function<void(const std::string& aAddress,
                                         proto::RouterPeerMessage aMessage)>;
  // Whether this daemon's list of upstreams is up to date.
  using IsFresh = std::function<bool()>;
  // Reads from the store what no daemon that has answered knows. Calls
  // aOnAsked with whether the list of upstreams is up to date after that.
  using AskStore = std::function<void(std::function<void(bool aFresh)>)>;

  StreamVersionExchange(Context& aContext,
                        SendMessage aSendMessage,
                        IsFresh aIsFresh,
                        AskStore aAskStore);
  StreamVersionExchange(const StreamVersionExchange&) = delete;
  StreamVersionExchange& operator=(const StreamVersionExchange&) = delete;

  // See Context::m_findStreamVersion.
  void Find(StreamKey aStream,
            const ServiceId& aService,
            Context::OnStreamVersion aOnAnswer);

  // There are streams of which other daemons are to be told, soon.
  void OnStreamsBegun();

  // Another daemon's records, questions and answers.
  void OnMessage(const proto::RouterPeerMessage& aMessage,
                 const std::string& aFromAddress);

private:
  struct Pending
  {
    StreamKey m_stream;
    ServiceId m_service;
    VersionPoll m_poll;
    Context::OnStreamVersion m_onAnswer;
    std::unique_ptr<Timer> m_timer;
  };

  VersionOpinion OwnOpinion(StreamKey aStream, const ServiceId& aService) const;
  // aPoll: what the daemons that were asked have answered.
  void FindInStore(StreamKey aStream,
                   const ServiceId& aService,
                   const VersionPoll& aPoll,
                   Context::OnStreamVersion aOnAnswer);
  void SendRecords();
  void AnswerQuestions(const proto::RouterPeerMessage& aMessage,
                       const std::string& aFromAddress);
  void OnAnswer(const proto::StreamVersionAnswer& aAnswer);
  void Finish(std::uint32_t aNumber);

  Context& m_context;
  SendMessage m_sendMessage;
  IsFresh m_isFresh;
  AskStore m_askStore;
  Timer m_recordTimer;
  bool m_recordsScheduled = false;
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, Pending> m_pending; // by number
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STREAM_VERSION_EXCHANGE_H_
