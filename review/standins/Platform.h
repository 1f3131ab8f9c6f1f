#pragma once

#include <LibCore/Loop.h>
#include <LibWire/HttpServer.h>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/** Texts that one node sees in place of others, in both directions. */
using Translation = std::vector<std::pair<std::string, std::string>>;

/**
 * The platform's store and its promote call. Each node has an address of its
 * own, so that the addresses of other nodes can be shown to it as those of
 * links that can be cut.
 */
class Platform
{
public:
  /** Receives the service and the id of each promote call. */
  using PromoteHandler =
    std::function<void(const std::string&, const std::string&)>;

  explicit Platform(Core::Loop& aLoop);
  ~Platform();

  /** Opens the address of one node. */
  Wire::Address OpenView();
  /** aView counts from 0, in the order of OpenView. */
  void SetTranslation(std::size_t aView, Translation aTranslation);
  void OnPromote(PromoteHandler aHandler) { onPromote_ = std::move(aHandler); }

  /** Writes a row as the operator or a database does. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  struct View
  {
    std::unique_ptr<Wire::HttpServer> server;
    Translation translation;
  };
  struct Waiter
  {
    std::size_t view = 0;
    std::string table;
    std::uint64_t after = 0;
    Wire::HttpReplyHandle reply;
    Core::TimerHandle timer;
  };
  using Table = std::map<std::string, Row>;

  boost::json::object RowJson(std::size_t aView,
                              const std::string& aTable,
                              const std::string& aKey,
                              const Row& aRow) const;
  boost::json::array RowsAfter(std::size_t aView,
                               const std::string& aTable,
                               std::uint64_t aAfter);
  void SendRows(const Wire::HttpReplyHandle& aReply, boost::json::array aRows);
  void Read(std::size_t aView,
            const Wire::HttpRequest& aRequest,
            const Wire::HttpReplyHandle& aReply);
  void AwaitChanges(std::size_t aView,
                    const Wire::HttpRequest& aRequest,
                    const Wire::HttpReplyHandle& aReply);
  void ApplyTransaction(std::size_t aView,
                        const Wire::HttpRequest& aRequest,
                        const Wire::HttpReplyHandle& aReply);
  void Promote(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  void WakeWaiters();

  Core::Loop& loop_;
  std::vector<View> views_;
  std::map<std::string, Table> tables_;
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t lastWaiter_ = 0;
  PromoteHandler onPromote_;
};

} // namespace Review
