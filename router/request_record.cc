#include "router/request_record.h"

#include <array>

#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing::router {
namespace {

// Of a field that an upstream sent.
constexpr std::size_t kMaxLoggedFieldBytes = 40;
constexpr std::size_t kMaxLoggedParts = 8; // of a prompt

struct RepeatResultName
{
  RepeatResult m_result;
  std::string_view m_name;
};

constexpr std::array<RepeatResultName, 5> kRepeatResults{ {
  { RepeatResult::Allowed, "allowed" },
  { RepeatResult::NoTime, "no_time" },
  { RepeatResult::NoUpstream, "no_upstream" },
  { RepeatResult::NoBudget, "no_budget" },
  { RepeatResult::Blocked, "blocked" },
} };

std::string
FormatLabel(std::string_view aName, std::string_view aValue)
{
  return std::string(aName) + "=\"" + std::string(aValue) + "\"";
}

std::int64_t
ToMilliseconds(Duration aTime)
{
  return aTime.count();
}

} // namespace

std::string_view
NameOf(RepeatResult aResult)
{
  for (const RepeatResultName& row : kRepeatResults) {
    if (row.m_result == aResult) {
      return row.m_name;
    }
  }
  return "unknown";
}

RequestRecord::RequestRecord(Context& aContext,
                             const std::string& aAttemptId,
                             std::uint32_t aNumber)
  : m_context(aContext)
  , m_attemptId(aAttemptId)
  , m_number(aNumber)
  , m_arrivedAt(Now())
{
}

void
RequestRecord::SetRoute(const Route& aRoute,
                        const ServiceId& aService,
                        std::uint64_t aVersion)
{
  m_route = &aRoute;
  m_service = aService;
  m_version = aVersion;
}

void
RequestRecord::LogSent(const Choice& aChoice,
                       Duration aTimeLeft,
                       bool aReusedConnection)
{
  StartLine(Event::RequestSent)
    .Add("upstream", aChoice.m_upstream.Value())
    .Add("rank", static_cast<std::int64_t>(aChoice.m_rank))
    .Add("load", aChoice.m_load)
    .Add("mean_load", aChoice.m_meanLoad)
    .Add("load_age_ms", ToMilliseconds(aChoice.m_loadAge))
    .Add("pace", aChoice.m_pace)
    .Add("cold", static_cast<std::int64_t>(aChoice.m_cold))
    .Add("reused", static_cast<std::int64_t>(aReusedConnection))
    .Add("left_ms", ToMilliseconds(aTimeLeft));
  ++m_context.m_metrics.Counter("attempts_total",
                                FormatLabel("service", m_service.Value()) +
                                  "," +
                                  FormatLabel("zone", aChoice.m_zone.Value()));
}

void
RequestRecord::LogRepeated(const Choice& aFailed, const Repetition& aRepetition)
{
  StartLine(aRepetition.m_resumed ? Event::RequestResumed
                                  : Event::RequestRepeated)
    .Add("upstream", aFailed.m_upstream.Value())
    .Add("why", aRepetition.m_why)
    .Add("after_event", aRepetition.m_afterEvent)
    .Add("begun", static_cast<std::int64_t>(aRepetition.m_begun))
    .Add("parts", SharedPartsText())
    .Add("fingerprint", m_fingerprint.Value());
  ++m_context.m_metrics.Counter("repeats_total",
                                FormatLabel("service", m_service.Value()));
}

void
RequestRecord::LogKept(const Choice& aKept, std::string_view aWhy)
{
  StartLine(Event::AttemptKept)
    .Add("upstream", aKept.m_upstream.Value())
    .Add("why", aWhy);
  ++m_context.m_metrics.Counter("attempts_kept_total",
                                FormatLabel("service", m_service.Value()));
}

void
RequestRecord::LogUpstreamBackoff(const Choice& aChoice,
                                  std::string_view aRetryAfter,
                                  Duration aBackoff)
{
  StartLine(Event::UpstreamBackoff)
    .Add("upstream", aChoice.m_upstream.Value())
    .Add("retry_after", aRetryAfter.substr(0, kMaxLoggedFieldBytes))
    .Add("for_ms", ToMilliseconds(aBackoff));
}

void
RequestRecord::LogUpstreamLimited(const Choice& aChoice,
                                  std::string_view aText,
                                  std::optional<double> aPerSecond)
{
  StartLine(Event::UpstreamLimited)
    .Add("upstream", aChoice.m_upstream.Value())
    .Add("limit", aText.substr(0, kMaxLoggedFieldBytes))
    .Add("per_s", aPerSecond.value_or(-1));
}

void
RequestRecord::LogTakenUp(const std::string& aFirstAttemptId,
                          const VersionFinding& aFinding)
{
  const auto& version = aFinding.m_version;
  StartLine(Event::StreamTakenUp)
    .Add("resumes", aFirstAttemptId)
    .Add("known", static_cast<std::int64_t>(version.has_value()))
    .Add("version", version ? std::string_view(version->Value()) : "")
    .Add("source", NameOf(aFinding.m_source))
    .Add("asked", static_cast<std::int64_t>(aFinding.m_asked))
    .Add("answered", static_cast<std::int64_t>(aFinding.m_answered))
    .Add("store", NameOf(aFinding.m_store))
    .Add("ms", ElapsedMs());
}

void
RequestRecord::CountDeniedRepeat()
{
  ++m_context.m_metrics.Counter("repeats_over_budget_total",
                                FormatLabel("service", m_service.Value()));
}

// One attempt after the other: upstream, outcome and kind of connection.
void
RequestRecord::AddAttemptEnd(const UpstreamId& aUpstream,
                             SendOutcome aOutcome,
                             bool aReusedConnection)
{
  if (aOutcome == SendOutcome::Answered) {
    return; // neither refused nor failed
  }
  m_attemptEnds += m_attemptEnds.empty() ? "" : ",";
  m_attemptEnds += aUpstream.Value();
  m_attemptEnds += ':';
  m_attemptEnds += NameOf(aOutcome);
  m_attemptEnds += aReusedConnection ? ":reused" : ":new";
}

void
RequestRecord::LogAnswered(const Choice& aChoice,
                           unsigned aStatus,
                           std::uint32_t aTries,
                           Time aFirstByteAt,
                           const BodyEnd& aBodyEnd)
{
  const Duration timeToFirstByte = aFirstByteAt - m_arrivedAt;
  StartLine(Event::RequestAnswered)
    .Add("upstream", aChoice.m_upstream.Value())
    .Add("status", static_cast<std::int64_t>(aStatus))
    .Add("attempts", static_cast<std::int64_t>(aTries))
    .Add("first_ms", ToMilliseconds(timeToFirstByte))
    .Add("ms", ElapsedMs())
    .Add("framing", NameOf(aBodyEnd.m_framing))
    .Add("bytes", static_cast<std::int64_t>(aBodyEnd.m_bytes))
    .Add("partial_event_bytes",
         static_cast<std::int64_t>(aBodyEnd.m_partialEventBytes));
  CountOutcome(ResultCode::Ok, aChoice.m_zone.Value());
  const std::string labels = FormatLabel("kind", NameOf(m_route->m_kind)) +
                             "," + FormatLabel("service", m_service.Value());
  m_context.m_metrics.Latency("first_byte_seconds", labels)
    .Record(timeToFirstByte);
  m_context.m_metrics.Latency("request_seconds", labels)
    .Record(Now() - m_arrivedAt);
}

void
RequestRecord::LogRefused(const Refusal& aRefusal)
{
  const Duration retryAfter = aRefusal.m_retryAfter.value_or(Duration::zero());
  EventLog::Line line = StartLine(Event::RequestRefused);
  line.Add("code", static_cast<std::int64_t>(aRefusal.m_code))
    .Add("why", RowOf(aRefusal.m_code).m_name)
    .Add("attempts", static_cast<std::int64_t>(aRefusal.m_tries))
    .Add("ends", m_attemptEnds)
    .Add("runs", static_cast<std::int64_t>(aRefusal.m_runs))
    .Add("retry_after_ms", ToMilliseconds(retryAfter))
    .Add("ms", ElapsedMs());
  if (aRefusal.m_timeLeft) {
    line.Add("left_ms", ToMilliseconds(*aRefusal.m_timeLeft));
  }
  if (!m_blockedTrait.Empty()) {
    line.Add(IsFingerprint(m_blockedTrait) ? "fingerprint" : "part",
             m_blockedTrait.Value());
  }
  if (aRefusal.m_choice) {
    const Choice& choice = *aRefusal.m_choice;
    line.Add("no_choice", NameOf(choice.m_failure))
      .Add("listed", static_cast<std::int64_t>(choice.m_listed))
      .Add("usable", static_cast<std::int64_t>(choice.m_usable));
  }
  if (aRefusal.m_admissionRefusal) {
    line.Add("least_load", aRefusal.m_choice->m_minLoad)
      .Add("places", static_cast<std::int64_t>(aRefusal.m_choice->m_slots))
      .Add("load_age_ms", ToMilliseconds(aRefusal.m_choice->m_loadAge))
      .Add("wait_ms", ToMilliseconds(aRefusal.m_admissionRefusal->m_wait))
      .Add("allowed_wait_ms",
           ToMilliseconds(aRefusal.m_admissionRefusal->m_maxWait));
  }
  if (aRefusal.m_code == ResultCode::RetryBudgetSpent) {
    const double remaining =
      m_context.RepeatBudgetOf(m_service).Remaining(m_context.m_daemons, Now());
    line.Add("budget_left", remaining)
      .Add("daemons", static_cast<std::int64_t>(m_context.m_daemons));
  }
  AddConnectionState(line);
  CountOutcome(aRefusal.m_code, "");
}

void
RequestRecord::LogFailed(const Choice& aLast, const Failure& aFailure)
{
  EventLog::Line line = StartLine(Event::RequestFailed);
  line.Add("code", static_cast<std::int64_t>(aFailure.m_code))
    .Add("why", RowOf(aFailure.m_code).m_name)
    .Add("cause", aFailure.m_cause)
    .Add("upstream", aLast.m_upstream.Value())
    .Add("connection", aFailure.m_reusedConnection ? "reused" : "new")
    .Add("attempts", static_cast<std::int64_t>(aFailure.m_tries))
    .Add("ends", m_attemptEnds)
    .Add("runs", static_cast<std::int64_t>(aFailure.m_runs))
    .Add("in_answer", static_cast<std::int64_t>(aFailure.m_responseBegun))
    .Add("framing", NameOf(aFailure.m_bodyEnd.m_framing))
    .Add("bytes", static_cast<std::int64_t>(aFailure.m_bodyEnd.m_bytes))
    .Add("partial_event_bytes",
         static_cast<std::int64_t>(aFailure.m_bodyEnd.m_partialEventBytes))
    .Add("begun", static_cast<std::int64_t>(aFailure.m_begun))
    .Add("parts", SharedPartsText())
    .Add("fingerprint", m_fingerprint.Value())
    .Add("ms", ElapsedMs());
  if (aFailure.m_timeLeft) {
    line.Add("left_ms", ToMilliseconds(*aFailure.m_timeLeft));
  }
  if (m_repeatResult) {
    line.Add("repeat", NameOf(*m_repeatResult));
  }
  AddConnectionState(line);
  CountOutcome(aFailure.m_code, aLast.m_zone.Value());
}

void
RequestRecord::LogCallerGone(bool aAttemptInFlight, bool aSent)
{
  StartLine(Event::CallerGone)
    .Add("code", static_cast<std::int64_t>(ResultCode::CallerGone))
    .Add("sending", static_cast<std::int64_t>(aAttemptInFlight))
    .Add("sent", static_cast<std::int64_t>(aSent))
    .Add("ms", ElapsedMs());
  CountOutcome(ResultCode::CallerGone, "");
}

EventLog::Line
RequestRecord::StartLine(Event aEvent) const
{
  return EventLog::Line(m_context.m_log, aEvent, Now(), [this](auto& aLine) {
    aLine.Add("id", m_attemptId);
    if (m_route != nullptr) {
      aLine.Add("route", m_route->m_name);
      aLine.Add("service", m_service.Value());
      aLine.Add("config", static_cast<std::int64_t>(m_version));
    }
  });
}

// Tells a request that was read before a planned stop from one that was read
// during it, and the first one of a connection from those after it.
void
RequestRecord::AddConnectionState(EventLog::Line& aLine) const
{
  aLine.Add("number", static_cast<std::int64_t>(m_number));
  const std::optional<Duration> stopping = m_context.m_stop.Elapsed(Now());
  if (stopping) {
    aLine.Add("stopping_ms", ToMilliseconds(*stopping));
  }
}

// The names joined by commas, with "..." in place of those beyond the limit.
std::string
RequestRecord::SharedPartsText() const
{
  std::string text;
  if (m_sharedParts == nullptr) {
    return text;
  }
  for (std::size_t i = 0; i < m_sharedParts->size(); ++i) {
    if (i == kMaxLoggedParts) {
      return text + ",...";
    }
    text += (i == 0 ? "" : ",") + (*m_sharedParts)[i].Value();
  }
  return text;
}

void
RequestRecord::CountOutcome(ResultCode aCode, std::string_view aZone)
{
  const std::string code = std::to_string(static_cast<int>(aCode));
  const std::string_view kind =
    m_route == nullptr ? "" : NameOf(m_route->m_kind);
  ++m_context.m_metrics.Counter("requests_total",
                                FormatLabel("code", code) + "," +
                                  FormatLabel("kind", kind) + "," +
                                  FormatLabel("service", m_service.Value()) +
                                  "," + FormatLabel("zone", aZone));
}

std::int64_t
RequestRecord::ElapsedMs() const
{
  return ToMilliseconds(Now() - m_arrivedAt);
}

void
UpdateRepeatBudgetGauges(Context& aContext, Time aNow)
{
  for (auto& [service, budget] : aContext.m_repeatBudgets) {
    aContext.m_metrics.Gauge("repeat_budget_left",
                             FormatLabel("service", service.Value())) =
      budget.Remaining(aContext.m_daemons, aNow);
  }
}

void
UpdatePaceGauges(Context& aContext, Time aNow)
{
  for (const auto& [service, pace] : aContext.m_selector.MeanPaces(aNow)) {
    aContext.m_metrics.Gauge("upstream_pace",
                             FormatLabel("service", service.Value())) = pace;
  }
}

} // namespace walnutwing::router
