#include "FakeLink.h"

#include <utility>

namespace Simulation {

namespace {

constexpr Core::Duration kRunTime = std::chrono::milliseconds(2);

/** Runs a callback with the first of the answer and the timeout. */
template<typename Answer>
class FirstOf
{
public:
  FirstOf(ActorTime& aTime,
          Core::Duration aTimeout,
          Answer aTimeoutAnswer,
          std::function<void(Answer)> aCallback)
    : time_(&aTime)
    , life_(aTime.Life())
    , callback_(
        std::make_shared<std::function<void(Answer)>>(std::move(aCallback)))
  {
    aTime.DeferFor(aTimeout,
                   [first = *this, answer = std::move(aTimeoutAnswer)] {
                     first.Give(answer);
                   });
  }
  void Give(Answer aAnswer) const
  {
    if (time_->Life() != life_)
      return;
    if (const auto callback = std::exchange(*callback_, nullptr))
      callback(std::move(aAnswer));
  }

private:
  ActorTime* time_;
  int life_;
  std::shared_ptr<std::function<void(Answer)>> callback_;
};

Endpoint::BatchResponse
Undelivered(Endpoint::BatchStatus aStatus)
{
  Endpoint::BatchResponse answer;
  answer.status = aStatus;
  answer.reason = "no answer";
  return answer;
}

/** One connection; after an unknown end it is closed for good. */
class FakeConnection final : public Endpoint::EndpointConnection
{
public:
  FakeConnection(std::string aActor,
                 ActorTime& aTime,
                 Network& aNetwork,
                 FakeDatabase& aDatabase)
    : actor_(std::move(aActor))
    , time_(aTime)
    , network_(aNetwork)
    , database_(aDatabase)
  {
  }
  ~FakeConnection() override { Close(); }

  void Open(Core::Duration aTimeout,
            std::function<void(bool)> aCallback) override
  {
    const FirstOf<std::optional<std::uint64_t>> first(
      time_,
      aTimeout,
      std::nullopt,
      [this, alive = std::weak_ptr(alive_), callback = std::move(aCallback)](
        const std::optional<std::uint64_t>& aNumber) {
        if (alive.expired())
          return;
        number_ = aNumber.value_or(0);
        isUsable_ = aNumber.has_value();
        callback(isUsable_);
      });
    auto& network = network_;
    auto& database = database_;
    auto& time = time_;
    network_.Send(actor_,
                  database_.Name(),
                  database_.Time(),
                  [first, &network, &database, &time, actor = actor_] {
                    if (!database.IsUp())
                      return;
                    const std::uint64_t number = database.Connect();
                    network.Send(database.Name(), actor, time, [first, number] {
                      first.Give(number);
                    });
                  });
  }

  void Run(const Endpoint::Batch& aBatch,
           Core::Duration aTimeout,
           Endpoint::BatchCallback aCallback) override
  {
    const FirstOf<Endpoint::BatchResponse> first(
      time_,
      aTimeout,
      Undelivered(Endpoint::BatchStatus::Unknown),
      [this, alive = std::weak_ptr(alive_), callback = std::move(aCallback)](
        Endpoint::BatchResponse aAnswer) {
        if (alive.expired())
          return;
        if (aAnswer.status == Endpoint::BatchStatus::Unknown ||
            aAnswer.status == Endpoint::BatchStatus::UnknownConnection)
          Close();
        callback(std::move(aAnswer));
      });
    auto& network = network_;
    auto& database = database_;
    auto& time = time_;
    network_.Send(
      actor_,
      database_.Name(),
      database_.Time(),
      [=, &network, &database, &time, actor = actor_, number = number_] {
        database.Time().DeferFor(kRunTime, [=, &network, &database, &time] {
          Execute(first, network, database, time, actor, number, aBatch);
        });
      });
  }
  bool IsUsable() const override { return isUsable_; }
  void Close() override
  {
    if (!std::exchange(isUsable_, false))
      return;
    auto& database = database_;
    network_.Send(actor_,
                  database_.Name(),
                  database_.Time(),
                  [&database, number = number_] { database.Close(number); });
  }

private:
  static void Execute(const FirstOf<Endpoint::BatchResponse>& aFirst,
                      Network& aNetwork,
                      FakeDatabase& aDatabase,
                      ActorTime& aTime,
                      const std::string& aActor,
                      std::uint64_t aNumber,
                      const Endpoint::Batch& aBatch)
  {
    if (!aDatabase.IsUp() || aDatabase.IsSilent(aNumber))
      return;
    Endpoint::BatchResponse answer = aDatabase.Run(aNumber, aBatch);
    // The real link closes a connection whose answer has another number.
    if (aDatabase.MixUp(answer) &&
        FakeLinkFactory::echoCheck == EchoCheck::Checked)
      answer = Undelivered(Endpoint::BatchStatus::Unknown);
    aNetwork.Send(aDatabase.Name(), aActor, aTime, [aFirst, answer] {
      aFirst.Give(answer);
    });
  }

  std::string actor_;
  ActorTime& time_;
  Network& network_;
  FakeDatabase& database_;
  std::uint64_t number_ = 0;
  bool isUsable_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace

EchoCheck FakeLinkFactory::echoCheck = EchoCheck::Checked;

FakeLink::FakeLink(std::string aActor,
                   ActorTime& aTime,
                   Network& aNetwork,
                   FakeDatabase& aDatabase)
  : actor_(std::move(aActor))
  , time_(aTime)
  , network_(aNetwork)
  , database_(aDatabase)
{
}

std::unique_ptr<Endpoint::EndpointConnection>
FakeLink::NewConnection()
{
  return std::make_unique<FakeConnection>(actor_, time_, network_, database_);
}

void
FakeLink::RequestStatus(const Endpoint::StatusRequest& aQuestion,
                        Endpoint::ReportCallback aCallback)
{
  const FirstOf<std::optional<Endpoint::DatabaseReport>> first(
    time_,
    aQuestion.wait + aQuestion.timeout,
    std::nullopt,
    std::move(aCallback));
  auto& database = database_;
  auto& network = network_;
  auto& time = time_;
  network_.Send(actor_,
                database_.Name(),
                database_.Time(),
                [first, aQuestion, &database, &network, &time, actor = actor_] {
                  if (!database.IsUp())
                    return;
                  database.AwaitChange(
                    aQuestion.known,
                    aQuestion.wait,
                    [first, &database, &network, &time, actor] {
                      const auto report = database.Report();
                      network.Send(database.Name(),
                                   actor,
                                   time,
                                   [first, report] { first.Give(report); });
                    });
                });
}

void
FakeLink::Order(std::function<Endpoint::ControlResponse()> aRun,
                Core::Duration aTimeout,
                Endpoint::ControlCallback aCallback)
{
  const FirstOf<std::optional<Endpoint::ControlResponse>> first(
    time_, aTimeout, std::nullopt, std::move(aCallback));
  auto& database = database_;
  auto& network = network_;
  auto& time = time_;
  network_.Send(
    actor_,
    database_.Name(),
    database_.Time(),
    [first, run = std::move(aRun), &database, &network, &time, actor = actor_] {
      if (!database.IsUp())
        return;
      const auto answer = run();
      network.Send(
        database.Name(), actor, time, [first, answer] { first.Give(answer); });
    });
}

void
FakeLink::Fence(const Endpoint::ControlOrder& aOrder,
                Core::Duration aTimeout,
                Endpoint::ControlCallback aCallback)
{
  Order([&database = database_, aOrder] { return database.Fence(aOrder); },
        aTimeout,
        std::move(aCallback));
}

void
FakeLink::Promote(const Endpoint::ControlOrder& aOrder,
                  Core::Duration aTimeout,
                  Endpoint::ControlCallback aCallback)
{
  Order([&database = database_, aOrder] { return database.Promote(aOrder); },
        aTimeout,
        std::move(aCallback));
}

void
FakeLink::Follow(const Endpoint::ControlOrder& aOrder,
                 const std::string& aName,
                 const std::string&,
                 Core::Duration aTimeout,
                 Endpoint::ControlCallback aCallback)
{
  Order([&database = database_,
         aOrder,
         aName] { return database.Follow(aOrder, aName); },
        aTimeout,
        std::move(aCallback));
}

FakeLinkFactory::FakeLinkFactory(std::string aActor,
                                 ActorTime& aTime,
                                 Network& aNetwork,
                                 DatabaseDirectory& aDirectory)
  : actor_(std::move(aActor))
  , time_(aTime)
  , network_(aNetwork)
  , directory_(aDirectory)
{
}

std::unique_ptr<Endpoint::EndpointLink>
FakeLinkFactory::Make(const Membership::Database& aDatabase)
{
  return std::make_unique<FakeLink>(
    actor_, time_, network_, *directory_.at(aDatabase.name));
}

} // namespace Simulation
