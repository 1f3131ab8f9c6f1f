#include "DatabaseServer.h"

#include <LibCore/File.h>
#include <LibCore/Log.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

struct Arguments
{
  std::string listen = "127.0.0.1:0";
  std::string schemaFile;
  std::int64_t connectMs = 10;
  std::int64_t readUs = 2000;
  std::int64_t writeUs = 3000;
  std::int64_t latencyUs = 0;
};

void
AddOptions(CLI::App& aApp,
           Arguments& aArguments,
           StandIn::DatabaseOptions& aOptions)
{
  aApp.add_option("--name", aOptions.name, "The database's name")->required();
  aApp.add_option("--directory", aOptions.directory, "Where its files stand")
    ->required()
    ->check(CLI::ExistingDirectory);
  aApp.add_option("--listen", aArguments.listen, "ip:port");
  aApp.add_option("--schema", aArguments.schemaFile, "SQL run on empty data")
    ->check(CLI::ExistingFile);
  aApp.add_option("--slots", aOptions.slots, "Statements at once");
  aApp.add_option("--connections", aOptions.connections, "Client connections");
  aApp.add_option("--connect-ms", aArguments.connectMs, "Time to connect");
  aApp.add_option("--read-us", aArguments.readUs, "Time of a read");
  aApp.add_option("--write-us", aArguments.writeUs, "Time of a write");
  aApp.add_option("--latency-us", aArguments.latencyUs, "One-way latency");
  aApp.add_flag("--founder",
                aOptions.isInitialMember,
                "A member of the group's first set, with no data yet");
  aApp.set_version_flag("--version", MASTICHOLD_VERSION);
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app{ "A stand-in database for tests and demonstrations" };
  Arguments arguments;
  StandIn::DatabaseOptions options;
  AddOptions(app, arguments, options);
  CLI11_PARSE(app, aCount, aValues);

  Core::LastReason reason;
  const auto listen = Wire::Address::Parse(arguments.listen, reason);
  if (!listen) {
    std::cerr << "--listen: " << reason.Text() << '\n';
    return 2;
  }
  options.listen = *listen;
  options.schema = Core::ReadFile(arguments.schemaFile).value_or("");
  options.connectTime = std::chrono::milliseconds(arguments.connectMs);
  options.readTime = Core::Duration(arguments.readUs);
  options.writeTime = Core::Duration(arguments.writeUs);
  options.latency = Core::Duration(arguments.latencyUs);

  Core::StartLog(options.name);
  Core::Loop loop;
  StandIn::DatabaseServer server(loop, options);
  const auto address = server.Start(reason);
  if (!address) {
    std::cerr << reason.Text() << '\n';
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << address->ToText() << std::endl;
  loop.Run();
  return 0;
}
