#pragma once

#include "ScenarioRun.h"

namespace Simulation {

/** The group's watcher on one node, as a process that can be killed. */
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
                       Failover::PromotionReason) override
  {
  }
  void RequestOpinions(const std::string&,
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
        RequestOpinion(
          *other, aDatabase, [poll](const Failover::Opinion& aOpinion) {
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
  void RequestOpinion(Watcher& aOther,
                      const std::string& aDatabase,
                      std::function<void(const Failover::Opinion&)> aCallback)
  {
    run_.network_.Send(
      name_,
      aOther.name_,
      aOther.time_,
      [this, &aOther, aDatabase, callback = std::move(aCallback)] {
        if (!aOther.IsUp())
          return;
        aOther.watcher_->Probe(
          aDatabase, [this, &aOther, callback](bool aIsReachable) {
            run_.network_.Send(
              aOther.name_, name_, time_, [callback, &aOther, aIsReachable] {
                callback({ aOther.dataCentre_, !aIsReachable });
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

} // namespace Simulation
