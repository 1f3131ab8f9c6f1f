#include "ScenarioRun.h"

#include <LibProxy/Statements.h>

#include <algorithm>
#include <utility>

namespace Simulation {

namespace {

constexpr const char* kGroup = "group";
constexpr const char* kCallersName = "callers";
constexpr Core::Duration kStartTime = std::chrono::seconds(2);
/** After the last fault is healed, everything must be settled in this. */
constexpr Core::Duration kSettleTime = std::chrono::seconds(25);
constexpr Core::Duration kThink = std::chrono::milliseconds(60);
constexpr Core::Duration kDeadline = std::chrono::milliseconds(900);
constexpr Core::Duration kPatience = std::chrono::milliseconds(1300);
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(120);
constexpr double kOwnReadChance = 0.4;
/** How often a write is sent to two homes at once. */
constexpr double kDoubleSendChance = 0.1;

/** Whom in the group an event can mean. */
constexpr const char* kPrimaryTarget = "primary";
constexpr const char* kReplicaTarget = "replica";
constexpr const char* kLastTarget = "last";

} // namespace

bool
ScenarioResult::Has(History::ViolationKind aKind) const
{
  return std::any_of(violations.begin(),
                     violations.end(),
                     [aKind](const auto& aOne) { return aOne.kind == aKind; });
}

std::string
ScenarioResult::ToText() const
{
  std::string text = std::to_string(writes) + " writes, " +
                     std::to_string(toldOk) + " acknowledged";
  for (const History::Violation& violation : violations)
    text += "\n  " +
            std::string(History::kViolationNames.NameOf(violation.kind)) +
            ": " + violation.text;
  return text;
}

/** One node's home of the group, as a process that can be killed. */
class ScenarioRun::Home
{
public:
  Home(ScenarioRun& aRun, std::string aName)
    : run_(aRun)
    , name_(std::move(aName))
    , time_(aRun.time_)
    , links_(name_, time_, aRun.network_, aRun.directory_)
    , context_{ time_, aRun.random_, metrics_, links_, name_, "hobart" }
  {
    Start();
  }

  void Start()
  {
    home_ = std::make_unique<Proxy::GroupHome>(context_, kGroup);
    std::vector<const Membership::Database*> databases;
    for (const Membership::Database& info : run_.infos_)
      databases.push_back(&info);
    home_->Update(databases, run_.fleet_);
  }
  void Kill()
  {
    time_.Kill();
    home_.reset();
  }
  bool IsUp() const { return home_ != nullptr; }
  const std::string& Name() const { return name_; }
  ActorTime& Time() { return time_; }
  Proxy::GroupHome& Group() { return *home_; }

private:
  ScenarioRun& run_;
  std::string name_;
  ActorTime time_;
  Metrics::Registry metrics_;
  FakeLinkFactory links_;
  Proxy::HomeContext context_;
  std::unique_ptr<Proxy::GroupHome> home_;
};

/** One node's watcher of the group, as a process that can be killed. */
class ScenarioRun::Watcher final : public Agent::WatcherHost
{
public:
  Watcher(ScenarioRun& aRun, std::string aName, int aRank)
    : run_(aRun)
    , name_(std::move(aName))
    , dataCentre_("centre-" + std::to_string(aRank))
    , rank_(aRank)
    , time_(aRun.time_)
    , links_(name_, time_, aRun.network_, aRun.directory_)
  {
    Start();
  }

  void Start()
  {
    watcher_ = std::make_unique<Agent::GroupWatcher>(
      time_, *this, kGroup, dataCentre_, run_.infos_);
    watcher_->Update(run_.infos_, *run_.fleet_, rank_);
  }
  void Kill()
  {
    time_.Kill();
    watcher_.reset();
  }
  bool IsUp() const { return watcher_ != nullptr; }
  const std::string& Name() const { return name_; }
  ActorTime& Time() { return time_; }

  std::unique_ptr<Endpoint::EndpointLink> MakeLink(
    const Membership::Database& aDatabase) override
  {
    return links_.Make(aDatabase);
  }
  std::string NewOwner() override { return name_ + '#' + run_.random_.Hex(8); }
  void RecordPromotion(const std::string&,
                       const Failover::Promotion&,
                       Failover::Trouble) override
  {
  }
  void AskOpinions(const std::string&,
                   const std::string& aDatabase,
                   Agent::OpinionsCallback aCallback) override
  {
    struct Poll
    {
      std::vector<Failover::Opinion> opinions;
    };
    auto poll = std::make_shared<Poll>();
    for (const auto& other : run_.watchers_) {
      if (other.get() != this)
        AskOne(*other, aDatabase, [poll](const Failover::Opinion& aOpinion) {
          poll->opinions.push_back(aOpinion);
        });
    }
    const bool othersExist = run_.watchers_.size() > 1;
    time_.DeferFor(std::chrono::milliseconds(300),
                   [poll, othersExist, callback = std::move(aCallback)] {
                     callback(poll->opinions, othersExist);
                   });
  }

private:
  void AskOne(Watcher& aOther,
              const std::string& aDatabase,
              std::function<void(const Failover::Opinion&)> aTake)
  {
    run_.network_.Send(
      name_,
      aOther.name_,
      aOther.time_,
      [this, &aOther, aDatabase, take = std::move(aTake)] {
        if (!aOther.IsUp())
          return;
        aOther.watcher_->Probe(aDatabase, [this, &aOther, take](bool aAnswers) {
          run_.network_.Send(
            aOther.name_, name_, time_, [take, &aOther, aAnswers] {
              take({ aOther.dataCentre_, !aAnswers });
            });
        });
      });
  }

  ScenarioRun& run_;
  std::string name_;
  std::string dataCentre_;
  int rank_;
  ActorTime time_;
  FakeLinkFactory links_;
  std::unique_ptr<Agent::GroupWatcher> watcher_;
};

/** Sessions that write, repeat what is unsettled, and read their writes. */
class ScenarioRun::Callers
{
public:
  explicit Callers(ScenarioRun& aRun)
    : run_(aRun)
    , time_(aRun.time_)
    , sessions_(static_cast<std::size_t>(aRun.scenario_.callers))
  {
  }

  void Start(Core::Instant aEnd)
  {
    end_ = aEnd;
    for (std::size_t i = 0; i < sessions_.size(); ++i)
      Next(i);
  }
  /** Names every write that could not be settled. */
  void ReportStranded()
  {
    for (const std::string& tag : open_)
      run_.history_.RecordStranded(tag);
  }

private:
  struct CallerSession
  {
    ::Session::SessionToken token;
    std::string lastTag;
  };

  static std::string NameOf(std::size_t aSession)
  {
    return "session " + std::to_string(aSession);
  }

  void Next(std::size_t aSession)
  {
    if (time_.Now() >= end_)
      return;
    const auto pause = static_cast<std::int64_t>(
      run_.random_.Below(static_cast<std::uint64_t>(kThink.count()) * 2));
    time_.DeferFor(Core::Duration(pause), [this, aSession] { Step(aSession); });
  }

  void Step(std::size_t aSession)
  {
    const bool reads = !sessions_[aSession].lastTag.empty() &&
                       run_.random_.Chance(kOwnReadChance);
    if (reads)
      Read(aSession);
    else
      Write(aSession);
  }

  Request::StatementRequest NewRequest(std::size_t aSession,
                                       const std::string& aId)
  {
    Request::StatementRequest request;
    request.requestId = aId;
    request.session = NameOf(aSession);
    request.deadline = kDeadline;
    if (!run_.scenario_.callerBreaks.ignoresTokens)
      request.token = sessions_[aSession].token;
    return request;
  }

  void Write(std::size_t aSession)
  {
    const std::string tag = "w" + std::to_string(++lastTag_);
    run_.history_.RecordSent(tag);
    open_.insert(tag);
    Request::StatementRequest request = NewRequest(aSession, tag);
    request.isWrite = true;
    request.isRepeatable = run_.scenario_.callerBreaks.claimsRepeatable;
    request.statement = { "PUT", { tag } };
    const bool isDouble = run_.random_.Chance(kDoubleSendChance);
    if (isDouble) {
      // Neither of two sent at once is the only first try.
      request.attempt = 2;
      SendTo(PickHome(), request, [](const auto&) {});
    }
    SendWrite(aSession, request);
  }

  void SendWrite(std::size_t aSession,
                 const Request::StatementRequest& aRequest)
  {
    SendTo(PickHome(),
           aRequest,
           [this, aSession, aRequest](
             const std::optional<Request::RequestAnswer>& aAnswer) {
             TakeWrite(aSession, aRequest, aAnswer);
           });
  }

  void TakeWrite(std::size_t aSession,
                 Request::StatementRequest aRequest,
                 const std::optional<Request::RequestAnswer>& aAnswer)
  {
    const std::string& tag = aRequest.requestId;
    if (aAnswer)
      sessions_[aSession].token = aAnswer->token;
    if (aAnswer && aAnswer->outcome != Request::Outcome::Pending) {
      open_.erase(tag);
      run_.history_.RecordTold(tag, ToldBy(aAnswer->outcome));
      if (aAnswer->outcome == Request::Outcome::Ok)
        sessions_[aSession].lastTag = tag;
      Next(aSession);
      return;
    }
    if (!run_.scenario_.callerBreaks.alwaysFirst)
      ++aRequest.attempt;
    aRequest.token = sessions_[aSession].token;
    time_.DeferFor(kRetryPause, [this, aSession, aRequest] {
      SendWrite(aSession, aRequest);
    });
  }

  static History::Told ToldBy(Request::Outcome aOutcome)
  {
    switch (aOutcome) {
      case Request::Outcome::Ok:
        return History::Told::Ok;
      case Request::Outcome::NotRun:
        return History::Told::NotRun;
      case Request::Outcome::Failed:
        return History::Told::Failed;
      case Request::Outcome::Pending:
        break;
    }
    return History::Told::Open;
  }

  void Read(std::size_t aSession)
  {
    const std::string tag = sessions_[aSession].lastTag;
    Request::StatementRequest request =
      NewRequest(aSession, "r" + std::to_string(++lastTag_));
    request.statement = { "COUNT", { tag } };
    request.maxAge = std::chrono::hours(1);
    SendTo(PickHome(),
           request,
           [this, aSession, tag](
             const std::optional<Request::RequestAnswer>& aAnswer) {
             TakeRead(aSession, tag, aAnswer);
           });
  }

  void TakeRead(std::size_t aSession,
                const std::string& aTag,
                const std::optional<Request::RequestAnswer>& aAnswer)
  {
    const bool isOk = aAnswer && aAnswer->outcome == Request::Outcome::Ok &&
                      !aAnswer->result.rows.empty();
    if (isOk) {
      sessions_[aSession].token = aAnswer->token;
      const boost::json::array& row = aAnswer->result.rows[0].as_array();
      const std::string found =
        row.size() == 2 && row[1].is_string() ? row[1].as_string().c_str() : "";
      run_.history_.RecordAnswer(aTag, found);
      if (found == aTag)
        run_.history_.RecordOwnRead(NameOf(aSession), aTag, row[0].as_int64());
      run_.history_.RecordPosition(NameOf(aSession),
                                   aAnswer->token.PositionOf(kGroup));
    }
    Next(aSession);
  }

  Home& PickHome()
  {
    return *run_.homes_[run_.random_.Below(run_.homes_.size())];
  }

  /** Sends to a home and calls back once; without an answer, with nothing. */
  void SendTo(
    Home& aHome,
    const Request::StatementRequest& aRequest,
    std::function<void(const std::optional<Request::RequestAnswer>&)> aCallback)
  {
    auto once = std::make_shared<
      std::function<void(const std::optional<Request::RequestAnswer>&)>>(
      std::move(aCallback));
    const auto give =
      [once](const std::optional<Request::RequestAnswer>& aAnswer) {
        if (const auto callback = std::exchange(*once, nullptr))
          callback(aAnswer);
      };
    time_.DeferFor(kPatience, [give] { give(std::nullopt); });
    Home* home = &aHome;
    run_.network_.Send(
      kCallersName, aHome.Name(), aHome.Time(), [this, home, aRequest, give] {
        if (!home->IsUp())
          return;
        Proxy::RunStatement(
          home->Group(),
          aRequest,
          [this, home, aRequest, give](const Request::RequestAnswer& aAnswer) {
            run_.history_.RecordAnswer(aRequest.requestId, aAnswer.requestId);
            run_.network_.Send(home->Name(),
                               kCallersName,
                               time_,
                               [give, aAnswer] { give(aAnswer); });
          });
      });
  }

  ScenarioRun& run_;
  ActorTime time_;
  std::vector<CallerSession> sessions_;
  Core::Instant end_;
  std::uint64_t lastTag_ = 0;
  std::set<std::string> open_;
};

ScenarioRun::ScenarioRun(const Scenario& aScenario, std::uint64_t aSeed)
  : scenario_(aScenario)
  , random_(aSeed)
  , network_(random_)
{
  FakeLinkFactory::echoCheck =
    aScenario.ignoresEcho ? EchoCheck::Ignored : EchoCheck::Checked;
  Core::Findings findings;
  auto fleet = Settings::FleetSettings::Parse(
    aScenario.settings, aScenario.name, findings);
  fleet_ = std::make_shared<const Settings::FleetSettings>(
    fleet.value_or(Settings::FleetSettings{}));
  for (int i = 0; i < aScenario.databases; ++i) {
    Membership::Database info;
    info.name = std::string(1, static_cast<char>('a' + i));
    info.group = kGroup;
    info.slots = 5;
    info.connections = 35;
    infos_.push_back(info);
    databases_.push_back(
      std::make_unique<FakeDatabase>(info.name, time_, network_, directory_));
  }
  for (int i = 0; i < aScenario.watchers; ++i)
    watchers_.push_back(
      std::make_unique<Watcher>(*this, "watcher" + std::to_string(i), i));
  for (int i = 0; i < aScenario.homes; ++i)
    homes_.push_back(std::make_unique<Home>(*this, "home" + std::to_string(i)));
  callers_ = std::make_unique<Callers>(*this);
}

ScenarioRun::~ScenarioRun()
{
  for (const auto& home : homes_)
    home->Kill();
  for (const auto& watcher : watchers_)
    watcher->Kill();
  time_.Close();
}

ScenarioResult
ScenarioRun::Run()
{
  const Core::Instant start = time_.Now() + kStartTime;
  time_.RunUntil(start);
  network_.SetLoss(scenario_.loss);
  network_.SetLate(scenario_.late);
  const Core::Instant end = start + scenario_.run;
  callers_->Start(end);
  for (const ScenarioEvent& event : scenario_.events)
    time_.DeferFor(event.at, [this, event] { Act(event); });
  time_.RunUntil(end);
  HealAll();
  time_.RunUntil(end + kSettleTime);
  callers_->ReportStranded();
  const FakeDatabase* primary = Primary();
  history_.Judge(primary != nullptr ? primary->Tags()
                                    : std::map<std::string, std::int64_t>{});
  return { history_.Violations(), history_.Writes(), history_.ToldOk() };
}

FakeDatabase*
ScenarioRun::Primary()
{
  FakeDatabase* primary = nullptr;
  for (const auto& database : databases_) {
    const bool leads = database->IsUp() && database->State().IsPrimary();
    if (leads && (primary == nullptr || database->State().Meta().promised >
                                          primary->State().Meta().promised))
      primary = database.get();
  }
  return primary;
}

std::string
ScenarioRun::Resolve(const std::string& aTarget)
{
  const FakeDatabase* primary = Primary();
  if (aTarget == kLastTarget)
    return lastPrimary_;
  if (aTarget == kPrimaryTarget && primary != nullptr)
    return lastPrimary_ = primary->Name();
  if (aTarget == kReplicaTarget) {
    for (const auto& database : databases_) {
      if (database.get() != primary)
        return lastPrimary_ = database->Name();
    }
  }
  return aTarget;
}

ActorTime*
ScenarioRun::TimeOf(const std::string& aName)
{
  if (const auto found = directory_.find(aName); found != directory_.end())
    return &found->second->Time();
  for (const auto& home : homes_) {
    if (home->Name() == aName)
      return &home->Time();
  }
  for (const auto& watcher : watchers_) {
    if (watcher->Name() == aName)
      return &watcher->Time();
  }
  return nullptr;
}

void
ScenarioRun::Act(const ScenarioEvent& aEvent)
{
  const std::string name = Resolve(aEvent.target);
  if (aEvent.action == "isolate" || aEvent.action == "deafen" ||
      aEvent.action == "mute") {
    network_.Cut(name, aEvent.action != "mute", aEvent.action != "deafen");
    return;
  }
  if (aEvent.action == "heal") {
    network_.Heal(name);
    return;
  }
  if (ActorTime* time = TimeOf(name); time && aEvent.action == "freeze") {
    time->Freeze();
    return;
  }
  if (ActorTime* time = TimeOf(name); time && aEvent.action == "thaw") {
    time->Thaw();
    return;
  }
  if (const auto found = directory_.find(name); found != directory_.end()) {
    ActOnDatabase(aEvent, *found->second);
    return;
  }
  const auto killOrStart = [&aEvent, &name](auto& aActors) {
    for (const auto& actor : aActors) {
      if (actor->Name() != name)
        continue;
      if (aEvent.action == "kill")
        actor->Kill();
      else if (aEvent.action == "restart" && !actor->IsUp())
        actor->Start();
    }
  };
  killOrStart(homes_);
  killOrStart(watchers_);
}

void
ScenarioRun::ActOnDatabase(const ScenarioEvent& aEvent, FakeDatabase& aDatabase)
{
  if (aEvent.action == "kill")
    aDatabase.Kill();
  else if (aEvent.action == "restart")
    aDatabase.Restart(false);
  else if (aEvent.action == "lose-file")
    aDatabase.Restart(true);
  else if (aEvent.action == "lag")
    aDatabase.SetLag(std::chrono::milliseconds(aEvent.amount));
  else if (aEvent.action == "silence")
    aDatabase.SilenceOpen();
  else if (aEvent.action == "mix-up")
    aDatabase.MixUpAnswers(static_cast<int>(aEvent.amount));
}

void
ScenarioRun::HealAll()
{
  network_.HealAll();
  for (const auto& database : databases_) {
    if (database->Time().IsFrozen())
      database->Time().Thaw();
    database->Restart(false);
    database->SetLag(Core::Duration::zero());
  }
  const auto heal = [](auto& aActors) {
    for (const auto& actor : aActors) {
      if (actor->Time().IsFrozen())
        actor->Time().Thaw();
      if (!actor->IsUp())
        actor->Start();
    }
  };
  heal(homes_);
  heal(watchers_);
}

} // namespace Simulation
