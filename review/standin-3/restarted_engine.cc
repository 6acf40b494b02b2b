// Engines crash and start again at once under the id that they had, with the
// next version of their software. Each was the last of its service with the
// version before. Consumers take the broken streams up again. ORDER is broken
// if more than two streams hold events of two versions.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "review/standin-3/fleet.h"

namespace walnutwing::review {
namespace {

const char* const kOldVersion = "v1";
const char* const kNewVersion = "v2";

constexpr std::size_t kServices = 3;
constexpr std::size_t kNewEngines = 3;   // of a service
constexpr std::size_t kOtherEngines = 6; // of the plain service beside them
constexpr std::size_t kStreamsAtOld = 6; // that run when the engine crashes
constexpr std::size_t kMaxStreams = 60;  // of a service
constexpr std::size_t kMaxMixed = 2;     // by the rule
constexpr int kEvents = 40;              // of a stream
constexpr Duration kEventPause{ 100 };
constexpr Duration kDownTime{ 50 };     // of the engine
constexpr Duration kTakeUpDelay{ 120 }; // of a consumer
constexpr Duration kSettleTime{ 3000 };
constexpr Duration kStreamLimit{ 12'000 };
constexpr std::size_t kMaxTakeUps = 2;

struct Stream
{
  std::string m_service;
  std::string m_firstAttempt;
  std::string m_prompt;
  std::size_t m_attempts = 1;
  std::unique_ptr<standin::CallerStandin> m_consumer;
  Time m_nextTryAt;
  int m_lastEvent = 0;
  std::set<std::string> m_versions; // of the events that the consumer has got
  std::size_t m_parsed = 0;         // of what the channel has brought
  bool m_ended = false;
};

// What an engine still has to send.
struct Work
{
  std::size_t m_engine = 0;
  std::string m_version;
  std::shared_ptr<standin::UpstreamExchange> m_exchange;
  int m_nextEvent = 1;
  Time m_nextAt;
};

Time
Now()
{
  return SteadyClock().Now();
}

struct Case
{
  Fleet m_fleet;
  std::vector<std::size_t> m_oldEngines; // of each service
  std::vector<Work> m_work;
  std::map<std::string, Stream> m_streams;       // by prompt
  std::map<std::string, std::size_t> m_engineOf; // by attempt id
  std::size_t m_nextRouter = 0;
  std::size_t m_goneOn = 0;

  explicit Case(const std::string& aRecordFile)
    : m_fleet(aRecordFile, { "z1", "z2", "z3" })
  {
  }

  void AddEngine(const std::string& aService,
                 const std::string& aZone,
                 const std::string& aVersion)
  {
    const std::size_t index = m_fleet.AddEngine(aService, aZone, aVersion);
    m_fleet.Server(index).SetHandler(
      [this,
       index](const std::shared_ptr<standin::UpstreamExchange>& aExchange) {
        OnRequest(index, aExchange);
      });
  }

  // Each service has several engines of the new version and a last one of the
  // old version.
  void AddEngines()
  {
    const std::vector<std::string> zones = { "z1", "z2", "z3" };
    std::string routes;
    std::vector<std::string> services;
    for (std::size_t i = 0; i < kServices; ++i) {
      const std::string service = "chat-" + std::to_string(i + 1);
      for (std::size_t j = 0; j < kNewEngines; ++j) {
        AddEngine(service, zones[j % zones.size()], kNewVersion);
      }
      m_oldEngines.push_back(m_fleet.Engines());
      AddEngine(service, zones[i % zones.size()], kOldVersion);
      routes += MakeRoute("/" + service + "/",
                          "streaming",
                          service,
                          R"("timeoutMs":10000,"targetLatencyMs":300,)"
                          R"("targetGapMs":300,"maxAttempts":2,"sticky":true,)"
                          R"("resumable":true)") +
                ",";
      services.push_back(service);
    }
    for (std::size_t i = 0; i < kOtherEngines; ++i) {
      AddEngine("orders", zones[i % zones.size()], kOldVersion);
    }
    routes += MakeRoute("/order/",
                        "non_idempotent",
                        "orders",
                        R"("timeoutMs":4000,"targetLatencyMs":300,)"
                        R"("maxAttempts":1)");
    services.emplace_back("orders");
    m_fleet.PutConfig(MakeConfig(routes, services));
  }

  void OnRequest(std::size_t aEngine,
                 const std::shared_ptr<standin::UpstreamExchange>& aExchange)
  {
    const auto& request = aExchange->Request();
    const std::string id(request["X-Attempt-Id"]);
    const std::string lastEvent(request["Last-Event-Id"]);
    const Engine& engine = m_fleet.EngineAt(aEngine);
    m_fleet.Note(engine.m_id + " (" + engine.m_version + ") runs " + id +
                 (lastEvent.empty() ? "" : " after event " + lastEvent));
    m_engineOf[id] = aEngine;
    aExchange->Write(standin::MakeStreamHead(request));
    m_work.push_back({ aEngine,
                       engine.m_version,
                       aExchange,
                       std::atoi(lastEvent.c_str()) + 1,
                       Now() });
  }

  void RunEngines()
  {
    const Time now = Now();
    for (Work& work : m_work) {
      if (now < work.m_nextAt || work.m_exchange->PeerClosed()) {
        continue;
      }
      const std::string number = std::to_string(work.m_nextEvent);
      std::string event = "id: " + number;
      event += "\ndata: " + work.m_version;
      event += " " + number + "\n\n";
      work.m_exchange->Write(standin::MakeChunk(event));
      if (work.m_nextEvent++ == kEvents) {
        work.m_exchange->Write("0\r\n\r\n");
        work.m_exchange = nullptr;
        continue;
      }
      work.m_nextAt = now + kEventPause;
    }
    std::erase_if(m_work, [](const Work& aWork) {
      return aWork.m_exchange == nullptr || aWork.m_exchange->PeerClosed();
    });
  }

  void Send(Stream& aStream, const std::string& aExtraFields)
  {
    const std::string id =
      aStream.m_firstAttempt +
      (aStream.m_attempts == 1 ? "" : "-" + std::to_string(aStream.m_attempts));
    aStream.m_parsed = 0;
    aStream.m_consumer = m_fleet.Connect(m_nextRouter++ % m_fleet.Routers());
    aStream.m_consumer->Send(MakeRequest(
      "POST",
      "/" + aStream.m_service + "/ask",
      id,
      "X-Model: m\r\nX-Token-Usage: 180,320\r\nX-Prompt-Prefix: "
      "a" +
        aStream.m_prompt + ":100," + aStream.m_prompt +
        ":80\r\nX-Deadline-Ms: 10000\r\nContent-Length: 0\r\n" + aExtraFields,
      ""));
  }

  Stream& Begin(const std::string& aService)
  {
    const std::string number = std::to_string(m_streams.size() + 1);
    const std::string prompt = "b" + number;
    Stream& stream = m_streams[prompt];
    stream.m_service = aService;
    stream.m_prompt = prompt;
    stream.m_firstAttempt = "s" + number;
    Send(stream, "");
    return stream;
  }

  // Reads the events that the channel has brought.
  void ReadEvents(Stream& aStream)
  {
    const std::string& received = aStream.m_consumer->Received();
    const std::string idField = "id: ";
    const std::string dataField = "\ndata: ";
    for (;;) {
      const std::size_t end = received.find("\n\n", aStream.m_parsed);
      if (end == std::string::npos) {
        break;
      }
      const std::size_t at = received.rfind(idField, end);
      const std::size_t data = received.find(dataField, at);
      const int number = std::atoi(received.c_str() + at + idField.size());
      const std::size_t version = data + dataField.size();
      aStream.m_versions.insert(
        received.substr(version, received.find(' ', version) - version));
      aStream.m_lastEvent = number;
      aStream.m_parsed = end + 2;
    }
    const bool complete = received.find("\r\n0\r\n\r\n") != std::string::npos;
    aStream.m_ended = aStream.m_ended || complete;
  }

  // A refusal's Retry-After, or the consumer's own delay.
  static Duration DelayOf(const std::string& aReceived)
  {
    const std::string field = "Retry-After: ";
    const std::size_t at = aReceived.find(field);
    if (at == std::string::npos) {
      return kTakeUpDelay;
    }
    constexpr double kMsPerSecond = 1000;
    return Duration(static_cast<Duration::rep>(
      kMsPerSecond * std::atof(aReceived.c_str() + at + field.size())));
  }

  void RunConsumer(Stream& aStream)
  {
    if (aStream.m_ended) {
      return;
    }
    if (aStream.m_consumer == nullptr) {
      if (Now() >= aStream.m_nextTryAt) {
        ++aStream.m_attempts;
        m_fleet.Note("its consumer takes " + aStream.m_firstAttempt +
                     " up after event " + std::to_string(aStream.m_lastEvent));
        Send(aStream,
             "Last-Event-Id: " + std::to_string(aStream.m_lastEvent) +
               "\r\nResumes: " + aStream.m_firstAttempt + "\r\n");
      }
      return;
    }
    ReadEvents(aStream);
    const std::string& received = aStream.m_consumer->Received();
    const bool refused =
      received.starts_with("HTTP/1.1 503") && received.ends_with("}\n");
    if (aStream.m_ended || (!refused && !aStream.m_consumer->Ended())) {
      return;
    }
    if (aStream.m_lastEvent == 0 || aStream.m_attempts > kMaxTakeUps) {
      m_fleet.Note(aStream.m_firstAttempt + " is given up");
      aStream.m_ended = true;
      return;
    }
    m_fleet.Note(aStream.m_firstAttempt +
                 (refused ? " is refused with 503" : " has broken off"));
    aStream.m_nextTryAt = Now() + DelayOf(refused ? received : "");
    aStream.m_consumer.reset();
  }

  void RunFor(Duration aTime)
  {
    const Time end = Now() + aTime;
    while (Now() < end) {
      m_fleet.RunFor(Duration(2));
      RunEngines();
      for (auto& [prompt, stream] : m_streams) {
        RunConsumer(stream);
      }
    }
  }

  std::size_t StreamsAt(std::size_t aEngine) const
  {
    std::size_t count = 0;
    for (const auto& [id, engine] : m_engineOf) {
      count += engine == aEngine ? 1 : 0;
    }
    return count;
  }

  // Begins streams until some of them run at the service's old engine.
  bool BeginStreams(std::size_t aService)
  {
    const std::size_t engine = m_oldEngines[aService];
    for (std::size_t i = 0;
         i < kMaxStreams && StreamsAt(engine) < kStreamsAtOld;
         ++i) {
      Begin(m_fleet.EngineAt(engine).m_service);
      RunFor(Duration(15));
    }
    RunFor(Duration(300));
    return StreamsAt(engine) >= kStreamsAtOld;
  }

  std::size_t Mixed() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_streams.begin(), m_streams.end(), [](const auto& aStream) {
        return aStream.second.m_versions.size() > 1;
      }));
  }

  int Run()
  {
    AddEngines();
    if (!m_fleet.Start()) {
      m_fleet.Note("the routers did not become ready");
      return kCouldNotRun;
    }
    RunFor(kSettleTime);
    for (std::size_t i = 0; i < kServices; ++i) {
      if (!BeginStreams(i)) {
        m_fleet.Note("too few streams at the old engine");
        return kCouldNotRun;
      }
      if (HasTrouble()) {
        const std::string id = m_fleet.EngineAt(m_oldEngines[i]).m_id;
        m_fleet.CrashEngine(m_oldEngines[i]);
        RunFor(kDownTime);
        m_fleet.RestartEngine(m_oldEngines[i], id, kNewVersion);
      }
      RunFor(kStreamLimit);
    }
    for (const auto& [prompt, stream] : m_streams) {
      std::string versions;
      for (const std::string& version : stream.m_versions) {
        versions += " " + version;
      }
      m_fleet.Note("stream " + stream.m_firstAttempt + ": " +
                   std::to_string(stream.m_attempts) + " attempts, events to " +
                   std::to_string(stream.m_lastEvent) + " of" + versions);
    }
    const std::size_t mixed = Mixed();
    const bool broken = mixed > kMaxMixed;
    m_fleet.Note("streams: " + std::to_string(m_streams.size()) +
                 ", with events of two versions: " + std::to_string(mixed));
    m_fleet.Note(broken ? "ORDER is broken" : "ORDER held");
    return broken ? kBroken : kHeld;
  }
};

} // namespace
} // namespace walnutwing::review

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    return walnutwing::review::kCouldNotRun;
  }
  try {
    return walnutwing::review::Case(aArguments[1]).Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return walnutwing::review::kCouldNotRun;
  }
}
