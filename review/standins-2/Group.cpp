#include "Group.h"

#include "Words.h"

#include <algorithm>
#include <stdexcept>

namespace Review {

using Adapter::TakeField;

namespace {

/** A former primary follows the new one this long after it can reach it. */
constexpr Core::Duration kFormerPrimaryTime = std::chrono::milliseconds(1000);

} // namespace

/** One connection to a database. Its commands run one after the other. */
class DatabaseSession final
  : public Wire::LineListener
  , public std::enable_shared_from_this<DatabaseSession>
{
public:
  DatabaseSession(Core::Loop& aLoop, Database& aDatabase, int aSocket)
    : loop_(aLoop)
    , database_(aDatabase)
    , connection_(std::make_unique<Wire::LineConnection>(aLoop, aSocket, *this))
  {
  }

  void OnLine(std::string_view aLine) override
  {
    lines_.emplace_back(aLine);
    if (!isBusy_)
      RunNext();
  }
  void OnEnd(Wire::LineCloseReason) override { Close(); }

private:
  void Close()
  {
    const auto self = shared_from_this();
    Wire::LineConnection::Abandon(std::move(connection_));
    database_.Remove(self);
  }

  void RunNext()
  {
    isBusy_ = false;
    if (lines_.empty() || connection_ == nullptr)
      return;
    isBusy_ = true;
    const std::string line = lines_.front();
    lines_.erase(lines_.begin());
    std::string_view rest = line;
    const std::string_view word = TakeField(rest);
    if (word == "STARTUP")
      Startup(rest);
    else if (word == "QUERY")
      Query(rest);
    else
      Close();
  }

  void Startup(std::string_view aRest)
  {
    const std::string_view service = TakeField(aRest);
    TakeField(aRest);
    if (service != database_.group_.Name() ||
        (!aRest.empty() && aRest != database_.Id())) {
      connection_->Write("ERROR WRONGNODE " + database_.Id() + "\r\n");
      Wire::LineConnection::CloseAfterWriting(std::move(connection_));
      return;
    }
    Ready();
  }

  void Ready()
  {
    if (connection_ == nullptr)
      return;
    connection_->Write("READY " + state_ + ' ' +
                       Adapter::WritePosition(database_.Applied()) + "\r\n");
    RunNext();
  }
  void Success(const std::string& aRow, const std::string& aSignature)
  {
    if (connection_ == nullptr)
      return;
    if (!aRow.empty())
      connection_->Write("DATAROW " + aRow + "\r\n");
    connection_->Write("COMPLETE " + aSignature + "\r\n");
    Ready();
  }
  void Error(const std::string& aCode)
  {
    if (connection_ == nullptr)
      return;
    if (state_ == "T")
      state_ = "E";
    connection_->Write("ERROR " + aCode + ' ' + database_.Id() + "\r\n");
    Ready();
  }
  std::string Signature() const { return "sig." + database_.Id() + '.' + id_; }

  void Query(std::string_view aRest)
  {
    id_ = TakeField(aRest);
    std::string text(aRest);
    std::string_view rest = text;
    std::string_view verb = TakeField(rest);
    if (verb == "WAITLSN") {
      const auto minimum = Adapter::ReadPosition(TakeField(rest));
      if (!minimum || database_.Applied() < *minimum) {
        Error("LAGGING");
        return;
      }
      text = rest;
      rest = text;
      verb = TakeField(rest);
    }
    Run(std::string(verb), std::string(rest));
  }

  void Run(const std::string& aVerb, const std::string& aRest)
  {
    if (aVerb == "BEGIN" || aVerb == "ABORT" || aVerb == "SET" ||
        aVerb == "DISCARD" || aVerb == "STEPDOWN") {
      Control(aVerb, aRest);
      return;
    }
    loop_.DeferFor(database_.group_.Timing().work,
                   [self = shared_from_this(), aVerb, aRest] {
                     if (self->connection_ != nullptr)
                       self->Work(aVerb, aRest);
                   });
  }

  void Control(const std::string& aVerb, const std::string& aRest)
  {
    if (aVerb == "STEPDOWN") {
      StepDown(aRest);
      return;
    }
    if (aVerb == "BEGIN") {
      const bool isPlain = aRest.empty();
      if (isPlain && !database_.isPrimary) {
        Error("READONLY");
        return;
      }
      state_ = "T";
      isPlain_ = isPlain;
    } else if (aVerb == "ABORT") {
      End();
    }
    Success("", "-");
  }

  void End()
  {
    pending_.clear();
    state_ = "I";
    isPlain_ = false;
  }

  void Work(const std::string& aVerb, const std::string& aRest)
  {
    if (aVerb == "STATUS") {
      Success(StatusRow(), "-");
      return;
    }
    if (state_ == "E" && aVerb != "COMMIT") {
      Error("MALFORMED");
      return;
    }
    if (aVerb == "FETCH")
      Fetch(aRest);
    else if (aVerb == "STORE")
      Store(aRest);
    else if (aVerb == "COMMIT")
      CommitNow();
    else
      Error("MALFORMED");
  }

  void Fetch(const std::string& aItem)
  {
    if (isPlain_ && !database_.isPrimary) {
      Error("READONLY");
      return;
    }
    if (database_.group_.onRead)
      database_.group_.onRead(database_, id_);
    Success(database_.ValueOf(aItem), Signature());
  }

  void Store(const std::string& aRest)
  {
    if (!database_.isPrimary) {
      Error("READONLY");
      return;
    }
    std::string_view rest = aRest;
    Commit commit;
    commit.id = id_;
    commit.item = TakeField(rest);
    commit.data = rest;
    if (state_ == "T") {
      pending_.push_back(std::move(commit));
      Success("", Signature());
      return;
    }
    Apply({ std::move(commit) });
  }

  void CommitNow()
  {
    const bool hasFailed = state_ == "E";
    const bool hasWritten = !pending_.empty();
    std::vector<Commit> commits = std::move(pending_);
    End();
    if (hasFailed || (hasWritten && !database_.isPrimary)) {
      Error(hasFailed ? "ROLLEDBACK" : "READONLY");
      return;
    }
    if (hasWritten)
      Apply(std::move(commits));
    else
      Success("", Signature());
  }

  void Apply(std::vector<Commit> aCommits)
  {
    for (std::size_t i = 0; i < aCommits.size(); ++i) {
      aCommits[i].term = database_.term;
      const bool isLast = i + 1 == aCommits.size();
      database_.Append(std::move(aCommits[i]),
                       [self = shared_from_this(), isLast] {
                         if (isLast)
                           self->Success("", self->Signature());
                       });
    }
  }

  std::string StatusRow() const
  {
    return std::string(database_.isPrimary ? "leader " : "follower ") +
           std::to_string(database_.term) + ' ' +
           Adapter::WritePosition(database_.Received()) + " 0 0 0 " +
           std::to_string(database_.sessions_.size());
  }

  void StepDown(const std::string& aTerm)
  {
    if (Adapter::ReadNumber(aTerm).value_or(0) > database_.term &&
        database_.isPrimary) {
      database_.group_.Log().Add(database_.Id() + " steps down");
      database_.isPrimary = false;
    }
    Success(StatusRow(), "-");
  }

  Core::Loop& loop_;
  Database& database_;
  std::unique_ptr<Wire::LineConnection> connection_;
  std::vector<std::string> lines_;
  bool isBusy_ = false;
  std::string state_ = "I";
  bool isPlain_ = false;
  std::string id_;
  std::vector<Commit> pending_;
};

Database::Database(Core::Loop& aLoop, Group& aGroup, std::string aId)
  : born(Core::WallClockMilliseconds())
  , loop_(aLoop)
  , group_(aGroup)
  , id_(std::move(aId))
{
}

Database::~Database() = default;

void
Database::Listen(const Wire::Address& aAddress)
{
  server_ = std::make_unique<Wire::LineServer>(loop_, [this](int aSocket) {
    sessions_.insert(std::make_shared<DatabaseSession>(loop_, *this, aSocket));
  });
  Core::LastReason reason;
  const auto address = server_->Listen(aAddress, reason);
  if (!address)
    throw std::runtime_error(reason.Text());
  address_ = *address;
}

void
Database::Crash()
{
  group_.Log().Add(id_ + " ends");
  server_.reset();
  ++epoch_;
  unacknowledged_.clear();
  for (const auto& session : std::exchange(sessions_, {}))
    session->OnEnd(Wire::LineCloseReason::Closed);
}

std::string
Database::Entry(const std::string& aState) const
{
  return R"({"service":")" + group_.Name() + R"(","address":")" +
         address_.ToText() +
         R"(","zone":"z1","version":"v1","slots":5,"state":")" + aState +
         R"(","cold-left-ms":0,"db-role":")" +
         (isPrimary ? "leader" : "follower") + R"(","born":)" +
         std::to_string(born) + R"(,"seq":1})";
}

Session::LogPosition
Database::Received() const
{
  return { log_.empty() ? 1 : log_.back().term, log_.size() };
}

Session::LogPosition
Database::Applied() const
{
  return { applied_ == 0 ? 1 : log_[applied_ - 1].term, applied_ };
}

std::string
Database::ValueOf(const std::string& aItem) const
{
  for (std::size_t i = applied_; i > 0; --i)
    if (log_[i - 1].item == aItem)
      return log_[i - 1].data;
  return "none";
}

bool
Database::Has(const std::string& aCommit) const
{
  return std::any_of(log_.begin(), log_.end(), [&](const Commit& aEntry) {
    return aEntry.id == aCommit;
  });
}

bool
Database::HasApplied(const std::string& aCommit) const
{
  return std::any_of(
    log_.begin(),
    log_.begin() + static_cast<std::ptrdiff_t>(applied_),
    [&](const Commit& aEntry) { return aEntry.id == aCommit; });
}

void
Database::Append(Commit aCommit, const std::function<void()>& aAcknowledge)
{
  if (group_.onCommit)
    group_.onCommit(*this, aCommit);
  log_.push_back(std::move(aCommit));
  applied_ = log_.size();
  const bool waitsForReplica = group_.SyncReplicas() > 0;
  if (waitsForReplica)
    unacknowledged_[log_.size()] = aAcknowledge;
  for (const auto& other : group_.Databases()) {
    Database* replica = other.get();
    if (replica == this || !replica->IsRunning())
      continue;
    loop_.DeferFor(group_.Timing().network, [this, replica, epoch = epoch_] {
      if (epoch == epoch_ && IsRunning() && isPrimary)
        replica->Receive(*this);
    });
  }
  if (!waitsForReplica)
    aAcknowledge();
}

void
Database::Receive(Database& aFrom)
{
  if (!IsRunning() || isPrimary || isDeaf || aFrom.term < term)
    return;
  term = aFrom.term;
  while (log_.size() < aFrom.log_.size())
    log_.push_back(aFrom.log_[log_.size()]);
  const std::size_t received = log_.size();
  loop_.DeferFor(group_.Timing().applyLag, [this, received, epoch = epoch_] {
    if (epoch == epoch_)
      applied_ = std::max(applied_, std::min(received, log_.size()));
  });
  loop_.DeferFor(
    group_.Timing().network, [&aFrom, received, epoch = aFrom.epoch_] {
      if (epoch != aFrom.epoch_)
        return;
      while (!aFrom.unacknowledged_.empty() &&
             aFrom.unacknowledged_.begin()->first <= received)
        aFrom.unacknowledged_.extract(aFrom.unacknowledged_.begin()).mapped()();
    });
}

void
Database::Lead(std::uint64_t aTerm)
{
  term = aTerm;
  isPrimary = true;
  applied_ = log_.size();
  ++epoch_;
}

void
Database::Follow(Database& aPrimary)
{
  isPrimary = false;
  term = aPrimary.term;
  ++epoch_;
  unacknowledged_.clear();
  std::size_t common = 0;
  while (common < log_.size() && common < aPrimary.log_.size() &&
         log_[common].id == aPrimary.log_[common].id)
    ++common;
  log_.resize(common);
  applied_ = std::min(applied_, common);
  Receive(aPrimary);
}

void
Database::Remove(const std::shared_ptr<DatabaseSession>& aSession)
{
  sessions_.erase(aSession);
}

Group::Group(Core::Loop& aLoop,
             Record& aRecord,
             std::string aName,
             GroupTiming aTiming,
             int aSyncReplicas)
  : loop_(aLoop)
  , record_(aRecord)
  , name_(std::move(aName))
  , timing_(aTiming)
  , syncReplicas_(aSyncReplicas)
{
}

Database&
Group::Add(const std::string& aId)
{
  databases_.push_back(std::make_unique<Database>(loop_, *this, aId));
  return *databases_.back();
}

Database*
Group::Find(const std::string& aId)
{
  for (const auto& database : databases_)
    if (database->Id() == aId)
      return database.get();
  return nullptr;
}

Database*
Group::Primary()
{
  Database* primary = nullptr;
  for (const auto& database : databases_)
    if (database->isPrimary && database->IsRunning() &&
        (primary == nullptr || primary->term < database->term))
      primary = database.get();
  return primary;
}

bool
Group::Promote(const std::string& aId)
{
  const Database* target = Find(aId);
  if (target == nullptr || !target->IsRunning())
    return false;
  if (target == Primary())
    return true;
  loop_.DeferFor(timing_.promote, [this, aId] { TakeEffect(aId); });
  return true;
}

void
Group::TakeEffect(const std::string& aId)
{
  Database* target = Find(aId);
  if (!target->IsRunning() || target == Primary())
    return;
  std::uint64_t term = 0;
  for (const auto& database : databases_)
    term = std::max(term, database->term);
  target->Lead(term + 1);
  record_.Add("promote takes effect: " + aId + " leads term " +
              std::to_string(target->term) + " with log " +
              Adapter::WritePosition(target->Received()));
  if (onPromoted)
    onPromoted(*target);
  for (const auto& database : databases_) {
    Database* other = database.get();
    if (other == target || !other->IsRunning())
      continue;
    const Core::Duration delay =
      other->isPrimary ? kFormerPrimaryTime : timing_.network;
    loop_.DeferFor(delay, [other, target] {
      if (other->IsRunning() && target->isPrimary)
        other->Follow(*target);
    });
  }
}

} // namespace Review
