#include <LibAgent/AgentServer.h>
#include <LibCore/Log.h>
#include <LibSettings/DaemonArguments.h>

#include <csignal>
#include <iostream>

int
main(int aCount, char** aValues)
{
  int exitCode = 0;
  const auto settings = Settings::ReadDaemonArguments(
    "mastichold's control side: membership, configuration, failover",
    aCount,
    aValues,
    exitCode);
  if (!settings)
    return exitCode;

  Core::StartLog("agent " + settings->Text("node.name"));
  Core::Loop loop;
  Agent::AgentServer server(loop, *settings);
  Core::LastReason reason;
  if (!server.Start(reason)) {
    std::cerr << reason.Text() << '\n';
    return 1;
  }
  loop.OnSignal(SIGTERM, [&server] { server.Stop(); });
  loop.OnSignal(SIGINT, [&server] { server.Stop(); });
  Core::LogChange("started");
  loop.Run();
  return 0;
}
