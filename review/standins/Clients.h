#pragma once

#include <LibCore/Loop.h>
#include <LibWire/LineConnection.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/** What a client receives: an answer, or the end of its connection. */
struct Reply
{
  bool isClosed = false;
  std::vector<std::string> rows;
  std::string signature;
  /** The code and the text of an error; empty for a success. */
  std::string error;

  bool IsSuccess() const { return !isClosed && error.empty(); }
  std::string ToText() const;
};

/** One session of a client with a node. */
class ClientSession final : public Wire::LineListener
{
public:
  using Handler = std::function<void(const Reply&)>;

  /** The first reply is that to the startup message. */
  ClientSession(Core::Loop& aLoop,
                const Wire::Address& aNode,
                const std::string& aDatabase,
                Handler aHandler);
  ~ClientSession() override;
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Send(const std::string& aRequestId, const std::string& aText);

private:
  void OnLine(std::string_view aLine) override;
  void OnEnd(Wire::LineCloseReason aEnd) override;
  void Deliver();

  Core::Loop& loop_;
  Handler handler_;
  Reply reply_;
  std::unique_ptr<Wire::LineConnection> connection_;
};

/** A client that repeats single statements in one session. */
class StatementClient
{
public:
  /** Returns the text of the next statement; none to wait. */
  using Source = std::function<std::string()>;
  /** Receives the request id, the text and the reply to a statement. */
  using Sink =
    std::function<void(const std::string&, const std::string&, const Reply&)>;

  StatementClient(Core::Loop& aLoop,
                  std::string aName,
                  Wire::Address aNode,
                  std::string aDatabase,
                  Core::Duration aPause,
                  Source aSource,
                  Sink aSink);
  ~StatementClient();
  StatementClient(const StatementClient&) = delete;
  StatementClient& operator=(const StatementClient&) = delete;

private:
  void Connect();
  void OnReply(const Reply& aReply);
  void SendNext();

  Core::Loop& loop_;
  std::string name_;
  Wire::Address node_;
  std::string database_;
  Core::Duration pause_;
  Source source_;
  Sink sink_;
  std::shared_ptr<ClientSession> session_;
  std::string requestId_;
  std::string text_;
  int count_ = 0;
  Core::TimerHandle timer_;
};

} // namespace Review
