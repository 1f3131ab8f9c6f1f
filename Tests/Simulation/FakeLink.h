#pragma once

#include "FakeDatabase.h"

#include <LibProxy/GroupHome.h>

namespace Simulation {

/** An actor's link to a FakeDatabase, over the fake network. */
class FakeLink final : public Endpoint::EndpointLink
{
public:
  FakeLink(std::string aActor,
           ActorTime& aTime,
           Network& aNetwork,
           FakeDatabase& aDatabase);

  std::unique_ptr<Endpoint::EndpointConnection> NewConnection() override;
  void RequestStatus(const Endpoint::StatusRequest& aRequest,
                     Endpoint::ReportCallback aCallback) override;
  void Fence(const Endpoint::ControlOrder& aOrder,
             Core::Duration aTimeout,
             Endpoint::ControlCallback aCallback) override;
  void Promote(const Endpoint::ControlOrder& aOrder,
               Core::Duration aTimeout,
               Endpoint::ControlCallback aCallback) override;
  void Follow(const Endpoint::ControlOrder& aOrder,
              const std::string& aName,
              const std::string& aAddress,
              Core::Duration aTimeout,
              Endpoint::ControlCallback aCallback) override;

private:
  void Order(std::function<Endpoint::ControlResponse()> aRun,
             Core::Duration aTimeout,
             Endpoint::ControlCallback aCallback);

  std::string actor_;
  ActorTime& time_;
  Network& network_;
  FakeDatabase& database_;
};

/** Whether links check that a response belongs to their request. */
enum class EchoCheck
{
  Checked,
  /** Deliberate fault, to test that the history checker detects it. */
  Ignored,
};

/** Makes FakeLinks for one actor. */
class FakeLinkFactory final : public Proxy::LinkFactory
{
public:
  FakeLinkFactory(std::string aActor,
                  ActorTime& aTime,
                  Network& aNetwork,
                  DatabaseDirectory& aDirectory);
  std::unique_ptr<Endpoint::EndpointLink> Make(
    const Membership::Database& aDatabase) override;
  static EchoCheck echoCheck;

private:
  std::string actor_;
  ActorTime& time_;
  Network& network_;
  DatabaseDirectory& directory_;
};

} // namespace Simulation
