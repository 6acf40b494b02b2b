#include "router/peers.h"

#include <algorithm>
#include <utility>

#include "router/input_guard.h"
#include "router/rollout_news_codec.h"
#include "router/store_pace.h"
#include "router/trait_news_codec.h"

namespace walnutwing::router {
namespace {

// Delay of messages that are sent before their period, to batch several news.
constexpr Duration kEarlySendDelay = std::chrono::milliseconds(10);
// How long a daemon relies on its hub to read the members' topic.
constexpr Duration kRosterRelyDuration = std::chrono::milliseconds(500);
// How long changes are repeated in digests, for daemons that missed one.
constexpr Duration kChangeLifetime = std::chrono::milliseconds(1000);
// The same for upstreams that are leaving.
constexpr Duration kLeavingLifetime = std::chrono::milliseconds(2000);
// If the changed records are larger than this in total, digests leave them out
// and the daemons read the store.
constexpr std::size_t kMaxForwardedBytes = 4096;

proto::RouterPeerMessage::Kind
KindOf(LoadMessageKind aKind)
{
  switch (aKind) {
    case LoadMessageKind::Report:
      return proto::RouterPeerMessage::REPORT;
    case LoadMessageKind::ZoneSum:
      return proto::RouterPeerMessage::ZONE_SUM;
    case LoadMessageKind::Digest:
      return proto::RouterPeerMessage::DIGEST;
  }
  return proto::RouterPeerMessage::REPORT;
}

} // namespace

Peers::Peers(Context& aContext,
             LoadExchange& aExchange,
             TopicFeed& aOperatorFeed,
             TopicFeed& aUpstreamFeed,
             TopicFeed& aMemberFeed)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_operatorFeed(aOperatorFeed)
  , m_upstreamFeed(aUpstreamFeed)
  , m_memberFeed(aMemberFeed)
  , m_socket(aContext.m_loop.get_executor())
  , m_timer(aContext.m_loop.get_executor())
  , m_earlySendTimer(aContext.m_loop.get_executor())
{
  const Tcp::endpoint endpoint =
    ParseEndpoint(aContext.m_settings.m_peerListen).value();
  m_socket.open(Udp::v4());
  m_socket.bind({ endpoint.address(), endpoint.port() });
  m_socket.non_blocking(true);
}

void
Peers::Start()
{
  Receive();
  SendPeriodically();
}

void
Peers::Receive()
{
  m_socket.async_receive_from(
    asio::buffer(m_input),
    m_sender,
    [this](const error_code& aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      proto::RouterPeerMessage message;
      if (!aError &&
          message.ParseFromArray(m_input.data(), static_cast<int>(aBytes))) {
        RunGuarded(m_context.m_log, m_context.m_metrics, "peer", Now(), [&] {
          OnMessage(message);
        });
      } else {
        ++m_context.m_metrics.Counter("peer_messages_unreadable_total");
      }
      Receive();
    });
}

void
Peers::OnMessage(const proto::RouterPeerMessage& aMessage)
{
  const DaemonId from(aMessage.from());
  if (!m_exchange.HasMember(from)) {
    ++m_context.m_metrics.Counter("peer_messages_of_strangers_total");
    return;
  }
  for (const proto::LeavingUpstream& leaving : aMessage.leaving()) {
    m_onLeaving(UpstreamId(leaving.id()), leaving.start_wall_ms(), from);
  }
  const Time now = Now();
  m_context.m_traitBreaker.OnNews(DecodeTraitNews(aMessage, now), now);
  if (m_context.m_traitBreaker.TakeHasNews() && m_exchange.IsHub()) {
    SendSoon();
  }
  ReadRequestLimits(aMessage, now);
  ApplyRolloutNews(aMessage, now, m_context.m_rollouts);
  UpstreamLoads loads;
  for (const proto::LoadAt& load : aMessage.loads()) {
    loads[load.upstream()] = load.requests();
  }
  switch (aMessage.kind()) {
    case proto::RouterPeerMessage::REPORT:
      m_exchange.OnReport(from, std::move(loads), now);
      return;
    case proto::RouterPeerMessage::ZONE_SUM:
      m_exchange.OnZoneSum(
        from, ZoneId(aMessage.zone()), std::move(loads), now);
      return;
    case proto::RouterPeerMessage::PERMITS:
      m_onPermits(aMessage,
                  m_sender.address().to_string() + ":" +
                    std::to_string(m_sender.port()));
      return;
    case proto::RouterPeerMessage::STREAMS:
      m_onStreams(aMessage,
                  m_sender.address().to_string() + ":" +
                    std::to_string(m_sender.port()));
      return;
    case proto::RouterPeerMessage::DIGEST:
      if (m_exchange.OnDigest(from, std::move(loads), OwnLoads(), now)) {
        OnTopicStates(aMessage);
      }
      return;
    default:
      return;
  }
}

void
Peers::ReadRequestLimits(const proto::RouterPeerMessage& aMessage, Time aNow)
{
  for (const proto::RequestLimit& limit : aMessage.request_limits()) {
    LimitStatement statement;
    statement.m_upstream = limit.upstream();
    statement.m_statedAt = aNow - Duration(limit.age_ms());
    if (limit.limited()) {
      statement.m_perSecond = limit.per_second();
    }
    m_context.m_sendLimiter.Limits().OnStatement(statement, aNow);
  }
}

void
Peers::AddRequestLimits(proto::RouterPeerMessage& aMessage) const
{
  const Time now = Now();
  for (const LimitStatement& statement :
       m_context.m_sendLimiter.Limits().News(now)) {
    proto::RequestLimit& limit = *aMessage.add_request_limits();
    limit.set_upstream(statement.m_upstream);
    limit.set_age_ms(
      static_cast<std::uint32_t>((now - statement.m_statedAt).count()));
    limit.set_limited(statement.m_perSecond.has_value());
    limit.set_per_second(statement.m_perSecond.value_or(0));
  }
}

void
Peers::OnTopicStates(const proto::RouterPeerMessage& aMessage)
{
  // The hub knows the same members, so reading the topic here as well would
  // show nothing new.
  if (aMessage.roster() == m_exchange.RosterHash()) {
    m_memberFeed.RelyOnPeer(Now() + kRosterRelyDuration);
  }
  for (const proto::TopicState& state : aMessage.topics()) {
    const bool isOperatorTopic = state.topic() == proto::TopicState::OPERATORS;
    TopicFeed& feed = isOperatorTopic ? m_operatorFeed : m_upstreamFeed;
    const TopicTiming timing = isOperatorTopic
                                 ? OperatorTopicTiming(m_context.m_settings)
                                 : UpstreamTopicTiming(m_context.m_settings);
    const bool fresh =
      !state.away() && Duration(state.age_ms()) <= timing.m_maxAge;
    if (!feed.Follower().IsTailing() || !fresh) {
      continue;
    }
    const std::uint64_t era = feed.Follower().Era().value_or(0);
    if (state.era() != era) {
      // Offsets of two eras cannot be compared. The daemon that knows the older
      // one reads the store.
      if (state.era() > era) {
        feed.OnOtherEra();
      }
      continue;
    }
    feed.RelyOnPeer(Now() + timing.m_relyDuration);
    if (!isOperatorTopic) {
      m_onStoreHealth(true);
      m_upstreamsConfirmedAt = Now() - Duration(state.age_ms());
      OnUpstreamTopic(state);
    } else if (state.next() > feed.Follower().Next() + 1) {
      feed.ReadNewest(); // the newest configuration, not each version
    } else if (state.next() > feed.Follower().Next()) {
      feed.ReadNow();
    }
  }
}

void
Peers::OnUpstreamTopic(const proto::TopicState& aState)
{
  const std::uint64_t next = m_upstreamFeed.Follower().Next();
  if (aState.next() <= next) {
    return;
  }
  if (aState.records_from() > next) {
    m_upstreamFeed.ReadNow();
    return;
  }
  TopicUpdate update;
  update.m_succeeded = true;
  for (const proto::PassedRecord& record : aState.records()) {
    if (record.offset() < next) {
      continue;
    }
    platform::StoreRecord forwarded{ record.key(),
                                     std::nullopt,
                                     record.offset() };
    if (!record.dropped()) {
      forwarded.m_value = record.value();
    }
    update.m_records.push_back(std::move(forwarded));
  }
  m_upstreamFeed.OnForwardedRecords(update, aState.next());
}

UpstreamLoads
Peers::OwnLoads() const
{
  UpstreamLoads loads = m_context.m_selector.OwnLoads();
  m_context.m_rollouts.AddTo(loads);
  return loads;
}

void
Peers::SendPeriodically()
{
  SendMessages();
  m_timer.expires_after(m_exchange.Period());
  m_timer.async_wait([this](const error_code& aError) {
    if (!aError) {
      SendPeriodically();
    }
  });
}

void
Peers::SendMessages()
{
  DropExpiredChanges();
  const Time now = Now();
  m_traitNews = m_context.m_traitBreaker.News(m_exchange.IsHub(), now);
  for (const LoadMessage& message : m_exchange.OnPeriod(OwnLoads(), now)) {
    Send(message);
  }
}

void
Peers::OnTopicRead()
{
  if (m_exchange.IsHub()) {
    SendSoon();
  }
}

void
Peers::SendSoon()
{
  if (std::exchange(m_earlySendScheduled, true)) {
    return;
  }
  m_earlySendTimer.expires_after(kEarlySendDelay);
  m_earlySendTimer.async_wait([this](const error_code& aError) {
    m_earlySendScheduled = false;
    if (!aError) {
      SendMessages();
    }
  });
}

void
Peers::OnUpstreamRecordChanged(const platform::StoreRecord& aRecord)
{
  m_changes.push_back({ aRecord, Now() });
}

void
Peers::OnUpstreamSnapshot(std::uint64_t aNext)
{
  m_changes.clear();
  m_changesFrom = aNext;
}

// Drops changes that have been repeated for long enough. The remaining ones are
// complete only from the offset after the last one dropped.
void
Peers::DropExpiredChanges()
{
  while (!m_changes.empty() &&
         Now() - m_changes.front().m_at > kChangeLifetime) {
    m_changesFrom = m_changes.front().m_record.m_offset + 1;
    m_changes.pop_front();
  }
  while (!m_leaving.empty() &&
         Now() - m_leaving.front().m_at > kLeavingLifetime) {
    m_leaving.pop_front();
  }
}

void
Peers::OnUpstreamLeaving(const UpstreamId& aId, std::int64_t aStartWallMs)
{
  m_leaving.push_back({ aId, aStartWallMs, Now() });
  OnTopicRead();
}

void
Peers::AddLeaving(proto::RouterPeerMessage& aMessage) const
{
  for (const Leaving& leaving : m_leaving) {
    proto::LeavingUpstream& added = *aMessage.add_leaving();
    added.set_id(leaving.m_id.Value());
    added.set_start_wall_ms(leaving.m_startWallMs);
  }
}

void
Peers::Send(const LoadMessage& aLoads)
{
  proto::RouterPeerMessage message;
  message.set_kind(KindOf(aLoads.m_kind));
  for (const auto& [upstream, requests] : aLoads.m_loads) {
    if (requests == 0) {
      continue;
    }
    proto::LoadAt& load = *message.add_loads();
    load.set_upstream(upstream);
    load.set_requests(requests);
  }
  AddLeaving(message);
  AddRequestLimits(message);
  EncodeTraitNews(m_traitNews, Now(), message);
  EncodeRolloutNews(m_context.m_rollouts, Now(), message);
  if (aLoads.m_kind == LoadMessageKind::Digest) {
    message.set_roster(m_exchange.RosterHash());
    AddTopicStates(message);
  }
  SendTo(aLoads.m_to, std::move(message));
}

void
Peers::SendTo(const std::string& aAddress, proto::RouterPeerMessage aMessage)
{
  const std::optional<Tcp::endpoint> to = ParseEndpoint(aAddress);
  if (!to) {
    return;
  }
  aMessage.set_from(m_context.m_settings.m_name.Value());
  aMessage.set_zone(m_context.m_settings.m_zone.Value());
  const std::string bytes = aMessage.SerializeAsString();
  error_code error;
  m_socket.send_to(
    asio::buffer(bytes), { to->address(), to->port() }, 0, error);
  if (error) {
    ++m_context.m_metrics.Counter("peer_messages_unsent_total");
  }
}

void
Peers::AddTopicStates(proto::RouterPeerMessage& aMessage) const
{
  const Time now = Now();
  for (const TopicFeed* feed : { &m_operatorFeed, &m_upstreamFeed }) {
    if (!feed->Follower().IsTailing()) {
      continue;
    }
    const bool isOperatorTopic = feed == &m_operatorFeed;
    proto::TopicState& state = *aMessage.add_topics();
    state.set_topic(isOperatorTopic ? proto::TopicState::OPERATORS
                                    : proto::TopicState::UPSTREAMS);
    state.set_next(feed->Follower().Next());
    state.set_era(feed->Follower().Era().value_or(0));
    state.set_age_ms(
      static_cast<std::uint32_t>((now - feed->LastResponseAt()).count()));
    state.set_away(!feed->StoreAvailable());
    state.set_records_from(state.next());
    if (!isOperatorTopic) {
      AddChangedRecords(state);
    }
  }
}

void
Peers::AddChangedRecords(proto::TopicState& aState) const
{
  std::size_t bytes = 0;
  for (const Change& change : m_changes) {
    bytes += change.m_record.m_key.size() +
             change.m_record.m_value.value_or("").size();
  }
  if (bytes > kMaxForwardedBytes) {
    return;
  }
  aState.set_records_from(m_changesFrom);
  for (const Change& change : m_changes) {
    proto::PassedRecord& record = *aState.add_records();
    record.set_offset(change.m_record.m_offset);
    record.set_key(change.m_record.m_key);
    record.set_dropped(!change.m_record.m_value);
    record.set_value(change.m_record.m_value.value_or(""));
  }
}

} // namespace walnutwing::router
