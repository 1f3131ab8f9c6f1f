#include "StandInDatabases.h"

#include "Words.h"

#include <algorithm>
#include <utility>

namespace StandIns {

using Adapter::TakeField;

/** One connection, with its transaction and prepared statements. */
class DatabaseSession final
  : public Wire::LineListener
  , public std::enable_shared_from_this<DatabaseSession>
{
public:
  DatabaseSession(Core::Loop& aLoop, StandInDatabase& aDatabase, int aSocket)
    : database_(aDatabase)
    , connection_(std::make_unique<Wire::LineConnection>(aLoop, aSocket, *this))
  {
  }

  void OnLine(std::string_view aLine) override
  {
    const std::string_view word = TakeField(aLine);
    if (word == "STARTUP")
      OnStartup(aLine);
    else if (word == "QUERY")
      OnQuery(aLine);
    else
      Close();
  }
  void OnEnd(Wire::LineCloseReason) override { Close(); }

private:
  void Close()
  {
    const auto self = shared_from_this();
    Wire::LineConnection::Abandon(std::move(connection_));
    database_.Remove(self);
  }

  void OnStartup(std::string_view aRest)
  {
    const std::string_view group = TakeField(aRest);
    TakeField(aRest);
    if (group != database_.group_ || aRest != database_.id_) {
      connection_->Write("ERROR WRONGNODE " + database_.id_ + "\r\n");
      Wire::LineConnection::CloseAfterWriting(std::move(connection_));
      return;
    }
    SendReady();
  }

  void SendReady()
  {
    connection_->Write("READY " + state_ + ' ' +
                       Adapter::WritePosition(database_.Position()) + "\r\n");
  }
  void SendSuccess(const std::string& aSignature)
  {
    connection_->Write("COMPLETE " + aSignature + "\r\n");
    SendReady();
  }
  void SendError(const std::string& aCode)
  {
    if (state_ == "T")
      state_ = "E";
    connection_->Write("ERROR " + aCode + ' ' + database_.id_ + "\r\n");
    SendReady();
  }
  std::string Signature() const { return "signed-" + database_.id_; }

  void OnQuery(std::string_view aRest)
  {
    id_ = TakeField(aRest);
    text_ = aRest;
    std::string_view verb = TakeField(aRest);
    if (verb == "WAITLSN") {
      const auto minimum = Adapter::ReadPosition(TakeField(aRest));
      if (!minimum || database_.Position() < *minimum) {
        SendError("LAGGING");
        return;
      }
      text_ = aRest;
      verb = TakeField(aRest);
    }
    Run(verb, aRest);
  }

  void Run(std::string_view aVerb, std::string_view aRest)
  {
    if (aVerb == "BEGIN")
      BeginTransaction(aRest == "FETCH");
    else if (aVerb == "COMMIT")
      Commit();
    else if (aVerb == "ABORT")
      EndTransaction("-");
    else if (aVerb == "FETCH")
      Fetch(aRest);
    else if (aVerb == "STORE")
      Store(aRest);
    else if (aVerb == "PARSE")
      Prepare(aRest);
    else if (aVerb == "EXECUTE")
      Execute(aRest);
    else if (aVerb == "STATUS")
      SendStatus();
    else if (aVerb == "STEPDOWN")
      StepDown(aRest);
    else if (aVerb == "SET" || aVerb == "DISCARD")
      SendSuccess("-");
    else
      SendError("MALFORMED");
  }

  void BeginTransaction(bool aIsReadOnly)
  {
    if (!aIsReadOnly && !database_.isPrimary) {
      SendError("READONLY");
      return;
    }
    state_ = "T";
    isReadWrite_ = !aIsReadOnly;
    SendSuccess("-");
  }

  void EndTransaction(const std::string& aSignature)
  {
    pending_.clear();
    state_ = "I";
    isReadWrite_ = false;
    SendSuccess(aSignature);
  }

  void Keep()
  {
    if (database_.keepsExecuted)
      database_.executed.push_back(id_ + ' ' + text_);
  }

  void Commit()
  {
    Keep();
    if (!pending_.empty() && !database_.isPrimary) {
      SendError("READONLY");
      return;
    }
    for (const LogEntry& entry : pending_)
      Apply(entry);
    EndTransaction(Signature());
  }

  void Apply(LogEntry aEntry)
  {
    aEntry.term = database_.term;
    database_.Append(aEntry);
    for (StandInDatabase* replica : database_.replicas)
      replica->Append(aEntry);
  }

  void Fetch(std::string_view aItem)
  {
    if (isReadWrite_ && !database_.isPrimary) {
      SendError("READONLY");
      return;
    }
    Keep();
    const std::string value = database_.ValueOf(std::string(aItem));
    const auto known = database_.rowsOfItem.find(std::string(aItem));
    const int rows = known == database_.rowsOfItem.end() ? database_.rowsPerRead
                                                         : known->second;
    for (int i = 0; i < rows; ++i)
      connection_->Write("DATAROW " + value + "\r\n");
    SendSuccess(Signature());
  }

  void Store(std::string_view aRest)
  {
    if (!database_.isPrimary) {
      SendError("READONLY");
      return;
    }
    Keep();
    LogEntry entry;
    entry.item = TakeField(aRest);
    entry.data = aRest;
    if (state_ == "T")
      pending_.push_back(std::move(entry));
    else
      Apply(std::move(entry));
    SendSuccess(Signature());
  }

  void Prepare(std::string_view aRest)
  {
    const std::string name(TakeField(aRest));
    prepared_[name] = std::string(TakeField(aRest));
    SendSuccess("-");
  }

  void Execute(std::string_view aRest)
  {
    const auto prepared = prepared_.find(std::string(TakeField(aRest)));
    if (prepared == prepared_.end())
      SendError("NOSTMT");
    else if (prepared->second == "STORE")
      Store(aRest);
    else
      Fetch(aRest);
  }

  void SendStatus()
  {
    connection_->Write(std::string("DATAROW ") +
                       (database_.isPrimary ? "leader " : "follower ") +
                       std::to_string(database_.term) + ' ' +
                       Adapter::WritePosition(database_.Position()) +
                       " 0 0 0 " + std::to_string(database_.sessions_.size()) +
                       "\r\n");
    SendSuccess("-");
  }

  void StepDown(std::string_view aTerm)
  {
    if (Adapter::ReadNumber(aTerm).value_or(0) > database_.term)
      database_.isPrimary = false;
    SendStatus();
  }

  StandInDatabase& database_;
  std::unique_ptr<Wire::LineConnection> connection_;
  std::string state_ = "I";
  bool isReadWrite_ = false;
  std::string id_;
  std::string text_;
  std::vector<LogEntry> pending_;
  std::map<std::string, std::string> prepared_;
};

StandInDatabase::StandInDatabase(Core::Loop& aLoop,
                                 std::string aGroup,
                                 std::string aId)
  : loop_(aLoop)
  , group_(std::move(aGroup))
  , id_(std::move(aId))
{
}

StandInDatabase::~StandInDatabase() = default;

Wire::Address
StandInDatabase::Start()
{
  server_ = std::make_unique<Wire::LineServer>(loop_, [this](int aSocket) {
    sessions_.insert(std::make_shared<DatabaseSession>(loop_, *this, aSocket));
  });
  Core::LastReason reason;
  return server_->Listen({ "127.0.0.1", 0 }, reason).value();
}

void
StandInDatabase::Kill()
{
  server_.reset();
  sessions_.clear();
}

Session::LogPosition
StandInDatabase::Position() const
{
  return { log_.empty() ? 1 : log_.back().term, log_.size() };
}

std::string
StandInDatabase::ValueOf(const std::string& aItem) const
{
  const auto entry =
    std::find_if(log_.rbegin(), log_.rend(), [&aItem](const LogEntry& aEntry) {
      return aEntry.item == aItem;
    });
  return entry == log_.rend() ? "-" : entry->data;
}

void
StandInDatabase::Remove(const std::shared_ptr<DatabaseSession>& aSession)
{
  sessions_.erase(aSession);
}

} // namespace StandIns
