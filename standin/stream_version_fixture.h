#ifndef WALNUTWING_STANDIN_STREAM_VERSION_FIXTURE_H_
#define WALNUTWING_STANDIN_STREAM_VERSION_FIXTURE_H_

// A fleet of routers before engines of two software versions, and callers that
// take their streams up at other routers. Each stream has a prompt of its own,
// by which the engines know which stream a request is for.

#include "standin/router_harness.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include <gtest/gtest.h>

namespace walnutwing::standin {

inline constexpr std::size_t kRouters = 3;
inline constexpr std::size_t kEngines = 6;
inline constexpr std::size_t kStreams = 24;
inline constexpr Duration kEventPause{ 200 };
inline constexpr Duration kRegistrationTime{
  800
}; // until all routers know of it

// A stream as its caller sees it. All its attempts have the same prompt.
struct Stream
{
  std::string m_firstAttempt; // that brought its first event
  std::string m_beganAt;      // version of the engine of its first event
  std::unique_ptr<CallerStandin> m_caller;
  std::shared_ptr<UpstreamExchange>
    m_exchange;        // at the engine, of the last attempt
  bool m_open = false; // m_exchange gets further events
  int m_events = 0;
  std::size_t m_engine = 0;
  int m_otherVersion = 0; // attempts that went on at another version
  int m_goneOn = 0;       // attempts that went on at an engine
};

class StreamVersion : public testing::Test
{
protected:
  explicit StreamVersion(const std::string& aVersion = "",
                         bool aOwnStoreAddresses = false)
    : m_harness(HarnessOptions{ .m_upstreams = kEngines,
                                .m_routers = kRouters,
                                .m_version = aVersion,
                                .m_ownStoreAddresses = aOwnStoreAddresses })
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      m_harness.Upstream(i).SetRecordsExchanges(false);
      m_harness.Upstream(i).SetHandler(
        [this, i](const std::shared_ptr<UpstreamExchange>& aExchange) {
          OnRequest(i, aExchange);
        });
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      EXPECT_TRUE(m_harness.WaitUntil([&] {
        return m_harness.LogText(i).find(R"("daemons":3)") != std::string::npos;
      }));
    }
  }

  // Runs the event loop. Streams in progress get an event now and then, as a
  // silent engine counts as lost.
  void RunFor(Duration aTime)
  {
    for (Duration left = aTime; left > Duration::zero(); left -= kEventPause) {
      m_harness.RunLoopFor(std::min(left, kEventPause));
      for (auto& [prompt, stream] : m_streams) {
        if (stream.m_open && !stream.m_exchange->PeerClosed()) {
          stream.m_exchange->Write(MakeEventChunk(++stream.m_events));
        }
      }
    }
  }

  // Registers the engines from aFirst to before aLast with a version.
  void SetVersion(std::size_t aFirst,
                  std::size_t aLast,
                  const std::string& aVersion)
  {
    for (std::size_t i = aFirst; i < aLast; ++i) {
      m_versions[i] = aVersion;
      m_harness.SetUpstreamVersion(i, aVersion);
      m_harness.RegisterUpstream(i);
    }
    RunFor(kRegistrationTime);
  }

  // Half of the engines have each version.
  void SetTwoVersions()
  {
    SetVersion(0, kEngines / 2, "v1");
    SetVersion(kEngines / 2, kEngines, "v2");
  }

  void Unregister(std::size_t aFirst, std::size_t aLast)
  {
    for (std::size_t i = aFirst; i < aLast; ++i) {
      m_harness.Store().Put("keyed.servers", "i-" + std::to_string(i), "");
    }
    RunFor(kRegistrationTime);
  }

  // One engine of each version leaves, so that its streams go on elsewhere; the
  // others go on where their prompts are cached.
  void LoseEngines()
  {
    Unregister(0, 1);
    Unregister(kEngines / 2, kEngines / 2 + 1);
  }

  // Begins a stream at a router and waits for its first event.
  void Begin(std::size_t aRouter)
  {
    const std::string number = std::to_string(m_streams.size());
    Stream& stream = m_streams["p" + number];
    stream.m_firstAttempt = NextAttempt();
    Send(aRouter, "p" + number, stream.m_firstAttempt, "");
    EXPECT_TRUE(m_harness.WaitUntil([&] {
      return stream.m_caller->Received().find("id: 1") != std::string::npos;
    }));
  }

  void BeginMany(std::size_t aStreams = kStreams)
  {
    for (std::size_t i = 0; i < aStreams; ++i) {
      Begin(i % kRouters);
    }
  }

  // The caller has lost its connection and takes the stream up at a router.
  void TakeUp(const std::string& aPrompt, std::size_t aRouter)
  {
    Stream& stream = m_streams[aPrompt];
    stream.m_caller->Close();
    stream.m_open = false;
    Send(aRouter,
         aPrompt,
         NextAttempt(),
         "Last-Event-Id: 1\r\nResumes: " + stream.m_firstAttempt + "\r\n");
  }

  // Each stream is taken up at another router than the one it was at.
  void TakeUpAll(std::size_t aShift = 1)
  {
    std::size_t i = 0;
    for (auto& [prompt, stream] : m_streams) {
      TakeUp(prompt, (std::stoul(prompt.substr(1)) + aShift) % kRouters);
      if (++i % 4 == 0) {
        RunFor(Duration(20));
      }
    }
    RunFor(Duration(700));
  }

  // All routers are killed and start again.
  void RestartAll()
  {
    for (std::size_t i = 0; i < kRouters; ++i) {
      m_harness.Router(i).Kill();
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      m_harness.StartRouter(i);
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      EXPECT_TRUE(
        m_harness.WaitUntil([&] { return m_harness.ReadyStatus(i) == 200; }));
    }
    RunFor(Duration(500));
  }

  std::size_t Mixed() const
  {
    std::size_t mixed = 0;
    for (const auto& [prompt, stream] : m_streams) {
      mixed += stream.m_otherVersion != 0 ? 1 : 0;
    }
    return mixed;
  }

  std::size_t GoneOn() const
  {
    std::size_t goneOn = 0;
    for (const auto& [prompt, stream] : m_streams) {
      goneOn += stream.m_goneOn != 0 ? 1 : 0;
    }
    return goneOn;
  }

  std::size_t Answered(const std::string& aText) const
  {
    std::size_t answered = 0;
    for (const auto& [prompt, stream] : m_streams) {
      answered +=
        stream.m_caller->Received().find(aText) != std::string::npos ? 1 : 0;
    }
    return answered;
  }

  RouterHarness m_harness;
  std::map<std::string, Stream> m_streams; // by the name of the prompt's part
  std::map<std::size_t, std::string> m_versions;

private:
  std::string NextAttempt() { return "a" + std::to_string(++m_attempts); }

  void Send(std::size_t aRouter,
            const std::string& aPrompt,
            const std::string& aAttempt,
            const std::string& aExtraFields)
  {
    Stream& stream = m_streams[aPrompt];
    stream.m_caller = m_harness.Connect(aRouter);
    stream.m_caller->Send(
      "POST /resume/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + aAttempt +
      "\r\nAuthorization: Bearer k1\r\nX-Prompt-Prefix: " + aPrompt +
      ":50\r\nContent-Length: 0\r\n" + aExtraFields + "\r\n");
  }

  // A new stream gets its first event and stays open; one that goes on ends.
  void OnRequest(std::size_t aEngine,
                 const std::shared_ptr<UpstreamExchange>& aExchange)
  {
    const auto& request = aExchange->Request();
    std::string prompt(request["X-Prompt-Prefix"]);
    prompt = prompt.substr(0, prompt.find(':'));
    Stream& stream = m_streams[prompt];
    stream.m_exchange = aExchange;
    stream.m_engine = aEngine;
    aExchange->Write(MakeStreamHead(request));
    if (request["Last-Event-Id"].empty()) {
      stream.m_beganAt = m_versions[aEngine];
      aExchange->Write(MakeEventChunk(++stream.m_events));
      stream.m_open = true;
      return;
    }
    stream.m_open = false;
    ++stream.m_goneOn;
    stream.m_otherVersion += stream.m_beganAt != m_versions[aEngine] ? 1 : 0;
    aExchange->Write(MakeEventChunk(++stream.m_events) + "0\r\n\r\n");
  }

  std::size_t m_attempts = 0;
};

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_STREAM_VERSION_FIXTURE_H_
