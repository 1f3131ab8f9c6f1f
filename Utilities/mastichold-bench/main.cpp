#include "FailoverRun.h"
#include "LoadRun.h"
#include "Report.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace Bench;

struct Arguments
{
  std::string deployment = "Build/run/deployment.json";
  bool json = false;
  std::int64_t seconds = 10;
  std::int64_t thinkMs = 20;
  LoadOptions load;
  FailoverOptions failover;
};

/** A loop, a deployment and a client, as every experiment needs them. */
struct Bed
{
  Core::Loop loop;
  Deployment deployment;
  CallerClient client{ loop, deployment };
};

int
RunLoad(Bed& aBed, const Arguments& aArguments)
{
  LoadResult result;
  LoadOptions options = aArguments.load;
  options.time = std::chrono::seconds(aArguments.seconds);
  options.think = std::chrono::milliseconds(aArguments.thinkMs);
  LoadRun run(aBed.loop, aBed.client, options);
  run.Start([&](LoadResult aResult) {
    result = std::move(aResult);
    aBed.loop.Stop();
  });
  aBed.loop.Run();
  if (aArguments.json)
    std::cout << boost::json::serialize(
                   LoadToJson(result, aBed.deployment.preset))
              << '\n';
  else
    PrintLoad(result, aBed.deployment.preset);
  return result.wrong.empty() ? 0 : 1;
}

int
RunFailover(Bed& aBed, const Arguments& aArguments)
{
  std::vector<FailoverSample> samples;
  FailoverRun run(aBed.loop, aBed.client, aArguments.failover);
  run.Start([&](std::vector<FailoverSample> aSamples) {
    samples = std::move(aSamples);
    aBed.loop.Stop();
  });
  aBed.loop.Run();
  if (aArguments.json)
    std::cout << boost::json::serialize(FailoverToJson(samples)) << '\n';
  else
    PrintFailover(samples);
  return std::all_of(
           samples.begin(),
           samples.end(),
           [](const auto& aSample) { return aSample.gap.has_value(); })
           ? 0
           : 1;
}

/** A load with one primary killed in its middle, and the account of it. */
int
RunDemo(Bed& aBed)
{
  LoadResult result;
  std::vector<FailoverSample> samples;
  LoadOptions options;
  options.time = std::chrono::seconds(8);
  LoadRun load(aBed.loop, aBed.client, options);
  FailoverOptions losses;
  losses.rounds = 1;
  losses.kinds = { LossKind::Kill };
  losses.withStoreDown = false;
  FailoverRun failover(aBed.loop, aBed.client, losses);
  load.Start([&](LoadResult aResult) {
    result = std::move(aResult);
    aBed.loop.Stop();
  });
  const auto timer = aBed.loop.After(std::chrono::seconds(3), [&] {
    failover.Start([&](std::vector<FailoverSample> aSamples) {
      samples = std::move(aSamples);
    });
  });
  aBed.loop.Run();
  PrintLoad(result, aBed.deployment.preset);
  PrintFailover(samples);
  const bool failedOver = samples.size() == 1 && samples[0].gap.has_value();
  if (!failedOver)
    std::cout << "WRONG: no write was acknowledged after the kill\n";
  return result.wrong.empty() && failedOver ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app{ "mastichold-bench: load and experiments on a deployment" };
  Arguments arguments;
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", MASTICHOLD_VERSION);
  app.add_option("--deployment", arguments.deployment, "deployment.json")
    ->check(CLI::ExistingFile);
  app.add_flag("--json", arguments.json, "JSON instead of a table");

  app.add_subcommand("demo", "Load, a killed primary, and an account");
  CLI::App* load = app.add_subcommand("load", "Sessions that check answers");
  load->add_option("--callers", arguments.load.callers, "Sessions");
  load->add_option("--seconds", arguments.seconds, "How long");
  load->add_option("--think-ms", arguments.thinkMs, "Mean pause of a session");
  load->add_option("--seed", arguments.load.seed, "Of the choices made");
  CLI::App* failover = app.add_subcommand("failover", "Gaps after losses");
  failover->add_option("--rounds", arguments.failover.rounds, "Of each kind");
  CLI11_PARSE(app, aCount, aValues);

  std::signal(SIGPIPE, SIG_IGN);
  Bed bed;
  Core::LastReason reason;
  auto deployment = Deployment::Load(arguments.deployment, reason);
  if (!deployment) {
    std::cerr << reason.Text() << '\n';
    return 2;
  }
  bed.deployment = std::move(*deployment);
  if (app.got_subcommand("demo"))
    return RunDemo(bed);
  if (app.got_subcommand("load"))
    return RunLoad(bed, arguments);
  return RunFailover(bed, arguments);
}
