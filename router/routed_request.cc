#include "router/routed_request.h"

#include <algorithm>
#include <utility>

#include "platform/field_text.h"
#include "walnutwing/placement/rendezvous.h"
#include "walnutwing/routing/request_fingerprint.h"

namespace walnutwing::router {
namespace {

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

RoutedRequest::RoutedRequest(std::shared_ptr<const RouteTable> aRoutes,
                             CallerRequest aRequest)
  : m_routes(std::move(aRoutes))
  , m_request(std::move(aRequest))
  , m_facts(platform::DecodeCaller(m_request))
{
}

std::optional<ResultCode>
RoutedRequest::FindRoute(const StreamResumption& aResumption)
{
  if (m_routes == nullptr) {
    return ResultCode::NoConfiguration;
  }
  const std::string_view host =
    platform::View(m_request[boost::beast::http::field::host]);
  m_route = m_routes->Find(host, PathOf(platform::View(m_request.target())));
  if (m_route == nullptr) {
    return ResultCode::NotFound;
  }
  if (m_facts.m_attemptId.empty()) {
    return ResultCode::BadRequest;
  }
  // A stream that is taken up goes to the service that began it.
  const ServiceId* service = RouteTable::ServiceOf(
    *m_route, StableHash(aResumption.FirstAttemptId(*m_route)));
  m_serviceId = service == nullptr ? ServiceId() : *service;
  m_service = m_routes->Service(m_serviceId);
  return std::nullopt;
}

std::optional<ResultCode>
RoutedRequest::FindCustomer()
{
  if (!m_routes->Config().m_keysRequired) {
    return std::nullopt;
  }
  m_customer = m_routes->CustomerOf(m_facts.m_key);
  if (m_customer == nullptr && !m_route->m_public) {
    return ResultCode::Unauthorized;
  }
  return std::nullopt;
}

RequestTraits
RoutedRequest::Traits() const
{
  const TraitId fingerprint =
    FingerprintOf({ platform::View(m_request.method_string()),
                    platform::View(m_request.target()),
                    Customer(),
                    m_request.body(),
                    platform::PromptOf(m_request) });
  RequestTraits traits;
  traits.m_requestHash = StableHash(fingerprint.Value()) ^ m_facts.m_promptHash;
  traits.m_traits = { fingerprint };
  traits.m_traits.insert(traits.m_traits.end(),
                         m_facts.m_sharedParts.begin(),
                         m_facts.m_sharedParts.end());
  traits.m_customer = Customer();
  traits.m_service = m_serviceId;
  return traits;
}

std::uint32_t
RoutedRequest::Priority() const
{
  return m_customer == nullptr
           ? m_route->m_priority
           : m_customer->m_priority.value_or(m_route->m_priority);
}

CustomerId
RoutedRequest::Customer() const
{
  return m_customer == nullptr ? CustomerId() : m_customer->m_id;
}

std::size_t
RoutedRequest::Bytes() const
{
  return m_request.body().size();
}

bool
RoutedRequest::IsRepeatable() const
{
  return m_route->m_kind == RouteKind::Lookup || m_route->m_resumable;
}

SelectionRequest
RoutedRequest::MakeSelection(double aColdFactor) const
{
  SelectionRequest selection;
  selection.m_service = m_serviceId;
  selection.m_affinity = m_facts.m_sharedPrefixHash;
  selection.m_promptTokens = m_facts.m_promptTokens;
  if (m_service != nullptr) {
    selection.m_coldPerSecond = m_service->m_coldPerSecond * aColdFactor;
  }
  return selection;
}

UpstreamRequest
RoutedRequest::MakeUpstreamRequest(const UpstreamId& aUpstream,
                                   Duration aTimeLeft,
                                   const std::string& aResumeAfter) const
{
  platform::UpstreamFacts facts;
  facts.m_upstream = aUpstream;
  facts.m_dropKey = m_routes->Config().m_keysRequired;
  facts.m_priority = Priority();
  facts.m_customer = Customer();
  facts.m_deadline = aTimeLeft;
  facts.m_resumeAfter = aResumeAfter;
  UpstreamRequest request;
  request.m_head =
    platform::EncodeUpstreamHead(m_request, facts, m_request.body().size());
  request.m_body = m_request.body();
  request.m_attemptId = m_facts.m_attemptId;
  request.m_headOnly = m_request.method() == boost::beast::http::verb::head;
  return request;
}

std::uint32_t
RoutedRequest::MaxConnections(std::uint32_t aDaemons) const
{
  if (m_service == nullptr || m_service->m_maxConnections == 0) {
    return 0;
  }
  return std::max<std::uint32_t>(1, m_service->m_maxConnections / aDaemons);
}

} // namespace walnutwing::router
