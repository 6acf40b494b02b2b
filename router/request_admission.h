#ifndef WALNUTWING_ROUTER_REQUEST_ADMISSION_H_
#define WALNUTWING_ROUTER_REQUEST_ADMISSION_H_

// Admission of one request before its first attempt: it may be sent, waits for
// room at the upstreams, or is refused.

#include <functional>
#include <optional>

#include "router/context.h"
#include "router/request_record.h"
#include "router/routed_request.h"
#include "router/waiting_requests.h"

namespace walnutwing::router {

class RequestAdmission
{
public:
  // Why a request was refused.
  struct Refusal
  {
    Choice m_choice;
    AdmissionDecision m_decision;
    Duration m_retryAfter{};
  };

  // All must outlive this object.
  RequestAdmission(Context& aContext,
                   const RoutedRequest& aRequest,
                   RequestRecord& aRecord)
    : m_context(aContext)
    , m_request(aRequest)
    , m_record(aRecord)
  {
  }
  ~RequestAdmission() { Leave(); }
  RequestAdmission(const RequestAdmission&) = delete;
  RequestAdmission& operator=(const RequestAdmission&) = delete;

  // Decides about the request, which would be sent to aChoice. Once it has been
  // admitted, it stays so. If it waits, aOnWaitEnd is called later.
  WaitingVerdict Offer(const Choice& aChoice,
                       Time aDeadline,
                       WaitingRequests::OnWaitEnd aOnWaitEnd);

  // Valid if the request was refused, at once or after it has waited.
  const Refusal& GetRefusal() const { return m_refusal; }

  // The request has ended; it gives up its place if it waits.
  void Leave();

private:
  void OnWaitEnd(WaitEnd aEnd);

  Context& m_context;
  const RoutedRequest& m_request;
  RequestRecord& m_record;
  bool m_admitted = false;
  std::optional<WaitingId> m_waitingId; // while it waits
  Refusal m_refusal;
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_REQUEST_ADMISSION_H_
