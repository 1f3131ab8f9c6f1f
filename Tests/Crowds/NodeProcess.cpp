#include "NodeProcess.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>
#include <vector>

namespace Crowds {

namespace {

/** Free addresses of loopback, kept until all have been taken. */
class FreeAddresses
{
public:
  FreeAddresses() = default;
  ~FreeAddresses()
  {
    for (const int socket : sockets_)
      ::close(socket);
  }
  FreeAddresses(const FreeAddresses&) = delete;
  FreeAddresses& operator=(const FreeAddresses&) = delete;

  /** Returns another address at each call. */
  Wire::Address Take()
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockets_.push_back(socket);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result =
      ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (result != 0)
      throw std::system_error(errno, std::generic_category(), "bind");
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return { "127.0.0.1", ntohs(address.sin_port) };
  }

private:
  std::vector<int> sockets_;
};

} // namespace

NodeProcess::NodeProcess(const Options& aOptions)
{
  TakeAddresses();
  WriteSettings(aOptions);
  Spawn(aOptions.descriptors);
}

NodeProcess::~NodeProcess()
{
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
  std::filesystem::remove(settingsFile_);
}

void
NodeProcess::TakeAddresses()
{
  FreeAddresses free;
  for (Wire::Address* address : { &clientAddress_,
                                  &readinessAddress_,
                                  &metricsAddress_,
                                  &peerAddress_,
                                  &relayAddress_,
                                  &checkoutAddress_ })
    *address = free.Take();
}

void
NodeProcess::WriteSettings(const Options& aOptions)
{
  std::string file =
    (std::filesystem::temp_directory_path() / "crowd-node-XXXXXX").string();
  const int descriptor = ::mkstemp(file.data());
  if (descriptor < 0)
    throw std::runtime_error("can't create a settings file");
  ::close(descriptor);
  settingsFile_ = file;
  std::ofstream out(file);
  out << "[node]\nname = n1\ndata_centre = z\n[listen]\nclients = "
      << clientAddress_.ToText()
      << "\nreadiness = " << readinessAddress_.ToText()
      << "\nmetrics = " << metricsAddress_.ToText()
      << "\npeers = " << peerAddress_.ToText()
      << "\nrelay = " << relayAddress_.ToText()
      << "\ncheckouts = " << checkoutAddress_.ToText()
      << "\n[platform]\nstore = " << aOptions.store.ToText()
      << "\npromotions = " << aOptions.store.ToText() << '\n'
      << aOptions.moreSettings;
}

void
NodeProcess::Spawn(std::size_t aDescriptors)
{
  // A spawned process inherits the soft limit.
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  if (aDescriptors > 0) {
    const rlimit lowered{ aDescriptors, before.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  std::string program = MASTICHOLD_NODE;
  std::string option = "--settings";
  char* const arguments[] = {
    program.data(), option.data(), settingsFile_.data(), nullptr
  };
  char* const environment[] = { nullptr };
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure = ::posix_spawn(
    &process_, program.c_str(), &actions, nullptr, arguments, environment);
  ::posix_spawn_file_actions_destroy(&actions);
  ::setrlimit(RLIMIT_NOFILE, &before);
  if (failure != 0)
    throw std::runtime_error("can't start " + program);
}

bool
NodeProcess::IsAlive()
{
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) != 0)
    process_ = -1;
  return process_ > 0;
}

std::size_t
NodeProcess::PeakKibibytes() const
{
  return StatusField("VmHWM:");
}

std::size_t
NodeProcess::ResidentKibibytes() const
{
  return StatusField("VmRSS:");
}

std::size_t
NodeProcess::StatusField(const std::string& aName) const
{
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string word;
  while (status >> word) {
    if (word != aName)
      continue;
    std::size_t value = 0;
    status >> value;
    return value;
  }
  return 0;
}

std::size_t
NodeProcess::OpenDescriptors() const
{
  std::error_code failure;
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(process_) + "/fd", failure);
  if (failure)
    return 0;
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace Crowds
