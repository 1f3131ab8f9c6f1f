#include "World.h"

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace Review {

namespace {

constexpr const char* kProgram = "target/bin/mastichold-node";

Wire::Address
FreeAddress()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address))
    throw std::runtime_error("bind");
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

/** Keeps the stand-ins' sockets out of the processes that are started. */
void
CloseDescriptorsOnExec()
{
  constexpr int kMaxDescriptor = 1024;
  for (int descriptor = 3; descriptor < kMaxDescriptor; ++descriptor)
    (void)fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

} // namespace

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Node::Node(std::string aName,
           const std::string& aFolder,
           const Wire::Address& aStore,
           const Wire::Address& aCloud)
  : name_(std::move(aName))
  , clients_(FreeAddress())
  , settingsFile_(aFolder + "/" + name_ + ".ini")
  , logFile_(aFolder + "/" + name_ + ".log")
{
  std::ofstream out(settingsFile_);
  out << "[node]\nname = " << name_ << "\ndata_centre = z1\nprocessors = 0.25\n"
      << "[listen]\nclients = " << clients_.ToText()
      << "\nreadiness = " << FreeAddress().ToText()
      << "\nmetrics = " << FreeAddress().ToText()
      << "\npeers = " << FreeAddress().ToText()
      << "\nrelay = " << FreeAddress().ToText()
      << "\ncheckouts = " << FreeAddress().ToText()
      << "\n[platform]\nstore = " << aStore.ToText()
      << "\npromotions = " << aCloud.ToText()
      << "\n[stop]\ngrace_ms = 6000\n[keys]\nstrict_withdrawal = \n"
      << "withdrawal_ms = \n[limits]\nmemory_mb = 260\ndescriptors = 4200\n";
  out.close();
  Start();
}

Node::~Node()
{
  Kill();
}

void
Node::Start()
{
  CloseDescriptorsOnExec();
  std::string program = kProgram;
  std::string option = "--settings";
  char* const arguments[] = {
    program.data(), option.data(), settingsFile_.data(), nullptr
  };
  char* const environment[] = { nullptr };
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     logFile_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure = ::posix_spawn(
    &process_, program.c_str(), &actions, nullptr, arguments, environment);
  ::posix_spawn_file_actions_destroy(&actions);
  if (failure != 0)
    throw std::runtime_error("can't start the node");
}

void
Node::Signal(int aNumber) const
{
  if (process_ > 0)
    ::kill(process_, aNumber);
}

bool
Node::IsOnProcessor() const
{
  std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
  std::string number;
  std::string name;
  std::string state;
  file >> number >> name >> state;
  return state == "R";
}

void
Node::Kill()
{
  if (process_ <= 0)
    return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
}

bool
Node::IsRunning()
{
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) != 0)
    process_ = -1;
  return process_ > 0;
}

Client::Client(Core::Loop& aLoop, const Wire::Address& aNode, std::string aHost)
  : loop_(aLoop)
  , node_(aNode)
  , host_(std::move(aHost))
{
  Open();
}

Client::~Client()
{
  Wire::LineConnection::Abandon(std::move(connection_));
}

void
Client::Open()
{
  timer_.reset();
  isReady_ = false;
  connection_ = std::make_unique<Wire::LineConnection>(
    loop_, node_, std::chrono::milliseconds(1000), *this);
  connection_->Write("STARTUP " + host_ + " review\r\n");
}

void
Client::Send(const std::string& aId, const std::string& aText, Handler aDone)
{
  answer_ = {};
  handler_ = std::move(aDone);
  connection_->Write("QUERY " + aId + ' ' + aText + "\r\n");
}

void
Client::OnLine(std::string_view aLine)
{
  const std::string_view word = aLine.substr(0, aLine.find(' '));
  const std::string_view rest =
    word.size() < aLine.size() ? aLine.substr(word.size() + 1) : "";
  if (word == "DATAROW") {
    answer_.rows.emplace_back(rest);
  } else if (word == "COMPLETE") {
    answer_.result = "COMPLETE";
  } else if (word == "ERROR") {
    answer_.result = rest.substr(0, rest.find(' '));
  } else if (word == "READY" && !isReady_) {
    isReady_ = true;
  } else if (word == "READY") {
    Finish();
  }
}

void
Client::OnEnd(Wire::LineCloseReason)
{
  Wire::LineConnection::Abandon(std::move(connection_));
  isReady_ = false;
  timer_ = loop_.After(std::chrono::milliseconds(100), [this] { Open(); });
  if (handler_) {
    answer_.result = "closed";
    Finish();
  }
}

void
Client::Finish()
{
  const Handler handler = std::exchange(handler_, nullptr);
  if (handler)
    handler(answer_);
}

Traffic::Traffic(const Wire::Address& aNode)
{
  CloseDescriptorsOnExec();
  std::string program = "/proc/self/exe";
  std::string mode = "traffic";
  std::string address = aNode.ToText();
  char* const arguments[] = {
    program.data(), mode.data(), address.data(), nullptr
  };
  char* const environment[] = { nullptr };
  if (::posix_spawn(
        &process_, program.c_str(), nullptr, nullptr, arguments, environment) !=
      0)
    throw std::runtime_error("can't start the traffic");
}

Traffic::~Traffic()
{
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

namespace {

void
KeepBusy(Core::Loop& aLoop, Client& aClient)
{
  if (!aClient.IsReady())
    return;
  aClient.Send("s1", "SET zone tas", [&aLoop, &aClient](const Answer&) {
    aLoop.Defer([&aLoop, &aClient] { KeepBusy(aLoop, aClient); });
  });
}

} // namespace

void
Traffic::Run(const std::string& aNode)
{
  // It ends by itself if the script has ended without ending it.
  constexpr Core::Duration kLongest = std::chrono::seconds(40);
  constexpr int kSessions = 30;
  Core::LastReason reason;
  const auto address = Wire::Address::Parse(aNode, reason).value();
  Core::Loop loop;
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(kSessions);
  for (int i = 0; i < kSessions; ++i)
    clients.push_back(std::make_unique<Client>(loop, address, "sheets"));
  const auto start = loop.Every(std::chrono::milliseconds(50), [&] {
    for (const auto& client : clients)
      KeepBusy(loop, *client);
  });
  const auto end = loop.After(kLongest, [&loop] { loop.Stop(); });
  loop.Run();
}

World::World(Core::Loop& aLoop,
             const std::string& aFolder,
             GroupTiming aTiming,
             int aSyncReplicas)
  : loop(aLoop)
  , record(aLoop, aFolder + "/record.txt")
  , store(aLoop)
  , group(aLoop, record, "g1", aTiming, aSyncReplicas)
  , cloud(aLoop, [this](const PromoteCall& aCall) {
    record.Add("promote call: " + aCall.service + ' ' + aCall.id + " holder " +
               aCall.holder + " token " + std::to_string(aCall.token));
    promotes.push_back(aCall);
    if (onPromote)
      onPromote(aCall);
    return group.Promote(aCall.id);
  })
{
  char pattern[] = "/tmp/review-XXXXXX";
  folder_ = ::mkdtemp(pattern);
  storeAddress_ = store.Listen();
  cloudAddress_ = cloud.Listen();
  store.OnWrite([this](const std::string& aKey, const std::string& aValue) {
    if (aKey != "lease/failover")
      return;
    boost::system::error_code error;
    const auto value = boost::json::parse(aValue, error);
    if (error || !value.is_object())
      return;
    const std::string now(value.at("holder").as_string());
    if (now != holder)
      record.Add("the store's lease row names " + now);
    holder = now;
  });
  const std::string sync = std::to_string(aSyncReplicas);
  store.Put("op",
            "config",
            R"({"version":1,"routes":[
      {"name":"r1","host":"lodge","prefix":"/","service":"g1","kind":"leader",
       "timeout-ms":1000,"target-latency-ms":200,"priority":1,
       "max-attempts":2},
      {"name":"r2","host":"sheets","prefix":"/","service":"g1",
       "kind":"bounded_stale","timeout-ms":3000,"target-latency-ms":800,
       "priority":2,"max-attempts":2,"max-staleness-ms":1500}],
      "services":[{"name":"g1","max-conns":34,"protocol":"h1","tls":false,
       "sync-replicas":)" +
              sync + R"(}],"limits":{"tx-idle-ms":3000}})");
}

World::~World()
{
  nodes.clear();
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(folder_, ignored);
}

void
World::AddDatabase(const std::string& aId, bool aIsPrimary)
{
  Database& database = group.Add(aId);
  database.isPrimary = aIsPrimary;
  database.Listen({ "127.0.0.1", 0 });
  PutEntry(database, "ready");
}

void
World::PutEntry(const Database& aDatabase, const std::string& aState)
{
  store.Put("servers", aDatabase.Id(), aDatabase.Entry(aState));
}

void
World::StartNodes(int aCount)
{
  for (int i = 1; i <= aCount; ++i)
    nodes.push_back(std::make_unique<Node>(
      "n" + std::to_string(i), folder_, storeAddress_, cloudAddress_));
  record.Add(std::to_string(aCount) + " nodes started");
}

Node*
World::NodeNamed(const std::string& aName)
{
  for (const auto& node : nodes)
    if (node->Name() == aName)
      return node.get();
  return nullptr;
}

Node*
World::Holder()
{
  for (const auto& node : nodes)
    if (holder.rfind(node->Name(), 0) == 0)
      return node.get();
  return nullptr;
}

void
World::At(long long aMilliseconds, std::function<void()> aTask)
{
  const long long left = std::max(0LL, aMilliseconds - record.Now());
  timers_.push_back(
    loop.After(std::chrono::milliseconds(left), std::move(aTask)));
}

void
World::Done(int aExitCode, const std::string& aWhy)
{
  record.Add((aExitCode == 0   ? "HELD: "
              : aExitCode == 1 ? "BROKEN: "
                               : "DID NOT RUN: ") +
             aWhy);
  exitCode = aExitCode;
  loop.Stop();
}

} // namespace Review
