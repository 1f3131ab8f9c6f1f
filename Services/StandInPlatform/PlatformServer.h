#pragma once

#include <LibCore/Loop.h>
#include <LibMembership/FleetView.h>
#include <LibWire/FieldReader.h>
#include <LibWire/HttpServer.h>

#include <functional>
#include <map>
#include <string>

namespace StandIn {

/** A stand-in for the platform's table service, object store and VM list. */
class PlatformServer
{
public:
  explicit PlatformServer(Core::Loop& aLoop);

  std::optional<Wire::Address> Start(const Wire::Address& aListen,
                                     Core::LastReason& aReason);

  /** Reads the VM list from a JSON file; called before Start. */
  bool LoadVms(const std::string& aPath, Core::LastReason& aReason);

private:
  using Handler = std::function<Wire::HttpResponse(const Wire::HttpRequest&)>;
  struct Row
  {
    /** The number of writes so far; a row that does not exist has 0. */
    std::uint64_t version = 0;
    boost::json::value value;
  };

  /** Adds a route subject to the faults down, slow_ms and lose_answers. */
  void Route(Wire::HttpMethod aMethod,
             const std::string& aPattern,
             Handler aHandler);
  void AddRoutes();
  Wire::HttpResponse ReadRow(const Wire::HttpRequest& aRequest) const;
  /** Returns the last rows, in key order, whose key has the given prefix. */
  Wire::HttpResponse Scan(const Wire::HttpRequest& aRequest) const;
  /** Writes all rows if every condition on a version holds, else none. */
  Wire::HttpResponse Commit(const Wire::HttpRequest& aRequest);
  /** Returns the VM list, or an empty one if the caller has this version. */
  Wire::HttpResponse List(const Wire::HttpRequest& aRequest) const;
  Wire::HttpResponse SetVms(const Wire::HttpRequest& aRequest);
  Wire::HttpResponse SetVmState(const Wire::HttpRequest& aRequest);
  Wire::HttpResponse SetFaults(const Wire::HttpRequest& aRequest);
  /** Publishes the current VM list after the configured list lag. */
  void PublishList();

  Core::Loop& loop_;
  Wire::HttpServer server_;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  Membership::VmList list_;
  Membership::VmList publishedList_;
  std::uint64_t publishedVersion_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  bool isDown_ = false;
  Core::Duration replyDelay_{ 0 };
  Core::Duration listLag_{ 0 };
  /** The number of further writes that take effect but get no reply. */
  std::int64_t repliesToLose_ = 0;
};

} // namespace StandIn
