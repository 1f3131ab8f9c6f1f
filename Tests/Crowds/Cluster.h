#pragma once

#include "StandInDatabases.h"
#include "StandInStore.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace Crowds {

/**
 * A store and a group of three databases that run on a thread of their own, so
 * that the test's thread can play clients against a node process. Reads of the
 * items "large" and "huge" return many rows: 10 and 180 times the value.
 */
class Cluster
{
public:
  Cluster();
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  const Wire::Address& StoreAddress() const { return storeAddress_; }

private:
  void AddDatabase(const std::string& aId);
  void Configure();
  void Promote(const std::string& aId);

  Core::Loop loop_;
  StandIns::StandInStore store_;
  Wire::Address storeAddress_;
  std::vector<std::unique_ptr<StandIns::StandInDatabase>> databases_;
  std::atomic<bool> stops_ = false;
  Core::TimerHandle stopCheck_;
  std::thread thread_;
};

} // namespace Crowds
