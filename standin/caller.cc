// Each slot starts its next request after the previous one has ended, from a
// later iteration of the event loop: a call must not be replaced within its own
// callback.

#include "standin/caller.h"

#include <array>

namespace walnutwing::standin {

namespace {

constexpr std::size_t kMaxResponseBytes = 64U << 20U;
constexpr std::size_t kMaxRecordedWrongAnswers = 10;
constexpr Duration kDeadlineGrace{ 5000 }; // added to a request's deadline
constexpr std::array<Outcome, 7> kOutcomes = {
  Outcome::Complete, Outcome::Refused,
  Outcome::Failed,   Outcome::ErrorWithoutCode,
  Outcome::Broken,   Outcome::Unreachable,
  Outcome::Wrong
};

std::chrono::microseconds
ToMicroseconds(std::chrono::steady_clock::duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration);
}

} // namespace

Caller::Caller(net::EventLoop& aLoop,
               net::HttpClient& aClient,
               Options aOptions,
               std::function<void()> aDone)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_options(std::move(aOptions))
  , m_done(std::move(aDone))
{
}

void
Caller::Start()
{
  m_latestStart = m_loop.Now() + m_options.m_timeLimit;
  m_startedAt = Clock::now();
  m_slots.resize(m_options.m_concurrency);
  m_activeSlots = m_options.m_concurrency;
  for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
    StartNext(slot);
  }
}

void
Caller::StartNext(std::size_t aSlot)
{
  m_slots[aSlot].reset();
  if (m_started == m_options.m_requests || m_loop.Now() >= m_latestStart) {
    if (--m_activeSlots == 0) {
      m_endedAt = Clock::now();
      m_done();
    }
    return;
  }
  const std::uint64_t number = m_started++;
  auto attempt = std::make_unique<Attempt>();
  attempt->m_request =
    MakeRequest(m_options.m_request, number, m_loop.WallNow());
  attempt->m_request.m_endpoint =
    m_options.m_targets[number % m_options.m_targets.size()];
  attempt->m_start = Clock::now();
  attempt->m_lastToken = attempt->m_start;
  m_slots[aSlot] = std::move(attempt);
  if (m_options.m_request.m_scenario == Scenario::Chats) {
    StartStream(aSlot);
  } else {
    StartBuffered(aSlot);
  }
}

void
Caller::StartStream(std::size_t aSlot)
{
  Attempt& attempt = *m_slots[aSlot];
  attempt.m_check = std::make_unique<StreamCheck>(attempt.m_request.m_body);
  net::CallCallbacks callbacks;
  callbacks.m_onHead = [&attempt](int aStatus, const net::Headers& aHeaders) {
    attempt.m_status = aStatus;
    attempt.m_headers = aHeaders;
  };
  callbacks.m_onBody = [this, &attempt](std::string_view aPiece) {
    OnBodyPiece(attempt, aPiece);
  };
  callbacks.m_onEnd = [this, aSlot, &attempt](const net::CallEnd& aEnd) {
    const int code = attempt.m_status == 200 ? attempt.m_check->ErrorCode()
                                             : ErrorCodeIn(attempt.m_errorBody);
    Finish(aSlot, ClassifyStream(attempt, aEnd), code);
  };
  attempt.m_call = m_client.Start(attempt.m_request, std::move(callbacks));
}

void
Caller::OnBodyPiece(Attempt& aAttempt, std::string_view aPiece)
{
  if (aAttempt.m_status != 200) {
    aAttempt.m_errorBody += aPiece;
    return;
  }
  const std::size_t before = aAttempt.m_check->Tokens();
  aAttempt.m_check->Feed(aPiece);
  const std::size_t tokens = aAttempt.m_check->Tokens();
  if (tokens == before) {
    return;
  }
  const Clock::time_point now = Clock::now();
  LatencyHistogram& histogram =
    before == 0 ? m_firstTokenLatency : m_betweenTokensLatency;
  histogram.Add(ToMicroseconds(now - aAttempt.m_lastToken));
  aAttempt.m_lastToken = now;
  m_tokens += tokens - before;
}

Outcome
Caller::ClassifyStream(const Attempt& aAttempt, const net::CallEnd& aEnd) const
{
  if (aEnd.m_stage == net::CallStage::NotSent) {
    return Outcome::Unreachable;
  }
  if (aAttempt.m_status == 200) {
    return standin::ClassifyStream(*aAttempt.m_check, aEnd);
  }
  return aEnd.m_stage == net::CallStage::Complete
           ? ClassifyError(aAttempt.m_headers, aAttempt.m_errorBody)
           : Outcome::Broken;
}

void
Caller::StartBuffered(std::size_t aSlot)
{
  Attempt& attempt = *m_slots[aSlot];
  attempt.m_call = FetchResponse(
    m_client,
    m_loop,
    attempt.m_request,
    m_options.m_request.m_deadline + kDeadlineGrace,
    kMaxResponseBytes,
    [this, aSlot, &attempt](const net::HttpResponse& aResponse) {
      const Outcome outcome = ClassifyResponse(
        m_options.m_request.m_scenario, attempt.m_request, aResponse);
      const int code =
        aResponse.m_status == 200 ? 0 : ErrorCodeIn(aResponse.m_body);
      Finish(aSlot, outcome, code);
    });
}

void
Caller::Finish(std::size_t aSlot, Outcome aOutcome, int aCode)
{
  const Attempt& attempt = *m_slots[aSlot];
  ++m_outcomes[aOutcome];
  if (aCode != 0) {
    ++m_codes[aCode];
  }
  if (aOutcome == Outcome::Complete) {
    m_completeLatency.Add(ToMicroseconds(Clock::now() - attempt.m_start));
  }
  if (aOutcome == Outcome::Wrong &&
      m_wrongAnswers.size() < kMaxRecordedWrongAnswers) {
    const std::string reason =
      attempt.m_check ? attempt.m_check->Reason() : std::string();
    m_wrongAnswers.push_back(
      attempt.m_request.m_body + ": " +
      (reason.empty() ? "short or another's answer" : reason));
  }
  m_loop.After(Duration(0), [this, aSlot] { StartNext(aSlot); });
}

std::uint64_t
Caller::Count(Outcome aOutcome) const
{
  const auto found = m_outcomes.find(aOutcome);
  return found == m_outcomes.end() ? 0 : found->second;
}

void
Caller::Print(std::ostream& aStream) const
{
  const std::string_view variant = NameOf(m_options.m_request.m_scenario);
  const auto printLine =
    [&](std::string_view aMeasure, auto aValue, std::string_view aUnit) {
      aStream << aMeasure << ',' << variant << ',' << aValue << ',' << aUnit
              << '\n';
    };
  const auto printLatencies = [&](const std::string& aName,
                                  const LatencyHistogram& aHistogram) {
    if (aHistogram.Count() == 0) {
      return;
    }
    printLine(aName + "_p50", aHistogram.QuantileMs(0.50), "ms");
    printLine(aName + "_p95", aHistogram.QuantileMs(0.95), "ms");
    printLine(aName + "_p99", aHistogram.QuantileMs(0.99), "ms");
  };
  aStream << "measure,variant,value,unit\n";
  for (const Outcome outcome : kOutcomes) {
    printLine(NameOf(outcome), Count(outcome), "requests");
  }
  for (const auto& [code, count] : m_codes) {
    printLine("code_" + std::to_string(code), count, "requests");
  }
  printLine("tokens", m_tokens, "tokens");
  const std::chrono::duration<double> elapsed = m_endedAt - m_startedAt;
  printLine("elapsed", elapsed.count(), "s");
  printLatencies("first_token", m_firstTokenLatency);
  printLatencies("between_tokens", m_betweenTokensLatency);
  printLatencies("whole_answer", m_completeLatency);
  for (const std::string& wrong : m_wrongAnswers) {
    aStream << "# wrong: " << wrong << '\n';
  }
}

} // namespace walnutwing::standin
