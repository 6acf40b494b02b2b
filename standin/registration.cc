// Registering is idempotent, so a failed attempt is simply retried.

#include "standin/registration.h"

namespace walnutwing::standin {

namespace {

constexpr Duration kRetryDelay{ 200 };
constexpr Duration kRequestTimeout{ 2000 };
constexpr std::size_t kMaxResponseBytes = 4096;

} // namespace

Registration::Registration(net::EventLoop& aLoop,
                           net::HttpClient& aClient,
                           std::optional<net::Endpoint> aPlatform,
                           proto::VmEntry aEntry)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_platform(std::move(aPlatform))
  , m_entry(std::move(aEntry))
{
  Send();
}

void
Registration::SetLeaving(bool aLeaving)
{
  m_entry.set_leaving(aLeaving);
  Send();
}

void
Registration::SetModel(const std::string& aModel)
{
  m_entry.set_model(aModel);
  Send();
}

void
Registration::Send()
{
  if (!m_platform) {
    return;
  }
  m_loop.Cancel(m_retryTimer);
  net::CallRequest request;
  request.m_endpoint = *m_platform;
  request.m_method = "POST";
  request.m_target = "/vms";
  request.m_body = m_entry.SerializeAsString();
  m_call = FetchResponse(m_client,
                         m_loop,
                         std::move(request),
                         kRequestTimeout,
                         kMaxResponseBytes,
                         [this](const net::HttpResponse& aResponse) {
                           const bool accepted = aResponse.m_end.m_stage ==
                                                   net::CallStage::Complete &&
                                                 aResponse.m_status == 200;
                           if (!accepted) {
                             m_retryTimer =
                               m_loop.After(kRetryDelay, [this] { Send(); });
                           }
                         });
}

} // namespace walnutwing::standin
