#include "NodeServer.h"

#include <LibCore/Log.h>
#include <LibSettings/DaemonArguments.h>

#include <csignal>
#include <iostream>

int
main(int aCount, char** aValues)
{
  int exitCode = 0;
  const auto settings =
    Settings::ReadDaemonArguments("mastichold on the users' platform",
                                  aCount,
                                  aValues,
                                  exitCode,
                                  Settings::NodeSettingsTable());
  if (!settings)
    return exitCode;

  Core::StartBoundedLog(settings->Text("node.name"));
  Core::Loop loop;
  NodeServer server(loop, *settings);
  Core::LastReason reason;
  if (!server.Start(reason)) {
    std::cerr << reason.Text() << '\n';
    return 1;
  }
  loop.OnSignal(SIGTERM, [&server] { server.Stop(); });
  loop.OnSignal(SIGINT, [&server] { server.Stop(); });
  loop.OnSignal(SIGHUP, [] {
    // Addresses and names can't change at run time; SIGHUP is only logged.
    Core::LogChange("settings_changed", { { "effect", "none" } });
  });
  Core::LogChange("started", { { "version", MASTICHOLD_VERSION } });
  loop.Run();
  return 0;
}
