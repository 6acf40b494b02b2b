#ifndef WALNUTWING_REVIEW_STANDIN_FLEET_H_
#define WALNUTWING_REVIEW_STANDIN_FLEET_H_

// A small deployment for the scripts of the review: the platform's store, its
// supervision of the routers, engines, and the record of what happened. The
// routers are the project's own program, each a process of its own with the
// settings that the platform fills into deploy/router.ini.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include "net.h"

namespace review {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

// Exit statuses of a script.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// The fields of a response that is a stream of events in chunks, and the end of
// its head.
inline constexpr std::string_view kEventStreamFields =
  "\r\nContent-Type: text/event-stream\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

std::string
Join(std::initializer_list<std::string_view> aParts);

// Ends all routers that were started, and the process with an exit status,
// without waiting for its threads.
[[noreturn]] void
ExitNow(int aStatus);

// record.txt: a line for each thing sent, answered and run, with the time since
// the start.
class Record
{
public:
  explicit Record(const std::string& aFile);
  void Add(const std::string& aLine);

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  SteadyTime m_start = std::chrono::steady_clock::now();
};

// The platform's store, with the keyed topics that the router uses.
class Store
{
public:
  // aOtherAddress, if any, is a second address, at which the store can turn
  // callers away while it serves the others.
  explicit Store(const std::string& aAddress,
                 const std::string& aOtherAddress = "");
  bool Listening() const { return m_server->Listening(); }

  // Answers 503 to all calls at the second address, which does nothing.
  void RefuseAtOther(bool aRefuse) { m_refuseAtOther = aRefuse; }

  // Writes of the operator and the engines. No value drops the key.
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

private:
  struct Entry
  {
    std::string m_key;
    std::optional<std::string> m_value;
    std::uint64_t m_offset = 0;
  };
  struct Topic
  {
    std::vector<Entry> m_records;
    std::map<std::string, Entry> m_newest;
  };

  void Serve(Connection& aConnection, bool aAtOther);
  std::string Answer(const Message& aRequest);
  std::string Append(const std::string& aTopic, const std::string& aBody);
  std::string Read(const std::string& aTopic,
                   std::uint64_t aFrom,
                   std::uint64_t aWaitMs);
  std::string Newest(const std::string& aTopic);
  void AddRecord(Topic& aTopic,
                 const std::string& aKey,
                 const std::optional<std::string>& aValue);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::atomic<bool> m_refuseAtOther{ false };
  std::unique_ptr<Server> m_server;
  std::unique_ptr<Server> m_otherServer;
};

// Registers engines with the store each heartbeat.
class Registrar
{
public:
  explicit Registrar(Store& aStore);

  struct Engine
  {
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::string m_zone;
    int m_slots = 1;
    std::string m_version = "v1";
  };
  void Add(Engine aEngine);

  // The registration of an engine, as it writes it to the store.
  std::string EntryOf(const Engine& aEngine) const;

private:
  void RegisterAll();

  Store& m_store;
  std::mutex m_mutex;
  std::vector<Engine> m_engines;
  std::uint64_t m_sequence = 0;
  std::int64_t m_born;
};

struct RouterPlace
{
  std::string m_name;
  std::string m_zone;
  std::string m_ip;
};

// One router process. The platform starts it again when it ends.
class RouterProcess
{
public:
  RouterProcess(std::string aProgram,
                std::string aFolder,
                RouterPlace aPlace,
                std::string aStoreAddress);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  void Start();
  void Signal(int aSignal) const;

  // How the process has ended, if it has: "exit 0", "signal 11". Starts
  // nothing.
  std::optional<std::string> Ended();

  // Ends the process if it runs.
  void Kill();

  const RouterPlace& Place() const { return m_place; }
  std::string Frontend() const;
  std::string ReadyAddress() const;

  // Whether the platform's question gets a 200.
  bool IsReady() const;

private:
  std::string m_program;
  std::string m_folder;
  RouterPlace m_place;
  std::string m_storeAddress;
  pid_t m_process = -1;
};

// What a script is given by run.sh: the router program, a temporary folder, the
// file of the record, and whether the disruption takes place.
struct Options
{
  std::string m_router;
  std::string m_folder;
  std::string m_record;
  bool m_trouble = true;
};

// Also sets a limit of time, and ends the routers when this process is told to
// end.
Options
ReadOptions(int aCount, char** aArguments);

// "127.x.y." for this run; each machine has an address of its own there.
std::string
PickNetwork();

// The operator's configuration in JSON: one tenant, key "key-1", idle timeout
// 15 s. aRoutes and aServices are the elements of the two lists.
std::string
ConfigText(const std::string& aRoutes, const std::string& aServices);

// Waits until aCondition holds, for aTimeout at most.
bool
WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout);

} // namespace review

#endif // WALNUTWING_REVIEW_STANDIN_FLEET_H_
