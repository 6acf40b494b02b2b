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
  StartDue();
}

void
LoadPlayer::StartDue()
{
  const Duration since = m_loop.Now() - m_startedAt;
  while (m_next < m_plan.size() && m_plan[m_next].m_at <= since) {
    Begin(m_plan[m_next], m_next);
    ++m_next;
  }
  if (m_next < m_plan.size()) {
    m_loop.After(m_plan[m_next].m_at - since, [this] { StartDue(); });
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
LoadPlayer::RequestOf(const PlannedRequest& aPlanned,
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
  options.m_chats = 0; // the plan tells which chat
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
LoadPlayer::Begin(const PlannedRequest& aPlanned, std::uint64_t aNumber)
{
  auto attempt = std::make_unique<Attempt>();
  attempt->m_planned = &aPlanned;
  attempt->m_request = RequestOf(aPlanned, aNumber);
  attempt->m_startedAt = m_loop.Now();
  if (KindOf(aPlanned) == LoadKind::Chat) {
    attempt->m_check = std::make_unique<StreamCheck>(attempt->m_request.m_body);
  }
  Attempt& kept = *attempt;
  m_attempts[aNumber] = std::move(attempt);
  net::CallCallbacks callbacks;
  callbacks.m_onHead = [&kept](int aStatus, const net::Headers& aHeaders) {
    kept.m_answer.m_status = aStatus;
    kept.m_answer.m_headers = aHeaders;
  };
  callbacks.m_onBody = [this, &kept](std::string_view aPiece) {
    kept.m_firstAt = kept.m_firstAt.value_or(m_loop.Now());
    if (kept.m_check != nullptr && kept.m_answer.m_status == kOk) {
      kept.m_check->Feed(aPiece);
    } else {
      kept.m_answer.m_body += aPiece;
    }
  };
  callbacks.m_onEnd = [this, aNumber](const net::CallEnd& aEnd) {
    OnEnd(aNumber, aEnd);
  };
  kept.m_call = m_client.Start(kept.m_request, std::move(callbacks));
}

Outcome
LoadPlayer::Judge(const Attempt& aAttempt) const
{
  const net::WholeAnswer& answer = aAttempt.m_answer;
  const Scenario scenario = ScenarioOf(KindOf(*aAttempt.m_planned));
  if (aAttempt.m_check == nullptr || answer.m_status != kOk) {
    return JudgeWhole(scenario, aAttempt.m_request, answer);
  }
  return JudgeStream(*aAttempt.m_check, answer.m_end);
}

void
LoadPlayer::OnEnd(std::uint64_t aNumber, const net::CallEnd& aEnd)
{
  Attempt& attempt = *m_attempts.at(aNumber);
  attempt.m_answer.m_end = aEnd;
  const Time now = m_loop.Now();
  std::optional<Duration> first;
  if (attempt.m_firstAt) {
    first = *attempt.m_firstAt - attempt.m_startedAt;
  }
  m_report.Add(attempt.m_planned->m_at,
               KindOf(*attempt.m_planned),
               Judge(attempt),
               first,
               now - attempt.m_startedAt);
  // A call must not be replaced within its own callback.
  m_loop.After(Duration(0), [this, aNumber] {
    m_attempts.erase(aNumber);
    if (m_attempts.empty() && m_next == m_plan.size()) {
      m_done();
    }
  });
}

} // namespace walnutwing::standin
