#include "PlatformServer.h"

#include <LibCore/Log.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

int
main(int aCount, char** aValues)
{
  CLI::App app{ "A stand-in platform for tests and demonstrations" };
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "ip:port");
  std::string vms;
  app.add_option("--vms", vms, "A JSON file with the first VM list")
    ->check(CLI::ExistingFile);
  app.set_version_flag("--version", MASTICHOLD_VERSION);
  CLI11_PARSE(app, aCount, aValues);

  Core::LastReason reason;
  const auto address = Wire::Address::Parse(listen, reason);
  if (!address) {
    std::cerr << "--listen: " << reason.Text() << '\n';
    return 2;
  }
  Core::StartLog("platform");
  Core::Loop loop;
  StandIn::PlatformServer server(loop);
  if (!vms.empty() && !server.LoadVms(vms, reason)) {
    std::cerr << vms << ": " << reason.Text() << '\n';
    return 2;
  }
  const auto bound = server.Start(*address, reason);
  if (!bound) {
    std::cerr << reason.Text() << '\n';
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << bound->ToText() << std::endl;
  loop.Run();
  return 0;
}
