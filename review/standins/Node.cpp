#include "Node.h"

#include <LibCore/Random.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <utility>
#include <vector>

namespace Review {

namespace {

constexpr const char* kHost = "127.0.0.1";

/** Ports below those that the kernel gives to outgoing connections. */
constexpr std::uint16_t kFirstPort = 20000;
constexpr std::uint16_t kPorts = 12000;

/** Binds aPort on loopback and returns the socket; -1 if it is in use. */
int
Bind(std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

} // namespace

NodeAddresses
PickNodeAddresses()
{
  Core::Random random = Core::Random::FromSystem();
  std::vector<int> bound;
  const auto pick = [&bound, &random] {
    for (;;) {
      const auto port =
        static_cast<std::uint16_t>(kFirstPort + random.Below(kPorts));
      const int descriptor = Bind(port);
      if (descriptor < 0)
        continue;
      bound.push_back(descriptor);
      return Wire::Address{ kHost, port };
    }
  };
  NodeAddresses addresses;
  addresses.clients = pick();
  addresses.readiness = pick();
  addresses.metrics = pick();
  addresses.relay = pick();
  int next = -1;
  while (next < 0) {
    addresses.peers = pick();
    addresses.checkouts = addresses.peers;
    ++addresses.checkouts.port;
    next = Bind(addresses.checkouts.port);
  }
  bound.push_back(next);
  for (const int descriptor : bound)
    close(descriptor);
  return addresses;
}

Node::Node(std::string aName,
           const std::string& aZone,
           const std::string& aProgram,
           const std::string& aFolder,
           NodeAddresses aAddresses,
           const Wire::Address& aStore,
           const Wire::Address& aPromotions)
  : name_(std::move(aName))
  , addresses_(std::move(aAddresses))
{
  const std::string settings = aFolder + '/' + name_ + ".ini";
  std::ofstream(settings) << "[node]\nname = " << name_
                          << "\ndata_centre = " << aZone
                          << "\nprocessors = 0.25\n\n[listen]\nclients = "
                          << addresses_.clients.ToText()
                          << "\nreadiness = " << addresses_.readiness.ToText()
                          << "\nmetrics = " << addresses_.metrics.ToText()
                          << "\npeers = " << addresses_.peers.ToText()
                          << "\nrelay = " << addresses_.relay.ToText()
                          << "\n\n[platform]\nstore = " << aStore.ToText()
                          << "\npromotions = " << aPromotions.ToText()
                          << "\n\n[stop]\ngrace_ms = 6000\n";
  const std::string log = aFolder + '/' + name_ + ".log";
  process_ = fork();
  if (process_ != 0)
    return;
  // The node doesn't outlive this process.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
    open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execl(aProgram.c_str(),
        aProgram.c_str(),
        "--settings",
        settings.c_str(),
        static_cast<char*>(nullptr));
  _exit(127);
}

Node::~Node()
{
  if (HasEnded())
    return;
  kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
}

bool
Node::HasEnded()
{
  hasEnded_ = hasEnded_ || waitpid(process_, nullptr, WNOHANG) == process_;
  return hasEnded_;
}

} // namespace Review
