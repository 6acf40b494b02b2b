#include "router/stream_version_exchange.h"

#include <utility>

namespace walnutwing::router {
namespace {

// Records are sent together after this time. A caller may resume a stream a few
// milliseconds after it has broken.
constexpr Duration kRecordDelay = std::chrono::milliseconds(10);
// Daemons that have not answered by then are silent. The caller waits
// meanwhile.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);

std::optional<SoftwareVersion>
DecodeVersion(bool aStated, const std::string& aVersion)
{
  return aStated ? std::optional(SoftwareVersion(aVersion)) : std::nullopt;
}

VersionOpinion
DecodeOpinion(const proto::StreamVersionAnswer& aAnswer)
{
  return { DecodeVersion(aAnswer.has_recorded(), aAnswer.recorded()),
           DecodeVersion(aAnswer.has_only(), aAnswer.only()),
           aAnswer.fresh(),
           DecodeVersion(aAnswer.has_before(), aAnswer.before()) };
}

void
EncodeOpinion(const VersionOpinion& aOpinion,
              proto::StreamVersionAnswer& aAnswer)
{
  if (aOpinion.m_recorded) {
    aAnswer.set_recorded(aOpinion.m_recorded->Value());
  }
  if (aOpinion.m_only) {
    aAnswer.set_only(aOpinion.m_only->Value());
  }
  aAnswer.set_fresh(aOpinion.m_fresh);
  if (aOpinion.m_before) {
    aAnswer.set_before(aOpinion.m_before->Value());
  }
}

} // namespace

StreamVersionExchange::StreamVersionExchange(Context& aContext,
                                             SendMessage aSendMessage,
                                             IsFresh aIsFresh,
                                             AskStore aAskStore)
  : m_context(aContext)
  , m_sendMessage(std::move(aSendMessage))
  , m_isFresh(std::move(aIsFresh))
  , m_askStore(std::move(aAskStore))
  , m_recordTimer(aContext.m_loop.get_executor())
{
}

VersionOpinion
StreamVersionExchange::OwnOpinion(StreamKey aStream,
                                  const ServiceId& aService) const
{
  return m_context.m_streamVersions.Opinion(
    aStream, aService, m_isFresh(), Now());
}

void
StreamVersionExchange::Find(StreamKey aStream,
                            const ServiceId& aService,
                            Context::OnStreamVersion aOnAnswer)
{
  const std::vector<std::string> keepers =
    m_context.m_streamVersions.Keepers(aStream);
  const VersionPoll poll(OwnOpinion(aStream, aService), keepers.size());
  if (poll.IsDecided()) {
    if (poll.Result()) {
      aOnAnswer(poll.Finding());
    } else {
      FindInStore(aStream, aService, poll, std::move(aOnAnswer));
    }
    return;
  }
  const std::uint32_t number = ++m_lastNumber;
  auto timer = std::make_unique<Timer>(m_context.m_loop.get_executor());
  timer->expires_after(kAnswerTimeout);
  timer->async_wait([this, number](const error_code& aError) {
    if (!aError) {
      ++m_context.m_metrics.Counter("stream_version_answers_missing_total");
      Finish(number);
    }
  });
  m_pending.emplace(
    number,
    Pending{ aStream, aService, poll, std::move(aOnAnswer), std::move(timer) });
  ++m_context.m_metrics.Counter("stream_version_questions_total");
  for (const std::string& address : keepers) {
    proto::RouterPeerMessage message;
    message.set_kind(proto::RouterPeerMessage::STREAMS);
    proto::StreamVersionQuestion& question = *message.add_stream_questions();
    question.set_number(number);
    question.set_stream(aStream);
    question.set_service(aService.Value());
    m_sendMessage(address, std::move(message));
  }
}

void
StreamVersionExchange::OnStreamsBegun()
{
  if (!m_context.m_streamVersions.HasRecords() ||
      std::exchange(m_recordsScheduled, true)) {
    return;
  }
  m_recordTimer.expires_after(kRecordDelay);
  m_recordTimer.async_wait([this](const error_code& aError) {
    m_recordsScheduled = false;
    if (!aError) {
      SendRecords();
    }
  });
}

void
StreamVersionExchange::SendRecords()
{
  for (const auto& [address, records] :
       m_context.m_streamVersions.TakeRecords()) {
    proto::RouterPeerMessage message;
    message.set_kind(proto::RouterPeerMessage::STREAMS);
    for (const StreamRecord& record : records) {
      proto::StreamVersion& added = *message.add_stream_versions();
      added.set_stream(record.m_stream);
      added.set_version(record.m_version.Value());
    }
    m_context.m_metrics.Counter("stream_records_sent_total") += records.size();
    m_sendMessage(address, std::move(message));
  }
}

void
StreamVersionExchange::OnMessage(const proto::RouterPeerMessage& aMessage,
                                 const std::string& aFromAddress)
{
  for (const proto::StreamVersion& record : aMessage.stream_versions()) {
    m_context.m_streamVersions.OnRecord(
      { record.stream(), SoftwareVersion(record.version()) }, Now());
  }
  for (const proto::StreamVersionAnswer& answer : aMessage.stream_answers()) {
    OnAnswer(answer);
  }
  if (!aMessage.stream_questions().empty()) {
    AnswerQuestions(aMessage, aFromAddress);
  }
}

void
StreamVersionExchange::AnswerQuestions(const proto::RouterPeerMessage& aMessage,
                                       const std::string& aFromAddress)
{
  proto::RouterPeerMessage answers;
  answers.set_kind(proto::RouterPeerMessage::STREAMS);
  for (const proto::StreamVersionQuestion& question :
       aMessage.stream_questions()) {
    proto::StreamVersionAnswer& answer = *answers.add_stream_answers();
    answer.set_number(question.number());
    EncodeOpinion(OwnOpinion(question.stream(), ServiceId(question.service())),
                  answer);
  }
  m_sendMessage(aFromAddress, std::move(answers));
}

void
StreamVersionExchange::OnAnswer(const proto::StreamVersionAnswer& aAnswer)
{
  const auto found = m_pending.find(aAnswer.number());
  if (found == m_pending.end()) {
    return; // it was decided without this answer
  }
  found->second.m_poll.Add(DecodeOpinion(aAnswer));
  if (found->second.m_poll.IsDecided()) {
    Finish(aAnswer.number());
  }
}

void
StreamVersionExchange::Finish(std::uint32_t aNumber)
{
  const auto found = m_pending.find(aNumber);
  if (found == m_pending.end()) {
    return;
  }
  Pending pending = std::move(found->second);
  m_pending.erase(found);
  if (pending.m_poll.Result()) {
    pending.m_onAnswer(pending.m_poll.Finding());
    return;
  }
  FindInStore(pending.m_stream,
              pending.m_service,
              pending.m_poll,
              std::move(pending.m_onAnswer));
}

// No daemon that has answered knows the stream: those that did may be gone.
void
StreamVersionExchange::FindInStore(StreamKey aStream,
                                   const ServiceId& aService,
                                   const VersionPoll& aPoll,
                                   Context::OnStreamVersion aOnAnswer)
{
  ++m_context.m_metrics.Counter("stream_versions_asked_of_store_total");
  m_askStore([this, aStream, aService, aPoll, onAnswer = std::move(aOnAnswer)](
               bool aFresh) {
    const VersionOpinion opinion =
      m_context.m_streamVersions.Opinion(aStream, aService, aFresh, Now());
    VersionFinding finding = VersionPoll(opinion, 0).Finding();
    finding.m_asked = aPoll.Finding().m_asked;
    finding.m_answered = aPoll.Finding().m_answered;
    finding.m_store = aFresh ? StoreRead::Complete : StoreRead::Incomplete;
    if (!finding.m_version && aFresh && opinion.m_before &&
        aPoll.AllStateBefore(*opinion.m_before)) {
      finding.m_version = opinion.m_before;
      finding.m_source = VersionSource::VersionBefore;
    }
    ++m_context.m_metrics.Counter("stream_versions_store_answers_total",
                                  finding.m_version ? "known=\"1\""
                                                    : "known=\"0\"");
    onAnswer(finding);
  });
}

} // namespace walnutwing::router
