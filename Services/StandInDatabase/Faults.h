#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Findings.h>
#include <LibWire/HttpMessage.h>

#include <map>
#include <set>
#include <string>

namespace StandIn {

/** The direction of traffic that an isolated database drops. */
enum class CutDirection
{
  /** Requests from isolated peers are dropped. */
  In,
  /** Requests arrive and take effect, but their replies are dropped. */
  Out,
  Both,
};

inline constexpr Core::EnumNames<CutDirection, 3> kCutDirectionNames{ {
  { { CutDirection::In, "in" },
    { CutDirection::Out, "out" },
    { CutDirection::Both, "both" } },
} };

/** The open client connections, and the sender that opened each. */
using OpenConnections = std::map<Wire::ConnectionNumber, std::string>;

/** The faults that a test has set on one stand-in database. */
class Faults
{
public:
  /**
   * Reads the body of a POST /faults; absent fields keep their values.
   * {"silence": "open"} drops all traffic on the connections in aOpen, or only
   * on those opened by the senders listed in "silence_of".
   * Changes nothing if the body is invalid; aFindings holds the errors.
   */
  void Set(const std::string& aBody,
           const OpenConnections& aOpen,
           Core::Findings& aFindings);

  /** Returns true if a request from aSender on aConnection is to be dropped. */
  bool DropsRequest(const std::string& aSender,
                    Wire::ConnectionNumber aConnection) const;
  /** Returns true if the reply to such a request is to be dropped. */
  bool DropsReply(const std::string& aSender,
                  Wire::ConnectionNumber aConnection) const;
  /** Returns true if this database's own requests can't reach aPeer. */
  bool CutsOffPeer(const std::string& aPeer) const { return IsIsolated(aPeer); }

  /** Returns the delay before a received log batch is applied. */
  Core::Duration ReplicationLag() const { return replicationLag_; }
  /** Returns the extra execution time of each exchange. */
  Core::Duration ExecutionDelay() const { return executionDelay_; }
  /** Returns the extra delay before the reply to each exchange. */
  Core::Duration ReplyDelay() const { return replyDelay_; }

  /** Returns true, and counts down, if a wrong reply is to be sent. */
  bool ConsumeWrongReply();

private:
  void Silence(const OpenConnections& aOpen,
               const std::set<std::string>& aNames);
  bool IsIsolated(const std::string& aPeer) const;

  std::set<std::string> isolatedFrom_;
  CutDirection direction_ = CutDirection::Both;
  std::set<Wire::ConnectionNumber> silent_;
  Core::Duration replicationLag_{ 0 };
  Core::Duration executionDelay_{ 0 };
  Core::Duration replyDelay_{ 0 };
  std::int64_t wrongRepliesLeft_ = 0;
};

} // namespace StandIn
