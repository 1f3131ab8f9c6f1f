#include "FakeLink.h"

#include <utility>

namespace Simulation {

namespace {

constexpr Core::Duration kBatchRunTime = std::chrono::milliseconds(2);

/**
 * Calls a callback once, with the response or, if the timeout expires first,
 * with a given value. Does nothing if the actor was killed in between.
 */
template<typename Response>
class ResponseOrTimeout
{
public:
  ResponseOrTimeout(ActorTime& aTime,
                    Core::Duration aTimeout,
                    Response aTimeoutResponse,
                    std::function<void(Response)> aCallback)
    : time_(&aTime)
    , incarnation_(aTime.Incarnation())
    , callback_(
        std::make_shared<std::function<void(Response)>>(std::move(aCallback)))
  {
    aTime.DeferFor(aTimeout,
                   [first = *this, response = std::move(aTimeoutResponse)] {
                     first.Deliver(response);
                   });
  }
  void Deliver(Response aResponse) const
  {
    if (time_->Incarnation() != incarnation_)
      return;
    if (const auto callback = std::exchange(*callback_, nullptr))
      callback(std::move(aResponse));
  }

private:
  ActorTime* time_;
  int incarnation_;
  std::shared_ptr<std::function<void(Response)>> callback_;
};

Endpoint::BatchResponse
NoResponse(Endpoint::BatchStatus aStatus)
{
  Endpoint::BatchResponse response;
  response.status = aStatus;
  response.reason = "no answer";
  return response;
}

/** A connection; it is closed once the outcome of a batch is unknown. */
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
    const ResponseOrTimeout<std::optional<std::uint64_t>> first(
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
                      first.Deliver(number);
                    });
                  });
  }

  void Run(const Endpoint::Batch& aBatch,
           Core::Duration aTimeout,
           Endpoint::BatchCallback aCallback) override
  {
    const ResponseOrTimeout<Endpoint::BatchResponse> first(
      time_,
      aTimeout,
      NoResponse(Endpoint::BatchStatus::Unknown),
      [this, alive = std::weak_ptr(alive_), callback = std::move(aCallback)](
        Endpoint::BatchResponse aResponse) {
        if (alive.expired())
          return;
        if (aResponse.status == Endpoint::BatchStatus::Unknown ||
            aResponse.status == Endpoint::BatchStatus::UnknownConnection)
          Close();
        callback(std::move(aResponse));
      });
    auto& network = network_;
    auto& database = database_;
    auto& time = time_;
    network_.Send(
      actor_,
      database_.Name(),
      database_.Time(),
      [=, &network, &database, &time, actor = actor_, number = number_] {
        database.Time().DeferFor(
          kBatchRunTime, [=, &network, &database, &time] {
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
  static void Execute(const ResponseOrTimeout<Endpoint::BatchResponse>& aFirst,
                      Network& aNetwork,
                      FakeDatabase& aDatabase,
                      ActorTime& aTime,
                      const std::string& aActor,
                      std::uint64_t aNumber,
                      const Endpoint::Batch& aBatch)
  {
    if (!aDatabase.IsUp() || aDatabase.IsSilent(aNumber))
      return;
    Endpoint::BatchResponse response = aDatabase.Run(aNumber, aBatch);
    // The real link closes a connection if the number in the response is not
    // that of the request.
    if (aDatabase.MixUp(response) &&
        FakeLinkFactory::echoCheck == EchoCheck::Checked)
      response = NoResponse(Endpoint::BatchStatus::Unknown);
    aNetwork.Send(aDatabase.Name(), aActor, aTime, [aFirst, response] {
      aFirst.Deliver(response);
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
FakeLink::RequestStatus(const Endpoint::StatusRequest& aRequest,
                        Endpoint::ReportCallback aCallback)
{
  const ResponseOrTimeout<std::optional<Endpoint::DatabaseReport>> first(
    time_,
    aRequest.wait + aRequest.timeout,
    std::nullopt,
    std::move(aCallback));
  auto& database = database_;
  auto& network = network_;
  auto& time = time_;
  network_.Send(actor_,
                database_.Name(),
                database_.Time(),
                [first, aRequest, &database, &network, &time, actor = actor_] {
                  if (!database.IsUp())
                    return;
                  database.AwaitChange(
                    aRequest.known,
                    aRequest.wait,
                    [first, &database, &network, &time, actor] {
                      const auto report = database.Report();
                      network.Send(database.Name(),
                                   actor,
                                   time,
                                   [first, report] { first.Deliver(report); });
                    });
                });
}

void
FakeLink::Order(std::function<Endpoint::ControlResponse()> aRun,
                Core::Duration aTimeout,
                Endpoint::ControlCallback aCallback)
{
  const ResponseOrTimeout<std::optional<Endpoint::ControlResponse>> first(
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
      const auto response = run();
      network.Send(database.Name(), actor, time, [first, response] {
        first.Deliver(response);
      });
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
