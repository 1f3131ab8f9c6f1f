#include "World.h"

#include <csignal>
#include <cstring>
#include <functional>
#include <iostream>
#include <map>

/** Arguments: SCENARIO NODE-PROGRAM FOLDER RECORD TROUBLE (0 or 1). */
int
main(int aCount, char** aValues)
{
  using namespace Review;
  const std::map<std::string, std::function<Outcome(const Options&)>> scenarios{
    { "pooled-transaction", PlayPooledTransaction },
    { "owner-handover", PlayOwnerHandover },
    { "silent-connections", PlaySilentConnections }
  };
  const auto scenario =
    aCount == 6 ? scenarios.find(aValues[1]) : scenarios.end();
  if (scenario == scenarios.end()) {
    std::cerr << "unknown scenario or wrong number of arguments\n";
    return static_cast<int>(Outcome::NotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  options.scenario = aValues[1];
  options.program = aValues[2];
  options.folder = aValues[3];
  options.recordPath = aValues[4];
  options.isTroubled = std::strcmp(aValues[5], "0") != 0;
  const Outcome outcome = scenario->second(options);
  std::cout << options.scenario << ": exit code " << static_cast<int>(outcome)
            << '\n';
  return static_cast<int>(outcome);
}
