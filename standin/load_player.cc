// One timer is set for the next request that is due; when it fires, all that
// are due by then are started.

#include "standin/load_player.h"

#include <utility>

namespace walnutwing::standin {
namespace {

constexpr int kOk = 200;

Scenario
ScenarioOf(LoadKind aKind)
{
  switch (aKind) {
    case LoadKind::Chat:
      return Scenario::Chats;
    case LoadKind::Lookup:
      return Scenario::Lookups;
    case LoadKind::Order:
      return Scenario::Orders;
  }
  return Scenario::Lookups;
}

} // namespace

LoadPlayer::LoadPlayer(net::EventLoop& aLoop,
                       net::HttpClient& aClient,
                       LoadPlayerOptions aOptions,
                       std::function<void()> aDone)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_options(std::move(aOptions))
  , m_done(std::move(aDone))
  , m_plan(MakeLoadPlan(m_options.m_plan))
{
}

void
LoadPlayer::Start()
{
  m_startedAt = m_loop.Now();
  StartDueRequests();
}

void
LoadPlayer::StartDueRequests()
{
  const Duration elapsed = m_loop.Now() - m_startedAt;
  while (m_nextIndex < m_plan.size() && m_plan[m_nextIndex].m_at <= elapsed) {
    StartRequest(m_plan[m_nextIndex], m_nextIndex);
    ++m_nextIndex;
  }
  if (m_nextIndex < m_plan.size()) {
    m_loop.After(m_plan[m_nextIndex].m_at - elapsed,
                 [this] { StartDueRequests(); });
  } else if (m_attempts.empty()) {
    m_done();
  }
}

LoadKind
LoadPlayer::KindOf(const PlannedRequest& aPlanned) const
{
  return m_options.m_plan.m_classes[aPlanned.m_class].m_kind;
}

net::CallRequest
LoadPlayer::BuildRequest(const PlannedRequest& aPlanned,
                         std::uint64_t aNumber) const
{
  RequestOptions options;
  options.m_scenario = ScenarioOf(KindOf(aPlanned));
  options.m_customerKey =
    m_options
      .m_customerKeys[aPlanned.m_customer % m_options.m_customerKeys.size()];
  options.m_service = options.m_scenario == Scenario::Orders
                        ? m_options.m_orderService
                        : m_options.m_service;
  options.m_model = m_options.m_model;
  options.m_maxTokens = aPlanned.m_answerTokens;
  options.m_deadline = m_options.m_plan.m_classes[aPlanned.m_class].m_deadline;
  options.m_runId = m_options.m_runId;
  options.m_chats = 0; // the chat follows from the plan, see below
  net::CallRequest request = MakeRequest(options, aNumber, m_loop.WallNow());
  if (!aPlanned.m_parts.empty()) {
    request.m_headers.Add("walnutwing-chat",
                          "chat-" +
                            std::to_string(aPlanned.m_parts.back().m_key));
  }
  request.m_endpoint =
    m_options.m_targets[aNumber % m_options.m_targets.size()];
  return request;
}

void
LoadPlayer::StartRequest(const PlannedRequest& aPlanned, std::uint64_t aNumber)
{
  auto attempt = std::make_unique<Attempt>();
  attempt->m_planned = &aPlanned;
  attempt->m_request = BuildRequest(aPlanned, aNumber);
  attempt->m_startedAt = m_loop.Now();
  if (KindOf(aPlanned) == LoadKind::Chat) {
    attempt->m_check = std::make_unique<StreamCheck>(attempt->m_request.m_body);
  }
  Attempt& active = *attempt;
  m_attempts[aNumber] = std::move(attempt);
  net::CallCallbacks callbacks;
  callbacks.m_onHead = [&active](int aStatus, const net::Headers& aHeaders) {
    active.m_response.m_status = aStatus;
    active.m_response.m_headers = aHeaders;
  };
  callbacks.m_onBody = [this, &active](std::string_view aPiece) {
    active.m_firstByteAt = active.m_firstByteAt.value_or(m_loop.Now());
    if (active.m_check != nullptr && active.m_response.m_status == kOk) {
      active.m_check->Feed(aPiece);
    } else {
      active.m_response.m_body += aPiece;
    }
  };
  callbacks.m_onEnd = [this, aNumber](const net::CallEnd& aEnd) {
    OnEnd(aNumber, aEnd);
  };
  active.m_call = m_client.Start(active.m_request, std::move(callbacks));
}

Outcome
LoadPlayer::Classify(const Attempt& aAttempt) const
{
  const net::HttpResponse& response = aAttempt.m_response;
  const Scenario scenario = ScenarioOf(KindOf(*aAttempt.m_planned));
  if (aAttempt.m_check == nullptr || response.m_status != kOk) {
    return ClassifyResponse(scenario, aAttempt.m_request, response);
  }
  return ClassifyStream(*aAttempt.m_check, response.m_end);
}

void
LoadPlayer::OnEnd(std::uint64_t aNumber, const net::CallEnd& aEnd)
{
  Attempt& attempt = *m_attempts.at(aNumber);
  attempt.m_response.m_end = aEnd;
  const Time now = m_loop.Now();
  std::optional<Duration> firstByteLatency;
  if (attempt.m_firstByteAt) {
    firstByteLatency = *attempt.m_firstByteAt - attempt.m_startedAt;
  }
  m_report.Add(attempt.m_planned->m_at,
               KindOf(*attempt.m_planned),
               Classify(attempt),
               firstByteLatency,
               now - attempt.m_startedAt);
  // A call must not be replaced within its own callback.
  m_loop.After(Duration(0), [this, aNumber] {
    m_attempts.erase(aNumber);
    if (m_attempts.empty() && m_nextIndex == m_plan.size()) {
      m_done();
    }
  });
}

} // namespace walnutwing::standin
