#include "router/peers.h"

#include <algorithm>
#include <utility>

#include "router/store_pace.h"

namespace walnutwing::router {
namespace {

// A digest that follows news of the store waits so long for more of them.
constexpr Duration kSoon = std::chrono::milliseconds(10);
// A hub's word of who is there holds for so long.
constexpr Duration kRelyOnRoster = std::chrono::milliseconds(500);
// Changes stay in digests for so long, for daemons that missed one.
constexpr Duration kChangeLifetime = std::chrono::milliseconds(1000);
// Records beyond this size are left to the daemons to read.
constexpr std::size_t kMostRecordBytes = 4096;

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
             TopicFeed& aOperators,
             TopicFeed& aUpstreams,
             TopicFeed& aMembers)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_operators(aOperators)
  , m_upstreams(aUpstreams)
  , m_members(aMembers)
  , m_socket(aContext.m_loop.get_executor())
  , m_timer(aContext.m_loop.get_executor())
  , m_soon(aContext.m_loop.get_executor())
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
  Period();
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
        OnMessage(message);
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
  UpstreamLoads loads;
  for (const proto::LoadAt& load : aMessage.loads()) {
    loads[load.upstream()] = load.requests();
  }
  const Time now = Now();
  switch (aMessage.kind()) {
    case proto::RouterPeerMessage::REPORT:
      m_exchange.OnReport(from, std::move(loads), now);
      return;
    case proto::RouterPeerMessage::ZONE_SUM:
      m_exchange.OnZoneSum(
        from, ZoneId(aMessage.zone()), std::move(loads), now);
      return;
    case proto::RouterPeerMessage::DIGEST:
      if (m_exchange.OnDigest(
            from, std::move(loads), m_context.m_selector.OwnLoads(), now)) {
        OnTopics(aMessage);
      }
      return;
    default:
      return;
  }
}

void
Peers::OnTopics(const proto::RouterPeerMessage& aMessage)
{
  // The hub watches who comes and goes; reading it too shows nothing else.
  if (aMessage.roster() == m_exchange.RosterHash()) {
    m_members.RelyOnOther(Now() + kRelyOnRoster);
  }
  for (const proto::TopicState& state : aMessage.topics()) {
    const bool operators = state.topic() == proto::TopicState::OPERATORS;
    TopicFeed& feed = operators ? m_operators : m_upstreams;
    const TopicPace pace = operators ? OperatorPace(m_context.m_settings)
                                     : UpstreamPace(m_context.m_settings);
    const bool good =
      !state.away() && Duration(state.age_ms()) <= pace.m_oldest;
    if (!feed.Follower().Reading() || !good) {
      continue;
    }
    feed.RelyOnOther(Now() + pace.m_relyFor);
    if (!operators) {
      m_onHealth(true);
      OnUpstreamTopic(state);
    } else if (state.next() > feed.Follower().Next() + 1) {
      feed.ReadNewest(); // one configuration instead of each version of it
    } else if (state.next() > feed.Follower().Next()) {
      feed.ReadNow();
    }
  }
}

void
Peers::OnUpstreamTopic(const proto::TopicState& aState)
{
  const std::uint64_t next = m_upstreams.Follower().Next();
  if (aState.next() <= next) {
    return;
  }
  if (aState.records_from() > next) {
    m_upstreams.ReadNow();
    return;
  }
  TopicNews news;
  news.m_understood = true;
  for (const proto::PassedRecord& record : aState.records()) {
    if (record.offset() < next) {
      continue;
    }
    platform::StoreRecord passed{ record.key(), std::nullopt, record.offset() };
    if (!record.dropped()) {
      passed.m_value = record.value();
    }
    news.m_records.push_back(std::move(passed));
  }
  m_upstreams.OnPassed(news, aState.next());
}

void
Peers::Period()
{
  SendPeriod();
  m_timer.expires_after(m_exchange.Period());
  m_timer.async_wait([this](const error_code& aError) {
    if (!aError) {
      Period();
    }
  });
}

void
Peers::SendPeriod()
{
  ForgetChanges();
  for (const LoadMessage& message :
       m_exchange.OnPeriod(m_context.m_selector.OwnLoads(), Now())) {
    Send(message);
  }
}

void
Peers::OnRead()
{
  if (!m_exchange.IsHub() || std::exchange(m_soonSet, true)) {
    return;
  }
  m_soon.expires_after(kSoon);
  m_soon.async_wait([this](const error_code& aError) {
    m_soonSet = false;
    if (!aError) {
      SendPeriod();
    }
  });
}

void
Peers::OnChange(const platform::StoreRecord& aRecord)
{
  m_changes.push_back({ aRecord, Now() });
}

void
Peers::OnWhole(std::uint64_t aNext)
{
  m_changes.clear();
  m_changesFrom = aNext;
}

// What is forgotten is no longer in digests: they are complete only from behind
// it on.
void
Peers::ForgetChanges()
{
  while (!m_changes.empty() &&
         Now() - m_changes.front().m_at > kChangeLifetime) {
    m_changesFrom = m_changes.front().m_record.m_offset + 1;
    m_changes.pop_front();
  }
}

void
Peers::Send(const LoadMessage& aLoads)
{
  const std::optional<Tcp::endpoint> to = ParseEndpoint(aLoads.m_to);
  if (!to) {
    return;
  }
  proto::RouterPeerMessage message;
  message.set_from(m_context.m_settings.m_name.Value());
  message.set_zone(m_context.m_settings.m_zone.Value());
  message.set_kind(KindOf(aLoads.m_kind));
  for (const auto& [upstream, requests] : aLoads.m_loads) {
    if (requests == 0) {
      continue;
    }
    proto::LoadAt& load = *message.add_loads();
    load.set_upstream(upstream);
    load.set_requests(requests);
  }
  if (aLoads.m_kind == LoadMessageKind::Digest) {
    message.set_roster(m_exchange.RosterHash());
    AddTopics(message);
  }
  const std::string bytes = message.SerializeAsString();
  error_code error;
  m_socket.send_to(
    asio::buffer(bytes), { to->address(), to->port() }, 0, error);
  if (error) {
    ++m_context.m_metrics.Counter("peer_messages_unsent_total");
  }
}

void
Peers::AddTopics(proto::RouterPeerMessage& aMessage) const
{
  const Time now = Now();
  for (const TopicFeed* feed : { &m_operators, &m_upstreams }) {
    if (!feed->Follower().Reading()) {
      continue;
    }
    const bool operators = feed == &m_operators;
    proto::TopicState& state = *aMessage.add_topics();
    state.set_topic(operators ? proto::TopicState::OPERATORS
                              : proto::TopicState::UPSTREAMS);
    state.set_next(feed->Follower().Next());
    state.set_age_ms(
      static_cast<std::uint32_t>((now - feed->AnsweredAt()).count()));
    state.set_away(!feed->Answers());
    state.set_records_from(state.next());
    if (!operators) {
      AddChanges(state);
    }
  }
}

void
Peers::AddChanges(proto::TopicState& aState) const
{
  std::size_t bytes = 0;
  for (const Change& change : m_changes) {
    bytes += change.m_record.m_key.size() +
             change.m_record.m_value.value_or("").size();
  }
  if (bytes > kMostRecordBytes) {
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
