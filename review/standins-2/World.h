#pragma once

// What the scripts share: the stand-ins, real node processes, and clients.

#include "Group.h"

#include <sys/types.h>

#include <optional>

namespace Review {

/** A real node process, started with the command of the deploy file. */
class Node
{
public:
  Node(std::string aName,
       const std::string& aFolder,
       const Wire::Address& aStore,
       const Wire::Address& aCloud);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& Name() const { return name_; }
  const Wire::Address& Clients() const { return clients_; }
  void Signal(int aNumber) const;
  /** Starts it again after it has been killed. */
  void Start();
  /** Kills it and waits for its end. */
  void Kill();
  bool IsRunning();
  /** True if the process runs or is ready to run, false if it waits. */
  bool IsOnProcessor() const;

private:
  std::string name_;
  Wire::Address clients_;
  std::string settingsFile_;
  std::string logFile_;
  pid_t process_ = -1;
};

/** The answer to one statement. */
struct Answer
{
  /** "COMPLETE", an error code, or "closed". */
  std::string result;
  std::vector<std::string> rows;
  bool IsSuccess() const { return result == "COMPLETE"; }
};

/** A client's session. Opens its connection again when it ends. */
class Client final : public Wire::LineListener
{
public:
  using Handler = std::function<void(const Answer&)>;

  Client(Core::Loop& aLoop, const Wire::Address& aNode, std::string aHost);
  ~Client() override;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool IsReady() const { return isReady_ && !handler_; }
  /** Sends a statement; only while IsReady. */
  void Send(const std::string& aId, const std::string& aText, Handler aDone);

private:
  void Open();
  void OnLine(std::string_view aLine) override;
  void OnEnd(Wire::LineCloseReason aReason) override;
  void Finish();

  Core::Loop& loop_;
  Wire::Address node_;
  std::string host_;
  std::unique_ptr<Wire::LineConnection> connection_;
  Core::TimerHandle timer_;
  bool isReady_ = false;
  Answer answer_;
  Handler handler_;
};

/** A process with client sessions that each keep one statement outstanding. */
class Traffic
{
public:
  explicit Traffic(const Wire::Address& aNode);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /** What that process does; doesn't return before SIGTERM. */
  static void Run(const std::string& aNode);

private:
  pid_t process_ = -1;
};

/** The whole small deployment. */
class World
{
public:
  World(Core::Loop& aLoop,
        const std::string& aFolder,
        GroupTiming aTiming,
        int aSyncReplicas);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void AddDatabase(const std::string& aId, bool aIsPrimary);
  void PutEntry(const Database& aDatabase, const std::string& aState);
  void StartNodes(int aCount);
  /** The node that holds the failover duty by the store's lease row. */
  Node* Holder();
  Node* NodeNamed(const std::string& aName);
  void At(long long aMilliseconds, std::function<void()> aTask);
  void Done(int aExitCode, const std::string& aWhy);
  std::string NextId() { return "q" + std::to_string(++lastId_); }

  Core::Loop& loop;
  Record record;
  Store store;
  Group group;
  Cloud cloud;
  std::vector<std::unique_ptr<Node>> nodes;
  std::string holder;
  std::vector<PromoteCall> promotes;
  /** Called for each promote call before it is carried out. */
  std::function<void(const PromoteCall&)> onPromote;
  int exitCode = 2;

private:
  std::string folder_;
  Wire::Address storeAddress_;
  Wire::Address cloudAddress_;
  std::vector<Core::TimerHandle> timers_;
  std::uint64_t lastId_ = 0;
};

/** False with TROUBLE=0: the run has no disruption. */
bool
HasTrouble();

} // namespace Review
