// Discrete-event simulation in virtual time. Messages between daemons take 2
// ms; owners' states and engines' load reports are sampled each second and
// delivered one second later. The daemons of one region and group share one
// view, which avoids 390 copies of 600 upstreams in memory. Each daemon has its
// own PermitClient and UpstreamOwners.

#include "bench/fleet_driver.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <string>

namespace walnutwing::bench {
namespace {

constexpr Duration kMessageDelay{ 2 };
constexpr Duration kTickInterval{ 50 };
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kPermitReportInterval = std::chrono::seconds(30);
constexpr Duration kRequestTimeout = std::chrono::seconds(30);
constexpr Duration kLateStartThreshold = std::chrono::seconds(2);
constexpr std::size_t kNoDaemon = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kGroupsPerRegion = 2; // views in each region
constexpr Duration kFailureDetection = std::chrono::seconds(5);
constexpr std::uint32_t kPercent = 100;

} // namespace

FleetDriver::FleetDriver(const FleetOptions& aOptions)
  : m_options(aOptions)
  , m_random(m_options.m_seed)
{
  for (std::size_t region = 0; region < m_options.m_regions; ++region) {
    for (std::size_t group = 0; group < kGroupsPerRegion; ++group) {
      View view;
      view.m_region = region;
      view.m_zoneOut.resize(m_options.m_zones);
      view.m_placement = std::make_unique<ChatPlacement>(
        ZoneId(), RegionId(std::to_string(region)));
      m_views.push_back(std::move(view));
    }
  }
  for (std::size_t i = 0; i < m_options.m_engines; ++i) {
    AddEngine(i % m_options.m_zones, false);
  }
  for (std::size_t i = 0; i < m_options.m_daemons; ++i) {
    AddDaemon(i % m_options.m_zones, i / m_options.m_zones % kGroupsPerRegion);
  }
  UpdateAllViews();
  m_seconds.emplace_back();
  Schedule(kSecond, [this] { RunGossipRound(); });
  SeedChats();
  Schedule(Duration(0), [this] { SubmitNewChat(); });
  if (m_options.m_engineReplacementInterval > Duration(0)) {
    Schedule(m_options.m_engineReplacementInterval,
             [this] { ReplaceEngine(); });
  }
  if (m_options.m_daemonReplacementInterval > Duration(0)) {
    Schedule(m_options.m_daemonReplacementInterval,
             [this] { ReplaceDaemon(); });
  }
}

void
FleetDriver::Schedule(Duration aDelay, std::function<void()> aRun)
{
  m_events.push({ m_now + aDelay, m_nextId++, std::move(aRun) });
}

Duration
FleetDriver::DrawExponential(Duration aMean)
{
  std::exponential_distribution<double> draw(
    1.0 / static_cast<double>(aMean.count()));
  return Duration(static_cast<std::int64_t>(draw(m_random)) + 1);
}

void
FleetDriver::RunTo(Duration aTime)
{
  while (!m_events.empty() && m_events.top().m_at <= m_start + aTime) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_run();
  }
  m_now = m_start + aTime;
}

void
FleetDriver::AddEngine(std::size_t aZone, bool aCold)
{
  Engine engine;
  engine.m_id = UpstreamId("engine-" + std::to_string(m_engines.size()));
  engine.m_zone = aZone;
  engine.m_region = aZone % m_options.m_regions;
  engine.m_hash = StableHash(engine.m_id.Value());
  engine.m_coldUntil = aCold ? m_now + m_options.m_coldTime : m_now;
  m_engineIndex.emplace(engine.m_id, m_engines.size());
  m_engines.push_back(std::move(engine));
}

void
FleetDriver::AddDaemon(std::size_t aZone, std::size_t aGroup)
{
  const std::size_t index = m_daemons.size();
  Daemon daemon;
  daemon.m_id = DaemonId("daemon-" + std::to_string(index));
  daemon.m_zone = aZone;
  daemon.m_view = aZone % m_options.m_regions * kGroupsPerRegion + aGroup;
  daemon.m_client = std::make_unique<PermitClient>();
  m_daemonIndex.emplace(daemon.m_id, index);
  m_daemons.push_back(std::move(daemon));
}

std::vector<PlacementUpstream>
FleetDriver::MakeUpstreams(const View& aView) const
{
  std::vector<PlacementUpstream> upstreams;
  for (const Engine& engine : m_engines) {
    if (!engine.m_alive) {
      continue;
    }
    PlacementUpstream upstream;
    upstream.m_id = engine.m_id;
    upstream.m_zone = ZoneId(std::to_string(engine.m_zone));
    upstream.m_region = RegionId(std::to_string(engine.m_region));
    upstream.m_zoneOut = aView.m_zoneOut[engine.m_zone];
    upstreams.push_back(std::move(upstream));
  }
  return upstreams;
}

bool
FleetDriver::IsInView(const View& aView, const Daemon& aDaemon) const
{
  const bool hidden = aView.m_split && aDaemon.m_view % kGroupsPerRegion == 0;
  return aDaemon.m_alive && !aDaemon.m_consideredDead && !hidden;
}

void
FleetDriver::AddOwner(std::size_t aDaemon, std::size_t aEngine)
{
  Daemon& daemon = m_daemons[aDaemon];
  const Engine& engine = m_engines[aEngine];
  const auto* state = m_views[daemon.m_view].m_placement->StateOf(engine.m_id);
  daemon.m_owned[aEngine] = std::make_unique<UpstreamOwner>(
    engine.m_id,
    m_options.m_owner,
    static_cast<std::uint64_t>(m_now.time_since_epoch().count()),
    engine.m_coldUntil > m_now,
    state == nullptr ? std::nullopt : std::optional(*state),
    m_now);
}

// Tells a daemon's PermitClient which daemon owns an engine in its view.
void
FleetDriver::NotifyOwnerChange(std::size_t aDaemon, std::size_t aEngine)
{
  Daemon& daemon = m_daemons[aDaemon];
  const std::size_t owner = m_views[daemon.m_view].m_ownerOf[aEngine];
  PermitClientActions actions;
  daemon.m_client->OnOwnerChanged(m_engines[aEngine].m_id,
                                  owner == kNoDaemon ? DaemonId()
                                                     : m_daemons[owner].m_id,
                                  m_now,
                                  actions);
  Perform(aDaemon, std::move(actions));
}

// Refreshes a view with the current engines, daemons and zones that are out.
// Its daemons gain and lose ownership of engines and learn of changed owners.
void
FleetDriver::UpdateView(std::size_t aView)
{
  View& view = m_views[aView];
  view.m_placement->SetUpstreams(MakeUpstreams(view));
  std::vector<std::vector<DaemonId>> members(m_options.m_zones);
  for (const Daemon& daemon : m_daemons) {
    if (IsInView(view, daemon)) {
      members[daemon.m_zone].push_back(daemon.m_id);
    }
  }
  view.m_ownerOf.resize(m_engines.size(), kNoDaemon);
  for (std::size_t e = 0; e < m_engines.size(); ++e) {
    const Engine& engine = m_engines[e];
    const DaemonId owner = engine.m_alive
                             ? OwnerOf(engine.m_id, members[engine.m_zone])
                             : DaemonId();
    const std::size_t index =
      owner.Empty() ? kNoDaemon : m_daemonIndex.at(owner);
    const bool changed = view.m_ownerOf[e] != index;
    view.m_ownerOf[e] = index;
    for (std::size_t d = 0; d < m_daemons.size(); ++d) {
      Daemon& daemon = m_daemons[d];
      if (!daemon.m_alive || daemon.m_frozen || daemon.m_view != aView) {
        continue;
      }
      if (d != index) {
        daemon.m_owned.erase(e);
      } else if (!daemon.m_owned.contains(e)) {
        AddOwner(d, e);
      }
      if (changed) {
        NotifyOwnerChange(d, e);
      }
    }
  }
  for (std::size_t d = 0; d < m_daemons.size(); ++d) {
    if (m_daemons[d].m_view != aView) {
      continue;
    }
    for (auto& [e, owner] : m_daemons[d].m_owned) {
      OwnerActions actions;
      const bool out = view.m_zoneOut[m_engines[e].m_zone];
      if (out && !owner->IsLeaving()) {
        owner->OnLeaving(m_now, actions);
      } else if (!out && owner->IsLeaving()) {
        owner->OnReturned(true, m_now, actions);
      }
      Perform(d, std::move(actions));
    }
  }
}

void
FleetDriver::UpdateAllViews()
{
  for (std::size_t view = 0; view < m_views.size(); ++view) {
    UpdateView(view);
  }
}

// Chats that begin each ms. A chat makes 1 / (1 - m_returnChance) requests on
// average.
double
FleetDriver::ChatsPerMs() const
{
  return m_options.m_streamsPerEngine *
         static_cast<double>(m_options.m_engines) /
         static_cast<double>(m_options.m_meanStream.count()) *
         (1 - m_options.m_returnChance);
}

std::uint64_t
FleetDriver::AddChat()
{
  Chat chat;
  chat.m_key = { CustomerId("c" + std::to_string(m_random() % 10)),
                 ServiceId("assistant"),
                 ChatId(std::to_string(m_chats.size())) };
  chat.m_hash =
    ChatHash(chat.m_key.m_customer, chat.m_key.m_service, chat.m_key.m_chat);
  chat.m_region = m_random() % m_options.m_regions;
  m_chats.push_back(std::move(chat));
  return m_chats.size() - 1;
}

// Starts in a steady state: the chats that would be streaming submit a request
// within the mean stream time, those that would be pausing after a random
// pause.
void
FleetDriver::SeedChats()
{
  const double requests = ChatsPerMs() / (1 - m_options.m_returnChance);
  const double running =
    requests * static_cast<double>(m_options.m_meanStream.count());
  const double paused =
    requests * m_options.m_returnChance *
    static_cast<double>(m_options.m_meanReturnDelay.count());
  std::uniform_int_distribution<std::int64_t> soon(
    0, m_options.m_meanStream.count());
  for (int i = 0; i < static_cast<int>(running + paused); ++i) {
    const std::uint64_t chat = AddChat();
    const Duration delay = i < running
                             ? Duration(soon(m_random))
                             : DrawExponential(m_options.m_meanReturnDelay);
    Schedule(delay, [this, chat] { Submit(chat); });
  }
}

void
FleetDriver::SubmitNewChat()
{
  Submit(AddChat());
  std::exponential_distribution<double> gap(ChatsPerMs() * m_arrivalFactor);
  Schedule(Duration(static_cast<std::int64_t>(std::round(gap(m_random)))),
           [this] { SubmitNewChat(); });
}

void
FleetDriver::Submit(std::uint64_t aChat)
{
  const std::uint64_t id = m_nextId++;
  const Chat& chat = m_chats[aChat];
  std::size_t daemon = 0;
  do {
    daemon = m_random() % m_daemons.size();
  } while (!m_daemons[daemon].m_alive || m_daemons[daemon].m_frozen ||
           m_views[m_daemons[daemon].m_view].m_region != chat.m_region);
  m_requests[id] = { aChat, daemon, m_now, std::nullopt };
  if (m_options.m_policy != Policy::PlacementWithHint &&
      m_options.m_policy != Policy::PlacementWithoutHint) {
    SubmitToBaseline(id);
    return;
  }
  const View& view = m_views[m_daemons[daemon].m_view];
  std::optional<UpstreamId> hint;
  if (m_options.m_policy == Policy::PlacementWithHint && chat.m_lastEngine) {
    hint = m_engines[*chat.m_lastEngine].m_id;
  }
  const bool newChat = m_options.m_policy == Policy::PlacementWithHint &&
                       m_options.m_spreadNewChats && !chat.m_lastEngine;
  PlacementRequest request;
  request.m_request = RequestId(id);
  request.m_customer = chat.m_key.m_customer;
  request.m_service = chat.m_key.m_service;
  request.m_deadline = m_now + kRequestTimeout;
  for (const UpstreamId& upstream :
       view.m_placement->Rank(chat.m_key, hint, newChat)) {
    const std::size_t owner = view.m_ownerOf[m_engineIndex.at(upstream)];
    request.m_targets.push_back(
      { upstream, owner == kNoDaemon ? DaemonId() : m_daemons[owner].m_id, 1 });
  }
  PermitClientActions actions;
  m_daemons[daemon].m_client->OnRequest(std::move(request), m_now, actions);
  Perform(daemon, std::move(actions));
}

std::vector<std::size_t>
FleetDriver::AvailableEngines() const
{
  std::vector<std::size_t> engines;
  for (std::size_t e = 0; e < m_engines.size(); ++e) {
    if (m_engines[e].m_alive && !m_engines[e].m_zoneOut) {
      engines.push_back(e);
    }
  }
  return engines;
}

std::uint32_t
FleetDriver::LoadBound(const std::vector<std::size_t>& aEngines) const
{
  std::uint64_t sum = 0;
  for (const std::size_t e : aEngines) {
    sum += m_engines[e].m_running;
  }
  const double mean =
    static_cast<double>(sum) / static_cast<double>(aEngines.size());
  return std::max(m_options.m_owner.m_minWindow,
                  static_cast<std::uint32_t>(std::ceil(
                    mean * m_options.m_owner.m_loadBoundPercent / kPercent)));
}

std::optional<std::size_t>
FleetDriver::ChooseBaselineEngine(const Chat& aChat)
{
  std::vector<std::size_t> engines = AvailableEngines();
  std::erase_if(engines, [&](std::size_t aEngine) {
    return m_engines[aEngine].m_region != aChat.m_region;
  });
  if (engines.empty()) {
    return std::nullopt;
  }
  const auto less = [this](std::size_t aLeft, std::size_t aRight) {
    return m_engines[aLeft].m_running < m_engines[aRight].m_running;
  };
  switch (m_options.m_policy) {
    case Policy::HashModN:
      return engines[aChat.m_hash % engines.size()];
    case Policy::LeastLoaded:
      return *std::min_element(engines.begin(), engines.end(), less);
    case Policy::TwoChoices: {
      const std::size_t first = engines[m_random() % engines.size()];
      const std::size_t second = engines[m_random() % engines.size()];
      return std::min(first, second, less);
    }
    case Policy::BoundedRing: {
      // Clockwise from the chat's hash to the first engine below the bound.
      std::sort(engines.begin(), engines.end(), [&](auto aLeft, auto aRight) {
        return m_engines[aLeft].m_hash - aChat.m_hash <
               m_engines[aRight].m_hash - aChat.m_hash;
      });
      const std::uint32_t bound = LoadBound(engines);
      const auto found =
        std::find_if(engines.begin(), engines.end(), [&](std::size_t aEngine) {
          return m_engines[aEngine].m_running < bound;
        });
      return found == engines.end() ? engines.front() : *found;
    }
    case Policy::Oracle: {
      const std::uint32_t bound = LoadBound(engines);
      std::optional<std::size_t> best;
      const auto chat = static_cast<std::uint64_t>(&aChat - m_chats.data());
      for (const std::size_t e : engines) {
        if (m_engines[e].m_running < bound &&
            m_engines[e].m_cached.contains(chat) && (!best || less(e, *best))) {
          best = e;
        }
      }
      return best ? best
                  : *std::min_element(engines.begin(), engines.end(), less);
    }
    case Policy::PlacementWithoutHint:
    case Policy::PlacementWithHint:
      break;
  }
  throw std::logic_error("not a baseline policy");
}

void
FleetDriver::SubmitToBaseline(std::uint64_t aRequest)
{
  const auto engine =
    ChooseBaselineEngine(m_chats[m_requests.at(aRequest).m_chat]);
  if (!engine) {
    ++CurrentSecond().m_refused;
    EndRequest(aRequest, true);
    return;
  }
  Start(aRequest, *engine);
}

void
FleetDriver::Start(std::uint64_t aRequest, std::size_t aEngine)
{
  Request& request = m_requests.at(aRequest);
  Engine& engine = m_engines[aEngine];
  Chat& chat = m_chats[request.m_chat];
  request.m_engine = aEngine;
  FleetSecondStats& second = CurrentSecond();
  ++second.m_started;
  ++engine.m_running;
  second.m_startedLate +=
    m_now - request.m_arrivedAt > kLateStartThreshold ? 1 : 0;
  second.m_startedInZoneOut += engine.m_zoneOut ? 1 : 0;
  if (m_now < engine.m_coldUntil &&
      engine.m_running > m_options.m_owner.m_coldSlots) {
    ++second.m_coldExcess;
  }
  const double bound =
    std::ceil(MeanRunning() * m_options.m_owner.m_loadBoundPercent / kPercent);
  second.m_overBound +=
    engine.m_running > std::max<double>(bound, m_options.m_owner.m_minWindow)
      ? 1
      : 0;
  second.m_returningChats += chat.m_lastEngine ? 1 : 0;
  const auto cached = engine.m_cached.find(request.m_chat);
  if (cached != engine.m_cached.end()) {
    ++second.m_cacheHits;
    engine.m_recent.erase(cached->second);
  } else if (engine.m_recent.size() >= m_options.m_cacheChats) {
    engine.m_cached.erase(engine.m_recent.back());
    engine.m_recent.pop_back();
  }
  engine.m_recent.push_front(request.m_chat);
  engine.m_cached[request.m_chat] = engine.m_recent.begin();
  chat.m_lastEngine = aEngine;
  Schedule(DrawExponential(m_options.m_meanStream),
           [this, aRequest] { Finish(aRequest); });
}

void
FleetDriver::Finish(std::uint64_t aRequest)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return; // its daemon was killed
  }
  const Request request = found->second;
  Engine& engine = m_engines[*request.m_engine];
  --engine.m_running;
  ++CurrentSecond().m_completed;
  const bool cold = m_now < engine.m_coldUntil;
  RunOnDaemon(request.m_daemon, [this, request, aRequest, cold] {
    PermitClientActions actions;
    m_daemons[request.m_daemon].m_client->OnFinished(
      RequestId(aRequest), false, cold, actions);
    Perform(request.m_daemon, std::move(actions));
  });
  EndRequest(aRequest, true);
}

void
FleetDriver::EndRequest(std::uint64_t aRequest, bool aReturns)
{
  const std::uint64_t chat = m_requests.at(aRequest).m_chat;
  m_requests.erase(aRequest);
  std::uniform_real_distribution<double> draw(0, 1);
  if (aReturns && draw(m_random) < m_options.m_returnChance) {
    Schedule(DrawExponential(m_options.m_meanReturnDelay),
             [this, chat] { Submit(chat); });
  }
}

// Runs a callback on a daemon: dropped if the daemon is dead, queued while it
// is frozen.
void
FleetDriver::RunOnDaemon(std::size_t aDaemon, std::function<void()> aRun)
{
  Daemon& daemon = m_daemons[aDaemon];
  if (!daemon.m_alive) {
    return;
  }
  if (daemon.m_frozen) {
    daemon.m_backlog.push_back(std::move(aRun));
    return;
  }
  aRun();
}

void
FleetDriver::Perform(std::size_t aDaemon, PermitClientActions aActions)
{
  for (PermitClientAction& action : aActions) {
    if (auto* send = std::get_if<SendToOwner>(&action)) {
      ++CurrentSecond().m_permitMessages;
      CurrentSecond().m_permitBytes += send->m_message.ByteSizeLong();
      const auto to = m_daemonIndex.find(send->m_owner);
      if (to == m_daemonIndex.end()) {
        continue;
      }
      Schedule(kMessageDelay,
               [this, aDaemon, to = to->second, message = std::move(*send)] {
                 RunOnDaemon(to,
                             [=, this] { DeliverToOwner(aDaemon, message); });
               });
      continue;
    }
    if (const auto* ready = std::get_if<PermitReady>(&action)) {
      Start(ready->m_request.Value(), m_engineIndex.at(ready->m_upstream));
      continue;
    }
    ++CurrentSecond().m_refused;
    EndRequest(std::get<PermitRefused>(action).m_request.Value(), true);
  }
}

void
FleetDriver::DeliverToOwner(std::size_t aFrom, const SendToOwner& aSend)
{
  const std::size_t to = m_daemonIndex.at(aSend.m_owner);
  const proto::PeerMessage& message = aSend.m_message;
  const std::string& upstream =
    message.has_permit_request()   ? message.permit_request().upstream()
    : message.has_permit_release() ? message.permit_release().upstream()
                                   : message.permit_report().upstream();
  const DaemonId& from = m_daemons[aFrom].m_id;
  const auto owned =
    m_daemons[to].m_owned.find(m_engineIndex.at(UpstreamId(upstream)));
  OwnerActions actions;
  if (owned == m_daemons[to].m_owned.end()) {
    if (message.has_permit_request()) {
      SendDeny deny{ from, {} };
      deny.m_deny.set_request_id(message.permit_request().request_id());
      deny.m_deny.set_upstream(upstream);
      deny.m_deny.set_code(
        static_cast<std::uint32_t>(ResultCode::PermitTimeout));
      actions.emplace_back(deny);
    }
  } else if (message.has_permit_request()) {
    owned->second->OnPermitRequest(
      from, message.permit_request(), m_now, actions);
  } else if (message.has_permit_release()) {
    owned->second->OnRelease(from, message.permit_release(), m_now, actions);
  } else {
    owned->second->OnReport(from, message.permit_report(), m_now, actions);
  }
  Perform(to, std::move(actions));
}

void
FleetDriver::Perform(std::size_t aDaemon, OwnerActions aActions)
{
  const DaemonId& from = m_daemons[aDaemon].m_id;
  for (OwnerAction& action : aActions) {
    const DaemonId to =
      std::visit([](const auto& aAction) { return aAction.m_to; }, action);
    const std::size_t index = m_daemonIndex.at(to);
    Schedule(kMessageDelay, [this, from, index, action = std::move(action)] {
      RunOnDaemon(index, [=, this] {
        PermitClient& client = *m_daemons[index].m_client;
        PermitClientActions actions;
        if (const auto* grant = std::get_if<SendGrant>(&action)) {
          client.OnGrant(from, grant->m_grant, m_now, actions);
        } else {
          client.OnDeny(
            from, std::get<SendDeny>(action).m_deny, m_now, actions);
        }
        Perform(index, std::move(actions));
      });
    });
  }
}

// One round each second: delivers the states and reports of the previous round,
// then samples those of this round.
void
FleetDriver::RunGossipRound()
{
  for (View& view : m_views) {
    for (const proto::UpstreamState& state : m_gossip) {
      view.m_placement->OnUpstreamState(state);
    }
  }
  m_gossip.clear();
  for (std::size_t d = 0; d < m_daemons.size(); ++d) {
    Daemon& daemon = m_daemons[d];
    if (!daemon.m_alive || daemon.m_frozen) {
      continue;
    }
    const auto mean = m_views[daemon.m_view].m_placement->MeanLoad();
    for (auto& [e, owner] : daemon.m_owned) {
      OwnerActions actions;
      owner->OnTick(m_now, actions);
      if (mean) {
        owner->OnMeanLoad(*mean, m_now, actions);
      }
      if (m_options.m_loadReports && e < m_reports.size()) {
        owner->OnLoad(m_reports[e], m_now, actions);
      }
      m_gossip.push_back(owner->State(m_now));
      Perform(d, std::move(actions));
    }
    for (Duration at(0); at < kSecond; at += kTickInterval) {
      Schedule(at, [this, d] {
        RunOnDaemon(d, [this, d] {
          PermitClientActions actions;
          m_daemons[d].m_client->OnTick(m_now, actions);
          Perform(d, std::move(actions));
        });
      });
    }
    if ((m_now - m_start) % kPermitReportInterval == Duration(0)) {
      PermitClientActions actions;
      daemon.m_client->ReportHeldPermits(actions);
      Perform(d, std::move(actions));
    }
  }
  m_reports.clear();
  for (const Engine& engine : m_engines) {
    m_reports.push_back(
      { engine.m_running, 0, m_now < engine.m_coldUntil, m_now });
  }
  SampleLoad();
  Schedule(kSecond, [this] { RunGossipRound(); });
}

bool
FleetDriver::IsWarmAndAvailable(const Engine& aEngine) const
{
  return aEngine.m_alive && !aEngine.m_zoneOut && m_now >= aEngine.m_coldUntil;
}

double
FleetDriver::MeanRunning() const
{
  double sum = 0;
  double count = 0;
  for (const Engine& engine : m_engines) {
    if (!IsWarmAndAvailable(engine)) {
      continue;
    }
    sum += engine.m_running;
    ++count;
  }
  return sum / std::max(count, 1.0);
}

void
FleetDriver::SampleLoad()
{
  for (const Engine& engine : m_engines) {
    if (!IsWarmAndAvailable(engine)) {
      continue;
    }
    CurrentSecond().m_maxRunning =
      std::max(CurrentSecond().m_maxRunning, engine.m_running);
  }
  CurrentSecond().m_meanRunning = MeanRunning();
  m_seconds.emplace_back();
}

void
FleetDriver::ReplaceEngine()
{
  std::size_t victim = 0;
  do {
    victim = m_random() % m_engines.size();
  } while (!m_engines[victim].m_alive);
  m_engines[victim].m_alive = false; // running streams complete
  AddEngine(m_engines[victim].m_zone, true);
  UpdateAllViews();
  Schedule(m_options.m_engineReplacementInterval, [this] { ReplaceEngine(); });
}

// Kills a daemon, which loses its requests. The other daemons learn of it, and
// a replacement starts, one second later.
void
FleetDriver::ReplaceDaemon()
{
  std::size_t victim = 0;
  do {
    victim = m_random() % m_daemons.size();
  } while (!m_daemons[victim].m_alive);
  m_daemons[victim].m_alive = false;
  m_daemons[victim].m_owned.clear();
  std::vector<std::uint64_t> lostIds;
  for (const auto& [id, request] : m_requests) {
    if (request.m_daemon == victim) {
      lostIds.push_back(id);
    }
  }
  std::sort(lostIds.begin(), lostIds.end());
  for (const std::uint64_t id : lostIds) {
    const auto engine = m_requests.at(id).m_engine;
    if (engine) {
      --m_engines[*engine].m_running;
    }
    ++CurrentSecond().m_lost;
    EndRequest(id, true);
  }
  Schedule(kSecond, [this, victim] {
    AddDaemon(m_daemons[victim].m_zone,
              m_daemons[victim].m_view % kGroupsPerRegion);
    for (std::size_t d = 0; d < m_daemons.size(); ++d) {
      for (auto& [e, owner] : m_daemons[d].m_owned) {
        OwnerActions actions;
        owner->OnHolderGone(m_daemons[victim].m_id, m_now, actions);
        Perform(d, std::move(actions));
      }
    }
    UpdateAllViews();
  });
  Schedule(m_options.m_daemonReplacementInterval, [this] { ReplaceDaemon(); });
}

void
FleetDriver::TakeZoneOut(std::size_t aZone)
{
  for (Engine& engine : m_engines) {
    engine.m_zoneOut = engine.m_zoneOut || engine.m_zone == aZone;
  }
  for (std::size_t view = 0; view < m_views.size(); ++view) {
    Schedule(Duration(500 + view % 4 * 500), [this, view, aZone] {
      m_views[view].m_zoneOut[aZone] = true;
      UpdateView(view);
    });
  }
}

void
FleetDriver::BringZoneBack(std::size_t aZone)
{
  for (Engine& engine : m_engines) {
    if (engine.m_zone != aZone) {
      continue;
    }
    engine.m_zoneOut = false;
    engine.m_coldUntil = m_now + m_options.m_coldTime;
    engine.m_recent.clear();
    engine.m_cached.clear();
  }
  for (std::size_t view = 0; view < m_views.size(); ++view) {
    Schedule(Duration(500 + view % 4 * 500), [this, view, aZone] {
      m_views[view].m_zoneOut[aZone] = false;
      UpdateView(view);
    });
  }
}

void
FleetDriver::SetViewsSplit(bool aSplit)
{
  for (std::size_t view = 1; view < m_views.size(); view += kGroupsPerRegion) {
    m_views[view].m_split = aSplit;
    UpdateView(view);
  }
}

void
FleetDriver::SetOneDaemonFrozen(bool aFrozen)
{
  if (aFrozen) {
    const auto most =
      std::max_element(m_daemons.begin(),
                       m_daemons.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.m_owned.size() < aRight.m_owned.size();
                       });
    most->m_frozen = true;
    const auto index = static_cast<std::size_t>(most - m_daemons.begin());
    Schedule(kFailureDetection, [this, index] {
      m_daemons[index].m_consideredDead = m_daemons[index].m_frozen;
      UpdateAllViews();
    });
    return;
  }
  for (std::size_t d = 0; d < m_daemons.size(); ++d) {
    if (!m_daemons[d].m_frozen) {
      continue;
    }
    m_daemons[d].m_frozen = false;
    std::vector<std::function<void()>> backlog;
    backlog.swap(m_daemons[d].m_backlog);
    for (const auto& run : backlog) {
      run();
    }
    Schedule(kSecond, [this, d] {
      m_daemons[d].m_consideredDead = false;
      UpdateAllViews();
      for (std::size_t e = 0; e < m_engines.size(); ++e) {
        NotifyOwnerChange(d, e);
      }
    });
  }
}

void
FleetDriver::TurnCold(double aChance)
{
  std::uniform_real_distribution<double> draw(0, 1);
  for (Engine& engine : m_engines) {
    if (draw(m_random) < aChance) {
      engine.m_coldUntil = m_now + m_options.m_coldTime;
    }
  }
}

} // namespace walnutwing::bench
