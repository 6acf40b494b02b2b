#ifndef WALNUTWING_ROUTER_STREAM_RESUMPTION_H_
#define WALNUTWING_ROUTER_STREAM_RESUMPTION_H_

// The software version at which one stream must go on. It is that of the
// upstream that began the stream, at this daemon or, if the caller resumes a
// stream, at any (see stream_versions.h). Does nothing for other requests.

#include <optional>
#include <string>

#include "platform/request_codec.h"
#include "router/context.h"
#include "walnutwing/relay/body_end.h"
#include "walnutwing/routing/route_table.h"

namespace walnutwing::router {

class StreamResumption
{
public:
  // aFacts must outlive this object.
  StreamResumption(Context& aContext, const platform::CallerFacts& aFacts)
    : m_context(aContext)
    , m_facts(aFacts)
  {
  }
  StreamResumption(const StreamResumption&) = delete;
  StreamResumption& operator=(const StreamResumption&) = delete;

  // Whether the caller has a part of the stream already.
  bool IsTakenUp(const Route& aRoute) const;

  // The attempt that identifies the stream: its caller's first one.
  const std::string& FirstAttemptId(const Route& aRoute) const;

  // Must be called once the route is known.
  void SetRoute(const Route& aRoute, const ServiceId& aService);

  // Finds the version that began a stream that is taken up. Calls aOnFound at
  // once or later; the request may have ended by then.
  using OnFound = Context::OnStreamVersion;
  void Find(OnFound aOnFound);

  // The stream goes on only at upstreams of this version from now on.
  void SetVersion(const SoftwareVersion& aVersion) { m_version = aVersion; }

  // The version of upstreams that may get the request; nothing if any may.
  const std::optional<SoftwareVersion>& Version() const { return m_version; }

  // The caller has got an event from an upstream of the version.
  void OnEvent();

  // The caller has got the whole response.
  void OnComplete(BodyFraming aFraming);

private:
  Context& m_context;
  const platform::CallerFacts& m_facts;
  StreamKey m_stream = 0;
  ServiceId m_service;
  std::optional<SoftwareVersion> m_version;
  bool m_begun = false; // as the fleet knows from here
};

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_STREAM_RESUMPTION_H_
