#pragma once

#include <LibWire/Address.h>

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace Crowds {

/** A mastichold-node process that the test starts and ends. */
class NodeProcess
{
public:
  struct Options
  {
    Wire::Address store;
    /** Added to the settings file. */
    std::string moreSettings;
    /** The process's limit of open descriptors; 0: the test's own. */
    std::size_t descriptors = 0;
  };

  explicit NodeProcess(const Options& aOptions);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  const Wire::Address& ClientAddress() const { return clientAddress_; }
  const Wire::Address& ReadinessAddress() const { return readinessAddress_; }
  const Wire::Address& MetricsAddress() const { return metricsAddress_; }
  const Wire::Address& PeerAddress() const { return peerAddress_; }
  const Wire::Address& RelayAddress() const { return relayAddress_; }
  const Wire::Address& CheckoutAddress() const { return checkoutAddress_; }

  bool IsAlive();
  /** The largest resident memory so far, in KiB; 0 if the process has ended. */
  std::size_t PeakKibibytes() const;
  /** The resident memory now, in KiB; 0 if the process has ended. */
  std::size_t ResidentKibibytes() const;
  std::size_t OpenDescriptors() const;

private:
  void TakeAddresses();
  void WriteSettings(const Options& aOptions);
  void Spawn(std::size_t aDescriptors);
  std::size_t StatusField(const std::string& aName) const;

  Wire::Address clientAddress_;
  Wire::Address readinessAddress_;
  Wire::Address metricsAddress_;
  Wire::Address peerAddress_;
  Wire::Address relayAddress_;
  Wire::Address checkoutAddress_;
  std::string settingsFile_;
  pid_t process_ = -1;
};

} // namespace Crowds
