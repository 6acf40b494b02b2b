#include "router/rollout_keeper.h"

#include <algorithm>
#include <utility>

#include "walnutwing/base/result_code.h"

namespace walnutwing::router {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
// After a call that failed for another reason than its condition.
constexpr Duration kRetryInterval = std::chrono::milliseconds(400);
// Daemons of each zone that may write: its hub, and the next ones in case that
// the hub cannot reach the store.
constexpr std::size_t kWritersPerZone = 3;
// A roll-out that stands still for a shorter time is not logged.
constexpr Duration kMinHold = std::chrono::seconds(1);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

void
AddCounts(EventLog::Line& aLine,
          const std::string& aRole,
          const RolloutCounts& aCounts)
{
  aLine.Add(aRole + "_answers", static_cast<std::int64_t>(aCounts.m_answers))
    .Add(aRole + "_failed", static_cast<std::int64_t>(aCounts.m_failed))
    .Add(aRole + "_timed", static_cast<std::int64_t>(aCounts.m_timed))
    .Add(aRole + "_slow", static_cast<std::int64_t>(aCounts.m_slow));
}

void
AddView(EventLog::Line& aLine, const RolloutView& aView)
{
  aLine.Add("share", aView.m_share).Add("held_by", NameOf(aView.m_heldBy));
  AddCounts(aLine, "old", aView.m_evidence.m_old);
  AddCounts(aLine, "new", aView.m_evidence.m_new);
  aLine.Add("requests", static_cast<std::int64_t>(aView.m_requests))
    .Add("sent_to_new", static_cast<std::int64_t>(aView.m_sentToNew));
}

const RolloutView*
ViewOf(const std::vector<RolloutView>& aViews, const ServiceId& aService)
{
  const auto found =
    std::find_if(aViews.begin(), aViews.end(), [&](const RolloutView& aView) {
      return aView.m_order.m_service == aService;
    });
  return found == aViews.end() ? nullptr : &*found;
}

} // namespace

RolloutKeeper::RolloutKeeper(Context& aContext,
                             const LoadExchange& aExchange,
                             const UpstreamDirectory& aDirectory,
                             std::function<void()> aOnNews)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_directory(aDirectory)
  , m_onNews(std::move(aOnNews))
  , m_channel(std::make_shared<StoreChannel>(
      aContext.m_loop,
      ParseEndpoint(aContext.m_settings.m_storeAddress).value()))
{
}

void
RolloutKeeper::OnOperatorUpdate(const TopicUpdate& aUpdate,
                                std::uint64_t aEra,
                                bool aIsComplete)
{
  std::set<ServiceId> listed;
  for (const platform::StoreRecord& record : aUpdate.m_records) {
    const auto service = platform::RolloutServiceOf(record.m_key);
    if (!service) {
      continue;
    }
    listed.insert(*service);
    if (!record.m_value || record.m_value->empty()) {
      Withdraw(*service);
      continue;
    }
    OnOrderRecord(record, aEra);
  }
  // One of the records that cannot be read may be an order.
  if (!aIsComplete || aUpdate.m_unreadable != 0) {
    return;
  }
  std::set<ServiceId> known = m_ordered;
  for (const auto& [service, order] : m_waiting) {
    known.insert(service);
  }
  for (const ServiceId& service : known) {
    if (!listed.contains(service)) {
      Withdraw(service);
    }
  }
}

void
RolloutKeeper::OnOrderRecord(const platform::StoreRecord& aRecord,
                             std::uint64_t aEra)
{
  platform::RolloutInputError error;
  const auto order = platform::DecodeRolloutOrder(aRecord, aEra, error);
  if (!order) {
    m_waiting.erase(*platform::RolloutServiceOf(aRecord.m_key));
    Refuse(aRecord, error);
    return;
  }
  if (!IsKnown(order->m_service)) {
    Refuse(aRecord, { ResultCode::RolloutServiceUnknown, "no such service" });
    m_waiting[order->m_service] = *order;
    return;
  }
  m_waiting.erase(order->m_service);
  m_ordered.insert(order->m_service);
  m_context.m_rollouts.OnOrder(*order, Now());
}

void
RolloutKeeper::Withdraw(const ServiceId& aService)
{
  m_waiting.erase(aService);
  m_refused.erase(platform::RolloutKeyOf(aService));
  if (m_ordered.erase(aService) != 0) {
    m_context.m_rollouts.OnOrderWithdrawn(aService, Now());
  }
}

void
RolloutKeeper::ReleaseOrders()
{
  std::erase_if(m_waiting, [this](const auto& aWaiting) {
    const auto& [service, order] = aWaiting;
    if (!IsKnown(service)) {
      return false;
    }
    m_ordered.insert(service);
    m_context.m_rollouts.OnOrder(order, Now());
    return true;
  });
}

bool
RolloutKeeper::IsKnown(const ServiceId& aService) const
{
  if (m_context.m_routes != nullptr &&
      m_context.m_routes->Service(aService) != nullptr) {
    return true;
  }
  const auto& all = m_directory.All();
  return std::any_of(all.begin(), all.end(), [&](const auto& aUpstream) {
    return aUpstream.second.m_entry.m_service == aService;
  });
}

void
RolloutKeeper::Refuse(const platform::StoreRecord& aRecord,
                      const platform::RolloutInputError& aError)
{
  std::pair logged(aRecord.m_offset, aError.m_message);
  if (std::exchange(m_refused[aRecord.m_key], logged) == logged) {
    return; // it was read again
  }
  m_context.m_log.StartLine(Event::RolloutRefused, Now())
    .Add("code", static_cast<std::int64_t>(aError.m_code))
    .Add("why", RowOf(aError.m_code).m_name)
    .Add("key", aRecord.m_key)
    .Add("offset", static_cast<std::int64_t>(aRecord.m_offset))
    .Add("error", aError.m_message);
}

void
RolloutKeeper::Tick(const std::set<ZoneId>& aZonesOut, Time aNow)
{
  ReleaseOrders();
  const std::vector<ServiceId> active = m_context.m_rollouts.Active();
  if (m_ordered.empty() && active.empty()) {
    return;
  }
  if (!active.empty()) {
    const UpstreamLoads own = m_context.m_selector.OwnLoads();
    const auto rank = m_exchange.RankAmongHubs(kWritersPerZone);
    const std::vector<RolloutView> views = m_context.m_rollouts.Views(aNow);
    for (const ServiceId& service : active) {
      const RolloutView* view = ViewOf(views, service);
      if (view != nullptr) {
        m_context.m_rollouts.Tick(
          service, MakeView(view->m_order, own, aZonesOut, aNow), rank, aNow);
      }
    }
  }
  LogChanges(aNow);
  LogHolds(aNow);
  UpdateMetrics(aNow);
  ReadStatuses(aNow);
  WriteNext(aNow);
}

RolloutFleetView
RolloutKeeper::MakeView(const RolloutOrder& aOrder,
                        const UpstreamLoads& aOwnLoads,
                        const std::set<ZoneId>& aZonesOut,
                        Time aNow) const
{
  RolloutFleetView view;
  view.m_maxTimeout = MaxTimeout(aOrder.m_service);
  view.m_fresh = m_exchange.OtherLoadsAge(aNow).has_value();
  std::uint32_t oldRequests = 0;
  for (const auto& [id, upstream] : m_directory.All()) {
    const UpstreamEntry& entry = upstream.m_entry;
    if (entry.m_service != aOrder.m_service) {
      continue;
    }
    const bool usable = !entry.m_draining && !aZonesOut.contains(entry.m_zone);
    if (usable) {
      view.m_usableVersions.insert(entry.m_version);
    }
    if (entry.m_version == aOrder.m_to) {
      view.m_newUpstreamIds.push_back(id);
      view.m_newUpstreams += usable ? 1 : 0;
      view.m_newWarmSlots +=
        usable && upstream.m_coldUntil <= aNow ? entry.m_slots : 0;
      continue;
    }
    const std::uint32_t key = LoadKey(id);
    const auto own = aOwnLoads.find(key);
    oldRequests += own == aOwnLoads.end() ? 0 : own->second;
    oldRequests += static_cast<std::uint32_t>(
      m_exchange.ReportedByOthers(key, aNow).value_or(0));
    view.m_oldUpstreams += usable ? 1 : 0;
    view.m_oldSlots += usable ? entry.m_slots : 0;
  }
  if (view.m_fresh) {
    view.m_oldRequests = oldRequests;
  }
  return view;
}

Duration
RolloutKeeper::MaxTimeout(const ServiceId& aService) const
{
  Duration longest{};
  if (m_context.m_routes == nullptr) {
    return longest;
  }
  for (const Route& route : m_context.m_routes->Config().m_routes) {
    const bool leadsThere =
      std::any_of(route.m_services.begin(),
                  route.m_services.end(),
                  [&](const WeightedService& aWeighted) {
                    return aWeighted.m_service == aService;
                  });
    if (leadsThere) {
      longest = std::max(longest, route.m_timeout);
    }
  }
  return longest;
}

void
RolloutKeeper::ReadStatuses(Time aNow)
{
  if (m_calling || !m_readIsDue || aNow < m_nextCallAt) {
    return;
  }
  m_calling = true;
  m_readIsDue = false;
  m_end.reset();
  m_firstPageEnd.reset();
  m_pageCursor.clear();
  m_statuses.clear();
  ReadPage();
}

void
RolloutKeeper::ReadPage()
{
  m_channel->Call(
    platform::EncodeNewestRequest(platform::kStatusTopic, m_pageCursor),
    kStoreTimeout,
    [this](const StoreResponse& aResponse) { OnPage(aResponse); });
}

void
RolloutKeeper::OnPage(const StoreResponse& aResponse)
{
  std::optional<platform::NewestPage> page;
  if (aResponse.m_status == kNotFound && !m_firstPageEnd) {
    page.emplace(); // the topic does not exist until its first record
  } else if (aResponse.m_status == kOk) {
    page = platform::DecodeNewest(aResponse.m_body);
  }
  if (!page) {
    m_calling = false;
    m_readIsDue = true;
    m_nextCallAt = Now() + kRetryInterval;
    return;
  }
  // What is written between two pages fails the condition of a write.
  m_firstPageEnd = m_firstPageEnd.value_or(page->m_endOffset);
  std::move(page->m_records.begin(),
            page->m_records.end(),
            std::back_inserter(m_statuses));
  if (page->m_hasMore && !page->m_lastKey.empty()) {
    m_pageCursor = page->m_lastKey;
    ReadPage();
    return;
  }
  m_calling = false;
  m_end = m_firstPageEnd;
  OnStatusesRead();
}

void
RolloutKeeper::OnStatusesRead()
{
  const Time now = Now();
  const WallTime wallNow = SteadyClock().WallNow();
  for (const platform::StoreRecord& record : std::exchange(m_statuses, {})) {
    if (!platform::RolloutServiceOf(record.m_key) ||
        record.m_value.value_or("").empty()) {
      continue;
    }
    platform::RolloutInputError error;
    const auto status =
      platform::DecodeRolloutStatus(record, now, wallNow, error);
    if (status) {
      m_context.m_rollouts.OnStatus(*status, now);
    } else {
      Refuse(record, error);
    }
  }
  m_context.m_rollouts.OnStatusesRead(now);
}

void
RolloutKeeper::WriteNext(Time aNow)
{
  if (m_calling || !m_end || m_readIsDue) {
    return;
  }
  for (const ServiceId& service : m_context.m_rollouts.Active()) {
    const auto status = m_context.m_rollouts.StatusToWrite(service, aNow);
    if (status) {
      Write(*status);
      return;
    }
  }
}

void
RolloutKeeper::Write(const RolloutStatus& aStatus)
{
  m_calling = true;
  m_channel->Call(
    platform::EncodePutRequestAt(
      platform::kStatusTopic,
      platform::RolloutKeyOf(aStatus.m_service),
      platform::EncodeRolloutStatus(aStatus, Now(), SteadyClock().WallNow()),
      *m_end),
    kStoreTimeout,
    [this, aStatus](const StoreResponse& aResponse) {
      OnWritten(aStatus, aResponse);
    });
}

void
RolloutKeeper::OnWritten(const RolloutStatus& aStatus,
                         const StoreResponse& aResponse)
{
  const Time now = Now();
  m_calling = false;
  m_context.m_log.StartLine(Event::RolloutWritten, now)
    .Add("service", aStatus.m_service.Value())
    .Add("to", aStatus.m_to.Value())
    .Add("stage", NameOf(aStatus.m_stage))
    .Add("status", static_cast<std::int64_t>(aResponse.m_status))
    .Add("error", aResponse.m_error);
  if (aResponse.m_status != kOk) {
    m_end.reset();
    m_readIsDue = true;
    m_nextCallAt =
      aResponse.m_status == kPreconditionFailed ? now : now + kRetryInterval;
    m_context.m_rollouts.OnWriteFailed(aStatus, now);
    return;
  }
  m_end = platform::DecodeEndOffset(aResponse.m_body);
  m_readIsDue = m_readIsDue || !m_end;
  m_context.m_rollouts.OnWritten(aStatus, now);
  m_onNews();
}

void
RolloutKeeper::LogChanges(Time aNow)
{
  const std::vector<RolloutChange> changes = m_context.m_rollouts.TakeChanges();
  if (changes.empty()) {
    return;
  }
  const std::vector<RolloutView> views = m_context.m_rollouts.Views(aNow);
  for (const RolloutChange& change : changes) {
    const RolloutView* view = ViewOf(views, change.m_service);
    const Event event =
      change.m_before ? Event::RolloutStageChanged : Event::RolloutOrdered;
    EventLog::Line line = m_context.m_log.StartLine(event, aNow);
    line.Add("service", change.m_service.Value())
      .Add("to", change.m_to.Value())
      .Add("stage", NameOf(change.m_after))
      .Add("why", NameOf(change.m_why));
    if (!change.m_before && view != nullptr) {
      const RolloutOrder& order = view->m_order;
      line
        .Add("duration_s",
             std::chrono::duration<double>(order.m_duration).count())
        .Add("era", static_cast<std::int64_t>(order.m_id.m_era))
        .Add("offset", static_cast<std::int64_t>(order.m_id.m_offset));
    }
    if (change.m_before) {
      line.Add("before", NameOf(*change.m_before)).Add("route", change.m_route);
      if (view != nullptr) {
        AddView(line, *view);
      }
    }
  }
  m_onNews();
}

void
RolloutKeeper::LogHolds(Time aNow)
{
  for (const RolloutView& view : m_context.m_rollouts.Views(aNow)) {
    Held& held = m_held[view.m_order.m_service];
    if (std::exchange(held.m_heldBy, view.m_heldBy) != view.m_heldBy) {
      held.m_since = aNow;
    }
    const bool lasts =
      held.m_heldBy == RolloutHold::None || aNow - held.m_since >= kMinHold;
    if (!lasts ||
        std::exchange(held.m_logged, held.m_heldBy) == held.m_heldBy) {
      continue;
    }
    EventLog::Line line = m_context.m_log.StartLine(Event::RolloutHeld, aNow);
    line.Add("service", view.m_order.m_service.Value())
      .Add("to", view.m_order.m_to.Value())
      .Add("stage", NameOf(view.m_stage));
    AddView(line, view);
  }
}

void
RolloutKeeper::UpdateMetrics(Time aNow)
{
  for (const RolloutView& view : m_context.m_rollouts.Views(aNow)) {
    const std::string labels = "service=\"" + view.m_order.m_service.Value() +
                               "\",to=\"" + view.m_order.m_to.Value() + "\"";
    Metrics& metrics = m_context.m_metrics;
    metrics.Gauge("rollout_stage", labels) = static_cast<double>(view.m_stage);
    metrics.Gauge("rollout_share", labels) = view.m_share;
    metrics.Gauge("rollout_held_by", labels) =
      static_cast<double>(view.m_heldBy);
    metrics.Counter("rollout_requests_total", labels) = view.m_requests;
    metrics.Counter("rollout_sent_to_new_total", labels) = view.m_sentToNew;
    for (const auto& [role, counts] :
         { std::pair("old", view.m_evidence.m_old),
           std::pair("new", view.m_evidence.m_new) }) {
      const std::string of = labels + ",version=\"" + role + "\"";
      metrics.Gauge("rollout_answers", of) =
        static_cast<double>(counts.m_answers);
      metrics.Gauge("rollout_failed_answers", of) =
        static_cast<double>(counts.m_failed);
      metrics.Gauge("rollout_timed_answers", of) =
        static_cast<double>(counts.m_timed);
      metrics.Gauge("rollout_slow_answers", of) =
        static_cast<double>(counts.m_slow);
    }
  }
}

} // namespace walnutwing::router
