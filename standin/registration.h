#ifndef WALNUTWING_STANDIN_REGISTRATION_H_
#define WALNUTWING_STANDIN_REGISTRATION_H_

// Registers a stand-in in the platform's VM list and retries until the platform
// accepts the entry.

#include <memory>
#include <optional>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "platform.pb.h"

namespace walnutwing::standin {

class Registration
{
public:
  // Registers at once. Without a platform nothing is sent.
  Registration(net::EventLoop& aLoop,
               net::HttpClient& aClient,
               std::optional<net::Endpoint> aPlatform,
               proto::VmEntry aEntry);

  // Change the entry and register it again.
  void SetLeaving(bool aLeaving);
  void SetModel(const std::string& aModel);

  const proto::VmEntry& Entry() const { return m_entry; }

private:
  void Send();

  net::EventLoop& m_loop;
  net::HttpClient& m_client;
  std::optional<net::Endpoint> m_platform;
  proto::VmEntry m_entry;
  std::unique_ptr<net::Call> m_call;
  net::TimerId m_retryTimer = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_REGISTRATION_H_
