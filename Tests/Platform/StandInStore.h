#pragma once

#include <LibCore/Loop.h>
#include <LibWire/HttpServer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace StandIns {

/** In-memory test server for the platform's store and its promote call. */
class StandInStore
{
public:
  /** Receives the group and the database of each promote call. */
  using PromoteHandler =
    std::function<void(const std::string&, const std::string&)>;

  explicit StandInStore(Core::Loop& aLoop);

  Wire::Address Start();

  /** Writes a row as the operator or a database does. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /** The values of all rows of a table. */
  std::vector<std::string> Values(const std::string& aTable) const;
  void OnPromote(PromoteHandler aHandler) { onPromote_ = std::move(aHandler); }

  /** Drops the history: requests for changes before now get status 410. */
  void DropHistory();

  /**
   * Never answers the long polls that are open now, as if their connections had
   * gone silent without a reset.
   */
  void SilencePolls();

  /** Copies all rows, for a later Restore. */
  void TakeCopy() { copy_ = { tables_, version_ }; }
  /**
   * Returns to the copy: everything that was written since is gone, versions
   * are given out again, and the era rises. Open long polls fail.
   */
  void Restore();

  /** The number of requests for rows or changes so far. */
  int reads = 0;

  /** While set, every call fails with status 503. */
  bool isDown = false;
  /** The number of next transactions to apply without sending a response. */
  int repliesToLose = 0;

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  using Table = std::map<std::string, Row>;
  struct Waiter
  {
    std::string table;
    std::uint64_t after = 0;
    Wire::HttpReplyHandle reply;
    Core::TimerHandle timer;
  };

  void AddRoutes();
  void Read(const Wire::HttpRequest& aRequest,
            const Wire::HttpReplyHandle& aReply);
  void AwaitChanges(const Wire::HttpRequest& aRequest,
                    const Wire::HttpReplyHandle& aReply);
  void ApplyTransaction(const Wire::HttpRequest& aRequest,
                        const Wire::HttpReplyHandle& aReply);
  void Promote(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  boost::json::array RowsAfter(const std::string& aTable, std::uint64_t aAfter);
  void SendRows(const Wire::HttpReplyHandle& aReply, boost::json::array aRows);
  void WakeWaiters();

  Core::Loop& loop_;
  Wire::HttpServer server_;
  std::map<std::string, Table> tables_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
  struct Copy
  {
    std::map<std::string, Table> tables;
    std::uint64_t version = 0;
  };
  Copy copy_;
  /** Changes after this version are still available. */
  std::uint64_t historyBegin_ = 0;
  std::map<std::uint64_t, Waiter> waiters_;
  /** Replies of silenced polls, which keep their connections open. */
  std::vector<Wire::HttpReplyHandle> silenced_;
  std::uint64_t lastWaiter_ = 0;
  PromoteHandler onPromote_;
};

} // namespace StandIns
