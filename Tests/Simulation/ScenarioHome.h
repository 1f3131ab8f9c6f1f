#pragma once

#include "ScenarioRun.h"

namespace Simulation {

/** The group's home on one node, as a process that can be killed. */
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

} // namespace Simulation
