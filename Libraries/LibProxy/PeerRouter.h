#pragma once

#include <LibCore/Loop.h>
#include <LibMembership/FleetView.h>
#include <LibWire/HttpClient.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Proxy {

/** A caller's request on its way to the home of its group. */
struct RoutedRequest
{
  std::string group;
  Wire::HttpMethod method = Wire::HttpMethod::Post;
  std::string path;
  std::string body;
  Core::Instant deadline;
  /** A node to go to before the group's own home, or empty. */
  std::string firstNode;
};

enum class RouteEnd
{
  /** This node is the home: run it here. */
  Local,
  Answered,
  /** No home answered in time. */
  Unanswered,
};

struct RouteResult
{
  RouteEnd end = RouteEnd::Unanswered;
  Wire::HttpAnswer answer;
  /** True when a home may have begun to run it before this end. */
  bool mayHaveRun = false;
};
using RouteCallback = std::function<void(RouteResult)>;

/** Forwards requests to their groups' homes, and on when a home is lost. */
class PeerRouter
{
public:
  PeerRouter(Core::Loop& aLoop,
             Wire::HttpClient& aClient,
             std::string aNodeName,
             std::string aSecret);

  /** Takes the members; requests at those that are gone move on. */
  void SetMembers(const std::vector<Membership::Member>& aMembers);

  /** The member that aGroup's requests go to now; empty without members. */
  std::string HomeOf(const std::string& aGroup);

  void Route(const RoutedRequest& aRequest, RouteCallback aCallback);

private:
  struct Try
  {
    RoutedRequest request;
    RouteCallback callback;
    /** The node that has it now. */
    std::string node;
    std::set<std::string> tried;
    bool mayHaveRun = false;
    /** Counts sends, so that the answer to an earlier one is dropped. */
    int round = 0;
    bool isDone = false;
  };
  using TryHandle = std::shared_ptr<Try>;

  const Membership::Member* Choose(const Try& aTry);
  void SendOn(const TryHandle& aTry);
  void TakeOutcome(const TryHandle& aTry, Wire::HttpOutcome aOutcome);
  void Finish(const TryHandle& aTry, RouteResult aResult);
  bool IsDown(const std::string& aNode);

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  std::string nodeName_;
  std::string secret_;
  std::vector<Membership::Member> members_;
  /** Members that did not answer, and until when they are passed over. */
  std::map<std::string, Core::Instant> downUntil_;
  std::set<TryHandle> underway_;
};

} // namespace Proxy
