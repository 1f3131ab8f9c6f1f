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

/** A caller's request to be forwarded to the home of its group. */
struct RoutedRequest
{
  std::string group;
  Wire::HttpMethod method = Wire::HttpMethod::Post;
  std::string path;
  std::string body;
  Core::Instant deadline;
  /** A node to try before the home of the group, or empty. */
  std::string firstNode;
};

enum class RouteOutcome
{
  /** This node is the home and must run the request. */
  Local,
  Answered,
  /** No home replied in time. */
  Unanswered,
};

struct RouteResult
{
  RouteOutcome outcome = RouteOutcome::Unanswered;
  Wire::HttpResponse answer;
  /** True if a home may have started to run the request. */
  bool mayHaveRun = false;
};
using RouteCallback = std::function<void(RouteResult)>;

/**
 * Forwards requests to the homes of their groups. When a home is lost, sends
 * its requests to the next one.
 */
class PeerRouter
{
public:
  PeerRouter(Core::Loop& aLoop,
             Wire::HttpClient& aClient,
             std::string aNodeName,
             std::string aSecret);

  /**
   * Sets the members of the fleet. Requests in flight to nodes that are no
   * longer members are sent to the next home.
   */
  void SetMembers(const std::vector<Membership::Member>& aMembers);

  /**
   * The member to which requests for aGroup are forwarded at present; empty if
   * no member is available.
   */
  std::string HomeOf(const std::string& aGroup);

  /** Forwards aRequest and calls aCallback once, possibly inside this call. */
  void Route(const RoutedRequest& aRequest, RouteCallback aCallback);

private:
  struct ForwardAttempt
  {
    RoutedRequest request;
    RouteCallback callback;
    /** The node to which the request was last sent. */
    std::string node;
    std::set<std::string> tried;
    bool mayHaveRun = false;
    /** Number of the last send, to discard replies to earlier sends. */
    int sendNumber = 0;
    bool isDone = false;
  };
  using AttemptHandle = std::shared_ptr<ForwardAttempt>;

  const Membership::Member* Choose(const ForwardAttempt& aAttempt);
  void SendToNext(const AttemptHandle& aAttempt);
  void HandleOutcome(const AttemptHandle& aAttempt, Wire::HttpOutcome aOutcome);
  void Finish(const AttemptHandle& aAttempt, RouteResult aResult);
  bool IsDown(const std::string& aNode);

  Core::Loop& loop_;
  Wire::HttpClient& client_;
  std::string nodeName_;
  std::string secret_;
  std::vector<Membership::Member> members_;
  /** Until when each member that did not respond is skipped. */
  std::map<std::string, Core::Instant> downUntil_;
  std::set<AttemptHandle> inFlight_;
};

} // namespace Proxy
