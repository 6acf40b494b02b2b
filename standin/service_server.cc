// An accepted call counts as run before a fault can affect its response: the
// case that callers must handle is an order that ran although its response was
// lost.

#include "standin/service_server.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "standin/http_reply.h"

namespace walnutwing::standin {

ServiceServer::ServiceServer(net::EventLoop& aLoop,
                             net::HttpClient& aClient,
                             const Options& aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_registration(aLoop, aClient, aOptions.m_platform, aOptions.m_entry)
  , m_server(aLoop, aOptions.m_listen, {}, [this](const Exchange& aExchange) {
    Handle(aExchange);
  })
{
}

void
ServiceServer::Handle(const Exchange& aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  if (request.m_path == "/record") {
    ReplyJson(*aExchange, 200, m_record.ToJson() + "\n");
  } else if (request.m_path == "/fault") {
    HandleFault(*aExchange);
  } else if (request.m_path == "/slow") {
    m_options.m_runTime = Duration(QueryNumber(request.m_query, "run_ms", 0));
    ReplyJson(*aExchange, 200, "{}\n");
  } else if (request.m_path == "/leave" || request.m_path == "/stay") {
    m_registration.SetLeaving(request.m_path == "/leave");
    ReplyJson(*aExchange, 200, "{}\n");
  } else if (request.m_path == "/healthz") {
    aExchange->Respond(200, {}, "ok\n");
  } else if (request.m_path == "/call" && request.m_method == "POST") {
    Run(aExchange);
  } else {
    ReplyError(*aExchange, 404, "no such path");
  }
}

void
ServiceServer::Run(const Exchange& aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  SeenCall call;
  call.m_requestId = request.m_headers.Get("x-request-id");
  call.m_orderKey = request.m_headers.Get("idempotency-key");
  call.m_bodyHash = XXH64(request.m_body.data(), request.m_body.size(), 0);
  call.m_number = m_record.AddCall(call);
  const ServiceFault fault = m_faults.Take();
  if (fault == ServiceFault::Refuse) {
    ReplyError(*aExchange, 503, "refused");
    return;
  }
  if (m_options.m_checksKeys && m_record.RunCount(call.m_orderKey) != 0) {
    ReplyError(*aExchange, 409, "this key has run");
    return;
  }
  m_record.SetState(call.m_number, CallState::Running);
  m_loop.After(m_options.m_runTime, [this, aExchange, call, fault] {
    if (fault == ServiceFault::Silent) {
      return;
    }
    if (fault == ServiceFault::LoseAnswer) {
      m_record.SetState(call.m_number, CallState::Broken);
      AbortResponse(*aExchange);
      return;
    }
    SendResult(*aExchange, call);
  });
}

void
ServiceServer::SendResult(net::Exchange& aExchange, const SeenCall& aCall)
{
  m_record.SetState(aCall.m_number, CallState::Completed);
  const nlohmann::json json = { { "done", true },
                                { "service", m_options.m_entry.id() },
                                { "run", aCall.m_number },
                                { "order_key", aCall.m_orderKey },
                                { "body_hash", aCall.m_bodyHash } };
  aExchange.Respond(200,
                    { { "content-type", "application/json" },
                      { "x-request-id", aCall.m_requestId } },
                    json.dump() + "\n");
}

void
ServiceServer::HandleFault(net::Exchange& aExchange)
{
  const std::string& query = aExchange.Request().m_query;
  const auto fault = ParseServiceFault(QueryText(query, "kind"));
  if (!fault) {
    ReplyError(aExchange, 400, "no such fault");
    return;
  }
  m_faults.Set(*fault, QueryNumber(query, "count", 0));
  ReplyJson(aExchange, 200, "{}\n");
}

} // namespace walnutwing::standin
