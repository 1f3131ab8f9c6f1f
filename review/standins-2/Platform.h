#pragma once

// Stand-ins for the platform: its table store, its promote call, and a proxy in
// front of the promote call that can stop taking connections.

#include <LibCore/Loop.h>
#include <LibWire/HttpServer.h>
#include <LibWire/LineConnection.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/** Writes what was sent, answered and run, with milliseconds since the start.
 */
class Record
{
public:
  Record(Core::Loop& aLoop, const std::string& aFile)
    : loop_(aLoop)
    , startedAt_(aLoop.Now())
    , file_(aFile)
  {
  }
  long long Now() const
  {
    return Core::ToMilliseconds(loop_.Now() - startedAt_);
  }
  void Add(const std::string& aText)
  {
    file_ << Now() << " ms  " << aText << std::endl;
  }

private:
  Core::Loop& loop_;
  Core::Instant startedAt_;
  std::ofstream file_;
};

/** The platform's store: tables of rows under one version counter. */
class Store
{
public:
  /** Called for each row that a node writes, before the answer is sent. */
  using WriteObserver =
    std::function<void(const std::string& aKey, const std::string& aValue)>;

  explicit Store(Core::Loop& aLoop);
  Wire::Address Listen();
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  void OnWrite(WriteObserver aObserver) { observer_ = std::move(aObserver); }

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  struct Waiter
  {
    std::string table;
    std::uint64_t after = 0;
    Wire::HttpReplyHandle reply;
    Core::TimerHandle timer;
  };

  void Get(const Wire::HttpRequest& aRequest, const Wire::HttpReplyHandle& aTo);
  void Feed(const Wire::HttpRequest& aRequest,
            const Wire::HttpReplyHandle& aTo);
  void Transact(const Wire::HttpRequest& aRequest,
                const Wire::HttpReplyHandle& aTo);
  boost::json::array Changes(const std::string& aTable, std::uint64_t aAfter);
  void Answer(const Wire::HttpReplyHandle& aTo, boost::json::array aRows);
  void Wake();

  Core::Loop& loop_;
  Wire::HttpServer server_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t lastWaiter_ = 0;
  WriteObserver observer_;
};

/** A promote call as it arrived. */
struct PromoteCall
{
  std::string service;
  std::string id;
  std::string holder;
  std::uint64_t token = 0;
};

/**
 * Serves POST /promote. Doesn't check the fence. Its listening queue holds one
 * connection; while taking connections is paused and the queue is full, the
 * kernel drops opening packets, as for a platform that is cut off.
 */
class Cloud
{
public:
  using Handler = std::function<bool(const PromoteCall&)>;

  Cloud(Core::Loop& aLoop, Handler aHandler);
  ~Cloud();
  Wire::Address Listen();
  /** From now on, new connections hang. */
  void CutOff();
  /** Takes connections again. */
  void Heal();

private:
  class Connection;
  void Accept();

  Core::Loop& loop_;
  Handler handler_;
  int socket_ = -1;
  Wire::Address address_;
  std::vector<int> fillers_;
  Core::TimerHandle acceptTimer_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace Review
