#include "router/response_relay.h"

namespace walnutwing::router {
namespace {

// An event is kept in memory until it is complete.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

} // namespace

void
ResponseRelay::OnAttempt()
{
  if (!m_begun) {
    m_events = {}; // none was forwarded, so the response starts anew
  }
  m_body.clear();
  NoteKept();
}

void
ResponseRelay::OnHead(const platform::HttpResponseHead& aHead,
                      bool aIsStream,
                      bool aIsEventStream,
                      Time aNow)
{
  if (m_begun) {
    return; // the caller has the head of the first response
  }
  m_firstByteAt = aNow;
  m_head = aHead;
  m_isEventStream = aIsEventStream;
  if (aIsStream && IsSuccess(aHead.result_int()) && HasCaller()) {
    Begin();
  }
}

void
ResponseRelay::Begin()
{
  m_begun = true;
  m_caller->Begin(platform::EncodeCallerHead(*m_head), std::nullopt);
}

std::optional<std::string_view>
ResponseRelay::Split(std::string_view aPiece)
{
  if (!m_isEventStream) {
    return aPiece;
  }
  const std::string_view events = m_events.Feed(aPiece);
  NoteKept();
  return PartialEventBytes() > kMaxEventBytes ? std::nullopt
                                              : std::optional(events);
}

void
ResponseRelay::Forward(std::string_view aPiece)
{
  if (m_begun) {
    m_caller->Write(aPiece);
    return;
  }
  m_body += aPiece;
  if (m_body.size() > m_caller->MaxKeptBytes()) {
    Begin();
    m_caller->Write(std::exchange(m_body, {}));
  }
  NoteKept();
}

void
ResponseRelay::ForwardRest()
{
  if (m_begun) {
    return;
  }
  m_caller->Begin(platform::EncodeCallerHead(*m_head), m_body.size());
  m_caller->Write(std::exchange(m_body, {}));
  NoteKept();
}

bool
ResponseRelay::IsBehind() const
{
  return m_begun && m_caller->PendingBytes() > m_caller->MaxKeptBytes();
}

void
ResponseRelay::SetAside()
{
  m_aside = Kept{
    m_head, std::exchange(m_body, {}), m_isEventStream, m_events, m_firstByteAt
  };
  m_events.DropPartialEvent();
  NoteKept();
}

std::optional<std::string_view>
ResponseRelay::SplitAside(std::string_view aPiece)
{
  const std::string_view events = m_aside->m_events.Feed(aPiece);
  NoteKept();
  return m_aside->m_events.PartialEvent().size() > kMaxEventBytes
           ? std::nullopt
           : std::optional(events);
}

// The caller has got nothing since, so the head that it has is unchanged.
void
ResponseRelay::TakeBack()
{
  Kept kept = *std::exchange(m_aside, std::nullopt);
  m_events = std::move(kept.m_events);
  if (!m_begun) {
    m_head = std::move(kept.m_head);
    m_body = std::move(kept.m_body);
    m_isEventStream = kept.m_isEventStream;
    m_firstByteAt = kept.m_firstByteAt;
  }
  NoteKept();
}

void
ResponseRelay::NoteKept()
{
  if (!HasCaller()) {
    return;
  }
  std::uint64_t kept = m_body.capacity() + m_events.PartialEvent().size();
  if (m_aside) {
    kept +=
      m_aside->m_body.capacity() + m_aside->m_events.PartialEvent().size();
  }
  m_caller->OnKept(kept);
}

Forwarded
ResponseRelay::State() const
{
  if (!m_begun) {
    return Forwarded::Nothing;
  }
  return m_isEventStream ? Forwarded::Events : Forwarded::Other;
}

} // namespace walnutwing::router
