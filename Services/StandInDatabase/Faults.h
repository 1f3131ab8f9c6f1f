#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Findings.h>
#include <LibWire/HttpMessage.h>

#include <map>
#include <set>
#include <string>

namespace StandIn {

/** Which way an isolation cuts, as the isolated database sees it. */
enum class CutDirection
{
  /** What others send does not arrive. */
  In,
  /** It arrives and takes effect, but the answers do not get out. */
  Out,
  Both,
};

inline constexpr Core::EnumNames<CutDirection, 3> kCutDirectionNames{ {
  { { CutDirection::In, "in" },
    { CutDirection::Out, "out" },
    { CutDirection::Both, "both" } },
} };

/** The client connections that are open, and who opened each. */
using OpenConnections = std::map<Wire::ConnectionNumber, std::string>;

/** The faults that a test has set on one stand-in database. */
class Faults
{
public:
  /**
   * Reads a POST /faults body; absent fields keep what was set.
   * {"silence": "open"} silences aOpen, or those of them that the names in
   * "silence_of" have opened.
   */
  void Set(const std::string& aBody,
           const OpenConnections& aOpen,
           Core::Findings& aFindings);

  /** True when a request from aSender on aConnection must not be seen. */
  bool DropsRequest(const std::string& aSender,
                    Wire::ConnectionNumber aConnection) const;
  /** True when its answer must not get out. */
  bool DropsAnswer(const std::string& aSender,
                   Wire::ConnectionNumber aConnection) const;
  /** True when this database can't reach aPeer, as a client. */
  bool CutsOffPeer(const std::string& aPeer) const { return IsIsolated(aPeer); }

  Core::Duration Lag() const { return lag_; }
  Core::Duration Slow() const { return slow_; }
  Core::Duration LateAnswers() const { return late_; }

  /** Takes one of the answers that are to be somebody else's. */
  bool TakeWrongAnswer();

private:
  void Silence(const OpenConnections& aOpen,
               const std::set<std::string>& aNames);
  bool IsIsolated(const std::string& aPeer) const;

  std::set<std::string> isolatedFrom_;
  CutDirection direction_ = CutDirection::Both;
  std::set<Wire::ConnectionNumber> silent_;
  Core::Duration lag_{ 0 };
  Core::Duration slow_{ 0 };
  Core::Duration late_{ 0 };
  std::int64_t wrongAnswers_ = 0;
};

} // namespace StandIn
