#include "Database.h"

#include "Words.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace Review {

using Adapter::TakeField;

namespace {

/** How late replicas receive and apply a commit. */
constexpr Core::Duration kReplicaLag = std::chrono::milliseconds(20);

} // namespace

/** One connection with its transaction, values and prepared statements. */
class DatabaseSession final
  : public Wire::LineListener
  , public std::enable_shared_from_this<DatabaseSession>
{
public:
  DatabaseSession(Core::Loop& aLoop,
                  Database& aDatabase,
                  int aSocket,
                  int aNumber)
    : loop_(aLoop)
    , database_(aDatabase)
    , number_(aNumber)
    , connection_(std::make_unique<Wire::LineConnection>(aLoop, aSocket, *this))
  {
  }

  void OnLine(std::string_view aLine) override
  {
    lines_.emplace_back(aLine);
    if (lines_.size() == 1)
      ScheduleNext();
  }
  void OnEnd(Wire::LineCloseReason) override { Close(); }

private:
  /** A closed connection rolls its transaction back. */
  void Close()
  {
    const auto self = shared_from_this();
    Wire::LineConnection::Abandon(std::move(connection_));
    database_.Remove(self);
  }

  void ScheduleNext()
  {
    loop_.DeferFor(database_.delay_, [weak = weak_from_this()] {
      if (const auto self = weak.lock())
        self->RunNext();
    });
  }

  void RunNext()
  {
    if (connection_ == nullptr)
      return;
    const std::string line = lines_.front();
    std::string_view rest = line;
    const std::string_view word = TakeField(rest);
    if (word == "STARTUP")
      OnStartup(rest);
    else if (word == "QUERY")
      OnQuery(rest);
    else
      Close();
    lines_.pop_front();
    if (connection_ != nullptr && !lines_.empty())
      ScheduleNext();
  }

  void OnStartup(std::string_view aRest)
  {
    const std::string_view service = TakeField(aRest);
    TakeField(aRest);
    if (service != database_.service_ || aRest != database_.id_) {
      connection_->Write("ERROR WRONGNODE " + database_.id_ + "\r\n");
      Wire::LineConnection::CloseAfterWriting(std::move(connection_));
      database_.Remove(shared_from_this());
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
  std::string Signature() const { return "signed." + database_.id_; }

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
    if (state_ == "E" && verb != "ABORT" && verb != "COMMIT") {
      SendError("MALFORMED");
      return;
    }
    Run(verb, aRest);
  }

  void Run(std::string_view aVerb, std::string_view aRest)
  {
    if (aVerb == "BEGIN")
      Begin(aRest == "FETCH");
    else if (aVerb == "COMMIT")
      Commit();
    else if (aVerb == "ABORT")
      EndTransaction("-");
    else if (aVerb == "FETCH")
      Fetch(aRest);
    else if (aVerb == "STORE")
      Store(aRest);
    else if (aVerb == "SET")
      Set(aRest);
    else if (aVerb == "DISCARD")
      Discard();
    else if (aVerb == "STATUS")
      SendStatus();
    else if (aVerb == "STEPDOWN")
      StepDown(aRest);
    else
      SendError("MALFORMED");
  }

  void ReportRun()
  {
    if (database_.onRun_)
      database_.onRun_({ database_.id_,
                         number_,
                         std::string(id_),
                         text_,
                         values_,
                         state_ == "T" });
  }

  void Begin(bool aIsReadOnly)
  {
    if (state_ == "T") {
      SendError("MALFORMED");
      return;
    }
    if (!aIsReadOnly && !database_.isPrimary_) {
      SendError("READONLY");
      return;
    }
    state_ = "T";
    mayWrite_ = !aIsReadOnly;
    SendSuccess("-");
  }

  void EndTransaction(const std::string& aSignature)
  {
    pending_.clear();
    state_ = "I";
    mayWrite_ = false;
    SendSuccess(aSignature);
  }

  void Commit()
  {
    if (state_ != "T") {
      pending_.clear();
      state_ = "I";
      SendError("MALFORMED");
      return;
    }
    if (!pending_.empty() && !database_.isPrimary_) {
      SendError("READONLY");
      return;
    }
    ReportRun();
    for (const Database::Entry& entry : pending_)
      database_.Commit(entry);
    EndTransaction(Signature());
  }

  void Fetch(std::string_view aItem)
  {
    if (mayWrite_ && !database_.isPrimary_) {
      SendError("READONLY");
      return;
    }
    ReportRun();
    const auto item = database_.items_.find(std::string(aItem));
    connection_->Write("DATAROW " +
                       (item == database_.items_.end() ? "-" : item->second) +
                       "\r\n");
    SendSuccess(Signature());
  }

  void Store(std::string_view aRest)
  {
    if (!database_.isPrimary_ || (state_ == "T" && !mayWrite_)) {
      SendError("READONLY");
      return;
    }
    ReportRun();
    Database::Entry entry;
    entry.requestId = id_;
    entry.item = TakeField(aRest);
    entry.data = aRest;
    if (state_ == "T")
      pending_.push_back(std::move(entry));
    else
      database_.Commit(std::move(entry));
    SendSuccess(Signature());
  }

  void Set(std::string_view aRest)
  {
    const std::string name(TakeField(aRest));
    values_[name] = std::string(aRest);
    SendSuccess("-");
  }

  /** Refused inside a transaction, as by common databases. */
  void Discard()
  {
    if (state_ == "T") {
      SendError("MALFORMED");
      return;
    }
    values_.clear();
    SendSuccess("-");
  }

  void SendStatus()
  {
    connection_->Write(std::string("DATAROW ") +
                       (database_.isPrimary_ ? "leader " : "follower ") +
                       std::to_string(database_.term_) + ' ' +
                       Adapter::WritePosition(database_.Position()) +
                       " 0 0 0 " + std::to_string(database_.sessions_.size()) +
                       "\r\n");
    SendSuccess("-");
  }

  void StepDown(std::string_view aTerm)
  {
    if (Adapter::ReadNumber(aTerm).value_or(0) > database_.term_)
      database_.isPrimary_ = false;
    SendStatus();
  }

  Core::Loop& loop_;
  Database& database_;
  int number_;
  std::unique_ptr<Wire::LineConnection> connection_;
  std::deque<std::string> lines_;
  std::string state_ = "I";
  bool mayWrite_ = false;
  std::string id_;
  std::string text_;
  Values values_;
  std::vector<Database::Entry> pending_;
};

Database::Database(Core::Loop& aLoop,
                   std::string aService,
                   std::string aId,
                   Core::Duration aDelay)
  : loop_(aLoop)
  , service_(std::move(aService))
  , id_(std::move(aId))
  , delay_(aDelay)
{
}

Database::~Database() = default;

Wire::Address
Database::Start()
{
  server_ = std::make_unique<Wire::LineServer>(loop_, [this](int aSocket) {
    sessions_.insert(
      std::make_shared<DatabaseSession>(loop_, *this, aSocket, ++connections_));
  });
  Core::LastReason reason;
  return server_->Listen({ "127.0.0.1", 0 }, reason).value();
}

Session::LogPosition
Database::Position() const
{
  return { log_.empty() ? 1 : log_.back().term, log_.size() };
}

void
Database::Commit(Entry aEntry)
{
  aEntry.term = term_;
  Apply(aEntry);
  loop_.DeferFor(kReplicaLag, [this, entry = std::move(aEntry)] {
    for (Database* replica : replicas_)
      replica->Apply(entry);
  });
}

void
Database::Apply(const Entry& aEntry)
{
  log_.push_back(aEntry);
  committed_.insert(aEntry.requestId);
  items_[aEntry.item] = aEntry.data;
}

void
Database::Promote(const std::vector<Database*>& aAll)
{
  replicas_.clear();
  for (Database* database : aAll) {
    term_ = std::max(term_, database->term_);
    if (database != this && !database->isPrimary_)
      replicas_.push_back(database);
  }
  ++term_;
  isPrimary_ = true;
}

void
Database::Remove(const std::shared_ptr<DatabaseSession>& aSession)
{
  sessions_.erase(aSession);
}

} // namespace Review
