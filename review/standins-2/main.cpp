#include "World.h"

#include <csignal>
#include <iostream>

namespace Review {

void
LoseSyncCommits(World& aWorld, bool aCrashes);
void
PromoteWithOldToken(World& aWorld);
void
CutReply(World& aWorld);

} // namespace Review

int
main(int aCount, char** aValues)
{
  using namespace Review;
  if (aCount != 3) {
    std::cerr << "usage: world CASE FOLDER\n";
    return 2;
  }
  const std::string name = aValues[1];
  if (name == "traffic") {
    Traffic::Run(aValues[2]);
    return 0;
  }
  const bool needsSync = name.starts_with("lose-sync-commits");
  const GroupTiming timing;
  try {
    Core::Loop loop;
    World world(loop, aValues[2], timing, needsSync ? 1 : 0);
    for (const int number : { SIGTERM, SIGINT })
      loop.OnSignal(number, [&world] { world.Done(2, "interrupted"); });
    for (const char* id : { "i-a", "i-b", "i-c" })
      world.AddDatabase(id, std::string(id) == "i-a");
    world.StartNodes(3);
    if (name == "lose-sync-commits")
      LoseSyncCommits(world, true);
    else if (name == "lose-sync-commits-at-release")
      LoseSyncCommits(world, false);
    else if (name == "promote-with-old-token")
      PromoteWithOldToken(world);
    else if (name == "cut-reply")
      CutReply(world);
    else
      world.Done(2, "unknown case");
    loop.Run();
    for (const auto& node : world.nodes) {
      node->Signal(SIGCONT);
      node->Kill();
    }
    return world.exitCode;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
