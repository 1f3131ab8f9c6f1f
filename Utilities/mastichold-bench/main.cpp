#include "ConfigRun.h"
#include "FailoverRun.h"
#include "LoadRun.h"
#include "OverheadRun.h"
#include "Report.h"
#include "StreamRun.h"

#include <LibCore/Table.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace Bench;

/** Values of all command line options. */
struct Arguments
{
  std::string deployment = "Build/run/deployment.json";
  bool json = false;
  std::int64_t seconds = 10;
  std::int64_t thinkMs = 20;
  LoadOptions load;
  FailoverOptions failover;
  int changes = 30;
  int reads = 2000;
};

/** Event loop, deployment and client, shared by all experiments. */
struct TestBed
{
  Core::Loop loop;
  Deployment deployment;
  CallerClient client{ loop, deployment };
};

int
RunLoad(TestBed& aTestBed, const Arguments& aArguments)
{
  LoadResult result;
  LoadOptions options = aArguments.load;
  options.time = std::chrono::seconds(aArguments.seconds);
  options.thinkTime = std::chrono::milliseconds(aArguments.thinkMs);
  LoadRun run(aTestBed.loop, aTestBed.client, options);
  run.Start([&](LoadResult aResult) {
    result = std::move(aResult);
    aTestBed.loop.Stop();
  });
  aTestBed.loop.Run();
  if (aArguments.json)
    std::cout << boost::json::serialize(
                   LoadToJson(result, aTestBed.deployment.preset))
              << '\n';
  else
    PrintLoad(result, aTestBed.deployment.preset);
  return result.violations.empty() ? 0 : 1;
}

int
RunFailover(TestBed& aTestBed, const Arguments& aArguments)
{
  std::vector<FailoverSample> samples;
  FailoverRun run(aTestBed.loop, aTestBed.client, aArguments.failover);
  run.Start([&](std::vector<FailoverSample> aSamples) {
    samples = std::move(aSamples);
    aTestBed.loop.Stop();
  });
  aTestBed.loop.Run();
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

/** Runs a load, kills one primary during it, and prints the results. */
int
RunDemo(TestBed& aTestBed, const Arguments&)
{
  LoadResult result;
  std::vector<FailoverSample> samples;
  LoadOptions options;
  options.time = std::chrono::seconds(8);
  LoadRun load(aTestBed.loop, aTestBed.client, options);
  FailoverOptions failoverOptions;
  failoverOptions.rounds = 1;
  failoverOptions.kinds = { LossKind::Kill };
  failoverOptions.withStoreDown = false;
  FailoverRun failover(aTestBed.loop, aTestBed.client, failoverOptions);
  load.Start([&](LoadResult aResult) {
    result = std::move(aResult);
    aTestBed.loop.Stop();
  });
  const auto timer = aTestBed.loop.After(std::chrono::seconds(3), [&] {
    failover.Start([&](std::vector<FailoverSample> aSamples) {
      samples = std::move(aSamples);
    });
  });
  aTestBed.loop.Run();
  PrintLoad(result, aTestBed.deployment.preset);
  PrintFailover(samples);
  const bool failedOver = samples.size() == 1 && samples[0].gap.has_value();
  if (!failedOver)
    std::cout << "WRONG: no write was acknowledged after the kill\n";
  return result.violations.empty() && failedOver ? 0 : 1;
}

/** Returns a table row: name, count, median, p99 and maximum in ms. */
std::vector<std::string>
RowOf(const std::string& aName, const std::vector<Core::Duration>& aTimes)
{
  return { aName,
           std::to_string(aTimes.size()),
           Milliseconds(QuantileOf(aTimes, 0.5)),
           Milliseconds(QuantileOf(aTimes, 0.99)),
           Milliseconds(QuantileOf(aTimes, 1.0)) };
}

boost::json::array
TimesToJson(const std::vector<Core::Duration>& aTimes)
{
  boost::json::array array;
  for (const Core::Duration time : aTimes)
    array.push_back(time.count());
  return array;
}

int
RunConfig(TestBed& aTestBed, const Arguments& aArguments)
{
  std::vector<Core::Duration> times;
  ConfigRun run(aTestBed.loop, aTestBed.client, aArguments.changes);
  run.Start([&](std::vector<Core::Duration> aTimes) {
    times = std::move(aTimes);
    aTestBed.loop.Stop();
  });
  aTestBed.loop.Run();
  if (aArguments.json)
    std::cout << boost::json::serialize(TimesToJson(times)) << '\n';
  else
    Core::PrintTable(
      { { "change in force everywhere",
          "changes",
          "median ms",
          "p99 ms",
          "worst ms" },
        RowOf(std::to_string(aTestBed.deployment.nodes.size()) + " nodes",
              times) });
  return 0;
}

/**
 * Marks each database of the first group as leaving, one after the other.
 * Fails if a request was cut off, or a database served a request that was sent
 * over 3 s after the mark.
 */
int
RunLeaving(TestBed& aTestBed, const Arguments& aArguments)
{
  const std::string group = aTestBed.deployment.Groups().front();
  std::vector<Core::Duration> lastWork;
  std::uint64_t cutOff = 0;
  const auto setState = [&](const std::string& aName, const char* aState) {
    aTestBed.client.Call(aTestBed.deployment.platform,
                         Wire::HttpMethod::Post,
                         "/v1/vms/state",
                         { { "name", aName }, { "state", aState } },
                         [](const std::optional<boost::json::object>&) {});
  };
  for (const DatabaseProcess& database : aTestBed.deployment.databases) {
    if (database.group != group)
      continue;
    StreamRun run(aTestBed.loop, aTestBed.client);
    run.Start(
      database.name,
      [&] { setState(database.name, "leaving"); },
      std::chrono::seconds(5),
      [&](const StreamResult& aResult) {
        lastWork.push_back(aResult.lastWork.value_or(Core::Duration(0)));
        cutOff += aResult.cutOff;
        setState(database.name, "live");
        aTestBed.loop.Stop();
      });
    aTestBed.loop.Run();
  }
  if (aArguments.json)
    std::cout << boost::json::serialize(boost::json::object{
                   { "last_work_us", TimesToJson(lastWork) },
                   { "cut_off", cutOff } })
              << '\n';
  else
    Core::PrintTable({ { "last new work after the list",
                         "databases",
                         "median ms",
                         "p99 ms",
                         "worst ms" },
                       RowOf("leaving", lastWork) });
  std::cout << (aArguments.json ? "" : "requests cut off: ")
            << (aArguments.json ? "" : std::to_string(cutOff) + "\n");
  constexpr Core::Duration kLimit = std::chrono::seconds(3);
  return cutOff == 0 && QuantileOf(lastWork, 1.0) <= kLimit ? 0 : 1;
}

/** Stops the proxy and agent of one node with SIGTERM, under load. */
int
RunStop(TestBed& aTestBed, const Arguments& aArguments)
{
  StreamResult result;
  StreamRun run(aTestBed.loop, aTestBed.client);
  const Node& node = aTestBed.deployment.nodes.back();
  run.Start(
    "",
    [&] {
      ::kill(node.proxy, SIGTERM);
      ::kill(node.agent, SIGTERM);
    },
    std::chrono::seconds(4),
    [&](const StreamResult& aResult) {
      result = aResult;
      aTestBed.loop.Stop();
    });
  aTestBed.loop.Run();
  if (aArguments.json)
    std::cout << boost::json::serialize(boost::json::object{
                   { "answers", result.responses },
                   { "cut_off", result.cutOff },
                   { "longest_gap_us", result.longestGap.count() } })
              << '\n';
  else
    std::cout << "planned stop of " << node.name << ": " << result.responses
              << " answers, " << result.cutOff
              << " requests cut off, longest gap between writes "
              << Milliseconds(result.longestGap) << " ms\n";
  return result.cutOff == 0 ? 0 : 1;
}

int
RunOverhead(TestBed& aTestBed, const Arguments& aArguments)
{
  OverheadResult result;
  OverheadRun run(aTestBed.loop, aTestBed.client, aArguments.reads);
  run.Start([&](OverheadResult aResult) {
    result = std::move(aResult);
    aTestBed.loop.Stop();
  });
  aTestBed.loop.Run();
  const double perCore =
    static_cast<double>(result.concurrentReads) /
    (static_cast<double>(result.concurrentProcessorTime.count()) / 1e6);
  if (aArguments.json) {
    std::cout << boost::json::serialize(boost::json::object{
                   { "direct_us", QuantileOf(result.direct, 0.5).count() },
                   { "at_home_us", QuantileOf(result.atHome, 0.5).count() },
                   { "with_hop_us", QuantileOf(result.withHop, 0.5).count() },
                   { "reads_per_core_second", perCore } })
              << '\n';
    return 0;
  }
  const auto row = [&](const std::string& aName,
                       const std::vector<Core::Duration>& aTimes) {
    const Core::Duration median = QuantileOf(aTimes, 0.5);
    return std::vector<std::string>{
      aName,
      std::to_string(median.count()),
      std::to_string((median - QuantileOf(result.direct, 0.5)).count())
    };
  };
  Core::PrintTable({ { "way", "median us", "added us" },
                     row("direct", result.direct),
                     row("entry is home", result.atHome),
                     row("with the hop", result.withHop) });
  std::cout << "crowd: " << result.concurrentReads << " reads in "
            << Milliseconds(result.concurrentTime) << " ms, "
            << static_cast<long long>(perCore)
            << " reads a second of one core of the home\n";
  return 0;
}

/** Prints processor time and resident memory of the agents and proxies. */
int
RunControl(TestBed& aTestBed, const Arguments& aArguments)
{
  struct Usage
  {
    Core::Duration agent{ 0 };
    Core::Duration proxy{ 0 };
  };
  std::vector<Usage> before;
  for (const Node& node : aTestBed.deployment.nodes)
    before.push_back(
      { ProcessorTimeOf(node.agent), ProcessorTimeOf(node.proxy) });
  const auto timer = aTestBed.loop.After(
    std::chrono::seconds(aArguments.seconds), [&] { aTestBed.loop.Stop(); });
  aTestBed.loop.Run();
  Core::Duration agents{ 0 };
  Core::Duration proxies{ 0 };
  std::int64_t worstAgentKib = 0;
  std::int64_t agentKib = 0;
  std::int64_t proxyKib = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const Node& node = aTestBed.deployment.nodes[i];
    agents += ProcessorTimeOf(node.agent) - before[i].agent;
    proxies += ProcessorTimeOf(node.proxy) - before[i].proxy;
    const std::int64_t resident = ResidentMemoryOf(node.agent);
    worstAgentKib = std::max(worstAgentKib, resident);
    agentKib += resident;
    proxyKib += ResidentMemoryOf(node.proxy);
  }
  const auto nodes = static_cast<double>(before.size());
  const double time = static_cast<double>(aArguments.seconds) * 1e6;
  const boost::json::object result{
    { "nodes", before.size() },
    { "agent_core_percent",
      static_cast<double>(agents.count()) / nodes / time * 100 },
    { "agent_kib", static_cast<double>(agentKib) / nodes },
    { "agent_kib_worst", worstAgentKib },
    { "proxy_core_percent",
      static_cast<double>(proxies.count()) / nodes / time * 100 },
    { "proxy_kib", static_cast<double>(proxyKib) / nodes }
  };
  if (aArguments.json) {
    std::cout << boost::json::serialize(result) << '\n';
    return 0;
  }
  std::vector<std::vector<std::string>> rows{ { "per node", "value" } };
  for (const auto& field : result)
    rows.push_back({ field.key(), boost::json::serialize(field.value()) });
  Core::PrintTable(rows);
  return 0;
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

  app.add_subcommand("demo", "Load with one primary killed, and a report");
  CLI::App* load = app.add_subcommand("load", "Sessions that check responses");
  load->add_option("--callers", arguments.load.callers, "Sessions");
  load->add_option("--seconds", arguments.seconds, "How long");
  load->add_option("--think-ms", arguments.thinkMs, "Mean pause of a session");
  load->add_option("--seed", arguments.load.seed, "Seed of the random choices");
  CLI::App* failover = app.add_subcommand(
    "failover", "Time without writes after the loss of a primary");
  failover->add_option(
    "--rounds", arguments.failover.rounds, "Rounds of each kind of loss");
  CLI::App* config =
    app.add_subcommand("config", "Time until changes are in force");
  config->add_option("--changes", arguments.changes, "How many");
  app.add_subcommand("leaving", "Work on databases that are leaving");
  app.add_subcommand("stop", "A planned stop of the last node, under load");
  CLI::App* overhead = app.add_subcommand(
    "overhead", "Reads through a proxy against the database itself");
  overhead->add_option("--reads", arguments.reads, "Reads over each path");
  CLI::App* control = app.add_subcommand(
    "control", "Processor time and memory of idle agents and proxies");
  control->add_option("--seconds", arguments.seconds, "How long");
  CLI11_PARSE(app, aCount, aValues);

  TestBed testBed;
  Core::LastReason reason;
  auto deployment = Deployment::Load(arguments.deployment, reason);
  if (!deployment) {
    std::cerr << reason.Text() << '\n';
    return 2;
  }
  testBed.deployment = std::move(*deployment);
  using Experiment = int (*)(TestBed&, const Arguments&);
  const std::map<std::string, Experiment> experiments{
    { "demo", RunDemo },         { "load", RunLoad },
    { "failover", RunFailover }, { "config", RunConfig },
    { "leaving", RunLeaving },   { "stop", RunStop },
    { "overhead", RunOverhead }, { "control", RunControl },
  };
  return experiments.at(app.get_subcommands().front()->get_name())(testBed,
                                                                   arguments);
}
