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

  /** Takes the VM list from a JSON file, before the start. */
  bool LoadVms(const std::string& aPath, Core::LastReason& aReason);

private:
  using Handler = std::function<Wire::HttpAnswer(const Wire::HttpRequest&)>;
  struct Row
  {
    std::uint64_t version = 0;
    boost::json::value value;
  };

  /** A route that the faults "down", "slow" and "lost answers" touch. */
  void Route(Wire::HttpMethod aMethod,
             const std::string& aPattern,
             Handler aHandler);
  void AddRoutes();
  Wire::HttpAnswer ReadRow(const Wire::HttpRequest& aRequest) const;
  Wire::HttpAnswer Scan(const Wire::HttpRequest& aRequest) const;
  Wire::HttpAnswer Commit(const Wire::HttpRequest& aRequest);
  Wire::HttpAnswer List(const Wire::HttpRequest& aRequest) const;
  Wire::HttpAnswer SetVms(const Wire::HttpRequest& aRequest);
  Wire::HttpAnswer SetVmState(const Wire::HttpRequest& aRequest);
  Wire::HttpAnswer SetFaults(const Wire::HttpRequest& aRequest);
  /** Shows the list as it is now, once the list's lag has passed. */
  void PublishList();

  Core::Loop& loop_;
  Wire::HttpServer server_;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  Membership::VmList list_;
  Membership::VmList shownList_;
  std::uint64_t shownVersion_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  bool isDown_ = false;
  Core::Duration slow_{ 0 };
  Core::Duration listLag_{ 0 };
  /** Writes whose answers are still to be lost after they took effect. */
  std::int64_t loseAnswers_ = 0;
};

} // namespace StandIn
