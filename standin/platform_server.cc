// A call takes effect and then gets its response. Down closes the connection
// before the effect, Late responds before the effect, Slow delays both,
// LoseAnswers closes the connection after the effect, and Stale changes what a
// read returns.

#include "standin/platform_server.h"

#include <nlohmann/json.hpp>

#include "standin/http_reply.h"

namespace walnutwing::standin {

namespace {

constexpr std::string_view kLogPath = "/log/";
constexpr std::string_view kWeightsPath = "/weights/";
constexpr std::uint64_t kDefaultDelayMs = 1000;

template<typename Message>
void
ReplyMessage(net::Exchange& aExchange, const Message& aMessage)
{
  aExchange.Respond(200,
                    { { "content-type", std::string(kProtobufType) } },
                    aMessage.SerializeAsString());
}

void
ReplyRateLimited(net::Exchange& aExchange)
{
  aExchange.Respond(429, { { "retry-after", "1" } }, "rate limited\n");
}

} // namespace

PlatformServer::PlatformServer(net::EventLoop& aLoop, const Options& aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_log(aOptions.m_log)
  , m_vms(aOptions.m_listLag)
  , m_appendLimit(aOptions.m_appendsPerSecond, aLoop.Now())
  , m_weightLimit(aOptions.m_weightsPerSecond, aLoop.Now())
  , m_server(aLoop, aOptions.m_listen, {}, [this](const Exchange& aExchange) {
    Handle(aExchange);
  })
{
}

void
PlatformServer::Handle(const Exchange& aExchange)
{
  const std::string& path = aExchange->Request().m_path;
  if (path == "/fault") {
    HandleFault(aExchange);
  } else if (path == "/stats") {
    HandleStats(aExchange);
  } else if (path == "/healthz") {
    aExchange->Respond(200, {}, "ok\n");
  } else if (path.starts_with(kLogPath)) {
    HandleLog(aExchange, path.substr(kLogPath.size()));
  } else if (path == "/vms") {
    HandleVms(aExchange);
  } else if (path.starts_with(kWeightsPath)) {
    HandleWeights(aExchange);
  } else {
    ReplyError(*aExchange, 404, "no such path");
  }
}

void
PlatformServer::HandleLog(const Exchange& aExchange, const std::string& aStream)
{
  if (TakeFault(PlatformFault::Down, *aExchange, aStream)) {
    AbortResponse(*aExchange);
    return;
  }
  const auto slow = TakeFault(PlatformFault::Slow, *aExchange, aStream);
  RunAfter(slow ? slow->m_delay : Duration(0), [this, aExchange, aStream] {
    if (aExchange->Request().m_method == "POST") {
      Append(aExchange, aStream);
    } else {
      Read(aExchange, aStream);
    }
  });
}

void
PlatformServer::Append(const Exchange& aExchange, const std::string& aStream)
{
  proto::AppendRequest request;
  if (aStream.empty() ||
      !request.ParseFromString(aExchange->Request().m_body) ||
      request.bodies_size() == 0) {
    ReplyError(*aExchange, 400, "not an AppendRequest");
    return;
  }
  if (!m_appendLimit.Take(m_loop.Now())) {
    ++m_rateLimitedCalls;
    ReplyRateLimited(*aExchange);
    return;
  }
  const std::vector<std::string> bodies(request.bodies().begin(),
                                        request.bodies().end());
  if (const auto late = TakeFault(PlatformFault::Late, *aExchange, aStream)) {
    RunAfter(late->m_delay, [this, aStream, bodies] {
      m_log.Append(aStream, bodies, m_loop.WallNow());
    });
    ReplyError(*aExchange, 503, "unavailable");
    return;
  }
  proto::AppendResponse response;
  response.set_first_offset(m_log.Append(aStream, bodies, m_loop.WallNow()));
  if (TakeFault(PlatformFault::LoseAnswers, *aExchange, aStream)) {
    AbortResponse(*aExchange);
    return;
  }
  ReplyMessage(*aExchange, response);
}

void
PlatformServer::Read(const Exchange& aExchange, const std::string& aStream)
{
  const std::string& query = aExchange->Request().m_query;
  const std::uint64_t from = QueryNumber(query, "from", 1);
  const std::size_t limit =
    QueryNumber(query, "limit", m_options.m_log.m_maxReadRecords);
  std::uint64_t end = m_log.NextOffset(aStream);
  if (TakeFault(PlatformFault::Stale, *aExchange, aStream)) {
    const auto found = m_staleEndOffsets.find(aStream);
    end = found == m_staleEndOffsets.end() ? 1 : found->second;
  }
  const proto::ReadResponse response =
    m_log.ReadStale(aStream, from, limit, end, m_loop.WallNow());
  ReplyMessage(*aExchange, response);
}

void
PlatformServer::HandleVms(const Exchange& aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  if (request.m_method == "POST") {
    proto::VmEntry entry;
    if (!entry.ParseFromString(request.m_body) || entry.id().empty()) {
      ReplyError(*aExchange, 400, "not a VmEntry");
      return;
    }
    m_vms.Put(entry, m_loop.WallNow());
    ReplyJson(*aExchange, 200, "{}\n");
    return;
  }
  if (request.m_method == "DELETE") {
    m_vms.Remove(QueryText(request.m_query, "id"), m_loop.WallNow());
    ReplyJson(*aExchange, 200, "{}\n");
    return;
  }
  if (TakeFault(PlatformFault::Down, *aExchange, "")) {
    AbortResponse(*aExchange);
    return;
  }
  ++m_vmReads;
  const auto slow = TakeFault(PlatformFault::Slow, *aExchange, "");
  RunAfter(slow ? slow->m_delay : Duration(0), [this, aExchange] {
    ReplyMessage(*aExchange, m_vms.LaggedList(m_loop.WallNow()));
  });
}

void
PlatformServer::HandleWeights(const Exchange& aExchange)
{
  if (TakeFault(PlatformFault::Down, *aExchange, "")) {
    AbortResponse(*aExchange);
    return;
  }
  if (!m_weightLimit.Take(m_loop.Now())) {
    ++m_rateLimitedCalls;
    ReplyRateLimited(*aExchange);
    return;
  }
  ++m_weightReads;
  aExchange->Respond(200,
                     { { "content-type", "application/octet-stream" } },
                     std::string(m_options.m_weightBytes, 'w'));
}

void
PlatformServer::HandleFault(const Exchange& aExchange)
{
  const std::string& query = aExchange->Request().m_query;
  const std::string kind = QueryText(query, "kind");
  if (kind == "none") {
    m_faults.Clear();
    ReplyJson(*aExchange, 200, "{}\n");
    return;
  }
  const auto parsed = ParsePlatformFault(kind);
  if (!parsed) {
    ReplyError(*aExchange, 400, "no such fault");
    return;
  }
  ActiveFault fault;
  fault.m_kind = *parsed;
  fault.m_delay = Duration(QueryNumber(query, "delay_ms", kDefaultDelayMs));
  fault.m_stream = QueryText(query, "stream");
  fault.m_zone = QueryText(query, "zone");
  fault.m_remainingCalls = QueryNumber(query, "count", 0);
  if (const std::uint64_t time = QueryNumber(query, "for_ms", 0); time != 0) {
    fault.m_until = m_loop.Now() + Duration(time);
  }
  if (fault.m_kind == PlatformFault::Stale) {
    m_staleEndOffsets.clear();
    for (const auto& [stream, stats] : m_log.Stats()) {
      m_staleEndOffsets[stream] = stats.m_nextOffset;
    }
  }
  m_faults.Add(fault);
  ReplyJson(*aExchange, 200, "{}\n");
}

void
PlatformServer::HandleStats(const Exchange& aExchange)
{
  nlohmann::json streams = nlohmann::json::object();
  for (const auto& [name, stats] : m_log.Stats()) {
    streams[name] = { { "appends", stats.m_appends },
                      { "records", stats.m_appendedRecords },
                      { "bytes", stats.m_appendedBytes },
                      { "reads", stats.m_reads },
                      { "next_offset", stats.m_nextOffset } };
  }
  const nlohmann::json stats = { { "streams", streams },
                                 { "vm_reads", m_vmReads },
                                 { "weight_reads", m_weightReads },
                                 { "rate_limited", m_rateLimitedCalls },
                                 { "faulted", m_faultedCalls } };
  ReplyJson(*aExchange, 200, stats.dump() + "\n");
}

void
PlatformServer::RunAfter(Duration aDelay, std::function<void()> aFunction)
{
  if (aDelay.count() == 0) {
    aFunction();
    return;
  }
  m_loop.After(aDelay, std::move(aFunction));
}

std::optional<ActiveFault>
PlatformServer::TakeFault(PlatformFault aKind,
                          const net::Exchange& aExchange,
                          const std::string& aStream)
{
  const std::string_view zone =
    aExchange.Request().m_headers.Get("walnutwing-zone");
  auto hit = m_faults.TakeFault(aKind, aStream, zone, m_loop.Now());
  m_faultedCalls += hit ? 1 : 0;
  return hit;
}

} // namespace walnutwing::standin
