// Runs AnswerStream over random fault histories and counts the verdicts, also
// for broken variants in which the same checker must find wrong answers.
// Measures the CPU cost of relaying an event.
//
// Prints CSV: measure,variant,value,unit. Seeds are fixed: 0, 1, 2, ...

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "walnutwing/relay/answer_stream.h"
#include "walnutwing/relay/fake_answers.h"

namespace {

using walnutwing::AnswerActions;
using walnutwing::AnswerHead;
using walnutwing::AnswerHistory;
using walnutwing::AnswerOptions;
using walnutwing::AnswerStream;
using walnutwing::AnswerVerdict;
using walnutwing::AttemptId;

constexpr std::uint64_t kHistories = 200000;
constexpr std::uint64_t kVariantHistories = 20000;
constexpr int kStreams = 200;
constexpr int kEventsPerStream = 1000;
constexpr double kNanosPerSecond = 1e9;

void
PrintRow(std::string_view aMeasure,
         std::string_view aVariant,
         double aValue,
         std::string_view aUnit)
{
  std::cout << aMeasure << ',' << aVariant << ',' << aValue << ',' << aUnit
            << '\n';
}

template<typename Stream>
void
CountVerdicts(std::string_view aVariant, std::uint64_t aHistories)
{
  std::uint64_t counts[4] = {};
  for (std::uint64_t seed = 0; seed < aHistories; ++seed) {
    const AnswerVerdict verdict = AnswerHistory<Stream>(seed).Run();
    ++counts[static_cast<std::size_t>(verdict)];
  }
  const auto count = [&](AnswerVerdict aVerdict) {
    return static_cast<double>(counts[static_cast<std::size_t>(aVerdict)]);
  };
  PrintRow(
    "answer_histories", aVariant, static_cast<double>(aHistories), "histories");
  PrintRow("answers_wrong", aVariant, count(AnswerVerdict::Wrong), "histories");
  PrintRow("answers_stuck", aVariant, count(AnswerVerdict::Stuck), "histories");
  PrintRow(
    "answers_whole", aVariant, count(AnswerVerdict::Complete), "histories");
  PrintRow("answers_error", aVariant, count(AnswerVerdict::Error), "histories");
}

double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// A chunk as engines send it, about 230 bytes.
std::string
MakeChunk(int aOffset)
{
  return "id: " + std::to_string(aOffset) +
         "\ndata: {\"id\":\"chatcmpl-7f3a9c52e1d84b06\",\"object\":"
         "\"chat.completion.chunk\",\"created\":1796332800,\"model\":"
         "\"assistant-70b\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
         "\" valve" +
         std::to_string(aOffset) +
         "\"},\"logprobs\":null,\"finish_reason\":null}]}\n\n";
}

// Relays complete streams with aEventsPerPiece events in each piece.
void
MeasureCost(std::string_view aVariant, int aEventsPerPiece)
{
  std::vector<std::string> pieces;
  for (int offset = 0; offset < kEventsPerStream; ++offset) {
    if (offset % aEventsPerPiece == 0) {
      pieces.emplace_back();
    }
    pieces.back() += MakeChunk(offset);
  }
  std::size_t forwarded = 0;
  const double start = CpuSeconds();
  for (int i = 0; i < kStreams; ++i) {
    AnswerStream stream{ AnswerOptions() };
    AnswerActions actions;
    const AttemptId attempt("entry-a-1/12/1");
    AnswerHead head;
    head.m_status = 200;
    head.m_requestId = attempt.Value();
    head.m_eventStream = true;
    stream.OnAttemptStarted(attempt, actions);
    stream.OnHead(attempt, head, actions);
    for (const std::string& piece : pieces) {
      actions.clear();
      stream.OnPiece(attempt, piece, actions);
      forwarded += actions.size();
    }
  }
  const double seconds = CpuSeconds() - start;
  const double events = static_cast<double>(kStreams) * kEventsPerStream;
  if (forwarded == 0) {
    std::cerr << "nothing was forwarded\n";
    std::exit(1);
  }
  PrintRow(
    "relay_event_cost", aVariant, seconds / events * kNanosPerSecond, "ns");
  PrintRow("relay_event_rate", aVariant, events / seconds, "events/cpu_second");
}

} // namespace

int
main()
{
  std::cout << "measure,variant,value,unit\n";
  CountVerdicts<AnswerStream>("ours", kHistories);
  CountVerdicts<walnutwing::StreamWithoutHeadCheck>("no_head_check",
                                                    kVariantHistories);
  CountVerdicts<walnutwing::StreamWithoutAttemptCheck>("no_attempt_check",
                                                       kVariantHistories);
  CountVerdicts<walnutwing::StreamWithoutOffsets>("no_offsets",
                                                  kVariantHistories);
  MeasureCost("one_event_a_piece", 1);
  MeasureCost("eight_events_a_piece", 8);
  return 0;
}
