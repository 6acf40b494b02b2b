#include "fleet.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

// The ports of all machines of a deployment.
constexpr const char* kFrontendPort = ":8227";
constexpr const char* kReadyPort = ":8220";
constexpr const char* kPeerPort = ":7340";
constexpr Millis kHeartbeat{ 1200 };
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kMaxRecordBytes = 262'144;

constexpr std::chrono::seconds kTimeLimit{ 110 };

// The routers that run, for ExitNow. 0: free.
std::array<std::atomic<pid_t>, 64> sRunning{};

void
NoteRunning(pid_t aProcess)
{
  for (std::atomic<pid_t>& entry : sRunning) {
    pid_t unused = 0;
    if (entry.compare_exchange_strong(unused, aProcess)) {
      return;
    }
  }
}

void
NoteEnded(pid_t aProcess)
{
  for (std::atomic<pid_t>& entry : sRunning) {
    pid_t noted = aProcess;
    entry.compare_exchange_strong(noted, 0);
  }
}

void
KillRunning()
{
  for (const std::atomic<pid_t>& entry : sRunning) {
    if (const pid_t process = entry; process != 0) {
      kill(process, SIGKILL);
    }
  }
}

void
OnEndSignal(int /*aSignal*/)
{
  KillRunning();
  _exit(kCouldNotRun);
}

std::string
BigEndian(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string bytes;
  for (std::size_t i = aBytes; i-- > 0;) {
    bytes += static_cast<char>(aNumber >> (8 * i) & 255U);
  }
  return bytes;
}

std::string
Base64(const std::string& aBytes)
{
  static constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (j < count ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

std::string
QueryValue(const std::string& aStartLine, const std::string& aName)
{
  const std::string pattern = aName + "=";
  std::size_t at = aStartLine.find("?" + pattern);
  at = at == std::string::npos ? aStartLine.find("&" + pattern) : at;
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + 1 + pattern.size();
  return aStartLine.substr(begin,
                           aStartLine.find_first_of("& ", begin) - begin);
}

std::string
HttpAnswer(const std::string& aStatus,
           const std::string& aType,
           const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Type: " + aType +
         "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
JsonAnswer(const std::string& aBody)
{
  return HttpAnswer("200 OK", "application/json", aBody);
}

// The template deploy/router.ini as the platform fills it in.
std::string
SettingsText(const RouterPlace& aPlace, const std::string& aStoreAddress)
{
  return "[router]\nname = " + aPlace.m_name + "\nzone = " + aPlace.m_zone +
         "\nlisten = " + aPlace.m_ip + kFrontendPort +
         "\nready_listen = " + aPlace.m_ip + kReadyPort +
         "\npeer_listen = " + aPlace.m_ip + kPeerPort +
         "\nweight = 0.25\n\n[platform]\naddress = " + aStoreAddress +
         "\n\n[bounds]\nstop_limit_s = 8\ndrain_ms = 2000\nconfig_ms = 2000\n"
         "cold_factor = 1.5\nrepeat_ratio = 0.2\nrepeat_window_s = 10\n"
         "repeat_allowance = 58\nload_factor = 2\n";
}

} // namespace

std::string
Join(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (const std::string_view part : aParts) {
    text += part;
  }
  return text;
}

void
ExitNow(int aStatus)
{
  KillRunning();
  std::fflush(nullptr);
  _exit(aStatus);
}

Record::Record(const std::string& aFile)
  : m_file(aFile)
{
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  const auto elapsed = std::chrono::duration_cast<Millis>(
    std::chrono::steady_clock::now() - m_start);
  std::array<char, 32> time{};
  std::snprintf(time.data(),
                time.size(),
                "%7.3f s  ",
                static_cast<double>(elapsed.count()) / 1000);
  m_file << time.data() << aLine << std::endl;
  std::printf("%s%s\n", time.data(), aLine.c_str());
}

Store::Store(const std::string& aAddress, const std::string& aOtherAddress)
  : m_server(
      std::make_unique<Server>(aAddress, [this](Connection& aConnection) {
        Serve(aConnection, false);
      }))
{
  if (!aOtherAddress.empty()) {
    m_otherServer =
      std::make_unique<Server>(aOtherAddress, [this](Connection& aConnection) {
        Serve(aConnection, true);
      });
  }
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue)
{
  const std::lock_guard lock(m_mutex);
  AddRecord(m_topics[aTopic], aKey, aValue);
  m_changed.notify_all();
}

void
Store::AddRecord(Topic& aTopic,
                 const std::string& aKey,
                 const std::optional<std::string>& aValue)
{
  if (1 + aKey.size() + aValue.value_or("").size() > kMaxRecordBytes) {
    std::fprintf(stderr, "a record is too large for the store\n");
    ExitNow(kCouldNotRun);
  }
  const Entry entry{ aKey, aValue, aTopic.m_records.size() };
  aTopic.m_records.push_back(entry);
  if (aValue) {
    aTopic.m_newest[aKey] = entry;
  } else {
    aTopic.m_newest.erase(aKey);
  }
}

void
Store::Serve(Connection& aConnection, bool aAtOther)
{
  while (const auto request = ReadRequest(aConnection)) {
    std::string answer;
    if (!aAtOther || !m_refuseAtOther) {
      answer = Answer(*request);
    }
    if (aAtOther && m_refuseAtOther) { // also calls that were waiting
      answer = HttpAnswer("503 Service Unavailable", "application/json", "{}");
    }
    if (!aConnection.Send(answer)) {
      return;
    }
  }
}

std::string
Store::Answer(const Message& aRequest)
{
  const std::string& line = aRequest.m_startLine;
  const std::string topic = QueryValue(line, "topic");
  if (line.find(" /api/log-append?") != std::string::npos) {
    return Append(topic, aRequest.m_body);
  }
  if (line.find(" /api/log-read?") != std::string::npos) {
    return Read(topic,
                std::strtoull(QueryValue(line, "from").c_str(), nullptr, 10),
                std::strtoull(QueryValue(line, "waitMs").c_str(), nullptr, 10));
  }
  if (line.find(" /api/log-newest?") != std::string::npos) {
    return Newest(topic);
  }
  return HttpAnswer("404 Not Found", "application/json", "{}");
}

std::string
Store::Append(const std::string& aTopic, const std::string& aBody)
{
  if (aTopic == "keyed.op" || aTopic == "keyed.servers") {
    return HttpAnswer("403 Forbidden", "application/json", "{}");
  }
  const std::lock_guard lock(m_mutex);
  Topic& topic = m_topics[aTopic];
  const std::size_t first = topic.m_records.size();
  std::size_t at = 0;
  while (at + kLengthBytes < aBody.size()) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      size = size << 8U | static_cast<unsigned char>(aBody[at + i]);
    }
    const std::string record = aBody.substr(at + kLengthBytes, size);
    at += kLengthBytes + size;
    const std::size_t keySize = static_cast<unsigned char>(record.at(0));
    std::optional<std::string> value;
    if (record.size() > 1 + keySize) {
      value = record.substr(1 + keySize);
    }
    AddRecord(topic, record.substr(1, keySize), value);
  }
  m_changed.notify_all();
  return JsonAnswer("{\"offset\":" + std::to_string(first) + ",\"endOffset\":" +
                    std::to_string(topic.m_records.size()) + "}");
}

std::string
Store::Read(const std::string& aTopic,
            std::uint64_t aFrom,
            std::uint64_t aWaitMs)
{
  std::unique_lock lock(m_mutex);
  Topic& topic = m_topics[aTopic];
  m_changed.wait_for(
    lock, Millis(aWaitMs), [&] { return topic.m_records.size() > aFrom; });
  std::string body = BigEndian(topic.m_records.size(), kOffsetBytes) +
                     BigEndian(0, kOffsetBytes);
  for (std::size_t i = aFrom; i < topic.m_records.size(); ++i) {
    const Entry& entry = topic.m_records[i];
    const std::string record = static_cast<char>(entry.m_key.size()) +
                               entry.m_key + entry.m_value.value_or("");
    body += BigEndian(record.size(), kLengthBytes) + record;
  }
  return HttpAnswer("200 OK", "application/octet-stream", body);
}

std::string
Store::Newest(const std::string& aTopic)
{
  const std::lock_guard lock(m_mutex);
  const Topic& topic = m_topics[aTopic];
  std::string items;
  for (const auto& [key, entry] : topic.m_newest) {
    items += items.empty() ? "" : ",";
    items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(*entry.m_value) +
             "\",\"offset\":" + std::to_string(entry.m_offset) + "}";
  }
  return JsonAnswer("{\"items\":[" + items +
                    "],\"hasMore\":false,\"endOffset\":" +
                    std::to_string(topic.m_records.size()) + "}");
}

Registrar::Registrar(Store& aStore)
  : m_store(aStore)
  , m_born(std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
             .count())
{
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kHeartbeat);
      RegisterAll();
    }
  }).detach();
}

void
Registrar::Add(Engine aEngine)
{
  const std::lock_guard lock(m_mutex);
  m_store.Put("keyed.servers", aEngine.m_id, EntryOf(aEngine));
  m_engines.push_back(std::move(aEngine));
}

void
Registrar::RegisterAll()
{
  const std::lock_guard lock(m_mutex);
  ++m_sequence;
  for (const Engine& engine : m_engines) {
    m_store.Put("keyed.servers", engine.m_id, EntryOf(engine));
  }
}

std::string
Registrar::EntryOf(const Engine& aEngine) const
{
  return "{\"service\":\"" + aEngine.m_service + "\",\"address\":\"" +
         aEngine.m_address + "\",\"zone\":\"" + aEngine.m_zone +
         "\",\"version\":\"" + aEngine.m_version +
         "\",\"slots\":" + std::to_string(aEngine.m_slots) +
         ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" +
         std::to_string(m_sequence) + ",\"born\":" + std::to_string(m_born) +
         "}";
}

RouterProcess::RouterProcess(std::string aProgram,
                             std::string aFolder,
                             RouterPlace aPlace,
                             std::string aStoreAddress)
  : m_program(std::move(aProgram))
  , m_folder(std::move(aFolder))
  , m_place(std::move(aPlace))
  , m_storeAddress(std::move(aStoreAddress))
{
}

RouterProcess::~RouterProcess()
{
  Kill();
}

void
RouterProcess::Start()
{
  const std::string settings = m_folder + "/" + m_place.m_name + ".ini";
  const std::string log = m_folder + "/" + m_place.m_name + ".log";
  std::ofstream(settings) << SettingsText(m_place, m_storeAddress);
  const std::string variable = "WALNUTWING_CONFIG=" + settings;
  const std::string role = "router";
  const std::array<const char*, 3> arguments = { m_program.c_str(),
                                                 role.c_str(),
                                                 nullptr };
  const std::array<const char*, 2> environment = { variable.c_str(), nullptr };
  const rlimit noCore{ 0, 0 }; // a router may crash
  m_process = fork();
  if (m_process > 0) {
    NoteRunning(m_process);
  }
  if (m_process != 0) {
    return;
  }
  setrlimit(RLIMIT_CORE, &noCore);
  const int output =
    open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execve(m_program.c_str(),
         const_cast<char* const*>(arguments.data()),
         const_cast<char* const*>(environment.data()));
  _exit(127);
}

void
RouterProcess::Signal(int aSignal) const
{
  if (m_process > 0) {
    kill(m_process, aSignal);
  }
}

std::optional<std::string>
RouterProcess::Ended()
{
  if (m_process <= 0) {
    return std::nullopt;
  }
  int status = 0;
  if (waitpid(m_process, &status, WNOHANG) != m_process) {
    return std::nullopt;
  }
  NoteEnded(std::exchange(m_process, -1));
  return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                             : "exit " + std::to_string(WEXITSTATUS(status));
}

void
RouterProcess::Kill()
{
  if (m_process <= 0) {
    return;
  }
  kill(m_process, SIGKILL);
  waitpid(m_process, nullptr, 0);
  NoteEnded(std::exchange(m_process, -1));
}

std::string
RouterProcess::Frontend() const
{
  return m_place.m_ip + kFrontendPort;
}

std::string
RouterProcess::ReadyAddress() const
{
  return m_place.m_ip + kReadyPort;
}

bool
RouterProcess::IsReady() const
{
  const auto connection = Connection::Open(ReadyAddress());
  if (connection == nullptr ||
      !connection->Send("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
    return false;
  }
  constexpr int kTimeoutMs = 500;
  return ReadResponse(*connection, kTimeoutMs).m_status == 200;
}

Options
ReadOptions(int aCount, char** aArguments)
{
  constexpr int kExpected = 4;
  if (aCount != kExpected || access(aArguments[1], X_OK) != 0) {
    std::fprintf(stderr, "usage: case ROUTER FOLDER RECORD\n");
    ExitNow(kCouldNotRun);
  }
  std::signal(SIGTERM, OnEndSignal);
  std::signal(SIGINT, OnEndSignal);
  std::thread([] {
    std::this_thread::sleep_for(kTimeLimit);
    ExitNow(kCouldNotRun);
  }).detach();
  const char* trouble = std::getenv("TROUBLE");
  return { aArguments[1],
           aArguments[2],
           aArguments[3],
           trouble == nullptr || std::strcmp(trouble, "0") != 0 };
}

std::string
PickNetwork()
{
  constexpr int kTries = 50;
  const int seed = getpid();
  for (int i = 0; i < kTries; ++i) {
    const int number = seed + i * 37;
    std::string network = "127." + std::to_string(64 + number % 128) + "." +
                          std::to_string(number / 128 % 250 + 1) + ".";
    if (IsFree(network + "1:8227") && IsFree(network + "1:9464") &&
        IsFree(network + "1:8220")) {
      return network;
    }
  }
  std::fprintf(stderr, "no free ports\n");
  ExitNow(kCouldNotRun);
}

std::string
ConfigText(const std::string& aRoutes, const std::string& aServices)
{
  return "{\"version\":7,\"routes\":[" + aRoutes + "],\"services\":[" +
         aServices +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

bool
WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout)
{
  constexpr Millis kInterval{ 20 };
  const SteadyTime end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

} // namespace review
